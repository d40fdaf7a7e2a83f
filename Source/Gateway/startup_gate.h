#ifndef SOURCE_GATEWAY_STARTUP_GATE_H_
#define SOURCE_GATEWAY_STARTUP_GATE_H_

#include <chrono>
#include <set>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Base/time.h"

namespace cowslip {

/// \class StartupGate
/// \brief Holds requests that reach a process before it has read the store, as
/// happens when all VMs have restarted and all callers reconnect at once.
///
/// A reachable store is read within a few round trips of the start, so a
/// request held for that long is still served in time; a refused request would
/// lose a good part of its time to Retry-After. Once the timeout has passed,
/// the store is assumed to be unreachable, and requests are no longer held.
class StartupGate {
 public:
  explicit StartupGate(boost::asio::io_context& context,
                       Duration timeout = std::chrono::milliseconds(500));

  /// Releases the held requests, because everything that they need is known.
  void Open();
  bool is_open() const { return m_open; }
  /// The number of requests that have been held so far.
  size_t held_requests() const { return m_held_requests; }
  /// Returns once the gate is open, or the timeout or `limit` has passed.
  boost::asio::awaitable<void> Wait(Duration limit);

 private:
  boost::asio::io_context& m_context;
  const MonotonicTime m_end;
  // The timers of the held requests; cancelled by Open().
  std::set<boost::asio::steady_timer*> m_waiting;
  bool m_open = false;
  size_t m_held_requests = 0;
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_STARTUP_GATE_H_
