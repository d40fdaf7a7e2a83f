#ifndef SOURCE_BASE_IDS_H_
#define SOURCE_BASE_IDS_H_

#include <cstdint>

#include "Base/strong_id.h"
#include "Base/strong_number.h"

namespace cowslip {

/// The name of a virtual machine in the platform's VM list.
using VmId = StrongId<struct VmIdTag>;
/// An availability zone.
using ZoneId = StrongId<struct ZoneIdTag>;
/// A region, which holds availability zones.
using RegionId = StrongId<struct RegionIdTag>;
/// A tenant, which owns API keys, limits and batch jobs.
using OrganisationId = StrongId<struct OrganisationIdTag>;
/// A service that operators declare.
using ServiceId = StrongId<struct ServiceIdTag>;
/// A route of a service.
using RouteId = StrongId<struct RouteIdTag>;
/// A batch job.
using JobId = StrongId<struct JobIdTag>;
/// The key of a job in the store, composed of its id and its organisation.
using JobKey = StrongId<struct JobKeyTag>;
/// A caller's name for one item of a batch job (`custom_id`).
using ItemId = StrongId<struct ItemIdTag>;
/// The lower-case hexadecimal SHA-256 digest of some bytes.
using Digest = StrongId<struct DigestTag>;

/// One request and its response between an entry and a sidecar. Unique within
/// an incarnation of the sending process.
using ExchangeId = StrongNumber<struct ExchangeIdTag, uint64_t>;
/// A random number generated when a process starts, to distinguish restarts.
using Incarnation = StrongNumber<struct IncarnationTag, uint64_t>;
/// A number that increases with every lease, so that requests of a former
/// holder can be recognised by their lower number.
using FencingNumber = StrongNumber<struct FencingNumberTag, uint64_t>;
/// The version of the fleet's configuration.
using ConfigVersion = StrongNumber<struct ConfigVersionTag, uint64_t>;
/// A version of one object in the platform's object API.
using ObjectVersion = StrongNumber<struct ObjectVersionTag, uint64_t>;

}  // namespace cowslip

#endif  // SOURCE_BASE_IDS_H_
