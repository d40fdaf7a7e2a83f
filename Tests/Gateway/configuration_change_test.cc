#include <map>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Jobs/job_documents.h"
#include "gateway_fixture.h"
#include "raw_request.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using boost::asio::ip::tcp;
using namespace std::chrono_literals;

using Change = void (*)(nlohmann::json& configuration);

void DropRoutes(nlohmann::json& configuration) {
  configuration["routes"] = nlohmann::json::array();
}

void DropOrganisations(nlohmann::json& configuration) {
  configuration["tenants"] = nlohmann::json::array();
}

void DropKey(nlohmann::json& configuration) {
  configuration["tenants"][0]["api_keys"] = {"key9"};
}

void ShrinkRate(nlohmann::json& configuration) {
  configuration["tenants"][0]["rate_per_s"] = 0.01;
  configuration["tenants"][0]["burst"] = 1;
}

void ShrinkLimits(nlohmann::json& configuration) {
  configuration["limits"] = {{"max_header_bytes", 64},
                             {"max_body_bytes", 1},
                             {"header_timeout_ms", 20},
                             {"idle_timeout_ms", 20}};
}

void ShrinkTimeouts(nlohmann::json& configuration) {
  for (nlohmann::json& route : configuration["routes"]) {
    route["timeout_ms"] = 50;
    route["target_latency_ms"] = 10;
  }
}

void MoveService(nlohmann::json& configuration) {
  configuration["services"] = {{{"name", "t"}, {"max_connections", 1}}};
  for (nlohmann::json& route : configuration["routes"]) {
    route["service"] = "t";
  }
}

const std::vector<Change> kChanges = {
    DropRoutes,   DropOrganisations, DropKey,    ShrinkRate,
    ShrinkLimits, ShrinkTimeouts,    MoveService};

// Publishes the next version, which is `base` with the change.
void Publish(GatewayFixture& f, const nlohmann::json& base, Change change) {
  const uint64_t version = f.configuration["version"].get<uint64_t>() + 1;
  f.configuration = base;
  if (change != nullptr) {
    change(f.configuration);
  }
  f.configuration["version"] = version;
  f.Publish();
}

// The responses to requests that run at the same time.
struct Outcomes {
  size_t sent = 0;
  size_t answered = 0;
  size_t broken = 0;
  std::map<int, size_t> statuses;
  std::vector<std::string> bodies;
  std::string errors;
};

// Sends the request over a connection of its own.
void Start(GatewayFixture& f, HttpRequest request, Outcomes& outcomes) {
  ++outcomes.sent;
  boost::asio::co_spawn(
      f.context,
      [&f, &outcomes, request]() mutable -> awaitable<void> {
        HttpClient client(f.context.get_executor(),
                          Endpoint{.port = f.gateway(0).caller_port()});
        const Duration timeout = 10s;
        const auto response = co_await client.Send(std::move(request), timeout);
        if (response.has_value()) {
          ++outcomes.answered;
          ++outcomes.statuses[response.value().status];
          outcomes.bodies.push_back(response.value().body);
        } else {
          ++outcomes.broken;
          outcomes.errors += response.error().message + "\n";
        }
      },
      boost::asio::detached);
}

awaitable<void> AwaitAll(GatewayFixture& f, const Outcomes& outcomes) {
  for (int i = 0;
       i < 1200 && outcomes.answered + outcomes.broken < outcomes.sent; ++i) {
    co_await f.Sleep(10ms);
  }
  INFO(outcomes.errors);
  CHECK(outcomes.answered == outcomes.sent);
}

awaitable<tcp::socket> Connect(GatewayFixture& f) {
  tcp::socket socket(f.context);
  co_await socket.async_connect(
      tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                    f.gateway(0).caller_port()),
      boost::asio::use_awaitable);
  co_return std::move(socket);
}

// The status of the response; 0 when the connection ends before it.
awaitable<int> ReadStatus(tcp::socket& socket) {
  std::string head(12, '\0');
  boost::system::error_code error;
  co_await boost::asio::async_read(
      socket, boost::asio::buffer(head),
      boost::asio::redirect_error(boost::asio::use_awaitable, error));
  co_return error ? 0 : std::stoi(head.substr(9));
}

std::string Head(const std::string& path, size_t length, size_t padding = 0) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: h.example\r\nKey: key1\r\nAttempt-Id: raw\r\n"
         "Deadline-Ms: 3000\r\nPadding: " +
         std::string(padding, 'x') +
         "\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

TEST_CASE("A stream is whole after a change of its route, key or limits") {
  for (const Change change : kChanges) {
    GatewayFixture f(1);
    f.AddGateway();
    f.backend(0).behaviour() = {.events = 40, .pause = 10ms};
    f.Run([&]() -> awaitable<void> {
      co_await f.WaitUntilReady();
      Outcomes outcomes;
      Start(f, f.Request("POST", "/stream/x", "a1"), outcomes);
      co_await f.Sleep(100ms);
      Publish(f, nlohmann::json(f.configuration), change);
      co_await AwaitAll(f, outcomes);
      REQUIRE(outcomes.bodies.size() == 1);
      CHECK(outcomes.bodies[0] == ModelServer::Body("a1", 1, 40));
    });
  }
}

TEST_CASE("Requests that wait for a slot are answered after a change") {
  for (const Change change : kChanges) {
    GatewayFixture f(1);
    f.configuration["version"] = 2;
    for (nlohmann::json& route : f.configuration["routes"]) {
      route["target_latency_ms"] = 2000;
    }
    f.Publish();
    f.AddGateway();
    f.backend(0).behaviour() = {.events = 20, .pause = 20ms};
    f.Run([&]() -> awaitable<void> {
      co_await f.WaitUntilReady();
      Outcomes outcomes;
      for (int i = 0; i < 24; ++i) {
        const char* path = i % 2 == 0 ? "/once/x" : "/unsafe/x";
        Start(f, f.Request("POST", path, "a" + std::to_string(i)), outcomes);
      }
      co_await f.Sleep(100ms);
      CHECK(f.RequestsAt(0) < outcomes.sent);
      Publish(f, nlohmann::json(f.configuration), change);
      co_await AwaitAll(f, outcomes);
      // All of those that had been let in before the change were served.
      CHECK(outcomes.statuses[200] > 8);
    });
  }
}

TEST_CASE("A request that is being read during a change is answered") {
  for (const Change change : kChanges) {
    GatewayFixture f(1);
    f.AddGateway();
    f.Run([&]() -> awaitable<void> {
      co_await f.WaitUntilReady();
      tcp::socket socket = co_await Connect(f);
      constexpr size_t kHalf = 2000;
      (void)co_await WriteRaw(socket, Head("/unsafe/x", 2 * kHalf));
      (void)co_await WriteRaw(socket, std::string(kHalf, 'x'));
      co_await f.Sleep(100ms);
      Publish(f, nlohmann::json(f.configuration), change);
      co_await f.Sleep(200ms);
      (void)co_await WriteRaw(socket, std::string(kHalf, 'x'));
      const int status = co_await ReadStatus(socket);
      CHECK(status >= 200);
    });
  }
}

TEST_CASE("A job that is submitted during a change is accepted or refused") {
  for (const Change change : kChanges) {
    GatewayFixture f(1);
    f.AddGateway();
    f.Run([&]() -> awaitable<void> {
      co_await f.WaitUntilReady();
      const nlohmann::json base = f.configuration;
      f.server.SetFault(ServerFault::kSlow, kJobKind + std::string());
      Outcomes outcomes;
      Start(f, f.Submission("j", 6), outcomes);
      co_await f.Sleep(30ms);
      Publish(f, base, change);
      co_await AwaitAll(f, outcomes);
      f.server.SetFault(ServerFault::kNone);
      co_await f.Sleep(300ms);
      Publish(f, base, nullptr);
      co_await f.Sleep(300ms);
      if (outcomes.statuses.contains(202)) {
        const nlohmann::json results = co_await f.ReadAllResults(0, "j");
        CHECK(results.size() == 6);
      }
    });
  }
}

TEST_CASE("Calls that wait for results are answered after a change") {
  constexpr Duration kWait = 1500ms;
  for (const Change change : kChanges) {
    GatewayFixture f(1);
    f.AddGateway();
    f.AddGateway();
    f.backend(0).behaviour().pause = 20s;
    f.Run([&]() -> awaitable<void> {
      co_await f.WaitUntilReady();
      // At the job's gateway and at one that reads it from the store.
      for (size_t gateway = 0; gateway < 2; ++gateway) {
        HttpRequest submission = f.Submission("j" + std::to_string(gateway), 2);
        const auto accepted = co_await f.Send(gateway, std::move(submission));
        REQUIRE(accepted.has_value());
      }
      Outcomes outcomes;
      const MonotonicTime begin = MonotonicClock::now();
      for (const char* job : {"j0", "j1"}) {
        HttpRequest poll =
            f.Request("GET", "/lots/" + std::string(job) + "?after=0", "poll");
        poll.headers.push_back({"Wait-Ms", std::to_string(ToMillis(kWait))});
        Start(f, std::move(poll), outcomes);
      }
      co_await f.Sleep(300ms);
      CHECK(outcomes.answered == 0);
      Publish(f, nlohmann::json(f.configuration), change);
      co_await AwaitAll(f, outcomes);
      CHECK(MonotonicClock::now() - begin < kWait + 300ms);
      CHECK(outcomes.statuses[200] == 2);
    });
  }
}

TEST_CASE("Every request is answered while the configuration keeps changing") {
  GatewayFixture f(2);
  f.AddGateway();
  for (size_t i = 0; i < 2; ++i) {
    f.backend(i).behaviour() = {.events = 10, .pause = 10ms};
  }
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    const nlohmann::json base = f.configuration;
    Outcomes outcomes;
    int number = 0;
    for (int round = 0; round < 60; ++round) {
      for (const char* path :
           {"/stream/x", "/once/x", "/safe/x", "/unsafe/x"}) {
        const std::string id = "a" + std::to_string(++number);
        Start(f, f.Request("POST", path, id, std::string(5000, 'x')), outcomes);
      }
      // Streams that last beyond the timeout may be cut.
      const Change change =
          round % 2 == 0 ? kChanges[round / 2 % kChanges.size()] : nullptr;
      const std::string job = "j" + std::to_string(round);
      Start(f, f.Submission(job, 3), outcomes);
      Start(f, f.Request("GET", "/lots/" + job + "?after=0", "read"), outcomes);
      co_await f.Sleep(10ms);
      Publish(f, base, change == ShrinkTimeouts ? nullptr : change);
      co_await f.Sleep(20ms);
    }
    co_await AwaitAll(f, outcomes);
    CHECK(outcomes.statuses[200] > 0);
    CHECK(outcomes.statuses[202] > 0);
    Publish(f, base, nullptr);
    co_await f.Sleep(300ms);
    size_t accepted = 0;
    for (int round = 0; round < 60; ++round) {
      const std::string job = "j" + std::to_string(round);
      HttpRequest read = f.Request("GET", "/lots/" + job + "?after=0", "read");
      const auto known = co_await f.Send(0, std::move(read));
      REQUIRE(known.has_value());
      if (known.value().status == 200) {
        ++accepted;
        const nlohmann::json results = co_await f.ReadAllResults(0, job);
        CHECK(results.size() == 3);
      }
    }
    CHECK(accepted == outcomes.statuses[202]);
  });
}

TEST_CASE("Requests are answered while the settings are reloaded") {
  GatewayFixture f(1);
  f.AddGateway();
  f.backend(0).behaviour() = {.events = 30, .pause = 10ms};
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    Outcomes outcomes;
    for (int i = 0; i < 16; ++i) {
      Start(f, f.Request("POST", "/stream/x", "a" + std::to_string(i)),
            outcomes);
      Start(f, f.Submission("j" + std::to_string(i), 2), outcomes);
    }
    tcp::socket socket = co_await Connect(f);
    (void)co_await WriteRaw(socket, Head("/unsafe/x", 20));
    for (int i = 0; i < 20; ++i) {
      co_await f.Sleep(15ms);
      f.gateway(0).Reload(GatewaySettings{.vm = VmId("gateway-0"),
                                          .zone = ZoneId("z"),
                                          .job_retention = 1s * i});
      f.gateway(0).RejectSettings(Error(ErrorKind::kInvalidArgument, "no"));
    }
    (void)co_await WriteRaw(socket, std::string(20, 'x'));
    const int status = co_await ReadStatus(socket);
    CHECK(status >= 200);
    co_await AwaitAll(f, outcomes);
  });
}

TEST_CASE("A raised header limit holds on connections that were idle") {
  GatewayFixture f(1);
  f.configuration["limits"] = {{"max_header_bytes", 1000}};
  f.Publish();
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    tcp::socket socket = co_await Connect(f);
    co_await f.Sleep(50ms);
    Publish(f, nlohmann::json(f.configuration),
            [](nlohmann::json& configuration) {
              configuration["limits"]["max_header_bytes"] = 10000;
            });
    co_await f.Sleep(200ms);
    (void)co_await WriteRaw(socket, Head("/unsafe/x", 0, 5000));
    const int status = co_await ReadStatus(socket);
    CHECK(status == 200);
  });
}

TEST_CASE("A raised idle timeout holds on connections that were idle") {
  GatewayFixture f(1);
  f.configuration["limits"] = {{"idle_timeout_ms", 400}};
  f.Publish();
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    tcp::socket socket = co_await Connect(f);
    Publish(f, nlohmann::json(f.configuration),
            [](nlohmann::json& configuration) {
              configuration["limits"]["idle_timeout_ms"] = 2000;
            });
    co_await f.Sleep(1600ms);
    (void)co_await WriteRaw(socket, Head("/unsafe/x", 0));
    const int status = co_await ReadStatus(socket);
    CHECK(status == 200);
  });
}

TEST_CASE("A request over a lowered body limit gets its refusal") {
  GatewayFixture f(1);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    tcp::socket socket = co_await Connect(f);
    Publish(f, nlohmann::json(f.configuration),
            [](nlohmann::json& configuration) {
              configuration["limits"] = {{"max_body_bytes", 1000}};
            });
    co_await f.Sleep(200ms);
    constexpr size_t kLength = 100000;
    (void)co_await WriteRaw(
        socket, Head("/unsafe/x", kLength) + std::string(kLength, 'x'));
    const int status = co_await ReadStatus(socket);
    CHECK(status == 413);
  });
}

}  // namespace
}  // namespace cowslip
