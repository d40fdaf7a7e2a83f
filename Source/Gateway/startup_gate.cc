#include "Gateway/startup_gate.h"

#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cowslip {

StartupGate::StartupGate(boost::asio::io_context& context, Duration timeout)
    : m_context(context), m_end(MonotonicClock::now() + timeout) {}

void StartupGate::Open() {
  m_open = true;
  for (boost::asio::steady_timer* timer : m_waiting) {
    timer->cancel();
  }
}

boost::asio::awaitable<void> StartupGate::Wait(Duration limit) {
  if (m_open) {
    co_return;
  }
  ++m_held_requests;
  const Duration left = m_end - MonotonicClock::now();
  boost::asio::steady_timer timer(m_context, std::min(left, limit));
  m_waiting.insert(&timer);
  boost::system::error_code ignored;
  co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  m_waiting.erase(&timer);
}

}  // namespace cowslip
