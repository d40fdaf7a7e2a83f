#ifndef SOURCE_GATEWAY_GATEWAY_DAEMON_H_
#define SOURCE_GATEWAY_GATEWAY_DAEMON_H_

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Base/event_log.h"
#include "Base/pause_detector.h"
#include "Fleet/gateway_settings.h"
#include "Gateway/aborted_run_records.h"
#include "Gateway/dispatcher.h"
#include "Gateway/evacuations.h"
#include "Gateway/gateway_context.h"
#include "Gateway/gateway_metrics.h"
#include "Gateway/incarnation_verifier.h"
#include "Gateway/job_acceptance.h"
#include "Gateway/job_handler.h"
#include "Gateway/job_request_finder.h"
#include "Gateway/job_runner.h"
#include "Gateway/memory_monitor.h"
#include "Gateway/request_router.h"
#include "Gateway/shutdown_notice.h"
#include "Gateway/startup_gate.h"
#include "Gateway/stream_origin_directory.h"
#include "Gateway/version_history.h"
#include "Jobs/job_scheduler.h"
#include "Net/http_server.h"
#include "Peers/divergence_detector.h"
#include "Peers/peer_gossip.h"
#include "Peers/peer_table.h"
#include "Peers/poll_turn_core.h"
#include "Peers/staleness_budget.h"
#include "Placement/aborted_run_tracker.h"
#include "Placement/backend_directory.h"
#include "Placement/crash_suspect_core.h"
#include "Placement/route_history.h"
#include "Platform/document_watcher.h"
#include "Platform/relayed_store.h"
#include "Quota/quota_core.h"
#include "platform/store_client.h"

namespace cowslip {

/// \class GatewayDaemonOptions
/// \brief The settings of a gateway process and the environment it runs in.
struct GatewayDaemonOptions {
  GatewaySettings settings;
  Incarnation incarnation;
  /// The file descriptor that the event log is written to.
  int log_descriptor = 1;
  /// Called once the shutdown that Shutdown() starts is complete.
  std::function<void()> on_stopped;
  /// See PeerTableOptions::remove_after.
  Duration remove_peers_after = PeerTableOptions().remove_after;
};

/// \class GatewayDaemon
/// \brief The gateway process of an entry VM: serves callers, and runs the
/// batch jobs that it owns.
class GatewayDaemon {
 public:
  GatewayDaemon(boost::asio::io_context& context, GatewayDaemonOptions options);
  ~GatewayDaemon();
  GatewayDaemon(const GatewayDaemon&) = delete;
  GatewayDaemon& operator=(const GatewayDaemon&) = delete;

  /// Opens the ports. Errors: kUnavailable.
  Result<void> Start();
  /// Starts a graceful shutdown: stops taking new work, completes running
  /// requests within the grace time, then calls `on_stopped`.
  void Shutdown();
  /// Applies changed settings that can be changed at run time: the grace time
  /// and the retention of jobs.
  void Reload(const GatewaySettings& settings);
  /// Logs that the settings file is invalid; the earlier settings stay in
  /// force.
  void RejectSettings(const Error& why);

  uint16_t caller_port() const { return m_caller_server->port(); }
  uint16_t ready_port() const { return m_readiness_server->port(); }
  bool IsReady() const;

 private:
  Result<void> StartServers();
  void StartWatchers();
  std::shared_ptr<DocumentWatcher> StartWatcher(const char* kind,
                                                DocumentWatcherEvents events);
  void ApplyConfigurationChange(const DocumentChange& change);
  /// A route that has a limit on waiting tokens and declares none any more.
  std::optional<RouteId> RouteWithoutLimit(
      const FleetConfigurationParts& parts) const;
  void ApplyBackendChange(const DocumentChange& change);
  /// Takes over whether the backend server is cold. Call it before the entry is
  /// applied, so that the backend server is not taken for warm meanwhile.
  void ApplyColdness(const DocumentChange& change,
                     const BackendRecord& backend);
  void ApplyColdServices();
  void LogColdBackends();
  /// Call UpdatePeerTable() after the last of several changes.
  void ApplyPeerChange(const DocumentChange& change);
  void ApplyJobChange(const DocumentChange& change, const char* source);
  /// Does nothing unless the settings name a bound of evacuations.
  void StartEvacuations();
  /// Call it with the first listing of the peers.
  void BeginRegistration(const std::vector<DocumentChange>& listed);
  void RegisterAgain();
  void UpdatePeerTable();
  void MaybeActivateJobs();
  void UpdateHomeRegions();
  /// A peer through which documents of the kind may go to the store.
  std::optional<Endpoint> PickStorePeer(const DocumentKind& kind);
  /// Opens the startup gate once the configuration and the backend servers have
  /// been read.
  void MaybeOpenStartupGate();
  void OnLoadChanged();
  void HandlePollEvent(const PollTurnEvent& event);
  void SchedulePoll();
  void PollStore(const BeginPoll& begin);
  /// Reads the configuration and the entries of the backend servers, which tell
  /// together where a stream may have begun.
  void CatchUpForResumption(std::function<void(bool is_current)> ended);
  /// The watchers of the kinds whose digests peers compare, which are also
  /// those that are polled.
  std::vector<DocumentWatcher*> ComparedWatchers() const;
  void ReportListing(const std::string& kind, MonotonicTime began);
  void HandleDivergenceEvent(const DivergenceEvent& event);
  /// Empty until all compared kinds were listed.
  StoreDigests OwnStoreDigests() const;
  /// Whether the configuration and the jobs are known up to the bound on
  /// staleness.
  JobView ViewOfJobs() const;
  void HandleDirectoryEvent(const DirectoryEvent& event);
  /// Tells which services callers may resume streams of.
  void UpdateResumableServices();
  /// Call it before the entry of a backend server is removed, or replaced by
  /// that of an incarnation that started at `successor`.
  void ReportVanished(const BackendId& id, std::optional<uint64_t> successor);
  void HandlePeerEvent(const PeerEvent& event);
  void ApplyAction(const PeerCountsChanged& counted);
  void ApplyAction(const PeerAppeared& appeared);
  void ApplyAction(const PeerFellSilent& silent);
  void ApplyAction(const RemovePeerRegistration& removal);
  void ApplyDatagram(const PeerMessage& message);
  void ApplyDatagram(const StreamOrigin& origin);
  PeerMessage ComposePeerMessage() const;
  boost::asio::awaitable<void> Register();
  boost::asio::awaitable<Result<void>> RegisterOnce();
  boost::asio::awaitable<void> RemovePeer(VmId vm);
  boost::asio::awaitable<void> HandleReadinessRequest(HttpExchange& exchange);
  boost::asio::awaitable<void> HandleMetricsRequest(HttpExchange& exchange);
  boost::asio::awaitable<void> HandlePeerRequest(HttpExchange& exchange);
  void UpdateGauges();
  void UpdateJobGauges();
  void ScheduleTick();
  void ContinueShutdown();
  /// When the requests in progress need to have been answered during a
  /// shutdown.
  MonotonicTime AnswersDue() const;
  /// Ends the requests that can't be completed before the exit with an answer.
  void EndRequests();
  /// Logs the caller connections and requests at a step of the shutdown.
  void LogConnections(const char* event);
  void MaybeLogIdleCloses();
  void LogIdleCloses();
  void CheckForProcessPause();

  boost::asio::io_context& m_context;
  const GatewayDaemonOptions m_options;
  GatewaySettings m_settings;
  // From the bounds of the settings that the process has started with.
  const StalenessBudget m_staleness{
      DivideBound(m_options.settings.apply_bound)};
  EventLog m_log;
  GatewayMetrics m_metrics;
  MemoryMonitor m_memory_monitor;
  platform::StoreClient m_direct_store;
  RelayedStore m_store;
  std::mt19937_64 m_random;
  QuotaCore m_quota;
  PeerTable m_peer_table;
  AbortedRunTracker m_aborted_runs;
  AbortedRunRecords m_aborted_run_records;
  CrashSuspectCore m_crash_suspects;
  std::map<VmId, PeerRecord> m_peer_records;
  /// The versions of their documents.
  std::map<VmId, ObjectVersion> m_peer_versions;
  BackendDirectory m_backend_directory;
  std::unique_ptr<PeerGossip> m_gossip;
  IncarnationVerifier m_incarnation_verifier;
  Dispatcher m_dispatcher;
  StartupGate m_startup_gate;
  ShutdownNotice m_shutdown_notice;
  StreamOriginDirectory m_stream_origins;
  VersionHistory m_version_history;
  RouteHistory m_route_history;
  GatewayContext m_gateway;
  JobScheduler m_scheduler;
  JobRunner m_job_runner;
  JobAcceptance m_job_acceptance;
  JobHandler m_job_handler;
  JobRequestFinder m_job_requests;
  RequestRouter m_request_router;
  std::unique_ptr<HttpServer> m_caller_server;
  std::unique_ptr<HttpServer> m_readiness_server;
  std::unique_ptr<HttpServer> m_metrics_server;
  std::unique_ptr<HttpServer> m_peer_server;
  std::shared_ptr<DocumentWatcher> m_configuration_watcher;
  std::shared_ptr<DocumentWatcher> m_backend_watcher;
  std::shared_ptr<DocumentWatcher> m_peer_watcher;
  std::shared_ptr<DocumentWatcher> m_job_watcher;
  // These two are null unless the settings name a bound of evacuations.
  std::unique_ptr<Evacuations> m_evacuations;
  std::shared_ptr<DocumentWatcher> m_evacuation_watcher;
  // The version of the last listing of evacuations.
  ObjectVersion m_evacuations_as_of;
  boost::asio::steady_timer m_tick_timer;
  boost::asio::steady_timer m_poll_timer;
  PauseDetector m_pause_detector;
  PollTurnCore m_poll_turns{
      PollTurnOptions{.self = m_options.settings.vm,
                      .interval = m_staleness.poll_interval,
                      .run_time = m_staleness.read_timeout},
      MonotonicClock::now()};
  MonotonicTime m_next_poll;
  DivergenceDetector m_divergence_detector{
      DivergenceOptions{.grace_period = m_staleness.grace_period}};
  const MonotonicTime m_start_time = MonotonicClock::now();
  MonotonicTime m_shutdown_start;
  HttpIdleCloses m_logged_idle_closes;
  MonotonicTime m_idle_closes_logged_at;
  bool m_backends_known = false;
  bool m_peers_known = false;
  FleetSizeChanged m_fleet_size;
  bool m_jobs_known = false;
  bool m_registered = false;
  // The entry of an earlier incarnation, until the first attempt to register.
  std::optional<Document> m_own_entry;
  bool m_shutting_down = false;
  bool m_listener_closed = false;
  bool m_stopped = false;
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_GATEWAY_DAEMON_H_
