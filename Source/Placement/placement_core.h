#ifndef SOURCE_PLACEMENT_PLACEMENT_CORE_H_
#define SOURCE_PLACEMENT_PLACEMENT_CORE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "Base/ids.h"
#include "Base/time.h"
#include "Base/work_class.h"
#include "Fleet/backend_record.h"
#include "Fleet/home_regions.h"
#include "Fleet/traffic_split.h"
#include "Peers/peer_message.h"
#include "Placement/cold_backend_core.h"
#include "Placement/rate_shares.h"

namespace cowslip {

/// \class PlacementOptions
/// \brief The location of this VM and the parameters of backend selection.
struct PlacementOptions {
  VmId self;
  ZoneId zone;
  /// The regions of availability zones. A backend server in another zone is in
  /// no home region.
  std::map<ZoneId, RegionId> zone_regions;
  /// Slots of a backend server that batch items leave free for the online
  /// requests that arrive before the next peer report.
  uint32_t batch_headroom = 2;
  /// How long this process starts no batch item where it has preempted one: a
  /// wave of online requests lasts longer, and the next request would preempt
  /// the new item.
  Duration preemption_pause = std::chrono::milliseconds(200);
  /// Base of the backoff after consecutive failures; it doubles with each one.
  Duration initial_backoff = std::chrono::milliseconds(500);
  /// Maximum backoff: the platform removes the entry of an unresponsive backend
  /// server after about this long.
  Duration max_backoff = std::chrono::seconds(4);
  /// How long a backend server that rejected a request without running it is
  /// skipped: about the time in which a slot becomes free.
  Duration full_backoff = std::chrono::milliseconds(100);
  /// Weight of the newest sample in the moving averages.
  double smoothing_factor = 0.1;
  /// A backend server is slow when its average interval between events exceeds
  /// the median of its service by this factor.
  double slow_factor = 2.5;
  /// How long a backend server at which an attempt failed gets no request that
  /// is bound to its software version: it may have restarted at another version
  /// under the same id, and service discovery shows that after up to three
  /// heartbeats of 1.2 s each.
  Duration restart_notice = std::chrono::seconds(4);
  /// How long an incarnation that said that it leaves is remembered: longer
  /// than any graceful shutdown takes.
  Duration leaving_memory = std::chrono::minutes(10);
  /// The number of processes that share a backend server which names a limit of
  /// R requests per second is at most 2 * R plus this.
  uint32_t limit_sharers = 3;
  /// The lowest limit that is kept: with fewer requests, it would take long to
  /// learn that a limit has ended.
  RequestRate min_limit{0.1};
  /// How long a limit counts after it was last heard of.
  Duration limit_memory = std::chrono::minutes(10);
  /// How long the end of a limit is reported to the other processes.
  Duration limit_end_report = std::chrono::seconds(5);
  /// Bounds a report to about 10 kB; the limits heard last are reported.
  size_t max_reported_limits = 256;
  /// Bounds on the requests to backend servers that may be cold; nullopt to
  /// treat them like any others.
  std::optional<ColdBounds> cold_bounds{};
};

/// The outcome of an attempt to run a request at a backend server.
enum class AttemptOutcome {
  /// The complete response was received.
  kCompleted,
  /// This process cancelled the request, for example because its caller
  /// disconnected.
  kCancelled,
  /// The backend server rejected the request without running it, usually
  /// because it had no free slot.
  kFull,
  /// No response, or an incomplete one.
  kFailed,
};

/// A backend server became usable, or its record changed.
struct BackendAdded {
  BackendRecord backend;
};
/// A backend server is no longer usable.
struct BackendRemoved {
  BackendId id;
};
/// This incarnation of a backend server has said in a response that it leaves:
/// it gets no new requests, whatever service discovery says.
struct BackendLeaving {
  BackendId id;
  uint64_t started_at_ms = 0;
};
/// A response of a backend server, or another process, says whether the backend
/// server takes only so many requests.
struct BackendLimitHeard {
  BackendLimit limit;
};
/// A backend server's entry, one of its responses or another process says how
/// much longer it stays cold. What another process says of a backend server
/// that this one does not know is ignored.
struct BackendColdHeard {
  BackendColdness coldness;
  ColdSource source = ColdSource::kEntry;
  /// Empty for that of the known backend server.
  ServiceId service{};
};
/// The services whose backend servers may be cold have changed.
struct ColdServicesChanged {
  std::map<ServiceId, ColdService> services;
};
/// The processes that share the backend servers, this one included.
struct FleetMembersChanged {
  std::vector<VmId> members;
};
/// A request was sent to a backend server.
struct AttemptStarted {
  BackendId backend;
  WorkClass work = WorkClass::kOnline;
};
/// A request sent to a backend server has ended.
struct AttemptEnded {
  BackendId backend;
  WorkClass work = WorkClass::kOnline;
  AttemptOutcome outcome = AttemptOutcome::kCompleted;
};
/// This process preempts a batch item at a backend server.
struct BatchPreempted {
  BackendId backend;
};
/// The time to the first event of an online request was measured.
struct FirstEventMeasured {
  BackendId backend;
  Duration latency{0};
};
/// The time between two events of a stream was measured.
struct EventIntervalMeasured {
  BackendId backend;
  Duration interval{0};
};
/// How long a completed online request occupied its slot was measured.
struct SlotTimeMeasured {
  BackendId backend;
  Duration slot_time{0};
};
/// Another process reported its requests in flight.
struct PeerInFlightReported {
  VmId vm;
  std::vector<BackendUse> in_flight;
};
/// A process is silent: its requests in flight are no longer counted.
struct PeerInFlightCleared {
  VmId vm;
};
/// The availability zones whose backend servers get no requests.
struct EvacuatedZonesChanged {
  std::set<ZoneId> zones;
};
using PlacementEvent = std::variant<BackendAdded,
                                    BackendRemoved,
                                    BackendLeaving,
                                    BackendLimitHeard,
                                    BackendColdHeard,
                                    ColdServicesChanged,
                                    FleetMembersChanged,
                                    AttemptStarted,
                                    AttemptEnded,
                                    BatchPreempted,
                                    FirstEventMeasured,
                                    EventIntervalMeasured,
                                    SlotTimeMeasured,
                                    PeerInFlightReported,
                                    PeerInFlightCleared,
                                    EvacuatedZonesChanged>;

/// \class PlacementQuery
/// \brief The requirements of a request on the selection of its backend server.
struct PlacementQuery {
  ServiceId service;
  /// Requests with the same value prefer the same backend server, whose prompt
  /// cache may already hold the part of the prompt that they share.
  std::string shared_prompt;
  /// Backend servers that have already been tried with this request.
  std::set<BackendId> exclude;
  /// The only software version that may run the request, because it resumes a
  /// stream; nullopt for any.
  std::optional<SoftwareVersion> version;
  /// Maximum number of requests queued at a backend server beyond its slots.
  uint32_t queue_allowance = 0;
  /// Where the request may run.
  HomeRegions home_regions;
};

/// \class ServiceLoad
/// \brief The load of the usable backend servers that may run a request.
struct ServiceLoad {
  uint32_t backends = 0;
  uint32_t slots = 0;
  uint32_t online = 0;
  uint32_t batch = 0;
  /// Averages over the backend servers; zero until there is a sample.
  Duration first_event{0};
  Duration slot_time{0};
};

/// \class PlacementCore
/// \brief Selects the backend server of each request, under load that rises
/// abruptly to several times the mean and arrives through all VMs at once.
///
/// The load of a backend server is the sum of this process's requests in flight
/// and those that the other processes reported. Reports are a fraction of a
/// second old, so several processes may see the same slot as free: rendezvous
/// hashing breaks ties, which spreads their choices, and a request beyond the
/// slots waits briefly in the backend server's own queue.
///
/// A backend server that names a limit gets requests only from some processes,
/// which rendezvous hashing picks from all registered ones. Each of them sends
/// at most its equal part of the limit, one request at a time, so that all
/// together stay within it whatever they know of each other. Order of
/// preference: a free slot, the same availability zone, a backend server that
/// is not slow, the least load, the rendezvous hash that keeps prompt caches
/// warm.
class PlacementCore {
 public:
  explicit PlacementCore(PlacementOptions options);

  void Handle(const PlacementEvent& event, MonotonicTime now);

  /// Selects a backend server for an online request; nullopt when none has
  /// capacity.
  std::optional<BackendId> PlaceOnline(const PlacementQuery& query,
                                       MonotonicTime now) const;
  /// Selects a backend server for a batch item; nullopt when none has capacity
  /// beyond the headroom for online requests.
  std::optional<BackendId> PlaceBatch(const PlacementQuery& query,
                                      MonotonicTime now) const;
  /// Whether this process should preempt one of its batch items there because
  /// no slot is left for the next online request. Of the processes with batch
  /// items there, only the one with the lowest VM id preempts.
  bool ShouldPreemptBatch(const BackendId& backend) const;

  ServiceLoad Load(const PlacementQuery& query, MonotonicTime now) const;
  /// The slots of the service that batch items may use at this moment, those
  /// that they use already included.
  uint32_t BatchSlots(const ServiceId& service, MonotonicTime now) const;
  /// Whether the service has a backend server of this version in these regions
  /// that accepts new requests, however loaded it is.
  bool Serves(const ServiceId& service,
              const SoftwareVersion& version,
              const HomeRegions& home_regions = HomeRegions()) const;
  /// Whether any backend server of the service in these regions accepts new
  /// requests.
  bool AcceptsAny(const ServiceId& service,
                  const HomeRegions& home_regions = HomeRegions()) const;
  bool IsEvacuated(const ZoneId& zone) const {
    return m_evacuated_zones.contains(zone);
  }
  /// The parts of a route's requests, with the services that accept some in
  /// these regions. See cowslip::PartsOf().
  std::vector<ServicePart> PartsOf(const std::vector<TrafficShare>& split,
                                   const HomeRegions& home_regions) const;
  /// The backend servers in the zone, whether they accept requests or not.
  size_t CountInZone(const ZoneId& zone) const;
  size_t backend_count() const { return m_backends.size(); }
  const BackendRecord* Find(const BackendId& id) const;
  /// Whether the incarnation is known to name a limit.
  bool IsLimited(const BackendId& id, uint64_t started_at_ms) const;
  /// What is known of limits, for reports to the other processes.
  std::vector<BackendLimit> LimitsToReport(MonotonicTime now) const;
  /// What is known of cold backend servers.
  const ColdBackendCore& cold_backends() const { return m_cold_backends; }
  /// What has happened to cold backend servers since the last call.
  std::vector<ColdAction> TakeColdActions(MonotonicTime now);
  /// The requests in flight of this process, for reports to the others.
  std::vector<BackendUse> InFlight() const;

 private:
  struct InFlightCounts {
    uint32_t online = 0;
    uint32_t batch = 0;
  };
  struct LimitState {
    /// nullopt after the limit has ended.
    std::optional<RequestRate> limit;
    MonotonicTime heard;
    /// See AttemptInterval().
    std::optional<Duration> interval;
    MonotonicTime last_attempt;
  };
  using IncarnationKey = std::pair<BackendId, uint64_t>;
  struct Backend {
    BackendRecord record;
    InFlightCounts own;
    std::map<VmId, InFlightCounts> peers;
    uint32_t failures = 0;
    MonotonicTime backoff_until;
    MonotonicTime batch_paused_until;
    /// Until then, the version in `record` may be that of an incarnation that
    /// has gone.
    MonotonicTime version_uncertain_until;
    // Seconds; zero until there is a sample.
    double first_event = 0;
    double event_interval = 0;
    double slot_time = 0;

    uint32_t Online() const;
    uint32_t Batch() const;
    uint32_t Total() const { return Online() + Batch(); }
  };

  void Apply(const BackendAdded& event, MonotonicTime now);
  void Apply(const BackendRemoved& event, MonotonicTime now);
  void Apply(const BackendLeaving& event, MonotonicTime now);
  void Apply(const BackendLimitHeard& event, MonotonicTime now);
  void Apply(const BackendColdHeard& event, MonotonicTime now);
  void Apply(const ColdServicesChanged& event, MonotonicTime now);
  void Apply(const FleetMembersChanged& event, MonotonicTime now);
  void Apply(const AttemptStarted& event, MonotonicTime now);
  void Apply(const AttemptEnded& event, MonotonicTime now);
  void Apply(const BatchPreempted& event, MonotonicTime now);
  void Apply(const FirstEventMeasured& event, MonotonicTime now);
  void Apply(const EventIntervalMeasured& event, MonotonicTime now);
  void Apply(const SlotTimeMeasured& event, MonotonicTime now);
  void Apply(const PeerInFlightReported& event, MonotonicTime now);
  void Apply(const PeerInFlightCleared& event, MonotonicTime now);
  void Apply(const EvacuatedZonesChanged& event, MonotonicTime now);
  void UpdateAverage(double& average, Duration sample) const;
  bool MayRun(const Backend& backend,
              const PlacementQuery& query,
              MonotonicTime now) const;
  bool IsInRegions(const BackendRecord& record,
                   const HomeRegions& home_regions) const;
  /// Whether the backend server accepts new requests, however loaded it is.
  bool AcceptsRequests(const BackendRecord& record) const;
  bool IsUsable(const Backend& backend,
                WorkClass work,
                MonotonicTime now) const;
  /// Whether the backend server names no limit, or this process may use its
  /// part of the limit now.
  bool IsWithinLimit(const BackendRecord& record,
                     WorkClass work,
                     MonotonicTime now) const;
  /// The time between two requests of this process to a backend server with
  /// this limit; nullopt if it gets none from this process.
  std::optional<Duration> AttemptInterval(const BackendId& id,
                                          RequestRate limit) const;
  bool IsSlow(const Backend& backend, double median) const;
  /// Whether online requests leave room for one more item among backend servers
  /// that may be cold.
  bool HasRoomForItem(const ServiceId& service, MonotonicTime now) const;
  /// How many requests a backend server may run when a batch item is one.
  uint32_t MaxLoadWithBatch(const BackendRecord& record) const;
  double MedianEventInterval(const ServiceId& service) const;
  template <class MaxLoad>
  std::optional<BackendId> PlaceBelowLoad(const PlacementQuery& query,
                                          WorkClass work,
                                          MonotonicTime now,
                                          const MaxLoad& max_load) const;

  const PlacementOptions m_options;
  std::map<BackendId, Backend> m_backends;
  // The incarnations that have said that they leave, and when. Kept beyond
  // their removal, because entries of discovery may come back after an outage.
  std::map<IncarnationKey, MonotonicTime> m_leaving;
  // Kept beyond the removal of an entry for the same reason.
  std::map<IncarnationKey, LimitState> m_limits;
  RateShares m_rate_shares;
  ColdBackendCore m_cold_backends;
  std::set<ZoneId> m_evacuated_zones;
};

}  // namespace cowslip

#endif  // SOURCE_PLACEMENT_PLACEMENT_CORE_H_
