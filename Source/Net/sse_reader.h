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
  /// The received bytes, including the empty line that ends the event.
  std::string raw;
  /// The `id` field; nullopt when it is missing or not a whole number.
  std::optional<uint64_t> id;
  /// The `data` fields, joined by line feeds; nullopt when there is none.
  std::optional<std::string> data;
};

/// \class SseReader
/// \brief Parses a byte stream into server-sent events. The bytes may be split
/// anywhere between calls.
class SseReader {
 public:
  /// The maximum size of an event, in bytes.
  static constexpr size_t kMaxEventBytes = 1 << 20;

  /// Returns the data of the events that these bytes complete, leaving out
  /// events without data. Errors as for FeedEvents().
  Result<std::vector<std::string>> Feed(std::string_view bytes);
  /// Returns the events that these bytes complete. Errors: kTooLarge;
  /// kMalformedMessage when a line begins an HTTP response.
  Result<std::vector<SseEvent>> FeedEvents(std::string_view bytes);
  /// The bytes after the last complete event.
  const std::string& partial_event() const { return m_event.raw; }
  /// The number of complete events so far.
  uint64_t event_count() const { return m_event_count; }

 private:
  // Parses one line, without its line feed, into m_event. Returns true when it
  // ends the event.
  bool ParseLine(std::string_view line);

  SseEvent m_event;
  // Offset in `m_event.raw` of the line that is being read.
  size_t m_line_begin = 0;
  uint64_t m_event_count = 0;
};

}  // namespace cowslip

#endif  // SOURCE_NET_SSE_READER_H_
