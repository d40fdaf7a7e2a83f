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
/// \brief Where this entry stands and how far affinity may skew the load.
struct RoutingOptions {
  ZoneId zone;
  uint64_t seed = 1;
  /// An affinity choice may hold at most this many times the average load.
  double affinity_load_factor = 1.25;
  /// Batch items that one entry keeps at one backend server beyond its slots.
  uint32_t ready_batch_per_backend = 2;
};

/// \class RouteQuery
/// \brief What a request asks of the routing.
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
/// \brief Knows the backend servers that this entry may use and picks one per
/// request.
///
/// The choice goes to the entry's own availability zone first, then to the
/// affine server when its load is within bounds, then to the better of two
/// random ones by outstanding work.
class BackendTable {
 public:
  explicit BackendTable(RoutingOptions options);

  /// The peer link to a side process came up or failed.
  void LinkUp(const VmId& vm);
  void LinkDown(const VmId& vm);
  /// The membership stopped or resumed giving work to this VM.
  void SetLeaving(const VmId& vm, bool leaving);
  void StatusReceived(const VmId& vm, const BackendStatus& status);
  void LoadReceived(const VmId& vm, const LoadStatus& load);

  /// One attempt was sent to, or has ended at, that backend server.
  void Dispatched(const VmId& vm, WorkClass work);
  void Ended(const VmId& vm, WorkClass work);

  /// Picks a backend server; nullopt when none accepts the work.
  std::optional<VmId> Choose(const RouteQuery& query);
  /// How many more batch items backend servers of any service may be given.
  uint32_t BatchCapacity() const;
  /// As above, for one service.
  uint32_t BatchCapacity(const ServiceId& service) const;

  /// Work that this entry has outstanding at that backend server.
  uint32_t Outstanding(const VmId& vm) const;
  /// Backend servers that accept work for that service.
  std::vector<VmId> Accepting(const ServiceId& service) const;

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

  Candidates Find(const RouteQuery& query, bool own_zone_only) const;
  const VmId& Pick(const Candidates& candidates, const RouteQuery& query);
  const VmId& PickOfTwo(const Candidates& candidates);
  uint32_t BatchRoom(const Backend& backend) const;

  const RoutingOptions m_options;
  std::mt19937_64 m_random;
  std::map<VmId, Backend> m_backends;
};

}  // namespace cowslip

#endif  // SOURCE_ROUTING_BACKEND_TABLE_H_
