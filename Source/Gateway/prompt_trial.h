#ifndef SOURCE_GATEWAY_PROMPT_TRIAL_H_
#define SOURCE_GATEWAY_PROMPT_TRIAL_H_

#include <vector>

#include "Fleet/caller_request.h"

namespace cowslip {

class CrashSuspectCore;

/// \class PromptTrial
/// \brief A request with a blocked prompt part that was allowed as a trial.
/// Reports the end of the trial when it is destroyed, so that the next one may
/// begin.
class PromptTrial {
 public:
  PromptTrial(CrashSuspectCore& suspects, std::vector<PromptPartId> parts);
  ~PromptTrial();
  PromptTrial(const PromptTrial&) = delete;
  PromptTrial& operator=(const PromptTrial&) = delete;

  /// Records that the request may have run. Without a call, the next request
  /// may be tried at once.
  void MarkRun() { m_has_run = true; }
  /// Ends the trial before its request, so that another one may be tried.
  void End();
  bool has_ended() const { return m_has_ended; }

 private:
  CrashSuspectCore& m_suspects;
  const std::vector<PromptPartId> m_parts;
  bool m_has_run = false;
  bool m_has_ended = false;
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_PROMPT_TRIAL_H_
