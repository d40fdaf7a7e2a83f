#include "Access/access.h"

#include <algorithm>

#include "Access/key_text.h"
#include "Base/overloaded.h"

namespace cowslip {

namespace {

bool MayUse(const RouteAllow& allow, const OrganisationId& organisation) {
  return std::visit(
      Overloaded{[](const AllowOpen&) { return true; },
                 [](const AllowAllOrganisations&) { return true; },
                 [&](const AllowListed& listed) {
                   return std::find(listed.organisations.begin(),
                                    listed.organisations.end(),
                                    organisation) != listed.organisations.end();
                 }},
      allow);
}

Error Denied(const std::string& message) {
  return Error(ErrorKind::kPermissionDenied, message);
}

AccessDecision AuthoriseDigest(const Snapshot& snapshot,
                               const RouteDeclaration& route,
                               const Digest& digest) {
  const KeyRecord* key = snapshot.FindKey(digest);
  if (key == nullptr || !DigestsEqual(key->digest, digest)) {
    return UnknownKey{};
  }
  if (key->withdrawn.has_value()) {
    return WithdrawnKey{};
  }
  if (!AllowsOrganisation(snapshot, route, key->organisation)) {
    return OrganisationNotAllowed{.organisation = key->organisation};
  }
  return Allowed{.organisation = key->organisation, .key = digest};
}

}  // namespace

bool AllowsOrganisation(const Snapshot& snapshot,
                        const RouteDeclaration& route,
                        const OrganisationId& organisation) {
  return snapshot.FindOrganisation(organisation) != nullptr &&
         MayUse(route.allow, organisation);
}

AccessDecision Authorise(const Snapshot& snapshot,
                         const RouteDeclaration& route,
                         const std::optional<std::string>& presented_key) {
  if (std::holds_alternative<AllowOpen>(route.allow)) {
    return OpenToAll{};
  }
  if (!presented_key.has_value()) {
    return MissingKey{};
  }
  return AuthoriseDigest(snapshot, route, DigestOfKey(*presented_key));
}

bool StillAllowed(const Snapshot& snapshot,
                  const RouteId& route,
                  const Allowed& allowed) {
  const RouteDeclaration* found = snapshot.FindRoute(route);
  if (found == nullptr) {
    // The route was removed while the request ran: its key decides.
    const KeyRecord* key = snapshot.FindKey(allowed.key);
    return key != nullptr && !key->withdrawn.has_value();
  }
  if (std::holds_alternative<AllowOpen>(found->allow)) {
    return true;
  }
  const AccessDecision decision =
      AuthoriseDigest(snapshot, *found, allowed.key);
  return std::holds_alternative<Allowed>(decision);
}

std::optional<Error> RefusalOf(const AccessDecision& decision) {
  using Refusal = std::optional<Error>;
  return std::visit(
      Overloaded{
          [](const Allowed&) -> Refusal { return std::nullopt; },
          [](const OpenToAll&) -> Refusal { return std::nullopt; },
          [](const MissingKey&) -> Refusal {
            return Denied(
                "The request has no key. Send one as Authorization: Bearer "
                "KEY.");
          },
          [](const UnknownKey&) -> Refusal {
            return Denied(
                "The key is not known. Send one valid key, and only one.");
          },
          [](const WithdrawnKey&) -> Refusal {
            return Denied(
                "The key was withdrawn. Ask your operator for a new one.");
          },
          [](const OrganisationNotAllowed& refused) -> Refusal {
            return Denied("Organisation " + refused.organisation.value() +
                          " may not use this route. Ask the operator to list "
                          "it under the route's allow.");
          }},
      decision);
}

}  // namespace cowslip
