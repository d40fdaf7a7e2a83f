#ifndef SOURCE_PLACEMENT_ROUTE_HISTORY_H_
#define SOURCE_PLACEMENT_ROUTE_HISTORY_H_

#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "Base/ids.h"
#include "Base/time.h"

namespace cowslip {

struct FleetRoute;

/// \class RouteHistory
/// \brief Knows to which services a route has led lately.
///
/// Answers a resumption of unknown origin after a route was moved: the stream
/// may have begun at the service from which the route was moved. Nothing is
/// known from before the first configuration that this process has applied.
class RouteHistory {
 public:
  /// `memory` is how long a service counts after the route has left it.
  explicit RouteHistory(Duration memory = std::chrono::seconds(30))
      : m_memory(memory) {}

  /// Takes over the routes of a configuration that comes into force.
  void Apply(const std::vector<FleetRoute>& routes, MonotonicTime now);

  /// Whether the route exists, and has led to this service alone for as long as
  /// a stream can be resumed.
  bool LedOnlyTo(const RouteId& route,
                 const ServiceId& service,
                 MonotonicTime now) const;

 private:
  struct Route {
    /// Unknown if the first configuration had it.
    std::optional<MonotonicTime> added;
    /// When the route left a service; nullopt while it leads there.
    std::map<ServiceId, std::optional<MonotonicTime>> services;
  };

  Duration m_memory;
  bool m_has_configuration = false;
  std::map<RouteId, Route> m_routes;
};

}  // namespace cowslip

#endif  // SOURCE_PLACEMENT_ROUTE_HISTORY_H_
