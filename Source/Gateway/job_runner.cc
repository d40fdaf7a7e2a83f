#include "Gateway/job_runner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "Base/event_log.h"
#include "Fleet/fleet_configuration.h"
#include "Gateway/dispatcher.h"
#include "Gateway/gateway_metrics.h"
#include "Gateway/prompt_trial.h"
#include "Jobs/backlog_share.h"
#include "Jobs/job_documents.h"
#include "Placement/crash_suspect_core.h"
#include "platform/request_headers.h"

namespace cowslip {

namespace {

using boost::asio::awaitable;

// The deadline sent to the backend server with an item. It is far longer than
// any item takes, since no caller waits for it.
constexpr Duration kItemDeadline = std::chrono::seconds(60);

ClockReadings Now() {
  return ClockReadings{.monotonic = MonotonicClock::now(), .wall = WallNow()};
}

const char* NameOf(ItemRunOutcome outcome) {
  switch (outcome) {
    case ItemRunOutcome::kCompleted:
      return "completed";
    case ItemRunOutcome::kFailed:
      return "failed";
    case ItemRunOutcome::kUnprocessable:
      return "impossible";
    case ItemRunOutcome::kNotRun:
      return "not_run";
    case ItemRunOutcome::kInterrupted:
      return "interrupted";
    case ItemRunOutcome::kInDoubt:
      return "in_doubt";
  }
  return "unknown";
}

}  // namespace

JobRunner::JobRunner(GatewayContext& gateway,
                     DocumentStore& store,
                     JobScheduler& scheduler,
                     JobRunnerOptions options)
    : m_gateway(gateway),
      m_store(store),
      m_scheduler(scheduler),
      m_options(options),
      m_offer_records(store),
      m_item_services({.seed = options.seed}),
      m_pass_timer(gateway.io) {}

const ResultLog* JobRunner::FindOpenResults(const JobKey& job) const {
  const auto found = m_open_jobs.find(job);
  const bool is_open = m_scheduler.IsOpen(job) && found != m_open_jobs.end();
  // While jobs are not watched, another process may have taken the job over.
  if (!is_open || !m_gateway.jobs_are_current ||
      !found->second.results->is_current()) {
    return nullptr;
  }
  return found->second.results.get();
}

const JobItem* JobRunner::FindItem(const JobKey& job,
                                   const ItemId& item) const {
  const auto open = m_open_jobs.find(job);
  if (open == m_open_jobs.end()) {
    return nullptr;
  }
  const auto found = open->second.items.find(item);
  return found == open->second.items.end() ? nullptr : &found->second;
}

void JobRunner::AddAcceptedJob(JobRecord record, std::vector<JobItem> items) {
  OpenedJob& open = m_open_jobs[record.key];
  for (JobItem& item : items) {
    const ItemId id = item.id;
    open.items.emplace(id, std::move(item));
  }
  open.results =
      std::make_shared<ResultLog>(m_store, record.key, record.fence());
  open.results->AssumeEmpty();
  HandleEvent(JobUpdated{std::move(record)});
}

void JobRunner::AcceptOfferedJob(const JobRecord& record,
                                 std::vector<JobItem> items) {
  AddAcceptedJob(record, std::move(items));
  HandleEvent(JobOfferEnded{record.key});
}

void JobRunner::HandleJobDocument(const Document& document,
                                  const char* source) {
  std::optional<JobRecord> record = DecodeJob(document);
  if (!record.has_value()) {
    m_gateway.log.Write("job_unreadable", {{"job", document.name.value()}});
    return;
  }
  const JobRecord* known = m_scheduler.Find(record->key);
  if (record->status.ended && (known == nullptr || !known->status.ended)) {
    m_gateway.log.Write("job_end_known", {{"job", record->key.value()},
                                          {"version", record->version.value()},
                                          {"source", source}});
  }
  m_offer_records.RecordVersion(record->key, record->version);
  HandleEvent(JobUpdated{std::move(*record)});
}

void JobRunner::RemoveJob(const JobKey& job) {
  m_offer_records.Forget(job);
  HandleEvent(JobRemoved{job});
  m_open_jobs.erase(job);
}

void JobRunner::HandleReportedEnds(const std::vector<JobKey>& jobs) {
  for (const JobKey& job : jobs) {
    if (!m_scheduler.IsEnded(job)) {
      m_gateway.log.Write("job_end_known",
                          {{"job", job.value()}, {"source", "peer"}});
      HandleEvent(JobEndReported{job});
    }
  }
}

void JobRunner::HandleEvent(const JobSchedulerEvent& event) {
  const std::vector<JobSchedulerAction> actions =
      m_scheduler.Handle(event, Now());
  for (const JobSchedulerAction& action : actions) {
    std::visit([this](const auto& alternative) { ApplyAction(alternative); },
               action);
  }
}

void JobRunner::ApplyAction(const ClaimJob& action) {
  m_gateway.log.Write("job_claim",
                      {{"job", action.job.value()}, {"why", action.reason}});
  boost::asio::co_spawn(
      m_gateway.io, [this, job = action.job] { return Claim(job); },
      boost::asio::detached);
}

void JobRunner::ApplyAction(const OpenJob& action) {
  boost::asio::co_spawn(
      m_gateway.io, [this, job = action.job] { return Open(job); },
      boost::asio::detached);
}

void JobRunner::ApplyAction(const StopItem& action) {
  const auto run = m_runs.find({action.job, action.item});
  if (run != m_runs.end()) {
    run->second->Stop();
  } else {
    m_stopped_runs.insert({action.job, action.item});
  }
}

void JobRunner::ApplyAction(const WriteResults& action) {
  boost::asio::co_spawn(
      m_gateway.io,
      [this, job = action.job, results = action.results] {
        return AppendResults(job, results);
      },
      boost::asio::detached);
}

void JobRunner::ApplyAction(const FinishJob& action) {
  const JobRecord* record = m_scheduler.Find(action.job);
  JobStatus status = record->status;
  status.finished = true;
  status.accepted = true;
  status.progress.clear();
  boost::asio::co_spawn(
      m_gateway.io,
      [this, job = action.job, status, version = record->version] {
        return Finish(job, status, version);
      },
      boost::asio::detached);
}

void JobRunner::ApplyAction(const HandBackJob& action) {
  const JobRecord* record = m_scheduler.Find(action.job);
  JobStatus status = record->status;
  status.owner = VmId();
  // An offered job that was not opened here may have no items in the store.
  status.accepted = status.accepted || m_open_jobs.contains(action.job);
  status.progress.clear();
  m_gateway.log.Write(
      "job_handed_back",
      {{"job", action.job.value()}, {"items_begun", action.progress.size()}});
  boost::asio::co_spawn(
      m_gateway.io,
      [this, job = action.job, status, version = record->version,
       progress = action.progress] {
        return HandBack(job, status, version, progress);
      },
      boost::asio::detached);
}

void JobRunner::ApplyAction(const SaveProgress& action) {
  boost::asio::co_spawn(
      m_gateway.io,
      [this, job = action.job, progress = action.progress] {
        return WriteProgress(job, progress);
      },
      boost::asio::detached);
}

void JobRunner::ApplyAction(const CloseJob& action) {
  // Null if the job's document was removed.
  const JobRecord* record = m_scheduler.Find(action.job);
  const JobStatus status = record == nullptr ? JobStatus() : record->status;
  m_gateway.log.Write("job_closed", {{"job", action.job.value()},
                                     {"removed", record == nullptr},
                                     {"owner", status.owner.value()},
                                     {"ended", m_scheduler.IsEnded(action.job)},
                                     {"finished", status.finished}});
  m_item_services.Forget(action.job);
  m_open_jobs.erase(action.job);
}

void JobRunner::ApplyAction(const DeleteJob& action) {
  boost::asio::co_spawn(
      m_gateway.io, [this, job = action.job] { return Delete(job); },
      boost::asio::detached);
}

void JobRunner::Tick() {
  HandleEvent(SchedulerTick{});
  if (m_scheduler.jobs() > 0) {
    SchedulePass();
  }
}

void JobRunner::SchedulePass() {
  if (m_pass_scheduled || m_open_jobs.empty()) {
    return;
  }
  m_pass_scheduled = true;
  const Duration since = MonotonicClock::now() - m_last_pass_time;
  m_pass_timer.expires_after(
      std::max(Duration::zero(), m_options.min_pass_interval - since));
  m_pass_timer.async_wait([this](const boost::system::error_code& error) {
    m_pass_scheduled = false;
    if (!error) {
      RunPass();
    }
  });
}

void JobRunner::RunPass() {
  const ClockReadings now = Now();
  m_last_pass_time = now.monotonic;
  PreemptItems(now);
  // Each item that runs takes processor time from online requests, and from the
  // messages that stop items.
  if (m_gateway.has_time_left && FindFreeSlots(now)) {
    StartItems(now);
  }
}

// Under a backlog slots are full most of the time, and ordering all items is
// far more work than this.
bool JobRunner::FindFreeSlots(ClockReadings now) {
  std::set<ServiceId> services;
  for (auto& [key, open] : m_open_jobs) {
    const JobRecord* record = m_scheduler.Find(key);
    if (record != nullptr) {
      for (ServicePart& part : ServicesOfOpenJob(open, *record)) {
        services.insert(std::move(part.service));
      }
    }
  }
  const PlacementCore& placement = m_gateway.dispatcher.placement_core();
  m_unclaimed_in_pass.clear();
  m_free_in_pass.clear();
  for (const ServiceId& service : services) {
    const bool is_free =
        placement.PlaceBatch({.service = service}, now.monotonic).has_value();
    if (m_unclaimed_slots.Check(service, is_free, now.monotonic)) {
      m_unclaimed_in_pass.insert(service);
    }
    if (is_free) {
      m_free_in_pass.insert(service);
    }
  }
  return !m_free_in_pass.empty();
}

void JobRunner::PreemptItems(ClockReadings now) {
  for (const BackendUse& use :
       m_gateway.dispatcher.placement_core().InFlight()) {
    if (use.batch == 0 ||
        !m_gateway.dispatcher.placement_core().ShouldPreemptBatch(
            use.backend)) {
      continue;
    }
    MonotonicTime& last_preemption = m_last_preemption[use.backend];
    if (now.monotonic - last_preemption < m_options.preempt_interval) {
      continue;
    }
    const auto running = m_scheduler.RunningItemsAt(use.backend, now);
    if (running.empty()) {
      continue;
    }
    last_preemption = now.monotonic;
    const auto& [job, item] = running.front();
    m_gateway.log.Write("item_yields", {{"job", job.value()},
                                        {"item", item.value()},
                                        {"backend", use.backend.value()}});
    m_gateway.dispatcher.HandleEvent(BatchPreempted{use.backend});
    ApplyAction(StopItem{job, item});
  }
}

std::vector<ServicePart> JobRunner::ServicesOf(
    const RouteId& id,
    const OrganisationId& organisation) const {
  const auto& configuration = m_gateway.configuration;
  const FleetRoute* route =
      configuration == nullptr ? nullptr : configuration->FindRoute(id);
  if (route == nullptr) {
    return {};
  }
  return m_gateway.dispatcher.placement_core().PartsOf(
      route->split, configuration->HomeRegionsFor(id, organisation));
}

std::vector<ServicePart> JobRunner::ServicesOfOpenJob(OpenedJob& job,
                                                      const JobRecord& record) {
  std::vector<ServicePart> parts =
      ServicesOf(record.definition.route, record.definition.organisation);
  if (!parts.empty()) {
    job.route_missing_since.reset();
    return parts;
  }
  const auto& configuration = m_gateway.configuration;
  const MonotonicTime now = MonotonicClock::now();
  if (!job.route_missing_since.has_value()) {
    job.route_missing_since = now;
  }
  if (configuration != nullptr && m_gateway.configuration_is_current &&
      now - *job.route_missing_since >= m_options.missing_route_timeout) {
    m_gateway.log.Write("job_route_gone",
                        {{"job", record.key.value()},
                         {"route", record.definition.route.value()}});
    HandleEvent(JobRouteRemoved{record.key});
  }
  return parts;
}

// An item that has begun is resumed where it began, if it can be.
ServiceId JobRunner::ServiceFor(const RunnableItem& item,
                                const std::vector<ServicePart>& parts,
                                const HomeRegions& regions,
                                MonotonicTime now) {
  const ItemProgress& progress = *item.progress;
  const bool resumes_there =
      progress.last_event > 0 && !progress.service.empty() &&
      std::any_of(parts.begin(), parts.end(),
                  [&](const ServicePart& part) {
                    return part.service == progress.service;
                  }) &&
      m_gateway.dispatcher.placement_core().Serves(progress.service,
                                                   progress.version, regions);
  return resumes_there ? progress.service
                       : m_item_services.Choose(item.job, item.item, parts,
                                                m_free_in_pass, now);
}

std::optional<SoftwareVersion> JobRunner::VersionToResume(
    const RunnableItem& item,
    const ServiceId& service,
    const HomeRegions& regions) {
  if (item.progress->last_event == 0) {
    return std::nullopt;
  }
  const SoftwareVersion version = item.progress->version;
  const ServiceId& began_at = item.progress->service;
  const bool is_same_service = began_at.empty() || began_at == service;
  if (is_same_service &&
      m_gateway.dispatcher.placement_core().Serves(service, version, regions)) {
    return version;
  }
  m_gateway.log.Write("item_restarted", {{"job", item.job.value()},
                                         {"item", item.item.value()},
                                         {"version", version.value()},
                                         {"began_at", began_at.value()},
                                         {"service", service.value()}});
  HandleEvent(ItemVersionGone{item.job, item.item});
  return std::nullopt;
}

std::map<ServiceId, int64_t> JobRunner::ItemsAllowed(ClockReadings now) const {
  std::map<ServiceId, BacklogShareRequest> backlogs;
  std::map<ServiceId, int64_t> running;
  for (const auto& [key, run] : m_runs) {
    ++running[run->service()];
  }
  for (const JobWork& work : m_scheduler.UnfinishedWork()) {
    for (const ServicePart& part : ServicesOf(work.route, work.organisation)) {
      JobWork part_of_work = work;
      part_of_work.items =
          static_cast<uint32_t>(std::ceil(work.items * part.part));
      backlogs[part.service].work.push_back(std::move(part_of_work));
    }
  }
  std::map<ServiceId, int64_t> allowed;
  for (auto& [service, backlog] : backlogs) {
    const uint32_t slots = m_gateway.dispatcher.placement_core().BatchSlots(
        service, now.monotonic);
    // The views of the processes differ a little, and a slot that nobody claims
    // is lost.
    backlog.slots = slots + slots / 2;
    backlog.self = m_scheduler.self();
    backlog.now = now.wall;
    backlog.item_time = m_scheduler.item_span();
    int64_t& items = allowed[service];
    items = int64_t{ItemsAtHead(std::move(backlog))} - running[service];
    if (m_unclaimed_in_pass.contains(service)) {
      items = std::max<int64_t>(items, 1);
    }
  }
  return allowed;
}

void JobRunner::StartItems(ClockReadings now) {
  size_t started = 0;
  m_blocked_in_pass.clear();
  std::map<ServiceId, int64_t> allowed = ItemsAllowed(now);
  // Services, or single versions of them, without a free slot in the regions.
  std::set<std::tuple<ServiceId, std::optional<SoftwareVersion>, HomeRegions>>
      full;
  for (const RunnableItem& runnable : m_scheduler.RunnableItems(now)) {
    if (started >= m_options.max_starts_per_pass) {
      break;
    }
    const auto open = m_open_jobs.find(runnable.job);
    const JobRecord* record = m_scheduler.Find(runnable.job);
    if (open == m_open_jobs.end() || record == nullptr) {
      continue;
    }
    const std::vector<ServicePart> parts =
        ServicesOfOpenJob(open->second, *record);
    const auto item = open->second.items.find(runnable.item);
    if (parts.empty() || item == open->second.items.end()) {
      continue;
    }
    const HomeRegions regions = HomeRegionsOf(*record);
    const ServiceId service =
        ServiceFor(runnable, parts, regions, now.monotonic);
    if (full.contains({service, std::nullopt, regions}) ||
        allowed[service] <= 0) {
      continue;
    }
    const std::optional<SoftwareVersion> version =
        VersionToResume(runnable, service, regions);
    if (full.contains({service, version, regions})) {
      continue;
    }
    std::shared_ptr<PromptTrial> trial;
    if (!MayRunPrompt(runnable.job, item->second, trial)) {
      continue;
    }
    std::unique_ptr<AttemptLease> lease =
        m_gateway.dispatcher.PlaceBatch(PlacementQuery{
            .service = service, .version = version, .home_regions = regions});
    if (lease == nullptr) {
      full.insert({service, version, regions});
      continue;
    }
    ++started;
    --allowed[service];
    m_item_services.Forget(runnable.job, runnable.item);
    ItemProgress progress = *runnable.progress;
    HandleEvent(ItemStarted{runnable.job, runnable.item, lease->backend()});
    boost::asio::co_spawn(
        m_gateway.io,
        [this, key = RunKey(runnable.job, runnable.item),
         progress = std::move(progress), runs = runnable.in_doubt_runs,
         lease = std::shared_ptr<AttemptLease>(std::move(lease)),
         trial = std::move(trial), body = item->second] {
          return RunItem(key, progress, runs, lease, trial, body);
        },
        boost::asio::detached);
  }
}

bool JobRunner::MayMove(const AttemptLease& lease,
                        const ItemProgress& progress,
                        const HomeRegions& home_regions) const {
  PlacementQuery query{.service = lease.service(),
                       .exclude = {lease.backend()},
                       .home_regions = home_regions};
  if (progress.last_event > 0) {
    query.version = progress.version;
  }
  return m_gateway.dispatcher.placement_core()
      .PlaceBatch(query, MonotonicClock::now())
      .has_value();
}

HomeRegions JobRunner::HomeRegionsOf(const JobRecord& record) const {
  const auto& configuration = m_gateway.configuration;
  return configuration == nullptr
             ? HomeRegions()
             : configuration->HomeRegionsFor(record.definition.route,
                                             record.definition.organisation);
}

bool JobRunner::MayRunPrompt(const JobKey& job,
                             const JobItem& item,
                             std::shared_ptr<PromptTrial>& trial) {
  CrashSuspectCore& suspects = m_gateway.crash_suspects;
  if (suspects.blocked_parts() == 0) {
    m_blocked_logged.clear();
    return true;
  }
  const std::vector<PromptPartId> parts =
      platform::DecodeSharedParts(item.headers);
  const bool is_known_blocked =
      std::any_of(parts.begin(), parts.end(), [&](const PromptPartId& part) {
        return m_blocked_in_pass.contains(part);
      });
  if (is_known_blocked) {
    return false;
  }
  const CrashSuspectAction action =
      suspects.Handle(RunRequested{parts}, MonotonicClock::now());
  if (const auto* blocked = std::get_if<RunBlocked>(&action)) {
    m_blocked_in_pass.insert(blocked->part);
    LogBlockedItem(job, item, *blocked);
    return false;
  }
  if (std::get<RunAllowed>(action).is_trial) {
    trial = std::make_shared<PromptTrial>(suspects, parts);
  }
  return true;
}

void JobRunner::RecordEvents(const std::vector<PromptPartId>& parts,
                             uint32_t before,
                             uint32_t events) {
  CrashSuspectCore& suspects = m_gateway.crash_suspects;
  if (parts.empty() || !suspects.has_suspects() ||
      !CrashSuspectCore::IsMilestone(before, events)) {
    return;
  }
  const size_t blocked = suspects.blocked_parts();
  suspects.Handle(RunAdvanced{.parts = parts, .events = events},
                  MonotonicClock::now());
  if (suspects.blocked_parts() != blocked) {
    m_gateway.reported_state_changed();
    SchedulePass();
  }
}

void JobRunner::LogBlockedItem(const JobKey& job,
                               const JobItem& item,
                               const RunBlocked& blocked) {
  const MonotonicTime now = MonotonicClock::now();
  const auto [logged, is_new] = m_blocked_logged.emplace(blocked.part, now);
  if (!is_new && now - logged->second < m_options.blocked_log_interval) {
    return;
  }
  logged->second = now;
  m_gateway.log.Write("prompt_part_blocked",
                      {{"job", job.value()},
                       {"item", item.id.value()},
                       {"part", blocked.part.value()},
                       {"crashes", blocked.crashes},
                       {"failed_trials", blocked.failed_trials},
                       {"retry_after_ms", ToMillis(blocked.retry_after)}});
}

void JobRunner::RecordRunEnd(const ItemRun& run,
                             ItemRunOutcome outcome,
                             const BackendId& backend,
                             uint64_t started_at_ms,
                             bool is_trial) {
  CrashSuspectCore& suspects = m_gateway.crash_suspects;
  const MonotonicTime now = MonotonicClock::now();
  if (run.was_withheld()) {
    return;
  }
  if (outcome == ItemRunOutcome::kNotRun && run.was_unverified()) {
    return;
  }
  if (outcome == ItemRunOutcome::kUnprocessable && !run.answer_began()) {
    return;
  }
  if (outcome == ItemRunOutcome::kNotRun && !run.answer_began()) {
    suspects.Handle(BackendRefusedConnection{backend, started_at_ms}, now);
  } else if (run.broke_off()) {
    suspects.Handle(RunBrokenOff{.backend = backend,
                                 .started_at_ms = started_at_ms,
                                 .parts = run.shared_parts(),
                                 .events = run.events(),
                                 .is_trial = is_trial},
                    now);
    m_gateway.reported_state_changed();
  } else if (outcome != ItemRunOutcome::kCompleted &&
             outcome != ItemRunOutcome::kFailed &&
             outcome != ItemRunOutcome::kUnprocessable) {
    return;
  } else if (run.ends_with_connection()) {
    suspects.Handle(
        RunEndedWithConnection{backend, started_at_ms, run.shared_parts()},
        now);
  } else {
    suspects.Handle(RunEndedWell{run.shared_parts()}, now);
  }
}

awaitable<void> JobRunner::RunItem(RunKey key,
                                   ItemProgress progress,
                                   uint32_t in_doubt_runs,
                                   std::shared_ptr<AttemptLease> lease,
                                   std::shared_ptr<PromptTrial> trial,
                                   JobItem item) {
  const JobRecord* record = m_scheduler.Find(key.first);
  if (m_stopped_runs.erase(key) > 0 || record == nullptr) {
    lease.reset();
    HandleEvent(ItemRunEnded{key.first, key.second,
                             ItemRunOutcome::kInterrupted, progress});
    co_return;
  }
  const BackendId backend = lease->backend();
  const SoftwareVersion version = lease->version();
  const uint64_t started_at_ms = lease->started_at_ms();
  const uint64_t began_after = progress.last_event;
  const std::vector<PromptPartId> parts =
      platform::DecodeSharedParts(item.headers);
  const auto run = std::make_shared<ItemRun>(
      m_gateway.io,
      ItemRunRequest{
          .item = std::move(item),
          .host = record->definition.host,
          .call = {.organisation = record->definition.organisation,
                   .backend = backend,
                   .deadline = kItemDeadline},
          .version = version,
          .service = lease->service(),
          .progress = std::move(progress),
          .on_events =
              [this, parts](uint32_t before, uint32_t events) {
                RecordEvents(parts, before, events);
              },
          .in_doubt_runs = in_doubt_runs,
          .may_move =
              [this, &held = *lease, trial,
               regions = HomeRegionsOf(*record)](const ItemProgress& reached) {
                // Other items with the prompt part need not wait for a silent
                // run.
                if (trial != nullptr) {
                  trial->MarkRun();
                  trial->End();
                }
                return MayMove(held, reached, regions);
              },
          .memory = m_gateway.memory});
  m_runs[key] = run;
  m_gateway.log.Write("item_run_began",
                      {{"job", key.first.value()},
                       {"item", key.second.value()},
                       {"backend", backend.value()},
                       {"job_version", record->version.value()}});
  const ItemRunOutcome outcome = co_await run->Run(*lease);
  m_runs.erase(key);
  lease.reset();
  m_gateway.metrics.CountItemRun(NameOf(outcome));
  m_gateway.log.Write("item_run_ended",
                      {{"job", key.first.value()},
                       {"item", key.second.value()},
                       {"backend", backend.value()},
                       {"version", version.value()},
                       {"end", NameOf(outcome)},
                       {"from_event", began_after},
                       {"last_event", run->progress().last_event},
                       {"answer_began", run->answer_began()},
                       {"stalled_ms", ToMillis(run->longest_stall())},
                       {"prompt_parts", run->shared_parts()},
                       {"why", run->failure_reason()}});
  const bool is_trial = trial != nullptr && !trial->has_ended();
  RecordRunEnd(*run, outcome, backend, started_at_ms, is_trial);
  if (trial != nullptr && outcome != ItemRunOutcome::kNotRun) {
    trial->MarkRun();
  }
  trial.reset();
  HandleEvent(ItemRunEnded{key.first, key.second, outcome, run->progress()});
  SchedulePass();
}

}  // namespace cowslip
