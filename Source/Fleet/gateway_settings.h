#ifndef SOURCE_FLEET_GATEWAY_SETTINGS_H_
#define SOURCE_FLEET_GATEWAY_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "Base/endpoint.h"
#include "Base/ids.h"
#include "Base/time.h"

namespace cowslip {

/// \class GatewaySettings
/// \brief What one process learns about its VM and its deployment.
struct GatewaySettings {
  VmId vm;
  ZoneId zone;
  std::string address;
  /// Where callers connect; absent where the process serves none.
  std::optional<Endpoint> listen_callers;
  /// Where the balancer asks whether this VM takes new connections.
  std::optional<Endpoint> listen_ready;
  /// The first port that the system's own processes may use among themselves.
  uint16_t first_internal_port = 0;
  uint16_t last_internal_port = 0;
  Endpoint store;
  /// How long a process may take to end after SIGTERM.
  Duration stop_grace = std::chrono::seconds(8);
  /// How long results stay readable after a job was submitted.
  Duration job_retention = std::chrono::seconds(120);

  friend bool operator==(const GatewaySettings&,
                         const GatewaySettings&) = default;
};

}  // namespace cowslip

#endif  // SOURCE_FLEET_GATEWAY_SETTINGS_H_
