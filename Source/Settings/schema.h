#ifndef SOURCE_SETTINGS_SCHEMA_H_
#define SOURCE_SETTINGS_SCHEMA_H_

#include <string>

#include <nlohmann/json.hpp>

#include "Base/result.h"

namespace cowslip {

/// Checks `document` against a JSON Schema (draft 7). The error (kind
/// kInvalidArgument) has one line per violation: `SOURCE: POINTER: what to
/// change`, where `source_name` is the file the document came from.
Result<void> CheckSchema(const nlohmann::json& schema,
                         const nlohmann::json& document,
                         const std::string& source_name);

/// Reads a JSON file and checks it. Errors: kNotFound, kInvalidArgument,
/// kTooLarge.
Result<nlohmann::json> LoadJsonFile(const std::string& path,
                                    const nlohmann::json& schema);

}  // namespace cowslip

#endif  // SOURCE_SETTINGS_SCHEMA_H_
