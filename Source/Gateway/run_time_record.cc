#include "Gateway/run_time_record.h"

#include <algorithm>

namespace cowslip {

void RunTimeRecord::Add(const RouteId& route,
                        Duration run_time,
                        MonotonicTime now) {
  const auto [found, is_new] = m_windows.try_emplace(route);
  Window& window = found->second;
  const Duration age = now - window.begin;
  if (is_new || age >= 2 * m_options.memory) {
    window = {.begin = now};
  } else if (age >= m_options.memory) {
    window = {.begin = now, .longest_before = window.longest};
  }
  window.longest = std::max(window.longest, run_time);
}

std::optional<Duration> RunTimeRecord::Longest(const RouteId& route,
                                               MonotonicTime now) const {
  const auto found = m_windows.find(route);
  if (found == m_windows.end() ||
      now - found->second.begin >= 2 * m_options.memory) {
    return std::nullopt;
  }
  return std::max(found->second.longest, found->second.longest_before);
}

}  // namespace cowslip
