#include "Placement/route_history.h"

#include <algorithm>

#include "Fleet/fleet_configuration.h"

namespace cowslip {

void RouteHistory::Apply(const std::vector<FleetRoute>& routes,
                         MonotonicTime now) {
  std::map<RouteId, Route> next;
  for (const FleetRoute& route : routes) {
    const auto known = m_routes.find(route.id);
    Route& entry = next[route.id];
    if (known != m_routes.end()) {
      entry = known->second;
    } else if (m_has_configuration) {
      // Its requests may have taken another route before.
      entry.added = now;
    }
    for (auto& [service, left] : entry.services) {
      if (!left.has_value()) {
        left = now;
      }
    }
    for (const TrafficShare& share : route.split) {
      entry.services[share.service] = std::nullopt;
    }
    std::erase_if(entry.services, [&](const auto& service) {
      return service.second.has_value() && now - *service.second > m_memory;
    });
  }
  m_routes = std::move(next);
  m_has_configuration = true;
}

bool RouteHistory::LedOnlyTo(const RouteId& route,
                             const ServiceId& service,
                             MonotonicTime now) const {
  const auto found = m_routes.find(route);
  if (found == m_routes.end()) {
    return false;
  }
  const Route& known = found->second;
  if (known.added.has_value() && now - *known.added <= m_memory) {
    return false;
  }
  const auto leads = known.services.find(service);
  return leads != known.services.end() && !leads->second.has_value() &&
         std::all_of(known.services.begin(), known.services.end(),
                     [&](const auto& other) {
                       return other.first == service ||
                              (other.second.has_value() &&
                               now - *other.second > m_memory);
                     });
}

}  // namespace cowslip
