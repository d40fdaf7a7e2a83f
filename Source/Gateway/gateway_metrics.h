#ifndef SOURCE_GATEWAY_GATEWAY_METRICS_H_
#define SOURCE_GATEWAY_GATEWAY_METRICS_H_

#include <string>

#include "Base/time.h"
#include "Metrics/metrics_registry.h"

namespace cowslip {

class Counter;
class Summary;

/// \class GatewayMetrics
/// \brief The counters, gauges and latency summaries of a gateway.
class GatewayMetrics {
 public:
  GatewayMetrics();

  /// Counts a request that has ended. `outcome` becomes a label value, so it
  /// must be one of a few fixed words.
  void CountRequest(const std::string& outcome);
  /// Counts an attempt at a backend server that has ended.
  void CountAttempt(const std::string& outcome);
  /// Counts a stall of an attempt, by what was done about it.
  void CountStall(const std::string& outcome);
  /// Counts a run of a batch item that has ended.
  void CountItemRun(const std::string& outcome);
  void RecordFirstByte(Duration after);
  void RecordRequestDuration(Duration took);
  void SetGauge(const std::string& name, const std::string& help, double value);

  std::string Render() const { return m_registry.Render(); }

 private:
  void IncrementCounter(const char* family,
                        const char* help,
                        const std::string& outcome);

  MetricsRegistry m_registry;
  Summary& m_first_byte;
  Summary& m_request_duration;
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_GATEWAY_METRICS_H_
