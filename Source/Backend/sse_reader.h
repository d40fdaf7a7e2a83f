#ifndef SOURCE_BACKEND_SSE_READER_H_
#define SOURCE_BACKEND_SSE_READER_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "Base/result.h"

namespace cowslip {

/// \class SseReader
/// \brief Cuts a byte stream into the `data` of its server-sent events, however
/// the bytes are split.
class SseReader {
 public:
  /// The longest line that is accepted, in bytes.
  static constexpr size_t kMaxLineBytes = 1 << 20;

  /// Returns the data of the events that these bytes complete. Errors:
  /// kTooLarge.
  Result<std::vector<std::string>> Feed(std::string_view bytes);

 private:
  void TakeLine(std::string line, std::vector<std::string>& events);

  std::string m_line;
  std::string m_data;
  bool m_has_data = false;
};

}  // namespace cowslip

#endif  // SOURCE_BACKEND_SSE_READER_H_
