#ifndef SOURCE_BACKEND_RESUME_TOKEN_H_
#define SOURCE_BACKEND_RESUME_TOKEN_H_

#include <cstdint>
#include <string>

#include "Base/result.h"

namespace cowslip {

/// \class ResumeToken
/// \brief What a preempted stream had produced: the number of tokens and their
/// text.
struct ResumeToken {
  uint64_t tokens = 0;
  std::string text;
};

/// Returns `{"tokens":N,"text":"..."}`, or an empty string for no tokens.
std::string EncodeResumeToken(const ResumeToken& token);

/// An empty string yields a token that starts from the beginning. Errors:
/// kInvalidArgument, kTooLarge.
Result<ResumeToken> DecodeResumeToken(const std::string& text);

}  // namespace cowslip

#endif  // SOURCE_BACKEND_RESUME_TOKEN_H_
