#include <algorithm>
#include <string>

#include "gateway_fixture.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

constexpr uint64_t kEvents = 6;
constexpr uint64_t kListedStart = 1'700'000'000'000;
constexpr uint64_t kLaterStart = kListedStart + 60'000;

// Backend servers of version v1, whose entries hold the time of their start.
// Requests with prompts of their own prefer different ones.
class RestartedVersions : public GatewayFixture {
 public:
  explicit RestartedVersions(size_t backends) : GatewayFixture(backends) {
    for (size_t i = 0; i < backends; ++i) {
      backend(i).behaviour().events = kEvents;
      backend(i).SetIncarnation({kListedStart, "v1"});
      WriteEntry(i, kListedStart, "v1");
    }
  }

  void WriteEntry(size_t index, uint64_t start, const std::string& version) {
    nlohmann::json entry = Entry(index);
    entry["born"] = start;
    entry["version"] = version;
    store.Put("servers", "i-" + std::to_string(index), entry);
  }

  // Its entry stays as it was.
  void RestartAtV2(size_t index) {
    REQUIRE(backend(index).Restart({kLaterStart, "v2"}).has_value());
  }

  // The server breaks its next streams off after two events.
  void BreakStreams(size_t index, int streams) {
    backend(index).behaviour().break_after = 2;
    backend(index).behaviour().breaks = streams;
  }

  static HttpRequest Stream(const std::string& attempt) {
    HttpRequest request = Request("POST", "/stream/" + attempt, attempt);
    request.headers.push_back({"Prompt-Prefix", attempt + ":10,own:5"});
    return request;
  }

  static HttpRequest Resumption(const std::string& began) {
    HttpRequest request = Stream(began);
    for (HttpHeader& header : request.headers) {
      if (header.name == "Attempt-Id") {
        header.value = "resumed-" + began;
      }
    }
    request.headers.push_back({"Last-Event-Id", "1"});
    request.headers.push_back({"Resumes", began});
    return request;
  }

  // Begins a stream and leaves it. Returns what it has received by then.
  awaitable<std::string> Begin(size_t gateway_index, std::string attempt) {
    HttpClient client(context.get_executor(),
                      Endpoint{.port = gateway(gateway_index).caller_port()});
    HttpRequest request = Stream(attempt);
    const Duration timeout = 2s;
    auto opened = co_await client.Open(std::move(request), timeout);
    REQUIRE(opened.has_value());
    REQUIRE(opened.value()->status() == 200);
    const auto chunk = co_await opened.value()->ReadSome(timeout);
    REQUIRE(chunk.has_value());
    opened.value()->Abort();
    co_return chunk.value().value_or("");
  }

  awaitable<void> CheckServedByV1(std::string attempt) {
    HttpRequest request = Stream(attempt);
    const MonotonicTime began = MonotonicClock::now();
    const auto response = co_await Send(0, std::move(request));
    INFO(Describe(response));
    REQUIRE(response.has_value());
    CHECK(response.value().status == 200);
    CHECK(response.value().body ==
          ModelServer::Body(attempt, 1, kEvents, "v1"));
    // Callers give up after two seconds without an event.
    CHECK(MonotonicClock::now() - began < 1500ms);
  }
};

bool Holds(const std::string& text, const std::string& version) {
  return text.find("@" + version) != std::string::npos;
}

TEST_CASE(
    "A caller's resumption does not run at a backend server that restarted at "
    "another version") {
  RestartedVersions f(2);
  f.AddGateway();
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.Sleep(600ms);
    constexpr int kStreams = 12;
    for (int i = 0; i < kStreams; ++i) {
      (void)co_await f.Begin(0, "a" + std::to_string(i));
    }
    co_await f.Sleep(100ms);
    f.RestartAtV2(0);
    for (int i = 0; i < kStreams; ++i) {
      const std::string began = "a" + std::to_string(i);
      HttpRequest request = f.Resumption(began);
      const auto response = co_await f.Send(1, std::move(request));
      INFO(f.Describe(response));
      REQUIRE(response.has_value());
      CHECK(response.value().status == 200);
      CHECK(response.value().body ==
            ModelServer::Body("resumed-" + began, 2, kEvents, "v1"));
    }
  });
}

TEST_CASE(
    "A broken stream is not joined within its response with one of a backend "
    "server that restarted at another version") {
  RestartedVersions f(3);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    f.RestartAtV2(0);
    for (int i = 0; i < 12; ++i) {
      f.BreakStreams(1, 1);
      f.BreakStreams(2, i % 2);
      const std::string id = "a" + std::to_string(i);
      HttpRequest request = f.Stream(id);
      const auto response = co_await f.Send(0, std::move(request));
      INFO(f.Describe(response));
      // Without a second server of its version, a stream may be cut.
      if (response.has_value() && response.value().status == 200) {
        const std::string& body = response.value().body;
        CHECK(Holds(body, "v1") != Holds(body, "v2"));
      }
    }
  });
}

TEST_CASE(
    "A stream that begins at a backend server that restarted is resumed only "
    "at the version that began it") {
  RestartedVersions f(2);
  f.AddGateway();
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.Sleep(600ms);
    f.RestartAtV2(0);
    constexpr int kStreams = 12;
    std::vector<std::string> beginnings;
    for (int i = 0; i < kStreams; ++i) {
      beginnings.push_back(co_await f.Begin(0, "a" + std::to_string(i)));
    }
    f.WriteEntry(0, kLaterStart, "v2");
    co_await f.Sleep(600ms);
    for (int i = 0; i < kStreams; ++i) {
      HttpRequest request = f.Resumption("a" + std::to_string(i));
      const auto response = co_await f.Send(1, std::move(request));
      INFO(beginnings[i] << f.Describe(response));
      REQUIRE(response.has_value());
      CHECK(response.value().status == 200);
      CHECK(Holds(response.value().body, "v1") == Holds(beginnings[i], "v1"));
      CHECK(Holds(response.value().body, "v2") == Holds(beginnings[i], "v2"));
    }
  });
}

TEST_CASE(
    "The output of an item is not joined with that of a backend server that "
    "restarted at another version") {
  RestartedVersions f(3);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    f.RestartAtV2(0);
    f.BreakStreams(1, 4);
    f.BreakStreams(2, 4);
    constexpr size_t kItems = 12;
    HttpRequest submission = f.Submission("j", kItems);
    const auto accepted = co_await f.Send(0, std::move(submission));
    REQUIRE(accepted.has_value());
    const nlohmann::json results = co_await f.ReadAllResults(0, "j");
    REQUIRE(results.size() == kItems);
    for (const auto& result : results) {
      const std::string output = result["output"];
      INFO(output);
      CHECK(result["state"] == "completed");
      CHECK(Holds(output, "v1") != Holds(output, "v2"));
    }
  });
}

// A backend server whose answer says nothing is used as before.
TEST_CASE("A backend server that does not report its start serves streams") {
  const ReportAnswer answer =
      GENERATE(ReportAnswer::kNotFound, ReportAnswer::kWithoutStart);
  RestartedVersions f(1);
  f.AddGateway();
  f.backend(0).behaviour().report = answer;
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    for (int i = 0; i < 4; ++i) {
      co_await f.CheckServedByV1("a" + std::to_string(i));
    }
    CHECK(f.backend(0).reports() == 1);
  });
}

TEST_CASE(
    "Streams are served elsewhere in time when a backend server gives no "
    "usable report") {
  const ReportAnswer answer =
      GENERATE(ReportAnswer::kSilent, ReportAnswer::kBreaks,
               ReportAnswer::kUnavailable, ReportAnswer::kMalformed,
               ReportAnswer::kEndless, ReportAnswer::kStartAndClose);
  RestartedVersions f(2);
  f.AddGateway();
  f.backend(0).behaviour().report = answer;
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    for (int i = 0; i < 8; ++i) {
      co_await f.CheckServedByV1("a" + std::to_string(i));
    }
    CHECK(f.backend(0).received().empty());
    CHECK(f.backend(0).reports() > 0);
  });
}

TEST_CASE("A used connection that breaks during its check is replaced") {
  RestartedVersions f(1);
  f.AddGateway();
  f.backend(0).behaviour().report = ReportAnswer::kBreaks;
  f.backend(0).behaviour().reports = 1;
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    HttpRequest plain = f.Request("POST", "/unsafe/x", "u");
    const auto response = co_await f.Send(0, std::move(plain));
    REQUIRE(response.has_value());
    co_await f.CheckServedByV1("a");
    CHECK(f.backend(0).reports() == 2);
  });
}

TEST_CASE(
    "A silent stream does not move to a backend server that restarted at "
    "another version") {
  constexpr size_t kBackends = 3;
  const size_t restarted = GENERATE(1, 2);
  const ReportAnswer answer =
      GENERATE(ReportAnswer::kStart, ReportAnswer::kSilent);
  RestartedVersions f(kBackends);
  f.AddGateway();
  for (size_t i = 0; i < kBackends; ++i) {
    f.backend(i).behaviour().silences = {{3, 20s}};
  }
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    boost::asio::co_spawn(
        f.context,
        [&]() -> awaitable<void> {
          co_await f.Sleep(500ms);
          size_t asked = 0;
          while (asked + 1 < kBackends && f.RequestsAt(asked) == 0) {
            ++asked;
          }
          const size_t other = (asked + restarted) % kBackends;
          for (size_t i = 0; i < kBackends; ++i) {
            if (i != asked) {
              f.backend(i).behaviour().silences.clear();
            }
          }
          f.backend(other).behaviour().report = answer;
          f.RestartAtV2(other);
        },
        boost::asio::detached);
    HttpRequest request = f.Stream("a");
    const MonotonicTime began = MonotonicClock::now();
    const auto response = co_await f.Send(0, std::move(request));
    INFO(f.Describe(response));
    REQUIRE(response.has_value());
    CHECK(response.value().body == ModelServer::Body("a", 1, kEvents, "v1"));
    // Callers give up after two seconds without an event.
    CHECK(MonotonicClock::now() - began < 2000ms);
  });
}

TEST_CASE("A caller that leaves during a check of its backend server ends it") {
  RestartedVersions f(1);
  f.AddGateway();
  f.backend(0).behaviour().report = ReportAnswer::kSilent;
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    HttpClient client(f.context.get_executor(),
                      Endpoint{.port = f.gateway(0).caller_port()});
    HttpRequest request = f.Stream("a");
    const Duration leaves_after = 100ms;
    const auto response =
        co_await client.Send(std::move(request), leaves_after);
    CHECK_FALSE(response.has_value());
    co_await f.Sleep(100ms);
    CHECK(f.backend(0).reports() == 1);
    CHECK(f.backend(0).active() == 0);
    CHECK(f.backend(0).received().empty());
  });
}

TEST_CASE("A connection is checked once") {
  RestartedVersions f(1);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    // An earlier request without a check leaves a connection.
    HttpRequest plain = f.Request("POST", "/unsafe/x", "u");
    const auto response = co_await f.Send(0, std::move(plain));
    REQUIRE(response.has_value());
    CHECK(f.backend(0).reports() == 0);
    for (int i = 0; i < 10; ++i) {
      co_await f.CheckServedByV1("a" + std::to_string(i));
    }
    CHECK(f.backend(0).reports() == 1);
    f.RestartAtV2(0);
    f.WriteEntry(0, kLaterStart, "v2");
    co_await f.Sleep(300ms);
    HttpRequest stream = f.Stream("b");
    const auto later = co_await f.Send(0, std::move(stream));
    REQUIRE(later.has_value());
    CHECK(later.value().body == ModelServer::Body("b", 1, kEvents, "v2"));
    CHECK(f.backend(0).reports() == 2);
  });
}

TEST_CASE("Only what depends on the software version is preceded by a check") {
  RestartedVersions f(1);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    for (const char* target : {"/safe/x", "/unsafe/x", "/once/x"}) {
      HttpRequest request = f.Request("POST", target, "a");
      const auto response = co_await f.Send(0, std::move(request));
      REQUIRE(response.has_value());
      CHECK(response.value().status == 200);
    }
    CHECK(f.backend(0).reports() == 0);
  });
}

TEST_CASE("A backend server whose entry lacks its start is not checked") {
  RestartedVersions f(1);
  f.store.Put("servers", "i-0", f.Entry(0));
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.CheckServedByV1("a");
    CHECK(f.backend(0).reports() == 0);
  });
}

}  // namespace
}  // namespace cowslip
