#ifndef SOURCE_PLACEMENT_SERVICE_VERSIONS_H_
#define SOURCE_PLACEMENT_SERVICE_VERSIONS_H_

#include <cstdint>
#include <set>

#include "Base/ids.h"
#include "Fleet/backend_record.h"

namespace cowslip {

/// \class ServiceVersions
/// \brief The record of a service's software versions in the store.
struct ServiceVersions {
  /// The versions that serve, or have served until lately.
  std::set<SoftwareVersion> versions;
  /// Incremented with every write, so that no two of them are equal and a
  /// delayed one fails its condition.
  uint64_t writes = 0;
  /// The version of the stored document; 0 if there is none.
  ObjectVersion revision;

  friend bool operator==(const ServiceVersions&,
                         const ServiceVersions&) = default;
};

}  // namespace cowslip

#endif  // SOURCE_PLACEMENT_SERVICE_VERSIONS_H_
