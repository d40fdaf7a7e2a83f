#ifndef SOURCE_BATCH_PARTITION_STATE_H_
#define SOURCE_BATCH_PARTITION_STATE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Base/result.h"
#include "Batch/batch_messages.h"
#include "Batch/item_set.h"

namespace cowslip {

/// \class JobState
/// \brief The state of one job according to the journal, without the bodies of
/// its items.
struct JobState {
  JobHeader header;
  JobStatus status = JobStatus::kRunning;
  ItemSet done;
  /// Non-idempotent items that have a committed dispatch intent and may be
  /// running.
  std::set<uint32_t> intents;
  /// Failed attempts of items that are not done.
  std::map<uint32_t, uint32_t> failed_attempts;
  uint32_t succeeded = 0;
  uint32_t failed = 0;
  int64_t ended_ms = 0;
  std::vector<SegmentRef> segments;
  /// Committed outcomes that are not in an output segment yet.
  std::vector<ItemOutcome> unflushed;
  /// The sum of ApproximateBytes() of the unflushed outcomes.
  size_t unflushed_bytes = 0;

  bool running() const { return status == JobStatus::kRunning; }
  uint32_t remaining() const { return header.items - done.size(); }
  JobView View() const;
  void AddUnflushed(ItemOutcome outcome);
  /// Removes the first `count` outcomes, which are now in output segments.
  void DropUnflushed(size_t count);
};

void to_json(nlohmann::json& json, const JobState& state);
void from_json(const nlohmann::json& json, JobState& state);

/// Approximate size of an outcome in a segment, in bytes.
size_t ApproximateBytes(const ItemOutcome& outcome);

/// \class PartitionState
/// \brief The state of a partition after all journal records before `next`.
///
/// Applying the same records yields the same state in every process; owners and
/// readers share this class.
class PartitionState {
 public:
  /// Applies the record at `next`.
  void Apply(const JournalRecord& record);

  JobState* Find(const JobId& job);
  const JobState* Find(const JobId& job) const;
  bool has_running_jobs() const;

  JournalSequence next;
  VmId owner;
  Incarnation incarnation;
  FencingNumber epoch;
  bool released = true;
  std::map<JobId, JobState> jobs;
};

/// A stored state and a token that identifies the write.
struct Checkpoint {
  std::string token;
  PartitionState state;
};

std::string EncodeCheckpoint(const Checkpoint& checkpoint);
/// Errors: kMalformedMessage.
Result<Checkpoint> DecodeCheckpoint(const std::string& bytes);

std::string EncodeRecord(const JournalRecord& record);
/// Errors: kMalformedMessage.
Result<JournalRecord> DecodeRecord(const std::string& bytes);

std::string EncodeJob(const JobState& job);
/// Errors: kMalformedMessage.
Result<JobState> DecodeJob(const std::string& bytes);

std::string EncodeSegment(const std::vector<JobOutcomes>& segment);
/// The outcomes of one job in a segment. Errors: kMalformedMessage.
Result<std::vector<ItemOutcome>> DecodeSegment(const std::string& bytes,
                                               const JobId& job);

}  // namespace cowslip

#endif  // SOURCE_BATCH_PARTITION_STATE_H_
