#ifndef SOURCE_JOBS_ITEM_SERVICES_H_
#define SOURCE_JOBS_ITEM_SERVICES_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "Base/ids.h"
#include "Base/time.h"
#include "Fleet/traffic_split.h"

namespace cowslip {

/// \class ItemServicesOptions
/// \brief When an item leaves the service that was drawn for it.
struct ItemServicesOptions {
  uint64_t seed = 0;
  /// Half of the five seconds that an accepted item may be without a run while
  /// backend servers have room.
  Duration max_wait = std::chrono::milliseconds(2500);
};

/// \class ItemServices
/// \brief Decides at which service of a split route each item runs, when one
/// service is full or lost for long while another one has free slots.
///
/// Each run of an item goes to a service that is drawn by weight, as an online
/// request does. An item that has waited there for `max_wait` moves to one of
/// the services with a free slot, so that a service that admits no items keeps
/// none of them.
class ItemServices {
 public:
  explicit ItemServices(ItemServicesOptions options)
      : m_options(options), m_random(options.seed) {}

  /// The service of the item's next run. `parts` are those of its route, not
  /// empty; `free` are the services with a free slot.
  ServiceId Choose(const JobKey& job,
                   const ItemId& item,
                   const std::vector<ServicePart>& parts,
                   const std::set<ServiceId>& free,
                   MonotonicTime now);
  /// The item runs: its next run draws again.
  void Forget(const JobKey& job, const ItemId& item);
  void Forget(const JobKey& job) { m_drawn.erase(job); }

 private:
  struct Drawn {
    ServiceId service;
    MonotonicTime since;
  };
  ServiceId Draw(const std::vector<ServicePart>& parts);

  const ItemServicesOptions m_options;
  std::mt19937_64 m_random;
  std::map<JobKey, std::map<ItemId, Drawn>> m_drawn;
};

}  // namespace cowslip

#endif  // SOURCE_JOBS_ITEM_SERVICES_H_
