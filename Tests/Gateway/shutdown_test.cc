// Requests that meet the shutdown of a gateway. The clients block on their own
// context, so that what they have received by the exit of the process is what
// lies in their sockets.

#include <chrono>
#include <map>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "Jobs/job_documents.h"
#include "gateway_fixture.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using boost::asio::ip::tcp;
using namespace std::chrono_literals;

std::string RawRequest(const std::string& method,
                       const std::string& target,
                       const std::string& attempt,
                       const std::string& body = "",
                       Duration deadline = 30s) {
  return method + " " + target +
         " HTTP/1.1\r\nHost: h.example\r\nKey: key1\r\nAttempt-Id: " + attempt +
         "\r\nDeadline-Ms: " + std::to_string(ToMillis(deadline)) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
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
    m_closed = m_closed || error != boost::asio::error::would_block;
    return m_received;
  }
  // Whether the gateway has closed the connection.
  bool IsClosed() {
    Received();
    return m_closed;
  }
  std::string Status() {
    const std::string& received = Received();
    return received.substr(0, received.find("\r\n"));
  }

 private:
  boost::asio::io_context m_context;
  tcp::socket m_socket;
  std::string m_received;
  bool m_closed = false;
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

  // Starts the gateway, then runs `before` and the shutdown. The process is
  // gone afterwards.
  template <class Body>
  void Run(Body before) {
    f.AddKillableGateway();
    f.Run([&]() -> awaitable<void> {
      co_await f.WaitUntilReady();
      co_await before();
    });
    f.gateway(0).Shutdown();
    const MonotonicTime begin = MonotonicClock::now();
    f.context.restart();
    f.RunFor(m_grace + 1s);
    CHECK(m_stopped);
    CHECK(MonotonicClock::now() - begin < m_grace);
    f.KillGateway();
    f.context.restart();
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
  // Sends a request as soon as the client has received a whole stream.
  void SendAfterStream(Client& client, std::string request) {
    boost::asio::co_spawn(
        f.context,
        [this, &client, request = std::move(request)]() -> awaitable<void> {
          while (!client.Received().ends_with("\r\n0\r\n\r\n")) {
            co_await f.Sleep(10ms);
          }
          client.Send(request);
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
      RawRequest("POST", "/safe/x", "a1", std::string(1000, 'x'), 2s);
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

TEST_CASE("A request that never arrives whole gets 503 before the exit") {
  StoppingGateway gateway(1, 4s);
  std::unique_ptr<Client> client;
  const std::string request =
      RawRequest("POST", "/safe/x", "a1", std::string(1000, 'x'));
  gateway.Run([&]() -> awaitable<void> {
    client = std::make_unique<Client>(gateway.port());
    client->Send(request.substr(0, request.size() / 2));
    co_return;
  });
  CHECK(client->Status() == "HTTP/1.1 503 Service Unavailable");
  CHECK_THAT(client->Received(), Catch::Contains("Retry-After: "));
  CHECK_THAT(client->Received(), Catch::Contains("\"not_run\":true"));
}

// Guards against requests that come late in the grace time, are passed on and
// are cut off in the middle of their run.
TEST_CASE("A request whose run would not end before the exit is not begun") {
  StoppingGateway gateway(1);
  gateway.f.backend(0).behaviour() = {.events = 150, .pause = 20ms};
  std::map<std::string, std::unique_ptr<Client>> clients;
  gateway.Run([&]() -> awaitable<void> {
    for (const char* route : {"once", "unsafe", "safe", "stream"}) {
      const std::string request =
          RawRequest("POST", "/" + std::string(route) + "/x", route, "body");
      auto& client = clients[route];
      client = std::make_unique<Client>(gateway.port());
      client->Send(request.substr(0, request.size() - 1));
      gateway.At(5500ms, [&client, request] {
        client->Send(request.substr(request.size() - 1));
      });
    }
    co_return;
  });
  CHECK(gateway.f.RequestsAt(0) == 0);
  for (const auto& [route, client] : clients) {
    INFO(route);
    CHECK(client->Status() == "HTTP/1.1 503 Service Unavailable");
    CHECK_THAT(client->Received(), Catch::Contains("\"not_run\":true"));
  }
}

// Guards against late requests that are begun because earlier runs of their
// route were short, and cut off because their own run is longer.
TEST_CASE("A late request with a longer run than others is not cut off") {
  StoppingGateway gateway(1);
  const std::vector<std::string> routes = {"once", "unsafe", "safe", "stream"};
  std::map<std::string, std::unique_ptr<Client>> clients;
  gateway.Run([&]() -> awaitable<void> {
    for (const std::string& route : routes) {
      HttpRequest request =
          GatewayFixture::Request("POST", "/" + route + "/x", "short-" + route);
      const auto response = co_await gateway.f.Send(0, std::move(request));
      REQUIRE(response.has_value());
      REQUIRE(response.value().status == 200);
    }
    // The second request of each connection is sent 3.4 s after the shutdown
    // began, and its run would end 0.4 s after the answers are due.
    gateway.f.backend(0).behaviour() = {.events = 40, .pause = 100ms};
    for (const std::string& route : routes) {
      auto& client = clients[route];
      client = std::make_unique<Client>(gateway.port());
      client->Send(RawRequest("POST", "/stream/x", "first-" + route));
      gateway.SendAfterStream(
          *client, RawRequest("POST", "/" + route + "/x", "late-" + route));
    }
    co_await gateway.f.Sleep(600ms);
  });
  CHECK(gateway.f.RequestsAt(0) == 2 * routes.size());
  for (const auto& [route, client] : clients) {
    INFO(route << ": " << client->Received());
    CHECK(client->Status() == "HTTP/1.1 200 OK");
    const size_t end = client->Received().find("\r\n0\r\n\r\n");
    REQUIRE(end != std::string::npos);
    const std::string second = client->Received().substr(end + 7);
    CHECK(second.starts_with("HTTP/1.1 503 Service Unavailable"));
    CHECK_THAT(second, Catch::Contains("\"not_run\":true"));
  }
}

TEST_CASE("A late request is served if its deadline ends before the exit") {
  StoppingGateway gateway(1);
  std::unique_ptr<Client> client;
  const std::string request =
      RawRequest("POST", "/unsafe/x", "late", "body", 1s);
  gateway.Run([&]() -> awaitable<void> {
    client = std::make_unique<Client>(gateway.port());
    client->Send(request.substr(0, request.size() - 1));
    gateway.At(5500ms,
               [&] { client->Send(request.substr(request.size() - 1)); });
    co_return;
  });
  CHECK(client->Status() == "HTTP/1.1 200 OK");
}

// Guards against requests that can't be completed any more and are kept waiting
// until the answers are due.
TEST_CASE("A waiting request that can't be completed gets 503 at once") {
  StoppingGateway gateway(1);
  gateway.f.backend(0).behaviour().pause = 20s;
  std::vector<std::unique_ptr<Client>> clients;
  std::vector<std::string> early_statuses;
  gateway.Run([&]() -> awaitable<void> {
    // More than the backend server has slots.
    for (size_t i = 0; i < 12; ++i) {
      clients.push_back(std::make_unique<Client>(gateway.port()));
      const std::string attempt = "a" + std::to_string(i);
      clients.back()->Send(RawRequest("POST", "/once/" + attempt, attempt));
      co_await gateway.f.Sleep(50ms);
    }
    // The late requests begin at 2.5 s; the answers are due at 7 s.
    gateway.At(3500ms, [&] {
      for (const auto& client : clients) {
        early_statuses.push_back(client->Status());
      }
    });
  });
  const size_t sent = gateway.f.RequestsAt(0);
  REQUIRE(sent < clients.size());
  REQUIRE(early_statuses.size() == clients.size());
  for (size_t i = sent; i < clients.size(); ++i) {
    CHECK(early_statuses[i] == "HTTP/1.1 503 Service Unavailable");
    CHECK_THAT(clients[i]->Received(), Catch::Contains("Retry-After: "));
    CHECK_THAT(clients[i]->Received(), Catch::Contains("\"not_run\":true"));
  }
}

TEST_CASE("A request that waits for a slot gets 503 before the exit") {
  StoppingGateway gateway(1, 4s);
  gateway.f.backend(0).behaviour().pause = 20s;
  std::vector<std::unique_ptr<Client>> clients;
  gateway.Run([&]() -> awaitable<void> {
    // More than the backend server has slots.
    for (size_t i = 0; i < 12; ++i) {
      clients.push_back(std::make_unique<Client>(gateway.port()));
      const std::string attempt = "a" + std::to_string(i);
      clients.back()->Send(RawRequest("POST", "/once/" + attempt, attempt));
      co_await gateway.f.Sleep(50ms);
    }
  });
  const size_t sent = gateway.f.RequestsAt(0);
  REQUIRE(sent < clients.size());
  for (size_t i = sent; i < clients.size(); ++i) {
    CHECK(clients[i]->Status() == "HTTP/1.1 503 Service Unavailable");
    CHECK_THAT(clients[i]->Received(), Catch::Contains("Retry-After: "));
    CHECK_THAT(clients[i]->Received(), Catch::Contains("\"not_run\":true"));
  }
}

TEST_CASE("A request that still runs gets 504 before the exit") {
  StoppingGateway gateway(0, 4s);
  // A backend server that takes requests and never answers.
  const tcp::acceptor silent(
      gateway.f.context,
      tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  gateway.f.store.Put(
      "servers", "i-9",
      {{"service", "s"},
       {"address",
        "127.0.0.1:" + std::to_string(silent.local_endpoint().port())},
       {"zone", "z"},
       {"version", "v1"},
       {"slots", 8},
       {"state", "ready"},
       {"sequence", 1}});
  std::unique_ptr<Client> client;
  gateway.Run([&]() -> awaitable<void> {
    client = std::make_unique<Client>(gateway.port());
    client->Send(RawRequest("POST", "/unsafe/x", "a1"));
    co_await gateway.f.Sleep(50ms);
  });
  CHECK(client->Status() == "HTTP/1.1 504 Gateway Timeout");
  CHECK_THAT(client->Received(), !Catch::Contains("\"not_run\":true"));
}

TEST_CASE(
    "A submission that the store refuses gets its answer before the exit") {
  StoppingGateway gateway(1, 3700ms);
  std::unique_ptr<Client> client;
  gateway.Run([&]() -> awaitable<void> {
    client = std::make_unique<Client>(gateway.port());
    const HttpRequest job = GatewayFixture::Submission("job1", 1);
    gateway.At(2400ms, [&gateway, &client, job] {
      gateway.f.server.SetFault(ServerFault::kBusy);
      client->Send(RawRequest("POST", "/job/submit", "job1", job.body));
    });
    co_return;
  });
  // Not 504: the job was certainly not accepted.
  CHECK(client->Status().substr(0, 12) == "HTTP/1.1 503");
}

TEST_CASE("A call that waits for results gets an answer before the exit") {
  StoppingGateway gateway(1, 4s);
  gateway.f.backend(0).behaviour().pause = 20s;
  std::unique_ptr<Client> client;
  gateway.Run([&]() -> awaitable<void> {
    HttpRequest job = GatewayFixture::Submission("job1", 1);
    const auto accepted = co_await gateway.f.Send(0, std::move(job));
    REQUIRE(accepted.has_value());
    REQUIRE(accepted.value().status == 202);
    client = std::make_unique<Client>(gateway.port());
    client->Send(
        "GET /lots/job1?after=0 HTTP/1.1\r\nHost: h.example\r\n"
        "Key: key1\r\nAttempt-Id: r1\r\nWait-Ms: 30000\r\n\r\n");
    co_await gateway.f.Sleep(50ms);
  });
  CHECK(client->Status() == "HTTP/1.1 200 OK");
}

TEST_CASE("A stream is not cut before the last sixth of a short grace time") {
  for (const Duration grace : {2s, 3s, 4s, 6s}) {
    StoppingGateway gateway(1, grace);
    gateway.f.backend(0).behaviour() = {.events = 1000, .pause = 20ms};
    std::unique_ptr<Client> client;
    bool closed_early = true;
    gateway.Run([&]() -> awaitable<void> {
      client = std::make_unique<Client>(gateway.port());
      client->Send(RawRequest("POST", "/once/a1", "a1"));
      gateway.At(grace * 5 / 6 - 20ms,
                 [&] { closed_early = client->IsClosed(); });
      co_await gateway.f.Sleep(50ms);
    });
    INFO("grace time of " << ToMillis(grace) << " ms");
    CHECK(client->Status() == "HTTP/1.1 200 OK");
    CHECK_FALSE(closed_early);
    CHECK(client->IsClosed());
  }
}

// A shorter grace time than has passed already.
void ShortenGrace(StoppingGateway& gateway, Duration time) {
  gateway.At(time, [&gateway] {
    gateway.f.gateway(0).Reload(GatewaySettings{.stop_grace = 500ms});
  });
}

TEST_CASE(
    "A reload with a shorter grace time leaves no request without an answer") {
  // Before and after the close of the listener.
  for (const Duration reload : {1s, 3s}) {
    StoppingGateway gateway(0, 10s);
    // A backend server that takes requests and never answers.
    const tcp::acceptor silent(
        gateway.f.context,
        tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    gateway.f.store.Put(
        "servers", "i-9",
        {{"service", "s"},
         {"address",
          "127.0.0.1:" + std::to_string(silent.local_endpoint().port())},
         {"zone", "z"},
         {"version", "v1"},
         {"slots", 4},
         {"state", "ready"},
         {"sequence", 1}});
    std::vector<std::unique_ptr<Client>> clients;
    const auto send = [&](const std::string& bytes) {
      clients.push_back(std::make_unique<Client>(gateway.port()));
      clients.back()->Send(bytes);
    };
    gateway.Run([&]() -> awaitable<void> {
      HttpRequest job = GatewayFixture::Submission("job1", 1);
      const auto accepted = co_await gateway.f.Send(0, std::move(job));
      REQUIRE(accepted.has_value());
      send(
          "GET /lots/job1?after=0 HTTP/1.1\r\nHost: h.example\r\n"
          "Key: key1\r\nAttempt-Id: r1\r\nWait-Ms: 30000\r\n\r\n");
      // Some run, the others wait for a slot.
      for (int i = 0; i < 8; ++i) {
        const std::string id = "a" + std::to_string(i);
        for (const char* path : {"/once/", "/unsafe/"}) {
          send(RawRequest("POST", path + id, id + path[1]));
        }
      }
      const std::string body(1000, 'x');
      send(RawRequest("POST", "/safe/x", "half", body).substr(0, 600));
      gateway.At(reload - 200ms, [&] {
        gateway.f.server.SetFault(ServerFault::kBusy);
        if (reload < 2500ms) {
          const HttpRequest late = GatewayFixture::Submission("job2", 1);
          send(RawRequest("POST", "/job/submit", "job2", late.body));
        }
      });
      ShortenGrace(gateway, reload);
      co_await gateway.f.Sleep(50ms);
    });
    for (size_t i = 0; i < clients.size(); ++i) {
      INFO("request " << i << " of " << clients.size());
      CHECK(clients[i]->Status().substr(0, 9) == "HTTP/1.1 ");
    }
  }
}

TEST_CASE("A reload with a longer grace time lets requests be completed") {
  StoppingGateway gateway(1, 9s);
  gateway.f.backend(0).behaviour() = {.events = 45, .pause = 100ms};
  std::vector<std::unique_ptr<Client>> clients;
  gateway.f.stop_grace = 4s;
  gateway.Run([&]() -> awaitable<void> {
    clients.push_back(std::make_unique<Client>(gateway.port()));
    clients.back()->Send(RawRequest("POST", "/once/before", "before"));
    gateway.At(500ms, [&] {
      clients.push_back(std::make_unique<Client>(gateway.port()));
      clients.back()->Send(RawRequest("POST", "/once/after", "after"));
    });
    gateway.At(1s, [&gateway] {
      gateway.f.gateway(0).Reload(GatewaySettings{.stop_grace = 9s});
    });
    co_await gateway.f.Sleep(50ms);
  });
  for (const auto& client : clients) {
    CHECK(client->Status() == "HTTP/1.1 200 OK");
    const bool whole = client->Received().ends_with("\r\n0\r\n\r\n");
    CHECK(whole);
  }
}

// Submits the jobs to the other gateway and checks that each has its results.
void CheckJobsAtOther(GatewayFixture& f,
                      const std::vector<std::string>& jobs,
                      size_t items) {
  f.Run([&]() -> awaitable<void> {
    for (const std::string& job : jobs) {
      INFO(job);
      HttpRequest again = GatewayFixture::Submission(job, items);
      const auto accepted = co_await f.Send(1, std::move(again));
      INFO(GatewayFixture::Describe(accepted));
      REQUIRE(accepted.has_value());
      CHECK(accepted.value().status == 202);
    }
    for (const std::string& job : jobs) {
      INFO(job);
      const nlohmann::json results = co_await f.ReadAllResults(1, job);
      CHECK(results.size() == items);
      for (const auto& result : results) {
        CHECK(result["state"] == "completed");
      }
    }
  });
}

TEST_CASE("A job that is submitted as the process ends is accepted or found") {
  StoppingGateway gateway(2, 1s);
  GatewayFixture& f = gateway.f;
  std::vector<std::unique_ptr<Client>> clients;
  std::vector<std::string> jobs;
  gateway.Run([&]() -> awaitable<void> {
    f.AddGateway();
    co_await f.WaitUntilReady();
    // A submission takes two calls.
    f.server.SetFault(ServerFault::kSlow);
    for (Duration time = 300ms; time < 900ms; time += 20ms) {
      jobs.push_back("job" + std::to_string(jobs.size()));
      clients.push_back(std::make_unique<Client>(gateway.port()));
      const HttpRequest job = GatewayFixture::Submission(jobs.back(), 2);
      gateway.At(time, [client = clients.back().get(), body = job.body,
                        id = jobs.back()] {
        client->Send(RawRequest("POST", "/job/submit", id, body));
      });
    }
  });
  f.server.SetFault(ServerFault::kNone);
  std::map<std::string, size_t> statuses;
  for (size_t i = 0; i < clients.size(); ++i) {
    const std::string status = clients[i]->Status().substr(0, 12);
    ++statuses[status];
    INFO(jobs[i] << " " << status);
    CHECK((status == "HTTP/1.1 202" || status == "HTTP/1.1 503" ||
           status == "HTTP/1.1 504"));
    // A submission with 202 is in the store, whatever became of the process.
    if (status == "HTTP/1.1 202") {
      CHECK(f.store.Find(kJobKind, jobs[i] + ".mill") != nullptr);
    }
  }
  CHECK(statuses["HTTP/1.1 202"] > 0);
  CHECK(statuses["HTTP/1.1 504"] > 0);
  CheckJobsAtOther(f, jobs, 2);
}

TEST_CASE("Results that were not written before the exit come from another") {
  StoppingGateway gateway(2, 3s);
  GatewayFixture& f = gateway.f;
  gateway.Run([&]() -> awaitable<void> {
    HttpRequest job = GatewayFixture::Submission("job1", 6);
    const auto accepted = co_await f.Send(0, std::move(job));
    REQUIRE(accepted.has_value());
    CHECK(accepted.value().status == 202);
    f.server.SetFault(ServerFault::kBusy, kResultKind);
    co_await f.Sleep(500ms);
    CHECK(f.RequestsAt(0) + f.RequestsAt(1) == 6);
    f.AddGateway();
    co_await f.WaitUntilReady();
  });
  f.server.SetFault(ServerFault::kNone);
  CheckJobsAtOther(f, {"job1"}, 6);
}

}  // namespace
}  // namespace cowslip
