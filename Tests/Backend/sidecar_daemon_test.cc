#include <atomic>
#include <chrono>
#include <memory>
#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "Base/json.h"
#include "Tests/Backend/sidecar_fixture.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using tcp = boost::asio::ip::tcp;

EngineServerOptions FastEngine(size_t slots) {
  EngineServerOptions options;
  options.model.slots = slots;
  options.model.step_time = 5ms;
  return options;
}

std::string ContentOf(const std::string& body) {
  return json::parse(body)["choices"][0]["message"]["content"];
}

json EngineStats(SidecarFixture& fixture) {
  return json::parse(fixture.CallEngine({.target = "/stats"}).body);
}

TEST_CASE("An online stream is forwarded completely") {
  SidecarFixture fixture(FastEngine(2));
  fixture.StartSidecar();
  const ExchangeId id = fixture.Dispatch(Chat("oak", 20));
  ReceivedReplies& replies = fixture.replies(id);
  REQUIRE(fixture.RunUntil([&] { return replies.Ended(); }));
  REQUIRE(replies.ends.size() == 1);
  CHECK(replies.status == 200);
  CHECK_THAT(replies.body, Catch::Contains("\"content\":\"oak \"") &&
                               Catch::Contains("\"content\":\" t20\"") &&
                               Catch::EndsWith("data: [DONE]\n\n"));
}

TEST_CASE(
    "A batch item preempted for an online request resumes and completes") {
  SidecarFixture fixture(FastEngine(1));
  fixture.StartSidecar(1);
  DispatchRequest item = Chat("ash", 60, WorkClass::kBatch);
  ReceivedReplies& first = fixture.replies(fixture.Dispatch(item));
  fixture.RunFor(100ms);
  ReceivedReplies& online = fixture.replies(fixture.Dispatch(Chat("oak", 5)));
  REQUIRE(fixture.RunUntil([&] { return first.Ended() && online.Ended(); }));
  REQUIRE(first.failures.size() == 1);
  CHECK(first.failures[0].reason == FailureReason::kPreempted);
  CHECK(first.body.empty());
  CHECK(online.ends.size() == 1);
  REQUIRE_FALSE(first.failures[0].resume_token.empty());
  CHECK(json::parse(first.failures[0].resume_token)["tokens"] > 0);

  item.resume_token = first.failures[0].resume_token;
  ReceivedReplies& second = fixture.replies(fixture.Dispatch(item));
  REQUIRE(fixture.RunUntil([&] { return second.Ended(); }));
  REQUIRE(second.ends.size() == 1);
  CHECK(ContentOf(second.body) == ChatText("ash", 60));
  CHECK(json::parse(second.body)["usage"]["completion_tokens"] == 60);
  CHECK(EngineStats(fixture)["max_queued"] == 0);
}

TEST_CASE("Cancelling a stream ends its call to the engine") {
  SidecarFixture fixture(FastEngine(1));
  fixture.StartSidecar(1);
  const ExchangeId id = fixture.Dispatch(Chat("oak", 100000));
  ReceivedReplies& replies = fixture.replies(id);
  REQUIRE(fixture.RunUntil([&] { return replies.body.size() > 500; }));
  fixture.Send(CancelRequest{.exchange = id});
  REQUIRE(fixture.RunUntil([&] { return replies.Ended(); }));
  CHECK(replies.failures.at(0).reason == FailureReason::kCancelled);
  CHECK_FALSE(replies.failures.at(0).not_run);
  REQUIRE(
      fixture.RunUntil([&] { return EngineStats(fixture)["running"] == 0; }));
}

TEST_CASE("A call is cancelled before the engine has sent any byte") {
  SidecarFixture fixture(FastEngine(1));
  fixture.StartSidecar(1);
  DispatchRequest whole = Chat("oak", 100000);
  whole.body.replace(whole.body.find("true"), 4, "false");
  const ExchangeId id = fixture.Dispatch(whole);
  const auto runs = [&] { return EngineStats(fixture)["running"] == 1; };
  REQUIRE(fixture.RunUntil(runs));
  fixture.Send(CancelRequest{.exchange = id});
  REQUIRE(fixture.RunUntil([&] { return !runs(); }));
  ReceivedReplies& next = fixture.replies(fixture.Dispatch(Chat("ash", 5)));
  REQUIRE(fixture.RunUntil([&] { return next.Ended(); }));
  CHECK(next.ends.size() == 1);
}

TEST_CASE("Without credit the sidecar stops reading from the engine") {
  EngineServerOptions engine = FastEngine(1);
  engine.model.step_time = 10us;
  SidecarFixture fixture(engine);
  fixture.StartSidecar(1);
  const ExchangeId id = fixture.Dispatch(Chat("oak", 20000));
  ReceivedReplies& replies = fixture.replies(id);
  REQUIRE(fixture.RunUntil(
      [&] { return replies.body.size() == kInitialCreditBytes; }));
  fixture.RunFor(100ms);
  CHECK(replies.body.size() == kInitialCreditBytes);
  fixture.Send(CreditGrant{.exchange = id, .bytes = 100 << 20});
  REQUIRE(fixture.RunUntil([&] { return replies.Ended(); }));
  CHECK(replies.ends.size() == 1);
  CHECK_THAT(replies.body, Catch::EndsWith("data: [DONE]\n\n"));
}

TEST_CASE(
    "Requests that run during a crash are suspects; later requests succeed") {
  SidecarFixture fixture(FastEngine(4));
  fixture.StartSidecar(4);
  fixture.SetFaults(
      R"({"crash_marker":"BOOM","crash_mode":"connections","down_ms":600})");
  std::vector<ExchangeId> bystanders;
  bystanders.push_back(fixture.Dispatch(Chat("oak", 100000)));
  bystanders.push_back(
      fixture.Dispatch(Chat("ash", 100000, WorkClass::kBatch)));
  fixture.RunFor(100ms);
  const ExchangeId crashing = fixture.Dispatch(Chat("BOOM", 5));
  for (const ExchangeId id : {bystanders[0], bystanders[1], crashing}) {
    ReceivedReplies& replies = fixture.replies(id);
    REQUIRE(fixture.RunUntil([&] { return replies.Ended(); }));
    CHECK(replies.failures.at(0).reason == FailureReason::kEngineFailed);
    CHECK(replies.failures.at(0).suspect);
    CHECK_FALSE(replies.failures.at(0).not_run);
  }
  // While the engine is down, requests are refused as not run and are not
  // suspects.
  ReceivedReplies& down = fixture.replies(fixture.Dispatch(Chat("fir", 5)));
  REQUIRE(fixture.RunUntil([&] { return down.Ended(); }));
  CHECK(down.failures.at(0).reason == FailureReason::kEngineRefused);
  CHECK(down.failures.at(0).not_run);
  CHECK_FALSE(down.failures.at(0).suspect);
  REQUIRE(fixture.RunUntil([&] { return fixture.status().accepting; }));
  ReceivedReplies& after = fixture.replies(fixture.Dispatch(Chat("elm", 5)));
  REQUIRE(fixture.RunUntil([&] { return after.Ended(); }));
  CHECK(after.ends.size() == 1);
}

TEST_CASE(
    "A draining sidecar completes running streams and refuses new requests") {
  SidecarFixture fixture(FastEngine(2));
  fixture.StartSidecar();
  ReceivedReplies& running = fixture.replies(fixture.Dispatch(Chat("oak", 60)));
  fixture.RunFor(50ms);
  fixture.sidecar().Drain();
  REQUIRE(fixture.RunUntil([&] { return fixture.status().leaving; }));
  CHECK_FALSE(running.Ended());
  ReceivedReplies& late = fixture.replies(fixture.Dispatch(Chat("ash", 5)));
  REQUIRE(fixture.RunUntil([&] { return late.Ended(); }));
  CHECK(late.failures.at(0).reason == FailureReason::kDraining);
  CHECK(late.failures.at(0).not_run);
  REQUIRE(fixture.RunUntil([&] { return running.Ended(); }));
  CHECK(running.ends.size() == 1);
  CHECK_THAT(running.body, Catch::Contains("t60"));
}

TEST_CASE("A restarted sidecar does not run earlier requests again") {
  SidecarFixture fixture(FastEngine(1));
  fixture.StartSidecar(1);
  const ExchangeId running = fixture.Dispatch(Chat("oak", 100000));
  const ExchangeId waiting = fixture.Dispatch(Chat("ash", 5));
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.replies(running).body.size() > 500; }));
  fixture.StopSidecar();
  REQUIRE(
      fixture.RunUntil([&] { return EngineStats(fixture)["running"] == 0; }));
  fixture.StartSidecar(1);
  fixture.RunFor(200ms);
  CHECK(EngineStats(fixture)["requests"] == 1);
  CHECK_FALSE(fixture.replies(running).Ended());
  CHECK_FALSE(fixture.replies(waiting).Ended());
  ReceivedReplies& next = fixture.replies(fixture.Dispatch(Chat("elm", 5)));
  REQUIRE(fixture.RunUntil([&] { return next.Ended(); }));
  CHECK(next.ends.size() == 1);
}

TEST_CASE(
    "Old fencing numbers are refused after a restart if the engine ignores "
    "them") {
  EngineServerOptions engine = FastEngine(1);
  engine.ignore_fencing = true;
  SidecarFixture fixture(engine);
  const auto order = [&](int fencing) {
    const json body = {{"order", "load"}, {"fencing", fencing}};
    return fixture
        .CallAdmin({.method = "POST", .target = "/orders", .body = body.dump()})
        .status;
  };
  fixture.StartSidecar();
  CHECK(order(5) == 200);
  CHECK(order(4) == 409);
  fixture.StopSidecar();
  fixture.StartSidecar();
  CHECK(order(4) == 409);
  CHECK(order(5) == 200);
  CHECK(order(6) == 200);
  CHECK(EngineStats(fixture)["orders"].size() == 3);
}

// Responds to each POST with the first bytes of a response and closes the
// connection; other requests get the complete response.
class TruncatingServer {
 public:
  static constexpr char kResponse[] =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";

  explicit TruncatingServer(boost::asio::io_context& context)
      : m_acceptor(context, tcp::endpoint(tcp::v4(), 0)) {
    Accept();
  }
  uint16_t port() const { return m_acceptor.local_endpoint().port(); }
  void CloseAfter(size_t bytes) { m_bytes = bytes; }
  int posts() const { return m_posts; }

 private:
  void Accept() {
    m_acceptor.async_accept([this](auto error, tcp::socket socket) {
      if (!error) {
        Serve(std::make_shared<tcp::socket>(std::move(socket)));
        Accept();
      }
    });
  }
  void Serve(std::shared_ptr<tcp::socket> socket) {
    const auto buffer = std::make_shared<boost::asio::streambuf>();
    boost::asio::async_read_until(
        *socket, *buffer, "\r\n\r\n", [=, this](auto, size_t) {
          const std::string data(boost::asio::buffers_begin(buffer->data()),
                                 boost::asio::buffers_end(buffer->data()));
          const bool post = data.starts_with("POST");
          m_posts += post ? 1 : 0;
          const size_t bytes = post ? m_bytes.load() : sizeof(kResponse) - 1;
          boost::system::error_code ignored;
          boost::asio::write(*socket, boost::asio::buffer(kResponse, bytes),
                             ignored);
          socket->close(ignored);
        });
  }

  tcp::acceptor m_acceptor;
  std::atomic<size_t> m_bytes = 0;
  std::atomic<int> m_posts = 0;
};

TEST_CASE(
    "A response truncated at any byte fails and is not reported as not run") {
  boost::asio::io_context server_context;
  TruncatingServer server(server_context);
  SidecarFixture fixture(EngineServerOptions(), server.port());
  std::thread thread([&] { server_context.run(); });
  fixture.StartSidecar();
  constexpr size_t kWhole = sizeof(TruncatingServer::kResponse) - 1;
  for (size_t bytes = 0; bytes <= kWhole; ++bytes) {
    server.CloseAfter(bytes);
    const ExchangeId id = fixture.Dispatch(
        {.method = "POST", .target = "/reserve", .deadline_ms = 20000});
    ReceivedReplies& replies = fixture.replies(id);
    REQUIRE(fixture.RunUntil([&] { return replies.Ended(); }));
    INFO("Truncated after " << bytes << " bytes");
    CHECK(replies.ends.size() == (bytes == kWhole ? 1 : 0));
    CHECK(replies.failures.size() == (bytes == kWhole ? 0 : 1));
    for (const ExchangeFailed& failed : replies.failures) {
      CHECK_FALSE(failed.not_run);
    }
  }
  // Each request reached the service exactly once.
  CHECK(server.posts() == kWhole + 1);
  server_context.stop();
  thread.join();
}

}  // namespace
}  // namespace cowslip
