#include "Backend/engine_answer.h"

#include <string_view>

#include "Base/json.h"

namespace cowslip {

namespace {

constexpr std::string_view kClosingData = "[DONE]";
constexpr size_t kTailBytes = 32;

Error Truncated() {
  return Error(ErrorKind::kMalformedMessage,
               "The backend server's stream ended without its closing event. "
               "Check the backend server, and retry what is idempotent.");
}

}  // namespace

Result<std::string> StreamedAnswer::Feed(std::string data) {
  m_tail += data;
  if (m_tail.size() > kTailBytes) {
    m_tail.erase(0, m_tail.size() - kTailBytes);
  }
  return data;
}

Result<std::string> StreamedAnswer::Finish() {
  if (m_tail.find(kClosingData) == std::string::npos) {
    return Truncated();
  }
  return std::string();
}

Result<std::string> AssembledAnswer::Feed(std::string data) {
  const Result<std::vector<std::string>> events = m_reader.Feed(data);
  if (!events.has_value()) {
    return events.error();
  }
  for (const std::string& event : events.value()) {
    const Result<void> taken = TakeEvent(event);
    if (!taken.has_value()) {
      return taken.error();
    }
  }
  return std::string();
}

Result<void> AssembledAnswer::TakeEvent(const std::string& data) {
  if (data == kClosingData) {
    m_done = true;
    return Ok();
  }
  const Result<nlohmann::json> event = ParseJson(data);
  if (!event.has_value()) {
    return event.error();
  }
  const nlohmann::json& json = event.value();
  const nlohmann::json::json_pointer delta_pointer("/choices/0/delta");
  const bool has_delta = json.is_object() && json.contains(delta_pointer) &&
                         json.at(delta_pointer).is_object();
  if (!has_delta) {
    return Ok();
  }
  const nlohmann::json& delta = json.at(delta_pointer);
  const auto content = delta.find("content");
  if (content == delta.end() || !content->is_string()) {
    return Ok();
  }
  m_progress.text += content->get_ref<const std::string&>();
  // The event that opens an answer names the role and is no token.
  if (!delta.contains("role")) {
    ++m_progress.tokens;
  }
  if (m_progress.text.size() > m_max_bytes) {
    return Error(ErrorKind::kTooLarge,
                 "The answer is over the limit. Ask for fewer tokens.");
  }
  return Ok();
}

Result<std::string> AssembledAnswer::Finish() {
  if (!m_done) {
    return Truncated();
  }
  const nlohmann::json message = {{"role", "assistant"},
                                  {"content", m_progress.text}};
  const nlohmann::json choice = {{"index", 0}, {"message", message}};
  return DumpJson({{"object", "chat.completion"},
                   {"choices", nlohmann::json::array({choice})},
                   {"usage", {{"completion_tokens", m_progress.tokens}}}});
}

}  // namespace cowslip
