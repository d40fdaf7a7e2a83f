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
/// \brief A shard with the generation that the sender means.
struct OwnedShard {
  LimitsShard shard;
  LimitsGeneration generation;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(OwnedShard, shard, generation)

/// \class Announcement
/// \brief An owner names its shards and asks each receiver to promise not to
/// approve another owner for kPromiseTime.
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
/// \brief Answers an announcement.
struct PromiseReply {
  static constexpr char kType[] = "promise";
  Incarnation owner_incarnation;
  Incarnation incarnation;
  uint64_t sequence = 0;
  std::vector<OwnedShard> granted;
  /// Another owner has been approved: these are lost to the asker.
  std::vector<OwnedShard> superseded;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PromiseReply,
                                   owner_incarnation,
                                   incarnation,
                                   sequence,
                                   granted,
                                   superseded)

/// \class ApprovalRequest
/// \brief Asks a witness to agree that `generation` ends.
struct ApprovalRequest {
  static constexpr char kType[] = "approve";
  Incarnation incarnation;
  LimitsShard shard;
  LimitsGeneration generation;
  /// The version of the record that the asker has read.
  ObjectVersion version;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ApprovalRequest,
                                   incarnation,
                                   shard,
                                   generation,
                                   version)

/// \class ApprovalReply
/// \brief The sender will never again promise anything to that generation.
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

/// \class Ask
/// \brief One admission that the sender asks the owner for.
struct Ask {
  uint64_t id = 0;
  /// Grows each time the same request is asked for again.
  uint32_t attempt = 0;
  OrganisationId organisation;
  double cost = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Ask, id, attempt, organisation, cost)

struct AskBatch {
  static constexpr char kType[] = "ask";
  Incarnation incarnation;
  std::vector<Ask> asks;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AskBatch, incarnation, asks)

enum class AskOutcome { kAdmitted, kRefused, kNotOwner };
NLOHMANN_JSON_SERIALIZE_ENUM(AskOutcome,
                             {{AskOutcome::kNotOwner, "not_owner"},
                              {AskOutcome::kAdmitted, "admitted"},
                              {AskOutcome::kRefused, "refused"}})

struct AskAnswer {
  uint64_t id = 0;
  uint32_t attempt = 0;
  AskOutcome outcome = AskOutcome::kNotOwner;
  int64_t retry_after_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AskAnswer,
                                   id,
                                   attempt,
                                   outcome,
                                   retry_after_ms)

struct AskReply {
  static constexpr char kType[] = "answer";
  Incarnation asker_incarnation;
  std::vector<AskAnswer> answers;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AskReply, asker_incarnation, answers)

/// \class ShareAmount
/// \brief Part of an organisation's limit on its way between two VMs.
struct ShareAmount {
  OrganisationId organisation;
  /// Of kWholeShare.
  int64_t fraction = 0;
  double tokens = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ShareAmount, organisation, fraction, tokens)

/// \class Transfer
/// \brief Shares that the sender has already deducted. Repeated until the
/// receiver acknowledges the number; number 0 stands for none.
struct Transfer {
  uint64_t number = 0;
  std::vector<ShareAmount> shares;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Transfer, number, shares)

struct OrganisationDemand {
  OrganisationId organisation;
  /// Requested cost a second.
  double rate = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(OrganisationDemand, organisation, rate)

/// \class ShareReport
/// \brief A holder's report to the owner of a shard, which renews its lease.
struct ShareReport {
  static constexpr char kType[] = "report";
  Incarnation incarnation;
  uint64_t sequence = 0;
  OwnedShard shard;
  /// The session that the owner named; 0 asks for one.
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
/// \brief The owner's answer to a report: the holder may admit until
/// kShareLease after it sent the report.
struct ShareLease {
  static constexpr char kType[] = "lease";
  Incarnation holder_incarnation;
  uint64_t sequence = 0;
  OwnedShard shard;
  uint64_t session = 0;
  uint64_t applied_return = 0;
  Transfer grant;
  /// What the owner wants back; `tokens` is not used.
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
                                   AskBatch,
                                   AskReply,
                                   ShareReport,
                                   ShareLease>;

}  // namespace cowslip

#endif  // SOURCE_LIMITS_LIMITS_MESSAGES_H_
