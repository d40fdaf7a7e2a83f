#ifndef UTILITIES_STANDINS_ENGINE_CHAT_ANSWER_H_
#define UTILITIES_STANDINS_ENGINE_CHAT_ANSWER_H_

#include <cstdint>
#include <string>

#include "Base/result.h"

namespace cowslip {

/// \class ChatCall
/// \brief What the stand-in reads from a chat completion request.
struct ChatCall {
  std::string prompt;
  /// The first bytes of the last message, which the answer repeats.
  std::string echo;
  uint64_t max_tokens = 16;
  uint64_t resume_from = 0;
  bool stream = false;
};

/// Reads a request body. Errors: kInvalidArgument, kTooLarge.
Result<ChatCall> ParseChatCall(const std::string& body);

/// The text of one token, with the blank that parts it from the one before.
std::string TokenText(uint64_t index);
/// An event that opens the answer; it carries the role, and is no token.
std::string EchoEvent(const std::string& echo);
std::string TokenEvent(uint64_t index);
std::string DoneEvent();
/// The answer to a call without `stream`.
std::string WholeAnswer(const std::string& text, uint64_t tokens);

}  // namespace cowslip

#endif  // UTILITIES_STANDINS_ENGINE_CHAT_ANSWER_H_
