#ifndef SOURCE_CONFIGURATION_DECLARATIONS_H_
#define SOURCE_CONFIGURATION_DECLARATIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Base/ids.h"
#include "Base/time.h"

namespace cowslip {

/// A batch class of a service, named by callers in a batch job.
using BatchClassId = StrongId<struct BatchClassIdTag>;
/// An organisations file's name; publishing the set replaces all of it.
using OrganisationSetId = StrongId<struct OrganisationSetIdTag>;

/// How a route's path is compared with a request's path.
enum class PathMatch {
  kExact,
  /// The path itself or anything below it, by whole segments.
  kPrefix,
};

/// Open to all: no key is asked for.
struct AllowOpen {
  friend bool operator==(const AllowOpen&, const AllowOpen&) = default;
};
/// Any declared organisation with a key.
struct AllowAllOrganisations {
  friend bool operator==(const AllowAllOrganisations&,
                         const AllowAllOrganisations&) = default;
};
/// The listed organisations only.
struct AllowListed {
  std::vector<OrganisationId> organisations;
  friend bool operator==(const AllowListed&, const AllowListed&) = default;
};
using RouteAllow = std::variant<AllowOpen, AllowAllOrganisations, AllowListed>;

/// \class RouteDeclaration
/// \brief Which requests go to a service, and who may send them.
struct RouteDeclaration {
  /// `SERVICE.NAME`, unique in the fleet.
  RouteId id;
  ServiceId service;
  std::string path;
  PathMatch match = PathMatch::kExact;
  std::vector<std::string> methods;
  RouteAllow allow = AllowListed{};
  bool idempotent = false;
  Duration timeout = std::chrono::seconds(30);
  size_t max_body_bytes = 1 << 20;
  bool batchable = false;

  friend bool operator==(const RouteDeclaration&,
                         const RouteDeclaration&) = default;
};

/// \class BatchDeclaration
/// \brief The bounds on batch jobs of one class of a service.
struct BatchDeclaration {
  BatchClassId id;
  ServiceId service;
  Duration default_deadline = std::chrono::hours(8);
  size_t max_items = 50000;
  uint32_t max_attempts = 3;
  size_t max_item_bytes = 256 * 1024;

  friend bool operator==(const BatchDeclaration&,
                         const BatchDeclaration&) = default;
};

/// \class ServiceDeclaration
/// \brief A service with its routes and batch classes: the unit that two
/// publishers contend for.
struct ServiceDeclaration {
  ServiceId id;
  std::vector<RouteDeclaration> routes;
  std::vector<BatchDeclaration> batches;

  friend bool operator==(const ServiceDeclaration&,
                         const ServiceDeclaration&) = default;
};

/// \class OrganisationDeclaration
/// \brief A tenant with its fleet-wide limits.
struct OrganisationDeclaration {
  OrganisationId id;
  /// The file that declares it.
  OrganisationSetId set;
  /// Requests per second over all VMs together.
  double rate = 0;
  /// Requests above the rate that may come at once.
  double burst = 0;
  /// Share of batch capacity relative to the other organisations.
  double weight = 1;

  friend bool operator==(const OrganisationDeclaration&,
                         const OrganisationDeclaration&) = default;
};

/// \class KeyRecord
/// \brief What is kept of a caller's key: its digest, never its text.
struct KeyRecord {
  Digest digest;
  OrganisationId organisation;
  std::string label;
  WallTime created;
  /// Set once the key no longer works.
  std::optional<WallTime> withdrawn;

  friend bool operator==(const KeyRecord&, const KeyRecord&) = default;
};

}  // namespace cowslip

#endif  // SOURCE_CONFIGURATION_DECLARATIONS_H_
