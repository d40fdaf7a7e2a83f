#include "Gateway/gateway_daemon.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Gateway/peer_documents.h"
#include "Gateway/problem_response.h"
#include "Net/http_exchange.h"
#include "Net/sleep_for.h"

namespace cowslip {

namespace {

using boost::asio::awaitable;

// The interval of periodic work: the checks for a pause of this process,
// expired directory entries, silent peers and diverged digests, the timers of
// jobs, the flush of the log and the steps of a shutdown.
constexpr Duration kTickInterval = std::chrono::milliseconds(100);

// The load balancer checks readiness once a second and removes a VM after two
// failed checks, so new connections arrive for up to this long after the VM
// stops being ready.
constexpr Duration kBalancerRemovalTime = std::chrono::milliseconds(2500);

// The time before the end of the grace time that is reserved for the answers of
// requests that can't be completed and for the exit: at most the last sixth of
// the grace time, and enough for the steps of the shutdown.
constexpr Duration kMaxAnswerMargin = std::chrono::milliseconds(1000);
constexpr Duration kMinAnswerMargin = 3 * kTickInterval;

// The part of that time that is reserved for writing the log and exiting.
constexpr Duration kMaxExitMargin = std::chrono::milliseconds(400);
constexpr Duration kMinExitMargin = 2 * kTickInterval;

Duration AnswerMargin(Duration grace) {
  return std::clamp<Duration>(grace / 6, kMinAnswerMargin, kMaxAnswerMargin);
}

Duration ExitMargin(Duration grace) {
  return std::clamp<Duration>(AnswerMargin(grace) * 2 / 5, kMinExitMargin,
                              kMaxExitMargin);
}

// The body of a relayed store call: the largest document, in CBOR.
constexpr size_t kMaxPeerBodyBytes = 4 << 20;

// The body of a readiness check or of a request for metrics, which have none.
constexpr size_t kMaxProbeBodyBytes = 4096;

// Processes that were killed together are back within a second, give or take
// the delay of their messages.
constexpr Duration kSameStart = std::chrono::seconds(5);

// The interval between attempts to register while the store is unavailable.
constexpr Duration kRegisterRetryInterval = std::chrono::milliseconds(300);

// The shortest interval between log lines about closes of idle connections.
constexpr Duration kIdleClosesLogInterval = std::chrono::seconds(1);

PlacementOptions PlacementOptionsFor(const GatewaySettings& settings) {
  return PlacementOptions{.self = settings.vm,
                          .zone = settings.zone,
                          .zone_regions = settings.zone_regions,
                          .cold_bounds = settings.cold_bounds};
}

}  // namespace

GatewayDaemon::GatewayDaemon(boost::asio::io_context& context,
                             GatewayDaemonOptions options)
    : m_context(context),
      m_options(std::move(options)),
      m_settings(m_options.settings),
      m_log(EventLogOptions{.descriptor = m_options.log_descriptor}),
      m_memory_monitor(m_log, m_settings.memory_bytes),
      m_direct_store(
          context.get_executor(),
          m_settings.store,
          platform::StoreClientOptions{.memory = m_memory_monitor.budget()}),
      m_store(
          context.get_executor(),
          m_direct_store,
          [this](const DocumentKind& kind) { return PickStorePeer(kind); },
          RelayedStoreOptions{.memory = m_memory_monitor.budget()}),
      m_random(m_options.incarnation.value()),
      m_quota(QuotaOptions{.failure_detection_time =
                               PeerTableOptions{}.silent_after}),
      m_peer_table(
          PeerTableOptions{.self = m_settings.vm,
                           .region = m_settings.region,
                           .remove_after = m_options.remove_peers_after}),
      m_aborted_runs(
          AbortedRunTrackerOptions{.self = m_settings.vm,
                                   .incarnation = m_options.incarnation},
          &m_peer_table),
      m_aborted_run_records(context,
                            m_store,
                            m_aborted_runs,
                            m_peer_table,
                            m_log,
                            AbortedRunRecordsOptions{.self = m_settings.vm},
                            [this] { MaybeOpenStartupGate(); }),
      m_crash_suspects(CrashSuspectOptions{.self = m_settings.vm},
                       m_peer_table),
      m_backend_directory(BackendDirectoryOptions{}),
      m_incarnation_verifier(m_log, [this] { m_backend_watcher->Poll(); }),
      m_dispatcher(context,
                   DispatcherOptions{
                       .placement = PlacementOptionsFor(m_settings),
                       .admission = {.seed = m_options.incarnation.value()},
                       .memory = m_memory_monitor.budget(),
                       .connection_check =
                           [this](const BackendRecord& record) {
                             return m_incarnation_verifier.CheckFor(record);
                           }},
                   [this] { OnLoadChanged(); }),
      m_startup_gate(context),
      m_stream_origins(context.get_executor(),
                       StreamOriginOptions{.self = m_settings.vm},
                       m_peer_table,
                       [this](const Endpoint& to, const std::string& bytes) {
                         m_gossip->SendTo(to, bytes);
                       }),
      m_version_history(
          context,
          m_store,
          m_peer_table,
          m_log,
          [this](std::function<void(bool)> ended) {
            CatchUpForResumption(std::move(ended));
          },
          VersionHistoryOptions{.self = m_settings.vm}),
      m_gateway{.io = context,
                .dispatcher = m_dispatcher,
                .quota = m_quota,
                .aborted_runs = m_aborted_runs,
                .aborted_run_records = m_aborted_run_records,
                .crash_suspects = m_crash_suspects,
                .stream_origins = m_stream_origins,
                .version_history = m_version_history,
                .route_history = m_route_history,
                .log = m_log,
                .metrics = m_metrics,
                .memory = m_memory_monitor.budget(),
                .startup_gate = m_startup_gate,
                .shutdown_notice = m_shutdown_notice,
                .region = m_settings.region,
                .job_view = [this] { return ViewOfJobs(); },
                .jobs_as_of = [this] { return m_job_watcher->as_of(); },
                .refresh_jobs = [this] { m_job_watcher->Refresh(); },
                .reported_state_changed =
                    [this] {
                      m_gossip->StateChanged();
                      m_aborted_run_records.Update();
                    }},
      m_scheduler(JobSchedulerOptions{.self = m_settings.vm,
                                      .incarnation = m_options.incarnation,
                                      .region = m_settings.region},
                  m_peer_table),
      m_job_runner(m_gateway,
                   m_store,
                   m_scheduler,
                   JobRunnerOptions{.seed = m_options.incarnation.value()}),
      m_job_acceptance(m_gateway, m_store, m_scheduler, m_job_runner),
      m_job_handler(m_gateway,
                    m_store,
                    m_scheduler,
                    m_job_runner,
                    m_job_acceptance),
      m_job_requests(m_gateway,
                     m_job_handler,
                     m_scheduler,
                     JobPresenceOptions{.unseen_time = 2 * m_staleness.bound +
                                                       kSubmitTimeout}),
      m_request_router(m_gateway,
                       m_job_handler,
                       m_job_requests,
                       m_options.incarnation.value()),
      m_tick_timer(context),
      m_poll_timer(context) {
  const Endpoint listen{.address = m_settings.address,
                        .port = m_settings.first_internal_port};
  m_gossip = std::make_unique<PeerGossip>(
      context, PeerGossipOptions{.listen = listen},
      [this] { return ComposePeerMessage(); },
      [this] { return m_peer_table.Addresses(); },
      [this](const PeerDatagram& datagram) {
        std::visit([this](const auto& content) { ApplyDatagram(content); },
                   datagram);
      });
}

GatewayDaemon::~GatewayDaemon() = default;

Result<void> GatewayDaemon::Start() {
  m_log.Write("started", {{"vm", m_settings.vm.value()},
                          {"zone", m_settings.zone.value()},
                          {"incarnation", m_options.incarnation.value()},
                          {"version", COWSLIP_VERSION}});
  for (const std::string& why : m_settings.unusable_values) {
    m_log.Write("setting_unusable", {{"why", why}});
  }
  StartWatchers();
  m_aborted_run_records.Start();
  const Result<void> gossip = m_gossip->Start();
  if (!gossip.has_value()) {
    return gossip.error();
  }
  const Result<void> servers = StartServers();
  if (!servers.has_value()) {
    return servers.error();
  }
  ScheduleTick();
  SchedulePoll();
  return Ok();
}

Result<void> GatewayDaemon::StartServers() {
  HttpServerOptions callers;
  callers.listen = m_settings.listen_callers.value_or(Endpoint());
  const CallerLimits limits;
  callers.max_header_bytes = limits.max_header_bytes;
  callers.max_body_bytes = limits.max_body_bytes;
  callers.memory = m_memory_monitor.budget();
  m_caller_server = std::make_unique<HttpServer>(
      m_context, std::move(callers), [this](HttpExchange& exchange) {
        return m_request_router.Handle(exchange);
      });
  HttpServerOptions ready;
  ready.listen = m_settings.listen_ready.value_or(Endpoint());
  ready.max_body_bytes = kMaxProbeBodyBytes;
  ready.memory = m_memory_monitor.budget();
  ready.memory_priority = MemoryPriority::kHigh;
  m_readiness_server = std::make_unique<HttpServer>(
      m_context, std::move(ready), [this](HttpExchange& exchange) {
        return HandleReadinessRequest(exchange);
      });
  HttpServerOptions metrics;
  metrics.listen = Endpoint{.address = m_settings.address,
                            .port = m_settings.last_internal_port};
  metrics.max_body_bytes = kMaxProbeBodyBytes;
  metrics.memory = m_memory_monitor.budget();
  metrics.memory_priority = MemoryPriority::kHigh;
  m_metrics_server = std::make_unique<HttpServer>(
      m_context, std::move(metrics), [this](HttpExchange& exchange) {
        return HandleMetricsRequest(exchange);
      });
  HttpServerOptions peers;
  peers.listen = Endpoint{.address = m_settings.address,
                          .port = m_settings.first_internal_port};
  peers.max_body_bytes = kMaxPeerBodyBytes;
  peers.memory = m_memory_monitor.budget();
  m_peer_server = std::make_unique<HttpServer>(
      m_context, std::move(peers),
      [this](HttpExchange& exchange) { return HandlePeerRequest(exchange); });
  for (HttpServer* server : {m_caller_server.get(), m_readiness_server.get(),
                             m_metrics_server.get(), m_peer_server.get()}) {
    const Result<void> started = server->Start();
    if (!started.has_value()) {
      return started.error();
    }
  }
  return Ok();
}

void GatewayDaemon::OnLoadChanged() {
  m_gossip->StateChanged();
  m_job_runner.SchedulePass();
}

void GatewayDaemon::UpdatePeerTable() {
  PeerListRead listed;
  for (const auto& [vm, record] : m_peer_records) {
    listed.peers.push_back(record);
  }
  HandlePeerEvent(listed);
  FleetMembersChanged members{.members = {m_settings.vm}};
  for (const auto& [vm, record] : m_peer_records) {
    if (vm != m_settings.vm) {
      members.members.push_back(vm);
    }
  }
  m_dispatcher.HandleEvent(members);
}

void GatewayDaemon::HandlePeerEvent(const PeerEvent& event) {
  const std::vector<PeerAction> actions =
      m_peer_table.Handle(event, MonotonicClock::now());
  for (const PeerAction& action : actions) {
    std::visit([this](const auto& alternative) { ApplyAction(alternative); },
               action);
  }
}

void GatewayDaemon::ApplyAction(const PeerCountsChanged& counted) {
  m_fleet_size = {.members = counted.members, .silent = counted.silent};
  m_quota.Handle(m_fleet_size, MonotonicClock::now());
  m_dispatcher.SetMemberCount(counted.members - counted.silent);
  m_log.Write("peers_counted",
              {{"members", counted.members}, {"silent", counted.silent}});
}

void GatewayDaemon::ApplyAction(const PeerAppeared& appeared) {
  m_log.Write("peer_appeared", {{"peer", appeared.vm.value()},
                                {"incarnation", appeared.incarnation.value()}});
  if (m_evacuations != nullptr) {
    m_evacuations->Handle(PeerEvacuationsForgotten{appeared.vm});
  }
  m_dispatcher.HandleEvent(PeerInFlightCleared{appeared.vm});
  m_gossip->StateChanged();
}

void GatewayDaemon::ApplyAction(const PeerFellSilent& silent) {
  m_log.Write("peer_silent", {{"peer", silent.vm.value()}});
  HandleDivergenceEvent(PeerDigestsInvalidated{silent.vm});
  m_dispatcher.HandleEvent(PeerInFlightCleared{silent.vm});
}

void GatewayDaemon::ApplyAction(const RemovePeerRegistration& removal) {
  m_log.Write("peer_gone", {{"peer", removal.vm.value()}});
  boost::asio::co_spawn(
      m_context, [this, vm = removal.vm] { return RemovePeer(vm); },
      boost::asio::detached);
}

// Conditional, because the peer may register again before the store carries the
// removal out.
awaitable<void> GatewayDaemon::RemovePeer(VmId vm) {
  const auto known = m_peer_versions.find(vm);
  if (known == m_peer_versions.end()) {
    co_return;
  }
  const DocumentKind kind(kPeerKind);
  const DocumentName name(vm.value());
  const ObjectVersion version = known->second;
  const Result<void> removed = co_await m_store.RemoveAt(kind, name, version);
  if (!removed.has_value()) {
    m_log.Write("peer_removal_failed",
                {{"peer", vm.value()}, {"why", removed.error().message}});
  }
}

void GatewayDaemon::ApplyDatagram(const StreamOrigin& origin) {
  m_stream_origins.RecordReport(origin);
}

void GatewayDaemon::ApplyDatagram(const PeerMessage& message) {
  HandlePeerEvent(PeerMessageReceived{message});
  const MonotonicTime now = MonotonicClock::now();
  m_quota.Handle(PeerUsageReported{message.vm, message.incarnation,
                                   message.uptime, message.usage},
                 now);
  m_aborted_runs.Handle(
      PeerAbortedRunsReported{
          .vm = message.vm,
          .runs = message.aborted_runs,
          .incarnation = message.incarnation,
          .completed = message.completed_requests,
          .has_run_longer = message.uptime > now - m_start_time + kSameStart},
      now);
  m_crash_suspects.Handle(
      PeerCrashEvidenceReported{message.vm, message.crash_evidence}, now);
  if (m_evacuations != nullptr) {
    m_evacuations->HandlePeer(message);
  }
  m_dispatcher.HandleEvent(PeerInFlightReported{message.vm, message.in_flight});
  for (BackendLimit limit : message.backend_limits) {
    // What is relayed is not as new as this process's own responses.
    limit.age = std::max<Duration>(limit.age, std::chrono::milliseconds(1));
    m_dispatcher.HandleEvent(BackendLimitHeard{std::move(limit)});
  }
  for (const BackendColdness& coldness : message.cold_backends) {
    m_dispatcher.HandleEvent(BackendColdHeard{coldness, ColdSource::kPeer});
  }
  m_job_runner.HandleReportedEnds(message.ended_jobs);
  if (!message.job_progress.empty()) {
    m_job_runner.HandleEvent(JobProgressReported{message.job_progress});
  }
  m_job_runner.SchedulePass();
  if (message.reaches_store) {
    HandlePollEvent(PeerPollReported{message.vm, message.poll});
    HandleDivergenceEvent(PeerDigestsReceived{message.vm, message.digests});
  } else {
    HandleDivergenceEvent(PeerDigestsInvalidated{message.vm});
  }
}

PeerMessage GatewayDaemon::ComposePeerMessage() const {
  PeerMessage message{
      .vm = m_settings.vm,
      .incarnation = m_options.incarnation,
      .uptime = MonotonicClock::now() - m_start_time,
      .draining = m_shutting_down,
      .reaches_store = m_store.reaches_store(),
      .digests = OwnStoreDigests(),
      .usage = m_quota.Usage(),
      .in_flight = m_dispatcher.placement_core().InFlight(),
      .aborted_runs = m_aborted_runs.RunsToReport(MonotonicClock::now()),
      .completed_requests =
          m_aborted_runs.CompletionsToReport(MonotonicClock::now()),
      .crash_evidence =
          m_crash_suspects.EvidenceToReport(MonotonicClock::now()),
      .backend_limits =
          m_dispatcher.placement_core().LimitsToReport(MonotonicClock::now()),
      .ended_jobs = m_scheduler.EndsToReport(MonotonicClock::now()),
      .job_progress = m_scheduler.ProgressToReport(),
      .cold_backends = m_dispatcher.placement_core().cold_backends().ToReport(
          MonotonicClock::now()),
      .poll = m_poll_turns.Report(MonotonicClock::now())};
  if (m_gateway.configuration != nullptr) {
    message.configuration = m_gateway.configuration->version();
  }
  if (m_evacuations != nullptr) {
    m_evacuations->AddTo(message);
  }
  return message;
}

awaitable<void> GatewayDaemon::Register() {
  while (!m_registered && !m_stopped) {
    const Result<void> done = co_await RegisterOnce();
    if (done.has_value()) {
      m_registered = true;
      m_log.Write("registered", {{"vm", m_settings.vm.value()}});
      MaybeActivateJobs();
      co_return;
    }
    m_log.Write("registration_failed", {{"why", done.error().message}});
    co_await SleepFor(kRegisterRetryInterval);
  }
}

// Each call is priced: after a restart the listing has told the entry of the
// earlier incarnation, which takes one call to replace.
awaitable<Result<void>> GatewayDaemon::RegisterOnce() {
  const DocumentKind kind(kPeerKind);
  const DocumentName name(m_settings.vm.value());
  const PeerRecord record{
      .vm = m_settings.vm,
      .address = Endpoint{.address = m_settings.address,
                          .port = m_settings.first_internal_port},
      .incarnation = m_options.incarnation,
      .region = m_settings.region};
  nlohmann::json content = EncodePeer(record);
  // Another attempt must not rely on it: the entry may have changed.
  std::optional<Document> known = std::exchange(m_own_entry, std::nullopt);
  if (!known.has_value()) {
    const Result<Document> created =
        co_await m_store.Create(kind, name, content);
    if (created.has_value()) {
      co_return Ok();
    }
    if (created.error().kind() != ErrorKind::kConflict) {
      co_return created.error();
    }
    // The entry is either that of an earlier incarnation, or this one's own
    // whose response was lost.
    Result<Document> found = co_await m_store.Get(kind, name);
    if (!found.has_value()) {
      co_return found.error();
    }
    known = std::move(found.value());
  }
  if (known->content == content) {
    co_return Ok();
  }
  const ObjectVersion version = known->version;
  const Result<Document> replaced =
      co_await m_store.Replace(kind, name, content, version);
  if (!replaced.has_value()) {
    co_return replaced.error();
  }
  co_return Ok();
}

bool GatewayDaemon::IsReady() const {
  return !m_shutting_down && m_registered && m_backends_known &&
         m_gateway.configuration != nullptr;
}

awaitable<void> GatewayDaemon::HandleReadinessRequest(HttpExchange& exchange) {
  HttpResponse response{.status = IsReady() ? 200 : 503};
  (void)co_await exchange.Respond(std::move(response));
}

awaitable<void> GatewayDaemon::HandlePeerRequest(HttpExchange& exchange) {
  if (exchange.request().Path() == StreamOriginDirectory::kPath) {
    co_await m_stream_origins.Serve(exchange);
  } else {
    co_await m_store.Serve(exchange);
  }
}

awaitable<void> GatewayDaemon::HandleMetricsRequest(HttpExchange& exchange) {
  UpdateGauges();
  UpdateJobGauges();
  HttpResponse response{.body = m_metrics.Render()};
  response.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
  (void)co_await exchange.Respond(std::move(response));
}

void GatewayDaemon::UpdateGauges() {
  m_memory_monitor.UpdateGauges(m_metrics);
  m_metrics.SetGauge("cowslip_store_calls",
                     "Calls to the platform's store since the start.",
                     static_cast<double>(m_direct_store.calls()));
  m_metrics.SetGauge("cowslip_log_lines_dropped",
                     "Log lines that were not written.",
                     static_cast<double>(m_log.dropped()));
  m_metrics.SetGauge("cowslip_connections", "Open connections of callers.",
                     static_cast<double>(m_caller_server->connections()));
  const HttpIdleCloses closes = m_caller_server->idle_closes();
  const std::string closed = "cowslip_idle_connections_closed";
  const std::string closed_help = "Idle connections closed, by cause.";
  m_metrics.SetGauge(closed + R"({cause="timeout"})", closed_help,
                     static_cast<double>(closes.timeouts));
  m_metrics.SetGauge(closed + R"({cause="drain"})", closed_help,
                     static_cast<double>(closes.drained));
  const std::string crossed = "cowslip_requests_crossed";
  const std::string crossed_help =
      "Requests that arrived after the close of their idle connection, by the "
      "cause of the close.";
  m_metrics.SetGauge(crossed + R"({cause="timeout"})", crossed_help,
                     static_cast<double>(closes.crossed_timeouts));
  m_metrics.SetGauge(crossed + R"({cause="drain"})", crossed_help,
                     static_cast<double>(closes.crossed_drained));
  m_metrics.SetGauge(
      "cowslip_requests_over_connection_limit",
      "Requests refused for lack of connections.",
      static_cast<double>(m_caller_server->requests_over_limit()));
  m_metrics.SetGauge(
      "cowslip_requests_without_memory",
      "Requests refused, and responses replaced, for lack of memory.",
      static_cast<double>(m_caller_server->requests_without_memory()));
  m_metrics.SetGauge("cowslip_failed_accepts",
                     "Times that accepting a caller's connection failed.",
                     static_cast<double>(m_caller_server->failed_accepts()));
  m_metrics.SetGauge("cowslip_requests_waiting",
                     "Requests that wait for a slot.",
                     static_cast<double>(m_dispatcher.waiting_count()));
  m_metrics.SetGauge("cowslip_prompt_parts_blocked",
                     "Prompt parts that are taken to crash backend servers.",
                     static_cast<double>(m_crash_suspects.blocked_parts()));
  m_metrics.SetGauge("cowslip_cold_backends",
                     "Backend servers that are known to be cold.",
                     static_cast<double>(m_dispatcher.placement_core()
                                             .cold_backends()
                                             .ToReport(MonotonicClock::now())
                                             .size()));
  m_metrics.SetGauge("cowslip_configuration_current",
                     "1 while newer configurations would be heard of.",
                     m_gateway.configuration_is_current ? 1 : 0);
  if (m_evacuations != nullptr) {
    m_metrics.SetGauge(
        "cowslip_evacuated_zones",
        "Availability zones to which no requests are sent.",
        static_cast<double>(m_evacuations->core().EvacuatedZones().size()));
  }
}

void GatewayDaemon::UpdateJobGauges() {
  for (const auto& [route, tokens] : m_job_acceptance.MaxWaitingTokens()) {
    m_metrics.SetGauge(
        "cowslip_waiting_tokens_max{route=\"" + route.value() + "\"}",
        "The most tokens of one organisation's unfinished items, by route.",
        static_cast<double>(tokens));
  }
  const ProcessLoad& load = m_job_acceptance.process_load();
  m_metrics.SetGauge("cowslip_timer_lag_seconds", "Average delay of timers.",
                     std::chrono::duration<double>(load.lag()).count());
}

void GatewayDaemon::ScheduleTick() {
  m_tick_timer.expires_after(kTickInterval);
  m_tick_timer.async_wait([this](const boost::system::error_code& error) {
    if (error) {
      return;
    }
    const Duration lag =
        std::chrono::steady_clock::now() - m_tick_timer.expiry();
    CheckForProcessPause();
    m_memory_monitor.Tick(MonotonicClock::now());
    m_job_acceptance.Tick(lag, m_settings.memory_bytes);
    HandleDirectoryEvent(DirectoryTick{});
    HandlePeerEvent(PeerTick{});
    HandlePollEvent(PollersChanged{m_peer_table.LiveProcesses()});
    m_version_history.Handle(VersionHistoryTick{});
    m_aborted_run_records.Update();
    if (m_evacuations != nullptr) {
      m_evacuations->Tick();
    }
    HandleDivergenceEvent(DivergenceTick{});
    LogColdBackends();
    m_job_runner.Tick();
    MaybeLogIdleCloses();
    m_log.Flush();
    if (m_shutting_down) {
      ContinueShutdown();
    }
    if (!m_stopped) {
      ScheduleTick();
    }
  });
}

void GatewayDaemon::CheckForProcessPause() {
  const std::optional<Duration> pause = m_pause_detector.Tick(BootClock::now());
  if (!pause.has_value()) {
    return;
  }
  const Error why(ErrorKind::kUnavailable,
                  "The process was paused. The store is read again.");
  m_log.Write("process_stood_still", {{"ms", ToMillis(*pause)}});
  m_configuration_watcher->AssumeStale(why);
  m_job_watcher->AssumeStale(why);
  // The backend servers known so far stay in use until the refresh: they are
  // most likely still there.
  m_version_history.Handle(VersionWatchInterrupted{});
  m_backend_watcher->Refresh();
  m_peer_watcher->Refresh();
  if (m_evacuation_watcher != nullptr) {
    m_evacuation_watcher->AssumeStale(why);
  }
}

void GatewayDaemon::Shutdown() {
  if (m_shutting_down) {
    return;
  }
  m_shutting_down = true;
  m_shutdown_start = MonotonicClock::now();
  m_log.Write("shutdown_began",
              {{"active_requests", m_caller_server->active_requests()}});
  m_caller_server->DisableKeepAlive();
  m_shutdown_notice.SetDue(m_shutdown_start + kBalancerRemovalTime,
                           AnswersDue());
  m_job_runner.HandleEvent(SchedulerStopping{});
  m_gossip->StateChanged();
}

MonotonicTime GatewayDaemon::AnswersDue() const {
  return m_shutdown_start + m_settings.stop_grace -
         AnswerMargin(m_settings.stop_grace);
}

void GatewayDaemon::EndRequests() {
  if (!m_shutdown_notice.expired()) {
    LogConnections("requests_end");
  }
  // Again at each step: a reload may have moved the end beyond requests that
  // began after it.
  m_shutdown_notice.Expire();
  m_caller_server->RefuseUnfinishedRequests();
}

void GatewayDaemon::ContinueShutdown() {
  // A reload may have changed the grace time.
  m_shutdown_notice.SetDue(m_shutdown_start + kBalancerRemovalTime,
                           AnswersDue());
  m_shutdown_notice.NotifyLate(MonotonicClock::now());
  if (MonotonicClock::now() >= AnswersDue()) {
    EndRequests();
  }
  m_dispatcher.EndCancelledWaits();
  const Duration since = MonotonicClock::now() - m_shutdown_start;
  const Duration exit_after =
      m_settings.stop_grace - ExitMargin(m_settings.stop_grace);
  if (since < std::min(kBalancerRemovalTime, exit_after)) {
    return;
  }
  if (!m_listener_closed) {
    // Connections that the drain takes over are counted from the next tick on.
    m_listener_closed = true;
    LogConnections("listener_closes");
    m_caller_server->Drain();
    return;
  }
  const bool out_of_time = since >= exit_after;
  const bool busy = m_caller_server->connections() > 0 || !m_scheduler.IsIdle();
  if (busy && !out_of_time) {
    return;
  }
  m_stopped = true;
  LogConnections("stopped");
  LogIdleCloses();
  const size_t answers = m_caller_server->AnswerOpenRequests();
  if (answers > 0) {
    m_log.Write("requests_answered_at_exit", {{"requests", answers}});
  }
  m_log.Flush();
  for (const auto& watcher : {m_configuration_watcher, m_backend_watcher,
                              m_peer_watcher, m_job_watcher}) {
    watcher->Stop();
  }
  if (m_evacuation_watcher != nullptr) {
    m_evacuation_watcher->Stop();
  }
  m_gossip->Stop();
  m_poll_timer.cancel();
  if (m_options.on_stopped) {
    m_options.on_stopped();
  }
}

void GatewayDaemon::LogConnections(const char* event) {
  const HttpConnectionCounts counts = m_caller_server->CountConnections();
  m_log.Write(
      event,
      {{"active_requests", m_caller_server->active_requests()},
       {"connections", counts.open},
       {"reading", counts.reading},
       {"unread", counts.unread},
       {"requests_after_drain", m_caller_server->requests_after_drain()},
       {"requests_crossed", m_caller_server->idle_closes().crossed_drained},
       {"waiting", m_dispatcher.waiting_count()}});
}

void GatewayDaemon::MaybeLogIdleCloses() {
  const MonotonicTime now = MonotonicClock::now();
  if (m_caller_server->idle_closes() != m_logged_idle_closes &&
      now - m_idle_closes_logged_at >= kIdleClosesLogInterval) {
    m_idle_closes_logged_at = now;
    LogIdleCloses();
  }
}

void GatewayDaemon::LogIdleCloses() {
  const HttpIdleCloses closes = m_caller_server->idle_closes();
  m_logged_idle_closes = closes;
  m_log.Write("idle_connections_closed",
              {{"timeouts", closes.timeouts},
               {"drained", closes.drained},
               {"crossed_timeouts", closes.crossed_timeouts},
               {"crossed_drained", closes.crossed_drained}});
}

void GatewayDaemon::Reload(const GatewaySettings& settings) {
  m_log.Write("settings_reloaded", {{"changed", !(settings == m_settings)}});
  m_settings.stop_grace = settings.stop_grace;
  m_settings.job_retention = settings.job_retention;
}

void GatewayDaemon::RejectSettings(const Error& why) {
  m_log.Write("settings_rejected", {{"why", why.message}});
}

}  // namespace cowslip
