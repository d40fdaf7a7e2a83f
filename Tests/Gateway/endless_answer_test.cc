#include <fstream>
#include <functional>
#include <string>
#include <vector>

#include "gateway_fixture.h"
#include "raw_backend.h"
#include "raw_request.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

// The deadline of the requests, and what a gateway may need beyond it.
constexpr Duration kDeadline = 600ms;
constexpr Duration kMargin = 500ms;
// The gateway, the backend server and the client of the test share a process.
constexpr long kMaxGrowthKilobytes = 24 * 1024;

constexpr size_t kPiece = 16 * 1024;

struct EndlessAnswer {
  const char* name;
  // The bytes before those without end; `attempt` is the request's.
  std::function<std::string(const std::string& attempt)> begin;
  std::function<std::string(uint64_t number)> endless;
};

std::string Filler(uint64_t) {
  return std::string(kPiece, 'x');
}

std::string ChunkedHead(const std::string& attempt) {
  return RawStreamHead(attempt, "Transfer-Encoding: chunked\r\n");
}

std::vector<EndlessAnswer> EndlessHeads() {
  return {
      {"a status line", [](auto&) { return "HTTP/1.1 200 "; }, Filler},
      {"a header", [](auto&) { return "HTTP/1.1 200 OK\r\nX-Long: "; }, Filler},
      {"headers", [](auto&) { return "HTTP/1.1 200 OK\r\n"; },
       [](uint64_t n) { return "X-" + std::to_string(n) + ": y\r\n"; }},
      {"interim responses", [](auto&) { return ""; },
       [](uint64_t) { return "HTTP/1.1 103 Early Hints\r\n\r\n"; }},
      {"bytes that are no response", [](auto&) { return ""; }, Filler},
  };
}

std::vector<EndlessAnswer> EndlessBodies() {
  return {
      {"a line", [](auto& id) { return RawStreamHead(id, ""); }, Filler},
      {"a line in chunks", [](auto& id) { return ChunkedHead(id); },
       [](uint64_t n) { return RawChunk(Filler(n)); }},
      {"lines of one event", [](auto& id) { return RawStreamHead(id, ""); },
       [](uint64_t) { return "data: " + std::string(1000, 'x') + "\n"; }},
      {"a chunk extension", [](auto& id) { return ChunkedHead(id) + "5;x="; },
       Filler},
      {"a trailer", [](auto& id) { return ChunkedHead(id) + "0\r\nX-Long: "; },
       Filler},
      {"events", [](auto& id) { return RawStreamHead(id, ""); },
       [](uint64_t n) {
         return "id: " + std::to_string(n + 1) +
                "\ndata: " + std::string(kPiece, 'x') + "\n\n";
       }},
      {"a failure",
       [](auto& id) {
         return "HTTP/1.1 500 Failed\r\nAttempt-Id: " + id +
                "\r\nResponse-Signature: s\r\n\r\n";
       },
       Filler},
  };
}

// The largest resident memory of the process since the last reset.
long PeakKilobytes() {
  std::ifstream status("/proc/self/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmHWM:")) {
      return std::stol(line.substr(line.find_first_of("0123456789")));
    }
  }
  FAIL("The kernel does not report the peak of the resident memory.");
  return 0;
}

// Sets the peak of the process's memory to what it uses now, and returns that.
long ResetPeakKilobytes() {
  std::ofstream("/proc/self/clear_refs") << "5";
  return PeakKilobytes();
}

// Two backend servers that give the same endless answer to each request.
class EndlessBackends {
 public:
  explicit EndlessBackends(GatewayFixture& f)
      : m_backends{RawBackend(f.context, Script()),
                   RawBackend(f.context, Script())} {
    for (size_t i = 0; i < 2; ++i) {
      const uint16_t port = m_backends[i].port();
      f.store.Put("servers", "raw-" + std::to_string(i),
                  {{"service", "s"},
                   {"address", "127.0.0.1:" + std::to_string(port)},
                   {"zone", "z"},
                   {"slots", 8},
                   {"state", "ready"},
                   {"version", "v1"}});
    }
  }

  void SetAnswer(const EndlessAnswer* answer) { m_answer = answer; }
  size_t writing() const {
    return m_backends[0].endless_answers() + m_backends[1].endless_answers();
  }

 private:
  RawBackend::Script Script() {
    return [this](const HttpRequest& request) {
      const std::string attempt =
          FindHeader(request.headers, "Attempt-Id").value_or("");
      if (m_answer == nullptr) {
        return RawAnswer{.bytes = ChunkedHead(attempt) +
                                  RawChunk(ModelServer::Body(attempt, 1, 3)) +
                                  "0\r\n\r\n",
                         .end = ConnectionEnd::kKeptOpen};
      }
      return RawAnswer{.bytes = m_answer->begin(attempt),
                       .endless = m_answer->endless};
    };
  }

  const EndlessAnswer* m_answer = nullptr;
  RawBackend m_backends[2];
};

// Sends a request and drops what is relayed.
awaitable<void> SendAndDrop(GatewayFixture& f, HttpRequest request) {
  HttpClient client(f.context.get_executor(),
                    Endpoint{.port = f.gateway(0).caller_port()});
  const Duration timeout = 10s;
  auto opened = co_await client.Open(std::move(request), timeout);
  if (!opened.has_value()) {
    co_return;
  }
  const auto response = std::move(opened.value());
  while (true) {
    const auto chunk = co_await response->ReadSome(timeout);
    if (!chunk.has_value() || !chunk.value().has_value()) {
      co_return;
    }
  }
}

void CheckOnline(const std::vector<EndlessAnswer>& answers) {
  GatewayFixture f(0);
  EndlessBackends backends(f);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    int sent = 0;
    for (const EndlessAnswer& answer : answers) {
      for (const char* path : {"/stream/", "/once/", "/safe/", "/unsafe/"}) {
        INFO(answer.name << " on " << path);
        const long before = ResetPeakKilobytes();
        const MonotonicTime began = MonotonicClock::now();
        backends.SetAnswer(&answer);
        const std::string id = "a" + std::to_string(sent++);
        HttpRequest request = f.Request("POST", path + id, id, id);
        request.headers.back().value = std::to_string(ToMillis(kDeadline));
        co_await SendAndDrop(f, std::move(request));
        CHECK(MonotonicClock::now() - began < kDeadline + kMargin);
        co_await f.Sleep(50ms);
        CHECK(backends.writing() == 0);
        CHECK(PeakKilobytes() - before < kMaxGrowthKilobytes);
        // A whole answer after it, so that the backend servers stay usable.
        backends.SetAnswer(nullptr);
        for (int i = 0; i < 2; ++i) {
          HttpRequest next = f.Request("POST", "/stream/n", "n", id);
          co_await SendAndDrop(f, std::move(next));
        }
      }
    }
  });
}

TEST_CASE("A head without end neither holds a request nor fills the memory") {
  CheckOnline(EndlessHeads());
}

TEST_CASE("A body without end neither holds a request nor fills the memory") {
  CheckOnline(EndlessBodies());
}

TEST_CASE("An answer without end to an item neither runs on nor fills memory") {
  GatewayFixture f(0);
  EndlessBackends backends(f);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    int jobs = 0;
    auto answers = EndlessHeads();
    for (EndlessAnswer& answer : EndlessBodies()) {
      answers.push_back(std::move(answer));
    }
    for (const EndlessAnswer& answer : answers) {
      INFO(answer.name);
      const long before = ResetPeakKilobytes();
      backends.SetAnswer(&answer);
      const std::string job = "j" + std::to_string(jobs++);
      HttpRequest submission = f.Submission(job, 3);
      const auto accepted = co_await f.Send(0, std::move(submission));
      INFO(f.Describe(accepted));
      REQUIRE(accepted.has_value());
      REQUIRE(accepted.value().status == 202);
      co_await f.Sleep(400ms);
      HttpRequest end = f.Request("DELETE", "/lots/" + job, "end");
      const auto ended = co_await f.Send(0, std::move(end));
      INFO(f.Describe(ended));
      REQUIRE(ended.has_value());
      CHECK(ended.value().status == 200);
      co_await f.Sleep(200ms);
      CHECK(backends.writing() == 0);
      CHECK(PeakKilobytes() - before < kMaxGrowthKilobytes);
      backends.SetAnswer(nullptr);
      for (int i = 0; i < 4; ++i) {
        HttpRequest next = f.Request("POST", "/stream/n", "n", job);
        co_await SendAndDrop(f, std::move(next));
      }
    }
  });
}

}  // namespace
}  // namespace cowslip
