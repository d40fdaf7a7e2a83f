#include "Gateway/prompt_trial.h"

#include <utility>

#include "Base/time.h"
#include "Placement/crash_suspect_core.h"

namespace cowslip {

PromptTrial::PromptTrial(CrashSuspectCore& suspects,
                         std::vector<PromptPartId> parts)
    : m_suspects(suspects), m_parts(std::move(parts)) {}

PromptTrial::~PromptTrial() {
  End();
}

void PromptTrial::End() {
  if (std::exchange(m_has_ended, true)) {
    return;
  }
  m_suspects.Handle(TrialEnded{.parts = m_parts, .has_run = m_has_run},
                    MonotonicClock::now());
}

}  // namespace cowslip
