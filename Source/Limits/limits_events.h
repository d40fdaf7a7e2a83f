#ifndef SOURCE_LIMITS_LIMITS_EVENTS_H_
#define SOURCE_LIMITS_LIMITS_EVENTS_H_

#include <optional>
#include <variant>
#include <vector>

#include "Base/ids.h"
#include "Base/time.h"
#include "Limits/limits_messages.h"
#include "Limits/limits_record.h"

namespace cowslip {

/// Identifies one request to be admitted or refused at this entry.
using AdmissionId = StrongNumber<struct AdmissionIdTag, uint64_t>;

/// \class OrganisationLimit
/// \brief The fleet-wide limit of one organisation.
struct OrganisationLimit {
  OrganisationId organisation;
  /// Cost per second.
  double rate = 0;
  /// Cost that may be admitted at once.
  double burst = 0;
};

// Events of the limits core.

struct AdmitRequested {
  AdmissionId id;
  OrganisationId organisation;
  double cost = 1;
};
struct LimitsTick {};
struct LimitsPeerMessage {
  VmId from;
  LimitsMessage message;
};
struct LimitsPeerUp {
  VmId vm;
  Incarnation incarnation;
};
struct LimitsPeerDown {
  VmId vm;
};
/// All limits in force; requests of an organisation that is missing are
/// refused.
struct LimitsChanged {
  std::vector<OrganisationLimit> limits;
};
struct LimitsMembersChanged {
  std::vector<VmId> entries;
};
struct RecordRead {
  LimitsShard shard;
  std::optional<LimitsRecord> record;
  ObjectVersion version;
};
struct RecordReadFailed {
  LimitsShard shard;
};
struct RecordWritten {
  LimitsShard shard;
  uint64_t write_token = 0;
  ObjectVersion version;
};
struct RecordWriteConflict {
  LimitsShard shard;
};
/// The write may or may not have taken effect.
struct RecordWriteUncertain {
  LimitsShard shard;
};
struct LimitsDrainRequested {};

using LimitsEvent = std::variant<AdmitRequested,
                                 LimitsTick,
                                 LimitsPeerMessage,
                                 LimitsPeerUp,
                                 LimitsPeerDown,
                                 LimitsChanged,
                                 LimitsMembersChanged,
                                 RecordRead,
                                 RecordReadFailed,
                                 RecordWritten,
                                 RecordWriteConflict,
                                 RecordWriteUncertain,
                                 LimitsDrainRequested>;

// Actions of the limits core.

struct AdmitAction {
  AdmissionId id;
};
/// Why a request is refused.
enum class RefusalReason {
  /// The organisation has used its rate and burst.
  kOverLimit,
  /// The organisation has no limit in the configuration.
  kUnknownOrganisation,
  /// No owner of the organisation's shard replied in time, too many requests
  /// wait for replies, or this entry is stopping.
  kNoOwner,
};
struct RefuseAction {
  AdmissionId id;
  Duration retry_after{};
  RefusalReason reason = RefusalReason::kOverLimit;
};
struct SendLimitsMessage {
  VmId to;
  LimitsMessage message;
};
struct ReadRecord {
  LimitsShard shard;
};
struct WriteRecord {
  LimitsShard shard;
  LimitsRecord record;
  /// The version that the write must replace; without one, no record may exist.
  std::optional<ObjectVersion> expected_version;
};

using LimitsAction = std::variant<AdmitAction,
                                  RefuseAction,
                                  SendLimitsMessage,
                                  ReadRecord,
                                  WriteRecord>;

}  // namespace cowslip

#endif  // SOURCE_LIMITS_LIMITS_EVENTS_H_
