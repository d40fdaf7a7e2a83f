// The journal and the checkpoints of an owned partition.

#include <algorithm>
#include <utility>

#include "Base/log.h"
#include "Base/overloaded.h"
#include "Batch/partition_core.h"

namespace cowslip {

namespace {

// Renewal is due when this part of the lease has passed.
constexpr int kRenewalsInLease = 3;
constexpr size_t kEntryOverheadBytes = 160;
// Slots kept free for the claims of successors, which cannot write a
// checkpoint before they own the partition.
constexpr uint32_t kSlotsForClaims = 16;

size_t ApproximateEntryBytes(const JournalEntry& entry) {
  if (const auto* ended = std::get_if<ItemEnded>(&entry)) {
    return kEntryOverheadBytes + ApproximateBytes(ended->outcome);
  }
  if (const auto* accepted = std::get_if<JobAccepted>(&entry)) {
    return kEntryOverheadBytes * 3 +
           sizeof(uint32_t) * accepted->header.segment_starts.size();
  }
  return kEntryOverheadBytes;
}

}  // namespace

void PartitionCore::AddEntry(JournalEntry entry, bool urgent) {
  m_entry_bytes += ApproximateEntryBytes(entry);
  m_entries.push_back(std::move(entry));
  const bool now = urgent || m_entry_bytes >= m_options.max_record_bytes;
  const MonotonicTime due = now ? m_now : m_now + m_options.commit_interval;
  m_commit_at = m_commit_at ? std::min(*m_commit_at, due) : due;
}

void PartitionCore::AppendWhenDue() {
  if (m_append) {
    return;
  }
  const bool commit = m_commit_at && *m_commit_at <= m_now;
  const Duration lease_left = m_lease_until - m_now;
  const bool renewal_due =
      lease_left < m_options.lease - m_options.lease / kRenewalsInLease;
  const bool wanted = m_state.has_running_jobs() || !m_running.empty() ||
                      m_checkpoint || !m_entries.empty() || handing_over();
  if (commit || (renewal_due && wanted)) {
    StartAppend(TakeEntries());
  }
}

std::vector<JournalEntry> PartitionCore::TakeEntries() {
  std::vector<JournalEntry> taken;
  size_t bytes = 0;
  auto entry = m_entries.begin();
  while (entry != m_entries.end() && bytes < m_options.max_record_bytes) {
    bytes += ApproximateEntryBytes(*entry);
    taken.push_back(std::move(*entry));
    ++entry;
  }
  m_entries.erase(m_entries.begin(), entry);
  m_entry_bytes -= bytes;
  m_commit_at.reset();
  if (!m_entries.empty()) {
    m_commit_at = m_now;
  }
  return taken;
}

void PartitionCore::StartAppend(std::vector<JournalEntry> entries) {
  PendingAppend append;
  append.record.sequence = m_state.next;
  append.record.epoch = m_epoch;
  append.record.token = m_options.self.value() + "/" +
                        std::to_string(m_options.incarnation.value()) + "/" +
                        std::to_string(++m_last_token);
  append.record.entries = std::move(entries);
  append.bytes = EncodeRecord(append.record);
  append.step = AppendStep::kWaitToRetry;
  append.retry_at = m_now;
  m_append = std::move(append);
  ContinueAppend();
}

void PartitionCore::ContinueAppend() {
  if (!m_append || m_append->step != AppendStep::kWaitToRetry ||
      m_now < m_append->retry_at) {
    return;
  }
  const JournalSequence sequence = m_append->record.sequence;
  // The slot's earlier record must be in the checkpoint before it goes.
  const uint64_t since = sequence.value() - m_checkpoint_next.value();
  const uint32_t slots = m_phase == Phase::kClaiming
                             ? kJournalSlots
                             : kJournalSlots - kSlotsForClaims;
  if (since >= slots) {
    m_append->retry_at = m_now + m_options.store_retry;
    return;
  }
  m_append->call = NextCall();
  const Slot& slot = m_slots[sequence.value() % kJournalSlots];
  if (!slot.known) {
    m_append->step = AppendStep::kReadSlot;
    Emit(ReadSlot{.call = m_append->call, .sequence = sequence});
    return;
  }
  m_append->step = AppendStep::kWrite;
  if (!m_append->written_at) {
    m_append->written_at = m_now;
  }
  ++m_counters.appends;
  Emit(AppendRecord{.call = m_append->call,
                    .sequence = sequence,
                    .bytes = m_append->bytes,
                    .over = slot.version});
}

void PartitionCore::OnAppendSlotRead(const ReadAnswered& event) {
  m_append->step = AppendStep::kWaitToRetry;
  m_append->retry_at = m_now;
  if (!event.answered) {
    m_append->retry_at = m_now + m_options.store_retry;
    return;
  }
  const JournalSequence sequence = m_append->record.sequence;
  if (event.bytes) {
    const auto found = DecodeRecord(*event.bytes);
    if (!found.has_value()) {
      OnAppendLost();
      return;
    }
    if (found.value().token == m_append->record.token) {
      OnCommitted(event.version);
      return;
    }
    if (found.value().sequence >= sequence) {
      OnAppendLost();
      return;
    }
  }
  Slot& slot = m_slots[sequence.value() % kJournalSlots];
  slot.known = true;
  slot.version = event.bytes ? std::optional(event.version) : std::nullopt;
  ContinueAppend();
}

void PartitionCore::OnAppendWritten(const WriteAnswer& answer) {
  const auto read_back = [this] {
    m_slots[m_append->record.sequence.value() % kJournalSlots].known = false;
    m_append->step = AppendStep::kWaitToRetry;
    m_append->retry_at = m_now;
    ContinueAppend();
  };
  std::visit(
      Overloaded{[&](const Written& written) { OnCommitted(written.version); },
                 [&](const WriteConflict&) { read_back(); },
                 [&](const WriteInDoubt&) { read_back(); },
                 [&](const WriteFailed&) {
                   m_append->step = AppendStep::kWaitToRetry;
                   m_append->retry_at = m_now + m_options.store_retry;
                 }},
      answer);
}

void PartitionCore::OnAppendLost() {
  if (m_phase == Phase::kOwning) {
    StepDown("Another VM has claimed it.");
    return;
  }
  m_append.reset();
  if (handing_over()) {
    m_phase = Phase::kPassive;
    RefuseAllRequests();
    return;
  }
  BeginReplay();
}

void PartitionCore::OnCommitted(std::optional<ObjectVersion> version) {
  const PendingAppend append = std::move(*m_append);
  m_append.reset();
  Slot& slot = m_slots[append.record.sequence.value() % kJournalSlots];
  slot.known = true;
  slot.version = version;
  m_lease_until = append.written_at.value_or(m_now) + m_options.lease;
  m_state.Apply(append.record);
  AfterCommit(append.record);
}

void PartitionCore::AfterCommit(const JournalRecord& record) {
  const Overloaded visitor{
      [this](const LeaseClaimed&) { OnClaimed(); },
      [this](const LeaseReleased&) { OnReleased(); },
      [this](const JobAccepted& accepted) {
        const JobId job = accepted.header.job;
        m_accepting.erase(job);
        JobView view = m_state.Find(job)->View();
        view.created = true;
        for (const BatchRequestId request :
             std::exchange(m_submitters[job], {})) {
          Reply(request, view);
          view.created = false;
        }
        m_submitters.erase(job);
      },
      [this](const ItemIntended& intent) {
        --m_intending;
        const JobState* job = m_state.Find(intent.job);
        const auto queue = m_queues.find(intent.job);
        if (LeaseHolds() && job != nullptr && job->running() &&
            queue != m_queues.end() && queue->second.Contains(intent.item)) {
          Dispatch(intent.job, intent.item);
        }
      },
      [](const AttemptFailed&) {},
      [this](const ItemEnded& ended) {
        ++m_counters.outcomes;
        const auto queue = m_queues.find(ended.job);
        if (queue != m_queues.end()) {
          queue->second.Erase(ended.outcome.item);
        }
        const JobState* job = m_state.Find(ended.job);
        if (job != nullptr && !job->running()) {
          DropQueue(ended.job);
        }
      },
      [this](const JobStopped& stopped) {
        DropQueue(stopped.job);
        m_stopping.erase(stopped.job);
        const JobView view = m_state.Find(stopped.job)->View();
        for (const BatchRequestId request :
             std::exchange(m_cancellers[stopped.job], {})) {
          Reply(request, view);
        }
        m_cancellers.erase(stopped.job);
      }};
  for (const JournalEntry& entry : record.entries) {
    std::visit(visitor, entry);
  }
}

bool PartitionCore::CheckpointIsDue() const {
  const uint64_t since = m_state.next.value() - m_checkpoint_next.value();
  if (since >= m_options.checkpoint_records) {
    return true;
  }
  size_t unflushed = 0;
  size_t ended = 0;
  for (const auto& [id, job] : m_state.jobs) {
    unflushed += UnflushedBytes(job);
    ended += job.running() ? 0 : 1;
  }
  const bool idle = m_running.empty() && !m_state.has_running_jobs();
  return unflushed >= m_options.unflushed_bytes || (ended > 0 && idle);
}

void PartitionCore::CheckpointWhenDue() {
  if (m_checkpoint || !CheckpointIsDue()) {
    return;
  }
  BuildCheckpoint();
  ContinueCheckpoint();
}

void PartitionCore::FlushJob(PendingCheckpoint& pending, JobState& job) {
  pending.flushed[job.header.job] = job.unflushed.size();
  std::vector<ItemOutcome> segment;
  size_t bytes = 0;
  const auto close = [&] {
    if (segment.empty()) {
      return;
    }
    const SegmentRef ref{.epoch = m_epoch,
                         .number = static_cast<uint32_t>(job.segments.size()),
                         .count = static_cast<uint32_t>(segment.size())};
    pending.writes.push_back(
        {.key = OutputSegmentKey(m_options.partition, job.header.job, ref),
         .bytes = EncodeOutcomes(segment)});
    job.segments.push_back(ref);
    segment.clear();
    bytes = 0;
  };
  for (ItemOutcome& outcome : job.unflushed) {
    const size_t outcome_bytes = ApproximateBytes(outcome);
    if (bytes + outcome_bytes > kSegmentBytes) {
      close();
    }
    bytes += outcome_bytes;
    segment.push_back(std::move(outcome));
  }
  close();
  job.unflushed.clear();
}

void PartitionCore::BuildCheckpoint() {
  PendingCheckpoint pending;
  PartitionState& state = pending.checkpoint.state;
  state = m_state;
  pending.checkpoint.token = m_options.self.value() + "/" +
                             std::to_string(m_options.incarnation.value()) +
                             "/" + std::to_string(++m_last_token);
  std::vector<std::pair<size_t, JobId>> by_size;
  size_t unflushed = 0;
  for (auto& [id, job] : state.jobs) {
    // A job with a stop on its way to the journal stays until it is there.
    if (!job.running() && m_stopping.count(id) == 0) {
      FlushJob(pending, job);
      pending.writes.push_back({.key = EndedJobKey(m_options.partition, id),
                                .bytes = EncodeJob(job)});
      pending.ended.push_back(id);
      continue;
    }
    by_size.emplace_back(UnflushedBytes(job), id);
    unflushed += by_size.back().first;
  }
  for (const JobId& id : pending.ended) {
    state.jobs.erase(id);
  }
  // The largest first, so that segments are few and large; small rests stay in
  // the checkpoint.
  std::sort(by_size.rbegin(), by_size.rend());
  for (const auto& [bytes, id] : by_size) {
    if (unflushed < m_options.unflushed_bytes / 2) {
      break;
    }
    FlushJob(pending, *state.Find(id));
    unflushed -= bytes;
  }
  pending.bytes = EncodeCheckpoint(pending.checkpoint);
  pending.step = CheckpointStep::kWaitToRetry;
  pending.retry_step = pending.writes.empty() ? CheckpointStep::kWrite
                                              : CheckpointStep::kWriteObjects;
  pending.retry_at = m_now;
  m_checkpoint = std::move(pending);
}

void PartitionCore::RetryCheckpoint(CheckpointStep step) {
  m_checkpoint->step = CheckpointStep::kWaitToRetry;
  m_checkpoint->retry_step = step;
  m_checkpoint->retry_at = m_now + m_options.store_retry;
}

void PartitionCore::ContinueCheckpoint() {
  if (!m_checkpoint || m_checkpoint->step != CheckpointStep::kWaitToRetry ||
      m_now < m_checkpoint->retry_at) {
    return;
  }
  m_checkpoint->step = m_checkpoint->retry_step;
  m_checkpoint->call = NextCall();
  const StoreCallId call = m_checkpoint->call;
  switch (m_checkpoint->step) {
    case CheckpointStep::kWriteObjects:
      m_counters.object_writes += m_checkpoint->writes.size();
      Emit(WriteObjects{.call = call, .writes = m_checkpoint->writes});
      return;
    case CheckpointStep::kWrite:
      ++m_counters.checkpoints;
      Emit(WriteCheckpoint{.call = call,
                           .bytes = m_checkpoint->bytes,
                           .over = m_checkpoint_version});
      return;
    case CheckpointStep::kRead:
      Emit(ReadCheckpoint{.call = call});
      return;
    case CheckpointStep::kWaitToRetry:
      return;
  }
}

void PartitionCore::OnCheckpointWritten(const WriteAnswer& answer) {
  const bool objects = m_checkpoint->step == CheckpointStep::kWriteObjects;
  const auto* written = std::get_if<Written>(&answer);
  if (objects) {
    if (written == nullptr) {
      RetryCheckpoint(CheckpointStep::kWriteObjects);
      return;
    }
    m_checkpoint->retry_step = CheckpointStep::kWrite;
    m_checkpoint->step = CheckpointStep::kWaitToRetry;
    ContinueCheckpoint();
    return;
  }
  if (written != nullptr) {
    OnCheckpointDone(written->version);
    return;
  }
  const bool failed = std::holds_alternative<WriteFailed>(answer);
  RetryCheckpoint(failed ? CheckpointStep::kWrite : CheckpointStep::kRead);
}

void PartitionCore::OnCheckpointRead(const ReadAnswered& event) {
  if (!event.answered) {
    RetryCheckpoint(CheckpointStep::kRead);
    return;
  }
  m_checkpoint_version.reset();
  if (event.bytes) {
    const auto found = DecodeCheckpoint(*event.bytes);
    if (!found.has_value()) {
      RetryCheckpoint(CheckpointStep::kRead);
      return;
    }
    if (found.value().token == m_checkpoint->checkpoint.token) {
      OnCheckpointDone(event.version);
      return;
    }
    // A checkpoint further on can only come from a successor.
    if (found.value().state.next > m_checkpoint->checkpoint.state.next) {
      StepDown("Another VM has written a newer checkpoint.");
      return;
    }
    m_checkpoint_version = event.version;
  }
  RetryCheckpoint(CheckpointStep::kWrite);
}

void PartitionCore::OnCheckpointDone(ObjectVersion version) {
  const PendingCheckpoint done = std::move(*m_checkpoint);
  m_checkpoint.reset();
  m_checkpoint_version = version;
  m_checkpoint_next = done.checkpoint.state.next;
  for (const auto& [id, count] : done.flushed) {
    JobState* job = m_state.Find(id);
    const JobState* written = done.checkpoint.state.Find(id);
    if (job == nullptr || written == nullptr) {
      continue;
    }
    job->segments = written->segments;
    job->unflushed.erase(
        job->unflushed.begin(),
        job->unflushed.begin() + static_cast<std::ptrdiff_t>(count));
  }
  for (const JobId& id : done.ended) {
    m_state.jobs.erase(id);
  }
  ContinueAppend();
}

}  // namespace cowslip
