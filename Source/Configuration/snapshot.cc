#include "Configuration/snapshot.h"

#include <algorithm>
#include <utility>

namespace cowslip {

namespace {

constexpr std::string_view kForbiddenInPath[] = {
    "//", "\\", "%2f", "%2F", "%5c", "%5C", "%2e", "%2E", "%00"};

// A prefix is indexed without its trailing separator.
std::string_view TrimSeparator(std::string_view path) {
  return !path.empty() && path.back() == '/' ? path.substr(0, path.size() - 1)
                                             : path;
}

bool HasDotSegment(std::string_view path) {
  size_t begin = 0;
  while (begin <= path.size()) {
    size_t end = path.find('/', begin);
    end = end == std::string_view::npos ? path.size() : end;
    const std::string_view segment = path.substr(begin, end - begin);
    if (segment == "." || segment == "..") {
      return true;
    }
    begin = end + 1;
  }
  return false;
}

bool TakesMethod(const RouteDeclaration& route, std::string_view method) {
  return std::find(route.methods.begin(), route.methods.end(), method) !=
         route.methods.end();
}

template <class T>
std::vector<const T*> SortedById(std::vector<const T*> list) {
  std::sort(list.begin(), list.end(),
            [](const T* a, const T* b) { return a->id < b->id; });
  return list;
}

}  // namespace

bool IsPlainPath(std::string_view path) {
  if (path.empty() || path.front() != '/') {
    return false;
  }
  for (const std::string_view forbidden : kForbiddenInPath) {
    if (path.find(forbidden) != std::string_view::npos) {
      return false;
    }
  }
  return !HasDotSegment(path);
}

Snapshot::Snapshot(SnapshotParts parts) : m_parts(std::move(parts)) {
  IndexRoutes();
}

std::shared_ptr<const Snapshot> Snapshot::FromDeclarations(
    ConfigVersion version,
    const std::vector<ServiceDeclaration>& services,
    const std::vector<OrganisationDeclaration>& organisations,
    const std::vector<KeyRecord>& keys) {
  std::array<OrganisationShard, kShardCount> organisation_shards;
  for (const OrganisationDeclaration& organisation : organisations) {
    organisation_shards[ShardOf(organisation.id)][organisation.id] =
        organisation;
  }
  std::array<KeyShard, kShardCount> key_shards;
  for (const KeyRecord& key : keys) {
    key_shards[ShardOf(key.digest)][key.digest] = key;
  }
  SnapshotParts parts{.version = version};
  for (const ServiceDeclaration& service : services) {
    parts.services.push_back(
        std::make_shared<const ServiceDeclaration>(service));
  }
  for (size_t shard = 0; shard < kShardCount; ++shard) {
    parts.organisations[shard] = std::make_shared<const OrganisationShard>(
        std::move(organisation_shards[shard]));
    parts.keys[shard] =
        std::make_shared<const KeyShard>(std::move(key_shards[shard]));
  }
  return std::make_shared<const Snapshot>(std::move(parts));
}

void Snapshot::IndexRoutes() {
  for (const auto& service : m_parts.services) {
    for (const RouteDeclaration& route : service->routes) {
      const bool exact = route.match == PathMatch::kExact;
      const std::string_view path =
          exact ? std::string_view(route.path) : TrimSeparator(route.path);
      (exact ? m_exact : m_prefix)[path].push_back(&route);
      m_by_id.emplace(route.id, &route);
    }
  }
}

template <class Visitor>
const RouteDeclaration* Snapshot::SearchPath(std::string_view path,
                                             const Visitor& accepts) const {
  const auto search = [&](const RouteIndex& index,
                          std::string_view key) -> const RouteDeclaration* {
    const auto found = index.find(key);
    if (found == index.end()) {
      return nullptr;
    }
    const auto route =
        std::find_if(found->second.begin(), found->second.end(),
                     [&](const auto* each) { return accepts(*each); });
    return route == found->second.end() ? nullptr : *route;
  };
  if (const RouteDeclaration* route = search(m_exact, path)) {
    return route;
  }
  std::string_view prefix = TrimSeparator(path);
  while (true) {
    if (const RouteDeclaration* route = search(m_prefix, prefix)) {
      return route;
    }
    if (prefix.empty()) {
      return nullptr;
    }
    prefix = prefix.substr(0, prefix.rfind('/'));
  }
}

const RouteDeclaration* Snapshot::FindRoute(std::string_view method,
                                            std::string_view path) const {
  if (!IsPlainPath(path)) {
    return nullptr;
  }
  return SearchPath(path, [&](const RouteDeclaration& route) {
    return TakesMethod(route, method);
  });
}

bool Snapshot::HasPath(std::string_view path) const {
  return IsPlainPath(path) && SearchPath(path, [](const RouteDeclaration&) {
                                return true;
                              }) != nullptr;
}

const RouteDeclaration* Snapshot::FindRoute(const RouteId& id) const {
  const auto found = m_by_id.find(id);
  return found == m_by_id.end() ? nullptr : found->second;
}

const ServiceDeclaration* Snapshot::FindService(const ServiceId& id) const {
  for (const auto& service : m_parts.services) {
    if (service->id == id) {
      return service.get();
    }
  }
  return nullptr;
}

const BatchDeclaration* Snapshot::FindBatch(const ServiceId& service,
                                            const BatchClassId& id) const {
  const ServiceDeclaration* found = FindService(service);
  if (found == nullptr) {
    return nullptr;
  }
  for (const BatchDeclaration& batch : found->batches) {
    if (batch.id == id) {
      return &batch;
    }
  }
  return nullptr;
}

const OrganisationDeclaration* Snapshot::FindOrganisation(
    const OrganisationId& id) const {
  const auto& shard = m_parts.organisations[ShardOf(id)];
  if (shard == nullptr) {
    return nullptr;
  }
  const auto found = shard->find(id);
  return found == shard->end() ? nullptr : &found->second;
}

const KeyRecord* Snapshot::FindKey(const Digest& digest) const {
  const auto& shard = m_parts.keys[ShardOf(digest)];
  if (shard == nullptr) {
    return nullptr;
  }
  const auto found = shard->find(digest);
  return found == shard->end() ? nullptr : &found->second;
}

std::vector<const ServiceDeclaration*> Snapshot::Services() const {
  std::vector<const ServiceDeclaration*> list;
  for (const auto& service : m_parts.services) {
    list.push_back(service.get());
  }
  return SortedById(std::move(list));
}

std::vector<const OrganisationDeclaration*> Snapshot::Organisations() const {
  std::vector<const OrganisationDeclaration*> list;
  for (const auto& shard : m_parts.organisations) {
    if (shard == nullptr) {
      continue;
    }
    for (const auto& [id, organisation] : *shard) {
      list.push_back(&organisation);
    }
  }
  return SortedById(std::move(list));
}

std::vector<const KeyRecord*> Snapshot::Keys() const {
  std::vector<const KeyRecord*> list;
  for (const auto& shard : m_parts.keys) {
    if (shard == nullptr) {
      continue;
    }
    for (const auto& [digest, key] : *shard) {
      list.push_back(&key);
    }
  }
  std::sort(list.begin(), list.end(),
            [](const auto* a, const auto* b) { return a->digest < b->digest; });
  return list;
}

}  // namespace cowslip
