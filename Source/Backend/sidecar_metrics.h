#ifndef SOURCE_BACKEND_SIDECAR_METRICS_H_
#define SOURCE_BACKEND_SIDECAR_METRICS_H_

#include <string>

#include "Exchange/exchange_messages.h"
#include "Metrics/metrics_registry.h"

namespace cowslip {

class GateCore;

/// \class SidecarMetrics
/// \brief The metrics of a sidecar.
class SidecarMetrics {
 public:
  /// Counts a reply that is sent to an entry.
  void Count(const ExchangeReplyMessage& message);
  /// Renders the gate's state and all counters as Prometheus text.
  std::string Render(const GateCore& gate);

 private:
  MetricsRegistry m_registry;
};

}  // namespace cowslip

#endif  // SOURCE_BACKEND_SIDECAR_METRICS_H_
