#include "Placement/rate_shares.h"

#include <algorithm>
#include <utility>

#include "Base/rendezvous.h"

namespace cowslip {

RateShares::RateShares(VmId self)
    : m_self(std::move(self)), m_members{m_self} {}

void RateShares::SetMembers(std::vector<VmId> members) {
  m_members = std::move(members);
}

std::optional<Duration> RateShares::AttemptInterval(std::string_view key,
                                                    RequestRate rate,
                                                    double max_sharers) const {
  const auto sharers = static_cast<size_t>(
      std::min(max_sharers, static_cast<double>(m_members.size())));
  const std::vector<VmId> picked = RendezvousPick(key, m_members, sharers);
  if (std::find(picked.begin(), picked.end(), m_self) == picked.end()) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(picked.size()) / rate.per_second));
}

}  // namespace cowslip
