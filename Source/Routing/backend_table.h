#ifndef SOURCE_ROUTING_BACKEND_TABLE_H_
#define SOURCE_ROUTING_BACKEND_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Base/ids.h"
#include "Exchange/exchange_messages.h"

namespace cowslip {

/// \class RoutingOptions
/// \brief Availability zone of this entry, and bounds for affinity and for
/// queued batch items.
struct RoutingOptions {
  ZoneId zone;
  uint64_t seed = 1;
  /// A backend server chosen by affinity may have at most this multiple of the
  /// average load.
  double affinity_load_factor = 1.25;
  /// Batch items that one entry queues at one backend server beyond its slots.
  uint32_t ready_batch_per_backend = 2;
};

/// \class RouteQuery
/// \brief Criteria for choosing the backend server of one request.
struct RouteQuery {
  ServiceId service;
  WorkClass work = WorkClass::kOnline;
  /// Requests with the same key prefer the same backend server, whose prefix
  /// cache is warm. Empty for none.
  std::string affinity_key;
  /// Backend servers that already failed this request.
  std::set<VmId> exclude;
};

/// \class BackendTable
/// \brief Tracks the backend servers that this entry may use and selects one
/// per request.
///
/// Backend servers in the entry's own availability zone are preferred while
/// their load is below 1. Among the candidates, the choice is the one with
/// affinity to the request if its load is within the bound, else the less
/// loaded of two random ones.
class BackendTable {
 public:
  explicit BackendTable(RoutingOptions options);

  /// The peer link to a sidecar came up or failed.
  void LinkUp(const VmId& vm);
  void LinkDown(const VmId& vm);
  /// Sets whether the membership marks this VM as leaving; a leaving VM gets no
  /// new work.
  void SetLeaving(const VmId& vm, bool leaving);
  void StatusReceived(const VmId& vm, const BackendStatus& status);
  void LoadReceived(const VmId& vm, const LoadStatus& load);

  /// One attempt was sent to, or has ended at, that backend server.
  void AttemptStarted(const VmId& vm, WorkClass work);
  void AttemptEnded(const VmId& vm, WorkClass work);

  /// Picks a backend server; nullopt when none accepts the work.
  std::optional<VmId> Choose(const RouteQuery& query);
  /// Number of further batch items that the backend servers of all services
  /// accept.
  uint32_t BatchCapacity() const;
  /// As above, for one service.
  uint32_t BatchCapacity(const ServiceId& service) const;

  /// Number of this entry's attempts in flight at that backend server.
  uint32_t Outstanding(const VmId& vm) const;
  /// Backend servers that accept work for that service.
  std::vector<VmId> AcceptingBackends(const ServiceId& service) const;

 private:
  struct Backend {
    ServiceId service;
    ZoneId zone;
    bool linked = false;
    bool accepting = false;
    bool leaving = false;
    uint32_t online = 0;
    uint32_t batch = 0;
    LoadStatus load;

    bool usable() const { return linked && accepting && !leaving; }
    double Load() const;
  };
  using Candidates = std::vector<const std::pair<const VmId, Backend>*>;

  Candidates FindCandidates(const RouteQuery& query, bool own_zone_only) const;
  const VmId& Pick(const Candidates& candidates, const RouteQuery& query);
  const VmId& PickLeastLoadedOfTwo(const Candidates& candidates);
  uint32_t RemainingBatchCapacity(const Backend& backend) const;

  const RoutingOptions m_options;
  std::mt19937_64 m_random;
  std::map<VmId, Backend> m_backends;
};

}  // namespace cowslip

#endif  // SOURCE_ROUTING_BACKEND_TABLE_H_
