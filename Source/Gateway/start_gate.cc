#include "Gateway/start_gate.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cowslip {

StartGate::StartGate(boost::asio::io_context& context, Duration patience)
    : m_patience(context, patience) {}

void StartGate::Open() {
  m_open = true;
  m_patience.cancel();
}

boost::asio::awaitable<void> StartGate::Wait() {
  if (m_open) {
    co_return;
  }
  ++m_held;
  boost::system::error_code ignored;
  co_await m_patience.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

}  // namespace cowslip
