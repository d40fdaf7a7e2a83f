#ifndef SOURCE_BASE_FINGERPRINT_H_
#define SOURCE_BASE_FINGERPRINT_H_

#include <string_view>

#include "Base/ids.h"

namespace cowslip {

/// A hash that is equal for requests of the same organisation, target and
/// body.
using Fingerprint = StrongId<struct FingerprintTag>;

/// Computes the fingerprint of a request. `target` is the route or the path
/// that the caller requested.
Fingerprint FingerprintOf(const OrganisationId& organisation,
                          std::string_view target,
                          std::string_view body);

}  // namespace cowslip

#endif  // SOURCE_BASE_FINGERPRINT_H_
