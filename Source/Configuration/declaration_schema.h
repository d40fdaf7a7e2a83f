#ifndef SOURCE_CONFIGURATION_DECLARATION_SCHEMA_H_
#define SOURCE_CONFIGURATION_DECLARATION_SCHEMA_H_

#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace cowslip {

/// The JSON Schema of a declaration file of that kind (`service`,
/// `organisations`, `batch`), or null for an unknown kind.
const nlohmann::json* DeclarationSchema(std::string_view kind);

/// Removes from `document` the fields that the schema does not know, and
/// returns one line for each: `POINTER: what to change`.
std::vector<std::string> TakeUnknownFields(const nlohmann::json& schema,
                                           nlohmann::json& document);

}  // namespace cowslip

#endif  // SOURCE_CONFIGURATION_DECLARATION_SCHEMA_H_
