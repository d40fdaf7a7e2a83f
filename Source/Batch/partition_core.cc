#include "Batch/partition_core.h"

#include <algorithm>
#include <utility>

#include "Base/log.h"

namespace cowslip {

namespace {

// An owner stops this long before its lease ends, so that its last requests
// have left the process before a successor may claim the partition.
constexpr Duration kLeaseSafetyMargin = std::chrono::milliseconds(500);
// Approximate sizes in memory, for StateBytes().
constexpr size_t kJobBytes = 512;
constexpr size_t kSegmentRefBytes = 16;
constexpr size_t kItemBytes = 96;

}  // namespace

PartitionCore::PartitionCore(PartitionOptions options)
    : m_options(std::move(options)), m_slots(kJournalSlots) {}

std::vector<PartitionAction> PartitionCore::Handle(PartitionEvent event,
                                                   MonotonicTime now) {
  m_now = now;
  if (m_phase == Phase::kOwning && !LeaseIsValid()) {
    StepDown("The lease has expired.");
  }
  std::visit([this](const auto& alternative) { On(alternative); }, event);
  if (m_phase == Phase::kOwning) {
    AppendWhenDue();
  }
  return std::exchange(m_actions, {});
}

bool PartitionCore::LeaseIsValid() const {
  return m_now + kLeaseSafetyMargin < m_lease_until;
}

bool PartitionCore::IsOwner(MonotonicTime now) const {
  // The journal may already hold a release whose write has not been confirmed
  // yet.
  return serving() && now + kLeaseSafetyMargin < m_lease_until;
}

bool PartitionCore::drained() const {
  return m_phase == Phase::kPassive;
}

int64_t PartitionCore::WallMs() const {
  return m_options.wall_clock_offset_ms +
         std::chrono::duration_cast<std::chrono::milliseconds>(
             m_now.time_since_epoch())
             .count();
}

MonotonicTime PartitionCore::FromWallMs(int64_t wall_ms) const {
  return MonotonicTime(
      std::chrono::milliseconds(wall_ms - m_options.wall_clock_offset_ms));
}

void PartitionCore::On(const Tick&) {
  switch (m_phase) {
    case Phase::kPassive:
      return;
    case Phase::kReplaying:
    case Phase::kFollowing:
      FollowOrClaim();
      return;
    case Phase::kClaiming:
      if (handing_over() && m_append->step == AppendStep::kWaitToRetry) {
        OnAppendSuperseded();
        return;
      }
      ContinueAppend();
      return;
    case Phase::kOwning:
      ExpireJobs();
      ContinueAppend();
      ContinueCheckpoint();
      CheckpointWhenDue();
      ReleaseWhenIdle();
      return;
  }
}

void PartitionCore::On(const AssignmentChanged& event) {
  if (m_assigned == event.assigned) {
    return;
  }
  m_assigned = event.assigned;
  if (m_assigned && !m_draining && m_phase == Phase::kPassive) {
    BeginReplay();
    return;
  }
  const bool reading =
      m_phase == Phase::kReplaying || m_phase == Phase::kFollowing;
  if (!m_assigned && reading) {
    m_phase = Phase::kPassive;
    RefuseAllRequests();
  }
  if (!m_assigned && m_phase == Phase::kOwning) {
    m_drain_started_at = m_now;
  }
}

void PartitionCore::On(const DrainRequested&) {
  m_draining = true;
  m_drain_started_at = m_now;
  if (m_phase == Phase::kReplaying || m_phase == Phase::kFollowing) {
    m_phase = Phase::kPassive;
    RefuseAllRequests();
  }
}

void PartitionCore::On(const ReadCompleted& event) {
  if (m_reading && event.call == m_read_call) {
    OnReplayRead(event);
  } else if (m_append && event.call == m_append->call &&
             m_append->step == AppendStep::kReadSlot) {
    OnAppendSlotRead(event);
  } else if (m_checkpoint && event.call == m_checkpoint->call &&
             m_checkpoint->step == CheckpointStep::kRead) {
    OnCheckpointRead(event);
  }
}

void PartitionCore::On(const WriteCompleted& event) {
  if (m_append && event.call == m_append->call &&
      m_append->step == AppendStep::kWrite) {
    OnAppendWritten(event.result);
  } else if (m_checkpoint && event.call == m_checkpoint->call) {
    OnCheckpointWritten(event.result);
  }
}

void PartitionCore::BeginReplay() {
  m_phase = Phase::kReplaying;
  m_state = PartitionState();
  m_slots.assign(kJournalSlots, Slot());
  m_reading = true;
  m_reading_checkpoint = true;
  m_read_call = NextCall();
  Emit(ReadCheckpoint{.call = m_read_call});
}

void PartitionCore::OnReplayRead(const ReadCompleted& event) {
  m_reading = false;
  if (m_phase != Phase::kReplaying && m_phase != Phase::kFollowing) {
    return;
  }
  if (!event.succeeded) {
    m_next_read_at = m_now + m_options.store_retry_delay;
    return;
  }
  if (m_reading_checkpoint) {
    OnCheckpointReplayed(event);
  } else {
    OnSlotReplayed(event);
  }
}

void PartitionCore::OnCheckpointReplayed(const ReadCompleted& event) {
  m_reading_checkpoint = false;
  m_checkpoint_version.reset();
  if (event.bytes) {
    auto checkpoint = DecodeCheckpoint(*event.bytes);
    if (!checkpoint.has_value()) {
      LOG(ERROR)
          << "batch: partition " << m_options.partition
          << " stays without an owner, its checkpoint cannot be decoded: "
          << checkpoint.error();
      m_phase = Phase::kPassive;
      RefuseAllRequests();
      return;
    }
    m_state = std::move(checkpoint.value().state);
    m_checkpoint_version = event.version;
  }
  m_checkpoint_next_sequence = m_state.next;
  ReadNextSlot();
}

void PartitionCore::ReadNextSlot() {
  m_reading = true;
  m_read_call = NextCall();
  Emit(ReadSlot{.call = m_read_call, .sequence = m_state.next});
}

void PartitionCore::OnSlotReplayed(const ReadCompleted& event) {
  Slot& slot = m_slots[m_state.next.value() % kJournalSlots];
  std::optional<JournalRecord> record;
  if (event.bytes) {
    auto decoded = DecodeRecord(*event.bytes);
    if (!decoded.has_value()) {
      LOG(ERROR)
          << "batch: partition " << m_options.partition
          << " stays without an owner, a journal record cannot be decoded: "
          << decoded.error();
      m_phase = Phase::kPassive;
      RefuseAllRequests();
      return;
    }
    record = std::move(decoded.value());
  }
  if (record && record->sequence > m_state.next) {
    // The owner has wrapped around the ring of slots, so its checkpoint is
    // newer than the one read here.
    BeginReplay();
    return;
  }
  slot.version_known = true;
  slot.version = event.bytes ? std::optional(event.version) : std::nullopt;
  if (record && record->sequence == m_state.next) {
    m_state.Apply(*record);
    m_lease_observed_at = m_now;
    ReadNextSlot();
    return;
  }
  if (m_phase == Phase::kReplaying) {
    m_phase = Phase::kFollowing;
    m_lease_observed_at = m_now;
  }
  m_next_read_at = m_now + (NeedsOwnership() ? m_options.poll_interval
                                             : m_options.idle_poll_interval);
  FollowOrClaim();
}

bool PartitionCore::NeedsOwnership() const {
  return !handing_over() && (!m_deferred.empty() || m_state.has_running_jobs());
}

bool PartitionCore::LeaseIsClaimable() const {
  const bool own = m_state.owner == m_options.self &&
                   m_state.incarnation == m_options.incarnation;
  return m_state.released || own ||
         m_now >=
             m_lease_observed_at + m_options.lease + m_options.lease_margin;
}

void PartitionCore::FollowOrClaim() {
  const bool following = m_phase == Phase::kFollowing;
  if (m_reading || (!following && m_phase != Phase::kReplaying)) {
    return;
  }
  if (following && NeedsOwnership() && LeaseIsClaimable()) {
    Claim();
    return;
  }
  const bool wanted = NeedsOwnership() && following &&
                      m_now + m_options.poll_interval < m_next_read_at;
  if (m_now < m_next_read_at && !wanted) {
    return;
  }
  if (m_phase == Phase::kReplaying && m_reading_checkpoint) {
    BeginReplay();
  } else {
    ReadNextSlot();
  }
}

void PartitionCore::Claim() {
  const uint64_t records_since_checkpoint =
      m_state.next.value() - m_checkpoint_next_sequence.value();
  if (records_since_checkpoint >= kJournalSlots) {
    // The journal has advanced by a whole ring since the checkpoint read here,
    // so its owners have written newer checkpoints.
    BeginReplay();
    return;
  }
  m_phase = Phase::kClaiming;
  m_epoch = m_state.epoch + FencingNumber(1);
  StartAppend({LeaseClaimed{.owner = m_options.self,
                            .incarnation = m_options.incarnation,
                            .epoch = m_epoch}});
}

void PartitionCore::OnClaimed() {
  m_phase = Phase::kOwning;
  m_last_busy_at = m_now;
  ++m_counters.claims;
  LOG(INFO) << "batch: " << m_options.self << " owns partition "
            << m_options.partition << " in epoch " << m_epoch << ".";
  FailItemsInDoubt();
  if (!m_assigned) {
    m_drain_started_at = m_now;
  }
  HandleDeferredRequests();
}

void PartitionCore::StepDown(const char* reason) {
  LOG(WARNING) << "batch: " << m_options.self << " gives up partition "
               << m_options.partition << ". " << reason;
  ++m_counters.leases_lost;
  StopRunningItems();
  m_releasing = false;
  m_queues.clear();
  m_stopping_jobs.clear();
  m_pending_entries.clear();
  m_uncommitted_intents = 0;
  m_pending_entry_bytes = 0;
  m_commit_at.reset();
  m_append.reset();
  m_checkpoint.reset();
  RefuseAllRequests();
  if (handing_over()) {
    m_phase = Phase::kPassive;
    return;
  }
  BeginReplay();
}

void PartitionCore::StopRunningItems() {
  for (const auto& [dispatch, running] : m_running) {
    Emit(CancelItem{
        .dispatch = dispatch, .job = running.job, .item = running.item});
  }
  m_running.clear();
}

void PartitionCore::ReleaseWhenIdle() {
  if (handing_over() && m_now >= m_drain_started_at + m_options.drain_timeout) {
    StopRunningItems();
  }
  if (m_releasing) {
    return;
  }
  const bool busy = !m_running.empty() || m_append || m_checkpoint ||
                    !m_pending_entries.empty() || !m_ended_job_lookups.empty();
  const bool wanted = !handing_over() && m_state.has_running_jobs();
  if (busy || wanted) {
    m_last_busy_at = m_now;
    return;
  }
  if (handing_over() ||
      m_now >= m_last_busy_at + m_options.idle_release_delay) {
    m_releasing = true;
    StartAppend({LeaseReleased{.epoch = m_epoch}});
  }
}

void PartitionCore::OnReleased() {
  LOG(INFO) << "batch: " << m_options.self << " releases partition "
            << m_options.partition << ".";
  m_releasing = false;
  m_queues.clear();
  m_checkpoint.reset();
  if (handing_over()) {
    m_phase = Phase::kPassive;
    RefuseAllRequests();
    return;
  }
  m_phase = Phase::kFollowing;
  m_lease_observed_at = m_now;
  m_next_read_at = m_now + m_options.idle_poll_interval;
  FollowOrClaim();
}

size_t PartitionCore::StateBytes() const {
  size_t bytes = 0;
  for (const auto& [id, job] : m_state.jobs) {
    bytes += kJobBytes + sizeof(uint32_t) * job.header.segment_starts.size() +
             kSegmentRefBytes * job.segments.size() + job.done.window_bytes() +
             kItemBytes * (job.intents.size() + job.failed_attempts.size()) +
             job.unflushed_bytes;
  }
  for (const auto& [id, queue] : m_queues) {
    bytes += kItemBytes * queue.items().size();
  }
  return bytes;
}

}  // namespace cowslip
