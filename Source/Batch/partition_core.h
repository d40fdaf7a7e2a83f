#ifndef SOURCE_BATCH_PARTITION_CORE_H_
#define SOURCE_BATCH_PARTITION_CORE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Base/ids.h"
#include "Base/time.h"
#include "Batch/batch_keys.h"
#include "Batch/job_queue.h"
#include "Batch/partition_events.h"
#include "Batch/partition_state.h"

namespace cowslip {

/// \class PartitionOptions
/// \brief Limits and intervals of one partition's core.
struct PartitionOptions {
  PartitionId partition;
  VmId self;
  Incarnation incarnation;
  /// Wall-clock time, in milliseconds since the epoch, at the zero of the
  /// monotonic clock.
  int64_t wall_clock_offset_ms = 0;

  /// Validity of an owner's lease, on its own clock, from the start of its last
  /// committed append.
  Duration lease = std::chrono::seconds(10);
  /// How much longer a successor waits, to allow for clocks that run at
  /// different rates.
  Duration lease_margin = std::chrono::seconds(2);
  /// How often a VM that needs the partition polls the journal.
  Duration poll_interval = std::chrono::seconds(1);
  /// How often the assigned VM polls the journal of an idle partition.
  Duration idle_poll_interval = std::chrono::seconds(30);
  /// An owner without running jobs releases the partition after this.
  Duration idle_release_delay = std::chrono::seconds(5);
  /// The longest time that a journal entry waits for the next append.
  Duration commit_interval = std::chrono::milliseconds(500);
  /// Delay before a failed store call is repeated.
  Duration store_retry_delay = std::chrono::milliseconds(500);
  /// How long a draining owner lets its items run before it cancels them.
  Duration drain_timeout = std::chrono::seconds(20);

  /// The number of attempts after which a failing item ends with an error.
  uint32_t max_attempts = 4;
  /// Delay before the second attempt; doubles for each further one.
  Duration attempt_backoff = std::chrono::seconds(1);
  /// The longest delay before an item runs again whose backend server was lost:
  /// the item is most likely sound, and backend servers are soon back.
  Duration max_lost_run_backoff = std::chrono::seconds(8);
  /// A job that is not done this long after its deadline ends as expired.
  Duration expire_after_deadline = std::chrono::hours(24);
  /// The most bytes of one result.
  size_t max_result_bytes = 256 * 1024;
  /// Pending entries are appended at once when they reach this many bytes,
  /// about the largest size of a record.
  size_t max_record_bytes = 512 * 1024;
  /// The number of journal records after which a checkpoint is due.
  uint32_t records_per_checkpoint = 32;
  /// Bytes of outcomes held in memory and in the checkpoint; beyond this they
  /// are moved to output segments.
  size_t max_unflushed_bytes = 384 * 1024;
  /// New jobs are refused while StateBytes() exceeds the sum of this and
  /// max_unflushed_bytes.
  size_t max_state_bytes = 256 * 1024;
};

/// \class PartitionCounters
/// \brief Counters for metrics, since the start of the process.
struct PartitionCounters {
  uint64_t appends = 0;
  uint64_t checkpoints = 0;
  uint64_t object_writes = 0;
  uint64_t claims = 0;
  uint64_t leases_lost = 0;
  uint64_t dispatches = 0;
  uint64_t attempts_failed = 0;
  uint64_t preemptions = 0;
  uint64_t outcomes = 0;
};

/// \class PartitionCore
/// \brief The decision logic for one partition on one VM: ownership, commits to
/// the journal, and dispatch of items. Performs no I/O.
///
/// The journal is a ring of slots in the store. Each slot is written on the
/// condition that it still has the version that was read, so that records form
/// one sequence even with concurrent writers. The first record of an owner
/// claims the lease; after a successor's claim, every append of a paused former
/// owner conflicts.
class PartitionCore {
 public:
  explicit PartitionCore(PartitionOptions options);

  std::vector<PartitionAction> Handle(PartitionEvent event, MonotonicTime now);

  /// Returns the jobs with an item that may be dispatched now.
  std::vector<DispatchCandidate> Candidates(MonotonicTime now);

  bool IsOwner(MonotonicTime now) const;
  bool drained() const;
  /// Dispatched items without a result.
  size_t running_items() const { return m_running.size(); }
  /// Non-idempotent items taken for dispatch whose intent is not committed yet.
  size_t uncommitted_intents() const { return m_uncommitted_intents; }
  const PartitionState& state() const { return m_state; }
  const PartitionCounters& counters() const { return m_counters; }
  /// Approximate size of the job state held in memory, in bytes.
  size_t StateBytes() const;

 private:
  enum class Phase {
    /// Not assigned, draining, or the stored state cannot be decoded; nothing
    /// is read.
    kPassive,
    /// Reading the checkpoint and the journal.
    kReplaying,
    /// At the end of the journal; another VM may hold the lease.
    kFollowing,
    /// The claim is being appended.
    kClaiming,
    kOwning,
  };
  enum class AppendStep { kReadSlot, kWrite, kWaitToRetry };
  enum class CheckpointStep { kWriteObjects, kWrite, kRead, kWaitToRetry };

  struct PendingAppend {
    JournalRecord record;
    std::string bytes;
    AppendStep step = AppendStep::kReadSlot;
    StoreCallId call;
    // When the first write began; the renewed lease counts from here.
    std::optional<MonotonicTime> first_write_at;
    MonotonicTime retry_at;
  };
  struct PendingCheckpoint {
    Checkpoint checkpoint;
    std::vector<ObjectWrite> writes;
    // The output segment that is being filled.
    std::vector<JobOutcomes> segment;
    size_t segment_bytes = 0;
    std::string bytes;
    // The number of unflushed outcomes of each job that were moved to segments.
    std::map<JobId, size_t> flushed;
    std::vector<JobId> ended;
    CheckpointStep step = CheckpointStep::kWriteObjects;
    CheckpointStep retry_step = CheckpointStep::kWriteObjects;
    StoreCallId call;
    MonotonicTime retry_at;
  };
  struct Slot {
    bool version_known = false;
    std::optional<ObjectVersion> version;
  };
  struct RunningItem {
    JobId job;
    uint32_t item = 0;
  };
  struct DeferredRequest {
    PartitionEvent event;
    BatchRequestId request;
  };
  // Requests for a job that the state does not hold; they wait for a read that
  // shows whether the job has ended.
  struct EndedJobLookup {
    StoreCallId call;
    std::vector<DeferredRequest> requests;
  };

  // Events.
  void On(const Tick&);
  void On(const AssignmentChanged& event);
  void On(const DrainRequested&);
  void On(const ReadCompleted& event);
  void On(const WriteCompleted& event);
  void On(const EndedJobReadCompleted& event);
  void On(const SubmitRequested& event);
  void On(const ViewRequested& event);
  void On(const CancelRequested& event);
  void On(const DispatchNext& event);
  void On(const ItemResultReceived& event);

  // Lease and replay (partition_core.cc).
  void BeginReplay();
  void OnReplayRead(const ReadCompleted& event);
  void OnCheckpointReplayed(const ReadCompleted& event);
  void OnSlotReplayed(const ReadCompleted& event);
  void ReadNextSlot();
  void FollowOrClaim();
  bool NeedsOwnership() const;
  bool LeaseIsClaimable() const;
  void Claim();
  void OnClaimed();
  void StepDown(const char* reason);
  void ReleaseWhenIdle();
  void OnReleased();
  void StopRunningItems();
  bool handing_over() const { return m_draining || !m_assigned; }
  bool serving() const { return m_phase == Phase::kOwning && !m_releasing; }

  // Journal and checkpoint (partition_journal.cc).
  void AddEntry(JournalEntry entry, bool urgent);
  void AppendWhenDue();
  void StartAppend(std::vector<JournalEntry> entries);
  void ContinueAppend();
  void OnAppendSlotRead(const ReadCompleted& event);
  void OnAppendWritten(const WriteResult& result);
  void OnAppendSuperseded();
  void OnAppendCommitted(std::optional<ObjectVersion> version);
  void HandleCommittedRecord(const JournalRecord& record);
  std::vector<JournalEntry> TakePendingEntries();
  void CheckpointWhenDue();
  bool CheckpointIsDue() const;
  void BuildCheckpoint();
  void FlushJob(PendingCheckpoint& pending, JobState& job);
  void CloseSegment(PendingCheckpoint& pending);
  void ContinueCheckpoint();
  void OnCheckpointRead(const ReadCompleted& event);
  void OnCheckpointWritten(const WriteResult& result);
  void OnCheckpointDone(ObjectVersion version);
  void RetryCheckpoint(CheckpointStep step);

  // Requests (partition_requests.cc).
  void Reply(BatchRequestId request, JobView view);
  void Refuse(BatchRequestId request, ErrorKind kind, std::string message);
  void DeferOrRefuse(BatchRequestId request, PartitionEvent event);
  void HandleDeferredRequests();
  void RefuseAllRequests();
  void LookUpEndedJob(const JobId& job, DeferredRequest request);
  void AcceptJob(const SubmitRequested& event);
  void StopJob(const JobId& job, JobStatus status);
  void ExpireJobs();
  void ReplyFromEndedJob(const DeferredRequest& deferred, const JobState& job);
  void HandleUnknownJob(const DeferredRequest& deferred);

  // Items (partition_items.cc).
  void Dispatch(const JobId& job, uint32_t item);
  void RecordOutcome(const JobId& job, ItemOutcome outcome);
  void EndInDoubt(const JobState& job,
                  uint32_t item,
                  const ItemId& custom_id,
                  std::string detail);
  void RequeueAfterLoss(JobQueue& queue, uint32_t item);
  void OnAttemptFailed(const JobState& job,
                       uint32_t item,
                       const ItemId& custom_id,
                       int status,
                       std::string detail);
  void OnItemResult(const JobState& job,
                    uint32_t item,
                    const ItemId& custom_id,
                    const ItemResult& result);
  void OnItemCompleted(const JobState& job,
                       uint32_t item,
                       const ItemId& custom_id,
                       const ItemCompleted& completed);
  void DropQueue(const JobId& job);
  void FailItemsInDoubt();

  StoreCallId NextCall() { return ++m_last_call; }
  int64_t WallMs() const;
  MonotonicTime FromWallMs(int64_t wall_ms) const;
  bool LeaseIsValid() const;
  template <class Action>
  void Emit(Action action) {
    m_actions.push_back(std::move(action));
  }

  const PartitionOptions m_options;
  MonotonicTime m_now;
  std::vector<PartitionAction> m_actions;
  StoreCallId m_last_call;
  PartitionCounters m_counters;

  Phase m_phase = Phase::kPassive;
  bool m_assigned = false;
  bool m_draining = false;
  MonotonicTime m_drain_started_at;
  PartitionState m_state;
  std::vector<Slot> m_slots;

  // Replaying and following.
  StoreCallId m_read_call;
  bool m_reading = false;
  bool m_reading_checkpoint = false;
  MonotonicTime m_next_read_at;
  // When the journal was last seen to advance, or its end was first reached;
  // the lease of another owner is counted from here.
  MonotonicTime m_lease_observed_at;

  // Owning.
  FencingNumber m_epoch;
  MonotonicTime m_lease_until;
  MonotonicTime m_last_busy_at;
  bool m_releasing = false;
  std::vector<JournalEntry> m_pending_entries;
  size_t m_pending_entry_bytes = 0;
  std::optional<MonotonicTime> m_commit_at;
  std::optional<PendingAppend> m_append;
  uint64_t m_last_token = 0;
  std::optional<PendingCheckpoint> m_checkpoint;
  std::optional<ObjectVersion> m_checkpoint_version;
  JournalSequence m_checkpoint_next_sequence;
  uint32_t m_last_segment = 0;

  // Requests.
  std::vector<DeferredRequest> m_deferred;
  std::map<JobId, EndedJobLookup> m_ended_job_lookups;
  std::map<JobId, JobHeader> m_uncommitted_jobs;
  std::map<JobId, std::vector<BatchRequestId>> m_submit_requests;
  std::map<JobId, std::vector<BatchRequestId>> m_cancel_requests;

  // Items.
  std::map<JobId, JobQueue> m_queues;
  std::map<JobId, JobStatus> m_stopping_jobs;
  std::map<DispatchId, RunningItem> m_running;
  DispatchId m_last_dispatch;
  size_t m_uncommitted_intents = 0;
};

}  // namespace cowslip

#endif  // SOURCE_BATCH_PARTITION_CORE_H_
