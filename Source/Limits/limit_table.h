#ifndef SOURCE_LIMITS_LIMIT_TABLE_H_
#define SOURCE_LIMITS_LIMIT_TABLE_H_

#include <unordered_map>
#include <vector>

#include "Limits/limits_events.h"

namespace cowslip {

/// \class LimitTable
/// \brief The limits in force, by organisation.
class LimitTable {
 public:
  void Replace(const std::vector<OrganisationLimit>& limits) {
    m_limits.clear();
    for (const OrganisationLimit& limit : limits) {
      m_limits[limit.organisation] = limit;
    }
  }
  /// The limits that are missing or different in `next`.
  std::vector<OrganisationLimit> DifferingFrom(const LimitTable& next) const {
    std::vector<OrganisationLimit> differing;
    for (const auto& [organisation, limit] : m_limits) {
      const OrganisationLimit* other = next.Find(organisation);
      if (other == nullptr || other->rate != limit.rate ||
          other->burst != limit.burst) {
        differing.push_back(limit);
      }
    }
    return differing;
  }
  /// Null when the organisation has no limit, which admits nothing.
  const OrganisationLimit* Find(const OrganisationId& organisation) const {
    const auto found = m_limits.find(organisation);
    return found == m_limits.end() ? nullptr : &found->second;
  }

 private:
  std::unordered_map<OrganisationId, OrganisationLimit> m_limits;
};

}  // namespace cowslip

#endif  // SOURCE_LIMITS_LIMIT_TABLE_H_
