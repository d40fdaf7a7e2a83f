#ifndef SOURCE_NET_SLEEP_FOR_H_
#define SOURCE_NET_SLEEP_FOR_H_

#include <boost/asio/awaitable.hpp>

#include "Base/time.h"

namespace cowslip {

/// Suspends the calling coroutine for `time`, on the coroutine's executor.
boost::asio::awaitable<void> SleepFor(Duration time);

}  // namespace cowslip

#endif  // SOURCE_NET_SLEEP_FOR_H_
