#include "Utilities/StandIns/Engine/engine_server.h"

#include <cstdlib>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Base/json.h"
#include "Base/log.h"
#include "Net/http_exchange.h"
#include "Net/http_server.h"
#include "Utilities/StandIns/Engine/chat_answer.h"
#include "Utilities/StandIns/Engine/engine_faults.h"

namespace cowslip {

namespace asio = boost::asio;

namespace {

constexpr size_t kMaxReceived = 10000;
constexpr int kCrashExitCode = 70;

struct ReceivedRequest {
  std::string target;
  HttpHeaders headers;
  std::string body;
};

nlohmann::json ToJson(const ReceivedRequest& received) {
  nlohmann::json headers = nlohmann::json::array();
  for (const HttpHeader& header : received.headers) {
    headers.push_back({{"name", header.name}, {"value", header.value}});
  }
  return {{"target", received.target},
          {"headers", std::move(headers)},
          {"body", received.body}};
}

HttpResponse JsonResponse(int status, const nlohmann::json& body) {
  return {.status = status,
          .headers = {{"Content-Type", "application/json"}},
          .body = DumpJson(body)};
}

HttpResponse ErrorResponse(int status, const std::string& message) {
  return JsonResponse(status, {{"error", {{"message", message}}}});
}

// The tokens of one stream that its connection has not written yet.
struct RunningCall {
  explicit RunningCall(const asio::any_io_executor& executor)
      : wake(executor, asio::steady_timer::time_point::max()) {}
  asio::steady_timer wake;
  std::deque<EngineModelToken> tokens;
  bool cancelled = false;
};

struct LoadReport {
  MonotonicTime time;
  size_t running = 0;
  size_t queued = 0;
};

}  // namespace

class EngineServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, EngineServerOptions options)
      : m_context(context),
        m_options(std::move(options)),
        m_model(m_options.model),
        m_step_timer(context),
        m_restart_timer(context) {}

  /// Opens the port, the same one again after a crash.
  Result<void> Listen();
  uint16_t port() const { return m_port; }
  void Stop() {
    m_stopped = true;
    m_step_timer.cancel();
    m_restart_timer.cancel();
    m_server.reset();
  }

 private:
  asio::awaitable<void> Serve(HttpExchange& exchange);
  asio::awaitable<void> ServeChat(HttpExchange& exchange);
  asio::awaitable<void> Run(HttpExchange& exchange, ChatCall call);
  asio::awaitable<bool> WriteTokens(HttpExchange& exchange,
                                    ChatCall call,
                                    RunningCall& running);
  asio::awaitable<void> Sleep(Duration time);
  HttpResponse Load();
  HttpResponse Stats() const;
  HttpResponse Received() const;
  HttpResponse SetFaults(const std::string& body);
  HttpResponse TakeOrder(const std::string& body);

  void Remember(const HttpRequest& request);
  void Crash();
  // Closes the port until `down_ms` have passed, as a crashed process would.
  void StayDown();
  void ScheduleStep();
  void EndStep();
  void RecordLoad();

  asio::io_context& m_context;
  const EngineServerOptions m_options;
  EngineModel m_model;
  EngineFaults m_faults;
  asio::steady_timer m_step_timer;
  asio::steady_timer m_restart_timer;
  std::map<EngineStreamId, RunningCall*> m_calls;
  std::set<HttpExchange*> m_exchanges;
  std::deque<ReceivedRequest> m_received;
  std::deque<LoadReport> m_load;
  nlohmann::json m_orders = nlohmann::json::array();
  uint64_t m_fencing = 0;
  uint64_t m_requests = 0;
  uint64_t m_completed = 0;
  uint64_t m_cancelled = 0;
  uint64_t m_tokens = 0;
  size_t m_max_queued = 0;
  bool m_stopped = false;
  uint16_t m_port = 0;
  std::unique_ptr<HttpServer> m_server;
};

asio::awaitable<void> EngineServer::Impl::Sleep(Duration time) {
  asio::steady_timer timer(m_context);
  timer.expires_after(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(time));
  boost::system::error_code ignored;
  auto token = asio::redirect_error(asio::use_awaitable, ignored);
  co_await timer.async_wait(token);
}

asio::awaitable<void> EngineServer::Impl::Serve(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  const std::string path = request.Path();
  HttpResponse response = ErrorResponse(404, "No such path.");
  if (path == "/faults" && request.method == "PUT") {
    response = SetFaults(request.body);
  } else if (path == "/received") {
    response = Received();
  } else if (path == "/stats") {
    response = Stats();
  } else if (m_faults.down) {
    exchange.Abort();
    co_return;
  } else if (path == "/v1/chat/completions") {
    m_exchanges.insert(&exchange);
    co_await ServeChat(exchange);
    m_exchanges.erase(&exchange);
    co_return;
  } else if (path == "/load") {
    response = Load();
  } else if (path == "/orders" && request.method == "POST") {
    response = TakeOrder(request.body);
  }
  (void)co_await exchange.Respond(std::move(response));
}

asio::awaitable<void> EngineServer::Impl::ServeChat(HttpExchange& exchange) {
  const std::string body = exchange.request().body;
  Remember(exchange.request());
  const std::string& crash = m_faults.crash_marker;
  if (!crash.empty() && body.find(crash) != std::string::npos) {
    Crash();
    co_return;
  }
  if (m_faults.slow_ms > 0) {
    const Duration slow = std::chrono::milliseconds(m_faults.slow_ms);
    co_await Sleep(slow);
  }
  Result<ChatCall> call = ParseChatCall(body);
  const std::string& fail = m_faults.fail_marker;
  if (!fail.empty() && body.find(fail) != std::string::npos) {
    call = Error(ErrorKind::kInvalidArgument, "The request cannot be done.");
  }
  if (!call.has_value()) {
    HttpResponse refusal = ErrorResponse(400, call.error().message);
    (void)co_await exchange.Respond(std::move(refusal));
    co_return;
  }
  ChatCall parsed = std::move(call.value());
  co_await Run(exchange, std::move(parsed));
}

asio::awaitable<void> EngineServer::Impl::Run(HttpExchange& exchange,
                                              ChatCall call) {
  RunningCall running(m_context.get_executor());
  const MonotonicTime now = MonotonicClock::now();
  const EngineStreamId stream =
      m_model.Add(call.prompt, call.resume_from, call.max_tokens, now);
  m_calls[stream] = &running;
  m_max_queued = std::max(m_max_queued, m_model.queued());
  RecordLoad();
  ScheduleStep();
  exchange.OnClientDisconnected([&running] {
    running.cancelled = true;
    running.wake.cancel();
  });
  const bool whole = co_await WriteTokens(exchange, std::move(call), running);
  ++(whole ? m_completed : m_cancelled);
  m_calls.erase(stream);
  m_model.Cancel(stream, MonotonicClock::now());
  RecordLoad();
  ScheduleStep();
}

asio::awaitable<bool> EngineServer::Impl::WriteTokens(HttpExchange& exchange,
                                                      ChatCall call,
                                                      RunningCall& running) {
  std::string text = call.resume_from == 0 ? call.echo : "";
  if (call.stream) {
    HttpHeaders headers = {{"Content-Type", "text/event-stream"}};
    (void)co_await exchange.StartStream(200, std::move(headers));
    std::string echo = call.resume_from == 0 ? EchoEvent(text) : "";
    (void)co_await exchange.WriteChunk(std::move(echo));
  }
  bool last = false;
  uint64_t written = 0;
  while (!last) {
    while (running.tokens.empty() && !running.cancelled) {
      boost::system::error_code ignored;
      auto token = asio::redirect_error(asio::use_awaitable, ignored);
      co_await running.wake.async_wait(token);
    }
    const uint64_t cut = m_faults.cut_after_tokens;
    if (running.cancelled || (cut > 0 && written >= cut)) {
      exchange.Abort();
      co_return false;
    }
    const EngineModelToken next = running.tokens.front();
    running.tokens.pop_front();
    ++written;
    last = next.last;
    text += TokenText(next.index);
    if (call.stream) {
      std::string event = TokenEvent(next.index) + (last ? DoneEvent() : "");
      const Result<void> sent = co_await exchange.WriteChunk(std::move(event));
      running.cancelled = running.cancelled || !sent.has_value();
    }
  }
  if (call.stream) {
    (void)co_await exchange.FinishStream();
    co_return true;
  }
  HttpResponse response{.headers = {{"Content-Type", "application/json"}},
                        .body = WholeAnswer(text, call.max_tokens)};
  (void)co_await exchange.Respond(std::move(response));
  co_return true;
}

void EngineServer::Impl::Remember(const HttpRequest& request) {
  ++m_requests;
  if (m_received.size() >= kMaxReceived) {
    m_received.pop_front();
  }
  m_received.push_back({.target = request.target,
                        .headers = request.headers,
                        .body = request.body});
}

void EngineServer::Impl::Crash() {
  LOG(WARNING) << "engine: A request has crashed the engine.";
  if (m_faults.crash_mode == "exit") {
    std::_Exit(kCrashExitCode);
  }
  asio::post(m_context, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->StayDown();
    }
  });
  for (HttpExchange* exchange : m_exchanges) {
    exchange->Abort();
  }
  for (const auto& [stream, call] : m_calls) {
    call->cancelled = true;
    call->wake.cancel();
  }
}

void EngineServer::Impl::StayDown() {
  m_server.reset();
  m_restart_timer.expires_after(std::chrono::milliseconds(m_faults.down_ms));
  m_restart_timer.async_wait([weak = weak_from_this()](
                                 boost::system::error_code error) {
    const auto self = weak.lock();
    if (error || self == nullptr) {
      return;
    }
    const Result<void> listening = self->Listen();
    LOG_IF(ERROR, !listening.has_value()) << "engine: " << listening.error();
  });
}

Result<void> EngineServer::Impl::Listen() {
  HttpServerOptions options{.listen = m_options.listen};
  if (m_port != 0) {
    options.listen.port = m_port;
  }
  m_server = std::make_unique<HttpServer>(
      m_context, std::move(options),
      [this](HttpExchange& exchange) { return Serve(exchange); });
  const Result<void> started = m_server->Start();
  m_port = m_server->port();
  return started;
}

void EngineServer::Impl::ScheduleStep() {
  const std::optional<MonotonicTime> end = m_model.NextStepEnd();
  if (!end.has_value() || m_stopped) {
    m_step_timer.cancel();
    return;
  }
  m_step_timer.expires_at(asio::steady_timer::time_point(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          end->time_since_epoch())));
  m_step_timer.async_wait(
      [weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self != nullptr) {
          self->EndStep();
        }
      });
}

void EngineServer::Impl::EndStep() {
  const MonotonicTime now = MonotonicClock::now();
  for (const EngineModelToken& token : m_model.Advance(now)) {
    ++m_tokens;
    const auto call = m_calls.find(token.stream);
    if (call != m_calls.end()) {
      call->second->tokens.push_back(token);
      call->second->wake.cancel();
    }
  }
  RecordLoad();
  ScheduleStep();
}

void EngineServer::Impl::RecordLoad() {
  const MonotonicTime now = MonotonicClock::now();
  m_load.push_back(
      {.time = now, .running = m_model.running(), .queued = m_model.queued()});
  // The newest report that is older than the lag stays in front.
  while (m_load.size() > 1 && m_load[1].time + m_options.load_lag <= now) {
    m_load.pop_front();
  }
}

HttpResponse EngineServer::Impl::Load() {
  RecordLoad();
  const LoadReport& report = m_load.front();
  const bool known = report.time + m_options.load_lag <= MonotonicClock::now();
  return JsonResponse(200, {{"slots", m_model.slots()},
                            {"running", known ? report.running : 0},
                            {"queued", known ? report.queued : 0}});
}

HttpResponse EngineServer::Impl::Stats() const {
  return JsonResponse(200, {{"requests", m_requests},
                            {"completed", m_completed},
                            {"cancelled", m_cancelled},
                            {"tokens", m_tokens},
                            {"running", m_model.running()},
                            {"queued", m_model.queued()},
                            {"max_queued", m_max_queued},
                            {"fencing", m_fencing},
                            {"orders", m_orders}});
}

HttpResponse EngineServer::Impl::Received() const {
  nlohmann::json requests = nlohmann::json::array();
  for (const ReceivedRequest& received : m_received) {
    requests.push_back(ToJson(received));
  }
  return JsonResponse(200, {{"requests", std::move(requests)}});
}

HttpResponse EngineServer::Impl::SetFaults(const std::string& body) {
  Result<EngineFaults> faults = ParseEngineFaults(body);
  if (!faults.has_value()) {
    return ErrorResponse(400, faults.error().message);
  }
  m_faults = std::move(faults.value());
  return JsonResponse(200, nlohmann::json::object());
}

HttpResponse EngineServer::Impl::TakeOrder(const std::string& body) {
  const Result<nlohmann::json> order = ParseJson(body);
  const bool readable = order.has_value() && order.value().is_object() &&
                        order.value().contains("fencing") &&
                        order.value()["fencing"].is_number_unsigned();
  if (!readable) {
    return ErrorResponse(400, "Send an order with its fencing number.");
  }
  const uint64_t fencing = order.value()["fencing"];
  if (fencing < m_fencing && !m_options.ignore_fencing) {
    return ErrorResponse(409, "The fencing number is old.");
  }
  m_fencing = fencing;
  m_orders.push_back(order.value());
  return JsonResponse(200, {{"fencing", m_fencing}});
}

EngineServer::EngineServer(asio::io_context& context,
                           EngineServerOptions options)
    : m_impl(std::make_shared<Impl>(context, std::move(options))) {}

EngineServer::~EngineServer() {
  m_impl->Stop();
}

Result<void> EngineServer::Start() {
  return m_impl->Listen();
}

uint16_t EngineServer::port() const {
  return m_impl->port();
}

}  // namespace cowslip
