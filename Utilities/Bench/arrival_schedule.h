#ifndef UTILITIES_BENCH_ARRIVAL_SCHEDULE_H_
#define UTILITIES_BENCH_ARRIVAL_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

#include "Base/time.h"

namespace cowslip {

/// \class BurstOptions
/// \brief In each period, the rate is multiplied during a first part.
struct BurstOptions {
  Duration period = Duration(0);
  Duration length = Duration(0);
  double factor = 1;
};

/// \class ArrivalScheduleOptions
/// \brief How many requests come, from whom.
struct ArrivalScheduleOptions {
  /// Requests per second of all organisations together, outside of bursts.
  double rate = 10;
  uint64_t seed = 1;
  /// No bursts while its period is zero.
  BurstOptions bursts;
  /// One weight per organisation.
  std::vector<double> weights = {1};
};

/// \class Arrival
/// \brief One request that is to be sent.
struct Arrival {
  /// Since the start of the run.
  Duration at = Duration(0);
  /// Index into the weights.
  size_t organisation = 0;
};

/// \class ArrivalSchedule
/// \brief A Poisson process with a fixed seed: the same options give the same
/// arrivals, however the server behaves (open loop).
class ArrivalSchedule {
 public:
  explicit ArrivalSchedule(ArrivalScheduleOptions options);

  Arrival Next();

 private:
  double RateAt(Duration at) const;

  const ArrivalScheduleOptions m_options;
  const double m_highest_rate;
  std::mt19937_64 m_random;
  std::discrete_distribution<size_t> m_organisation;
  Duration m_last = Duration(0);
};

}  // namespace cowslip

#endif  // UTILITIES_BENCH_ARRIVAL_SCHEDULE_H_
