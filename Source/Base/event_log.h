#ifndef SOURCE_BASE_EVENT_LOG_H_
#define SOURCE_BASE_EVENT_LOG_H_

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include <nlohmann/json.hpp>

#include "Base/time.h"

namespace cowslip {

/// \class EventLogOptions
/// \brief Output descriptor, buffer size and rate limit of an EventLog.
struct EventLogOptions {
  /// The file descriptor of the log, put into non-blocking mode.
  int descriptor = 1;
  /// Buffered bytes above which lines are dropped when the reader is slow.
  /// Holds the lines that one entry writes in a few seconds.
  size_t max_pending_bytes = 256 * 1024;
  /// Maximum lines written per second for each event name. Further lines are
  /// only counted, so that a frequent event neither hides the others nor
  /// uses much CPU time.
  uint32_t max_lines_per_second = 400;
};

/// \class EventLog
/// \brief Writes structured log lines, one JSON object each, without
/// blocking. Lines beyond the buffer size or the rate limit are dropped and
/// counted.
class EventLog {
 public:
  using Field = std::pair<const char*, nlohmann::json>;

  explicit EventLog(EventLogOptions options = {});

  /// Appends one line: the wall-clock time, `event`, then `fields` in order.
  void Write(std::string_view event, std::initializer_list<Field> fields);
  /// Writes as many buffered bytes as the descriptor accepts. Drops them when
  /// nobody reads the log any more.
  void Flush();

  uint64_t dropped() const { return m_dropped; }

 private:
  bool WithinRate(std::string_view event);

  const EventLogOptions m_options;
  std::string m_pending;
  uint64_t m_dropped = 0;
  // Lines of each event in `m_second`, including those above the rate limit.
  std::unordered_map<std::string, uint32_t> m_counts;
  int64_t m_second = 0;
};

}  // namespace cowslip

#endif  // SOURCE_BASE_EVENT_LOG_H_
