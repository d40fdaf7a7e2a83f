#ifndef SOURCE_ENTRY_ENTRY_SETTINGS_H_
#define SOURCE_ENTRY_ENTRY_SETTINGS_H_

#include <string>

#include <nlohmann/json.hpp>

#include "Base/endpoint.h"
#include "Base/ids.h"
#include "Base/time.h"

namespace cowslip {

/// \class EntrySettings
/// \brief The settings file of `cowslip-entry`.
struct EntrySettings {
  VmId vm;
  RegionId region;
  ZoneId zone;
  /// Towards callers.
  Endpoint http;
  /// Towards operators and scrapers.
  Endpoint admin;
  /// Towards the other processes of the system.
  Endpoint link;
  /// The platform's object API.
  Endpoint platform;
  /// A folder for the last snapshot; empty on a VM that keeps nothing.
  std::string data_folder;
  /// How long a shutdown keeps accepting, so that the balancer notices.
  Duration drain_delay{0};
  /// How long a shutdown waits for running requests.
  Duration drain_timeout{0};
  /// How long a VM cut off from the store and all peers trusts its keys.
  Duration key_trust{0};
  size_t max_body_bytes = 0;
};

/// The JSON Schema of the settings file.
const nlohmann::json& EntrySettingsSchema();

/// Reads settings that the schema has passed.
EntrySettings ReadEntrySettings(const nlohmann::json& json);

}  // namespace cowslip

#endif  // SOURCE_ENTRY_ENTRY_SETTINGS_H_
