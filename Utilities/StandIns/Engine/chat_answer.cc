#include "Utilities/StandIns/Engine/chat_answer.h"

#include "Base/json.h"

namespace cowslip {

namespace {

constexpr size_t kEchoBytes = 64;

std::string DeltaEvent(nlohmann::json delta) {
  const nlohmann::json event = {
      {"choices", nlohmann::json::array({{{"delta", std::move(delta)}}})}};
  return "data: " + DumpJson(event) + "\n\n";
}

ChatCall ReadCall(const nlohmann::json& body) {
  ChatCall call;
  call.max_tokens = body.value("max_tokens", call.max_tokens);
  call.resume_from = body.value("resume_from", call.resume_from);
  call.stream = body.value("stream", false);
  std::string last;
  for (const nlohmann::json& message : body.at("messages")) {
    last = message.at("content").get<std::string>();
    call.prompt += last + "\n";
  }
  call.echo = last.substr(0, kEchoBytes) + " ";
  return call;
}

}  // namespace

Result<ChatCall> ParseChatCall(const std::string& body) {
  const Result<nlohmann::json> json = ParseJson(body);
  if (!json.has_value()) {
    return json.error();
  }
  try {
    return ReadCall(json.value());
  } catch (const nlohmann::json::exception& error) {
    return Error(
        ErrorKind::kInvalidArgument,
        std::string("Send messages with text content: ") + error.what() + ".");
  }
}

std::string TokenText(uint64_t index) {
  return (index > 1 ? " t" : "t") + std::to_string(index);
}

std::string EchoEvent(const std::string& echo) {
  return DeltaEvent({{"role", "assistant"}, {"content", echo}});
}

std::string TokenEvent(uint64_t index) {
  return DeltaEvent({{"content", TokenText(index)}});
}

std::string DoneEvent() {
  return "data: [DONE]\n\n";
}

std::string WholeAnswer(const std::string& text, uint64_t tokens) {
  const nlohmann::json message = {{"role", "assistant"}, {"content", text}};
  return DumpJson({{"choices", nlohmann::json::array({{{"message", message}}})},
                   {"usage", {{"completion_tokens", tokens}}}});
}

}  // namespace cowslip
