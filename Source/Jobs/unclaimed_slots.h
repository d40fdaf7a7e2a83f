#ifndef SOURCE_JOBS_UNCLAIMED_SLOTS_H_
#define SOURCE_JOBS_UNCLAIMED_SLOTS_H_

#include <chrono>
#include <map>

#include "Base/ids.h"
#include "Base/time.h"

namespace cowslip {

/// \class UnclaimedSlotsOptions
/// \brief When a free slot counts as unclaimed.
struct UnclaimedSlotsOptions {
  /// Longer than it takes the process whose turn it is to see the free slot and
  /// to start an item there.
  Duration claim_time = std::chrono::milliseconds(300);
};

/// \class UnclaimedSlots
/// \brief Finds slots that stay free although the backlog has work, because the
/// process whose items are next can't run them: it is lost, or their prompt is
/// blocked. Others may use them, so that no item is left lying.
class UnclaimedSlots {
 public:
  explicit UnclaimedSlots(UnclaimedSlotsOptions options) : m_options(options) {}

  /// Whether the service has had a free slot for `claim_time`. Call it
  /// repeatedly while items wait.
  bool Check(const ServiceId& service, bool has_free_slot, MonotonicTime now);

 private:
  const UnclaimedSlotsOptions m_options;
  std::map<ServiceId, MonotonicTime> m_free_since;
};

}  // namespace cowslip

#endif  // SOURCE_JOBS_UNCLAIMED_SLOTS_H_
