#include "Configuration/snapshot_assembler.h"

#include <set>
#include <utility>

#include "Base/sha256.h"
#include "Configuration/declaration_json.h"

namespace cowslip {

namespace {

template <class T, class Decoder>
Result<std::shared_ptr<const T>> DecodeOnce(
    std::map<Digest, std::shared_ptr<const T>>& decoded,
    const std::map<Digest, std::string>& contents,
    const Digest& digest,
    const Decoder& decoder) {
  const auto known = decoded.find(digest);
  if (known != decoded.end()) {
    return known->second;
  }
  const auto bytes = contents.find(digest);
  if (bytes == contents.end()) {
    return Error(ErrorKind::kNotFound,
                 "Content " + digest.value() + " is missing. Fetch it first.");
  }
  Result<T> value = decoder(bytes->second);
  if (!value.has_value()) {
    return Error(value.error().kind(),
                 "Content " + digest.value() + ": " + value.error().message);
  }
  auto shared = std::make_shared<const T>(std::move(value.value()));
  decoded.emplace(digest, shared);
  return shared;
}

// Reads the shards that a head names into their places.
template <class Shard, class Decoder>
Result<void> ReadShards(
    const std::map<std::string, Digest>& named,
    std::map<Digest, std::shared_ptr<const Shard>>& decoded,
    const std::map<Digest, std::string>& contents,
    const Decoder& decoder,
    std::array<std::shared_ptr<const Shard>, kShardCount>& out) {
  for (size_t shard = 0; shard < kShardCount; ++shard) {
    const auto digest = named.find(ShardName(shard));
    if (digest == named.end()) {
      continue;
    }
    auto value = DecodeOnce(decoded, contents, digest->second, decoder);
    if (!value.has_value()) {
      return value.error();
    }
    out[shard] = std::move(value.value());
  }
  return Ok();
}

template <class Map>
void KeepOnly(Map& map, const std::set<Digest>& kept) {
  for (auto each = map.begin(); each != map.end();) {
    each = kept.count(each->first) != 0 ? std::next(each) : map.erase(each);
  }
}

}  // namespace

std::vector<Digest> ContentsOf(const ConfigurationHead& head) {
  std::vector<Digest> digests;
  for (const auto* part : {&head.services, &head.organisations, &head.keys}) {
    for (const auto& [name, digest] : *part) {
      digests.push_back(digest);
    }
  }
  return digests;
}

std::vector<Digest> SnapshotAssembler::Missing(
    const ConfigurationHead& head) const {
  std::vector<Digest> missing;
  for (Digest& digest : ContentsOf(head)) {
    if (m_contents.count(digest) == 0) {
      missing.push_back(std::move(digest));
    }
  }
  return missing;
}

bool SnapshotAssembler::Add(const Digest& digest, std::string bytes) {
  if (Sha256(bytes) != digest) {
    return false;
  }
  m_contents.emplace(digest, std::move(bytes));
  return true;
}

const std::string* SnapshotAssembler::Find(const Digest& digest) const {
  const auto found = m_contents.find(digest);
  return found == m_contents.end() ? nullptr : &found->second;
}

Result<AssembledSnapshot> SnapshotAssembler::Build(
    const ConfigurationHead& head) {
  SnapshotParts parts{.version = head.version};
  AssembledSnapshot assembled;
  auto readable = m_readable;
  std::erase_if(readable, [&](const auto& each) {
    return head.services.count(each.first) == 0;
  });
  for (const auto& [name, digest] : head.services) {
    auto service = DecodeOnce(m_services, m_contents, digest, DecodeService);
    if (service.has_value()) {
      readable[name] = std::move(service.value());
    } else if (service.error().kind() == ErrorKind::kNotFound) {
      return service.error();
    } else {
      assembled.problems.push_back("Service " + name + " cannot be read. " +
                                   service.error().message);
    }
  }
  for (const auto& [name, service] : readable) {
    parts.services.push_back(service);
  }
  const Result<void> organisations =
      ReadShards(head.organisations, m_organisations, m_contents,
                 DecodeOrganisationShard, parts.organisations);
  if (!organisations.has_value()) {
    return organisations.error();
  }
  const Result<void> keys =
      ReadShards(head.keys, m_keys, m_contents, DecodeKeyShard, parts.keys);
  if (!keys.has_value()) {
    return keys.error();
  }
  m_readable = std::move(readable);
  assembled.snapshot = std::make_shared<const Snapshot>(std::move(parts));
  return assembled;
}

void SnapshotAssembler::Retain(const ConfigurationHead& head) {
  const std::vector<Digest> named = ContentsOf(head);
  const std::set<Digest> kept(named.begin(), named.end());
  KeepOnly(m_contents, kept);
  KeepOnly(m_services, kept);
  KeepOnly(m_organisations, kept);
  KeepOnly(m_keys, kept);
}

}  // namespace cowslip
