#include "Backend/gate_driver.h"

#include <chrono>
#include <deque>
#include <map>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Backend/gate_core.h"
#include "Base/log.h"
#include "Net/http_client.h"

namespace cowslip {

namespace asio = boost::asio;

namespace {

constexpr auto kTickInterval = std::chrono::milliseconds(20);
constexpr auto kProbeInterval = std::chrono::milliseconds(200);
constexpr Duration kProbeTimeout = std::chrono::seconds(5);
// A single failed probe may be a transient error; two in a row are an outage.
constexpr int kProbesUntilDown = 2;
// The HTTP timeout is this much longer than the deadline, so that GateCore's
// own deadline expires first.
constexpr Duration kDeadlineMargin = std::chrono::seconds(1);

// One call to the backend server.
struct EngineCall {
  explicit EngineCall(asio::io_context& context)
      : wake(context, asio::steady_timer::time_point::max()) {}
  // Cancelled to wake the reader when `paused` or `aborted` changes.
  asio::steady_timer wake;
  HttpResponseStream* stream = nullptr;
  const std::shared_ptr<HttpAbort> abort = std::make_shared<HttpAbort>();
  bool paused = false;
  bool aborted = false;
};

HttpRequest ToHttp(EngineRequest request) {
  HttpRequest http{.method = std::move(request.method),
                   .target = std::move(request.target),
                   .body = std::move(request.body)};
  for (ForwardedHeader& header : request.headers) {
    http.headers.push_back({std::move(header.name), std::move(header.value)});
  }
  return http;
}

std::vector<ForwardedHeader> FromHttp(const HttpHeaders& headers) {
  std::vector<ForwardedHeader> forwarded;
  for (const HttpHeader& header : headers) {
    forwarded.push_back({.name = header.name, .value = header.value});
  }
  return forwarded;
}

EngineFailureKind ToFailure(const Error& error) {
  switch (error.kind()) {
    case ErrorKind::kUnavailable:
      return EngineFailureKind::kNotSent;
    case ErrorKind::kTimeout:
      return EngineFailureKind::kTimeout;
    default:
      return EngineFailureKind::kConnectionBroken;
  }
}

}  // namespace

class GateDriver::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context,
       GateOptions options,
       Endpoint engine,
       GateDriverHooks hooks)
      : m_context(context),
        m_probe_target(options.kind == BackendKind::kEngine ? "/load"
                                                            : "/healthz"),
        m_core(std::move(options)),
        m_hooks(std::move(hooks)),
        m_client(context.get_executor(),
                 std::move(engine),
                 HttpClientOptions{.max_idle_connections = 0}),
        m_tick(context),
        m_probe(context) {}

  void Start() {
    ScheduleTick();
    asio::co_spawn(
        m_context, [self = shared_from_this()] { return self->Probe(); },
        asio::detached);
  }
  void Stop();
  void Feed(GateEvent event);
  const GateCore& core() const { return m_core; }

 private:
  void ScheduleTick();
  asio::awaitable<void> Probe();
  asio::awaitable<void> Call(StartEngineCall action,
                             std::shared_ptr<EngineCall> call);
  asio::awaitable<void> ReadBody(ExchangeKey key,
                                 std::shared_ptr<EngineCall> call,
                                 MonotonicTime deadline);
  asio::awaitable<void> WaitWhilePaused(std::shared_ptr<EngineCall> call);
  void EndCall(const ExchangeKey& key, GateEvent event);
  EngineCall* Find(const ExchangeKey& key);

  void ApplyAction(StartEngineCall action);
  void ApplyAction(const AbortEngineCall& action);
  void ApplyAction(const PauseEngineRead& action);
  void ApplyAction(const ResumeEngineRead& action);
  void ApplyAction(const ReplyToEntry& action);
  void ApplyAction(const AnnounceStatus& action);
  void ApplyAction(const DrainFinished& action);

  asio::io_context& m_context;
  const std::string m_probe_target;
  GateCore m_core;
  const GateDriverHooks m_hooks;
  HttpClient m_client;
  asio::steady_timer m_tick;
  asio::steady_timer m_probe;
  std::map<ExchangeKey, std::shared_ptr<EngineCall>> m_calls;
  std::deque<GateEvent> m_events;
  bool m_processing = false;
  bool m_stopped = false;
};

void GateDriver::Impl::Stop() {
  m_stopped = true;
  m_tick.cancel();
  m_probe.cancel();
  for (const auto& [key, call] : m_calls) {
    ApplyAction(AbortEngineCall{key});
  }
}

// Executing an action may produce further events; they are queued until all
// actions of the current event have been executed.
void GateDriver::Impl::Feed(GateEvent event) {
  m_events.push_back(std::move(event));
  if (m_processing || m_stopped) {
    return;
  }
  m_processing = true;
  while (!m_events.empty()) {
    GateEvent next = std::move(m_events.front());
    m_events.pop_front();
    for (GateAction& action :
         m_core.Handle(std::move(next), MonotonicClock::now())) {
      std::visit(
          [this](auto&& alternative) { ApplyAction(std::move(alternative)); },
          std::move(action));
    }
  }
  m_processing = false;
}

void GateDriver::Impl::ScheduleTick() {
  m_tick.expires_after(kTickInterval);
  m_tick.async_wait([weak = weak_from_this()](boost::system::error_code error) {
    const auto self = weak.lock();
    if (!error && self != nullptr && !self->m_stopped) {
      self->Feed(GateTick());
      self->ScheduleTick();
    }
  });
}

asio::awaitable<void> GateDriver::Impl::Probe() {
  int failures = 0;
  while (!m_stopped) {
    HttpRequest request{.target = m_probe_target};
    const Result<HttpResponse> got =
        co_await m_client.Send(std::move(request), kProbeTimeout);
    // A timeout does not count as a failure, because an overloaded server may
    // be slow; only a broken or refused connection does.
    const bool down =
        !got.has_value() && got.error().kind() != ErrorKind::kTimeout;
    failures = down ? failures + 1 : 0;
    if (failures >= kProbesUntilDown) {
      Feed(EngineDown());
    } else if (got.has_value()) {
      Feed(EngineUp());
    }
    boost::system::error_code ignored;
    auto token = asio::redirect_error(asio::use_awaitable, ignored);
    m_probe.expires_after(kProbeInterval);
    co_await m_probe.async_wait(token);
  }
}

void GateDriver::Impl::ApplyAction(StartEngineCall action) {
  const auto call = std::make_shared<EngineCall>(m_context);
  m_calls[action.key] = call;
  asio::co_spawn(
      m_context,
      [self = shared_from_this(), action = std::move(action), call]() mutable {
        return self->Call(std::move(action), call);
      },
      asio::detached);
}

asio::awaitable<void> GateDriver::Impl::Call(StartEngineCall action,
                                             std::shared_ptr<EngineCall> call) {
  const auto self = shared_from_this();
  const ExchangeKey key = action.key;
  const Duration timeout = action.timeout + kDeadlineMargin;
  const MonotonicTime deadline = MonotonicClock::now() + timeout;
  HttpRequest request = ToHttp(std::move(action.request));
  Result<std::unique_ptr<HttpResponseStream>> opened =
      co_await m_client.Open(std::move(request), timeout, call->abort);
  if (call->aborted) {
    // Destroy the stream before EngineCallClosed frees the slot.
    opened = Error(ErrorKind::kCancelled, "The call was given up.");
    EndCall(key, EngineCallClosed{key});
    co_return;
  }
  if (!opened.has_value()) {
    const Error& error = opened.error();
    EndCall(key, EngineCallFailed{key, ToFailure(error), error.message});
    co_return;
  }
  const std::unique_ptr<HttpResponseStream> stream = std::move(opened.value());
  call->stream = stream.get();
  Feed(EngineResponseHead{
      .key = key,
      .status = stream->status(),
      .headers = FromHttp(stream->headers()),
      .ends_with_connection = stream->ends_with_connection()});
  co_await ReadBody(key, call, deadline);
  call->stream = nullptr;
}

asio::awaitable<void> GateDriver::Impl::ReadBody(
    ExchangeKey key,
    std::shared_ptr<EngineCall> call,
    MonotonicTime deadline) {
  while (true) {
    co_await WaitWhilePaused(call);
    if (call->aborted) {
      break;
    }
    const Duration left = deadline - MonotonicClock::now();
    Result<std::optional<std::string>> chunk =
        co_await call->stream->ReadSome(left);
    if (call->aborted) {
      break;
    }
    if (!chunk.has_value()) {
      const Error& error = chunk.error();
      EndCall(key, EngineCallFailed{key, ToFailure(error), error.message});
      co_return;
    }
    if (!chunk.value().has_value()) {
      EndCall(key, EngineResponseEnd{key});
      co_return;
    }
    Feed(EngineResponseChunk{key, std::move(*chunk.value())});
  }
  EndCall(key, EngineCallClosed{key});
}

asio::awaitable<void> GateDriver::Impl::WaitWhilePaused(
    std::shared_ptr<EngineCall> call) {
  while (call->paused && !call->aborted) {
    boost::system::error_code ignored;
    auto token = asio::redirect_error(asio::use_awaitable, ignored);
    co_await call->wake.async_wait(token);
  }
}

void GateDriver::Impl::EndCall(const ExchangeKey& key, GateEvent event) {
  m_calls.erase(key);
  Feed(std::move(event));
}

EngineCall* GateDriver::Impl::Find(const ExchangeKey& key) {
  const auto found = m_calls.find(key);
  return found == m_calls.end() ? nullptr : found->second.get();
}

void GateDriver::Impl::ApplyAction(const AbortEngineCall& action) {
  EngineCall* call = Find(action.key);
  if (call == nullptr) {
    return;
  }
  call->aborted = true;
  call->wake.cancel();
  call->abort->Abort();
  if (call->stream != nullptr) {
    call->stream->Abort();
  }
}

void GateDriver::Impl::ApplyAction(const PauseEngineRead& action) {
  if (EngineCall* call = Find(action.key)) {
    call->paused = true;
  }
}

void GateDriver::Impl::ApplyAction(const ResumeEngineRead& action) {
  if (EngineCall* call = Find(action.key)) {
    call->paused = false;
    call->wake.cancel();
  }
}

void GateDriver::Impl::ApplyAction(const ReplyToEntry& action) {
  m_hooks.reply(action.entry, action.message);
}

void GateDriver::Impl::ApplyAction(const AnnounceStatus& action) {
  m_hooks.announce(action.status);
}

void GateDriver::Impl::ApplyAction(const DrainFinished&) {
  m_hooks.drained();
}

GateDriver::GateDriver(asio::io_context& context,
                       GateOptions options,
                       Endpoint engine,
                       GateDriverHooks hooks)
    : m_impl(std::make_shared<Impl>(context,
                                    std::move(options),
                                    std::move(engine),
                                    std::move(hooks))) {}

GateDriver::~GateDriver() {
  m_impl->Stop();
}

void GateDriver::Start() {
  m_impl->Start();
}

void GateDriver::Feed(GateEvent event) {
  m_impl->Feed(std::move(event));
}

const GateCore& GateDriver::core() const {
  return m_impl->core();
}

}  // namespace cowslip
