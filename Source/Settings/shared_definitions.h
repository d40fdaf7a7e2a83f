#ifndef SOURCE_SETTINGS_SHARED_DEFINITIONS_H_
#define SOURCE_SETTINGS_SHARED_DEFINITIONS_H_

#include <nlohmann/json.hpp>

namespace cowslip {

/// Parses the text of a settings schema and adds the definitions that daemons
/// share: `name`, a short text, and `endpoint`, an object of `address` and
/// `port`. The schema refers to them as `#/definitions/NAME`.
nlohmann::json MakeSettingsSchema(const char* text);

}  // namespace cowslip

#endif  // SOURCE_SETTINGS_SHARED_DEFINITIONS_H_
