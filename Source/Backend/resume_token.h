#ifndef SOURCE_BACKEND_RESUME_TOKEN_H_
#define SOURCE_BACKEND_RESUME_TOKEN_H_

#include <cstdint>
#include <string>

#include "Base/result.h"

namespace cowslip {

/// \class ResumeToken
/// \brief What a preempted stream had produced: its tokens and their text.
struct ResumeToken {
  uint64_t tokens = 0;
  std::string text;
};

/// Writes `{"tokens":N,"text":"..."}`; an empty string for no tokens.
std::string EncodeResumeToken(const ResumeToken& token);

/// An empty string means a start from the beginning. Errors:
/// kInvalidArgument, kTooLarge.
Result<ResumeToken> DecodeResumeToken(const std::string& text);

}  // namespace cowslip

#endif  // SOURCE_BACKEND_RESUME_TOKEN_H_
