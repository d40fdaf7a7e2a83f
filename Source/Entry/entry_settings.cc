#include "Entry/entry_settings.h"

#include "Settings/shared_definitions.h"

namespace cowslip {

namespace {

using nlohmann::json;

constexpr char kSchema[] = R"({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "type": "object",
  "additionalProperties": false,
  "required": ["vm", "region", "zone", "http", "admin", "link", "platform"],
  "properties": {
    "vm": {"$ref": "#/definitions/name"},
    "region": {"$ref": "#/definitions/name"},
    "zone": {"$ref": "#/definitions/name"},
    "http": {"$ref": "#/definitions/endpoint"},
    "admin": {"$ref": "#/definitions/endpoint"},
    "link": {"$ref": "#/definitions/endpoint"},
    "platform": {"$ref": "#/definitions/endpoint"},
    "data_folder": {"type": "string"},
    "drain_delay_ms": {"type": "integer", "minimum": 0, "maximum": 60000},
    "drain_timeout_ms": {"type": "integer", "minimum": 0, "maximum": 3600000},
    "key_trust_ms": {"type": "integer", "minimum": 1000, "maximum": 600000},
    "max_body_bytes": {"type": "integer", "minimum": 1024,
                       "maximum": 1073741824}
  }
})";

// A job of 330,000 small items fits in one body.
constexpr size_t kDefaultMaxBodyBytes = 256 << 20;

Duration Milliseconds(const json& settings, const char* name, int fallback) {
  return std::chrono::milliseconds(settings.value(name, fallback));
}

}  // namespace

const json& EntrySettingsSchema() {
  static const json schema = MakeSettingsSchema(kSchema);
  return schema;
}

EntrySettings ReadEntrySettings(const json& settings) {
  return {
      .vm = settings.at("vm").get<VmId>(),
      .region = settings.at("region").get<RegionId>(),
      .zone = settings.at("zone").get<ZoneId>(),
      .http = settings.at("http").get<Endpoint>(),
      .admin = settings.at("admin").get<Endpoint>(),
      .link = settings.at("link").get<Endpoint>(),
      .platform = settings.at("platform").get<Endpoint>(),
      .data_folder = settings.value("data_folder", std::string()),
      .drain_delay = Milliseconds(settings, "drain_delay_ms", 500),
      .drain_timeout = Milliseconds(settings, "drain_timeout_ms", 600000),
      .key_trust = Milliseconds(settings, "key_trust_ms", 30000),
      .max_body_bytes = settings.value("max_body_bytes", kDefaultMaxBodyBytes)};
}

}  // namespace cowslip
