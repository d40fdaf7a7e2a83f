// The checkpoints of an owned partition.

#include <algorithm>
#include <utility>

#include "Batch/partition_core.h"

namespace cowslip {

bool PartitionCore::CheckpointIsDue() const {
  const uint64_t records_since_checkpoint =
      m_state.next.value() - m_checkpoint_next_sequence.value();
  if (records_since_checkpoint >= m_options.records_per_checkpoint) {
    return true;
  }
  size_t unflushed = 0;
  size_t ended = 0;
  for (const auto& [id, job] : m_state.jobs) {
    unflushed += job.unflushed_bytes;
    ended += job.running() ? 0 : 1;
  }
  const bool idle = m_running.empty() && !m_state.has_running_jobs();
  return unflushed >= m_options.max_unflushed_bytes || (ended > 0 && idle);
}

void PartitionCore::CheckpointWhenDue() {
  if (m_checkpoint || !CheckpointIsDue()) {
    return;
  }
  BuildCheckpoint();
  ContinueCheckpoint();
}

void PartitionCore::CloseSegment(PendingCheckpoint& pending) {
  if (pending.segment.empty()) {
    return;
  }
  const SegmentRef name{.epoch = m_epoch, .number = m_last_segment};
  pending.writes.push_back({.key = OutputSegmentKey(m_options.partition, name),
                            .bytes = EncodeSegment(pending.segment)});
  pending.segment.clear();
  pending.segment_bytes = 0;
}

void PartitionCore::FlushJob(PendingCheckpoint& pending, JobState& job) {
  pending.flushed[job.header.job] = job.unflushed.size();
  JobOutcomes* part = nullptr;
  for (ItemOutcome& outcome : job.unflushed) {
    const size_t bytes = ApproximateBytes(outcome);
    if (pending.segment_bytes + bytes > kMaxSegmentBytes) {
      CloseSegment(pending);
      part = nullptr;
    }
    if (pending.segment.empty()) {
      ++m_last_segment;
    }
    if (part == nullptr) {
      part = &pending.segment.emplace_back();
      part->job = job.header.job;
      job.segments.push_back({.epoch = m_epoch, .number = m_last_segment});
    }
    pending.segment_bytes += bytes;
    ++job.segments.back().count;
    part->outcomes.push_back(std::move(outcome));
  }
  job.unflushed.clear();
  job.unflushed_bytes = 0;
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
    // A job whose stop is not committed yet stays until it is.
    if (!job.running() && m_stopping_jobs.count(id) == 0) {
      FlushJob(pending, job);
      pending.ended.push_back(id);
      continue;
    }
    by_size.emplace_back(job.unflushed_bytes, id);
    unflushed += by_size.back().first;
  }
  // Flushes the jobs with the most bytes first, so that segments are few and
  // large. Small remainders stay in the checkpoint.
  std::sort(by_size.rbegin(), by_size.rend());
  for (const auto& [bytes, id] : by_size) {
    if (unflushed < m_options.max_unflushed_bytes / 2) {
      break;
    }
    FlushJob(pending, *state.Find(id));
    unflushed -= bytes;
  }
  CloseSegment(pending);
  for (const JobId& id : pending.ended) {
    pending.writes.push_back({.key = EndedJobKey(m_options.partition, id),
                              .bytes = EncodeJob(state.jobs.at(id))});
    state.jobs.erase(id);
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
  m_checkpoint->retry_at = m_now + m_options.store_retry_delay;
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
                           .expected_version = m_checkpoint_version});
      return;
    case CheckpointStep::kRead:
      Emit(ReadCheckpoint{.call = call});
      return;
    case CheckpointStep::kWaitToRetry:
      return;
  }
}

void PartitionCore::OnCheckpointWritten(const WriteResult& result) {
  const bool objects = m_checkpoint->step == CheckpointStep::kWriteObjects;
  const auto* written = std::get_if<Written>(&result);
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
  const bool failed = std::holds_alternative<WriteFailed>(result);
  RetryCheckpoint(failed ? CheckpointStep::kWrite : CheckpointStep::kRead);
}

void PartitionCore::OnCheckpointRead(const ReadCompleted& event) {
  if (!event.succeeded) {
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
    // Only a successor can write a checkpoint of later records.
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
  m_checkpoint_next_sequence = done.checkpoint.state.next;
  for (const auto& [id, count] : done.flushed) {
    JobState* job = m_state.Find(id);
    const JobState* written = done.checkpoint.state.Find(id);
    if (job == nullptr || written == nullptr) {
      continue;
    }
    job->segments = written->segments;
    job->DropUnflushed(count);
  }
  for (const JobId& id : done.ended) {
    m_state.jobs.erase(id);
  }
  ContinueAppend();
}

}  // namespace cowslip
