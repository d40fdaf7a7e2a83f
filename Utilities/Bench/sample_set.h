#ifndef UTILITIES_BENCH_SAMPLE_SET_H_
#define UTILITIES_BENCH_SAMPLE_SET_H_

#include <memory>

#include <nlohmann/json_fwd.hpp>

#include "Base/time.h"

namespace cowslip {

/// \class SampleSet
/// \brief Durations with their exact upper quantiles (Boost.Accumulators, tail
/// quantile).
class SampleSet {
 public:
  SampleSet();
  ~SampleSet();
  SampleSet(const SampleSet&) = delete;
  SampleSet& operator=(const SampleSet&) = delete;

  void Add(Duration sample);
  size_t count() const;
  /// In milliseconds; `probability` is 0.5 or more; 0 without samples.
  double QuantileMs(double probability) const;

  /// `{"count", "mean_ms", "p50_ms", "p95_ms", "p99_ms", "max_ms"}`.
  nlohmann::json ToJson() const;

 private:
  class Impl;
  const std::unique_ptr<Impl> m_impl;
};

}  // namespace cowslip

#endif  // UTILITIES_BENCH_SAMPLE_SET_H_
