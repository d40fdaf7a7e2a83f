#ifndef SOURCE_LIMITS_DEMAND_METER_H_
#define SOURCE_LIMITS_DEMAND_METER_H_

#include <unordered_map>
#include <vector>

#include "Base/ids.h"
#include "Base/time.h"
#include "Limits/limits_messages.h"

namespace cowslip {

/// \class DemandMeter
/// \brief Measures the cost per second that is requested for each organisation,
/// smoothed over a few report intervals.
class DemandMeter {
 public:
  void Add(const OrganisationId& organisation, double cost) {
    m_meters[organisation].pending += cost;
  }
  /// Ends a measuring interval of that length and removes idle organisations.
  void EndInterval(Duration interval);
  double Rate(const OrganisationId& organisation) const;
  /// The organisations with at least that rate.
  std::vector<OrganisationDemand> RatesAtLeast(double min_rate) const;

 private:
  struct Meter {
    double pending = 0;
    double rate = 0;
  };
  std::unordered_map<OrganisationId, Meter> m_meters;
};

}  // namespace cowslip

#endif  // SOURCE_LIMITS_DEMAND_METER_H_
