#include "Limits/ownership_lease.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "Limits/limits_constants.h"

namespace cowslip {

void OwnershipLease::Confirm(std::vector<ProcessRef> witnesses,
                             MonotonicTime started) {
  m_witness_sets.clear();
  m_witness_sets.push_back(std::move(witnesses));
  m_record_written = started;
}

void OwnershipLease::AddUncertainWrite(
    const std::vector<ProcessRef>& witnesses) {
  const auto found =
      std::find(m_witness_sets.begin(), m_witness_sets.end(), witnesses);
  if (found == m_witness_sets.end()) {
    m_witness_sets.push_back(witnesses);
  }
}

void OwnershipLease::AddPromise(const ProcessRef& witness, MonotonicTime sent) {
  auto& [incarnation, latest] = m_promises[witness.vm];
  if (incarnation != witness.incarnation) {
    incarnation = witness.incarnation;
    latest = sent;
  }
  latest = std::max(latest, sent);
}

MonotonicTime OwnershipLease::expiry() const {
  MonotonicTime until = m_record_written + kRecordLease;
  for (const auto& witnesses : m_witness_sets) {
    until = std::min(until, MajorityExpiry(witnesses));
  }
  return until;
}

MonotonicTime OwnershipLease::MajorityExpiry(
    const std::vector<ProcessRef>& witnesses) const {
  std::vector<MonotonicTime> promised;
  for (const ProcessRef& witness : witnesses) {
    const auto found = m_promises.find(witness.vm);
    if (found != m_promises.end() &&
        found->second.first == witness.incarnation) {
      promised.push_back(found->second.second);
    }
  }
  const size_t needed = MajorityOf(witnesses.size());
  if (promised.size() < needed) {
    return MonotonicTime::min();
  }
  std::sort(promised.begin(), promised.end(), std::greater<>());
  return promised[needed - 1] + kPromiseDuration;
}

}  // namespace cowslip
