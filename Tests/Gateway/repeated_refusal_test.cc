// A backend server that writes an earlier refusal, or an earlier answer, once
// more on a connection that is kept open: the bytes belong to no request.
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "gateway_fixture.h"
#include "raw_backend.h"
#include "raw_request.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

constexpr uint64_t kEvents = 3;

// Where the copy is written.
enum class CopyPlace {
  // Right behind an answer, in one segment with it.
  kSameSegment,
  // Some milliseconds after an answer.
  kLater,
  // Before the answer to the next request.
  kBeforeNext,
  // Before the answer to the next request, after an interim response.
  kAfterInterim,
  // After a part of the answer to the next request.
  kInsideNext,
  // Instead of the answer to the next request, which the backend server runs.
  kInsteadOfNext,
};

constexpr CopyPlace kPlaces[] = {
    CopyPlace::kSameSegment,  CopyPlace::kLater,      CopyPlace::kBeforeNext,
    CopyPlace::kAfterInterim, CopyPlace::kInsideNext, CopyPlace::kInsteadOfNext,
};

// What the copy says. `attempt` is empty for a copy that names none.
using MakeCopy = std::function<std::string(const std::string& attempt)>;

std::string AttemptLine(const std::string& attempt) {
  return attempt.empty() ? "" : "Attempt-Id: " + attempt + "\r\n";
}

std::string Full(const std::string& attempt) {
  return "HTTP/1.1 503 Service Unavailable\r\n" + AttemptLine(attempt) +
         "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

std::string OverLimit(const std::string& attempt) {
  return "HTTP/1.1 429 Too Many Requests\r\n" + AttemptLine(attempt) +
         "Not-Executed: 1\r\nContent-Length: 2\r\n\r\n{}";
}

std::string OtherInstance(const std::string& attempt) {
  return "HTTP/1.1 421 Misdirected Request\r\n" + AttemptLine(attempt) +
         "Instance-Id: raw-9\r\nContent-Length: 0\r\n\r\n";
}

std::string Answer(const std::string& attempt, const std::string& body) {
  return "HTTP/1.1 200 OK\r\n" + AttemptLine(attempt) +
         "Response-Signature: s\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n" +
         RawChunk(body) + "0\r\n\r\n";
}

std::string EarlierSuccess(const std::string& attempt) {
  return Answer(attempt, ModelServer::Body("earlier", 1, kEvents));
}

struct CopyKind {
  const char* name;
  MakeCopy make;
};

const std::vector<CopyKind>& CopyKinds() {
  static const std::vector<CopyKind> kinds = {
      {"503", Full},
      {"429", OverLimit},
      {"421", OtherInstance},
      {"success", EarlierSuccess},
  };
  return kinds;
}

// Two backend servers that answer every request. The first one is faulty: it
// writes a copy on connections that have carried a request.
class RepeatingBackends {
 public:
  explicit RepeatingBackends(GatewayFixture& f)
      : m_backends{RawBackend(f.context, Script(0)),
                   RawBackend(f.context, Script(1))} {
    for (size_t i = 0; i < 2; ++i) {
      f.store.Put(
          "servers", "raw-" + std::to_string(i),
          {{"service", "s"},
           {"address", "127.0.0.1:" + std::to_string(m_backends[i].port())},
           {"zone", "z"},
           {"slots", 8},
           {"state", "ready"},
           {"version", "v1"}});
    }
  }

  // Copies are written from now on. `names_attempt`: with the id of the first
  // attempt on the connection; otherwise without any.
  void Repeat(MakeCopy make, CopyPlace place, bool names_attempt) {
    m_make = std::move(make);
    m_place = place;
    m_names_attempt = names_attempt;
  }
  // Only the first answer of each attempt is truncated, after `size` bytes of
  // its body, and is framed as a whole one.
  void TruncateFirst(size_t size) { m_truncate_at = size; }

  size_t runs(const std::string& attempt) const {
    const auto found = m_runs.find(attempt);
    return found == m_runs.end() ? 0 : found->second;
  }
  size_t copies() const { return m_copies; }
  // Whether some attempt came twice over one connection.
  bool attempt_came_twice() const { return m_attempt_came_twice; }

 private:
  RawBackend::Script Script(size_t index) {
    return [this, index](const HttpRequest& request) {
      return Serve(index, request);
    };
  }

  RawAnswer Serve(size_t index, const HttpRequest& request) {
    const std::string attempt =
        FindHeader(request.headers, "Attempt-Id").value_or("");
    const uint64_t last =
        std::stoull(FindHeader(request.headers, "Last-Event-Id").value_or("0"));
    std::vector<std::string>& carried =
        m_carried[{index, m_backends[index].connection()}];
    for (const std::string& earlier : carried) {
      m_attempt_came_twice |= earlier == attempt;
    }
    const bool is_kept = !carried.empty();
    carried.push_back(attempt);
    std::string body = ModelServer::Body(attempt, last + 1, kEvents);
    if (++m_runs[attempt] == 1 && m_truncate_at > 0) {
      body.resize(m_truncate_at);
    }
    const std::string answer = Answer(attempt, body);
    if (m_make == nullptr || index != 0) {
      return {.bytes = answer, .end = ConnectionEnd::kKeptOpen};
    }
    return AddCopy(answer, m_make(m_names_attempt ? carried.front() : ""),
                   is_kept);
  }

  RawAnswer AddCopy(const std::string& answer,
                    const std::string& copy,
                    bool is_kept) {
    RawAnswer written{.bytes = answer, .end = ConnectionEnd::kKeptOpen};
    const size_t inside = answer.size() / 2;
    switch (m_place) {
      case CopyPlace::kSameSegment:
        ++m_copies;
        written.bytes += copy;
        return written;
      case CopyPlace::kLater:
        ++m_copies;
        written.late_bytes = copy;
        written.late_by = 5ms;
        return written;
      case CopyPlace::kBeforeNext:
        written.bytes = copy + answer;
        break;
      case CopyPlace::kAfterInterim:
        written.bytes = "HTTP/1.1 100 Continue\r\n\r\n" + copy + answer;
        break;
      case CopyPlace::kInsideNext:
        written.bytes = answer.substr(0, inside) + copy + answer.substr(inside);
        break;
      case CopyPlace::kInsteadOfNext:
        written.bytes = copy;
        break;
    }
    if (!is_kept) {
      written.bytes = answer;
      return written;
    }
    ++m_copies;
    return written;
  }

  MakeCopy m_make;
  CopyPlace m_place = CopyPlace::kSameSegment;
  bool m_names_attempt = false;
  size_t m_truncate_at = 0;
  std::map<std::string, size_t> m_runs;
  std::map<std::pair<size_t, size_t>, std::vector<std::string>> m_carried;
  size_t m_copies = 0;
  bool m_attempt_came_twice = false;
  RawBackend m_backends[2];
};

// One copy that is written in the course of some requests.
struct Repetition {
  CopyPlace place = CopyPlace::kSameSegment;
  CopyKind kind;
  bool names_attempt = false;
};

std::vector<Repetition> AllRepetitions() {
  std::vector<Repetition> all;
  for (const CopyPlace place : kPlaces) {
    for (const CopyKind& kind : CopyKinds()) {
      for (const bool names_attempt : {true, false}) {
        all.push_back({place, kind, names_attempt});
      }
    }
  }
  return all;
}

// Which attempt a request names.
enum class Naming { kEachItsOwn, kAllTheSame };

struct RequestPlan {
  std::string path;
  Naming naming = Naming::kEachItsOwn;
  size_t backends = 2;
};

// Sends some requests, one after another, for each kind of copy at each place.
template <class Check>
void RepeatEverywhere(const RequestPlan& plan, Check check) {
  GatewayFixture f(0);
  RepeatingBackends backends(f);
  if (plan.backends == 1) {
    f.store.Erase("servers", "raw-1");
  }
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    int sent = 0;
    for (const Repetition& repetition : AllRepetitions()) {
      backends.Repeat(repetition.kind.make, repetition.place,
                      repetition.names_attempt);
      const size_t copies = backends.copies();
      INFO("place " << static_cast<int>(repetition.place) << ", copy "
                    << repetition.kind.name << ", names an attempt "
                    << repetition.names_attempt);
      for (int i = 0; i < 6; ++i) {
        const std::string id = plan.naming == Naming::kAllTheSame
                                   ? "a"
                                   : "a" + std::to_string(sent);
        const size_t runs_before = backends.runs(id);
        HttpRequest request =
            f.Request("POST", plan.path + std::to_string(sent++), id);
        const auto response = co_await f.Send(0, std::move(request));
        co_await f.Sleep(10ms);
        const size_t runs = backends.runs(id) - runs_before;
        INFO("request " << i << " ran " << runs << " times");
        check(response, runs, ModelServer::Body(id, 1, kEvents));
      }
      if (plan.naming == Naming::kEachItsOwn) {
        CHECK(backends.copies() > copies);
      }
    }
    const bool came_twice = backends.attempt_came_twice();
    CHECK_FALSE(came_twice);
  });
}

bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

void CheckRunOnce(const Result<HttpResponse>& response,
                  size_t runs,
                  const std::string& body) {
  CHECK(runs <= 1);
  if (!response.has_value()) {
    return;
  }
  if (PromisesNotRun(response.value().status)) {
    CHECK(runs == 0);
  }
  if (response.value().status == 200) {
    CHECK(response.value().body == body);
  }
}

TEST_CASE("A repeated refusal is no answer to a later unsafe request") {
  RepeatEverywhere({.path = "/unsafe/"}, CheckRunOnce);
}

TEST_CASE("A repeated refusal is no answer to a stream that can't resume") {
  RepeatEverywhere({.path = "/once/"}, CheckRunOnce);
}

TEST_CASE("A repeated refusal does not end a resumable stream") {
  RepeatEverywhere({.path = "/stream/"},
                   [](const Result<HttpResponse>& response, size_t runs,
                      const std::string& body) {
                     CHECK(runs >= 1);
                     REQUIRE(response.has_value());
                     CHECK(response.value().status == 200);
                     CHECK(response.value().body == body);
                   });
}

TEST_CASE("An attempt whose id came before is not taken for the earlier one") {
  RepeatEverywhere({.path = "/unsafe/", .naming = Naming::kAllTheSame},
                   CheckRunOnce);
}

TEST_CASE("A request that ran is not refused for a copy that names its id") {
  RepeatEverywhere(
      {.path = "/unsafe/", .naming = Naming::kAllTheSame, .backends = 1},
      CheckRunOnce);
}

// The answer has neither length nor chunks, so the copy is read as events.
TEST_CASE("A copy inside an unframed stream is not relayed as events") {
  for (const std::string path : {"/once/", "/stream/"}) {
    for (const uint64_t events_before : {uint64_t{1}, kEvents}) {
      GatewayFixture f(0);
      RawBackend backend(f.context, [&](const HttpRequest& request) {
        const std::string id =
            FindHeader(request.headers, "Attempt-Id").value_or("");
        return RawAnswer{
            .bytes = RawStreamHead(id, "") +
                     ModelServer::Body(id, 1, events_before) + Full("earlier") +
                     ModelServer::Body(id, events_before + 1, kEvents)};
      });
      f.store.Put("servers", "raw-0",
                  {{"service", "s"},
                   {"address", "127.0.0.1:" + std::to_string(backend.port())},
                   {"zone", "z"},
                   {"slots", 8},
                   {"state", "ready"},
                   {"version", "v1"}});
      f.AddGateway();
      f.Run([&]() -> awaitable<void> {
        co_await f.WaitUntilReady();
        HttpRequest request = f.Request("POST", path + "x", "a");
        const auto response = co_await f.Send(0, std::move(request));
        INFO(path << ", after " << events_before
                  << " events: " << GatewayFixture::Describe(response));
        CHECK_FALSE((response.has_value() && response.value().status == 200));
      });
    }
  }
}

TEST_CASE("An item goes on over another connection than its last run") {
  GatewayFixture f(0);
  RepeatingBackends backends(f);
  f.store.Erase("servers", "raw-1");
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    backends.TruncateFirst(ModelServer::Body("503-0", 1, 1).size() + 3);
    for (const CopyKind& kind : CopyKinds()) {
      backends.Repeat(kind.make, CopyPlace::kBeforeNext, true);
      const std::string job = kind.name;
      INFO("copy " << job);
      HttpRequest submission = f.Submission(job, 1);
      const auto accepted = co_await f.Send(0, std::move(submission));
      REQUIRE(accepted.has_value());
      REQUIRE(accepted.value().status == 202);
      const nlohmann::json results = co_await f.ReadAllResults(0, job);
      REQUIRE(results.size() == 1);
      const std::string item = job + "-0";
      CHECK(results[0]["state"] == "completed");
      CHECK(results[0]["output"] ==
            item + "-1\n" + item + "-2\n" + item + "-3");
      CHECK_FALSE(backends.attempt_came_twice());
    }
  });
}

}  // namespace
}  // namespace cowslip
