// A backend server whose process ends in the middle of an answer that has
// neither a length nor chunks closes the connection as at the end of a whole
// answer.
#include <memory>
#include <string>

#include "gateway_fixture.h"
#include "raw_backend.h"
#include "raw_request.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

constexpr uint64_t kEvents = 6;
constexpr uint64_t kEventsBeforeTheEnd = 2;
constexpr uint64_t kBorn = 1000;

// What becomes of the first backend server after its first answer.
enum class Fate {
  kLives,
  kEnds,
  kRestarts,
  kTellsNothing,
  /// Its kernel closes the connection of the first report in the middle.
  kEndsDuringReport,
  /// As above, but the process lives and answers the second one.
  kResetsReport,
};

std::string EventsOf(const HttpRequest& request, uint64_t last) {
  const std::string attempt =
      FindHeader(request.headers, "Attempt-Id").value_or("");
  const uint64_t first =
      1 +
      std::stoull(FindHeader(request.headers, "Last-Event-Id").value_or("0"));
  return ModelServer::Body(attempt, first, last);
}

RawAnswer Report(uint64_t born) {
  const std::string body = nlohmann::json({{"born", born}}).dump();
  return {.bytes =
              "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
              "Content-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body,
          .end = ConnectionEnd::kKeptOpen};
}

// The head of an answer that ends with its connection.
std::string HeadOf(const std::string& attempt, int status) {
  std::string head = RawStreamHead(attempt, "");
  return head.replace(head.find("200 OK"), 6, std::to_string(status) + " S");
}

// Two backend servers. The first answer of the one that is asked first has
// neither length nor chunks; it ends after `events` events with its connection.
class EndingBackends {
 public:
  EndingBackends(GatewayFixture& f,
                 Fate fate,
                 uint64_t events,
                 int status = 200) {
    for (size_t i = 0; i < 2; ++i) {
      m_backends[i] = std::make_unique<RawBackend>(
          f.context, Script(i, fate, events, status));
      f.store.Put(
          "servers", "raw-" + std::to_string(i),
          {{"service", "s"},
           {"address", "127.0.0.1:" + std::to_string(m_backends[i]->port())},
           {"zone", "z"},
           {"slots", 8},
           {"state", "ready"},
           {"version", "v1"},
           {"born", kBorn}});
    }
  }

  size_t runs() const { return m_runs; }

 private:
  RawBackend::Script Script(size_t index,
                            Fate fate,
                            uint64_t events,
                            int status) {
    return [this, index, fate, events, status](const HttpRequest& request) {
      const std::string attempt =
          FindHeader(request.headers, "Attempt-Id").value_or("");
      if (request.target == "/report") {
        const bool is_first = m_first == index;
        if (fate == Fate::kEndsDuringReport && is_first) {
          m_backends[index]->Stop();
          return RawAnswer{.bytes = "", .end = ConnectionEnd::kReset};
        }
        if (fate == Fate::kResetsReport && is_first && m_reports++ == 0) {
          return RawAnswer{.bytes = "", .end = ConnectionEnd::kReset};
        }
        if (fate == Fate::kTellsNothing) {
          return RawAnswer{
              .bytes = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
              .end = ConnectionEnd::kKeptOpen};
        }
        return Report(is_first && fate == Fate::kRestarts ? kBorn + 1 : kBorn);
      }
      if (m_runs++ == 0) {
        m_first = index;
        if (fate == Fate::kEnds) {
          m_backends[index]->Stop();
        }
        return RawAnswer{
            .bytes = HeadOf(attempt, status) + EventsOf(request, events),
            .end = ConnectionEnd::kClosed};
      }
      return RawAnswer{
          .bytes = RawStreamHead(attempt, "Transfer-Encoding: chunked\r\n") +
                   RawChunk(EventsOf(request, kEvents)) + "0\r\n\r\n",
          .end = ConnectionEnd::kKeptOpen};
    };
  }

  std::unique_ptr<RawBackend> m_backends[2];
  size_t m_first = 2;
  size_t m_runs = 0;
  size_t m_reports = 0;
};

void CheckStream(const std::string& path,
                 Fate fate,
                 uint64_t events,
                 const std::string& expected) {
  GatewayFixture f(0);
  EndingBackends backends(f, fate, events);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    HttpRequest request = f.Request("POST", path, "a1");
    const auto response = co_await f.Send(0, std::move(request));
    INFO(GatewayFixture::Describe(response));
    if (expected.empty()) {
      CHECK_FALSE(response.has_value());
    } else {
      REQUIRE(response.has_value());
      CHECK(response.value().status == 200);
      CHECK(response.value().body == expected);
    }
  });
}

TEST_CASE(
    "A resumable stream goes on when the process that wrote it has ended") {
  const std::string whole = ModelServer::Body("a1", 1, kEvents);
  CheckStream("/stream/x", Fate::kEnds, kEventsBeforeTheEnd, whole);
  CheckStream("/stream/x", Fate::kRestarts, kEventsBeforeTheEnd, whole);
}

TEST_CASE(
    "A stream that can't be resumed does not end as complete when the process "
    "that wrote it has ended") {
  CheckStream("/once/x", Fate::kEnds, kEventsBeforeTheEnd, "");
  CheckStream("/once/x", Fate::kRestarts, kEventsBeforeTheEnd, "");
}

TEST_CASE("A stream that ends with its connection is complete otherwise") {
  for (const char* path : {"/stream/x", "/once/x"}) {
    for (const Fate fate : {Fate::kLives, Fate::kTellsNothing}) {
      CheckStream(path, fate, kEvents, ModelServer::Body("a1", 1, kEvents));
    }
  }
}

// Guards against a part of an answer that a client finds as a whole one: only
// the ends of streams were confirmed.
TEST_CASE(
    "An answer of a process that has ended is not complete on any route") {
  for (const char* path : {"/safe/x", "/unsafe/x"}) {
    for (const Fate fate :
         {Fate::kEnds, Fate::kRestarts, Fate::kEndsDuringReport}) {
      CheckStream(path, fate, kEventsBeforeTheEnd, "");
    }
    for (const Fate fate :
         {Fate::kLives, Fate::kTellsNothing, Fate::kResetsReport}) {
      CheckStream(path, fate, kEvents, ModelServer::Body("a1", 1, kEvents));
    }
  }
}

// Sends a request whose first answer is a failure.
void CheckFailure(const std::string& path,
                  Fate fate,
                  int status,
                  int expected_status) {
  GatewayFixture f(0);
  const bool is_whole = expected_status == status;
  EndingBackends backends(f, fate, is_whole ? kEvents : kEventsBeforeTheEnd,
                          status);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    HttpRequest request = f.Request("POST", path, "a1");
    const auto response = co_await f.Send(0, std::move(request));
    INFO(path << " " << status << ": " << GatewayFixture::Describe(response));
    REQUIRE(response.has_value());
    CHECK(response.value().status == expected_status);
    const auto signature =
        FindHeader(response.value().headers, "Response-Signature");
    CHECK(signature.has_value() == (expected_status != 502));
    if (signature.has_value()) {
      CHECK(response.value().body == ModelServer::Body("a1", 1, kEvents));
    }
  });
}

// Guards against a part of a failure that a client finds as a whole one: only
// the ends of successes were confirmed.
TEST_CASE("A failure of a process that has ended is not complete") {
  for (const int status : {422, 500}) {
    for (const char* path : {"/once/x", "/unsafe/x"}) {
      for (const Fate fate :
           {Fate::kEnds, Fate::kRestarts, Fate::kEndsDuringReport}) {
        CheckFailure(path, fate, status, 502);
      }
      for (const Fate fate :
           {Fate::kLives, Fate::kTellsNothing, Fate::kResetsReport}) {
        CheckFailure(path, fate, status, status);
      }
    }
  }
  // What may run again is answered by another backend server.
  for (const char* path : {"/safe/x", "/stream/x"}) {
    CheckFailure(path, Fate::kEnds, 422, 200);
    CheckFailure(path, Fate::kLives, 422, 422);
  }
}

// Guards against a part of an answer that counts as complete: the report that
// should tell was reset by the same crash.
TEST_CASE("A report that a crash cuts off is no sign of life") {
  const std::string whole = ModelServer::Body("a1", 1, kEvents);
  CheckStream("/stream/x", Fate::kEndsDuringReport, kEventsBeforeTheEnd, whole);
  CheckStream("/once/x", Fate::kEndsDuringReport, kEventsBeforeTheEnd, "");
  for (const char* path : {"/stream/x", "/once/x"}) {
    CheckStream(path, Fate::kResetsReport, kEvents, whole);
  }
}

TEST_CASE("An item goes on when the process that wrote it has ended") {
  for (const Fate fate :
       {Fate::kEnds, Fate::kRestarts, Fate::kEndsDuringReport}) {
    GatewayFixture f(0);
    EndingBackends backends(f, fate, kEventsBeforeTheEnd);
    f.AddGateway();
    f.Run([&]() -> awaitable<void> {
      co_await f.WaitUntilReady();
      HttpRequest submission = f.Submission("j", 1);
      const auto accepted = co_await f.Send(0, std::move(submission));
      REQUIRE(accepted.has_value());
      const nlohmann::json results = co_await f.ReadAllResults(0, "j");
      REQUIRE(results.size() == 1);
      CHECK(results[0]["state"] == "completed");
      CHECK(results[0]["output"] == "j-0-1\nj-0-2\nj-0-3\nj-0-4\nj-0-5\nj-0-6");
    });
  }
}

}  // namespace
}  // namespace cowslip
