#ifndef SOURCE_LIMITS_LIMITS_MESSAGES_H_
#define SOURCE_LIMITS_LIMITS_MESSAGES_H_

#include <cstdint>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

#include "Base/ids.h"
#include "Limits/limits_record.h"

namespace cowslip {

/// The peer link channel of limits messages.
inline constexpr char kLimitsChannel[] = "limits";

/// \class OwnedShard
/// \brief A shard and one of its generations.
struct OwnedShard {
  LimitsShard shard;
  LimitsGeneration generation;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(OwnedShard, shard, generation)

/// \class Announcement
/// \brief An owner lists its shards and requests from each receiver the promise
/// not to approve another owner for kPromiseDuration.
struct Announcement {
  static constexpr char kType[] = "announce";
  Incarnation incarnation;
  uint64_t sequence = 0;
  std::vector<OwnedShard> owned;
  /// Shards that the sender has just released.
  std::vector<LimitsShard> released;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Announcement,
                                   incarnation,
                                   sequence,
                                   owned,
                                   released)

/// \class PromiseReply
/// \brief Reply to an announcement.
struct PromiseReply {
  static constexpr char kType[] = "promise";
  Incarnation owner_incarnation;
  Incarnation incarnation;
  uint64_t sequence = 0;
  std::vector<OwnedShard> granted;
  /// The end of these generations has been approved: the receiver no longer
  /// owns them.
  std::vector<OwnedShard> superseded;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PromiseReply,
                                   owner_incarnation,
                                   incarnation,
                                   sequence,
                                   granted,
                                   superseded)

/// \class ApprovalRequest
/// \brief Requests a witness's approval of the end of `generation`.
struct ApprovalRequest {
  static constexpr char kType[] = "approve";
  Incarnation incarnation;
  LimitsShard shard;
  LimitsGeneration generation;
  /// The version of the record that the claimant has read.
  ObjectVersion version;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ApprovalRequest,
                                   incarnation,
                                   shard,
                                   generation,
                                   version)

/// \class ApprovalReply
/// \brief The sender approves the end of that generation and will never again
/// give it a promise.
struct ApprovalReply {
  static constexpr char kType[] = "approved";
  Incarnation asker_incarnation;
  LimitsShard shard;
  LimitsGeneration generation;
  ObjectVersion version;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ApprovalReply,
                                   asker_incarnation,
                                   shard,
                                   generation,
                                   version)

/// \class LimitCheck
/// \brief A request that the sender asks the shard's owner to admit.
struct LimitCheck {
  uint64_t id = 0;
  /// Incremented each time the same check is sent again.
  uint32_t attempt = 0;
  OrganisationId organisation;
  double cost = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LimitCheck, id, attempt, organisation, cost)

struct LimitCheckBatch {
  static constexpr char kType[] = "ask";
  Incarnation incarnation;
  std::vector<LimitCheck> asks;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LimitCheckBatch, incarnation, asks)

enum class LimitCheckOutcome { kAdmitted, kRefused, kNotOwner };
NLOHMANN_JSON_SERIALIZE_ENUM(LimitCheckOutcome,
                             {{LimitCheckOutcome::kNotOwner, "not_owner"},
                              {LimitCheckOutcome::kAdmitted, "admitted"},
                              {LimitCheckOutcome::kRefused, "refused"}})

struct LimitCheckResult {
  uint64_t id = 0;
  uint32_t attempt = 0;
  LimitCheckOutcome outcome = LimitCheckOutcome::kNotOwner;
  int64_t retry_after_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LimitCheckResult,
                                   id,
                                   attempt,
                                   outcome,
                                   retry_after_ms)

struct LimitCheckReply {
  static constexpr char kType[] = "answer";
  Incarnation asker_incarnation;
  std::vector<LimitCheckResult> answers;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LimitCheckReply, asker_incarnation, answers)

/// \class ShareAmount
/// \brief A fraction of an organisation's limit that is transferred between two
/// VMs, with its tokens.
struct ShareAmount {
  OrganisationId organisation;
  /// Of kWholeShare.
  int64_t fraction = 0;
  double tokens = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ShareAmount, organisation, fraction, tokens)

/// \class Transfer
/// \brief Shares that the sender has already deducted from its own. Sent again
/// until the receiver acknowledges the number; number 0 stands for no transfer.
struct Transfer {
  uint64_t number = 0;
  std::vector<ShareAmount> shares;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Transfer, number, shares)

struct OrganisationDemand {
  OrganisationId organisation;
  /// Requested cost per second.
  double rate = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(OrganisationDemand, organisation, rate)

/// \class ShareReport
/// \brief A holder's report to the owner of a shard; it renews the holder's
/// lease.
struct ShareReport {
  static constexpr char kType[] = "report";
  Incarnation incarnation;
  uint64_t sequence = 0;
  OwnedShard shard;
  /// The session that the owner has assigned; 0 requests a new one.
  uint64_t session = 0;
  uint64_t applied_grant = 0;
  Transfer returned;
  std::vector<OrganisationDemand> demand;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ShareReport,
                                   incarnation,
                                   sequence,
                                   shard,
                                   session,
                                   applied_grant,
                                   returned,
                                   demand)

/// \class ShareLease
/// \brief The owner's reply to a report: the holder may admit until kShareLease
/// after it sent the report.
struct ShareLease {
  static constexpr char kType[] = "lease";
  Incarnation holder_incarnation;
  uint64_t sequence = 0;
  OwnedShard shard;
  uint64_t session = 0;
  uint64_t applied_return = 0;
  Transfer grant;
  /// The fractions that the holder must return; `tokens` is not used.
  std::vector<ShareAmount> recall;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ShareLease,
                                   holder_incarnation,
                                   sequence,
                                   shard,
                                   session,
                                   applied_return,
                                   grant,
                                   recall)

using LimitsMessage = std::variant<Announcement,
                                   PromiseReply,
                                   ApprovalRequest,
                                   ApprovalReply,
                                   LimitCheckBatch,
                                   LimitCheckReply,
                                   ShareReport,
                                   ShareLease>;

}  // namespace cowslip

#endif  // SOURCE_LIMITS_LIMITS_MESSAGES_H_
