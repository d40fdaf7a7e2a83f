#ifndef SOURCE_NET_SSE_READER_H_
#define SOURCE_NET_SSE_READER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Base/result.h"

namespace cowslip {

/// \class SseEvent
/// \brief One server-sent event.
struct SseEvent {
  /// Its bytes as they came, with the empty line that ends it.
  std::string raw;
  /// The `id` field, where it is a number.
  std::optional<uint64_t> id;
  /// The `data` fields, joined by line feeds; nullopt when there is none.
  std::optional<std::string> data;
};

/// \class SseReader
/// \brief Cuts a byte stream into its server-sent events, however the bytes are
/// split.
class SseReader {
 public:
  /// The longest event that is accepted, in bytes.
  static constexpr size_t kMaxEventBytes = 1 << 20;

  /// Returns the data of the events that these bytes complete, leaving out
  /// events without data. Errors: kTooLarge.
  Result<std::vector<std::string>> Feed(std::string_view bytes);
  /// Returns the events that these bytes complete. Errors: kTooLarge.
  Result<std::vector<SseEvent>> FeedEvents(std::string_view bytes);
  /// The bytes after the last complete event.
  const std::string& partial_event() const { return m_event.raw; }

 private:
  // Returns true when the line ends an event.
  bool ParseLine(std::string_view line);

  SseEvent m_event;
  // Where the line that is being read begins in `m_event.raw`.
  size_t m_line_begin = 0;
};

}  // namespace cowslip

#endif  // SOURCE_NET_SSE_READER_H_
