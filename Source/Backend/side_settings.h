#ifndef SOURCE_BACKEND_SIDE_SETTINGS_H_
#define SOURCE_BACKEND_SIDE_SETTINGS_H_

#include <chrono>

#include <nlohmann/json.hpp>

#include "Backend/gate_options.h"
#include "Base/endpoint.h"
#include "Base/ids.h"
#include "Base/time.h"

namespace cowslip {

/// \class SideSettings
/// \brief The settings file of `cowslip-side`.
struct SideSettings {
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
const nlohmann::json& SideSettingsSchema();

/// Reads settings that the schema has passed.
SideSettings ReadSideSettings(const nlohmann::json& json);

}  // namespace cowslip

#endif  // SOURCE_BACKEND_SIDE_SETTINGS_H_
