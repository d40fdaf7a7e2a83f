#ifndef SOURCE_NET_BEAST_H_
#define SOURCE_NET_BEAST_H_

// Boost headers that only the sources of Source/Net include.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/buffers_cat.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "Net/http_message.h"

namespace cowslip {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

/// The receive buffer of each connection. What a peer sends ahead counts
/// towards the memory of the process that has not read it.
inline constexpr int kReceiveBufferBytes = 32 * 1024;

/// Converts Beast's header fields, in their order and with repeated ones.
template <class Fields>
HttpHeaders ToHeaders(const Fields& fields) {
  HttpHeaders headers;
  for (const auto& field : fields) {
    headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  return headers;
}

/// True when the peer has closed the connection or the socket has failed. Peeks
/// without consuming bytes, so unread bytes hide a close that follows them.
inline bool PeerHasClosed(tcp::socket& socket) {
  char byte = 0;
  boost::system::error_code error;
  const bool was_non_blocking = socket.non_blocking();
  socket.non_blocking(true, error);
  const size_t got =
      socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  if (!was_non_blocking) {
    boost::system::error_code ignored;
    socket.non_blocking(false, ignored);
  }
  if (error == asio::error::would_block) {
    return false;
  }
  return static_cast<bool>(error) || got == 0;
}

}  // namespace cowslip

#endif  // SOURCE_NET_BEAST_H_
