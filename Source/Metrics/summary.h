#ifndef SOURCE_METRICS_SUMMARY_H_
#define SOURCE_METRICS_SUMMARY_H_

#include <cstdint>
#include <memory>
#include <vector>

namespace cowslip {

/// \class QuantileValue
/// \brief One estimated quantile.
struct QuantileValue {
  double quantile = 0;
  double value = 0;
};

/// \class Summary
/// \brief Estimates quantiles of all samples since the start in constant
/// memory, with the extended P-square algorithm of Boost.Accumulators.
class Summary {
 public:
  Summary();
  ~Summary();
  Summary(const Summary&) = delete;
  Summary& operator=(const Summary&) = delete;

  void Observe(double sample);
  uint64_t count() const;
  double sum() const;
  /// Returns the estimated median, p95 and p99; empty until there are enough
  /// samples for the estimate.
  std::vector<QuantileValue> Quantiles() const;

 private:
  class Impl;
  const std::unique_ptr<Impl> m_impl;
};

}  // namespace cowslip

#endif  // SOURCE_METRICS_SUMMARY_H_
