#ifndef SOURCE_PLACEMENT_COLD_BACKEND_CORE_H_
#define SOURCE_PLACEMENT_COLD_BACKEND_CORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "Base/ids.h"
#include "Base/time.h"
#include "Base/work_class.h"
#include "Fleet/backend_coldness.h"
#include "Fleet/backend_record.h"
#include "Fleet/cold_bounds.h"
#include "Fleet/request_rate.h"
#include "Placement/rate_shares.h"

namespace cowslip {

/// \class ColdBackendOptions
/// \brief The bounds at cold backend servers and what this process assumes of
/// the others.
struct ColdBackendOptions {
  VmId self;
  /// nullopt to treat cold backend servers like any others.
  std::optional<ColdBounds> bounds;
  /// The bound holds for windows of one second at the backend server; requests
  /// of one gateway may arrive up to about 50 ms closer together than they were
  /// placed, on a new connection instead of an open one.
  Duration window = std::chrono::milliseconds(1050);
  /// Gateways that this process does not know of yet and that may send: one
  /// that has just registered.
  size_t unknown_members = 1;
  /// How long a gateway counts after its registration was removed: it may be
  /// cut off from the store and go on.
  Duration member_memory = std::chrono::minutes(10);
  /// Cold times above this multiple of the service's cold start are rejected.
  int max_remaining_factor = 10;
  /// A peer's report counts if it names a remaining time longer than the known
  /// one by this much: more than a datagram takes, so that relayed reports do
  /// not extend each other.
  Duration relay_tolerance = std::chrono::milliseconds(200);
  /// Items leave online requests this multiple of what these have used lately
  /// of the shares, and this part of all shares: what arrives within one window
  /// at random, and at the begin of a wave.
  double online_reserve = 1.5;
  double share_reserve = 0.25;
  /// How long it is remembered that an incarnation is warm again.
  Duration state_memory = std::chrono::minutes(10);
  /// Bounds a report to about 10 kB.
  size_t max_reported = 256;
};

/// \class ColdService
/// \brief What the configuration says of the cold backend servers of a service.
struct ColdService {
  RequestRate rate;
  Duration start{0};
};

/// Where a statement about a cold backend server comes from.
enum class ColdSource { kEntry, kResponse, kPeer };

/// \class ColdStatement
/// \brief What is stated about the cold time of an incarnation.
struct ColdStatement {
  ServiceId service;
  BackendColdness coldness;
  ColdSource source = ColdSource::kEntry;
};

/// A backend server has become cold, as far as this process knows.
struct BackendTurnedCold {
  BackendColdness coldness;
  ColdSource source = ColdSource::kEntry;
  /// The time between two requests of this process; nullopt if it sends none.
  std::optional<Duration> interval;
};
/// The cold time of a backend server has ended.
struct BackendTurnedWarm {
  BackendId backend;
};
/// The cold time is absurd; what was known stays in force.
struct ColdStatementRejected {
  ColdStatement statement;
  Duration max_remaining{0};
};
using ColdAction =
    std::variant<BackendTurnedCold, BackendTurnedWarm, ColdStatementRejected>;

/// \class ColdBackendCore
/// \brief Bounds the requests to backend servers that may be cold, over all
/// gateways together: a cold one crashes when it gets many more requests than
/// it tolerates.
///
/// A backend server may become cold at any moment, and gateways learn of it
/// seconds apart or not at all. So no gateway ever exceeds its strict share of
/// what a cold backend server tolerates in one second, whether it knows the
/// backend server to be cold or not: that alone keeps the bound. Where it is
/// known to be cold, only a few gateways go on sending, each at its interval.
/// Services without a cold rate are not affected.
class ColdBackendCore {
 public:
  explicit ColdBackendCore(ColdBackendOptions options);

  /// Sets the services whose backend servers may be cold.
  void SetServices(std::map<ServiceId, ColdService> services,
                   MonotonicTime now);
  /// Sets the registered processes, this one included.
  void SetMembers(const std::vector<VmId>& members, MonotonicTime now);
  void Record(const ColdStatement& statement, MonotonicTime now);
  void RecordAttempt(const BackendRecord& record,
                     WorkClass work,
                     MonotonicTime now);

  /// Whether this process may send a request there now.
  bool MayAttempt(const BackendRecord& record,
                  WorkClass work,
                  MonotonicTime now) const;
  /// Whether the backend server is not cold, or this process has its turn
  /// there.
  bool HasTurn(const BackendRecord& record,
               WorkClass work,
               MonotonicTime now) const;
  /// Whether online requests leave enough of this process's shares at these
  /// backend servers of a service for one more batch item.
  bool HasRoomForItem(const std::vector<const BackendRecord*>& backends,
                      MonotonicTime now) const;
  bool MayBeCold(const ServiceId& service) const {
    return m_services.contains(service);
  }
  bool IsCold(const BackendId& id,
              uint64_t started_at_ms,
              MonotonicTime now) const;
  /// What is known of cold backend servers, for reports to the other processes.
  std::vector<BackendColdness> ToReport(MonotonicTime now) const;
  /// What has happened since the last call.
  std::vector<ColdAction> TakeActions(MonotonicTime now);

 private:
  using IncarnationKey = std::pair<BackendId, uint64_t>;
  struct Attempt {
    MonotonicTime at;
    WorkClass work = WorkClass::kOnline;
  };
  struct State {
    ServiceId service;
    MonotonicTime cold_until;
    MonotonicTime heard;
    uint64_t entry_version = 0;
    /// The version of the entry that last ended a cold time.
    uint64_t warm_version = 0;
    bool is_reported_cold = false;
    std::optional<Duration> interval;
    /// When this process last sent a request, or learned that it is cold.
    MonotonicTime last_attempt;
  };

  const ColdService* FindService(const ServiceId& service) const;
  std::optional<Duration> Interval(const BackendId& id,
                                   const ServiceId& service) const;
  void UpdateIntervals();
  /// How many requests this process may send there within one window.
  size_t StrictShare(const BackendId& id, const ColdService& service) const;
  size_t ComputeStrictShare(const BackendId& id,
                            const ColdService& service) const;
  size_t AttemptsSince(const BackendId& id, MonotonicTime since) const;
  /// Zero if the configuration sets no limit.
  Duration MaxRemaining(const ServiceId& service) const;
  const State* FindCold(const BackendId& id,
                        uint64_t started_at_ms,
                        MonotonicTime now) const;

  const ColdBackendOptions m_options;
  RateShares m_shares;
  std::map<ServiceId, ColdService> m_services;
  // The registered processes and those removed lately, with the time when each
  // was last registered; empty until the registrations are known.
  std::map<VmId, MonotonicTime> m_members;
  std::vector<VmId> m_counted_members;
  std::map<IncarnationKey, State> m_states;
  std::map<BackendId, std::deque<Attempt>> m_attempts;
  // Caches ComputeStrictShare().
  mutable std::map<BackendId, size_t> m_strict_shares;
  // When this process began to be affected. An earlier one on this VM may have
  // used the share until then.
  std::optional<MonotonicTime> m_began;
  std::vector<ColdAction> m_actions;
};

}  // namespace cowslip

#endif  // SOURCE_PLACEMENT_COLD_BACKEND_CORE_H_
