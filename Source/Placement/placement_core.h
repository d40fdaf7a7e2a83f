#ifndef SOURCE_PLACEMENT_PLACEMENT_CORE_H_
#define SOURCE_PLACEMENT_PLACEMENT_CORE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "Base/ids.h"
#include "Base/time.h"
#include "Base/work_class.h"
#include "Fleet/backend_record.h"
#include "Peers/peer_message.h"

namespace cowslip {

/// \class PlacementOptions
/// \brief Where this VM stands and how it judges backend servers.
struct PlacementOptions {
  VmId self;
  ZoneId zone;
  /// Slots of a backend server that batch items leave free for the online
  /// requests of the next report interval.
  uint32_t batch_headroom = 2;
  /// The first pause after a failure; it doubles with each one in a row.
  Duration first_suspension = std::chrono::milliseconds(500);
  /// The longest pause: the platform drops a silent backend server's entry
  /// after about this long.
  Duration longest_suspension = std::chrono::seconds(4);
  /// How long a backend server that says it is full is passed over: about the
  /// time in which a slot becomes free.
  Duration full_pause = std::chrono::milliseconds(100);
  /// Weight of the newest sample in the averages of times.
  double smoothing = 0.1;
  /// A backend server is slow when its events come this many times more slowly
  /// than the median one's.
  double slow_factor = 2.5;
};

/// How a request ended at a backend server.
enum class AttemptOutcome {
  /// The whole response came.
  kCompleted,
  /// The request was given up here, for example because the caller left.
  kCancelled,
  /// The backend server said that it had no room.
  kFull,
  /// No response, or a broken one.
  kFailed,
};

/// A backend server may be used from now on.
struct BackendAdded {
  BackendRecord backend;
};
/// It may not be used any more.
struct BackendRemoved {
  BackendId id;
};
/// A request was sent.
struct AttemptStarted {
  BackendId backend;
  WorkClass work = WorkClass::kOnline;
};
/// It has ended.
struct AttemptEnded {
  BackendId backend;
  WorkClass work = WorkClass::kOnline;
  AttemptOutcome outcome = AttemptOutcome::kCompleted;
};
/// The first event of an online request came after that time.
struct FirstEventMeasured {
  BackendId backend;
  Duration after{0};
};
/// The time between two events of a stream.
struct EventIntervalMeasured {
  BackendId backend;
  Duration per_event{0};
};
/// How long a completed online request held its slot.
struct SlotTimeMeasured {
  BackendId backend;
  Duration held{0};
};
/// What another process has in flight.
struct PeerInFlightReported {
  VmId vm;
  std::vector<BackendUse> in_flight;
};
/// That process is silent: what it had in flight is no longer counted.
struct PeerInFlightCleared {
  VmId vm;
};
using PlacementEvent = std::variant<BackendAdded,
                                    BackendRemoved,
                                    AttemptStarted,
                                    AttemptEnded,
                                    FirstEventMeasured,
                                    EventIntervalMeasured,
                                    SlotTimeMeasured,
                                    PeerInFlightReported,
                                    PeerInFlightCleared>;

/// \class PlacementQuery
/// \brief What a request asks of the placing.
struct PlacementQuery {
  ServiceId service;
  /// Requests with the same text prefer the same backend server, which may have
  /// read their common part of the prompt.
  std::string shared_prompt;
  /// Backend servers that already had this request.
  std::set<BackendId> exclude;
  /// Requests that may wait at a backend server beyond its slots.
  uint32_t queue_allowance = 0;
};

/// \class ServiceLoad
/// \brief The load of a service's usable backend servers.
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
/// \brief Picks the backend server of each request, for load that comes in
/// steps of several times the mean and arrives at all VMs at once.
///
/// What a backend server has in flight is the sum of what this process knows
/// and what the others reported. A report is a fraction of a second old, so
/// several processes may see the same slot free: the choice goes by rendezvous
/// hashing among equals, which spreads them, and a request beyond the slots
/// waits a moment in the backend server's own queue. Order of preference: a
/// free slot, the own availability zone, a backend server that is not slow, the
/// least load, the warm prompt cache.
class PlacementCore {
 public:
  explicit PlacementCore(PlacementOptions options);

  void Handle(const PlacementEvent& event, MonotonicTime now);

  /// A backend server for an online request; nullopt when none has room.
  std::optional<BackendId> PlaceOnline(const PlacementQuery& query,
                                       MonotonicTime now) const;
  /// A backend server for a batch item; nullopt when none has room beyond the
  /// headroom for online requests.
  std::optional<BackendId> PlaceBatch(const PlacementQuery& query,
                                      MonotonicTime now) const;
  /// Whether this process should give back a batch item's slot there, because
  /// no slot is left for the next online request. Of all processes with batch
  /// items there, one at a time is asked.
  bool ShouldYieldBatch(const BackendId& backend) const;

  ServiceLoad Load(const ServiceId& service, MonotonicTime now) const;
  const BackendRecord* Find(const BackendId& id) const;
  /// What this process has in flight, for the others.
  std::vector<BackendUse> InFlight() const;

 private:
  struct Use {
    uint32_t online = 0;
    uint32_t batch = 0;
  };
  struct Backend {
    BackendRecord record;
    Use own;
    std::map<VmId, Use> peers;
    uint32_t failures = 0;
    MonotonicTime suspended_until;
    // Seconds; zero until there is a sample.
    double first_event = 0;
    double pace = 0;
    double slot_time = 0;

    uint32_t Online() const;
    uint32_t Batch() const;
    uint32_t Total() const { return Online() + Batch(); }
  };

  void Apply(const BackendAdded& event, MonotonicTime now);
  void Apply(const BackendRemoved& event, MonotonicTime now);
  void Apply(const AttemptStarted& event, MonotonicTime now);
  void Apply(const AttemptEnded& event, MonotonicTime now);
  void Apply(const FirstEventMeasured& event, MonotonicTime now);
  void Apply(const EventIntervalMeasured& event, MonotonicTime now);
  void Apply(const SlotTimeMeasured& event, MonotonicTime now);
  void Apply(const PeerInFlightReported& event, MonotonicTime now);
  void Apply(const PeerInFlightCleared& event, MonotonicTime now);
  void Smooth(double& average, Duration sample) const;
  bool IsUsable(const Backend& backend, MonotonicTime now) const;
  bool IsSlow(const Backend& backend, double median) const;
  double MedianPace(const ServiceId& service) const;
  template <class Limit>
  std::optional<BackendId> PlaceBelow(const PlacementQuery& query,
                                      MonotonicTime now,
                                      const Limit& limit) const;

  const PlacementOptions m_options;
  std::map<BackendId, Backend> m_backends;
};

}  // namespace cowslip

#endif  // SOURCE_PLACEMENT_PLACEMENT_CORE_H_
