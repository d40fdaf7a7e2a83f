#ifndef SOURCE_FLEET_FLEET_CONFIGURATION_H_
#define SOURCE_FLEET_FLEET_CONFIGURATION_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Base/ids.h"
#include "Base/time.h"
#include "Fleet/home_regions.h"
#include "Fleet/request_rate.h"
#include "Fleet/traffic_split.h"

namespace cowslip {

/// Whether a request may be run again, and the form of its response.
enum class RequestKind {
  /// May run more than once.
  kSafe,
  /// Runs at most once for each attempt of the client.
  kUnsafe,
  /// The response is a stream of events; as kUnsafe unless the route is
  /// resumable.
  kStreaming,
  /// Submits a batch job.
  kBatch,
};

/// \class FleetRoute
/// \brief Maps requests to services, with the limits and latency targets that
/// apply to them.
struct FleetRoute {
  RouteId id;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  RequestKind kind = RequestKind::kUnsafe;
  /// Maximum time from the arrival of a request to the end of its response; a
  /// caller may set a shorter one.
  Duration timeout = std::chrono::seconds(5);
  /// Target time until the response, or until the first event of a stream.
  Duration target_latency = std::chrono::seconds(1);
  /// Target for the longest interval between two events of a stream.
  Duration target_event_interval = std::chrono::seconds(1);
  /// 0 is the most urgent.
  int priority = 0;
  std::vector<TrafficShare> split;
  /// Maximum number of backend servers to which one request is sent.
  uint32_t max_attempts = 1;
  /// Online requests may come without an API key.
  bool is_public = false;
  /// An interrupted stream may be resumed after its last event on another
  /// backend server.
  bool resumable = false;
  /// For batch jobs: target time from the first submission to the results.
  Duration completion_target = std::chrono::seconds(60);
  /// For batch jobs: time from the first submission after which unfinished
  /// items may be abandoned.
  Duration retention = std::chrono::seconds(600);
  /// For batch jobs: limit on the tokens of one organisation's accepted items
  /// that have no result yet, over all gateways. 0 means no limit; nullopt if
  /// the route declares none.
  std::optional<uint64_t> max_waiting_tokens;
  /// Where the requests of the route may run.
  HomeRegions home_regions;

  /// Whether the route sends some requests to the service.
  bool SplitsTo(const ServiceId& service) const {
    return std::any_of(
        split.begin(), split.end(),
        [&](const TrafficShare& share) { return share.service == service; });
  }
  /// Whether the route sends all requests to the service.
  bool SplitsOnlyTo(const ServiceId& service) const {
    return std::all_of(
        split.begin(), split.end(),
        [&](const TrafficShare& share) { return share.service == service; });
  }
  /// Whether a request may run more than once.
  bool idempotent() const {
    return kind == RequestKind::kSafe ||
           (kind == RequestKind::kStreaming && resumable);
  }
};

/// \class FleetService
/// \brief A set of interchangeable backend servers.
struct FleetService {
  ServiceId id;
  /// Maximum number of connections to one backend server, from all callers
  /// together.
  uint32_t max_connections = 100;
  /// The requests per second that a cold backend server tolerates; zero if its
  /// backend servers are never cold.
  RequestRate cold_rate;
  /// How long a backend server is cold after a start during traffic.
  Duration cold_start{0};
};

/// \class FleetOrganisation
/// \brief An organisation with its API keys and its fleet-wide quota.
struct FleetOrganisation {
  OrganisationId id;
  std::vector<std::string> keys;
  /// Overrides the priority of the route; negative if not set.
  int priority = -1;
  /// Quota in requests per second over all VMs together; 0 means no quota.
  double rate = 0;
  /// Number of requests above the rate that may arrive at once.
  double burst = 0;
  /// Where the requests of the organisation may run.
  HomeRegions home_regions;
};

/// \class CallerLimits
/// \brief Size limits and read timeouts for callers' requests.
struct CallerLimits {
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 4 << 20;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

/// \class FleetConfigurationParts
/// \brief The contents of a FleetConfiguration, without its indexes.
struct FleetConfigurationParts {
  ConfigVersion version;
  std::vector<FleetRoute> routes;
  std::vector<FleetService> services;
  std::vector<FleetOrganisation> organisations;
  /// False if the operators declare no organisations; then no request needs a
  /// key.
  bool keys_required = false;
  CallerLimits limits;
};

/// \class FleetConfiguration
/// \brief One version of the operators' configuration, indexed for lookups.
/// Immutable; pointers into it stay valid for its lifetime.
class FleetConfiguration {
 public:
  explicit FleetConfiguration(FleetConfigurationParts parts);
  FleetConfiguration(const FleetConfiguration&) = delete;
  FleetConfiguration& operator=(const FleetConfiguration&) = delete;

  ConfigVersion version() const { return m_parts.version; }
  bool keys_required() const { return m_parts.keys_required; }
  const CallerLimits& limits() const { return m_parts.limits; }
  const std::vector<FleetRoute>& routes() const { return m_parts.routes; }
  const std::vector<FleetService>& services() const { return m_parts.services; }
  const std::vector<FleetOrganisation>& organisations() const {
    return m_parts.organisations;
  }

  /// Returns the route of the host with the longest matching prefix of `path`,
  /// or null.
  const FleetRoute* FindRoute(std::string_view host,
                              std::string_view path) const;
  const FleetRoute* FindRoute(const RouteId& id) const;
  const FleetOrganisation* FindOrganisation(const OrganisationId& id) const;
  /// Where requests of the organisation on the route may run. What is not
  /// declared restricts nothing.
  HomeRegions HomeRegionsFor(const RouteId& route,
                             const OrganisationId& organisation) const;
  /// Whether any route or organisation has home regions.
  bool declares_home_regions() const { return m_declares_home_regions; }
  /// Returns the organisation that has the API key, or null. Looks up the key's
  /// digest, so that the time of the lookup reveals nothing about other keys.
  const FleetOrganisation* FindOrganisationByKey(std::string_view key) const;

 private:
  FleetConfigurationParts m_parts;
  bool m_declares_home_regions = false;
  std::unordered_map<std::string, std::vector<const FleetRoute*>>
      m_routes_by_host;
  std::unordered_map<RouteId, const FleetRoute*> m_routes;
  std::map<OrganisationId, const FleetOrganisation*> m_organisations;
  std::unordered_map<Digest, const FleetOrganisation*> m_organisations_by_key;
};

/// Returns the host in the form used for comparisons: lower case, without a
/// port and without the dot that ends a fully qualified name.
std::string NormaliseHost(std::string_view host);

}  // namespace cowslip

#endif  // SOURCE_FLEET_FLEET_CONFIGURATION_H_
