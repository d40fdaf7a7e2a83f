#include "Backend/sidecar_daemon.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <random>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "Backend/gate_core.h"
#include "Backend/gate_driver.h"
#include "Backend/order_driver.h"
#include "Backend/sidecar_metrics.h"
#include "Backend/sidecar_settings.h"
#include "Base/json.h"
#include "Base/log.h"
#include "Base/message_codec.h"
#include "Link/peer_link.h"
#include "Net/http_client.h"
#include "Net/http_exchange.h"
#include "Net/http_server.h"
#include "Platform/http_object_store.h"

namespace cowslip {

namespace asio = boost::asio;

namespace {

constexpr Duration kMinStatusInterval = std::chrono::milliseconds(500);
// The status interval grows with the number of entries to limit the traffic.
// This does not delay entries: changes are sent at once, and replies carry the
// current load.
constexpr Duration kStatusIntervalPerEntry = std::chrono::milliseconds(200);
constexpr auto kFlushInterval = std::chrono::milliseconds(10);
// How long a shutdown waits for the last replies to be sent.
constexpr Duration kFlushTimeout = std::chrono::seconds(5);
constexpr JsonLimits kFrameLimits = {.max_bytes = 8 << 20, .max_depth = 16};

Incarnation GenerateIncarnation() {
  std::random_device device;
  const uint64_t high = device();
  return Incarnation(high << 32 | device());
}

HttpResponse TextResponse(int status, std::string body) {
  return {.status = status,
          .headers = {{"Content-Type", "text/plain; version=0.0.4"}},
          .body = std::move(body)};
}

HttpResponse NotFoundResponse() {
  const nlohmann::json problem = {
      {"type", "urn:cowslip:no-such-page"},
      {"title", "No such page"},
      {"status", 404},
      {"detail", "Use /healthz, /readyz, /metrics, /status or POST /orders."}};
  return {.status = 404,
          .headers = {{"Content-Type", "application/problem+json"}},
          .body = DumpJson(problem)};
}

}  // namespace

class SidecarDaemon::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, SidecarSettings settings);

  Result<void> Start();
  void Drain();
  void Stop();
  uint16_t link_port() const { return m_link.port(); }
  uint16_t admin_port() const { return m_admin.port(); }

 private:
  PeerLinkOptions LinkOptions() const;
  GateDriverHooks Hooks();
  void OnLinkUp(const std::string& vm, uint64_t incarnation);
  void OnLinkDown(const std::string& vm);
  void OnFrame(const std::string& vm, const std::string& cbor);
  void OnMessage(const VmId& vm, ExchangeRequestMessage message);
  void Send(const std::string& vm, const ExchangeReplyMessage& message);
  void Announce(const BackendStatus& status);
  void ScheduleStatus();
  asio::awaitable<void> ServeAdmin(HttpExchange& exchange);
  HttpResponse StatusResponse() const;
  void OnDrained();
  // Stops the process once all queued replies have been sent, or at `give_up`.
  void StopWhenFlushed(MonotonicTime give_up);
  template <class Callback>
  void After(asio::steady_timer& timer, Duration delay, Callback callback);

  asio::io_context& m_context;
  const SidecarSettings m_settings;
  const Incarnation m_incarnation;
  PeerLink m_link;
  HttpObjectStore m_store;
  HttpClient m_order_client;
  GateDriver m_gate;
  OrderDriver m_orders;
  SidecarMetrics m_metrics;
  HttpServer m_admin;
  asio::steady_timer m_status_timer;
  asio::steady_timer m_drain_timer;
  asio::steady_timer m_linger_timer;
  std::map<std::string, Incarnation> m_entries;
  MonotonicTime m_drain_started;
  bool m_draining = false;
};

SidecarDaemon::Impl::Impl(asio::io_context& context, SidecarSettings settings)
    : m_context(context),
      m_settings(std::move(settings)),
      m_incarnation(GenerateIncarnation()),
      m_link(context, LinkOptions()),
      m_store(context.get_executor(), m_settings.platform),
      m_order_client(context.get_executor(), m_settings.engine),
      m_gate(context, m_settings.gate, m_settings.engine, Hooks()),
      m_orders(context,
               OrderDriverOptions{.vm = m_settings.vm,
                                  .incarnation = m_incarnation,
                                  .store = &m_store,
                                  .engine = &m_order_client}),
      m_admin(context,
              HttpServerOptions{.listen = m_settings.admin},
              [this](HttpExchange& exchange) { return ServeAdmin(exchange); }),
      m_status_timer(context),
      m_drain_timer(context),
      m_linger_timer(context) {}

PeerLinkOptions SidecarDaemon::Impl::LinkOptions() const {
  PeerLinkOptions options;
  options.self_vm = m_settings.vm.value();
  options.self_incarnation = m_incarnation.value();
  options.listen_address = m_settings.link.address;
  options.listen_port = m_settings.link.port;
  return options;
}

GateDriverHooks SidecarDaemon::Impl::Hooks() {
  return {.reply =
              [this](const VmId& vm, const ExchangeReplyMessage& message) {
                Send(vm.value(), message);
              },
          .announce = [this](const BackendStatus& status) { Announce(status); },
          .drained = [this] { OnDrained(); }};
}

Result<void> SidecarDaemon::Impl::Start() {
  m_link.OnUp([this](const std::string& vm, uint64_t incarnation) {
    OnLinkUp(vm, incarnation);
  });
  m_link.OnDown([this](const std::string& vm) { OnLinkDown(vm); });
  m_link.OnFrame(kExchangeRequestChannel,
                 [this](const std::string& vm, const std::string& cbor) {
                   OnFrame(vm, cbor);
                 });
  const std::string wrong = m_link.Start();
  if (!wrong.empty()) {
    return Error(ErrorKind::kUnavailable, wrong);
  }
  m_gate.Start();
  ScheduleStatus();
  return m_admin.Start();
}

void SidecarDaemon::Impl::OnLinkUp(const std::string& vm,
                                   uint64_t incarnation) {
  LOG(INFO) << "side: The link to " << vm << " is up.";
  m_entries[vm] = Incarnation(incarnation);
  m_gate.Feed(EntryLinkUp{VmId(vm), Incarnation(incarnation)});
  Send(vm, m_gate.core().Status());
}

void SidecarDaemon::Impl::OnLinkDown(const std::string& vm) {
  LOG(INFO) << "side: The link to " << vm << " is down.";
  m_entries.erase(vm);
  m_gate.Feed(EntryLinkDown{VmId(vm)});
}

void SidecarDaemon::Impl::OnFrame(const std::string& vm,
                                  const std::string& cbor) {
  const Result<nlohmann::json> json = ParseCbor(cbor, kFrameLimits);
  if (!json.has_value()) {
    LOG(WARNING) << "side: A frame from " << vm << " was dropped. "
                 << json.error();
    return;
  }
  Result<ExchangeRequestMessage> message =
      DecodeMessage<ExchangeRequestMessage>(json.value());
  if (!message.has_value()) {
    LOG(WARNING) << "side: A message from " << vm << " was dropped. "
                 << message.error();
    return;
  }
  OnMessage(VmId(vm), std::move(message.value()));
}

void SidecarDaemon::Impl::OnMessage(const VmId& vm,
                                    ExchangeRequestMessage message) {
  const auto entry = m_entries.find(vm.value());
  if (entry == m_entries.end()) {
    return;
  }
  const Incarnation incarnation = entry->second;
  const auto key = [&](ExchangeId exchange) {
    return ExchangeKey{
        .entry = vm, .incarnation = incarnation, .exchange = exchange};
  };
  if (auto* dispatch = std::get_if<DispatchRequest>(&message)) {
    m_gate.Feed(DispatchReceived{vm, incarnation, std::move(*dispatch)});
  } else if (const auto* cancel = std::get_if<CancelRequest>(&message)) {
    m_gate.Feed(CancelReceived{key(cancel->exchange)});
  } else if (const auto* credit = std::get_if<CreditGrant>(&message)) {
    m_gate.Feed(CreditReceived{key(credit->exchange), credit->bytes});
  }
}

void SidecarDaemon::Impl::Send(const std::string& vm,
                               const ExchangeReplyMessage& message) {
  m_metrics.Count(message);
  // If the link is down or closed because its queue is full, OnLinkDown()
  // removes the entry. A frame over max_frame_bytes is dropped and logged.
  (void)m_link.Send(vm, kExchangeReplyChannel, ToCbor(EncodeMessage(message)));
}

void SidecarDaemon::Impl::Announce(const BackendStatus& status) {
  for (const auto& [vm, incarnation] : m_entries) {
    Send(vm, status);
  }
}

template <class Callback>
void SidecarDaemon::Impl::After(asio::steady_timer& timer,
                                Duration delay,
                                Callback callback) {
  timer.expires_after(
      std::chrono::duration_cast<asio::steady_timer::duration>(delay));
  timer.async_wait(
      [weak = weak_from_this(), callback](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self != nullptr) {
          callback(*self);
        }
      });
}

void SidecarDaemon::Impl::ScheduleStatus() {
  const Duration interval =
      std::max(kMinStatusInterval,
               kStatusIntervalPerEntry * static_cast<int>(m_entries.size()));
  After(m_status_timer, interval, [](Impl& self) {
    self.Announce(self.m_gate.core().Status());
    self.ScheduleStatus();
  });
}

asio::awaitable<void> SidecarDaemon::Impl::ServeAdmin(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  const std::string path = request.Path();
  HttpResponse response = NotFoundResponse();
  if (path == "/healthz") {
    response = TextResponse(200, "ok\n");
  } else if (path == "/readyz") {
    const bool ready = m_gate.core().Status().accepting;
    response = ready ? TextResponse(200, "ready\n")
                     : TextResponse(503, "not accepting\n");
  } else if (path == "/metrics") {
    response = TextResponse(200, m_metrics.Render(m_gate.core()));
  } else if (path == "/status") {
    response = StatusResponse();
  } else if (path == "/orders" && request.method == "POST") {
    response = co_await m_orders.HandleOrder(request.body);
  }
  (void)co_await exchange.Respond(std::move(response));
}

HttpResponse SidecarDaemon::Impl::StatusResponse() const {
  nlohmann::json entries = nlohmann::json::array();
  for (const auto& [vm, incarnation] : m_entries) {
    entries.push_back(vm);
  }
  const nlohmann::json page = {{"vm", m_settings.vm},
                               {"region", m_settings.region},
                               {"status", m_gate.core().Status()},
                               {"entries", std::move(entries)}};
  return {.headers = {{"Content-Type", "application/json"}},
          .body = DumpJson(page) + "\n"};
}

void SidecarDaemon::Impl::Drain() {
  if (m_draining) {
    return;
  }
  m_draining = true;
  m_drain_started = MonotonicClock::now();
  LOG(INFO) << "side: Draining. Running requests will be completed.";
  After(m_drain_timer, m_settings.drain_timeout, [](Impl& self) {
    LOG(WARNING) << "side: The drain timeout has expired. Running requests are "
                    "aborted.";
    self.Stop();
  });
  m_gate.Feed(GateDrainRequested());
}

void SidecarDaemon::Impl::OnDrained() {
  // Stay up for goodbye_linger, to refuse requests that the entries sent before
  // the announcement reached them as not run.
  const MonotonicTime leave = m_drain_started + m_settings.goodbye_linger;
  const Duration left = leave - MonotonicClock::now();
  After(m_linger_timer, std::max(left, Duration(0)), [](Impl& self) {
    self.StopWhenFlushed(MonotonicClock::now() + kFlushTimeout);
  });
}

void SidecarDaemon::Impl::StopWhenFlushed(MonotonicTime give_up) {
  bool flushed = true;
  for (const auto& [vm, incarnation] : m_entries) {
    flushed = flushed && m_link.QueuedBytes(vm) == 0;
  }
  if (flushed || MonotonicClock::now() >= give_up) {
    LOG(INFO) << "side: All requests have ended. Stopping.";
    Stop();
    return;
  }
  After(m_linger_timer, kFlushInterval,
        [give_up](Impl& self) { self.StopWhenFlushed(give_up); });
}

void SidecarDaemon::Impl::Stop() {
  m_status_timer.cancel();
  m_drain_timer.cancel();
  m_linger_timer.cancel();
  m_link.Stop();
  m_context.stop();
}

SidecarDaemon::SidecarDaemon(asio::io_context& context,
                             SidecarSettings settings)
    : m_impl(std::make_shared<Impl>(context, std::move(settings))) {}

SidecarDaemon::~SidecarDaemon() = default;

Result<void> SidecarDaemon::Start() {
  return m_impl->Start();
}

void SidecarDaemon::Drain() {
  m_impl->Drain();
}

uint16_t SidecarDaemon::link_port() const {
  return m_impl->link_port();
}

uint16_t SidecarDaemon::admin_port() const {
  return m_impl->admin_port();
}

}  // namespace cowslip
