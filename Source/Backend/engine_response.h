#ifndef SOURCE_BACKEND_ENGINE_RESPONSE_H_
#define SOURCE_BACKEND_ENGINE_RESPONSE_H_

#include <cstddef>
#include <string>
#include <variant>

#include <nlohmann/json.hpp>

#include "Backend/resume_token.h"
#include "Base/result.h"
#include "Net/sse_boundary.h"
#include "Net/sse_reader.h"

namespace cowslip {

/// \class PassThroughResponse
/// \brief Passes a response body on unchanged.
class PassThroughResponse {
 public:
  /// Returns the bytes to send to the entry.
  Result<std::string> Feed(std::string data) { return data; }
  /// Returns the bytes that remain to be sent when the body has ended.
  Result<std::string> Finish() { return std::string(); }
  ResumeToken Progress() const { return {}; }
};

/// \class EventStreamResponse
/// \brief Passes on a stream of server-sent events that has no final event of
/// its own. It is complete if it ends between two events and, when it ends with
/// its connection, holds at least one.
class EventStreamResponse {
 public:
  explicit EventStreamResponse(bool ends_with_connection)
      : m_ends_with_connection(ends_with_connection) {}

  Result<std::string> Feed(std::string data);
  /// Errors: kMalformedMessage for a truncated stream.
  Result<std::string> Finish();
  ResumeToken Progress() const { return {}; }

 private:
  SseBoundary m_boundary;
  bool m_ends_with_connection;
};

/// \class StreamedResponse
/// \brief Passes a stream of server-sent events on. The stream is complete
/// only if it contains the final `[DONE]` event and ends between two events.
class StreamedResponse {
 public:
  Result<std::string> Feed(std::string data);
  /// Errors: kMalformedMessage for a stream without its final event.
  Result<std::string> Finish();
  ResumeToken Progress() const { return {}; }

 private:
  // The last bytes of the stream, enough to contain the final event.
  std::string m_tail = "\n";
  SseBoundary m_boundary;
};

/// \class AssembledResponse
/// \brief Assembles a stream of events into one JSON response, so that a
/// preempted batch item can be resumed and still return a single response.
class AssembledResponse {
 public:
  AssembledResponse(ResumeToken earlier, size_t max_bytes)
      : m_progress(std::move(earlier)), m_max_bytes(max_bytes) {}

  /// Returns an empty string, because the response is sent only by Finish().
  /// Errors: kMalformedMessage, kTooLarge.
  Result<std::string> Feed(std::string data);
  /// Returns the complete response. Errors: kMalformedMessage for a stream
  /// without its final event.
  Result<std::string> Finish();
  /// The tokens produced so far, after which a later stream can resume.
  ResumeToken Progress() const { return m_progress; }

 private:
  Result<void> ApplyEvent(const std::string& data);

  void ApplyChoice(const nlohmann::json& choice);

  SseReader m_reader;
  // The fields of the events other than the choices: id, model, usage.
  nlohmann::json m_response = nlohmann::json::object();
  nlohmann::json m_finish_reason;
  ResumeToken m_progress;
  size_t m_max_bytes;
  bool m_done = false;
};

using EngineResponse = std::variant<PassThroughResponse,
                                    EventStreamResponse,
                                    StreamedResponse,
                                    AssembledResponse>;

}  // namespace cowslip

#endif  // SOURCE_BACKEND_ENGINE_RESPONSE_H_
