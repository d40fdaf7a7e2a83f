#include "Fleet/fleet_configuration.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "Base/sha256.h"

namespace cowslip {

std::string NormaliseHost(std::string_view host) {
  // An IPv6 address has colons of its own, in brackets.
  const size_t bracket = host.rfind(']');
  const size_t port = host.find(':', bracket == host.npos ? 0 : bracket);
  host = host.substr(0, port);
  if (host.ends_with('.')) {
    host.remove_suffix(1);
  }
  std::string lower(host);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

FleetConfiguration::FleetConfiguration(FleetConfigurationParts parts)
    : m_parts(std::move(parts)) {
  for (const FleetRoute& route : m_parts.routes) {
    m_routes_by_host[NormaliseHost(route.host)].push_back(&route);
    m_routes.emplace(route.id, &route);
    m_declares_home_regions |= route.home_regions.is_restricted();
  }
  for (auto& [host, routes] : m_routes_by_host) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const FleetRoute* a, const FleetRoute* b) {
                       return a->path_prefix.size() > b->path_prefix.size();
                     });
  }
  for (const FleetOrganisation& organisation : m_parts.organisations) {
    m_organisations[organisation.id] = &organisation;
    m_declares_home_regions |= organisation.home_regions.is_restricted();
    for (const std::string& key : organisation.keys) {
      m_organisations_by_key[Sha256(key)] = &organisation;
    }
  }
}

const FleetRoute* FleetConfiguration::FindRoute(std::string_view host,
                                                std::string_view path) const {
  const auto routes = m_routes_by_host.find(NormaliseHost(host));
  if (routes == m_routes_by_host.end()) {
    return nullptr;
  }
  for (const FleetRoute* route : routes->second) {
    if (path.starts_with(route->path_prefix)) {
      return route;
    }
  }
  return nullptr;
}

const FleetRoute* FleetConfiguration::FindRoute(const RouteId& id) const {
  const auto found = m_routes.find(id);
  return found == m_routes.end() ? nullptr : found->second;
}

const FleetOrganisation* FleetConfiguration::FindOrganisation(
    const OrganisationId& id) const {
  const auto found = m_organisations.find(id);
  return found == m_organisations.end() ? nullptr : found->second;
}

HomeRegions FleetConfiguration::HomeRegionsFor(
    const RouteId& route,
    const OrganisationId& organisation) const {
  const FleetRoute* fleet_route = FindRoute(route);
  const FleetOrganisation* fleet_organisation = FindOrganisation(organisation);
  HomeRegions regions;
  if (fleet_route != nullptr) {
    regions = fleet_route->home_regions;
  }
  if (fleet_organisation != nullptr) {
    regions = regions.Intersect(fleet_organisation->home_regions);
  }
  return regions;
}

const FleetOrganisation* FleetConfiguration::FindOrganisationByKey(
    std::string_view key) const {
  const auto found = m_organisations_by_key.find(Sha256(key));
  return found == m_organisations_by_key.end() ? nullptr : found->second;
}

}  // namespace cowslip
