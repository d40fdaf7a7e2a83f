#include "Jobs/unclaimed_slots.h"

namespace cowslip {

bool UnclaimedSlots::Check(const ServiceId& service,
                           bool has_free_slot,
                           MonotonicTime now) {
  if (!has_free_slot) {
    m_free_since.erase(service);
    return false;
  }
  const auto [since, is_new] = m_free_since.try_emplace(service, now);
  return now - since->second >= m_options.claim_time;
}

}  // namespace cowslip
