#ifndef SOURCE_LIMITS_LIMITS_CONSTANTS_H_
#define SOURCE_LIMITS_LIMITS_CONSTANTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "Base/time.h"

namespace cowslip {

/// Groups of organisations, each with one record in the store.
inline constexpr uint32_t kLimitsShardCount = 64;
/// Delay of the next tick while the core has work due.
inline constexpr Duration kLimitsTickInterval = std::chrono::milliseconds(2);

/// A witness that has given a promise approves no other owner for this time.
inline constexpr Duration kPromiseDuration = std::chrono::seconds(6);
inline constexpr Duration kAnnounceInterval = std::chrono::seconds(1);
/// A holder may admit from its shares for this time after it sent a report.
inline constexpr Duration kShareLease = std::chrono::seconds(3);
inline constexpr Duration kReportInterval = std::chrono::milliseconds(500);
/// An owner stops admitting this long after its last write to the store; a
/// shard whose record is unchanged for longer may be taken over without
/// approval of the witnesses.
inline constexpr Duration kRecordLease = std::chrono::minutes(75);
inline constexpr Duration kRecordRefreshInterval = std::chrono::seconds(60);
inline constexpr Duration kStoreRetryInterval = std::chrono::seconds(1);
/// Largest number of witnesses of a record, a majority of which may approve a
/// new owner.
inline constexpr size_t kMaxWitnesses = 5;
/// A shard moves to the entry that rendezvous hashing selects only after the
/// members have been the same for this long.
inline constexpr Duration kHandoverDelay = std::chrono::seconds(5);

/// How long a request may wait for the owner's reply.
inline constexpr Duration kMaxLimitCheckWait = std::chrono::milliseconds(250);
/// An admission that arrives later than this after its limit check was sent is
/// discarded and the check sent again: the owner may already have refilled the
/// tokens. A late refusal counts.
inline constexpr Duration kMaxLimitCheckReplyAge =
    std::chrono::milliseconds(50);
/// After a refusal, an entry sends no limit checks for that organisation for
/// this time.
inline constexpr Duration kRefusalBackoff = std::chrono::milliseconds(10);
/// Largest number of requests that wait for an owner's reply; further ones are
/// refused.
inline constexpr size_t kMaxPendingLimitChecks = 20000;
inline constexpr Duration kNoOwnerRetryAfter = std::chrono::seconds(2);
inline constexpr Duration kUnknownOrganisationRetryAfter =
    std::chrono::seconds(10);

/// The fraction that stands for all of an organisation's rate and burst.
inline constexpr int64_t kWholeShare = 1'000'000'000;
/// An entry at which at least this cost per second of an organisation is
/// requested gets a share of its own.
inline constexpr double kMinRateForShare = 20;
/// The fraction of a divided limit that its owner keeps for entries that send
/// limit checks.
inline constexpr int64_t kOwnerReserve = kWholeShare / 10;
/// Smaller differences from the target fractions cause no transfer.
inline constexpr int64_t kMinTransferFraction = kWholeShare / 20;

/// Extends a duration that another VM measures by its own clock, by 2 % for the
/// drift between the clocks.
constexpr Duration WithClockDriftMargin(Duration time) {
  return time + time / 50;
}

}  // namespace cowslip

#endif  // SOURCE_LIMITS_LIMITS_CONSTANTS_H_
