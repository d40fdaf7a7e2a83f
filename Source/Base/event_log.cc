#include "Base/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include "Base/json.h"

namespace cowslip {

namespace {

// Lines are buffered until they reach this size, to save system calls.
constexpr size_t kFlushBytes = 4096;

}  // namespace

EventLog::EventLog(EventLogOptions options) : m_options(options) {
  const int flags = ::fcntl(m_options.descriptor, F_GETFL);
  if (flags >= 0) {
    ::fcntl(m_options.descriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

bool EventLog::WithinRate(std::string_view event) {
  const int64_t second = std::chrono::duration_cast<std::chrono::seconds>(
                             WallNow().time_since_epoch())
                             .count();
  if (second != m_second) {
    m_second = second;
    m_counts.clear();
  }
  return ++m_counts[std::string(event)] <= m_options.max_lines_per_second;
}

void EventLog::Write(std::string_view event,
                     std::initializer_list<Field> fields) {
  if (m_pending.size() > m_options.max_pending_bytes || !WithinRate(event)) {
    ++m_dropped;
    return;
  }
  nlohmann::ordered_json line;
  line["at_ms"] = WallNow().time_since_epoch().count();
  line["event"] = event;
  for (const Field& field : fields) {
    line[field.first] = field.second;
  }
  m_pending += line.dump(-1, ' ', false,
                         nlohmann::ordered_json::error_handler_t::replace);
  m_pending += '\n';
  if (m_pending.size() >= kFlushBytes) {
    Flush();
  }
}

void EventLog::Flush() {
  if (m_pending.empty()) {
    return;
  }
  const ssize_t written =
      ::write(m_options.descriptor, m_pending.data(), m_pending.size());
  if (written > 0) {
    m_pending.erase(0, static_cast<size_t>(written));
  } else if (written < 0 && errno == EPIPE) {
    m_dropped += static_cast<uint64_t>(
        std::count(m_pending.begin(), m_pending.end(), '\n'));
    m_pending.clear();
  }
}

}  // namespace cowslip
