#include "Configuration/configuration_change.h"

#include <algorithm>
#include <set>
#include <utility>

#include "Base/overloaded.h"
#include "Base/sha256.h"
#include "Configuration/declaration_json.h"

namespace cowslip {

namespace {

using nlohmann::json;

constexpr size_t kMinPrefixDigits = 8;

ChangeRefusal Refuse(ErrorKind kind,
                     const std::string& subject,
                     const std::string& message) {
  return {.kind = kind,
          .problems = {{.subject = subject, .message = message, .field = ""}}};
}

json Describe(const ServiceDeclaration* service) {
  return service == nullptr ? json() : DescribeService(*service);
}

json DescribeSet(const Snapshot& snapshot, const OrganisationSetId& set) {
  json members = json::object();
  for (const OrganisationDeclaration* each : snapshot.Organisations()) {
    if (each->set == set) {
      members[each->id.value()] = ToJson(*each);
    }
  }
  return members.empty() ? json() : members;
}

std::string KeySubject(const Digest& digest) {
  return "key " + digest.value().substr(0, kMinPrefixDigits);
}

// Names a content in the head, or drops the name of an empty one.
template <class Shard>
void PutShard(ComposedChange& composed,
              std::map<std::string, Digest>& named,
              size_t shard,
              const Shard& value) {
  if (value.empty()) {
    named.erase(ShardName(shard));
    return;
  }
  std::string bytes = EncodeShard(value);
  const Digest digest = Sha256(bytes);
  named[ShardName(shard)] = digest;
  composed.contents[digest] = std::move(bytes);
}

KeyShard ReadKeyShard(const Snapshot& current, size_t shard) {
  KeyShard keys;
  for (const KeyRecord* key : current.Keys()) {
    if (ShardOf(key->digest) == shard) {
      keys.emplace(key->digest, *key);
    }
  }
  return keys;
}

// Puts one key into force, and says so in the audit trail.
ComposedChange ReplaceKey(const ConfigurationHead& head,
                          const Snapshot& current,
                          const KeyRecord& key) {
  ComposedChange composed{.head = head};
  const size_t shard = ShardOf(key.digest);
  KeyShard keys = ReadKeyShard(current, shard);
  const auto old = keys.find(key.digest);
  const json from = old == keys.end() ? json() : ToJson(old->second);
  composed.changes = DescribeChange(KeySubject(key.digest), from, ToJson(key));
  keys[key.digest] = key;
  PutShard(composed, composed.head.keys, shard, keys);
  return composed;
}

ComposeResult Compose(const AddKey& change,
                      const ConfigurationHead& head,
                      const Snapshot& current) {
  const std::string subject = KeySubject(change.key.digest);
  const OrganisationId& organisation = change.key.organisation;
  if (current.FindOrganisation(organisation) == nullptr) {
    return Refuse(ErrorKind::kNotFound, subject,
                  "organisation " + organisation.value() +
                      " is not declared; publish it first");
  }
  if (current.FindKey(change.key.digest) != nullptr) {
    return Refuse(ErrorKind::kConflict, subject,
                  "the key exists already; make a new one");
  }
  return ReplaceKey(head, current, change.key);
}

ComposeResult Compose(const WithdrawKey& change,
                      const ConfigurationHead& head,
                      const Snapshot& current) {
  const std::string subject = "key " + change.digest_prefix;
  if (change.digest_prefix.size() < kMinPrefixDigits) {
    return Refuse(ErrorKind::kInvalidArgument, subject,
                  "name at least the first 8 digits of the key's digest");
  }
  std::vector<const KeyRecord*> matches = current.Keys();
  std::erase_if(matches, [&](const KeyRecord* key) {
    return key->digest.value().rfind(change.digest_prefix, 0) != 0;
  });
  if (matches.size() != 1) {
    return Refuse(ErrorKind::kNotFound, subject,
                  matches.empty() ? "no such key; see cowslip keys list"
                                  : "several keys begin so; give more digits");
  }
  if (matches.front()->withdrawn.has_value()) {
    return ComposedChange{.head = head};
  }
  KeyRecord key = *matches.front();
  key.withdrawn = change.when;
  return ReplaceKey(head, current, key);
}

// The organisations that are in force after the change.
struct MergedOrganisations {
  std::vector<OrganisationDeclaration> list;
  std::vector<DeclarationProblem> problems;
};

MergedOrganisations MergeOrganisations(const PublishDeclarations& change,
                                       const Snapshot& current) {
  std::set<OrganisationSetId> replaced(change.declarations.sets.begin(),
                                       change.declarations.sets.end());
  replaced.insert(change.removed_sets.begin(), change.removed_sets.end());
  MergedOrganisations merged{.list = change.declarations.organisations};
  std::set<OrganisationId> declared;
  for (const OrganisationDeclaration& each : merged.list) {
    declared.insert(each.id);
  }
  for (const OrganisationDeclaration* each : current.Organisations()) {
    if (replaced.count(each->set) != 0) {
      continue;
    }
    if (declared.count(each->id) != 0) {
      merged.problems.push_back(
          {.subject = SubjectOf(*each),
           .message = "is declared by set " + each->set.value() +
                      " already; take it out of one of the two sets",
           .field = "/id"});
      continue;
    }
    merged.list.push_back(*each);
  }
  return merged;
}

// In the order in which the newcomer of two clashing routes is named.
std::vector<ServiceDeclaration> MergeServices(const PublishDeclarations& change,
                                              const Snapshot& current) {
  std::set<ServiceId> replaced(change.removed_services.begin(),
                               change.removed_services.end());
  for (const ServiceDeclaration& each : change.declarations.services) {
    replaced.insert(each.id);
  }
  std::vector<ServiceDeclaration> merged;
  for (const ServiceDeclaration* each : current.Services()) {
    if (replaced.count(each->id) == 0) {
      merged.push_back(*each);
    }
  }
  merged.insert(merged.end(), change.declarations.services.begin(),
                change.declarations.services.end());
  return merged;
}

// What the change would make wrong. A fault that is in force already, under
// the looser checks of an older release, must not keep others from publishing.
std::vector<DeclarationProblem> NewProblems(const Declarations& merged,
                                            const Snapshot& current) {
  Declarations before;
  for (const ServiceDeclaration* each : current.Services()) {
    before.services.push_back(*each);
  }
  for (const OrganisationDeclaration* each : current.Organisations()) {
    before.organisations.push_back(*each);
  }
  const std::vector<DeclarationProblem> known = CheckDeclarations(before);
  std::vector<DeclarationProblem> problems = CheckDeclarations(merged);
  std::erase_if(problems, [&](const DeclarationProblem& problem) {
    return std::find(known.begin(), known.end(), problem) != known.end();
  });
  return problems;
}

void PutServices(ComposedChange& composed, const PublishDeclarations& change) {
  for (const ServiceId& service : change.removed_services) {
    composed.head.services.erase(service.value());
  }
  for (const ServiceDeclaration& service : change.declarations.services) {
    std::string bytes = EncodeService(service);
    const Digest digest = Sha256(bytes);
    composed.head.services[service.id.value()] = digest;
    composed.contents[digest] = std::move(bytes);
  }
}

void PutOrganisations(ComposedChange& composed,
                      const std::vector<OrganisationDeclaration>& list) {
  std::vector<OrganisationShard> shards(kShardCount);
  for (const OrganisationDeclaration& each : list) {
    shards[ShardOf(each.id)].emplace(each.id, each);
  }
  for (size_t shard = 0; shard < kShardCount; ++shard) {
    PutShard(composed, composed.head.organisations, shard, shards[shard]);
  }
}

// Keeps the record short, but names every subject.
void Append(std::vector<AuditChange>& all, std::vector<AuditChange> more) {
  for (size_t i = 0; i < more.size(); ++i) {
    if (i == 0 || all.size() < kMaxChanges) {
      all.push_back(std::move(more[i]));
    }
  }
}

ComposeResult Compose(const PublishDeclarations& change,
                      const ConfigurationHead& head,
                      const Snapshot& current) {
  MergedOrganisations organisations = MergeOrganisations(change, current);
  const Declarations merged{.services = MergeServices(change, current),
                            .organisations = organisations.list};
  ChangeRefusal refusal{.problems = std::move(organisations.problems)};
  for (DeclarationProblem& problem : NewProblems(merged, current)) {
    refusal.problems.push_back(std::move(problem));
  }
  if (!refusal.problems.empty()) {
    return refusal;
  }
  ComposedChange composed{.head = head};
  PutServices(composed, change);
  PutOrganisations(composed, merged.organisations);
  const auto after = Snapshot::FromDeclarations(head.version, merged.services,
                                                merged.organisations, {});
  const auto was = ReplacedParts(change, current);
  for (const auto& [subject, to] : ReplacedParts(change, *after)) {
    Append(composed.changes, DescribeChange(subject, was.at(subject), to));
  }
  return composed;
}

}  // namespace

ConfigurationHead NeededParts(const ConfigurationChange& change,
                              const ConfigurationHead& head) {
  ConfigurationHead needed = head;
  if (std::holds_alternative<PublishDeclarations>(change)) {
    needed.keys.clear();
  } else {
    needed.services.clear();
  }
  if (const auto* add = std::get_if<AddKey>(&change)) {
    const std::string shard = ShardName(ShardOf(add->key.digest));
    std::erase_if(needed.keys,
                  [&](const auto& each) { return each.first != shard; });
  }
  return needed;
}

ComposeResult ComposeChange(const ConfigurationChange& change,
                            const ConfigurationHead& head,
                            const Snapshot& current) {
  return std::visit(
      [&](const auto& each) { return Compose(each, head, current); }, change);
}

std::map<std::string, json> ReplacedParts(const ConfigurationChange& change,
                                          const Snapshot& current) {
  std::map<std::string, json> parts;
  const auto* publish = std::get_if<PublishDeclarations>(&change);
  // Keys are replaced one at a time, and two operators who withdraw the same
  // key want the same.
  if (publish == nullptr) {
    return parts;
  }
  const auto add_service = [&](const ServiceId& id) {
    parts["service " + id.value()] = Describe(current.FindService(id));
  };
  const auto add_set = [&](const OrganisationSetId& set) {
    parts["organisations " + set.value()] = DescribeSet(current, set);
  };
  for (const ServiceDeclaration& each : publish->declarations.services) {
    add_service(each.id);
  }
  for (const ServiceId& each : publish->removed_services) {
    add_service(each);
  }
  for (const OrganisationSetId& each : publish->declarations.sets) {
    add_set(each);
  }
  for (const OrganisationSetId& each : publish->removed_sets) {
    add_set(each);
  }
  return parts;
}

}  // namespace cowslip
