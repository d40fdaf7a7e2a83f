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
/// \brief Where lines go and how much may wait.
struct EventLogOptions {
  /// The file descriptor of the log, put into non-blocking mode.
  int descriptor = 1;
  /// Bytes that may wait for a slow reader before lines are dropped: a few
  /// seconds of one entry's lines.
  size_t max_pending_bytes = 256 * 1024;
  /// Lines per second and event that are written; more are counted only, so
  /// that a flood of one event neither hides the others nor costs the
  /// processor.
  uint32_t max_lines_per_second = 400;
};

/// \class EventLog
/// \brief Writes structured log lines, one JSON object each, without ever
/// blocking. Lines that do not fit are dropped and counted.
class EventLog {
 public:
  using Field = std::pair<const char*, nlohmann::json>;

  explicit EventLog(EventLogOptions options = {});

  /// Appends one line: the wall-clock time, `event`, then `fields` in order.
  void Write(std::string_view event, std::initializer_list<Field> fields);
  /// Writes what waits, as far as the descriptor takes it.
  void Flush();

  uint64_t dropped() const { return m_dropped; }

 private:
  bool WithinRate(std::string_view event);

  const EventLogOptions m_options;
  std::string m_pending;
  uint64_t m_dropped = 0;
  // Lines of each event in the second that is counted.
  std::unordered_map<std::string, uint32_t> m_counts;
  int64_t m_second = 0;
};

}  // namespace cowslip

#endif  // SOURCE_BASE_EVENT_LOG_H_
