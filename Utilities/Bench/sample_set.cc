#include "Utilities/Bench/sample_set.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>
#include <nlohmann/json.hpp>

namespace cowslip {

namespace acc = boost::accumulators;

namespace {

/// The median is exact for up to twice as many samples.
constexpr size_t kTailSamples = 1 << 18;

using Accumulators =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count,
                                    acc::tag::mean,
                                    acc::tag::max,
                                    acc::tag::tail_quantile<acc::right>>>;

}  // namespace

class SampleSet::Impl {
 public:
  Impl() : samples(acc::right_tail_cache_size = kTailSamples) {}
  Accumulators samples;
};

SampleSet::SampleSet() : m_impl(std::make_unique<Impl>()) {}

SampleSet::~SampleSet() = default;

void SampleSet::Add(Duration sample) {
  m_impl->samples(std::chrono::duration<double, std::milli>(sample).count());
}

size_t SampleSet::count() const {
  return acc::count(m_impl->samples);
}

double SampleSet::QuantileMs(double probability) const {
  if (count() == 0) {
    return 0;
  }
  return acc::quantile(m_impl->samples,
                       acc::quantile_probability = probability);
}

nlohmann::json SampleSet::ToJson() const {
  const bool any = count() > 0;
  return {{"count", count()},
          {"mean_ms", any ? acc::mean(m_impl->samples) : 0.0},
          {"p50_ms", QuantileMs(0.5)},
          {"p95_ms", QuantileMs(0.95)},
          {"p99_ms", QuantileMs(0.99)},
          {"max_ms", any ? acc::max(m_impl->samples) : 0.0}};
}

}  // namespace cowslip
