#include "Entry/response_queue.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cowslip {

ResponseQueue::ResponseQueue(const boost::asio::any_io_executor& executor)
    : m_signal(executor, boost::asio::steady_timer::time_point::max()) {}

void ResponseQueue::Push(const ResponseEvent& event) {
  m_events.push_back(event);
  m_signal.cancel();
}

boost::asio::awaitable<ResponseEvent> ResponseQueue::Pop() {
  while (m_events.empty()) {
    boost::system::error_code cancelled;
    auto token =
        boost::asio::redirect_error(boost::asio::use_awaitable, cancelled);
    co_await m_signal.async_wait(token);
  }
  ResponseEvent event = std::move(m_events.front());
  m_events.pop_front();
  co_return event;
}

}  // namespace cowslip
