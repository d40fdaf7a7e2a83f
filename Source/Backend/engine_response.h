#ifndef SOURCE_BACKEND_ENGINE_RESPONSE_H_
#define SOURCE_BACKEND_ENGINE_RESPONSE_H_

#include <cstddef>
#include <string>
#include <variant>

#include <nlohmann/json.hpp>

#include "Backend/resume_token.h"
#include "Base/result.h"
#include "Net/sse_reader.h"

namespace cowslip {

/// \class PassThroughResponse
/// \brief An answer that is passed on byte by byte.
class PassThroughResponse {
 public:
  /// Returns the bytes to pass on.
  Result<std::string> Feed(std::string data) { return data; }
  Result<std::string> Finish() { return std::string(); }
  ResumeToken Progress() const { return {}; }
};

/// \class StreamedResponse
/// \brief A stream of events that is passed on; it is whole only with its
/// closing event.
class StreamedResponse {
 public:
  Result<std::string> Feed(std::string data);
  Result<std::string> Finish();
  ResumeToken Progress() const { return {}; }

 private:
  // The end of what has passed, long enough to hold the closing event.
  std::string m_tail = "\n";
};

/// \class AssembledResponse
/// \brief A stream of events that is gathered into one JSON answer, so that a
/// preempted batch item can resume without its reader noticing.
class AssembledResponse {
 public:
  AssembledResponse(ResumeToken earlier, size_t max_bytes)
      : m_progress(std::move(earlier)), m_max_bytes(max_bytes) {}

  /// Returns nothing to pass on yet. Errors: kMalformedMessage, kTooLarge.
  Result<std::string> Feed(std::string data);
  /// Returns the whole answer. Errors: kMalformedMessage for a stream without
  /// its closing event.
  Result<std::string> Finish();
  /// What a later stream need not produce again.
  ResumeToken Progress() const { return m_progress; }

 private:
  Result<void> ApplyEvent(const std::string& data);

  void ApplyChoice(const nlohmann::json& choice);

  SseReader m_reader;
  // What the events say beside their choices: id, model, usage.
  nlohmann::json m_answer = nlohmann::json::object();
  nlohmann::json m_finish_reason;
  ResumeToken m_progress;
  size_t m_max_bytes;
  bool m_done = false;
};

using EngineResponse =
    std::variant<PassThroughResponse, StreamedResponse, AssembledResponse>;

}  // namespace cowslip

#endif  // SOURCE_BACKEND_ENGINE_RESPONSE_H_
