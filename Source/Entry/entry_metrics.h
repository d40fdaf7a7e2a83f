#ifndef SOURCE_ENTRY_ENTRY_METRICS_H_
#define SOURCE_ENTRY_ENTRY_METRICS_H_

#include <string>

#include "Metrics/metrics_registry.h"

namespace cowslip {

struct BatchCounters;
class HttpObjectStore;
struct LimitsCounters;
class PeerLink;
class RequestCore;

/// \class EntryMetrics
/// \brief Renders an entry's counters for a Prometheus scraper.
class EntryMetrics {
 public:
  EntryMetrics(const RequestCore& requests,
               const PeerLink& link,
               const HttpObjectStore& store);

  /// Takes the counters of other slices; call these before Render().
  void Take(const LimitsCounters& counters);
  void Take(const BatchCounters& counters);
  /// Takes the present values and renders them.
  std::string Render();

 private:
  void TakeRequests();
  void TakeProcess();
  void Set(const std::string& name, const std::string& help, double value);

  const RequestCore& m_requests;
  const PeerLink& m_link;
  const HttpObjectStore& m_store;
  MetricsRegistry m_registry;
};

}  // namespace cowslip

#endif  // SOURCE_ENTRY_ENTRY_METRICS_H_
