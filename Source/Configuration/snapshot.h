#ifndef SOURCE_CONFIGURATION_SNAPSHOT_H_
#define SOURCE_CONFIGURATION_SNAPSHOT_H_

#include <array>
#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Base/ids.h"
#include "Configuration/declarations.h"
#include "Configuration/shards.h"

namespace cowslip {

/// \class SnapshotParts
/// \brief The decoded contents that one head names. Unchanged parts are shared
/// between versions.
struct SnapshotParts {
  ConfigVersion version;
  std::vector<std::shared_ptr<const ServiceDeclaration>> services;
  std::array<std::shared_ptr<const OrganisationShard>, kShardCount>
      organisations;
  std::array<std::shared_ptr<const KeyShard>, kShardCount> keys;
};

/// \class Snapshot
/// \brief One version of the whole configuration: services, organisations and
/// keys. Immutable; pointers into it live as long as it does.
class Snapshot {
 public:
  /// The empty configuration, version 0.
  Snapshot() = default;
  explicit Snapshot(SnapshotParts parts);
  Snapshot(const Snapshot&) = delete;
  Snapshot& operator=(const Snapshot&) = delete;

  /// Makes a snapshot of plain lists.
  static std::shared_ptr<const Snapshot> FromDeclarations(
      ConfigVersion version,
      const std::vector<ServiceDeclaration>& services,
      const std::vector<OrganisationDeclaration>& organisations,
      const std::vector<KeyRecord>& keys);

  ConfigVersion version() const { return m_parts.version; }

  /// Returns the route that takes a request, or null. An exact path goes
  /// before a prefix, a longer prefix before a shorter one. `path` has no
  /// query. A path that a backend server might read differently (dot segments,
  /// empty segments, escaped separators) has no route.
  const RouteDeclaration* FindRoute(std::string_view method,
                                    std::string_view path) const;
  /// Whether some route takes that path with another method.
  bool HasPath(std::string_view path) const;
  const RouteDeclaration* FindRoute(const RouteId& id) const;

  const ServiceDeclaration* FindService(const ServiceId& id) const;
  const BatchDeclaration* FindBatch(const ServiceId& service,
                                    const BatchClassId& id) const;
  const OrganisationDeclaration* FindOrganisation(
      const OrganisationId& id) const;
  const KeyRecord* FindKey(const Digest& digest) const;

  /// In order of id.
  std::vector<const ServiceDeclaration*> Services() const;
  std::vector<const OrganisationDeclaration*> Organisations() const;
  std::vector<const KeyRecord*> Keys() const;

 private:
  using RouteList = std::vector<const RouteDeclaration*>;
  // Keyed by path; the text lives in the route declarations.
  using RouteIndex = std::unordered_map<std::string_view, RouteList>;

  void IndexRoutes();
  template <class Visitor>
  const RouteDeclaration* SearchPath(std::string_view path,
                                     const Visitor& accepts) const;

  SnapshotParts m_parts;
  RouteIndex m_exact;
  RouteIndex m_prefix;
  std::unordered_map<RouteId, const RouteDeclaration*> m_by_id;
};

/// Whether every backend server reads the path the same way.
bool IsPlainPath(std::string_view path);

}  // namespace cowslip

#endif  // SOURCE_CONFIGURATION_SNAPSHOT_H_
