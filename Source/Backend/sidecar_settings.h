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
/// \brief The settings file of `cowslip-side`.
struct SidecarSettings {
  VmId vm;
  RegionId region;
  /// Towards the entries.
  Endpoint link;
  /// Towards operators, scrapers and deciders of orders.
  Endpoint admin;
  /// The engine or the plain service.
  Endpoint engine;
  /// The platform's object API.
  Endpoint platform;
  GateOptions gate;
  /// How long a shutdown waits for running requests.
  Duration drain_timeout = std::chrono::minutes(10);
  /// How long a shutdown keeps refusing work that was on its way when it said
  /// goodbye.
  Duration goodbye_linger = std::chrono::milliseconds(1500);
};

/// The JSON Schema of the settings file.
const nlohmann::json& SidecarSettingsSchema();

/// Reads settings that the schema has passed.
SidecarSettings ReadSidecarSettings(const nlohmann::json& json);

}  // namespace cowslip

#endif  // SOURCE_BACKEND_SIDECAR_SETTINGS_H_
