#include "Backend/engine_response.h"

#include <string_view>

#include "Base/json.h"

namespace cowslip {

namespace {

constexpr std::string_view kStreamEndMarker = "[DONE]";
constexpr size_t kTailBytes = 32;

Error Truncated() {
  return Error(ErrorKind::kMalformedMessage,
               "The backend server's stream ended inside an event or without "
               "its closing event. "
               "Check the backend server, and retry what is idempotent.");
}

}  // namespace

Result<std::string> EventStreamResponse::Feed(std::string data) {
  m_boundary.Feed(data);
  return data;
}

Result<std::string> EventStreamResponse::Finish() {
  const bool empty = !m_boundary.after_event();
  if (m_boundary.in_event() || (m_ends_with_connection && empty)) {
    return Truncated();
  }
  return std::string();
}

Result<std::string> StreamedResponse::Feed(std::string data) {
  m_boundary.Feed(data);
  m_tail += data;
  if (m_tail.size() > kTailBytes) {
    m_tail.erase(0, m_tail.size() - kTailBytes);
  }
  return data;
}

Result<std::string> StreamedResponse::Finish() {
  // The text of a response cannot contain this: JSON escapes line breaks.
  const std::string closing(kStreamEndMarker);
  const bool whole = m_tail.find("\ndata: " + closing) != std::string::npos ||
                     m_tail.find("\ndata:" + closing) != std::string::npos;
  if (!whole || m_boundary.in_event()) {
    return Truncated();
  }
  return std::string();
}

Result<std::string> AssembledResponse::Feed(std::string data) {
  const Result<std::vector<std::string>> events = m_reader.Feed(data);
  if (!events.has_value()) {
    return events.error();
  }
  for (const std::string& event : events.value()) {
    const Result<void> taken = ApplyEvent(event);
    if (!taken.has_value()) {
      return taken.error();
    }
  }
  return std::string();
}

Result<void> AssembledResponse::ApplyEvent(const std::string& data) {
  if (data == kStreamEndMarker) {
    m_done = true;
    return Ok();
  }
  const Result<nlohmann::json> event = ParseJson(data);
  if (!event.has_value()) {
    return event.error();
  }
  if (!event.value().is_object()) {
    return Error(ErrorKind::kMalformedMessage,
                 "The backend server sent an event that is no object. Check "
                 "the backend server.");
  }
  m_response.update(event.value());
  const nlohmann::json::json_pointer choice_pointer("/choices/0");
  if (event.value().contains(choice_pointer)) {
    ApplyChoice(event.value().at(choice_pointer));
  }
  if (m_progress.text.size() > m_max_bytes) {
    return Error(ErrorKind::kTooLarge,
                 "The answer is over the limit. Ask for fewer tokens.");
  }
  return Ok();
}

void AssembledResponse::ApplyChoice(const nlohmann::json& choice) {
  const auto reason = choice.find("finish_reason");
  if (reason != choice.end() && reason->is_string()) {
    m_finish_reason = *reason;
  }
  const auto delta = choice.find("delta");
  if (delta == choice.end() || !delta->is_object()) {
    return;
  }
  const auto content = delta->find("content");
  if (content == delta->end() || !content->is_string()) {
    return;
  }
  m_progress.text += content->get_ref<const std::string&>();
  // The first event of a response contains the role and does not count as a
  // token.
  if (!delta->contains("role")) {
    ++m_progress.tokens;
  }
}

Result<std::string> AssembledResponse::Finish() {
  if (!m_done) {
    return Truncated();
  }
  const nlohmann::json message = {{"role", "assistant"},
                                  {"content", m_progress.text}};
  const nlohmann::json choice = {
      {"index", 0}, {"message", message}, {"finish_reason", m_finish_reason}};
  m_response["object"] = "chat.completion";
  m_response["choices"] = nlohmann::json::array({choice});
  if (!m_response["usage"].is_object()) {
    m_response["usage"] = nlohmann::json::object();
  }
  // The engine counts only the tokens since the last resume.
  m_response["usage"]["completion_tokens"] = m_progress.tokens;
  return DumpJson(m_response);
}

}  // namespace cowslip
