// The items of an owned partition's jobs.

#include <algorithm>
#include <utility>

#include "Base/overloaded.h"
#include "Batch/partition_core.h"

namespace cowslip {

namespace {

constexpr int kFirstErrorStatus = 400;
constexpr int kTooManyRequests = 429;
constexpr int kFirstServerErrorStatus = 500;
constexpr uint32_t kMaxBackoffDoublings = 8;
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryDelay = std::chrono::seconds(60);

bool IsTransientError(int status) {
  return status == kTooManyRequests || status >= kFirstServerErrorStatus;
}

}  // namespace

std::vector<DispatchCandidate> PartitionCore::Candidates(MonotonicTime now) {
  std::vector<DispatchCandidate> candidates;
  if (!IsOwner(now) || handing_over()) {
    return candidates;
  }
  for (const auto& [id, job] : m_state.jobs) {
    if (!job.running() || m_stopping_jobs.count(id) != 0 ||
        !m_queues[id].HasReadyItem(job, now)) {
      continue;
    }
    candidates.push_back({.job = id,
                          .organisation = job.header.organisation,
                          .bulk = job.header.bulk,
                          .remaining = job.remaining(),
                          .deadline = FromWallMs(job.header.deadline_ms)});
  }
  return candidates;
}

void PartitionCore::On(const DispatchNext& event) {
  const JobState* job = m_state.Find(event.job);
  if (m_phase != Phase::kOwning || handing_over() || job == nullptr ||
      !job->running() || m_stopping_jobs.count(event.job) != 0) {
    return;
  }
  const std::optional<uint32_t> item =
      m_queues[event.job].TakeNext(*job, m_now);
  if (!item) {
    return;
  }
  if (job->header.idempotent || job->intents.count(*item) != 0) {
    Dispatch(event.job, *item);
    return;
  }
  ++m_uncommitted_intents;
  AddEntry(DispatchIntentRecorded{.job = event.job, .item = *item},
           /*urgent=*/false);
}

void PartitionCore::Dispatch(const JobId& job, uint32_t item) {
  QueuedItem& queued = m_queues.at(job).at(item);
  queued.dispatch = ++m_last_dispatch;
  m_running[m_last_dispatch] = {.job = job, .item = item};
  ++m_counters.dispatches;
  Emit(DispatchItem{.dispatch = m_last_dispatch,
                    .header = m_state.Find(job)->header,
                    .item = item,
                    .attempt = queued.failed_attempts + 1,
                    .resume_token = queued.resume_token});
}

void PartitionCore::On(const ItemResultReceived& event) {
  const auto found = m_running.find(event.dispatch);
  if (found == m_running.end()) {
    return;
  }
  const RunningItem running = found->second;
  m_running.erase(found);
  const JobState* job = m_state.Find(running.job);
  const auto queue = m_queues.find(running.job);
  if (job == nullptr || queue == m_queues.end()) {
    return;
  }
  OnItemResult(*job, running.item, event.custom_id, event.result);
}

void PartitionCore::OnItemResult(const JobState& job,
                                 uint32_t item,
                                 const ItemId& custom_id,
                                 const ItemResult& result) {
  JobQueue& queue = m_queues.at(job.header.job);
  const Overloaded visitor{
      [&](const ItemCompleted& completed) {
        OnItemCompleted(job, item, custom_id, completed);
      },
      [&](const ItemNotRun& not_run) {
        const Duration wait =
            std::clamp(not_run.retry_after, kMinRetryDelay, kMaxRetryDelay);
        queue.Requeue(item, m_now + wait);
      },
      [&](const ItemPreempted& preempted) {
        ++m_counters.preemptions;
        queue.at(item).resume_token = preempted.resume_token;
        queue.Requeue(item, m_now);
      },
      [&](const ItemBackendLost& lost) {
        if (!job.header.idempotent) {
          EndInDoubt(job, item, custom_id, lost.detail);
          return;
        }
        RequeueAfterLoss(queue, item);
      },
      [&](const ItemFailed& failed) {
        if (failed.may_have_run && !job.header.idempotent) {
          EndInDoubt(job, item, custom_id, failed.detail);
          return;
        }
        OnAttemptFailed(job, item, custom_id, 0, failed.detail);
      }};
  std::visit(visitor, result);
}

// Ends an item that must not run twice and may have run.
void PartitionCore::EndInDoubt(const JobState& job,
                               uint32_t item,
                               const ItemId& custom_id,
                               std::string detail) {
  const JobQueue& queue = m_queues.at(job.header.job);
  RecordOutcome(job.header.job, {.item = item,
                                 .custom_id = custom_id,
                                 .kind = OutcomeKind::kMayHaveRun,
                                 .attempts = queue.at(item).failed_attempts + 1,
                                 .detail = std::move(detail)});
}

void PartitionCore::RequeueAfterLoss(JobQueue& queue, uint32_t item) {
  QueuedItem& queued = queue.at(item);
  const uint32_t doublings = std::min(queued.lost_runs, kMaxBackoffDoublings);
  ++queued.lost_runs;
  queue.Requeue(
      item, m_now + std::min(m_options.max_lost_run_backoff,
                             m_options.attempt_backoff * (1U << doublings)));
}

void PartitionCore::OnItemCompleted(const JobState& job,
                                    uint32_t item,
                                    const ItemId& custom_id,
                                    const ItemCompleted& completed) {
  if (IsTransientError(completed.status) && job.header.idempotent) {
    OnAttemptFailed(job, item, custom_id, completed.status,
                    "The backend server answered with an error.");
    return;
  }
  const uint32_t attempts =
      m_queues.at(job.header.job).at(item).failed_attempts + 1;
  ItemOutcome outcome{.item = item,
                      .custom_id = custom_id,
                      .attempts = attempts,
                      .status = completed.status};
  if (completed.body.size() > m_options.max_result_bytes) {
    outcome.kind = OutcomeKind::kResultTooLarge;
    outcome.detail = "The answer has " + std::to_string(completed.body.size()) +
                     " bytes; ask for at most " +
                     std::to_string(m_options.max_result_bytes) + ".";
  } else {
    outcome.kind = completed.status < kFirstErrorStatus
                       ? OutcomeKind::kSucceeded
                       : OutcomeKind::kRejected;
    outcome.body = completed.body;
  }
  RecordOutcome(job.header.job, std::move(outcome));
}

void PartitionCore::OnAttemptFailed(const JobState& job,
                                    uint32_t item,
                                    const ItemId& custom_id,
                                    int status,
                                    std::string detail) {
  ++m_counters.attempts_failed;
  JobQueue& queue = m_queues.at(job.header.job);
  QueuedItem& queued = queue.at(item);
  queued.resume_token.clear();
  const uint32_t attempts = ++queued.failed_attempts;
  if (attempts >= m_options.max_attempts) {
    RecordOutcome(job.header.job, {.item = item,
                                   .custom_id = custom_id,
                                   .kind = OutcomeKind::kAttemptsExhausted,
                                   .attempts = attempts,
                                   .status = status,
                                   .detail = std::move(detail)});
    return;
  }
  const uint32_t doublings = std::min(attempts - 1, kMaxBackoffDoublings);
  queue.Requeue(item, m_now + m_options.attempt_backoff * (1U << doublings));
  AddEntry(AttemptFailed{.job = job.header.job, .item = item},
           /*urgent=*/false);
}

void PartitionCore::RecordOutcome(const JobId& job, ItemOutcome outcome) {
  AddEntry(
      ItemEnded{.job = job, .outcome = std::move(outcome), .at_ms = WallMs()},
      /*urgent=*/false);
}

void PartitionCore::DropQueue(const JobId& job) {
  const auto queue = m_queues.find(job);
  if (queue == m_queues.end()) {
    return;
  }
  for (const auto& [item, queued] : queue->second.items()) {
    if (queued.dispatch && m_running.erase(*queued.dispatch) != 0) {
      Emit(CancelItem{.dispatch = *queued.dispatch, .job = job, .item = item});
    }
  }
  m_queues.erase(queue);
}

void PartitionCore::FailItemsInDoubt() {
  // An earlier owner that lost the lease dispatched these items. Whether they
  // ran is unknown, so they are never dispatched again.
  for (const auto& [id, job] : m_state.jobs) {
    for (const uint32_t item : job.intents) {
      RecordOutcome(id,
                    {.item = item,
                     .kind = OutcomeKind::kMayHaveRun,
                     .detail = "The VM that ran the item was lost in doubt."});
    }
  }
}

}  // namespace cowslip
