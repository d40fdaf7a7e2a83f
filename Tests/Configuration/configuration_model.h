#ifndef TESTS_CONFIGURATION_CONFIGURATION_MODEL_H_
#define TESTS_CONFIGURATION_CONFIGURATION_MODEL_H_

#include <map>
#include <string>
#include <vector>

#include "Base/sha256.h"
#include "Configuration/configuration_head.h"
#include "Configuration/declaration_json.h"
#include "Configuration/snapshot.h"

namespace cowslip {

/// \class ConfigurationLists
/// \brief The naive version of the configuration: plain lists, written out as
/// a head and contents for each version.
struct ConfigurationLists {
  ConfigurationHead head;
  std::vector<ServiceDeclaration> services;
  std::vector<OrganisationDeclaration> organisations;
  std::vector<KeyRecord> keys;

  /// Whether a snapshot holds just these lists.
  bool Matches(const Snapshot& snapshot) const {
    bool same = snapshot.version() == head.version &&
                snapshot.Services().size() == services.size() &&
                snapshot.Organisations().size() == organisations.size() &&
                snapshot.Keys().size() == keys.size();
    for (const ServiceDeclaration& each : services) {
      const ServiceDeclaration* found = snapshot.FindService(each.id);
      same = same && found != nullptr && *found == each;
    }
    for (const OrganisationDeclaration& each : organisations) {
      const OrganisationDeclaration* found = snapshot.FindOrganisation(each.id);
      same = same && found != nullptr && *found == each;
    }
    for (const KeyRecord& each : keys) {
      const KeyRecord* found = snapshot.FindKey(each.digest);
      same = same && found != nullptr && *found == each;
    }
    return same;
  }
};

/// \class ConfigurationModel
/// \brief The lists with the contents that were ever written.
struct ConfigurationModel : ConfigurationLists {
  std::map<Digest, std::string> contents;

  Digest Put(const std::string& bytes) {
    const Digest digest = Sha256(bytes);
    contents[digest] = bytes;
    return digest;
  }

  /// Writes the lists out as the next version.
  void Publish() {
    ++head.version;
    head.token = WriterToken("t" + std::to_string(head.version.value()));
    head.services.clear();
    head.organisations.clear();
    head.keys.clear();
    for (const ServiceDeclaration& service : services) {
      head.services[service.id.value()] = Put(EncodeService(service));
    }
    std::map<size_t, OrganisationShard> organisation_shards;
    for (const OrganisationDeclaration& each : organisations) {
      organisation_shards[ShardOf(each.id)][each.id] = each;
    }
    for (const auto& [shard, list] : organisation_shards) {
      head.organisations[ShardName(shard)] = Put(EncodeShard(list));
    }
    std::map<size_t, KeyShard> key_shards;
    for (const KeyRecord& each : keys) {
      key_shards[ShardOf(each.digest)][each.digest] = each;
    }
    for (const auto& [shard, list] : key_shards) {
      head.keys[ShardName(shard)] = Put(EncodeShard(list));
    }
  }

  void AddService(const std::string& name) {
    const ServiceId id(name);
    services.push_back({.id = id,
                        .routes = {{.id = RouteId(name + ".r"),
                                    .service = id,
                                    .path = "/" + name,
                                    .methods = {"GET"},
                                    .allow = AllowAllOrganisations{}}}});
  }
  void AddOrganisation(const std::string& name, double rate) {
    organisations.push_back({.id = OrganisationId(name),
                             .set = OrganisationSetId("x"),
                             .rate = rate,
                             .burst = 2});
  }
  void AddKey(const std::string& key, const std::string& organisation) {
    keys.push_back(
        {.digest = Sha256(key), .organisation = OrganisationId(organisation)});
  }
};

}  // namespace cowslip

#endif  // TESTS_CONFIGURATION_CONFIGURATION_MODEL_H_
