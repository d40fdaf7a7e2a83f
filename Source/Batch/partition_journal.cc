// The journal of an owned partition.

#include <algorithm>
#include <utility>

#include "Base/overloaded.h"
#include "Batch/partition_core.h"

namespace cowslip {

namespace {

// A lease is renewed when 1 / kRenewalsPerLease of it has passed.
constexpr int kRenewalsPerLease = 3;
constexpr size_t kEntryOverheadBytes = 160;
// Slots kept free for the claims of successors, which cannot write a
// checkpoint before they own the partition.
constexpr uint32_t kReservedClaimSlots = 16;

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
  m_pending_entry_bytes += ApproximateEntryBytes(entry);
  m_pending_entries.push_back(std::move(entry));
  const bool now =
      urgent || m_pending_entry_bytes >= m_options.max_record_bytes;
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
      lease_left < m_options.lease - m_options.lease / kRenewalsPerLease;
  const bool wanted = m_state.has_running_jobs() || !m_running.empty() ||
                      m_checkpoint || !m_pending_entries.empty() ||
                      handing_over();
  if (commit || (renewal_due && wanted)) {
    StartAppend(TakePendingEntries());
  }
}

std::vector<JournalEntry> PartitionCore::TakePendingEntries() {
  std::vector<JournalEntry> taken;
  size_t bytes = 0;
  auto entry = m_pending_entries.begin();
  while (entry != m_pending_entries.end() &&
         bytes < m_options.max_record_bytes) {
    bytes += ApproximateEntryBytes(*entry);
    taken.push_back(std::move(*entry));
    ++entry;
  }
  m_pending_entries.erase(m_pending_entries.begin(), entry);
  m_pending_entry_bytes -= bytes;
  m_commit_at.reset();
  if (!m_pending_entries.empty()) {
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
  // A checkpoint must cover the slot's earlier record before it is overwritten.
  const uint64_t records_since_checkpoint =
      sequence.value() - m_checkpoint_next_sequence.value();
  const uint32_t slots = m_phase == Phase::kClaiming
                             ? kJournalSlots
                             : kJournalSlots - kReservedClaimSlots;
  if (records_since_checkpoint >= slots) {
    m_append->retry_at = m_now + m_options.store_retry_delay;
    return;
  }
  m_append->call = NextCall();
  const Slot& slot = m_slots[sequence.value() % kJournalSlots];
  if (!slot.version_known) {
    m_append->step = AppendStep::kReadSlot;
    Emit(ReadSlot{.call = m_append->call, .sequence = sequence});
    return;
  }
  m_append->step = AppendStep::kWrite;
  if (!m_append->first_write_at) {
    m_append->first_write_at = m_now;
  }
  ++m_counters.appends;
  Emit(AppendRecord{.call = m_append->call,
                    .sequence = sequence,
                    .bytes = m_append->bytes,
                    .expected_version = slot.version});
}

void PartitionCore::OnAppendSlotRead(const ReadCompleted& event) {
  m_append->step = AppendStep::kWaitToRetry;
  m_append->retry_at = m_now;
  if (!event.succeeded) {
    m_append->retry_at = m_now + m_options.store_retry_delay;
    return;
  }
  const JournalSequence sequence = m_append->record.sequence;
  if (event.bytes) {
    const auto found = DecodeRecord(*event.bytes);
    if (!found.has_value()) {
      OnAppendSuperseded();
      return;
    }
    if (found.value().token == m_append->record.token) {
      OnAppendCommitted(event.version);
      return;
    }
    if (found.value().sequence >= sequence) {
      OnAppendSuperseded();
      return;
    }
  }
  Slot& slot = m_slots[sequence.value() % kJournalSlots];
  slot.version_known = true;
  slot.version = event.bytes ? std::optional(event.version) : std::nullopt;
  ContinueAppend();
}

void PartitionCore::OnAppendWritten(const WriteResult& result) {
  const auto read_back = [this] {
    m_slots[m_append->record.sequence.value() % kJournalSlots].version_known =
        false;
    m_append->step = AppendStep::kWaitToRetry;
    m_append->retry_at = m_now;
    ContinueAppend();
  };
  std::visit(
      Overloaded{
          [&](const Written& written) { OnAppendCommitted(written.version); },
          [&](const WriteConflict&) { read_back(); },
          [&](const WriteInDoubt&) { read_back(); },
          [&](const WriteFailed&) {
            m_append->step = AppendStep::kWaitToRetry;
            m_append->retry_at = m_now + m_options.store_retry_delay;
          }},
      result);
}

void PartitionCore::OnAppendSuperseded() {
  if (m_phase == Phase::kOwning) {
    StepDown("Another VM has claimed the partition.");
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

void PartitionCore::OnAppendCommitted(std::optional<ObjectVersion> version) {
  const PendingAppend append = std::move(*m_append);
  m_append.reset();
  Slot& slot = m_slots[append.record.sequence.value() % kJournalSlots];
  slot.version_known = true;
  slot.version = version;
  m_lease_until = append.first_write_at.value_or(m_now) + m_options.lease;
  m_state.Apply(append.record);
  HandleCommittedRecord(append.record);
}

void PartitionCore::HandleCommittedRecord(const JournalRecord& record) {
  const Overloaded visitor{
      [this](const LeaseClaimed&) { OnClaimed(); },
      [this](const LeaseReleased&) { OnReleased(); },
      [this](const JobAccepted& accepted) {
        const JobId job = accepted.header.job;
        m_uncommitted_jobs.erase(job);
        JobView view = m_state.Find(job)->View();
        view.created = true;
        for (const BatchRequestId request :
             std::exchange(m_submit_requests[job], {})) {
          Reply(request, view);
          view.created = false;
        }
        m_submit_requests.erase(job);
      },
      [this](const DispatchIntentRecorded& intent) {
        --m_uncommitted_intents;
        const JobState* job = m_state.Find(intent.job);
        const auto queue = m_queues.find(intent.job);
        if (LeaseIsValid() && job != nullptr && job->running() &&
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
        m_stopping_jobs.erase(stopped.job);
        const JobView view = m_state.Find(stopped.job)->View();
        for (const BatchRequestId request :
             std::exchange(m_cancel_requests[stopped.job], {})) {
          Reply(request, view);
        }
        m_cancel_requests.erase(stopped.job);
      }};
  for (const JournalEntry& entry : record.entries) {
    std::visit(visitor, entry);
  }
}

}  // namespace cowslip
