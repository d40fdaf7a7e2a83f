#include "Gateway/startup_gate.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cowslip {

StartupGate::StartupGate(boost::asio::io_context& context, Duration timeout)
    : m_timeout(context, timeout) {}

void StartupGate::Open() {
  m_open = true;
  m_timeout.cancel();
}

boost::asio::awaitable<void> StartupGate::Wait() {
  if (m_open) {
    co_return;
  }
  ++m_held_requests;
  boost::system::error_code ignored;
  co_await m_timeout.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

}  // namespace cowslip
