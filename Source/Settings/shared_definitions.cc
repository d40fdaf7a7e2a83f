#include "Settings/shared_definitions.h"

namespace cowslip {

namespace {

constexpr char kDefinitions[] = R"({
  "name": {"type": "string", "minLength": 1, "maxLength": 128},
  "endpoint": {
    "type": "object",
    "additionalProperties": false,
    "required": ["address", "port"],
    "properties": {
      "address": {"type": "string", "minLength": 2},
      "port": {"type": "integer", "minimum": 0, "maximum": 65535}
    }
  }
})";

}  // namespace

nlohmann::json MakeSettingsSchema(const char* text) {
  nlohmann::json schema = nlohmann::json::parse(text);
  schema["definitions"] = nlohmann::json::parse(kDefinitions);
  return schema;
}

}  // namespace cowslip
