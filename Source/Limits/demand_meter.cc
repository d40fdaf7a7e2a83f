#include "Limits/demand_meter.h"

#include <chrono>

namespace cowslip {
namespace {

/// The weight of the newest interval.
constexpr double kNewestWeight = 0.5;
/// Cost per second below which an organisation counts as idle.
constexpr double kIdleRate = 0.01;

}  // namespace

void DemandMeter::EndInterval(Duration interval) {
  const double seconds = std::chrono::duration<double>(interval).count();
  for (auto& [organisation, meter] : m_meters) {
    const double newest = meter.pending / seconds;
    meter.rate += kNewestWeight * (newest - meter.rate);
    meter.pending = 0;
  }
  std::erase_if(m_meters, [](const auto& entry) {
    return entry.second.rate < kIdleRate;
  });
}

double DemandMeter::Rate(const OrganisationId& organisation) const {
  const auto found = m_meters.find(organisation);
  return found == m_meters.end() ? 0 : found->second.rate;
}

std::vector<OrganisationDemand> DemandMeter::RatesAtLeast(
    double min_rate) const {
  std::vector<OrganisationDemand> busy;
  for (const auto& [organisation, meter] : m_meters) {
    if (meter.rate >= min_rate) {
      busy.push_back({organisation, meter.rate});
    }
  }
  return busy;
}

}  // namespace cowslip
