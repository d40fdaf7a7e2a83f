#include "Jobs/job_scheduler.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "Base/rendezvous.h"
#include "Fleet/fleet_configuration.h"
#include "Jobs/backlog_share.h"

namespace cowslip {

JobScheduler::JobScheduler(JobSchedulerOptions options, const PeerTable& peers)
    : m_options(std::move(options)),
      m_peers(peers),
      m_item_time(m_options.initial_item_time),
      m_item_events(m_options.initial_item_events),
      m_item_span(m_options.initial_item_time) {}

std::vector<JobSchedulerAction> JobScheduler::Handle(
    const JobSchedulerEvent& event,
    ClockReadings now) {
  m_actions.clear();
  std::visit([&](const auto& alternative) { Apply(alternative, now); }, event);
  return std::exchange(m_actions, {});
}

JobScheduler::Job* JobScheduler::FindJob(const JobKey& key) {
  const auto found = m_jobs.find(key);
  return found == m_jobs.end() ? nullptr : &found->second;
}

const JobRecord* JobScheduler::Find(const JobKey& job) const {
  const auto found = m_jobs.find(job);
  return found == m_jobs.end() ? nullptr : &found->second.record;
}

bool JobScheduler::IsOpen(const JobKey& job) const {
  const auto found = m_jobs.find(job);
  return found != m_jobs.end() && found->second.ownership == Ownership::kOpen;
}

bool JobScheduler::Owns(const JobRecord& record) const {
  return record.status.owner == m_options.self &&
         record.status.incarnation == m_options.incarnation;
}

void JobScheduler::SetOwner(JobStatus& status) const {
  status.owner = m_options.self;
  status.incarnation = m_options.incarnation;
}

bool JobScheduler::IsOver(const Job& job) const {
  return job.record.status.ended || job.record.status.finished ||
         HasKnownEnd(job.record);
}

bool JobScheduler::HasKnownEnd(const JobRecord& record) const {
  const auto found = m_ends.find(record.key);
  return found != m_ends.end() &&
         (!found->second.submitted.has_value() ||
          *found->second.submitted == record.definition.submitted);
}

bool JobScheduler::IsEnded(const JobKey& job) const {
  const JobRecord* record = Find(job);
  return record == nullptr ? m_ends.contains(job)
                           : record->status.ended || HasKnownEnd(*record);
}

std::vector<JobKey> JobScheduler::EndsToReport(MonotonicTime now) const {
  std::vector<std::pair<MonotonicTime, JobKey>> ends;
  for (const auto& [job, since] : m_acknowledged_ends) {
    if (now - since < m_options.end_report_time) {
      ends.emplace_back(since, job);
    }
  }
  std::sort(ends.rbegin(), ends.rend());
  ends.resize(std::min(ends.size(), m_options.max_reported_ends));
  std::vector<JobKey> jobs;
  for (auto& [since, job] : ends) {
    jobs.push_back(std::move(job));
  }
  return jobs;
}

bool JobScheduler::AllRecorded(const Job& job) const {
  return std::all_of(job.items.begin(), job.items.end(), [](const auto& item) {
    return item.second.phase == ItemPhase::kRecorded;
  });
}

bool JobScheduler::IsIdle() const {
  return std::none_of(m_jobs.begin(), m_jobs.end(), [](const auto& job) {
    return job.second.ownership != Ownership::kNone || job.second.handing_back;
  });
}

void JobScheduler::CountJobOf(const std::string& host) {
  ++m_jobs_of_host[NormaliseHost(host)];
}

void JobScheduler::DiscountJobOf(const std::string& host) {
  const auto counted = m_jobs_of_host.find(NormaliseHost(host));
  if (counted != m_jobs_of_host.end() && --counted->second == 0) {
    m_jobs_of_host.erase(counted);
  }
}

void JobScheduler::Apply(const JobUpdated& event, ClockReadings now) {
  const auto [entry, is_new] = m_jobs.try_emplace(event.record.key);
  Job& job = entry->second;
  if (!is_new && event.record.version < job.record.version) {
    return;
  }
  // A job that was removed and submitted again may have another host.
  if (!is_new) {
    DiscountJobOf(job.record.definition.host);
  }
  CountJobOf(event.record.definition.host);
  job.record = event.record;
  const auto end = m_ends.find(event.record.key);
  if (end != m_ends.end() && !end->second.submitted.has_value()) {
    end->second.submitted = event.record.definition.submitted;
  }
  if (IsOver(job)) {
    Close(job);
    return;
  }
  if (IsOwner(job)) {
    job.orphaned_since.reset();
    MaybeOpen(job);
    return;
  }
  if (job.ownership == Ownership::kOpen ||
      job.ownership == Ownership::kOpening) {
    // Another process has claimed the job.
    Close(job);
  }
  MaybeTakeOver(job, now);
}

void JobScheduler::Apply(const JobRemoved& event, ClockReadings) {
  Job* job = FindJob(event.job);
  if (job != nullptr) {
    Close(*job);
    DiscountJobOf(job->record.definition.host);
    m_jobs.erase(event.job);
  }
}

void JobScheduler::Apply(const JobEndAcknowledged& event, ClockReadings now) {
  m_acknowledged_ends.emplace(event.job, now.monotonic);
  RememberEnd(event.job, true, now);
}

void JobScheduler::Apply(const JobEndReported& event, ClockReadings now) {
  RememberEnd(event.job, false, now);
}

void JobScheduler::RememberEnd(const JobKey& key,
                               bool certain,
                               ClockReadings now) {
  Job* job = FindJob(key);
  KnownEnd end{.since = now.monotonic};
  if (job != nullptr) {
    end.submitted = job->record.definition.submitted;
  }
  const auto [known, is_new] = m_ends.emplace(key, end);
  // Reports of an earlier job's end may go on while a new job has its id.
  const bool is_of_new_job = job != nullptr && !HasKnownEnd(job->record) &&
                             (certain || now.monotonic - known->second.since >=
                                             2 * m_options.end_report_time);
  if (is_of_new_job) {
    known->second = end;
  }
  if (job != nullptr && (is_new || is_of_new_job)) {
    Close(*job);
  }
}

// By the end of the retention every process has read the record, which says
// that the job has ended.
void JobScheduler::ForgetOldEnds(MonotonicTime now) {
  std::erase_if(m_ends, [&](const auto& end) {
    return now - end.second.since >= m_options.retention;
  });
  std::erase_if(m_acknowledged_ends, [&](const auto& end) {
    return now - end.second >= m_options.end_report_time;
  });
}

void JobScheduler::Apply(const JobProgressReported& event, ClockReadings) {
  for (const JobProgress& progress : event.progress) {
    Job* job = FindJob(progress.job);
    if (job != nullptr) {
      job->reported.items = std::max(job->reported.items, progress.items);
      job->reported.tokens = std::max(job->reported.tokens, progress.tokens);
    }
  }
}

void JobScheduler::Apply(const JobOffered& event, ClockReadings) {
  m_offers.insert(event.job);
}

void JobScheduler::Apply(const JobOfferEnded& event, ClockReadings) {
  m_offers.erase(event.job);
  Job* job = FindJob(event.job);
  if (job != nullptr && IsOwner(*job) && !IsOver(*job)) {
    MaybeOpen(*job);
  }
}

// A job that this process has handed back is reopened only after a claim.
void JobScheduler::MaybeOpen(Job& job) {
  if (job.ownership == Ownership::kNone && !job.handed_back &&
      !IsOffered(job.record.key)) {
    Open(job);
  }
}

JobProgress JobScheduler::ProgressOf(const Job& job) const {
  JobProgress progress{.job = job.record.key};
  const std::vector<ItemId>& ids = job.record.definition.items;
  for (size_t i = 0; i < ids.size() && !job.items.empty(); ++i) {
    const auto found = job.items.find(ids[i]);
    if (found != job.items.end() &&
        found->second.phase == ItemPhase::kRecorded) {
      ++progress.items;
      progress.tokens += job.record.TokensOf(i);
    }
  }
  progress.items = std::max(progress.items, job.reported.items);
  progress.tokens = std::max(progress.tokens, job.reported.tokens);
  return progress;
}

std::vector<JobProgress> JobScheduler::ProgressToReport() const {
  std::vector<JobProgress> reports;
  for (const auto& [key, job] : m_jobs) {
    if (job.ownership == Ownership::kOpen && !IsOver(job) &&
        reports.size() < m_options.max_reported_progress) {
      JobProgress progress = ProgressOf(job);
      if (progress.items > 0) {
        reports.push_back(std::move(progress));
      }
    }
  }
  return reports;
}

std::vector<JobWork> JobScheduler::UnfinishedWork() const {
  std::vector<JobWork> unfinished;
  for (const auto& [key, job] : m_jobs) {
    if (IsOver(job)) {
      continue;
    }
    const JobDefinition& definition = job.record.definition;
    const JobProgress done = ProgressOf(job);
    uint64_t tokens = 0;
    for (size_t i = 0; i < definition.items.size(); ++i) {
      tokens += job.record.TokensOf(i);
    }
    const auto items = static_cast<uint32_t>(definition.items.size());
    unfinished.push_back({.job = key,
                          .organisation = definition.organisation,
                          .route = definition.route,
                          .created = job.record.created,
                          .due = definition.due,
                          .spare_slots_only = definition.spare_slots_only,
                          .owner = job.record.status.owner,
                          .items = items - std::min(items, done.items),
                          .tokens = tokens - std::min(tokens, done.tokens)});
  }
  return unfinished;
}

void JobScheduler::Apply(const HomeRegionsChanged& event, ClockReadings) {
  for (const auto& [route, regions] : event.routes) {
    m_route_regions[route] = regions;
  }
  for (const auto& [organisation, regions] : event.organisations) {
    m_organisation_regions[organisation] = regions;
  }
  for (auto& [key, job] : m_jobs) {
    if (job.ownership == Ownership::kOpen && !MayOwn(job)) {
      StopItems(job);
      MaybeHandBack(job);
    }
  }
}

HomeRegions JobScheduler::HomeRegionsOf(const Job& job) const {
  const JobDefinition& definition = job.record.definition;
  const auto route = m_route_regions.find(definition.route);
  const auto organisation =
      m_organisation_regions.find(definition.organisation);
  HomeRegions regions;
  if (route != m_route_regions.end()) {
    regions = route->second;
  }
  if (organisation != m_organisation_regions.end()) {
    regions = regions.Intersect(organisation->second);
  }
  return regions;
}

bool JobScheduler::MayOwn(const Job& job) const {
  return HomeRegionsOf(job).Allows(m_options.region);
}

void JobScheduler::Apply(const SchedulerActivated&, ClockReadings now) {
  if (!m_active_since.has_value()) {
    m_active_since = now.monotonic;
  }
}

void JobScheduler::Apply(const SchedulerStopping&, ClockReadings) {
  m_stopping = true;
  for (auto& [key, job] : m_jobs) {
    StopItems(job);
    MaybeHandBack(job);
  }
}

void JobScheduler::Apply(const ClaimEnded& event, ClockReadings now) {
  Job* job = FindJob(event.job);
  if (job == nullptr || job->ownership != Ownership::kClaiming) {
    return;
  }
  job->ownership = Ownership::kNone;
  job->next_claim_at = now.monotonic + m_options.claim_backoff;
  if (IsOwner(*job) && !IsOver(*job)) {
    job->handed_back = false;
    Open(*job);
  }
}

void JobScheduler::Open(Job& job) {
  if (!MayOwn(job)) {
    HandBackUnread(job);
    return;
  }
  job.ownership = Ownership::kOpening;
  job.finish_requested = false;
  m_actions.push_back(OpenJob{job.record.key});
}

void JobScheduler::Close(Job& job) {
  if (job.ownership == Ownership::kNone) {
    return;
  }
  StopItems(job);
  const bool was_open = job.ownership != Ownership::kClaiming;
  job.ownership = Ownership::kNone;
  job.unwritten_results.clear();
  if (was_open) {
    m_actions.push_back(CloseJob{job.record.key});
  }
}

void JobScheduler::StopItems(Job& job) {
  for (auto& [id, item] : job.items) {
    if (item.phase == ItemPhase::kRunning && !item.stopping) {
      item.stopping = true;
      m_actions.push_back(StopItem{job.record.key, id});
    }
  }
}

void JobScheduler::Apply(const JobOpened& event, ClockReadings now) {
  Job* job = FindJob(event.job);
  if (job == nullptr || job->ownership != Ownership::kOpening) {
    return;
  }
  job->ownership = Ownership::kOpen;
  for (const ItemId& id : job->record.definition.items) {
    Item& item = job->items[id];
    AdoptProgress(item, job->record.status.progress, id);
    AdoptProgress(item, event.saved, id);
    if (event.recorded.contains(id)) {
      item.phase = ItemPhase::kRecorded;
    } else if (item.phase == ItemPhase::kEnded ||
               item.phase == ItemPhase::kRecorded) {
      item.phase = ItemPhase::kPending;
    }
  }
  DeadLetterExpired(*job, now);
  MaybeFinish(*job, now);
  MaybeHandBack(*job);
}

void JobScheduler::Apply(const JobOpenFailed& event, ClockReadings) {
  Job* job = FindJob(event.job);
  if (job != nullptr && job->ownership == Ownership::kOpening) {
    Open(*job);
  }
}

void JobScheduler::Apply(const ItemStarted& event, ClockReadings now) {
  Job* job = FindJob(event.job);
  if (job == nullptr) {
    return;
  }
  Item& item = job->items[event.item];
  item.phase = ItemPhase::kRunning;
  item.backend = event.backend;
  item.run_start = now.monotonic;
  item.first_start = item.first_start.value_or(now.monotonic);
  item.stopping = false;
}

void JobScheduler::Apply(const ItemRunEnded& event, ClockReadings now) {
  Job* job = FindJob(event.job);
  if (job == nullptr) {
    return;
  }
  Item& item = job->items[event.item];
  if (item.phase != ItemPhase::kRunning) {
    return;
  }
  item.phase = ItemPhase::kPending;
  item.slot_time += now.monotonic - item.run_start;
  const uint32_t failed_runs = item.progress.failed_runs;
  const uint64_t known_events = item.progress.last_event;
  item.progress = event.progress;
  item.progress.failed_runs = failed_runs;
  item.backend = BackendId();
  if (job->ownership != Ownership::kOpen) {
    return;
  }
  if (event.outcome == ItemRunOutcome::kInterrupted ||
      event.outcome == ItemRunOutcome::kInDoubt) {
    AddUnsavedEvents(*job, item.progress.last_event - known_events, now);
  }
  switch (event.outcome) {
    case ItemRunOutcome::kCompleted:
      RecordItemTime(item, now.monotonic);
      EndItem(*job, event.item, ItemState::kCompleted, now);
      break;
    case ItemRunOutcome::kUnprocessable:
      EndItem(*job, event.item, ItemState::kDeadLettered, now);
      break;
    case ItemRunOutcome::kFailed:
      ++item.progress.failed_runs;
      RestartItem(item);
      if (item.progress.failed_runs >= job->record.definition.max_attempts) {
        EndItem(*job, event.item, ItemState::kDeadLettered, now);
      } else {
        item.not_before = now.monotonic + m_options.retry_backoff;
        AddFailedRun(*job, now);
      }
      break;
    case ItemRunOutcome::kInDoubt: {
      // A run in doubt does not count as failed: the item is retried without a
      // limit on attempts, until the job's `give_up` time.
      const uint32_t doublings = std::min(item.in_doubt_runs, 6U);
      ++item.in_doubt_runs;
      item.not_before =
          now.monotonic + std::min(m_options.max_retry_backoff,
                                   m_options.retry_backoff * (1 << doublings));
      break;
    }
    case ItemRunOutcome::kNotRun:
      item.not_before = now.monotonic + m_options.not_run_backoff;
      break;
    case ItemRunOutcome::kInterrupted:
      break;
  }
  MaybeHandBack(*job);
}

void JobScheduler::RecordItemTime(const Item& item, MonotonicTime now) {
  const auto average = [&](Duration& value, Duration sample) {
    value += std::chrono::duration_cast<Duration>((sample - value) *
                                                  m_options.smoothing_factor);
  };
  average(m_item_time, item.slot_time);
  average(m_item_span, now - item.first_start.value_or(now));
  const auto events = static_cast<double>(item.progress.last_event);
  m_item_events += (events - m_item_events) * m_options.smoothing_factor;
}

double JobScheduler::DoneFraction(const ItemProgress& progress) const {
  return std::min(1.0, static_cast<double>(progress.last_event) /
                           std::max(m_item_events, 1.0));
}

Duration JobScheduler::SpanLeft(const ItemProgress& progress) const {
  return std::chrono::duration_cast<Duration>(item_span() *
                                              (1 - DoneFraction(progress)));
}

ItemClass JobScheduler::ClassOf(const Job& job,
                                const Item& item,
                                WallTime now) const {
  const JobDefinition& definition = job.record.definition;
  return cowslip::ClassOf(definition.due, definition.spare_slots_only, now,
                          SpanLeft(item.progress));
}

void JobScheduler::RestartItem(Item& item) {
  item.progress = ItemProgress{.failed_runs = item.progress.failed_runs};
}

void JobScheduler::Apply(const ItemVersionGone& event, ClockReadings) {
  Job* job = FindJob(event.job);
  if (job == nullptr) {
    return;
  }
  Item& item = job->items[event.item];
  if (item.phase == ItemPhase::kPending) {
    RestartItem(item);
  }
}

void JobScheduler::EndItem(Job& job,
                           const ItemId& id,
                           ItemState state,
                           ClockReadings now) {
  Item& item = job.items[id];
  item.phase = ItemPhase::kEnded;
  if (job.unwritten_results.empty()) {
    job.flush_timer_start = now.monotonic;
  }
  const bool completed = state == ItemState::kCompleted;
  job.unwritten_results.push_back(
      {id, state, completed ? item.progress.output : std::string()});
  MaybeWriteResults(job, now);
}

void JobScheduler::MaybeWriteResults(Job& job, ClockReadings now) {
  if (job.ownership != Ownership::kOpen || job.unwritten_results.empty() ||
      job.writing) {
    return;
  }
  const bool no_more_results_expected =
      std::none_of(job.items.begin(), job.items.end(), [](const auto& item) {
        return item.second.phase == ItemPhase::kRunning ||
               item.second.phase == ItemPhase::kPending;
      });
  const bool flush_due =
      now.monotonic - job.flush_timer_start >= m_options.result_flush_delay;
  if (no_more_results_expected || flush_due || m_stopping) {
    job.writing = true;
    m_actions.push_back(WriteResults{job.record.key, job.unwritten_results});
  }
}

void JobScheduler::Apply(const ResultsWritten& event, ClockReadings now) {
  Job* job = FindJob(event.job);
  if (job == nullptr) {
    return;
  }
  job->writing = false;
  for (const ItemId& id : event.recorded) {
    job->items[id].phase = ItemPhase::kRecorded;
  }
  std::erase_if(job->unwritten_results, [&](const ItemResult& result) {
    return event.recorded.contains(result.item);
  });
  if (job->ownership != Ownership::kOpen) {
    return;
  }
  job->flush_timer_start = now.monotonic;
  MaybeWriteResults(*job, now);
  MaybeFinish(*job, now);
  MaybeHandBack(*job);
}

void JobScheduler::Apply(const ResultsNotWritten& event, ClockReadings now) {
  Job* job = FindJob(event.job);
  if (job != nullptr) {
    job->writing = false;
    job->flush_timer_start = now.monotonic;
  }
}

void JobScheduler::MaybeFinish(Job& job, ClockReadings now) {
  if (job.ownership == Ownership::kOpen && !job.finish_requested &&
      now.monotonic >= job.next_finish_at && AllRecorded(job)) {
    job.finish_requested = true;
    m_actions.push_back(FinishJob{job.record.key});
  }
}

// A job is handed back once none of its items run and all results are written.
void JobScheduler::MaybeHandBack(Job& job) {
  const bool must_leave = m_stopping || (!MayOwn(job) && !AllRecorded(job));
  if (!must_leave || job.ownership != Ownership::kOpen || job.writing ||
      !job.unwritten_results.empty()) {
    return;
  }
  const bool any_running =
      std::any_of(job.items.begin(), job.items.end(), [](const auto& item) {
        return item.second.phase == ItemPhase::kRunning;
      });
  if (any_running) {
    return;
  }
  job.ownership = Ownership::kNone;
  job.handed_back = true;
  if (!AllRecorded(job)) {
    job.handing_back = true;
    m_actions.push_back(
        HandBackJob{.job = job.record.key, .progress = CollectProgress(job)});
  }
}

void JobScheduler::HandBackUnread(Job& job) {
  job.ownership = Ownership::kNone;
  job.handed_back = true;
  job.handing_back = true;
  // What this process did as an earlier owner may be further along.
  std::map<ItemId, ItemProgress> progress = job.record.status.progress;
  for (auto& [id, known] : CollectProgress(job)) {
    ItemProgress& handed = progress[id];
    const uint32_t failed_runs =
        std::max(handed.failed_runs, known.failed_runs);
    if (handed.last_event < known.last_event) {
      handed = std::move(known);
    }
    handed.failed_runs = failed_runs;
  }
  m_actions.push_back(
      HandBackJob{.job = job.record.key, .progress = std::move(progress)});
}

// The job's record names this process, which lives, so no other one would claim
// the job.
void JobScheduler::MaybeResume(Job& job, ClockReadings now) {
  if (m_stopping || job.ownership != Ownership::kNone || job.handing_back ||
      IsOver(job) || !IsOwner(job) || IsOffered(job.record.key) ||
      now.monotonic < job.next_claim_at) {
    return;
  }
  job.handed_back = false;
  Open(job);
}

void JobScheduler::Apply(const HandBackEnded& event, ClockReadings now) {
  Job* job = FindJob(event.job);
  if (job == nullptr) {
    return;
  }
  job->handing_back = false;
  job->next_claim_at = now.monotonic + m_options.claim_backoff;
  const bool is_released = !IsOwner(*job) || IsOver(*job);
  if (!m_stopping && is_released && job->ownership == Ownership::kNone) {
    m_actions.push_back(CloseJob{event.job});
  }
}

void JobScheduler::Apply(const FinishEnded& event, ClockReadings now) {
  Job* job = FindJob(event.job);
  if (job != nullptr) {
    job->finish_requested = false;
    job->next_finish_at = now.monotonic + m_options.claim_backoff;
  }
}

void JobScheduler::DeadLetterExpired(Job& job, ClockReadings now) {
  if (job.ownership == Ownership::kOpen &&
      now.wall >= job.record.definition.give_up) {
    DeadLetterPending(job, now);
  }
}

void JobScheduler::DeadLetterPending(Job& job, ClockReadings now) {
  std::vector<ItemId> pending;
  for (const auto& [id, item] : job.items) {
    if (item.phase == ItemPhase::kPending) {
      pending.push_back(id);
    }
  }
  for (const ItemId& id : pending) {
    EndItem(job, id, ItemState::kDeadLettered, now);
  }
}

void JobScheduler::Apply(const JobDeletionFailed& event, ClockReadings now) {
  Job* job = FindJob(event.job);
  if (job != nullptr) {
    job->delete_requested = false;
    job->next_delete_at = now.monotonic + m_options.deletion_retry_delay;
  }
}

void JobScheduler::Apply(const JobRouteRemoved& event, ClockReadings now) {
  Job* job = FindJob(event.job);
  if (job == nullptr || job->ownership != Ownership::kOpen) {
    return;
  }
  DeadLetterPending(*job, now);
}

void JobScheduler::Apply(const SchedulerTick&, ClockReadings now) {
  ForgetOldEnds(now.monotonic);
  for (auto& [key, job] : m_jobs) {
    MaybeTakeOver(job, now);
    MaybeResume(job, now);
    DeadLetterExpired(job, now);
    MaybeWriteResults(job, now);
    MaybeFinish(job, now);
    MaybeSaveProgress(job, now);
    MaybeHandBack(job);
    MaybeDelete(job, now);
  }
}

bool JobScheduler::IsClaimCandidate(const Job& job,
                                    Duration orphaned_for) const {
  const auto turns =
      static_cast<size_t>(orphaned_for / m_options.takeover_window) + 1;
  return IsAmongFirst(job, m_peers.LiveProcessesIn(HomeRegionsOf(job)), turns);
}

bool JobScheduler::IsAmongFirst(const Job& job,
                                const std::vector<VmId>& live,
                                size_t turns) const {
  const std::vector<VmId> order =
      RendezvousPick(job.record.key.value(), live, turns);
  return std::find(order.begin(), order.end(), m_options.self) != order.end();
}

void JobScheduler::MaybeTakeOver(Job& job, ClockReadings now) {
  const JobStatus& status = job.record.status;
  if (IsOver(job) || IsOwner(job) || job.ownership != Ownership::kNone ||
      m_peers.IsLive(status.owner, status.incarnation)) {
    job.orphaned_since.reset();
    return;
  }
  if (!job.orphaned_since.has_value()) {
    job.orphaned_since = now.monotonic;
  }
  const bool peers_known =
      m_active_since.has_value() &&
      now.monotonic - *m_active_since >= m_options.peer_discovery_time;
  if (m_stopping || !peers_known || now.monotonic < job.next_claim_at ||
      !IsClaimCandidate(job, now.monotonic - *job.orphaned_since)) {
    return;
  }
  job.ownership = Ownership::kClaiming;
  const char* reason =
      status.owner.empty() ? "handed back" : "its owner is not live";
  m_actions.push_back(ClaimJob{job.record.key, reason});
}

void JobScheduler::MaybeDelete(Job& job, ClockReadings now) {
  const JobDefinition& definition = job.record.definition;
  const WallTime expires =
      std::max(definition.give_up,
               definition.submitted +
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                       m_options.retention));
  if (job.delete_requested || now.monotonic < job.next_delete_at ||
      !IsOver(job) || now.wall < expires ||
      !IsAmongFirst(job, m_peers.LiveProcesses(), 1)) {
    return;
  }
  job.delete_requested = true;
  m_actions.push_back(DeleteJob{job.record.key});
}

std::vector<RunnableItem> JobScheduler::RunnableItems(ClockReadings now) const {
  if (m_stopping) {
    return {};
  }
  struct Candidate {
    const Job* job = nullptr;
    const ItemId* id = nullptr;
    const Item* item = nullptr;
    ItemClass item_class = ItemClass::kInTime;
    size_t turn = 0;
  };
  struct Share {
    size_t running = 0;
    std::vector<Candidate> candidates;
  };
  std::map<OrganisationId, Share> shares;
  for (const auto& [key, job] : m_jobs) {
    if (job.items.empty()) {
      continue;
    }
    Share& share = shares[job.record.definition.organisation];
    const bool open =
        job.ownership == Ownership::kOpen && !IsOver(job) && MayOwn(job);
    for (const auto& [id, item] : job.items) {
      share.running += item.phase == ItemPhase::kRunning ? 1 : 0;
      if (open && item.phase == ItemPhase::kPending &&
          item.not_before <= now.monotonic) {
        share.candidates.push_back(
            {&job, &id, &item, ClassOf(job, item, now.wall)});
      }
    }
  }
  using Order =
      std::tuple<ItemClass, size_t, WallTime, const JobKey&, const ItemId&>;
  const auto order = [](const Candidate& candidate) {
    const JobRecord& record = candidate.job->record;
    return Order(candidate.item_class, candidate.turn, record.definition.due,
                 record.key, *candidate.id);
  };
  const auto before = [&](const Candidate& a, const Candidate& b) {
    return order(a) < order(b);
  };
  std::vector<Candidate> ordered;
  for (auto& [organisation, share] : shares) {
    // All turns are equal here, so the order is that within the organisation.
    std::sort(share.candidates.begin(), share.candidates.end(), before);
    size_t position = share.running;
    for (Candidate& candidate : share.candidates) {
      candidate.turn = position / kItemsPerTurn;
      ++position;
      ordered.push_back(candidate);
    }
  }
  std::sort(ordered.begin(), ordered.end(), before);
  std::vector<RunnableItem> items;
  items.reserve(ordered.size());
  for (const Candidate& candidate : ordered) {
    items.push_back({candidate.job->record.key, *candidate.id,
                     &candidate.item->progress, candidate.item->in_doubt_runs});
  }
  return items;
}

std::vector<std::pair<JobKey, ItemId>> JobScheduler::RunningItemsAt(
    const BackendId& backend,
    ClockReadings now) const {
  using Order = std::tuple<ItemClass, WallTime, Duration, JobKey, ItemId>;
  std::vector<Order> running;
  for (const auto& [key, job] : m_jobs) {
    for (const auto& [id, item] : job.items) {
      if (item.phase == ItemPhase::kRunning && !item.stopping &&
          item.backend == backend) {
        const WallTime due = job.record.definition.due;
        const Duration left = SpanLeft(item.progress);
        running.emplace_back(ClassOf(job, item, now.wall), due, left, key, id);
      }
    }
  }
  std::sort(running.rbegin(), running.rend());
  std::vector<std::pair<JobKey, ItemId>> items;
  for (const auto& [item_class, due, left, key, id] : running) {
    items.emplace_back(key, id);
  }
  return items;
}

}  // namespace cowslip
