#ifndef SOURCE_PRECOMPILED_PRECOMPILED_NETWORK_H_
#define SOURCE_PRECOMPILED_PRECOMPILED_NETWORK_H_

#include "Precompiled/precompiled_text.h"

// Asio 1.74 needs <utility>, which the header above includes.
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#endif  // SOURCE_PRECOMPILED_PRECOMPILED_NETWORK_H_
