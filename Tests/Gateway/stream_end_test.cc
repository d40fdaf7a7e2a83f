#include <set>

#include "gateway_fixture.h"
#include "raw_backend.h"
#include "raw_request.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

constexpr uint64_t kEvents = 3;

enum class Framing { kNone, kLength, kChunks };

// An answer that is truncated after `size` bytes of its body.
struct TruncatedAnswer {
  Framing framing = Framing::kNone;
  ConnectionEnd end = ConnectionEnd::kClosed;
  size_t size = 0;
};

RawAnswer WholeAnswer(const std::string& attempt, const std::string& body) {
  return {.bytes = RawStreamHead(attempt, "Transfer-Encoding: chunked\r\n") +
                   RawChunk(body) + "0\r\n\r\n",
          .end = ConnectionEnd::kKeptOpen};
}

RawAnswer Truncate(const TruncatedAnswer& truncated,
                   const std::string& attempt,
                   const std::string& body) {
  const std::string sent = body.substr(0, truncated.size);
  switch (truncated.framing) {
    case Framing::kNone:
      return {RawStreamHead(attempt, "") + sent, truncated.end};
    case Framing::kLength:
      return {RawStreamHead(attempt, "Content-Length: " +
                                         std::to_string(body.size()) + "\r\n") +
                  sent,
              truncated.end};
    case Framing::kChunks:
      return {RawStreamHead(attempt, "Transfer-Encoding: chunked\r\n") +
                  RawChunk(sent),
              truncated.end};
  }
  return {};
}

// Two backend servers of one service. The next stream that begins at either is
// truncated as `truncated` says; all other streams are whole.
class TruncatingBackends {
 public:
  explicit TruncatingBackends(GatewayFixture& f)
      : m_backends{RawBackend(f.context, Script()),
                   RawBackend(f.context, Script())} {
    for (size_t i = 0; i < 2; ++i) {
      RegisterRawBackend(f, "raw-" + std::to_string(i), m_backends[i]);
    }
  }

  void TruncateNext(const TruncatedAnswer& truncated) {
    m_truncated = truncated;
  }

 private:
  RawBackend::Script Script() {
    return [this](const HttpRequest& request) {
      const std::string attempt =
          FindHeader(request.headers, "Attempt-Id").value_or("");
      const uint64_t last = std::stoull(
          FindHeader(request.headers, "Last-Event-Id").value_or("0"));
      const std::string body = ModelServer::Body(attempt, last + 1, kEvents);
      if (!m_truncated.has_value()) {
        return WholeAnswer(attempt, body);
      }
      const TruncatedAnswer truncated = *m_truncated;
      m_truncated.reset();
      return Truncate(truncated, attempt, body);
    };
  }

  std::optional<TruncatedAnswer> m_truncated;
  RawBackend m_backends[2];
};

// Whether the bytes end with a whole event, or hold none.
bool EndsBetweenEvents(const std::string& bytes) {
  return bytes.empty() || bytes.ends_with("\n\n");
}

// Sends one request for each byte after which an answer can be truncated, with
// each framing and each end of the connection. Between two of them a whole
// answer follows, so that the backend servers stay usable.
template <class Check>
void TruncateEverywhere(const std::string& path, Check check) {
  GatewayFixture f(0);
  TruncatingBackends backends(f);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    const size_t whole = ModelServer::Body("a000", 1, kEvents).size();
    int sent = 0;
    for (const Framing framing :
         {Framing::kNone, Framing::kLength, Framing::kChunks}) {
      for (const ConnectionEnd end :
           {ConnectionEnd::kClosed, ConnectionEnd::kReset}) {
        for (size_t size = 0; size < whole; ++size) {
          const TruncatedAnswer truncated{framing, end, size};
          backends.TruncateNext(truncated);
          const std::string id = "a" + std::to_string(100 + sent);
          HttpRequest request =
              f.Request("POST", path + std::to_string(sent++), id);
          const auto response = co_await f.Send(0, std::move(request));
          INFO("framing " << static_cast<int>(framing) << ", end "
                          << static_cast<int>(end) << ", after " << size
                          << " bytes");
          check(truncated, ModelServer::Body(id, 1, kEvents), response);
          HttpRequest next =
              f.Request("POST", path + std::to_string(sent++), "next");
          const auto answered = co_await f.Send(0, std::move(next));
          REQUIRE(answered.has_value());
          CHECK(answered.value().status == 200);
        }
      }
    }
  });
}

// An answer without length and chunks that is closed between two events cannot
// be told from a whole one.
bool LooksWhole(const TruncatedAnswer& truncated, const std::string& body) {
  return truncated.framing == Framing::kNone &&
         truncated.end == ConnectionEnd::kClosed && truncated.size > 0 &&
         EndsBetweenEvents(body.substr(0, truncated.size));
}

TEST_CASE("A truncated stream is never relayed as a complete one") {
  TruncateEverywhere(
      "/once/", [](const TruncatedAnswer& truncated, const std::string& body,
                   const Result<HttpResponse>& response) {
        if (LooksWhole(truncated, body)) {
          return;
        }
        CHECK_FALSE((response.has_value() && response.value().status == 200));
      });
}

TEST_CASE("A resumable stream that is truncated anywhere is resumed") {
  TruncateEverywhere(
      "/stream/", [](const TruncatedAnswer& truncated, const std::string& body,
                     const Result<HttpResponse>& response) {
        REQUIRE(response.has_value());
        CHECK(response.value().status == 200);
        if (!LooksWhole(truncated, body)) {
          CHECK(response.value().body == body);
        }
      });
}

TEST_CASE("An item whose unframed stream is truncated is resumed") {
  GatewayFixture f(0);
  std::set<std::string> truncated_items;
  // The first run of item N is truncated after 6 * N bytes.
  const auto script = [&](const HttpRequest& request) {
    const std::string item =
        FindHeader(request.headers, "Attempt-Id").value_or("");
    const uint64_t last =
        std::stoull(FindHeader(request.headers, "Last-Event-Id").value_or("0"));
    const std::string body = ModelServer::Body(item, last + 1, kEvents);
    if (!truncated_items.insert(item).second) {
      return WholeAnswer(item, body);
    }
    const size_t number = std::stoul(item.substr(item.find('-') + 1));
    return Truncate({.size = 6 * number}, item, body);
  };
  RawBackend backend(f.context, script);
  RegisterRawBackend(f, "raw-0", backend);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    constexpr size_t kItems = 8;
    HttpRequest submission = f.Submission("j", kItems);
    const auto accepted = co_await f.Send(0, std::move(submission));
    REQUIRE(accepted.has_value());
    REQUIRE(accepted.value().status == 202);
    const nlohmann::json results = co_await f.ReadAllResults(0, "j");
    REQUIRE(results.size() == kItems);
    for (const auto& result : results) {
      const std::string item = result["id"];
      CHECK(result["state"] == "completed");
      CHECK(result["output"] == item + "-1\n" + item + "-2\n" + item + "-3");
    }
  });
}

}  // namespace
}  // namespace cowslip
