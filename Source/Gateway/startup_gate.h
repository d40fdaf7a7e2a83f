#ifndef SOURCE_GATEWAY_STARTUP_GATE_H_
#define SOURCE_GATEWAY_STARTUP_GATE_H_

#include <chrono>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Base/time.h"

namespace cowslip {

/// \class StartupGate
/// \brief Holds requests that reach a process before it has read the store, for
/// the moment after all VMs have restarted and every caller comes at once.
///
/// A store that answers does so within a few round trips of the start, so a
/// request held for that long is still answered in time; one that is refused
/// loses a good part of its time to Retry-After. Once the patience has passed
/// the store is taken to be away, and nothing is held any more.
class StartupGate {
 public:
  explicit StartupGate(boost::asio::io_context& context,
                       Duration timeout = std::chrono::milliseconds(500));

  /// Everything that requests need is known.
  void Open();
  bool is_open() const { return m_open; }
  /// Requests that have been held.
  size_t held_requests() const { return m_held_requests; }
  /// Returns once the gate is open, or the patience has passed.
  boost::asio::awaitable<void> Wait();

 private:
  // Expires when the patience has passed; cancelled by Open().
  boost::asio::steady_timer m_timeout;
  bool m_open = false;
  size_t m_held_requests = 0;
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_STARTUP_GATE_H_
