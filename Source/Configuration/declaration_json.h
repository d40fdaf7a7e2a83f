#ifndef SOURCE_CONFIGURATION_DECLARATION_JSON_H_
#define SOURCE_CONFIGURATION_DECLARATION_JSON_H_

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "Base/result.h"
#include "Configuration/declarations.h"
#include "Configuration/shards.h"

namespace cowslip {

// The JSON of declaration files and of content objects. Readers ignore fields
// that they do not know, so that an older process takes newer contents.

nlohmann::json ToJson(const RouteDeclaration& route);
nlohmann::json ToJson(const BatchDeclaration& batch);
nlohmann::json ToJson(const ServiceDeclaration& service);
nlohmann::json ToJson(const OrganisationDeclaration& organisation);
nlohmann::json ToJson(const KeyRecord& key);

/// A service with its routes and batch classes by name, so that two versions
/// compare field by field.
nlohmann::json DescribeService(const ServiceDeclaration& service);

/// Throw nlohmann::json::exception on a missing field or a wrong type.
RouteDeclaration RouteFromJson(const ServiceId& service,
                               const nlohmann::json& json);
BatchDeclaration BatchFromJson(const ServiceId& service,
                               const nlohmann::json& json);
OrganisationDeclaration OrganisationFromJson(const OrganisationSetId& set,
                                             const nlohmann::json& json);

/// Content objects: the same declarations always give the same bytes.
std::string EncodeService(const ServiceDeclaration& service);
std::string EncodeShard(const OrganisationShard& shard);
std::string EncodeShard(const KeyShard& shard);

/// Errors: kMalformedMessage.
Result<ServiceDeclaration> DecodeService(std::string_view bytes);
Result<OrganisationShard> DecodeOrganisationShard(std::string_view bytes);
Result<KeyShard> DecodeKeyShard(std::string_view bytes);

}  // namespace cowslip

#endif  // SOURCE_CONFIGURATION_DECLARATION_JSON_H_
