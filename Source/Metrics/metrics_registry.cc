#include "Metrics/metrics_registry.h"

#include <array>
#include <sstream>

#include "Base/log.h"
#include "Base/overloaded.h"
#include "Metrics/counter.h"
#include "Metrics/gauge.h"
#include "Metrics/summary.h"

namespace cowslip {

namespace {

// Prometheus types, in the order of the alternatives of
// MetricsRegistry::Metric.
constexpr std::array<const char*, 3> kTypes = {"counter", "gauge", "summary"};

// Returns the metric name without labels.
std::string FamilyOf(const std::string& name) {
  return name.substr(0, name.find('{'));
}

// Returns the labels without braces; empty if there are none.
std::string LabelsOf(const std::string& name) {
  const size_t open = name.find('{');
  if (open == std::string::npos) {
    return "";
  }
  return name.substr(open + 1, name.size() - open - 2);
}

std::string Braced(const std::string& labels) {
  return labels.empty() ? "" : "{" + labels + "}";
}

void RenderSummary(const std::string& name,
                   const Summary& summary,
                   std::ostream& out) {
  const std::string family = FamilyOf(name);
  const std::string labels = LabelsOf(name);
  const std::string separator = labels.empty() ? "" : ",";
  for (const QuantileValue& quantile : summary.Quantiles()) {
    out << family << "{" << labels << separator << "quantile=\""
        << quantile.quantile << "\"} " << quantile.value << "\n";
  }
  out << family << "_sum" << Braced(labels) << " " << summary.sum() << "\n";
  out << family << "_count" << Braced(labels) << " " << summary.count() << "\n";
}

}  // namespace

MetricsRegistry::MetricsRegistry() = default;
MetricsRegistry::~MetricsRegistry() = default;

template <class T>
T& MetricsRegistry::FindOrCreate(const std::string& name,
                                 const std::string& help) {
  m_help.try_emplace(FamilyOf(name), help);
  const auto [found, inserted] =
      m_metrics.try_emplace(name, std::make_unique<T>());
  auto* metric = std::get_if<std::unique_ptr<T>>(&found->second);
  CHECK(metric != nullptr)
      << "metrics: " << name
      << " is already registered as another type of metric.";
  return **metric;
}

Counter& MetricsRegistry::counter(const std::string& name,
                                  const std::string& help) {
  return FindOrCreate<Counter>(name, help);
}

Gauge& MetricsRegistry::gauge(const std::string& name,
                              const std::string& help) {
  return FindOrCreate<Gauge>(name, help);
}

Summary& MetricsRegistry::summary(const std::string& name,
                                  const std::string& help) {
  return FindOrCreate<Summary>(name, help);
}

std::string MetricsRegistry::Render() const {
  std::ostringstream out;
  out.precision(12);
  std::string family;
  for (const auto& [name, metric] : m_metrics) {
    if (FamilyOf(name) != family) {
      family = FamilyOf(name);
      out << "# HELP " << family << " " << m_help.at(family) << "\n";
      out << "# TYPE " << family << " " << kTypes[metric.index()] << "\n";
    }
    const std::string& full_name = name;
    std::visit(Overloaded{[&](const std::unique_ptr<Summary>& summary) {
                            RenderSummary(full_name, *summary, out);
                          },
                          [&](const auto& plain) {
                            out << full_name << " " << plain->value() << "\n";
                          }},
               metric);
  }
  return out.str();
}

}  // namespace cowslip
