#include "Gateway/gateway_daemon.h"

// The part of GatewayDaemon that watches the platform's store and applies what
// it reads there.

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include "Base/overloaded.h"
#include "Gateway/peer_documents.h"
#include "Jobs/job_documents.h"
#include "platform/backend_entry.h"
#include "platform/configuration_entry.h"
#include "platform/wire_names.h"

namespace cowslip {

namespace {

// Every process reads as often while the store keeps no history, so this
// bounds the calls of a fleet; the polls report changes meanwhile.
constexpr Duration kMaxHistoryBackoff = std::chrono::seconds(2);

}  // namespace

std::shared_ptr<DocumentWatcher> GatewayDaemon::StartWatcher(
    const char* kind,
    DocumentWatcherEvents events) {
  const std::string name = kind;
  events.failed = [this, name](const Error& error) {
    m_log.Write("watch_failed", {{"kind", name}, {"why", error.message}});
  };
  events.lost = [this, name,
                 lost = std::move(events.lost)](const Error& error) {
    m_log.Write("store_lost", {{"kind", name}, {"why", error.message}});
    if (lost) {
      lost(error);
    }
  };
  events.regained = [this, name, regained = std::move(events.regained)] {
    m_log.Write("store_regained", {{"kind", name}});
    if (regained) {
      regained();
    }
  };
  events.changed = [this, changed = std::move(events.changed)](
                       const DocumentChange& change) {
    changed(change);
    HandleDivergenceEvent(OwnDigestsChanged{OwnStoreDigests()});
  };
  events.read_ended = [this, name, read_ended = std::move(events.read_ended)](
                          const StoreReadEnded& read) {
    if (read_ended) {
      read_ended(read);
    }
    if (read.listing) {
      ReportListing(name, read.began);
      m_log.Write("store_listed", {{"kind", name},
                                   {"documents", read.documents},
                                   {"changes", read.changes},
                                   {"as_of", read.as_of.value()},
                                   {"ms", ToMillis(read.took)}});
    }
  };
  DocumentWatcherOptions options{.kind = DocumentKind(name),
                                 .seed = m_options.incarnation.value()};
  options.max_history_backoff = kMaxHistoryBackoff;
  // A listing of all jobs may take longer, and has no bound.
  if (name != kJobKind) {
    options.read_timeout = m_staleness.read_timeout;
  }
  auto watcher = std::make_shared<DocumentWatcher>(
      m_context.get_executor(), m_store, std::move(options), std::move(events));
  watcher->Start();
  return watcher;
}

void GatewayDaemon::HandlePollEvent(const PollTurnEvent& event) {
  const std::vector<PollTurnAction> actions =
      m_poll_turns.Handle(event, MonotonicClock::now());
  for (const PollTurnAction& action : actions) {
    PollStore(std::get<BeginPoll>(action));
  }
  if (m_poll_turns.NextTurn() != m_next_poll) {
    SchedulePoll();
  }
}

void GatewayDaemon::SchedulePoll() {
  m_next_poll = m_poll_turns.NextTurn();
  m_poll_timer.expires_after(m_next_poll - MonotonicClock::now());
  m_poll_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error && !m_stopped) {
      HandlePollEvent(PollTurnTick{});
    }
  });
}

void GatewayDaemon::PollStore(const BeginPoll& begin) {
  struct Poll {
    size_t remaining = 0;
    bool failed = false;
  };
  // Peers that hear of the poll leave the turn to this process.
  m_gossip->StateChanged();
  auto poll = std::make_shared<Poll>();
  const std::vector<DocumentWatcher*> watchers = ComparedWatchers();
  poll->remaining = watchers.size();
  for (DocumentWatcher* watcher : watchers) {
    watcher->Poll([this, poll, began = begin.began](bool has_read_everything) {
      poll->failed = poll->failed || !has_read_everything;
      if (--poll->remaining == 0) {
        boost::asio::post(m_context, [this, poll, began] {
          if (!m_stopped) {
            HandlePollEvent(OwnPollEnded{began, !poll->failed});
            m_gossip->StateChanged();
          }
        });
      }
    });
  }
}

void GatewayDaemon::CatchUpForResumption(
    std::function<void(bool is_current)> ended) {
  struct Reads {
    size_t remaining = 2;
    bool failed = false;
  };
  const auto reads = std::make_shared<Reads>();
  for (DocumentWatcher* watcher :
       {m_configuration_watcher.get(), m_backend_watcher.get()}) {
    watcher->CatchUp([reads, ended](bool is_current) {
      reads->failed = reads->failed || !is_current;
      if (--reads->remaining == 0) {
        ended(!reads->failed);
      }
    });
  }
}

std::vector<DocumentWatcher*> GatewayDaemon::ComparedWatchers() const {
  std::vector<DocumentWatcher*> watchers = {m_configuration_watcher.get(),
                                            m_backend_watcher.get(),
                                            m_job_watcher.get()};
  if (m_evacuation_watcher != nullptr) {
    watchers.push_back(m_evacuation_watcher.get());
  }
  return watchers;
}

void GatewayDaemon::ReportListing(const std::string& kind,
                                  MonotonicTime began) {
  HandleDivergenceEvent(OwnDigestsChanged{OwnStoreDigests()});
  const std::vector<DocumentWatcher*> watchers = ComparedWatchers();
  for (size_t i = 0; i < watchers.size(); ++i) {
    if (watchers[i]->kind().value() == kind) {
      HandleDivergenceEvent(KindListed{.kind = i, .began = began});
    }
  }
}

void GatewayDaemon::HandleDivergenceEvent(const DivergenceEvent& event) {
  const std::vector<DivergenceAction> actions =
      m_divergence_detector.Handle(event, MonotonicClock::now());
  for (const DivergenceAction& action : actions) {
    const auto& refresh = std::get<RefreshKind>(action);
    DocumentWatcher& watcher = *ComparedWatchers()[refresh.kind];
    m_log.Write("store_view_differs",
                {{"kind", watcher.kind().value()},
                 {"as_of", watcher.as_of().value()},
                 {"digest", refresh.own_digest},
                 {"peer", refresh.peer.value()},
                 {"peer_digest", refresh.peer_digest},
                 {"lasted_ms", ToMillis(refresh.lasted)}});
    watcher.Refresh();
  }
}

StoreDigests GatewayDaemon::OwnStoreDigests() const {
  StoreDigests digests;
  for (const DocumentWatcher* watcher : ComparedWatchers()) {
    if (!watcher->has_listed()) {
      return {};
    }
    digests.push_back(watcher->digest());
  }
  return digests;
}

JobView GatewayDaemon::ViewOfJobs() const {
  std::optional<MonotonicTime> differs_since;
  const std::vector<DocumentWatcher*> watchers = ComparedWatchers();
  for (size_t kind = 0; kind < watchers.size(); ++kind) {
    const bool matters = watchers[kind] == m_configuration_watcher.get() ||
                         watchers[kind] == m_job_watcher.get();
    const auto since = m_divergence_detector.DiffersSince(kind);
    if (matters && since.has_value()) {
      differs_since = std::min(differs_since.value_or(*since), *since);
    }
  }
  const JobViewEvidence evidence{
      .watches_work =
          m_gateway.configuration_is_current && m_gateway.jobs_are_current,
      .is_compared = !OwnStoreDigests().empty(),
      .has_paused = m_pause_detector.IsOverdue(BootClock::now()),
      .last_poll = m_poll_turns.LastCompletePoll(),
      .differs_since = differs_since};
  return JobViewOf(evidence, m_staleness, MonotonicClock::now());
}

void GatewayDaemon::StartWatchers() {
  m_configuration_watcher = StartWatcher(
      platform::kConfigurationKind,
      {.listed =
           [this](const std::vector<DocumentChange>& changes) {
             for (const DocumentChange& change : changes) {
               ApplyConfigurationChange(change);
             }
           },
       .changed =
           [this](const DocumentChange& change) {
             ApplyConfigurationChange(change);
           },
       .lost =
           [this](const Error&) { m_gateway.configuration_is_current = false; },
       .regained = [this] { m_gateway.configuration_is_current = true; }});
  m_backend_watcher = StartWatcher(
      platform::kBackendKind,
      {.listed =
           [this](const std::vector<DocumentChange>& changes) {
             for (const DocumentChange& change : changes) {
               ApplyBackendChange(change);
             }
             m_backends_known = true;
             m_version_history.Handle(VersionsListedCompletely{});
             MaybeOpenStartupGate();
           },
       .changed =
           [this](const DocumentChange& change) { ApplyBackendChange(change); },
       .lost =
           [this](const Error&) { HandleDirectoryEvent(DirectoryStoreLost{}); },
       .regained = [this] { HandleDirectoryEvent(DirectoryStoreRegained{}); },
       .read_ended =
           [this](const StoreReadEnded& read) {
             m_version_history.Handle(VersionsReadUpTo{read.began});
           }});
  m_peer_watcher = StartWatcher(
      kPeerKind, {.listed =
                      [this](const std::vector<DocumentChange>& changes) {
                        for (const DocumentChange& change : changes) {
                          ApplyPeerChange(change);
                        }
                        UpdatePeerTable();
                        if (!std::exchange(m_peers_known, true)) {
                          // Also if this process is the only one.
                          m_quota.Handle(m_fleet_size, MonotonicClock::now());
                          BeginRegistration(changes);
                          UpdateResumableServices();
                          MaybeOpenStartupGate();
                        }
                        MaybeActivateJobs();
                      },
                  .changed =
                      [this](const DocumentChange& change) {
                        ApplyPeerChange(change);
                        UpdatePeerTable();
                      }});
  m_job_watcher = StartWatcher(
      kJobKind,
      {.listed =
           [this](const std::vector<DocumentChange>& changes) {
             for (const DocumentChange& change : changes) {
               ApplyJobChange(change, "list");
             }
             m_jobs_known = true;
             MaybeActivateJobs();
           },
       .changed =
           [this](const DocumentChange& change) {
             ApplyJobChange(change, "watch");
           },
       .lost = [this](const Error&) { m_gateway.jobs_are_current = false; },
       .regained = [this] { m_gateway.jobs_are_current = true; }});
  StartEvacuations();
}

void GatewayDaemon::ApplyJobChange(const DocumentChange& change,
                                   const char* source) {
  if (change.removed) {
    m_job_runner.RemoveJob(JobKey(change.document.name.value()));
  } else {
    m_job_runner.HandleJobDocument(change.document, source);
  }
}

// Without a configuration it is not known which jobs this process may claim.
void GatewayDaemon::MaybeActivateJobs() {
  const bool may_place = m_evacuations == nullptr || m_evacuations->may_place();
  if (m_registered && m_peers_known && m_jobs_known && may_place &&
      m_gateway.configuration != nullptr) {
    m_job_runner.HandleEvent(SchedulerActivated{});
  }
}

void GatewayDaemon::UpdateHomeRegions() {
  HomeRegionsChanged changed;
  for (const FleetRoute& route : m_gateway.configuration->routes()) {
    changed.routes[route.id] = route.home_regions;
  }
  for (const FleetOrganisation& organisation :
       m_gateway.configuration->organisations()) {
    changed.organisations[organisation.id] = organisation.home_regions;
  }
  m_job_runner.HandleEvent(changed);
}

// The items and the output of jobs stay in this VM's region once the operators
// declare home regions. A document does not tell whether its job has some, so
// the rule applies to the documents of all jobs.
std::optional<Endpoint> GatewayDaemon::PickStorePeer(const DocumentKind& kind) {
  if (m_gateway.configuration == nullptr ||
      !m_gateway.configuration->declares_home_regions()) {
    return m_peer_table.PickPeerReachingStore(m_random());
  }
  const std::optional<Endpoint> near =
      m_peer_table.PickNearPeerReachingStore(m_random());
  const bool must_be_near = kind.value() == kInputKind ||
                            kind.value() == kResultKind ||
                            kind.value() == kProgressKind;
  return near.has_value() || must_be_near
             ? near
             : m_peer_table.PickPeerReachingStore(m_random());
}

void GatewayDaemon::MaybeOpenStartupGate() {
  if (m_startup_gate.is_open() || m_gateway.configuration == nullptr ||
      !m_backends_known || !m_peers_known ||
      !m_aborted_runs.records_are_known() ||
      (m_evacuations != nullptr && !m_evacuations->may_place())) {
    return;
  }
  m_startup_gate.Open();
  const Duration since = MonotonicClock::now() - m_start_time;
  m_log.Write("requests_let_in", {{"held", m_startup_gate.held_requests()},
                                  {"since_start_ms", ToMillis(since)}});
}

void GatewayDaemon::ApplyConfigurationChange(const DocumentChange& change) {
  const Document& document = change.document;
  if (change.removed || document.name.value() != platform::kConfigurationName) {
    return;
  }
  Result<FleetConfigurationParts> parts =
      platform::DecodeConfiguration(document.content);
  if (!parts.has_value()) {
    m_log.Write("configuration_rejected", {{"why", parts.error().message}});
    return;
  }
  const ConfigVersion version = parts.value().version;
  const auto& old = m_gateway.configuration;
  if (old != nullptr && version <= old->version()) {
    return;
  }
  const std::optional<RouteId> unlimited = RouteWithoutLimit(parts.value());
  if (unlimited.has_value()) {
    m_log.Write("configuration_rejected",
                {{"why", "Route " + unlimited->value() +
                             " had a limit and declares no " +
                             platform::kMaxWaitingTokensField +
                             ". Publish a configuration with one, 0 for no "
                             "limit; the current version stays in force."}});
    return;
  }
  m_gateway.configuration =
      std::make_shared<const FleetConfiguration>(std::move(parts.value()));
  const FleetConfiguration& now = *m_gateway.configuration;
  m_route_history.Apply(now.routes(), MonotonicClock::now());
  QuotasChanged quotas;
  for (const FleetOrganisation& organisation : now.organisations()) {
    quotas.quotas.push_back(
        {organisation.id, organisation.rate, organisation.burst});
  }
  m_quota.Handle(quotas, MonotonicClock::now());
  m_job_acceptance.ApplyLimits(now);
  m_job_requests.ApplyConfiguration(now);
  UpdateHomeRegions();
  MaybeActivateJobs();
  for (const FleetService& service : now.services()) {
    m_dispatcher.SetMaxConnections(service.id, service.max_connections);
  }
  ApplyColdServices();
  const CallerLimits& limits = now.limits();
  m_caller_server->SetLimits(
      HttpServerLimits{.max_header_bytes = limits.max_header_bytes,
                       .max_body_bytes = limits.max_body_bytes,
                       .read_timeout = limits.header_timeout * 4,
                       .idle_timeout = limits.idle_timeout});
  m_log.Write("configuration_in_force",
              {{"version", version.value()},
               {"organisations", now.organisations().size()}});
  UpdateResumableServices();
  MaybeOpenStartupGate();
  m_gossip->StateChanged();
}

void GatewayDaemon::UpdateResumableServices() {
  // The recorders of a version are picked from the processes that live.
  if (!m_peers_known || m_gateway.configuration == nullptr) {
    return;
  }
  ResumableServicesChanged resumable;
  for (const FleetRoute& route : m_gateway.configuration->routes()) {
    if (route.kind == RequestKind::kStreaming && route.resumable) {
      for (const TrafficShare& share : route.split) {
        resumable.services.insert(share.service);
      }
    }
  }
  m_version_history.Handle(resumable);
}

// A limit that is forgotten must not count as one that was lifted.
std::optional<RouteId> GatewayDaemon::RouteWithoutLimit(
    const FleetConfigurationParts& parts) const {
  for (const FleetRoute& route : parts.routes) {
    const FleetRoute* old = m_gateway.configuration == nullptr
                                ? nullptr
                                : m_gateway.configuration->FindRoute(route.id);
    if (old != nullptr && route.kind == RequestKind::kBatch &&
        old->max_waiting_tokens.value_or(0) > 0 &&
        !route.max_waiting_tokens.has_value()) {
      return route.id;
    }
  }
  return std::nullopt;
}

void GatewayDaemon::ApplyBackendChange(const DocumentChange& change) {
  const auto backend = platform::DecodeBackend(change.document);
  if (!change.removed && backend.has_value()) {
    ApplyColdness(change, *backend);
    HandleDirectoryEvent(BackendEntryWritten{*backend});
    return;
  }
  if (!change.removed) {
    m_log.Write("backend_entry_unreadable",
                {{"entry", change.document.name.value()}});
  }
  HandleDirectoryEvent(
      BackendEntryRemoved{BackendId(change.document.name.value())});
}

void GatewayDaemon::ApplyColdness(const DocumentChange& change,
                                  const BackendRecord& backend) {
  const Result<Duration> remaining =
      platform::DecodeColdRemaining(change.document);
  if (!remaining.has_value()) {
    m_log.Write("cold_time_rejected", {{"backend", backend.id.value()},
                                       {"why", remaining.error().message}});
    return;
  }
  m_dispatcher.HandleEvent(BackendColdHeard{
      .coldness = {.backend = backend.id,
                   .started_at_ms = backend.started_at_ms,
                   .remaining = remaining.value(),
                   .entry_version = change.document.version.value()},
      .source = ColdSource::kEntry,
      .service = backend.service});
}

void GatewayDaemon::ApplyColdServices() {
  ColdServicesChanged cold;
  for (const FleetService& service : m_gateway.configuration->services()) {
    cold.services[service.id] = {service.cold_rate, service.cold_start};
  }
  m_dispatcher.HandleEvent(cold);
}

void GatewayDaemon::LogColdBackends() {
  const auto name_of = [](ColdSource source) {
    switch (source) {
      case ColdSource::kEntry:
        return "entry";
      case ColdSource::kResponse:
        return "response";
      case ColdSource::kPeer:
        return "peer";
    }
    return "";
  };
  const auto log = Overloaded{
      [&](const BackendTurnedCold& cold) {
        nlohmann::json share = "none";
        if (cold.interval.has_value()) {
          share = ToMillis(*cold.interval);
        }
        m_log.Write("backend_cold",
                    {{"backend", cold.coldness.backend.value()},
                     {"remaining_ms", ToMillis(cold.coldness.remaining)},
                     {"source", name_of(cold.source)},
                     {"interval_ms", std::move(share)}});
        m_gossip->StateChanged();
      },
      [&](const BackendTurnedWarm& warm) {
        m_log.Write("backend_warm", {{"backend", warm.backend.value()}});
      },
      [&](const ColdStatementRejected& rejected) {
        const BackendColdness& coldness = rejected.statement.coldness;
        m_log.Write(
            "cold_time_rejected",
            {{"backend", coldness.backend.value()},
             {"remaining_ms", ToMillis(coldness.remaining)},
             {"max_ms", ToMillis(rejected.max_remaining)},
             {"why",
              "The cold time is far above the cold start of the service. "
              "Correct it; what was known stays in force."}});
      }};
  for (const ColdAction& action : m_dispatcher.TakeColdActions()) {
    std::visit(log, action);
  }
}

// Crashes of backend servers that run nothing for this process are seen only
// here.
void GatewayDaemon::ReportVanished(const BackendId& id,
                                   std::optional<uint64_t> successor) {
  const BackendRecord* known = m_dispatcher.placement_core().Find(id);
  if (known != nullptr && !known->draining &&
      known->started_at_ms != successor) {
    m_crash_suspects.Handle(BackendVanished{id, known->started_at_ms},
                            MonotonicClock::now());
  }
}

void GatewayDaemon::HandleDirectoryEvent(const DirectoryEvent& event) {
  const std::vector<DirectoryAction> actions =
      m_backend_directory.Handle(event, MonotonicClock::now());
  for (const DirectoryAction& action : actions) {
    std::visit(
        Overloaded{
            [&](const BackendUsable& usable) {
              m_log.Write("backend_usable",
                          {{"backend", usable.backend.id.value()},
                           {"address", usable.backend.address.ToString()},
                           {"version", usable.backend.version.value()},
                           {"draining", usable.backend.draining}});
              ReportVanished(usable.backend.id, usable.backend.started_at_ms);
              m_dispatcher.HandleEvent(BackendAdded{usable.backend});
              m_version_history.Handle(
                  VersionListed{.backend = usable.backend.id,
                                .service = usable.backend.service,
                                .version = usable.backend.version});
            },
            [&](const BackendUnusable& unusable) {
              m_log.Write("backend_unusable",
                          {{"backend", unusable.id.value()}});
              ReportVanished(unusable.id, std::nullopt);
              m_dispatcher.HandleEvent(BackendRemoved{unusable.id});
              m_version_history.Handle(VersionUnlisted{unusable.id});
            }},
        action);
  }
}

void GatewayDaemon::BeginRegistration(
    const std::vector<DocumentChange>& listed) {
  for (const DocumentChange& change : listed) {
    if (change.document.name.value() == m_settings.vm.value()) {
      m_own_entry = change.document;
    }
  }
  boost::asio::co_spawn(
      m_context, [this] { return Register(); }, boost::asio::detached);
}

void GatewayDaemon::ApplyPeerChange(const DocumentChange& change) {
  const auto record = DecodePeer(change.document);
  const VmId vm(change.document.name.value());
  const bool was_known = m_peer_records.contains(vm);
  if (change.removed || !record.has_value()) {
    m_peer_records.erase(vm);
    m_peer_versions.erase(vm);
  } else {
    m_peer_records[vm] = *record;
    m_peer_versions[vm] = change.document.version;
  }
  if (vm == m_settings.vm && was_known && !m_peer_records.contains(vm)) {
    RegisterAgain();
  }
}

// The peers take a process that they have not heard of for long to be gone, and
// remove its entry. Without one they would send it nothing.
void GatewayDaemon::RegisterAgain() {
  m_log.Write("registration_lost", {{"vm", m_settings.vm.value()}});
  if (std::exchange(m_registered, false)) {
    boost::asio::co_spawn(
        m_context, [this] { return Register(); }, boost::asio::detached);
  }
}

}  // namespace cowslip
