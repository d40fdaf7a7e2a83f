#include "Metrics/metrics_registry.h"

#include <catch2/catch.hpp>

#include "Metrics/counter.h"
#include "Metrics/gauge.h"
#include "Metrics/summary.h"

namespace cowslip {
namespace {

TEST_CASE("Metrics render as Prometheus text, one help line per family") {
  MetricsRegistry registry;
  registry.counter("requests_total{route=\"a\"}", "Requests.").Increment(2);
  registry.counter("requests_total{route=\"b\"}", "Requests.").Increment();
  registry.gauge("slots", "Slots.").Set(8);
  const std::string text = registry.Render();
  CHECK(text ==
        "# HELP requests_total Requests.\n# TYPE requests_total counter\n"
        "requests_total{route=\"a\"} 2\nrequests_total{route=\"b\"} 1\n"
        "# HELP slots Slots.\n# TYPE slots gauge\nslots 8\n");
}

TEST_CASE("Quantile estimates are close to the exact quantiles") {
  MetricsRegistry registry;
  Summary& summary = registry.summary("wait_seconds{work=\"x\"}", "Wait.");
  CHECK(summary.Quantiles().empty());
  for (int i = 0; i < 10007; ++i) {
    summary.Observe((i * 37) % 10007);
  }
  const auto quantiles = summary.Quantiles();
  REQUIRE(quantiles.size() == 3);
  CHECK(quantiles[0].value == Approx(5003).epsilon(0.02));
  CHECK(quantiles[2].value == Approx(9907).epsilon(0.02));
  CHECK_THAT(registry.Render(),
             Catch::Contains("wait_seconds{work=\"x\",quantile=\"0.5\"} ") &&
                 Catch::Contains("wait_seconds_count{work=\"x\"} 10007"));
}

}  // namespace
}  // namespace cowslip
