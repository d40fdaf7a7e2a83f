#ifndef SOURCE_FLEET_HOME_REGIONS_H_
#define SOURCE_FLEET_HOME_REGIONS_H_

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>
#include <utility>

#include "Base/ids.h"

namespace cowslip {

/// \class HomeRegions
/// \brief The regions in which a request may run: any region, unless its route
/// or its organisation declares some.
class HomeRegions {
 public:
  HomeRegions() = default;
  /// Without regions, a request may run in any.
  explicit HomeRegions(std::set<RegionId> regions) {
    if (!regions.empty()) {
      m_regions = std::move(regions);
    }
  }

  /// Whether some regions are ruled out.
  bool is_restricted() const { return m_regions.has_value(); }
  /// Whether a VM in the region may run the request. The empty region stands
  /// for one that is not known, and is no home region.
  bool Allows(const RegionId& region) const {
    return !m_regions.has_value() || m_regions->contains(region);
  }
  /// The regions that both allow; possibly none.
  HomeRegions Intersect(const HomeRegions& other) const {
    if (!m_regions.has_value()) {
      return other;
    }
    if (!other.m_regions.has_value()) {
      return *this;
    }
    HomeRegions both;
    both.m_regions.emplace();
    std::set_intersection(
        m_regions->begin(), m_regions->end(), other.m_regions->begin(),
        other.m_regions->end(),
        std::inserter(*both.m_regions, both.m_regions->end()));
    return both;
  }

  friend bool operator==(const HomeRegions&, const HomeRegions&) = default;
  friend bool operator<(const HomeRegions& a, const HomeRegions& b) {
    return a.m_regions < b.m_regions;
  }

 private:
  // nullopt for any region.
  std::optional<std::set<RegionId>> m_regions;
};

}  // namespace cowslip

#endif  // SOURCE_FLEET_HOME_REGIONS_H_
