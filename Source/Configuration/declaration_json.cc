#include "Configuration/declaration_json.h"

#include <algorithm>
#include <map>
#include <utility>

#include "Base/json.h"
#include "Base/overloaded.h"

namespace cowslip {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr char kOpen[] = "open";
constexpr char kAllOrganisations[] = "all-organisations";
constexpr char kPrefix[] = "prefix";
constexpr char kExact[] = "exact";
// Keeps a corrupt number from overflowing the duration: about a month.
constexpr int64_t kMaxMilliseconds = int64_t{1} << 31;

Duration ReadMilliseconds(const json& source,
                          const char* field,
                          Duration absent) {
  const int64_t read = source.value(field, ToMillis(absent));
  return milliseconds(std::clamp<int64_t>(read, 0, kMaxMilliseconds));
}

json ToJson(const RouteAllow& allow) {
  return std::visit(Overloaded{[](const AllowOpen&) -> json { return kOpen; },
                               [](const AllowAllOrganisations&) -> json {
                                 return kAllOrganisations;
                               },
                               [](const AllowListed& listed) -> json {
                                 return listed.organisations;
                               }},
                    allow);
}

RouteAllow AllowFromJson(const json& source) {
  if (!source.is_string()) {
    return AllowListed{source.get<std::vector<OrganisationId>>()};
  }
  if (source == kOpen) {
    return AllowOpen{};
  }
  if (source == kAllOrganisations) {
    return AllowAllOrganisations{};
  }
  // An unknown word must not open the route.
  return AllowListed{};
}

int64_t ToEpochMilliseconds(WallTime time) {
  return time.time_since_epoch().count();
}

KeyRecord KeyFromJson(const json& source) {
  KeyRecord key{.digest = source.at("digest").get<Digest>(),
                .organisation = source.at("organisation").get<OrganisationId>(),
                .label = source.value("label", ""),
                .created = WallTime(
                    milliseconds(source.value("created_ms", int64_t{0})))};
  if (source.contains("withdrawn_ms")) {
    key.withdrawn =
        WallTime(milliseconds(source.at("withdrawn_ms").get<int64_t>()));
  }
  return key;
}

// Runs a reader that may throw, since nlohmann reports by exceptions.
template <class T, class Reader>
Result<T> Decode(std::string_view bytes, const Reader& reader) {
  Result<json> parsed = ParseJson(bytes, {.max_bytes = 4u << 20});
  if (!parsed.has_value()) {
    return Error(ErrorKind::kMalformedMessage, parsed.error().message);
  }
  try {
    return reader(parsed.value());
  } catch (const json::exception& error) {
    return Error(ErrorKind::kMalformedMessage,
                 std::string("Upgrade this process or publish again: ") +
                     error.what() + ".");
  }
}

// Writes the values of a hash map in the order of their ids.
template <class Shard>
json SortedArray(const Shard& shard) {
  std::map<std::string, json> sorted;
  for (const auto& [id, value] : shard) {
    sorted.emplace(id.value(), ToJson(value));
  }
  json array = json::array();
  for (auto& [id, value] : sorted) {
    array.push_back(std::move(value));
  }
  return array;
}

}  // namespace

json ToJson(const RouteDeclaration& route) {
  const std::string prefix = route.service.value() + ".";
  return {{"name", route.id.value().substr(prefix.size())},
          {"path", route.path},
          {"match", route.match == PathMatch::kPrefix ? kPrefix : kExact},
          {"methods", route.methods},
          {"allow", ToJson(route.allow)},
          {"idempotent", route.idempotent},
          {"timeout_ms", ToMillis(route.timeout)},
          {"max_body_bytes", route.max_body_bytes},
          {"batchable", route.batchable}};
}

json ToJson(const BatchDeclaration& batch) {
  return {{"name", batch.id},
          {"default_deadline_ms", ToMillis(batch.default_deadline)},
          {"max_items", batch.max_items},
          {"max_attempts", batch.max_attempts},
          {"max_item_bytes", batch.max_item_bytes}};
}

json ToJson(const ServiceDeclaration& service) {
  json routes = json::array();
  for (const RouteDeclaration& route : service.routes) {
    routes.push_back(ToJson(route));
  }
  json classes = json::array();
  for (const BatchDeclaration& batch : service.batches) {
    classes.push_back(ToJson(batch));
  }
  return {
      {"service", service.id}, {"routes", routes}, {"batch_classes", classes}};
}

json DescribeService(const ServiceDeclaration& service) {
  json routes = json::object();
  for (const RouteDeclaration& route : service.routes) {
    routes[route.id.value()] = ToJson(route);
  }
  json classes = json::object();
  for (const BatchDeclaration& batch : service.batches) {
    classes[batch.id.value()] = ToJson(batch);
  }
  return {{"routes", routes}, {"batch_classes", classes}};
}

json ToJson(const OrganisationDeclaration& organisation) {
  return {{"id", organisation.id},
          {"set", organisation.set},
          {"rate", organisation.rate},
          {"burst", organisation.burst},
          {"weight", organisation.weight}};
}

json ToJson(const KeyRecord& key) {
  json result = {{"digest", key.digest},
                 {"organisation", key.organisation},
                 {"label", key.label},
                 {"created_ms", ToEpochMilliseconds(key.created)}};
  if (key.withdrawn.has_value()) {
    result["withdrawn_ms"] = ToEpochMilliseconds(*key.withdrawn);
  }
  return result;
}

RouteDeclaration RouteFromJson(const ServiceId& service, const json& source) {
  RouteDeclaration route;
  const std::string name = source.at("name").get<std::string>();
  route.id = RouteId(service.value() + "." + name);
  route.service = service;
  source.at("path").get_to(route.path);
  route.match = source.value("match", kExact) == kPrefix ? PathMatch::kPrefix
                                                         : PathMatch::kExact;
  source.at("methods").get_to(route.methods);
  route.allow = AllowFromJson(source.at("allow"));
  route.idempotent = source.value("idempotent", route.idempotent);
  route.timeout = ReadMilliseconds(source, "timeout_ms", route.timeout);
  route.max_body_bytes = source.value("max_body_bytes", route.max_body_bytes);
  route.batchable = source.value("batchable", route.batchable);
  return route;
}

BatchDeclaration BatchFromJson(const ServiceId& service, const json& source) {
  BatchDeclaration batch;
  source.at("name").get_to(batch.id);
  batch.service = service;
  batch.default_deadline =
      ReadMilliseconds(source, "default_deadline_ms", batch.default_deadline);
  batch.max_items = source.value("max_items", batch.max_items);
  batch.max_attempts = source.value("max_attempts", batch.max_attempts);
  batch.max_item_bytes = source.value("max_item_bytes", batch.max_item_bytes);
  return batch;
}

OrganisationDeclaration OrganisationFromJson(const OrganisationSetId& set,
                                             const json& source) {
  OrganisationDeclaration organisation;
  source.at("id").get_to(organisation.id);
  organisation.set = set;
  source.at("rate").get_to(organisation.rate);
  source.at("burst").get_to(organisation.burst);
  organisation.weight = source.value("weight", organisation.weight);
  return organisation;
}

std::string EncodeService(const ServiceDeclaration& service) {
  return DumpJson(ToJson(service));
}

std::string EncodeShard(const OrganisationShard& shard) {
  return DumpJson({{"organisations", SortedArray(shard)}});
}

std::string EncodeShard(const KeyShard& shard) {
  return DumpJson({{"keys", SortedArray(shard)}});
}

Result<ServiceDeclaration> DecodeService(std::string_view bytes) {
  return Decode<ServiceDeclaration>(bytes, [](const json& source) {
    ServiceDeclaration service;
    source.at("service").get_to(service.id);
    for (const json& route : source.at("routes")) {
      service.routes.push_back(RouteFromJson(service.id, route));
    }
    for (const json& batch : source.at("batch_classes")) {
      service.batches.push_back(BatchFromJson(service.id, batch));
    }
    return service;
  });
}

Result<OrganisationShard> DecodeOrganisationShard(std::string_view bytes) {
  return Decode<OrganisationShard>(bytes, [](const json& source) {
    OrganisationShard shard;
    for (const json& each : source.at("organisations")) {
      auto organisation =
          OrganisationFromJson(each.at("set").get<OrganisationSetId>(), each);
      shard.emplace(organisation.id, organisation);
    }
    return shard;
  });
}

Result<KeyShard> DecodeKeyShard(std::string_view bytes) {
  return Decode<KeyShard>(bytes, [](const json& source) {
    KeyShard shard;
    for (const json& each : source.at("keys")) {
      KeyRecord key = KeyFromJson(each);
      shard.emplace(key.digest, key);
    }
    return shard;
  });
}

}  // namespace cowslip
