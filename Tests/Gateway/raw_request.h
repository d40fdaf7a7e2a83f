#ifndef TESTS_GATEWAY_RAW_REQUEST_H_
#define TESTS_GATEWAY_RAW_REQUEST_H_

#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "Net/http_message.h"

namespace cowslip {

/// Reads one request with its body from a gateway's connection; nullopt when
/// the connection ends. `received` holds what was read beyond it.
boost::asio::awaitable<std::optional<HttpRequest>> ReadRawRequest(
    boost::asio::ip::tcp::socket& socket,
    std::string& received);

/// Writes the bytes; false when the connection has ended.
boost::asio::awaitable<bool> WriteRaw(boost::asio::ip::tcp::socket& socket,
                                      std::string bytes);

/// The head of a stream that a backend server writes. `framing` is a header
/// line with its line end, or empty.
std::string RawStreamHead(const std::string& attempt,
                          const std::string& framing);

/// One chunk of a chunked body; nothing for empty data.
std::string RawChunk(const std::string& data);

}  // namespace cowslip

#endif  // TESTS_GATEWAY_RAW_REQUEST_H_
