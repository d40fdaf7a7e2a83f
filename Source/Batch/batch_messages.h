#ifndef SOURCE_BATCH_BATCH_MESSAGES_H_
#define SOURCE_BATCH_BATCH_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

#include "Base/ids.h"

namespace cowslip {

/// The number of one partition, from 0.
using PartitionId = StrongNumber<struct PartitionIdTag, uint32_t>;
/// The position of a record in one partition's journal, from 0.
using JournalSequence = StrongNumber<struct JournalSequenceTag, uint64_t>;

/// \class JobHeader
/// \brief The properties of a job that are fixed when it is accepted. Its items
/// stay in the object store.
struct JobHeader {
  JobId job;
  OrganisationId organisation;
  /// Digest of the JSONL text, the route and the class. A resubmission must
  /// match it.
  Digest body_digest;
  uint32_t items = 0;
  /// The index of the first item of each input segment.
  std::vector<uint32_t> segment_starts;
  /// True when the requests of all items may be repeated.
  bool idempotent = true;
  /// Runs after the organisation's other jobs while its deadline is far.
  bool bulk = false;
  /// Route of the items that specify none.
  RouteId route;
  /// Milliseconds since the epoch.
  int64_t created_ms = 0;
  int64_t deadline_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobHeader,
                                   job,
                                   organisation,
                                   body_digest,
                                   items,
                                   segment_starts,
                                   idempotent,
                                   bulk,
                                   route,
                                   created_ms,
                                   deadline_ms)

/// How an item ended.
enum class OutcomeKind {
  /// The backend server responded with a status below 400.
  kSucceeded,
  /// The backend server responded with an error status that is not retried.
  kRejected,
  /// Every attempt failed.
  kAttemptsExhausted,
  /// A non-idempotent request may or may not have run; it is never run again.
  kMayHaveRun,
  /// The response exceeds the size limit of results.
  kResultTooLarge,
};
NLOHMANN_JSON_SERIALIZE_ENUM(
    OutcomeKind,
    {{OutcomeKind::kSucceeded, "succeeded"},
     {OutcomeKind::kRejected, "rejected"},
     {OutcomeKind::kAttemptsExhausted, "attempts_exhausted"},
     {OutcomeKind::kMayHaveRun, "may_have_run"},
     {OutcomeKind::kResultTooLarge, "result_too_large"}})

/// \class ItemOutcome
/// \brief The one committed outcome of an item.
struct ItemOutcome {
  uint32_t item = 0;
  /// Empty when the owner committed the outcome without reading the item; the
  /// input segment then has the id.
  ItemId custom_id;
  OutcomeKind kind = OutcomeKind::kSucceeded;
  uint32_t attempts = 0;
  /// The backend server's status; 0 without a response.
  int status = 0;
  std::string body;
  /// Human-readable reason why the item failed.
  std::string detail;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ItemOutcome,
                                   item,
                                   custom_id,
                                   kind,
                                   attempts,
                                   status,
                                   body,
                                   detail)

// Entries of a journal record.

/// \class LeaseClaimed
/// \brief The writer of the record owns the partition from this record on.
struct LeaseClaimed {
  static constexpr char kType[] = "claim";
  VmId owner;
  Incarnation incarnation;
  FencingNumber epoch;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LeaseClaimed, owner, incarnation, epoch)

/// \class LeaseReleased
/// \brief The owner has stopped; any VM may claim the partition at once.
struct LeaseReleased {
  static constexpr char kType[] = "release";
  FencingNumber epoch;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LeaseReleased, epoch)

/// \class JobAccepted
/// \brief A job was accepted; its input segments are in the store.
struct JobAccepted {
  static constexpr char kType[] = "job";
  JobHeader header;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobAccepted, header)

/// \class DispatchIntentRecorded
/// \brief A non-idempotent item is about to be dispatched. Committed before the
/// dispatch, so that no later owner runs the item again.
struct DispatchIntentRecorded {
  static constexpr char kType[] = "intent";
  JobId job;
  uint32_t item = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DispatchIntentRecorded, job, item)

/// \class AttemptFailed
/// \brief An attempt failed and the item will be tried again.
struct AttemptFailed {
  static constexpr char kType[] = "attempt";
  JobId job;
  uint32_t item = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AttemptFailed, job, item)

/// \class ItemEnded
/// \brief An item ended with this outcome; later outcomes of the same item are
/// ignored.
struct ItemEnded {
  static constexpr char kType[] = "outcome";
  JobId job;
  ItemOutcome outcome;
  int64_t at_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ItemEnded, job, outcome, at_ms)

/// The state of a job.
enum class JobStatus { kRunning, kCompleted, kCancelled, kExpired };
NLOHMANN_JSON_SERIALIZE_ENUM(JobStatus,
                             {{JobStatus::kRunning, "running"},
                              {JobStatus::kCompleted, "completed"},
                              {JobStatus::kCancelled, "cancelled"},
                              {JobStatus::kExpired, "expired"}})

/// \class JobStopped
/// \brief A job was cancelled or has expired before all its items ended. This
/// is final.
struct JobStopped {
  static constexpr char kType[] = "stop";
  JobId job;
  JobStatus status = JobStatus::kCancelled;
  int64_t at_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobStopped, job, status, at_ms)

using JournalEntry = std::variant<LeaseClaimed,
                                  LeaseReleased,
                                  JobAccepted,
                                  DispatchIntentRecorded,
                                  AttemptFailed,
                                  ItemEnded,
                                  JobStopped>;

/// \class JournalRecord
/// \brief What one append writes. Any record renews its writer's lease.
struct JournalRecord {
  JournalSequence sequence;
  FencingNumber epoch;
  /// Unique for each append. It shows a writer that read the record back that
  /// its write took effect.
  std::string token;
  std::vector<JournalEntry> entries;
};

/// \class SegmentRef
/// \brief Refers to an output segment with outcomes of a job, in commit order.
/// The segment may hold outcomes of other jobs too.
struct SegmentRef {
  /// The epoch of the owner that wrote the segment, so that segments of
  /// different owners never share a key.
  FencingNumber epoch;
  uint32_t number = 0;
  /// The number of this job's outcomes in the segment.
  uint32_t count = 0;

  friend bool operator==(const SegmentRef&, const SegmentRef&) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SegmentRef, epoch, number, count)

/// \class JobOutcomes
/// \brief The outcomes of one job in an output segment.
struct JobOutcomes {
  JobId job;
  std::vector<ItemOutcome> outcomes;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobOutcomes, job, outcomes)

/// \class JobView
/// \brief The state of a job as shown to callers and operators.
struct JobView {
  JobId job;
  OrganisationId organisation;
  JobStatus status = JobStatus::kRunning;
  uint32_t items = 0;
  uint32_t succeeded = 0;
  uint32_t failed = 0;
  /// Items that a cancelled or expired job leaves without an outcome.
  uint32_t not_done = 0;
  bool bulk = false;
  int64_t created_ms = 0;
  int64_t deadline_ms = 0;
  int64_t ended_ms = 0;
  /// True when this request created the job.
  bool created = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobView,
                                   job,
                                   organisation,
                                   status,
                                   items,
                                   succeeded,
                                   failed,
                                   not_done,
                                   bulk,
                                   created_ms,
                                   deadline_ms,
                                   ended_ms,
                                   created)

}  // namespace cowslip

#endif  // SOURCE_BATCH_BATCH_MESSAGES_H_
