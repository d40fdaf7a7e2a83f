// Requests that meet the shutdown of a gateway. The clients block on their own
// context, so that what they have received by the exit of the process is what
// lies in their sockets.

#include <chrono>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "gateway_fixture.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using boost::asio::ip::tcp;
using namespace std::chrono_literals;

std::string RawRequest(const std::string& method,
                       const std::string& target,
                       const std::string& attempt,
                       const std::string& body = "") {
  return method + " " + target +
         " HTTP/1.1\r\nHost: h.example\r\nKey: key1\r\nAttempt-Id: " + attempt +
         "\r\nDeadline-Ms: 30000\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

class Client {
 public:
  explicit Client(uint16_t port) : m_socket(m_context) {
    m_socket.connect(
        tcp::endpoint(boost::asio::ip::address_v4::loopback(), port));
  }
  void Send(const std::string& bytes) {
    boost::asio::write(m_socket, boost::asio::buffer(bytes));
  }
  // What has been received so far.
  const std::string& Received() {
    m_socket.non_blocking(true);
    char bytes[65536];
    boost::system::error_code error;
    while (!error) {
      const size_t got = m_socket.read_some(boost::asio::buffer(bytes), error);
      m_received.append(bytes, got);
    }
    return m_received;
  }
  std::string Status() {
    const std::string& received = Received();
    return received.substr(0, received.find("\r\n"));
  }

 private:
  boost::asio::io_context m_context;
  tcp::socket m_socket;
  std::string m_received;
};

// One gateway whose process ends once its shutdown is complete.
class StoppingGateway {
 public:
  explicit StoppingGateway(size_t backends, Duration grace = 8s)
      : f(backends), m_grace(grace) {
    f.stop_grace = grace;
    f.on_stopped = [this] {
      m_stopped = true;
      f.context.stop();
    };
    for (auto& route : f.configuration["routes"]) {
      route["timeout_ms"] = 30000;
      route["target_latency_ms"] = 30000;
    }
    f.Publish();
  }

  // Starts the gateway, then runs `before` and the shutdown.
  template <class Body>
  void Run(Body before) {
    f.AddGateway();
    f.Run([&]() -> awaitable<void> {
      co_await f.WaitUntilReady();
      co_await before();
    });
    f.gateway(0).Shutdown();
    const MonotonicTime begin = MonotonicClock::now();
    f.context.restart();
    f.context.run_for(m_grace + 1s);
    CHECK(m_stopped);
    CHECK(MonotonicClock::now() - begin < m_grace);
  }
  // Calls `action` at a time after the shutdown has begun.
  void At(Duration time, std::function<void()> action) {
    boost::asio::co_spawn(
        f.context,
        [this, time, action]() -> awaitable<void> {
          co_await f.Sleep(time);
          action();
        },
        boost::asio::detached);
  }
  uint16_t port() { return f.gateway(0).caller_port(); }

  GatewayFixture f;

 private:
  const Duration m_grace;
  bool m_stopped = false;
};

TEST_CASE("A request whose body is read when the listener closes is served") {
  StoppingGateway gateway(1);
  std::unique_ptr<Client> client;
  const std::string request =
      RawRequest("POST", "/safe/x", "a1", std::string(1000, 'x'));
  gateway.Run([&]() -> awaitable<void> {
    client = std::make_unique<Client>(gateway.port());
    client->Send(request.substr(0, request.size() / 2));
    gateway.At(3s, [&] { client->Send(request.substr(request.size() / 2)); });
    co_return;
  });
  CHECK(client->Status() == "HTTP/1.1 200 OK");
}

TEST_CASE("A request that is sent as the listener closes is served") {
  StoppingGateway gateway(1);
  std::vector<std::unique_ptr<Client>> clients;
  gateway.Run([&]() -> awaitable<void> {
    for (Duration time = 2300ms; time < 2700ms; time += 10ms) {
      clients.push_back(std::make_unique<Client>(gateway.port()));
      Client* client = clients.back().get();
      gateway.At(time - 50ms, [client] {
        client->Send("GET / HTTP/1.1\r\nHost: h.example\r\n");
      });
      gateway.At(time, [client] { client->Send("\r\n"); });
    }
    co_return;
  });
  for (auto& client : clients) {
    CHECK(client->Status() == "HTTP/1.1 404 Not Found");
  }
}

}  // namespace
}  // namespace cowslip
