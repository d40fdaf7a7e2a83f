#ifndef SOURCE_ENTRY_RESPONSE_QUEUE_H_
#define SOURCE_ENTRY_RESPONSE_QUEUE_H_

#include <deque>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Entry/request_driver.h"

namespace cowslip {

/// \class ResponseQueue
/// \brief Hands a request's response events to the coroutine that writes them
/// to the caller.
///
/// The side process's credit bounds how many bytes can wait here.
class ResponseQueue {
 public:
  explicit ResponseQueue(const boost::asio::any_io_executor& executor);

  void Push(const ResponseEvent& event);
  /// Waits for the next event.
  boost::asio::awaitable<ResponseEvent> Pop();

 private:
  std::deque<ResponseEvent> m_events;
  // Never expires; cancelling it wakes the reader.
  boost::asio::steady_timer m_signal;
};

}  // namespace cowslip

#endif  // SOURCE_ENTRY_RESPONSE_QUEUE_H_
