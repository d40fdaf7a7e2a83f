#ifndef SOURCE_FLEET_FLEET_CONFIGURATION_H_
#define SOURCE_FLEET_FLEET_CONFIGURATION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Base/ids.h"
#include "Base/time.h"

namespace cowslip {

/// What may be repeated, and how a request is answered.
enum class RequestKind {
  /// May run more than once.
  kSafe,
  /// Runs at most once for each attempt of the client.
  kUnsafe,
  /// Answered by a series of events; like kUnsafe unless it is resumable.
  kStreaming,
  /// Submits a batch job.
  kBatch,
};

/// \class TrafficShare
/// \brief One service's share of a route's requests.
struct TrafficShare {
  ServiceId service;
  uint32_t weight = 1;
};

/// \class FleetRoute
/// \brief Which requests go to which services, and within which bounds.
struct FleetRoute {
  RouteId id;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  RequestKind kind = RequestKind::kUnsafe;
  /// The longest that a request may be kept waiting.
  Duration timeout = std::chrono::seconds(5);
  /// Until the answer, or the first event of a stream.
  Duration target_latency = std::chrono::seconds(1);
  /// The longest pause between two events.
  Duration max_event_interval = std::chrono::seconds(1);
  /// 0 is the most urgent.
  int priority = 0;
  std::vector<TrafficShare> split;
  /// Backend servers that one request may be sent to.
  uint32_t max_attempts = 1;
  /// Asks for no key.
  bool is_public = false;
  /// A broken stream may go on after its last event at another backend server.
  bool resumable = false;
  /// For batch jobs: when results are due, from the first submission.
  Duration completion_target = std::chrono::seconds(60);
  /// For batch jobs: when an item may be given up, from the first submission.
  Duration retention = std::chrono::seconds(600);

  /// Whether a request may run more than once.
  bool idempotent() const {
    return kind == RequestKind::kSafe ||
           (kind == RequestKind::kStreaming && resumable);
  }
};

/// \class FleetService
/// \brief A set of backend servers that are alike.
struct FleetService {
  ServiceId id;
  /// Connections that one backend server takes from all callers together.
  uint32_t max_connections = 100;
};

/// \class FleetOrganisation
/// \brief An organisation with its keys and its fleet-wide quota.
struct FleetOrganisation {
  OrganisationId id;
  std::vector<std::string> keys;
  /// Goes before the route's priority; negative when it is not given.
  int priority = -1;
  /// Requests per second over all VMs together; 0 means no quota.
  double rate = 0;
  /// Requests above the rate that may come at once.
  double burst = 0;
};

/// \class CallerLimits
/// \brief What a caller may send, and how slowly.
struct CallerLimits {
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 4 << 20;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

/// \class FleetConfigurationParts
/// \brief The lists that a FleetConfiguration is made of.
struct FleetConfigurationParts {
  ConfigVersion version;
  std::vector<FleetRoute> routes;
  std::vector<FleetService> services;
  std::vector<FleetOrganisation> organisations;
  /// False when the operators declare no organisations at all: then no request
  /// needs a key.
  bool keys_required = false;
  CallerLimits limits;
};

/// \class FleetConfiguration
/// \brief One version of the operators' configuration. Immutable; pointers into
/// it live as long as it does.
class FleetConfiguration {
 public:
  explicit FleetConfiguration(FleetConfigurationParts parts);
  FleetConfiguration(const FleetConfiguration&) = delete;
  FleetConfiguration& operator=(const FleetConfiguration&) = delete;

  ConfigVersion version() const { return m_parts.version; }
  bool keys_required() const { return m_parts.keys_required; }
  const CallerLimits& limits() const { return m_parts.limits; }
  const std::vector<FleetService>& services() const { return m_parts.services; }
  const std::vector<FleetOrganisation>& organisations() const {
    return m_parts.organisations;
  }

  /// The route of that host with the longest prefix of `path`, or null.
  const FleetRoute* FindRoute(std::string_view host,
                              std::string_view path) const;
  const FleetRoute* FindRoute(const RouteId& id) const;
  const FleetOrganisation* FindOrganisation(const OrganisationId& id) const;
  /// The organisation that holds a key, or null. The lookup goes by the key's
  /// digest, so that its time tells nothing about other keys.
  const FleetOrganisation* FindOrganisationByKey(std::string_view key) const;

 private:
  FleetConfigurationParts m_parts;
  std::unordered_map<std::string, std::vector<const FleetRoute*>>
      m_routes_by_host;
  std::map<OrganisationId, const FleetOrganisation*> m_organisations;
  std::unordered_map<Digest, const FleetOrganisation*> m_organisations_by_key;
};

/// A host as it is compared: lower case, without a port.
std::string NormaliseHost(std::string_view host);

}  // namespace cowslip

#endif  // SOURCE_FLEET_FLEET_CONFIGURATION_H_
