#ifndef SOURCE_CONFIGURATION_SAVED_CONFIGURATION_H_
#define SOURCE_CONFIGURATION_SAVED_CONFIGURATION_H_

#include <optional>
#include <string>

#include "Base/result.h"
#include "Configuration/configuration_events.h"

namespace cowslip {

/// Writes the configuration in force to the data folder, whole or not at all.
/// Errors: kUnavailable.
Result<void> WriteSavedConfiguration(const std::string& folder,
                                     const SavedConfiguration& saved);

/// Reads it back; nullopt when there is none or it is damaged.
std::optional<SavedConfiguration> ReadSavedConfiguration(
    const std::string& folder);

}  // namespace cowslip

#endif  // SOURCE_CONFIGURATION_SAVED_CONFIGURATION_H_
