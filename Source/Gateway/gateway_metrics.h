#ifndef SOURCE_GATEWAY_GATEWAY_METRICS_H_
#define SOURCE_GATEWAY_GATEWAY_METRICS_H_

#include <string>

#include "Base/time.h"
#include "Metrics/metrics_registry.h"

namespace cowslip {

class Counter;
class Summary;

/// \class GatewayMetrics
/// \brief The counters and quantiles of a gateway.
class GatewayMetrics {
 public:
  GatewayMetrics();

  /// One request has ended; `outcome` is one of a few fixed words.
  void RequestEnded(const std::string& outcome);
  /// One attempt at a backend server has ended.
  void AttemptEnded(const std::string& outcome);
  /// One batch item has left its backend server.
  void ItemEnded(const std::string& outcome);
  void FirstEvent(Duration after);
  void Total(Duration took);
  void SetGauge(const std::string& name, const std::string& help, double value);

  std::string Render() const { return m_registry.Render(); }

 private:
  void Count(const char* family, const char* help, const std::string& outcome);

  MetricsRegistry m_registry;
  Summary& m_first_event;
  Summary& m_total;
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_GATEWAY_METRICS_H_
