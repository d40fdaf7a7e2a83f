// The progress of items, and what of it is saved for later owners of a job.
#include "Jobs/job_scheduler.h"

#include <algorithm>
#include <utility>

namespace cowslip {

void JobScheduler::AdoptProgress(Item& item,
                                 const std::map<ItemId, ItemProgress>& known,
                                 const ItemId& id) const {
  const auto found = known.find(id);
  if (found == known.end() || item.phase != ItemPhase::kPending) {
    return;
  }
  // Failed runs count whichever progress is further along.
  const uint32_t failed_runs =
      std::max(item.progress.failed_runs, found->second.failed_runs);
  if (item.progress.last_event < found->second.last_event) {
    item.progress = found->second;
    item.slot_time = std::max(item.slot_time,
                              std::chrono::duration_cast<Duration>(
                                  m_item_time * DoneFraction(item.progress)));
  }
  item.progress.failed_runs = failed_runs;
}

std::map<ItemId, ItemProgress> JobScheduler::CollectProgress(const Job& job) {
  std::map<ItemId, ItemProgress> progress;
  for (const auto& [id, item] : job.items) {
    const bool open =
        item.phase == ItemPhase::kPending || item.phase == ItemPhase::kRunning;
    const bool begun =
        item.progress.last_event > 0 || item.progress.failed_runs > 0;
    if (open && begun) {
      progress[id] = item.progress;
    }
  }
  return progress;
}

void JobScheduler::AddUnsavedEvents(Job& job,
                                    uint64_t events,
                                    ClockReadings now) {
  if (job.unsaved_events == 0) {
    job.save_at = now.monotonic + m_options.save_delay;
  }
  job.unsaved_events += events;
}

void JobScheduler::AddFailedRun(Job& job, ClockReadings now) {
  AddUnsavedEvents(job, m_options.min_events_to_save, now);
  job.save_at =
      std::min(job.save_at, now.monotonic + m_options.failed_run_save_delay);
}

void JobScheduler::MaybeSaveProgress(Job& job, ClockReadings now) {
  if (job.ownership != Ownership::kOpen || job.saving || job.finish_requested ||
      m_stopping || job.unsaved_events < m_options.min_events_to_save ||
      now.monotonic < job.save_at) {
    return;
  }
  SaveProgress action{.job = job.record.key};
  size_t bytes = 0;
  for (auto& [id, progress] : CollectProgress(job)) {
    bytes += progress.output.size();
    if (bytes > m_options.max_saved_bytes) {
      progress = ItemProgress{.failed_runs = progress.failed_runs};
    }
    if (progress.last_event > 0 || progress.failed_runs > 0) {
      action.progress[id] = std::move(progress);
    }
  }
  job.unsaved_events = 0;
  if (action.progress.empty()) {
    return;
  }
  job.saving = true;
  m_actions.push_back(std::move(action));
}

void JobScheduler::Apply(const ProgressSaved& event, ClockReadings now) {
  Job* job = FindJob(event.job);
  if (job == nullptr) {
    return;
  }
  job->saving = false;
  if (!event.saved) {
    AddUnsavedEvents(*job, m_options.min_events_to_save, now);
  }
}

}  // namespace cowslip
