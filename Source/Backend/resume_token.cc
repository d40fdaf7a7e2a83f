#include "Backend/resume_token.h"

#include "Base/json.h"

namespace cowslip {

namespace {

constexpr size_t kMaxTokenBytes = 16 << 20;

}  // namespace

std::string EncodeResumeToken(const ResumeToken& token) {
  if (token.tokens == 0) {
    return "";
  }
  return DumpJson({{"tokens", token.tokens}, {"text", token.text}});
}

Result<ResumeToken> DecodeResumeToken(const std::string& text) {
  ResumeToken token;
  if (text.empty()) {
    return token;
  }
  const Result<nlohmann::json> json =
      ParseJson(text, {.max_bytes = kMaxTokenBytes});
  if (!json.has_value()) {
    return json.error();
  }
  try {
    json.value().at("tokens").get_to(token.tokens);
    json.value().at("text").get_to(token.text);
    return token;
  } catch (const nlohmann::json::exception& error) {
    return Error(ErrorKind::kInvalidArgument,
                 std::string("Pass the resume token as it was received: ") +
                     error.what() + ".");
  }
}

}  // namespace cowslip
