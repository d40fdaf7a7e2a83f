#include "Platform/platform_json.h"

#include <nlohmann/json.hpp>

#include "Base/json.h"

namespace cowslip {

namespace {

// A listing of many long keys is larger than the largest value.
constexpr JsonLimits kResponseLimits = {.max_bytes = 64 << 20, .max_depth = 8};

// Parses a response body and converts it with `read`.
template <class T, class Read>
Result<T> Decode(const std::string& body, Read read) {
  const Result<nlohmann::json> parsed = ParseJson(body, kResponseLimits);
  if (!parsed.has_value()) {
    return Error(ErrorKind::kMalformedMessage, parsed.error().message);
  }
  try {
    return read(parsed.value());
  } catch (const nlohmann::json::exception& thrown) {
    return Error(ErrorKind::kMalformedMessage,
                 std::string("The platform's answer has another form: ") +
                     thrown.what() +
                     ". Check that the settings name the platform's port.");
  }
}

nlohmann::json VmToJson(const VmRecord& vm) {
  return {{"vm", vm.vm},
          {"role", vm.role},
          {"region", vm.region},
          {"zone", vm.zone},
          {"service", vm.service},
          {"link_address", vm.link_address},
          {"link_port", vm.link_port},
          {"leaving", vm.leaving}};
}

VmRecord VmFromJson(const nlohmann::json& json) {
  return VmRecord{.vm = VmId(json.at("vm").get<std::string>()),
                  .role = json.at("role"),
                  .region = RegionId(json.value("region", "")),
                  .zone = ZoneId(json.value("zone", "")),
                  .service = ServiceId(json.value("service", "")),
                  .link_address = json.at("link_address"),
                  .link_port = json.at("link_port"),
                  .leaving = json.value("leaving", false)};
}

nlohmann::json ChangeToJson(const ObjectChange& change) {
  nlohmann::json json = {{"key", change.key}, {"version", nullptr}};
  if (change.version.has_value()) {
    json["version"] = *change.version;
  }
  return json;
}

ObjectChange ChangeFromJson(const nlohmann::json& json) {
  ObjectChange change{.key = ObjectKey(json.at("key").get<std::string>())};
  if (!json.at("version").is_null()) {
    change.version = json["version"].get<ObjectVersion>();
  }
  return change;
}

}  // namespace

std::string EncodeListing(const std::vector<ListedObject>& objects) {
  nlohmann::json list = nlohmann::json::array();
  for (const ListedObject& object : objects) {
    list.push_back({{"key", object.key}, {"version", object.version}});
  }
  return DumpJson({{"objects", std::move(list)}});
}

Result<std::vector<ListedObject>> DecodeListing(const std::string& body) {
  using Objects = std::vector<ListedObject>;
  return Decode<Objects>(body, [](const nlohmann::json& json) {
    Objects objects;
    for (const nlohmann::json& object : json.at("objects")) {
      objects.push_back({ObjectKey(object.at("key").get<std::string>()),
                         object.at("version").get<ObjectVersion>()});
    }
    return objects;
  });
}

std::string EncodeWatchResult(const WatchResult& result) {
  nlohmann::json changes = nlohmann::json::array();
  for (const ObjectChange& change : result.changes) {
    changes.push_back(ChangeToJson(change));
  }
  return DumpJson({{"revision", result.revision},
                   {"compacted", result.compacted},
                   {"changes", std::move(changes)}});
}

Result<WatchResult> DecodeWatchResult(const std::string& body) {
  return Decode<WatchResult>(body, [](const nlohmann::json& json) {
    WatchResult result;
    result.revision = json.at("revision").get<ObjectVersion>();
    result.compacted = json.at("compacted");
    for (const nlohmann::json& change : json.at("changes")) {
      result.changes.push_back(ChangeFromJson(change));
    }
    return result;
  });
}

std::string EncodeVmList(const std::vector<VmRecord>& vms) {
  nlohmann::json list = nlohmann::json::array();
  for (const VmRecord& vm : vms) {
    list.push_back(VmToJson(vm));
  }
  return DumpJson({{"vms", std::move(list)}});
}

Result<std::vector<VmRecord>> DecodeVmList(const std::string& body) {
  using Vms = std::vector<VmRecord>;
  return Decode<Vms>(body, [](const nlohmann::json& json) {
    Vms vms;
    for (const nlohmann::json& vm : json.at("vms")) {
      vms.push_back(VmFromJson(vm));
    }
    return vms;
  });
}

}  // namespace cowslip
