#ifndef SOURCE_FLEET_GATEWAY_SETTINGS_H_
#define SOURCE_FLEET_GATEWAY_SETTINGS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Base/endpoint.h"
#include "Base/ids.h"
#include "Base/time.h"
#include "Fleet/cold_bounds.h"

namespace cowslip {

/// \class GatewaySettings
/// \brief The settings of one process: its VM, its addresses and its
/// deployment.
struct GatewaySettings {
  VmId vm;
  ZoneId zone;
  /// The region of this VM; empty if the settings do not tell it.
  RegionId region;
  /// The regions of availability zones.
  std::map<ZoneId, RegionId> zone_regions;
  std::string address;
  /// Address on which callers connect; absent if the process serves no callers.
  std::optional<Endpoint> listen_callers;
  /// Address on which the load balancer checks whether this VM accepts new
  /// connections.
  std::optional<Endpoint> listen_ready;
  /// First and last port of the range that the system's processes may use for
  /// connections to each other.
  uint16_t first_internal_port = 0;
  uint16_t last_internal_port = 0;
  Endpoint store;
  /// Maximum time from SIGTERM until the process exits.
  Duration stop_grace = std::chrono::seconds(8);
  /// Time for which results stay readable after the submission of a job.
  Duration job_retention = std::chrono::seconds(120);
  /// Time within which a new configuration, and a backend server's drain, must
  /// be in force at every process.
  Duration apply_bound = std::chrono::milliseconds(2000);
  /// One message for each value that cannot be used; the default applies.
  std::vector<std::string> unusable_values;
  /// The memory that this process may use; 0 if the settings name none.
  uint64_t memory_bytes = 0;
  /// Maximum time from the platform's acknowledgement of an evacuation until
  /// no request is sent to the zone; nullopt if the deployment has no
  /// evacuations.
  std::optional<Duration> evacuate_within;
  /// Bounds on the requests to cold backend servers; nullopt to treat them like
  /// any others.
  std::optional<ColdBounds> cold_bounds;

  friend bool operator==(const GatewaySettings&,
                         const GatewaySettings&) = default;
};

}  // namespace cowslip

#endif  // SOURCE_FLEET_GATEWAY_SETTINGS_H_
