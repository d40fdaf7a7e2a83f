#ifndef SOURCE_METRICS_METRICS_REGISTRY_H_
#define SOURCE_METRICS_METRICS_REGISTRY_H_

#include <map>
#include <memory>
#include <string>
#include <variant>

namespace cowslip {

class Counter;
class Gauge;
class Summary;

/// \class MetricsRegistry
/// \brief Owns a process's metrics and renders them for a Prometheus scraper.
///
/// A name may include labels: `cowslip_requests_total{route="chat"}`. Metrics
/// that differ only in labels form a family and share the help text that was
/// given first. A repeated call with the same name returns the same metric.
/// References stay valid for the lifetime of the registry.
class MetricsRegistry {
 public:
  MetricsRegistry();
  ~MetricsRegistry();
  MetricsRegistry(const MetricsRegistry&) = delete;
  MetricsRegistry& operator=(const MetricsRegistry&) = delete;

  Counter& counter(const std::string& name, const std::string& help);
  Gauge& gauge(const std::string& name, const std::string& help);
  Summary& summary(const std::string& name, const std::string& help);

  /// Returns all metrics in the Prometheus text format, version 0.0.4.
  std::string Render() const;

 private:
  using Metric = std::variant<std::unique_ptr<Counter>,
                              std::unique_ptr<Gauge>,
                              std::unique_ptr<Summary>>;
  template <class T>
  T& FindOrCreate(const std::string& name, const std::string& help);

  // Keyed by name with labels. The map is ordered, so that Render() writes the
  // metrics of a family together.
  std::map<std::string, Metric> m_metrics;
  // Keyed by family name.
  std::map<std::string, std::string> m_help;
};

}  // namespace cowslip

#endif  // SOURCE_METRICS_METRICS_REGISTRY_H_
