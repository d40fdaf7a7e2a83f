#include "Utilities/Bench/arrival_schedule.h"

#include <algorithm>
#include <utility>

namespace cowslip {

namespace {

double HighestRate(const ArrivalScheduleOptions& options) {
  const bool bursts = options.bursts.period > Duration(0);
  return options.rate * (bursts ? std::max(options.bursts.factor, 1.0) : 1.0);
}

}  // namespace

ArrivalSchedule::ArrivalSchedule(ArrivalScheduleOptions options)
    : m_options(std::move(options)),
      m_highest_rate(HighestRate(m_options)),
      m_random(m_options.seed),
      m_organisation(m_options.weights.begin(), m_options.weights.end()) {}

double ArrivalSchedule::RateAt(Duration at) const {
  const BurstOptions& bursts = m_options.bursts;
  const bool in_burst =
      bursts.period > Duration(0) && at % bursts.period < bursts.length;
  return m_options.rate * (in_burst ? bursts.factor : 1.0);
}

Arrival ArrivalSchedule::Next() {
  // Thinning: draw at the highest rate, keep in proportion to the rate.
  std::exponential_distribution<double> gap_seconds(m_highest_rate);
  std::uniform_real_distribution<double> uniform(0, m_highest_rate);
  do {
    const std::chrono::duration<double> gap(gap_seconds(m_random));
    m_last += std::chrono::duration_cast<Duration>(gap);
  } while (uniform(m_random) >= RateAt(m_last));
  return Arrival{m_last, m_organisation(m_random)};
}

}  // namespace cowslip
