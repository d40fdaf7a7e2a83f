#include "raw_backend.h"

#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Net/sleep_for.h"
#include "gateway_fixture.h"
#include "raw_request.h"

namespace cowslip {

namespace asio = boost::asio;
using asio::awaitable;
using asio::ip::tcp;

RawBackend::RawBackend(asio::io_context& context, Script script)
    : m_context(context),
      m_script(std::move(script)),
      m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
  asio::co_spawn(
      m_context, [this] { return Accept(); }, asio::detached);
}

void RawBackend::Stop() {
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
}

awaitable<void> RawBackend::Accept() {
  while (true) {
    boost::system::error_code error;
    tcp::socket socket = co_await m_acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return;
    }
    asio::co_spawn(m_context, Serve(std::move(socket), m_connections++),
                   asio::detached);
  }
}

awaitable<void> RawBackend::Serve(tcp::socket socket, size_t connection) {
  std::string received;
  while (true) {
    const std::optional<HttpRequest> request =
        co_await ReadRawRequest(socket, received);
    if (!request.has_value()) {
      co_return;
    }
    m_connection = connection;
    const RawAnswer answer = m_script(*request);
    bool written = co_await WriteRaw(socket, answer.bytes);
    if (answer.endless != nullptr) {
      ++m_endless_answers;
      bool open = written;
      for (uint64_t number = 0; open; ++number) {
        std::string bytes = answer.endless(number);
        open = co_await WriteRaw(socket, std::move(bytes));
      }
      --m_endless_answers;
      co_return;
    }
    if (!answer.late_bytes.empty()) {
      co_await SleepFor(answer.late_by);
      written = co_await WriteRaw(socket, answer.late_bytes);
    }
    if (answer.end == ConnectionEnd::kKeptOpen && written) {
      continue;
    }
    boost::system::error_code error;
    if (answer.end == ConnectionEnd::kReset) {
      socket.set_option(asio::socket_base::linger(true, 0), error);
    }
    socket.close(error);
    co_return;
  }
}

void RegisterRawBackend(GatewayFixture& f,
                        const std::string& id,
                        const RawBackend& backend) {
  f.store.Put("servers", id,
              {{"service", "s"},
               {"address", "127.0.0.1:" + std::to_string(backend.port())},
               {"zone", "z"},
               {"slots", 8},
               {"state", "ready"},
               {"version", "v1"}});
}

}  // namespace cowslip
