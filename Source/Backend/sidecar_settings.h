#ifndef SOURCE_BACKEND_SIDECAR_SETTINGS_H_
#define SOURCE_BACKEND_SIDECAR_SETTINGS_H_

#include <chrono>

#include <nlohmann/json.hpp>

#include "Backend/gate_options.h"
#include "Base/endpoint.h"
#include "Base/ids.h"
#include "Base/time.h"

namespace cowslip {

/// \class SidecarSettings
/// \brief The settings of `cowslip-side`, as read from its settings file.
struct SidecarSettings {
  VmId vm;
  RegionId region;
  /// Listens for peer links of the entries.
  Endpoint link;
  /// Listens for operators, metric scrapers and controllers that send orders.
  Endpoint admin;
  /// The backend server: a model engine or a plain service.
  Endpoint engine;
  /// The platform's object API.
  Endpoint platform;
  GateOptions gate;
  /// How long a shutdown waits for running requests.
  Duration drain_timeout = std::chrono::minutes(10);
  /// How long a shutdown stays up after it was announced, to refuse requests
  /// that the entries sent before the announcement reached them.
  Duration goodbye_linger = std::chrono::milliseconds(1500);
};

/// The JSON Schema of the settings file.
const nlohmann::json& SidecarSettingsSchema();

/// Reads settings that have been validated against the schema.
SidecarSettings ReadSidecarSettings(const nlohmann::json& json);

}  // namespace cowslip

#endif  // SOURCE_BACKEND_SIDECAR_SETTINGS_H_
