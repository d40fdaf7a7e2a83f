// Requests that reach a gateway before it has read the store.

#include <map>
#include <string>
#include <vector>

#include "gateway_fixture.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

// How long the gate holds requests, and what answers may need beyond it.
constexpr Duration kHeld = 500ms;
constexpr Duration kMargin = 150ms;

struct Held {
  int status = 0;
  std::string body;
  Duration took = Duration::zero();
};

// Sends requests of each kind over connections of their own; with a deadline.
class HeldRequests {
 public:
  explicit HeldRequests(GatewayFixture& f) : m_f(f) {}

  void SendAll(Duration deadline) {
    for (const char* path : {"/stream/x", "/once/x", "/safe/x", "/unsafe/x"}) {
      Send(GatewayFixture::Request("POST", path, path), deadline);
    }
    Send(GatewayFixture::Submission("job", 2), deadline);
    Send(GatewayFixture::Request("GET", "/lots/job?after=0", "read"), deadline);
  }
  awaitable<void> AwaitAll() {
    for (int i = 0; i < 600 && m_answers.size() + m_errors < m_sent; ++i) {
      co_await m_f.Sleep(10ms);
    }
    CHECK(m_errors == 0);
    CHECK(m_answers.size() == m_sent);
  }
  const std::vector<Held>& answers() const { return m_answers; }

 private:
  void Send(HttpRequest request, Duration deadline) {
    ++m_sent;
    for (HttpHeader& header : request.headers) {
      if (header.name == "Deadline-Ms") {
        header.value = std::to_string(ToMillis(deadline));
      }
    }
    boost::asio::co_spawn(
        m_f.context,
        [this, request]() mutable -> awaitable<void> {
          HttpClient client(m_f.context.get_executor(),
                            Endpoint{.port = m_f.gateway(0).caller_port()});
          const Duration timeout = 10s;
          const MonotonicTime begin = MonotonicClock::now();
          const auto response =
              co_await client.Send(std::move(request), timeout);
          if (!response.has_value()) {
            ++m_errors;
            co_return;
          }
          m_answers.push_back({.status = response.value().status,
                               .body = response.value().body,
                               .took = MonotonicClock::now() - begin});
        },
        boost::asio::detached);
  }

  GatewayFixture& m_f;
  size_t m_sent = 0;
  size_t m_errors = 0;
  std::vector<Held> m_answers;
};

// Starts a gateway whose store stays away, with requests at its startup gate.
// They are answered before `latest`.
template <class Body>
void RunHeld(Duration deadline, Duration latest, Body body) {
  GatewayFixture f(1);
  f.server.SetFault(ServerFault::kBusy);
  f.AddGateway();
  HeldRequests requests(f);
  f.Run([&]() -> awaitable<void> {
    requests.SendAll(deadline);
    co_await f.Sleep(50ms);
    CHECK(requests.answers().empty());
    co_await body(f);
    co_await requests.AwaitAll();
  });
  for (const Held& answer : requests.answers()) {
    INFO(answer.status << " " << answer.body);
    CHECK(answer.took < latest);
  }
}

// Guards against requests within the quota that are refused because the number
// of gateways, and so the part of the burst, is not known yet.
TEST_CASE("A request at the gate waits until the other gateways are known") {
  GatewayFixture f(1);
  f.server.SetFault(ServerFault::kBusy, "cowslip-gateways");
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    boost::asio::co_spawn(
        f.context,
        [&]() -> awaitable<void> {
          co_await f.Sleep(150ms);
          f.server.SetFault(ServerFault::kNone);
        },
        boost::asio::detached);
    HttpRequest request = f.Request("POST", "/safe/x", "a1");
    for (HttpHeader& header : request.headers) {
      if (header.name == "Key") {
        header.value = "key2";
      }
    }
    const auto response = co_await f.Send(0, std::move(request));
    INFO(GatewayFixture::Describe(response));
    REQUIRE(response.has_value());
    CHECK(response.value().status == 200);
  });
}

TEST_CASE("Requests at the gate are refused when the store stays away") {
  RunHeld(3s, kHeld + kMargin,
          [](GatewayFixture&) -> awaitable<void> { co_return; });
}

TEST_CASE("Requests at the gate are answered by their deadline") {
  RunHeld(100ms, 100ms + kMargin,
          [](GatewayFixture&) -> awaitable<void> { co_return; });
}

TEST_CASE("Requests at the gate are answered when a shutdown begins") {
  RunHeld(3s, kHeld + kMargin, [](GatewayFixture& f) -> awaitable<void> {
    f.gateway(0).Shutdown();
    co_return;
  });
}

TEST_CASE("Requests at the gate are answered before the exit of the process") {
  RunHeld(3s, kHeld, [](GatewayFixture& f) -> awaitable<void> {
    f.gateway(0).Reload(GatewaySettings{.stop_grace = 350ms});
    f.gateway(0).Shutdown();
    co_return;
  });
}

TEST_CASE("Requests at the gate are answered by a configuration without them") {
  for (const char* dropped : {"routes", "tenants"}) {
    RunHeld(3s, kHeld + kMargin, [&](GatewayFixture& f) -> awaitable<void> {
      f.configuration["version"] = 2;
      f.configuration[dropped] = nlohmann::json::array();
      f.Publish();
      f.server.SetFault(ServerFault::kNone);
      co_return;
    });
  }
}

}  // namespace
}  // namespace cowslip
