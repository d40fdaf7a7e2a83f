#include "Gateway/caller_authentication.h"

#include "Gateway/problem_response.h"

namespace cowslip {

KeyDemand KeyDemandOf(const FleetRoute& route) {
  return route.is_public && route.kind != RequestKind::kBatch
             ? KeyDemand::kOptional
             : KeyDemand::kRequired;
}

CallerAuthentication AuthenticateCaller(const FleetConfiguration& configuration,
                                        bool is_current,
                                        const std::string& key,
                                        KeyDemand demand) {
  if (!configuration.keys_required()) {
    return OrganisationId();
  }
  if (key.empty()) {
    if (demand == KeyDemand::kOptional) {
      return OrganisationId();
    }
    return Problem{.kind = ProblemKind::kMissingKey,
                   .detail = "Send the key of an organisation.",
                   .not_run = true};
  }
  const FleetOrganisation* organisation =
      configuration.FindOrganisationByKey(key);
  if (organisation != nullptr) {
    return organisation->id;
  }
  if (!is_current) {
    return NotReadyProblem(
        "The key may be newer than this VM's configuration.");
  }
  return Problem{.kind = ProblemKind::kUnknownKey,
                 .detail = demand == KeyDemand::kOptional
                               ? "No organisation holds this key. Send the key "
                                 "of an organisation, or none."
                               : "No organisation holds this key.",
                 .not_run = true};
}

}  // namespace cowslip
