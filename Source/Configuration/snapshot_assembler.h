#ifndef SOURCE_CONFIGURATION_SNAPSHOT_ASSEMBLER_H_
#define SOURCE_CONFIGURATION_SNAPSHOT_ASSEMBLER_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Base/ids.h"
#include "Base/result.h"
#include "Configuration/configuration_head.h"
#include "Configuration/shards.h"
#include "Configuration/snapshot.h"

namespace cowslip {

/// \class AssembledSnapshot
/// \brief A snapshot, and what of it this process could not read.
struct AssembledSnapshot {
  std::shared_ptr<const Snapshot> snapshot;
  /// One line per service that cannot be read.
  std::vector<std::string> problems;
};

/// \class SnapshotAssembler
/// \brief Holds content objects by digest and makes snapshots of them. A part
/// that did not change since the last snapshot is not decoded again.
class SnapshotAssembler {
 public:
  /// The contents that `head` names and that are not held.
  std::vector<Digest> Missing(const ConfigurationHead& head) const;

  /// Takes a content object; false when its bytes do not have that digest.
  bool Add(const Digest& digest, std::string bytes);
  /// The bytes of a held content, or null.
  const std::string* Find(const Digest& digest) const;

  /// A service that cannot be read stays as it was in the last snapshot, so
  /// that it does not hold up a withdrawn key. Errors: kNotFound when a content
  /// is missing, kMalformedMessage when organisations or keys cannot be read.
  Result<AssembledSnapshot> Build(const ConfigurationHead& head);

  /// Drops every content that `head` does not name.
  void Retain(const ConfigurationHead& head);

 private:
  template <class T>
  using Decoded = std::map<Digest, std::shared_ptr<const T>>;

  std::map<Digest, std::string> m_contents;
  Decoded<ServiceDeclaration> m_services;
  Decoded<OrganisationShard> m_organisations;
  Decoded<KeyShard> m_keys;
  // The last readable declaration of each service.
  std::map<std::string, std::shared_ptr<const ServiceDeclaration>> m_readable;
};

/// The contents that a head names.
std::vector<Digest> ContentsOf(const ConfigurationHead& head);

}  // namespace cowslip

#endif  // SOURCE_CONFIGURATION_SNAPSHOT_ASSEMBLER_H_
