#include "raw_backend.h"

#include <sstream>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
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

RawBackend::RawBackend(asio::io_context& context, Script script)
    : m_context(context),
      m_script(std::move(script)),
      m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
  asio::co_spawn(
      m_context, [this] { return Accept(); }, asio::detached);
}

awaitable<void> RawBackend::Accept() {
  while (true) {
    boost::system::error_code error;
    tcp::socket socket = co_await m_acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return;
    }
    asio::co_spawn(m_context, Serve(std::move(socket)), asio::detached);
  }
}

awaitable<void> RawBackend::Serve(tcp::socket socket) {
  boost::system::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  std::string received;
  while (true) {
    const size_t head_size = co_await asio::async_read_until(
        socket, asio::dynamic_buffer(received), "\r\n\r\n", token);
    if (error) {
      co_return;
    }
    HttpRequest request = ParseHead(received.substr(0, head_size));
    received.erase(0, head_size);
    const size_t length =
        std::stoul(FindHeader(request.headers, "Content-Length").value_or("0"));
    if (received.size() < length) {
      co_await asio::async_read(
          socket, asio::dynamic_buffer(received),
          asio::transfer_exactly(length - received.size()), token);
    }
    request.body = received.substr(0, length);
    received.erase(0, length);
    const RawAnswer answer = m_script(request);
    co_await asio::async_write(socket, asio::buffer(answer.bytes), token);
    if (answer.end == ConnectionEnd::kKeptOpen && !error) {
      continue;
    }
    if (answer.end == ConnectionEnd::kReset) {
      socket.set_option(asio::socket_base::linger(true, 0), error);
    }
    socket.close(error);
    co_return;
  }
}

}  // namespace cowslip
