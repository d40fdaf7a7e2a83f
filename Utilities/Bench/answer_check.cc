#include "Utilities/Bench/answer_check.h"

#include <optional>

#include "Base/json.h"

namespace cowslip {

namespace {

// nullopt unless the document has that text.
std::optional<std::string> TextAt(const std::string& document,
                                  const char* pointer) {
  const Result<nlohmann::json> parsed = ParseJson(document);
  if (!parsed.has_value()) {
    return std::nullopt;
  }
  const nlohmann::json::json_pointer at(pointer);
  if (!parsed.value().contains(at) || !parsed.value().at(at).is_string()) {
    return std::nullopt;
  }
  return parsed.value().at(at).get<std::string>();
}

}  // namespace

std::string ExpectedAnswer(const std::string& marker, uint64_t tokens) {
  std::string text = marker + " ";
  for (uint64_t i = 1; i <= tokens; ++i) {
    text += (i > 1 ? " t" : "t") + std::to_string(i);
  }
  return text;
}

AnswerCheck::AnswerCheck(const std::string& marker, uint64_t tokens)
    : m_expected(ExpectedAnswer(marker, tokens)), m_tokens(tokens) {}

bool AnswerCheck::TakeEvent(const std::string& data) {
  if (data == "[DONE]") {
    m_malformed = m_malformed || m_ended;
    m_ended = true;
    return false;
  }
  const std::optional<std::string> delta =
      TextAt(data, "/choices/0/delta/content");
  if (!delta.has_value() || m_ended) {
    m_malformed = true;
    return false;
  }
  // The first event repeats the marker and is no token.
  const bool token = !m_text.empty();
  m_text += *delta;
  return token;
}

bool AnswerCheck::IsWhole() const {
  return m_ended && !m_malformed && m_text == m_expected;
}

bool AnswerCheck::IsWholeBody(const std::string& body) const {
  const Result<nlohmann::json> parsed = ParseJson(body);
  if (!parsed.has_value()) {
    return false;
  }
  const nlohmann::json::json_pointer tokens("/usage/completion_tokens");
  return TextAt(body, "/choices/0/message/content") == m_expected &&
         parsed.value().contains(tokens) &&
         parsed.value().at(tokens) == m_tokens;
}

}  // namespace cowslip
