#include "Metrics/summary.h"

#include <array>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace cowslip {

namespace acc = boost::accumulators;

namespace {

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};
// Extended P-square keeps 2n + 3 markers for n quantiles, and each marker is
// initialised with one sample.
constexpr uint64_t kMinSamples = 2 * kQuantiles.size() + 3;

}  // namespace

class Summary::Impl {
 public:
  Impl() : samples(acc::extended_p_square_probabilities = kQuantiles) {}

  acc::accumulator_set<
      double,
      acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>
      samples;
};

Summary::Summary() : m_impl(std::make_unique<Impl>()) {}

Summary::~Summary() = default;

void Summary::Observe(double sample) {
  m_impl->samples(sample);
}

uint64_t Summary::count() const {
  return acc::count(m_impl->samples);
}

double Summary::sum() const {
  return acc::sum(m_impl->samples);
}

std::vector<QuantileValue> Summary::Quantiles() const {
  std::vector<QuantileValue> quantiles;
  if (count() < kMinSamples) {
    return quantiles;
  }
  const auto values = acc::extended_p_square(m_impl->samples);
  for (size_t i = 0; i < kQuantiles.size(); ++i) {
    quantiles.push_back({.quantile = kQuantiles[i], .value = values[i]});
  }
  return quantiles;
}

}  // namespace cowslip
