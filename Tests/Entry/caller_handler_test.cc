// The entry towards callers: a real HTTP server and client around
// CallerHandler and RequestDriver, with a side process played by the test.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include "Access/key_text.h"
#include "Base/json.h"
#include "Base/message_codec.h"
#include "Configuration/snapshot.h"
#include "Entry/caller_handler.h"
#include "Net/http_client.h"
#include "Net/http_exchange.h"
#include "Net/http_server.h"
#include "Utilities/StandIns/Platform/fake_object_store.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

constexpr Duration kTimeout = 5s;
const VmId kBackend("backend-1");
const ServiceId kService("catalogue");
const OrganisationId kStudio("studio");
const OrganisationId kMill("mill");

RouteDeclaration Route(const char* name, RouteAllow allow, bool idempotent) {
  RouteDeclaration route;
  route.id = RouteId(name);
  route.service = kService;
  route.path = std::string("/") + name;
  route.methods = {"POST"};
  route.allow = std::move(allow);
  route.idempotent = idempotent;
  route.max_body_bytes = 1000;
  return route;
}

class Fixture {
 public:
  Fixture()
      : m_claims(store),
        driver(m_context, m_claims, {}, Hooks(), "test."),
        callers(
            driver,
            [](const HttpRequest&, OrganisationId) -> awaitable<HttpResponse> {
              co_return HttpResponse();
            },
            [this] { return keys_trusted; }),
        m_server(m_context, {}, [this](HttpExchange& exchange) {
          return callers.Handle(exchange);
        }) {
    REQUIRE(m_server.Start().has_value());
    http = std::make_unique<HttpClient>(m_context.get_executor(),
                                        Endpoint{.port = m_server.port()});
    driver.Feed(BackendLinkUp{kBackend});
    driver.Feed(ReplyReceived{
        kBackend, BackendStatus{.service = kService, .load = {.slots = 8}}});
    Publish(std::nullopt);
  }

  // Puts a configuration in force in which the key is good or withdrawn.
  void Publish(std::optional<WallTime> withdrawn) {
    ++m_version;
    const ServiceDeclaration service = {
        .id = kService,
        .routes = {Route("chat", AllowListed{{kStudio}}, true),
                   Route("mill", AllowListed{{kMill}}, true),
                   Route("order", AllowAllOrganisations{}, false),
                   Route("open", AllowOpen{}, true)}};
    callers.SetSnapshot(Snapshot::FromDeclarations(
        m_version, {service}, {{.id = kStudio}, {.id = kMill}},
        {{.digest = DigestOfKey(key),
          .organisation = kStudio,
          .withdrawn = withdrawn}}));
  }

  HttpRequest Request(const std::string& target) const {
    HttpRequest request{.method = "POST", .target = target, .body = "hello"};
    request.headers.push_back({"Authorization", "Bearer " + key});
    return request;
  }

  // The side process answers the last dispatch, in part or whole.
  void Answer(bool whole) {
    const ExchangeId exchange = dispatched.back().exchange;
    driver.Feed(ReplyReceived{kBackend, ResponseHead{exchange, 200, {}}});
    driver.Feed(ReplyReceived{kBackend, ResponseChunk{exchange, 0, "part"}});
    if (whole) {
      driver.Feed(ReplyReceived{
          kBackend, ResponseEnd{.exchange = exchange, .chunks = 1}});
    }
  }

  template <class Client>
  void Run(Client client) {
    bool done = false;
    boost::asio::co_spawn(
        m_context,
        [&]() -> awaitable<void> {
          co_await client();
          done = true;
          m_context.stop();
        },
        boost::asio::detached);
    m_context.run_for(20s);
    CHECK(done);
  }

  // Waits until something is so; fails the test if it never is.
  template <class Condition>
  awaitable<void> Until(Condition condition) {
    boost::asio::steady_timer timer(m_context);
    for (int i = 0; i < 1000 && !condition(); ++i) {
      timer.expires_after(5ms);
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    CHECK(condition());
  }

  const std::string key = GenerateKey().value();
  std::vector<DispatchRequest> dispatched;
  size_t cancelled = 0;
  bool keys_trusted = true;
  bool answer_at_once = false;

 private:
  RequestDriverHooks Hooks() {
    return {.send =
                [this](const VmId&, const ExchangeRequestMessage& message) {
                  OnSent(message);
                  return true;
                },
            .ask_limit =
                [](const CheckRateLimit& ask,
                   const std::function<void(RequestEvent)>& answer) {
                  answer(RateLimitAdmitted{ask.request});
                },
            .broadcast_crash = [](const CrashReport&) {}};
  }

  void OnSent(const ExchangeRequestMessage& message) {
    if (std::holds_alternative<CancelRequest>(message)) {
      ++cancelled;
    } else if (const auto* request = std::get_if<DispatchRequest>(&message)) {
      dispatched.push_back(*request);
      if (answer_at_once) {
        Answer(true);
      }
    }
  }

  boost::asio::io_context m_context;

 public:
  FakeObjectStore store;

 private:
  ClaimStore m_claims;
  ConfigVersion m_version;

 public:
  RequestDriver driver;
  CallerHandler callers;
  std::unique_ptr<HttpClient> http;

 private:
  HttpServer m_server;
};

TEST_CASE_METHOD(Fixture, "A withdrawn key cuts the stream that it opened") {
  Run([this]() -> awaitable<void> {
    HttpRequest request = Request("/chat");
    boost::asio::steady_timer later(co_await boost::asio::this_coro::executor,
                                    50ms);
    later.async_wait(
        [this](const boost::system::error_code&) { Answer(false); });
    auto opened = co_await http->Open(std::move(request), kTimeout);
    REQUIRE(opened.has_value());
    const auto first = co_await opened.value()->ReadSome(kTimeout);
    REQUIRE(first.has_value());
    CHECK(first.value() == "part");
    Publish(WallNow());
    // The answer is truncated, which is an error, and the engine is told.
    const auto rest = co_await opened.value()->ReadSome(kTimeout);
    CHECK_FALSE(rest.has_value());
    CHECK(cancelled == 1);
    HttpRequest again = Request("/chat");
    const auto refused = co_await http->Send(std::move(again), kTimeout);
    REQUIRE(refused.has_value());
    CHECK(refused.value().status == 401);
    CHECK(dispatched.size() == 1);
  });
}

TEST_CASE_METHOD(Fixture, "Keys that cannot be checked stop keyed routes") {
  answer_at_once = true;
  keys_trusted = false;
  Run([this]() -> awaitable<void> {
    HttpRequest keyed = Request("/chat");
    const auto refused = co_await http->Send(std::move(keyed), kTimeout);
    REQUIRE(refused.has_value());
    CHECK(refused.value().status == 503);
    HttpRequest open = Request("/open");
    const auto served = co_await http->Send(std::move(open), kTimeout);
    REQUIRE(served.has_value());
    CHECK(served.value().status == 200);
  });
}

TEST_CASE_METHOD(Fixture, "A key opens only its organisation's routes") {
  Run([this]() -> awaitable<void> {
    HttpRequest other = Request("/mill");
    const auto refused = co_await http->Send(std::move(other), kTimeout);
    REQUIRE(refused.has_value());
    CHECK(refused.value().status == 403);
    HttpRequest unknown = Request("/nowhere");
    const auto missing = co_await http->Send(std::move(unknown), kTimeout);
    REQUIRE(missing.has_value());
    CHECK(missing.value().status == 404);
    CHECK(dispatched.empty());
  });
}

TEST_CASE_METHOD(Fixture, "No key reaches the side process") {
  answer_at_once = true;
  Run([this]() -> awaitable<void> {
    HttpRequest request = Request("/chat?access_token=" + key);
    request.headers.push_back({"X-API-KEY", key});
    request.headers.push_back({"Cookie", "session=" + key});
    request.body = "my key is " + key;
    const auto served = co_await http->Send(std::move(request), kTimeout);
    REQUIRE(served.has_value());
    REQUIRE(dispatched.size() == 1);
    const ExchangeRequestMessage sent = dispatched[0];
    CHECK(DumpJson(EncodeMessage(sent)).find(key) == std::string::npos);
  });
}

TEST_CASE_METHOD(Fixture, "A caller that leaves cancels its request") {
  Run([this]() -> awaitable<void> {
    HttpRequest request = Request("/chat");
    const auto gone = co_await http->Open(std::move(request), 100ms);
    CHECK_FALSE(gone.has_value());
    co_await Until([this] { return cancelled == 1; });
    co_await Until([this] { return callers.running() == 0; });
  });
}

TEST_CASE_METHOD(Fixture, "A resent order with its key does not run again") {
  answer_at_once = true;
  Run([this]() -> awaitable<void> {
    for (const int status : {200, 409}) {
      HttpRequest order = Request("/order");
      order.headers.push_back({"Idempotency-Key", "order-7"});
      const auto got = co_await http->Send(std::move(order), kTimeout);
      REQUIRE(got.has_value());
      CHECK(got.value().status == status);
    }
    CHECK(dispatched.size() == 1);
  });
}

TEST_CASE_METHOD(Fixture, "A claim whose answer was lost is found again") {
  answer_at_once = true;
  store.faults().lose_next_answer = true;
  Run([this]() -> awaitable<void> {
    HttpRequest order = Request("/order");
    order.headers.push_back({"Idempotency-Key", "order-8"});
    const auto got = co_await http->Send(std::move(order), kTimeout);
    REQUIRE(got.has_value());
    CHECK(got.value().status == 200);
    CHECK(dispatched.size() == 1);
  });
}

TEST_CASE_METHOD(Fixture, "Without the store a keyed order does not run") {
  store.faults().down = true;
  Run([this]() -> awaitable<void> {
    HttpRequest order = Request("/order");
    order.headers.push_back({"Idempotency-Key", "order-9"});
    const auto got = co_await http->Send(std::move(order), kTimeout);
    REQUIRE(got.has_value());
    CHECK(got.value().status == 503);
    CHECK_THAT(got.value().body, Catch::Contains("\"not_run\":true"));
    CHECK(dispatched.empty());
  });
}

}  // namespace
}  // namespace cowslip
