#include "Backend/sidecar_settings.h"

#include <string>

#include "Settings/shared_definitions.h"

namespace cowslip {

namespace {

using nlohmann::json;

constexpr char kSchema[] = R"({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "type": "object",
  "additionalProperties": false,
  "required": ["vm", "region", "zone", "service", "link", "admin", "engine",
               "platform", "slots"],
  "properties": {
    "vm": {"$ref": "#/definitions/name"},
    "region": {"$ref": "#/definitions/name"},
    "zone": {"$ref": "#/definitions/name"},
    "service": {"$ref": "#/definitions/name"},
    "kind": {"enum": ["engine", "plain"]},
    "link": {"$ref": "#/definitions/endpoint"},
    "admin": {"$ref": "#/definitions/endpoint"},
    "engine": {"$ref": "#/definitions/endpoint"},
    "platform": {"$ref": "#/definitions/endpoint"},
    "slots": {"type": "integer", "minimum": 1, "maximum": 4096},
    "headroom": {"type": "integer", "minimum": 0, "maximum": 4096},
    "gate": {"enum": ["none", "headroom", "preempt"]},
    "drain_timeout_ms": {"type": "integer", "minimum": 0, "maximum": 3600000},
    "goodbye_linger_ms": {"type": "integer", "minimum": 0, "maximum": 60000},
    "max_waiting_online": {"type": "integer", "minimum": 0, "maximum": 100000},
    "max_ready_batch": {"type": "integer", "minimum": 0, "maximum": 100000}
  }
})";

// With preemption, reserving free slots brings almost no benefit.
constexpr uint32_t kDefaultHeadroom = 0;

GatePolicy ReadPolicy(const json& settings) {
  const std::string gate = settings.value("gate", "preempt");
  const uint32_t headroom = settings.value("headroom", kDefaultHeadroom);
  if (gate == "none") {
    return NoGate();
  }
  if (gate == "headroom") {
    return Headroom{.headroom = headroom};
  }
  return HeadroomWithPreemption{.headroom = headroom};
}

GateOptions ReadGate(const json& settings) {
  GateOptions gate;
  gate.service = settings.at("service").get<ServiceId>();
  gate.zone = settings.at("zone").get<ZoneId>();
  gate.kind = settings.value("kind", "engine") == "plain"
                  ? BackendKind::kPlain
                  : BackendKind::kEngine;
  gate.policy = ReadPolicy(settings);
  gate.slots = settings.at("slots").get<uint32_t>();
  gate.max_waiting_online =
      settings.value("max_waiting_online", gate.max_waiting_online);
  gate.max_ready_batch =
      settings.value("max_ready_batch", gate.max_ready_batch);
  return gate;
}

Duration Milliseconds(const json& settings,
                      const char* name,
                      Duration fallback) {
  if (!settings.contains(name)) {
    return fallback;
  }
  return std::chrono::milliseconds(settings.at(name).get<int64_t>());
}

}  // namespace

const json& SidecarSettingsSchema() {
  static const json schema = MakeSettingsSchema(kSchema);
  return schema;
}

SidecarSettings ReadSidecarSettings(const json& settings) {
  SidecarSettings read{.vm = settings.at("vm").get<VmId>(),
                       .region = settings.at("region").get<RegionId>(),
                       .link = settings.at("link").get<Endpoint>(),
                       .admin = settings.at("admin").get<Endpoint>(),
                       .engine = settings.at("engine").get<Endpoint>(),
                       .platform = settings.at("platform").get<Endpoint>(),
                       .gate = ReadGate(settings)};
  read.drain_timeout =
      Milliseconds(settings, "drain_timeout_ms", read.drain_timeout);
  read.goodbye_linger =
      Milliseconds(settings, "goodbye_linger_ms", read.goodbye_linger);
  return read;
}

}  // namespace cowslip
