#include "Configuration/declaration_schema.h"

namespace cowslip {

namespace {

using nlohmann::json;

constexpr char kServiceSchema[] = R"({
  "type": "object",
  "required": ["kind", "service", "routes"],
  "additionalProperties": false,
  "properties": {
    "kind": {"type": "string"},
    "service": {"type": "string"},
    "routes": {
      "type": "array",
      "items": {
        "type": "object",
        "required": ["name", "path", "methods", "allow", "idempotent"],
        "additionalProperties": false,
        "properties": {
          "name": {"type": "string"},
          "path": {"type": "string"},
          "match": {"type": "string", "enum": ["exact", "prefix"]},
          "methods": {"type": "array", "items": {"type": "string"}},
          "allow": {"type": ["string", "array"], "items": {"type": "string"}},
          "idempotent": {"type": "boolean"},
          "timeout_ms": {
            "type": "integer", "minimum": 1, "maximum": 3600000
          },
          "max_body_bytes": {"type": "integer", "minimum": 1},
          "batchable": {"type": "boolean"}
        }
      }
    }
  }
})";

constexpr char kOrganisationsSchema[] = R"({
  "type": "object",
  "required": ["kind", "set", "organisations"],
  "additionalProperties": false,
  "properties": {
    "kind": {"type": "string"},
    "set": {"type": "string"},
    "organisations": {
      "type": "array",
      "items": {
        "type": "object",
        "required": ["id", "rate", "burst"],
        "additionalProperties": false,
        "properties": {
          "id": {"type": "string"},
          "rate": {"type": "number"},
          "burst": {"type": "number"},
          "weight": {"type": "number"}
        }
      }
    }
  }
})";

constexpr char kBatchSchema[] = R"({
  "type": "object",
  "required": ["kind", "service", "classes"],
  "additionalProperties": false,
  "properties": {
    "kind": {"type": "string"},
    "service": {"type": "string"},
    "classes": {
      "type": "array",
      "items": {
        "type": "object",
        "required": ["name"],
        "additionalProperties": false,
        "properties": {
          "name": {"type": "string"},
          "default_deadline_ms": {
            "type": "integer", "minimum": 1, "maximum": 604800000
          },
          "max_items": {"type": "integer", "minimum": 1},
          "max_attempts": {"type": "integer", "minimum": 1, "maximum": 20},
          "max_item_bytes": {"type": "integer", "minimum": 1}
        }
      }
    }
  }
})";

std::string FieldList(const json& properties) {
  std::string list;
  for (const auto& [name, schema] : properties.items()) {
    list += (list.empty() ? "" : ", ") + name;
  }
  return list;
}

void Walk(const json& schema,
          json& document,
          const std::string& pointer,
          std::vector<std::string>& lines) {
  if (document.is_array() && schema.contains("items")) {
    for (size_t i = 0; i < document.size(); ++i) {
      Walk(schema["items"], document[i], pointer + "/" + std::to_string(i),
           lines);
    }
  }
  if (!document.is_object() || !schema.contains("properties")) {
    return;
  }
  const json& properties = schema["properties"];
  for (auto field = document.begin(); field != document.end();) {
    const std::string here = pointer + "/" + field.key();
    if (properties.contains(field.key())) {
      Walk(properties[field.key()], field.value(), here, lines);
      ++field;
    } else {
      lines.push_back(here + ": unknown field; remove it or use one of " +
                      FieldList(properties));
      field = document.erase(field);
    }
  }
}

}  // namespace

const json* DeclarationSchema(std::string_view kind) {
  static const json service = json::parse(kServiceSchema);
  static const json organisations = json::parse(kOrganisationsSchema);
  static const json batch = json::parse(kBatchSchema);
  if (kind == "service") {
    return &service;
  }
  if (kind == "organisations") {
    return &organisations;
  }
  return kind == "batch" ? &batch : nullptr;
}

std::vector<std::string> TakeUnknownFields(const json& schema, json& document) {
  std::vector<std::string> lines;
  Walk(schema, document, "", lines);
  return lines;
}

}  // namespace cowslip
