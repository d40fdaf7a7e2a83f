#ifndef SOURCE_GATEWAY_CALLER_AUTHENTICATION_H_
#define SOURCE_GATEWAY_CALLER_AUTHENTICATION_H_

#include <string>
#include <variant>

#include "Base/ids.h"
#include "Fleet/fleet_configuration.h"
#include "Requests/problem.h"

namespace cowslip {

/// Whether a request may come without an API key.
enum class KeyDemand { kRequired, kOptional };

/// What requests of the route demand. A batch job always needs a key, because
/// the calls about it name no route: without an organisation nobody could read
/// its results.
KeyDemand KeyDemandOf(const FleetRoute& route);

/// The organisation for which a request comes, empty if it has none, or why it
/// is rejected.
using CallerAuthentication = std::variant<OrganisationId, Problem>;

/// Finds the organisation of a request or call: the one that holds its key,
/// whatever the key demand. See docs/design/organisations.md. `is_current`
/// tells whether the configuration can't lack a key that was added since.
CallerAuthentication AuthenticateCaller(const FleetConfiguration& configuration,
                                        bool is_current,
                                        const std::string& key,
                                        KeyDemand demand);

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_CALLER_AUTHENTICATION_H_
