// Connections beyond max_connections or the limit on file descriptors.

#include <sys/resource.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Net/http_server.h"
#include "raw_client.h"
#include "server_in_steps.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

constexpr const char* kRequest = RawClient::kRequest;
constexpr const char* kOk = "HTTP/1.1 200 OK";
constexpr const char* kRefused = "HTTP/1.1 503 Service Unavailable";

std::vector<std::unique_ptr<RawClient>> Connect(size_t count, uint16_t port) {
  std::vector<std::unique_ptr<RawClient>> clients;
  for (size_t i = 0; i < count; ++i) {
    clients.push_back(std::make_unique<RawClient>(port));
  }
  return clients;
}

// Sets the limit on file descriptors until the scope ends.
class DescriptorLimit {
 public:
  explicit DescriptorLimit(rlim_t limit) {
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &m_before) == 0);
    rlimit lower = m_before;
    lower.rlim_cur = limit;
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &lower) == 0);
  }
  ~DescriptorLimit() { ::setrlimit(RLIMIT_NOFILE, &m_before); }
  DescriptorLimit(const DescriptorLimit&) = delete;
  DescriptorLimit& operator=(const DescriptorLimit&) = delete;

 private:
  rlimit m_before{};
};

TEST_CASE("A request over a connection beyond the limit is refused") {
  ServerInSteps server({.max_connections = 1});
  RawClient first(server.http.port());
  server.RunFor(10ms);
  RawClient second(server.http.port());
  second.Send(kRequest);
  CHECK(second.Read(server.context) == kRefused);
  first.Send(kRequest);
  CHECK(first.Read(server.context) == kOk);
  CHECK(server.http.requests_over_limit() == 1);
  server.RunFor(500ms);
  CHECK(server.http.connections() == 1);
}

TEST_CASE("A request over a connection beyond the limit is read in full") {
  ServerInSteps server({.max_connections = 1});
  RawClient first(server.http.port());
  server.RunFor(10ms);
  RawClient second(server.http.port());
  const std::string body(500000, 'x');
  CHECK(second.SendPieces(
      server.context,
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n" + body,
      100000, 5ms));
  CHECK(second.Read(server.context) == kRefused);
}

TEST_CASE("A connection beyond the limit is served when there is room again") {
  ServerInSteps server({.max_connections = 1});
  auto first = std::make_unique<RawClient>(server.http.port());
  server.RunFor(10ms);
  RawClient second(server.http.port());
  server.RunFor(10ms);
  first.reset();
  server.RunFor(10ms);
  second.Send(kRequest);
  CHECK(second.Read(server.context) == kOk);
  second.Send(kRequest);
  CHECK(second.Read(server.context) == kOk);
  CHECK(server.http.requests_over_limit() == 0);
}

TEST_CASE("A silent connection beyond the limit is closed soon") {
  ServerInSteps server({.max_connections = 1});
  RawClient first(server.http.port());
  RawClient second(server.http.port());
  server.RunFor(1500ms);
  CHECK(server.http.connections() == 1);
  CHECK(second.HasEnded());
}

TEST_CASE("Connections far beyond the limit wait to be accepted") {
  ServerInSteps server({.max_connections = 1});
  auto first = Connect(1, server.http.port());
  server.RunFor(10ms);
  auto clients = Connect(200, server.http.port());
  for (const auto& client : clients) {
    client->Send(kRequest);
  }
  for (const auto& client : clients) {
    const std::string status = client->Read(server.context);
    CHECK(status == kRefused);
    // The caller closes its connection.
  }
  clients.clear();
  first.clear();
  server.RunFor(100ms);
  CHECK(server.http.connections() == 0);
  RawClient last(server.http.port());
  last.Send(kRequest);
  CHECK(last.Read(server.context) == kOk);
}

TEST_CASE("Connections far beyond the limit do not outlast a drain") {
  ServerInSteps server({.max_connections = 1});
  const auto clients = Connect(200, server.http.port());
  server.RunFor(50ms);
  CHECK(server.http.connections() < 100);
  server.http.Drain();
  server.RunFor(1s);
  CHECK(server.http.connections() == 0);
}

TEST_CASE("Connections beyond the limit at a drain get answers") {
  ServerInSteps server({.max_connections = 1});
  const bool accepted = GENERATE(true, false);
  auto clients = Connect(200, server.http.port());
  if (accepted) {
    server.RunFor(20ms);
  }
  for (const auto& client : clients) {
    client->Send(kRequest);
  }
  server.http.Drain();
  size_t answered = 0;
  for (const auto& client : clients) {
    const std::string status = client->Read(server.context);
    answered += status == kOk || status == kRefused ? 1 : 0;
  }
  CHECK(answered == clients.size());
  clients.clear();
  server.RunFor(200ms);
  CHECK(server.http.connections() == 0);
  CHECK_THROWS(RawClient(server.http.port()));
}

TEST_CASE(
    "A connection that meets a lack of descriptors at a drain is served") {
  ServerInSteps server;
  RawClient client(server.http.port());
  client.Send(kRequest);
  {
    const DescriptorLimit limit(4);
    server.http.Drain();
    server.RunFor(50ms);
  }
  CHECK(client.Read(server.context) == kOk);
}

TEST_CASE("A lack of file descriptors neither spins nor loses a connection") {
  ServerInSteps server;
  RawClient client(server.http.port());
  client.Send(kRequest);
  {
    const DescriptorLimit limit(4);
    server.context.restart();
    CHECK(server.context.run_for(300ms) < 100);
    CHECK(server.http.connections() == 0);
    CHECK(server.http.failed_accepts() > 0);
  }
  CHECK(client.Read(server.context) == kOk);
}

TEST_CASE("The limit on connections leaves file descriptors for other uses") {
  std::unique_ptr<ServerInSteps> server;
  {
    const DescriptorLimit limit(40);
    server = std::make_unique<ServerInSteps>();
  }
  const auto clients = Connect(30, server->http.port());
  server->RunFor(50ms);
  CHECK(server->http.connections() == 30);
  RawClient next(server->http.port());
  next.Send(kRequest);
  CHECK(next.Read(server->context) == kRefused);
}

// A configuration sets the limits anew, also those that it does not change.
TEST_CASE("New limits do not keep silent connections beyond the limit open") {
  ServerInSteps server({.max_connections = 1});
  const auto clients = Connect(65, server.http.port());
  server.RunFor(50ms);
  server.http.SetLimits(HttpServerLimits{});
  RawClient late(server.http.port());
  late.Send(kRequest);
  server.RunFor(1500ms);
  CHECK(server.http.requests_over_limit() == 1);
}

}  // namespace
}  // namespace cowslip
