#ifndef SOURCE_ACCESS_ACCESS_H_
#define SOURCE_ACCESS_ACCESS_H_

#include <optional>
#include <string>
#include <variant>

#include "Base/ids.h"
#include "Base/result.h"
#include "Configuration/declarations.h"
#include "Configuration/snapshot.h"

namespace cowslip {

/// The key's organisation may use the route.
struct Allowed {
  OrganisationId organisation;
  /// The key, by which a stream is found again when it is withdrawn.
  Digest key;
};
/// The route is open: the request runs for no organisation.
struct OpenToAll {};
struct MissingKey {};
struct UnknownKey {};
struct WithdrawnKey {};
struct OrganisationNotAllowed {
  OrganisationId organisation;
};
using AccessDecision = std::variant<Allowed,
                                    OpenToAll,
                                    MissingKey,
                                    UnknownKey,
                                    WithdrawnKey,
                                    OrganisationNotAllowed>;

/// Decides for whom a request on `route` runs. Call it for every request, on
/// kept connections too, with the newest snapshot.
AccessDecision Authorise(const Snapshot& snapshot,
                         const RouteDeclaration& route,
                         const std::optional<std::string>& presented_key);

/// Whether a request that began with that key may go on under a newer
/// snapshot. Call it for each running stream when a snapshot is applied.
bool StillAllowed(const Snapshot& snapshot,
                  const RouteId& route,
                  const Allowed& allowed);

/// Whether an organisation may use a route, whatever its key: for batch items,
/// whose job was accepted with one.
bool AllowsOrganisation(const Snapshot& snapshot,
                        const RouteDeclaration& route,
                        const OrganisationId& organisation);

/// The error that a refusal shows to the caller: kPermissionDenied with a
/// message that names the remedy and no key. Nullopt when it is no refusal.
std::optional<Error> RefusalOf(const AccessDecision& decision);

}  // namespace cowslip

#endif  // SOURCE_ACCESS_ACCESS_H_
