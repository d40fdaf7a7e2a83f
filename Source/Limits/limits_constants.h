#ifndef SOURCE_LIMITS_LIMITS_CONSTANTS_H_
#define SOURCE_LIMITS_LIMITS_CONSTANTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "Base/time.h"

namespace cowslip {

/// Groups of organisations, each with one record in the store.
inline constexpr uint32_t kLimitsShardCount = 64;
/// How often the driver sends a tick.
inline constexpr Duration kLimitsTickInterval = std::chrono::milliseconds(2);

/// A witness that promised approves no other owner for this time.
inline constexpr Duration kPromiseTime = std::chrono::seconds(6);
inline constexpr Duration kAnnounceInterval = std::chrono::seconds(1);
/// A holder may admit from its shares for this time after it sent a report.
inline constexpr Duration kShareLease = std::chrono::seconds(3);
inline constexpr Duration kReportInterval = std::chrono::milliseconds(500);
/// An owner stops this long after its last write to the store; a record that
/// is unchanged for longer may be taken over without any witness.
inline constexpr Duration kRecordLease = std::chrono::minutes(75);
inline constexpr Duration kRecordRefreshInterval = std::chrono::seconds(60);
inline constexpr Duration kStoreRetryInterval = std::chrono::seconds(1);
/// Processes of a record that may agree to a new owner.
inline constexpr size_t kMaxWitnesses = 5;
/// A shard moves to the entry that rendezvous hashing names only after the
/// members have been the same for this long.
inline constexpr Duration kHandoverDelay = std::chrono::seconds(5);

/// How long an admission may wait for an owner's answer.
inline constexpr Duration kMaxAskWait = std::chrono::milliseconds(250);
/// An answer older than this counts no more: its tokens have begun to grow
/// again at the owner.
inline constexpr Duration kMaxAnswerAge = std::chrono::milliseconds(50);
/// After a refusal an entry asks no more for that organisation for this time.
inline constexpr Duration kAskPause = std::chrono::milliseconds(10);
/// Admissions that may wait at once; more are refused.
inline constexpr size_t kMaxWaitingAsks = 20000;
inline constexpr Duration kNoOwnerRetryAfter = std::chrono::seconds(2);
inline constexpr Duration kUnknownRetryAfter = std::chrono::seconds(10);

/// All of an organisation's rate and burst.
inline constexpr int64_t kWholeShare = 1'000'000'000;
/// An entry that sees at least this cost a second of an organisation gets a
/// share of its own.
inline constexpr double kDivideRate = 20;
/// The part of a divided limit that its owner keeps for those who ask.
inline constexpr int64_t kOwnerReserve = kWholeShare / 10;
/// Smaller differences from the wanted division are left alone.
inline constexpr int64_t kMinShareMove = kWholeShare / 20;

/// What another VM adds to a time that this VM's clock has measured.
constexpr Duration WithClockMargin(Duration time) {
  return time + time / 50;
}

}  // namespace cowslip

#endif  // SOURCE_LIMITS_LIMITS_CONSTANTS_H_
