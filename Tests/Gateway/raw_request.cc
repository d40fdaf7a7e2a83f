#include "raw_request.h"

#include <sstream>

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace cowslip {

namespace asio = boost::asio;
using asio::awaitable;
using asio::ip::tcp;

namespace {

// Parses the head of a request; the gateway is trusted to send a valid one.
HttpRequest ParseHead(const std::string& head) {
  std::istringstream lines(head);
  HttpRequest request;
  std::string line;
  lines >> request.method >> request.target;
  std::getline(lines, line);
  while (std::getline(lines, line) && line.size() > 1) {
    const size_t colon = line.find(": ");
    request.headers.push_back(
        {line.substr(0, colon),
         line.substr(colon + 2, line.size() - colon - 3)});
  }
  return request;
}

}  // namespace

awaitable<std::optional<HttpRequest>> ReadRawRequest(tcp::socket& socket,
                                                     std::string& received) {
  boost::system::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  const size_t head_size = co_await asio::async_read_until(
      socket, asio::dynamic_buffer(received), "\r\n\r\n", token);
  if (error) {
    co_return std::nullopt;
  }
  HttpRequest request = ParseHead(received.substr(0, head_size));
  received.erase(0, head_size);
  const size_t length =
      std::stoul(FindHeader(request.headers, "Content-Length").value_or("0"));
  if (received.size() < length) {
    co_await asio::async_read(socket, asio::dynamic_buffer(received),
                              asio::transfer_exactly(length - received.size()),
                              token);
  }
  request.body = received.substr(0, length);
  received.erase(0, length);
  co_return request;
}

awaitable<bool> WriteRaw(tcp::socket& socket, std::string bytes) {
  boost::system::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  co_await asio::async_write(socket, asio::buffer(bytes), token);
  co_return !error;
}

std::string RawStreamHead(const std::string& attempt,
                          const std::string& framing) {
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt +
         "\r\nResponse-Signature: s\r\n"
         "Content-Type: text/event-stream\r\n" +
         framing + "\r\n";
}

std::string RawChunk(const std::string& data) {
  if (data.empty()) {
    return "";
  }
  std::ostringstream size;
  size << std::hex << data.size();
  return size.str() + "\r\n" + data + "\r\n";
}

}  // namespace cowslip
