#ifndef UTILITIES_BENCH_ANSWER_CHECK_H_
#define UTILITIES_BENCH_ANSWER_CHECK_H_

#include <cstdint>
#include <string>

namespace cowslip {

/// The answer of the engine's stand-in: the marker that was sent, a blank and
/// the tokens `t1 t2 ...`.
std::string ExpectedAnswer(const std::string& marker, uint64_t tokens);

/// \class AnswerCheck
/// \brief Tells whether an answer is whole and belongs to its own request.
class AnswerCheck {
 public:
  AnswerCheck(const std::string& marker, uint64_t tokens);

  /// Takes the data of one server-sent event. Returns true if it carried a
  /// token.
  bool TakeEvent(const std::string& data);
  /// True once the answer has come whole and in order, with its end mark.
  bool IsWhole() const;

  /// Checks the body of an answer that is no stream.
  bool IsWholeBody(const std::string& body) const;

 private:
  const std::string m_expected;
  const uint64_t m_tokens;
  std::string m_text;
  bool m_ended = false;
  bool m_malformed = false;
};

}  // namespace cowslip

#endif  // UTILITIES_BENCH_ANSWER_CHECK_H_
