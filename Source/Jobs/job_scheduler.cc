#include "Jobs/job_scheduler.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "Base/rendezvous.h"

namespace cowslip {

namespace {

// Items that an organisation starts before it is another one's turn: about a
// backend server's slots, so that the due time counts within an organisation.
constexpr size_t kTurn = 8;

}  // namespace

JobScheduler::JobScheduler(JobSchedulerOptions options, const PeerTable& peers)
    : m_options(std::move(options)), m_peers(peers) {}

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

bool JobScheduler::IsOpenHere(const JobKey& job) const {
  const auto found = m_jobs.find(job);
  return found != m_jobs.end() && found->second.hold == Hold::kOpen;
}

bool JobScheduler::Owns(const JobRecord& record) const {
  return record.status.owner == m_options.self &&
         record.status.incarnation == m_options.incarnation;
}

void JobScheduler::NameOwner(JobStatus& status) const {
  status.owner = m_options.self;
  status.incarnation = m_options.incarnation;
}

bool JobScheduler::IsOver(const Job& job) const {
  return job.record.status.ended || job.record.status.finished;
}

bool JobScheduler::AllListed(const Job& job) const {
  return std::all_of(job.items.begin(), job.items.end(), [](const auto& item) {
    return item.second.phase == ItemPhase::kListed;
  });
}

bool JobScheduler::IsIdle() const {
  return std::none_of(m_jobs.begin(), m_jobs.end(), [](const auto& job) {
    return job.second.hold == Hold::kOpen || job.second.hold == Hold::kOpening;
  });
}

void JobScheduler::Apply(const JobUpdated& event, ClockReadings now) {
  Job& job = m_jobs[event.record.key];
  if (event.record.version < job.record.version) {
    return;
  }
  job.record = event.record;
  if (IsOver(job)) {
    Close(job);
    return;
  }
  if (IsOwner(job)) {
    job.orphaned_since.reset();
    // A job that this process has handed back comes back only by a claim.
    if (job.hold == Hold::kNone && !job.handed_back) {
      Open(job);
    }
    return;
  }
  if (job.hold == Hold::kOpen || job.hold == Hold::kOpening) {
    // Another process has claimed it.
    Close(job);
  }
  ConsiderTakeover(job, now);
}

void JobScheduler::Apply(const JobRemoved& event, ClockReadings) {
  Job* job = FindJob(event.job);
  if (job != nullptr) {
    Close(*job);
    m_jobs.erase(event.job);
  }
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
    ConsiderHandBack(job);
  }
}

void JobScheduler::Apply(const ClaimEnded& event, ClockReadings now) {
  Job* job = FindJob(event.job);
  if (job == nullptr || job->hold != Hold::kClaiming) {
    return;
  }
  job->hold = Hold::kNone;
  job->claim_again_at = now.monotonic + m_options.claim_pause;
  if (event.won && IsOwner(*job) && !IsOver(*job)) {
    job->handed_back = false;
    Open(*job);
  }
}

void JobScheduler::Open(Job& job) {
  job.hold = Hold::kOpening;
  job.finish_asked = false;
  m_actions.push_back(OpenJob{job.record.key});
}

void JobScheduler::Close(Job& job) {
  if (job.hold == Hold::kNone) {
    return;
  }
  StopItems(job);
  const bool was_open = job.hold != Hold::kClaiming;
  job.hold = Hold::kNone;
  job.unwritten.clear();
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
  if (job == nullptr || job->hold != Hold::kOpening) {
    return;
  }
  job->hold = Hold::kOpen;
  for (const ItemId& id : job->record.definition.items) {
    Item& item = job->items[id];
    TakeProgress(item, job->record.status.progress, id);
    TakeProgress(item, event.saved, id);
    if (event.listed.contains(id)) {
      item.phase = ItemPhase::kListed;
    } else if (item.phase == ItemPhase::kEnded ||
               item.phase == ItemPhase::kListed) {
      item.phase = ItemPhase::kPending;
    }
  }
  GiveUpItems(*job, now);
  ConsiderFinish(*job);
  ConsiderHandBack(*job);
}

void JobScheduler::TakeProgress(Item& item,
                                const std::map<ItemId, ItemProgress>& known,
                                const ItemId& id) {
  const auto found = known.find(id);
  if (found != known.end() && item.phase == ItemPhase::kPending &&
      item.progress.last_event < found->second.last_event) {
    const uint32_t failed_runs = item.progress.failed_runs;
    item.progress = found->second;
    // A run that has failed since the save still counts.
    item.progress.failed_runs =
        std::max(item.progress.failed_runs, failed_runs);
  }
}

void JobScheduler::Apply(const JobOpenFailed& event, ClockReadings) {
  Job* job = FindJob(event.job);
  if (job != nullptr && job->hold == Hold::kOpening) {
    m_actions.push_back(OpenJob{event.job});
  }
}

void JobScheduler::Apply(const ItemStarted& event, ClockReadings) {
  Job* job = FindJob(event.job);
  if (job == nullptr) {
    return;
  }
  Item& item = job->items[event.item];
  item.phase = ItemPhase::kRunning;
  item.backend = event.backend;
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
  const uint32_t failed_runs = item.progress.failed_runs;
  const uint64_t known_events = item.progress.last_event;
  item.progress = event.progress;
  item.progress.failed_runs = failed_runs;
  item.backend = BackendId();
  if (job->hold != Hold::kOpen) {
    return;
  }
  if (event.end == ItemRunOutcome::kInterrupted ||
      event.end == ItemRunOutcome::kInDoubt) {
    NoteUnsaved(*job, item.progress.last_event - known_events, now);
  }
  switch (event.end) {
    case ItemRunOutcome::kCompleted:
      EndItem(*job, event.item, ItemState::kCompleted, now);
      break;
    case ItemRunOutcome::kImpossible:
      EndItem(*job, event.item, ItemState::kDeadLettered, now);
      break;
    case ItemRunOutcome::kFailed:
      ++item.progress.failed_runs;
      // A run that failed is begun anew.
      item.progress.last_event = 0;
      item.progress.output.clear();
      if (item.progress.failed_runs >= job->record.definition.max_attempts) {
        EndItem(*job, event.item, ItemState::kDeadLettered, now);
      } else {
        item.not_before = now.monotonic + m_options.retry_pause;
      }
      break;
    case ItemRunOutcome::kInDoubt: {
      const uint32_t doublings = std::min(item.interruptions, 6U);
      ++item.interruptions;
      item.not_before =
          now.monotonic + std::min(m_options.longest_retry_pause,
                                   m_options.retry_pause * (1 << doublings));
      break;
    }
    case ItemRunOutcome::kNotRun:
      item.not_before = now.monotonic + m_options.turned_away_pause;
      break;
    case ItemRunOutcome::kInterrupted:
      break;
  }
  ConsiderHandBack(*job);
}

void JobScheduler::EndItem(Job& job,
                           const ItemId& id,
                           ItemState state,
                           ClockReadings now) {
  Item& item = job.items[id];
  item.phase = ItemPhase::kEnded;
  if (job.unwritten.empty()) {
    job.gather_since = now.monotonic;
  }
  const bool completed = state == ItemState::kCompleted;
  job.unwritten.push_back(
      {id, state, completed ? item.progress.output : std::string()});
  ConsiderWriting(job, now);
}

void JobScheduler::ConsiderWriting(Job& job, ClockReadings now) {
  if (job.hold != Hold::kOpen || job.unwritten.empty() || job.writing) {
    return;
  }
  const bool nothing_else_soon =
      std::none_of(job.items.begin(), job.items.end(), [](const auto& item) {
        return item.second.phase == ItemPhase::kRunning ||
               item.second.phase == ItemPhase::kPending;
      });
  const bool gathered =
      now.monotonic - job.gather_since >= m_options.gather_time;
  if (nothing_else_soon || gathered || m_stopping) {
    job.writing = true;
    m_actions.push_back(WriteResults{job.record.key, job.unwritten});
  }
}

void JobScheduler::Apply(const ResultsWritten& event, ClockReadings now) {
  Job* job = FindJob(event.job);
  if (job == nullptr) {
    return;
  }
  job->writing = false;
  for (const ItemId& id : event.listed) {
    job->items[id].phase = ItemPhase::kListed;
  }
  std::erase_if(job->unwritten, [&](const ItemResult& result) {
    return event.listed.contains(result.item);
  });
  if (job->hold != Hold::kOpen) {
    return;
  }
  job->gather_since = now.monotonic;
  ConsiderWriting(*job, now);
  ConsiderFinish(*job);
  ConsiderHandBack(*job);
}

void JobScheduler::Apply(const ResultsNotWritten& event, ClockReadings now) {
  Job* job = FindJob(event.job);
  if (job != nullptr) {
    job->writing = false;
    job->gather_since = now.monotonic;
  }
}

void JobScheduler::ConsiderFinish(Job& job) {
  if (job.hold == Hold::kOpen && !job.finish_asked && AllListed(job)) {
    job.finish_asked = true;
    m_actions.push_back(FinishJob{job.record.key});
  }
}

// Once nothing runs and every result is written.
void JobScheduler::ConsiderHandBack(Job& job) {
  if (!m_stopping || job.hold != Hold::kOpen || job.writing ||
      !job.unwritten.empty()) {
    return;
  }
  const bool some_run =
      std::any_of(job.items.begin(), job.items.end(), [](const auto& item) {
        return item.second.phase == ItemPhase::kRunning;
      });
  if (some_run) {
    return;
  }
  job.hold = Hold::kNone;
  job.handed_back = true;
  if (!AllListed(job)) {
    m_actions.push_back(
        HandBackJob{.job = job.record.key, .progress = ProgressOf(job)});
  }
}

std::map<ItemId, ItemProgress> JobScheduler::ProgressOf(const Job& job) {
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

void JobScheduler::NoteUnsaved(Job& job, uint64_t events, ClockReadings now) {
  if (job.unsaved_events == 0) {
    job.save_at = now.monotonic + m_options.save_delay;
  }
  job.unsaved_events += events;
}

void JobScheduler::ConsiderSaving(Job& job, ClockReadings now) {
  if (job.hold != Hold::kOpen || job.saving || job.finish_asked || m_stopping ||
      job.unsaved_events < m_options.events_worth_saving ||
      now.monotonic < job.save_at) {
    return;
  }
  SaveProgress action{.job = job.record.key};
  size_t bytes = 0;
  for (auto& [id, progress] : ProgressOf(job)) {
    bytes += progress.output.size();
    if (bytes > m_options.max_saved_bytes) {
      break;
    }
    action.progress[id] = std::move(progress);
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
    NoteUnsaved(*job, m_options.events_worth_saving, now);
  }
}

void JobScheduler::GiveUpItems(Job& job, ClockReadings now) {
  if (job.hold == Hold::kOpen && now.wall >= job.record.definition.give_up) {
    GiveUpPending(job, now);
  }
}

void JobScheduler::GiveUpPending(Job& job, ClockReadings now) {
  std::vector<ItemId> given_up;
  for (const auto& [id, item] : job.items) {
    if (item.phase == ItemPhase::kPending) {
      given_up.push_back(id);
    }
  }
  for (const ItemId& id : given_up) {
    EndItem(job, id, ItemState::kDeadLettered, now);
  }
}

void JobScheduler::Apply(const JobRouteRemoved& event, ClockReadings now) {
  Job* job = FindJob(event.job);
  if (job == nullptr || job->hold != Hold::kOpen) {
    return;
  }
  GiveUpPending(*job, now);
}

void JobScheduler::Apply(const SchedulerTick&, ClockReadings now) {
  for (auto& [key, job] : m_jobs) {
    ConsiderTakeover(job, now);
    GiveUpItems(job, now);
    ConsiderWriting(job, now);
    ConsiderSaving(job, now);
    ConsiderHandBack(job);
    ConsiderDeletion(job, now);
  }
}

bool JobScheduler::IsMyTurn(const Job& job, Duration orphaned_for) const {
  const std::vector<VmId> live = m_peers.LiveProcesses();
  const auto turns =
      static_cast<size_t>(orphaned_for / m_options.takeover_turn) + 1;
  const std::vector<VmId> order =
      RendezvousPick(job.record.key.value(), live, turns);
  return std::find(order.begin(), order.end(), m_options.self) != order.end();
}

void JobScheduler::ConsiderTakeover(Job& job, ClockReadings now) {
  const JobStatus& status = job.record.status;
  if (IsOver(job) || IsOwner(job) || job.hold != Hold::kNone ||
      m_peers.IsLive(status.owner, status.incarnation)) {
    job.orphaned_since.reset();
    return;
  }
  if (!job.orphaned_since.has_value()) {
    job.orphaned_since = now.monotonic;
  }
  const bool settled = m_active_since.has_value() &&
                       now.monotonic - *m_active_since >= m_options.settle_time;
  if (m_stopping || !settled || now.monotonic < job.claim_again_at ||
      !IsMyTurn(job, now.monotonic - *job.orphaned_since)) {
    return;
  }
  job.hold = Hold::kClaiming;
  const char* reason =
      status.owner.empty() ? "handed back" : "its owner is not live";
  m_actions.push_back(ClaimJob{job.record.key, reason});
}

void JobScheduler::ConsiderDeletion(Job& job, ClockReadings now) {
  const JobDefinition& definition = job.record.definition;
  const WallTime expires =
      std::max(definition.give_up,
               definition.submitted +
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                       m_options.retention));
  if (job.delete_asked || !IsOver(job) || now.wall < expires ||
      !IsMyTurn(job, Duration::zero())) {
    return;
  }
  job.delete_asked = true;
  m_actions.push_back(DeleteJob{job.record.key});
}

std::vector<RunnableItem> JobScheduler::Runnable(ClockReadings now) const {
  if (m_stopping) {
    return {};
  }
  std::map<OrganisationId, size_t> running;
  for (const auto& [key, job] : m_jobs) {
    for (const auto& [id, item] : job.items) {
      running[job.record.definition.organisation] +=
          item.phase == ItemPhase::kRunning ? 1 : 0;
    }
  }
  // Late ones last, then the organisation with less, then the due time.
  using Order = std::tuple<bool, size_t, WallTime, JobKey, ItemId>;
  std::vector<std::pair<Order, RunnableItem>> ordered;
  for (const auto& [key, job] : m_jobs) {
    if (job.hold != Hold::kOpen || IsOver(job)) {
      continue;
    }
    const JobDefinition& definition = job.record.definition;
    const bool late = now.wall + m_options.usual_item_time > definition.due;
    size_t share = running[definition.organisation];
    for (const ItemId& id : definition.items) {
      const auto found = job.items.find(id);
      if (found == job.items.end() ||
          found->second.phase != ItemPhase::kPending ||
          found->second.not_before > now.monotonic) {
        continue;
      }
      ordered.push_back({{late, share / kTurn, definition.due, key, id},
                         {key, id, &found->second.progress}});
      ++share;
    }
    running[definition.organisation] = share;
  }
  std::sort(ordered.begin(), ordered.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<RunnableItem> items;
  for (auto& entry : ordered) {
    items.push_back(std::move(entry.second));
  }
  return items;
}

std::vector<std::pair<JobKey, ItemId>> JobScheduler::RunningAt(
    const BackendId& backend) const {
  std::vector<std::tuple<WallTime, JobKey, ItemId>> running;
  for (const auto& [key, job] : m_jobs) {
    for (const auto& [id, item] : job.items) {
      if (item.phase == ItemPhase::kRunning && !item.stopping &&
          item.backend == backend) {
        running.emplace_back(job.record.definition.due, key, id);
      }
    }
  }
  // What is due last can best wait.
  std::sort(running.rbegin(), running.rend());
  std::vector<std::pair<JobKey, ItemId>> items;
  for (const auto& [due, key, id] : running) {
    items.emplace_back(key, id);
  }
  return items;
}

}  // namespace cowslip
