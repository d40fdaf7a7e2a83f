#include "Gateway/job_runner.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Base/event_log.h"
#include "Fleet/fleet_configuration.h"
#include "Gateway/dispatcher.h"
#include "Gateway/gateway_metrics.h"
#include "Jobs/job_documents.h"

namespace cowslip {

namespace {

using boost::asio::awaitable;

// What a backend server is told of an item's time: far longer than any item
// takes, since nobody waits for it.
constexpr Duration kItemDeadline = std::chrono::seconds(60);

JobTime Now() {
  return JobTime{.monotonic = MonotonicClock::now(), .wall = WallNow()};
}

const char* NameOf(ItemRunEnd end) {
  switch (end) {
    case ItemRunEnd::kCompleted:
      return "completed";
    case ItemRunEnd::kFailed:
      return "failed";
    case ItemRunEnd::kImpossible:
      return "impossible";
    case ItemRunEnd::kNotRun:
      return "not_run";
    case ItemRunEnd::kInterrupted:
      return "interrupted";
    case ItemRunEnd::kInDoubt:
      return "in_doubt";
  }
  return "unknown";
}

// The version at which the store named this process the owner.
FencingNumber FenceOf(const JobRecord& record) {
  return FencingNumber(record.version.value());
}

std::set<ItemId> IdsOf(const std::vector<ItemResult>& results) {
  std::set<ItemId> ids;
  for (const ItemResult& result : results) {
    ids.insert(result.item);
  }
  return ids;
}

}  // namespace

JobRunner::JobRunner(GatewayContext& gateway,
                     DocumentStore& store,
                     JobBoard& board,
                     JobRunnerOptions options)
    : m_gateway(gateway),
      m_store(store),
      m_board(board),
      m_options(options),
      m_pass_timer(gateway.io) {}

const ResultLog* JobRunner::OpenResults(const JobKey& job) const {
  const auto found = m_open.find(job);
  const bool is_open = m_board.IsOpenHere(job) && found != m_open.end();
  // Without word from the store, another process may have taken the job over.
  if (!is_open || !m_gateway.jobs_are_current ||
      !found->second.results->is_certain()) {
    return nullptr;
  }
  return found->second.results.get();
}

const JobItem* JobRunner::FindItem(const JobKey& job,
                                   const ItemId& item) const {
  const auto open = m_open.find(job);
  if (open == m_open.end()) {
    return nullptr;
  }
  const auto found = open->second.items.find(item);
  return found == open->second.items.end() ? nullptr : &found->second;
}

void JobRunner::Accepted(JobRecord record, std::vector<JobItem> items) {
  OpenedJob& open = m_open[record.key];
  for (JobItem& item : items) {
    const ItemId id = item.id;
    open.items.emplace(id, std::move(item));
  }
  open.results =
      std::make_shared<ResultLog>(m_store, record.key, FenceOf(record));
  open.results->AssumeEmpty();
  Tell(JobSeen{std::move(record)});
}

void JobRunner::Seen(const Document& document) {
  std::optional<JobRecord> record = DecodeJob(document);
  if (!record.has_value()) {
    m_gateway.log.Write("job_unreadable", {{"job", document.name.value()}});
    return;
  }
  Tell(JobSeen{std::move(*record)});
}

void JobRunner::Forgotten(const JobKey& job) {
  Tell(JobForgotten{job});
  m_open.erase(job);
}

void JobRunner::Tell(const BoardEvent& event) {
  const std::vector<BoardAction> actions = m_board.Handle(event, Now());
  for (const BoardAction& action : actions) {
    std::visit([this](const auto& alternative) { Carry(alternative); }, action);
  }
}

void JobRunner::Carry(const ClaimJob& action) {
  m_gateway.log.Write("job_claim",
                      {{"job", action.job.value()}, {"why", action.reason}});
  boost::asio::co_spawn(
      m_gateway.io, [this, job = action.job] { return Claim(job); },
      boost::asio::detached);
}

void JobRunner::Carry(const OpenJob& action) {
  boost::asio::co_spawn(
      m_gateway.io, [this, job = action.job] { return Open(job); },
      boost::asio::detached);
}

void JobRunner::Carry(const StopItem& action) {
  const auto run = m_runs.find({action.job, action.item});
  if (run != m_runs.end()) {
    run->second->Stop();
  }
}

void JobRunner::Carry(const WriteResults& action) {
  boost::asio::co_spawn(
      m_gateway.io,
      [this, job = action.job, results = action.results] {
        return Write(job, results);
      },
      boost::asio::detached);
}

void JobRunner::Carry(const FinishJob& action) {
  const JobRecord* record = m_board.Find(action.job);
  JobStatus status = record->status;
  status.finished = true;
  status.progress.clear();
  boost::asio::co_spawn(
      m_gateway.io,
      [this, job = action.job, status] { return SetStatus(job, status); },
      boost::asio::detached);
}

void JobRunner::Carry(const HandBackJob& action) {
  const JobRecord* record = m_board.Find(action.job);
  JobStatus status = record->status;
  status.owner = VmId();
  status.progress = action.progress;
  m_gateway.log.Write(
      "job_handed_back",
      {{"job", action.job.value()}, {"items_begun", action.progress.size()}});
  boost::asio::co_spawn(
      m_gateway.io,
      [this, job = action.job, status] { return SetStatus(job, status); },
      boost::asio::detached);
}

void JobRunner::Carry(const CloseJob& action) {
  const JobRecord* record = m_board.Find(action.job);
  m_gateway.log.Write("job_closed", {{"job", action.job.value()},
                                     {"owner", record->status.owner.value()},
                                     {"ended", record->status.ended},
                                     {"finished", record->status.finished}});
  m_open.erase(action.job);
}

void JobRunner::Carry(const DeleteJob& action) {
  boost::asio::co_spawn(
      m_gateway.io, [this, job = action.job] { return Delete(job); },
      boost::asio::detached);
}

awaitable<void> JobRunner::Pause(Duration pause) {
  boost::asio::steady_timer timer(m_gateway.io, pause);
  boost::system::error_code ignored;
  co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

awaitable<void> JobRunner::Claim(JobKey job) {
  const JobRecord* known = m_board.Find(job);
  if (known == nullptr) {
    co_return;
  }
  JobStatus status = known->status;
  m_board.NameOwner(status);
  const ObjectVersion version = known->version;
  const DocumentKind kind(kJobKind);
  const DocumentName name = JobName(job);
  nlohmann::json encoded = EncodeStatus(status);
  const Result<Document> claimed =
      co_await m_store.ReplaceStatus(kind, name, std::move(encoded), version);
  bool won = claimed.has_value();
  if (won) {
    Seen(claimed.value());
  } else {
    m_gateway.log.Write("job_claim_failed", {{"job", job.value()},
                                             {"why", claimed.error().message}});
    // The claim may have been carried out, or another one: the store tells.
    const Result<Document> now = co_await m_store.Get(kind, name);
    if (now.has_value()) {
      Seen(now.value());
      const JobRecord* record = m_board.Find(job);
      won = record != nullptr && m_board.Owns(*record);
    }
  }
  Tell(ClaimEnded{job, won});
  Wake();
}

awaitable<void> JobRunner::ReadRecord(JobKey job) {
  const DocumentKind kind(kJobKind);
  const DocumentName name = JobName(job);
  const Result<Document> document = co_await m_store.Get(kind, name);
  if (document.has_value()) {
    Seen(document.value());
  }
}

awaitable<void> JobRunner::Open(JobKey job) {
  const Result<void> read = co_await ReadJob(job);
  if (!read.has_value()) {
    if (read.error().kind() == ErrorKind::kConflict) {
      co_await ReadRecord(job);
    }
    m_gateway.log.Write("job_open_failed",
                        {{"job", job.value()}, {"why", read.error().message}});
    co_await Pause(m_options.store_pause);
    Tell(JobOpenFailed{job});
    co_return;
  }
  const auto open = m_open.find(job);
  if (open == m_open.end()) {
    co_return;
  }
  std::set<ItemId> listed = IdsOf(open->second.results->results());
  m_gateway.log.Write("job_opened", {{"job", job.value()},
                                     {"items", open->second.items.size()},
                                     {"listed", listed.size()}});
  Tell(JobOpened{job, std::move(listed)});
  Wake();
}

bool JobRunner::HasRead(const JobRecord& record) const {
  const auto found = m_open.find(record.key);
  return found != m_open.end() &&
         found->second.items.size() == record.definition.items.size() &&
         found->second.results->fence() == FenceOf(record);
}

awaitable<Result<void>> JobRunner::ReadJob(JobKey job) {
  const JobRecord* record = m_board.Find(job);
  if (record == nullptr || HasRead(*record)) {
    co_return Ok();
  }
  if (!m_board.Owns(*record)) {
    co_return Error(ErrorKind::kConflict,
                    "Another process owns the job by now.");
  }
  const JobDefinition definition = record->definition;
  const FencingNumber fence = FenceOf(*record);
  OpenedJob opened;
  const DocumentKind kind(kInputKind);
  for (uint32_t i = 0; i < definition.input_segments; ++i) {
    const DocumentName name = InputName(job, definition.digest, i);
    const Result<Document> document = co_await m_store.Get(kind, name);
    if (!document.has_value()) {
      co_return document.error();
    }
    Result<std::vector<JobItem>> items = DecodeInputs(document.value().content);
    if (!items.has_value()) {
      co_return items.error();
    }
    for (JobItem& item : items.value()) {
      const ItemId id = item.id;
      opened.items.emplace(id, std::move(item));
    }
  }
  if (opened.items.size() != definition.items.size()) {
    co_return Error(ErrorKind::kMalformedMessage,
                    "The job's documents hold other items than its record.");
  }
  opened.results = std::make_shared<ResultLog>(m_store, job, fence);
  const Result<void> results = co_await opened.results->Claim();
  if (!results.has_value()) {
    co_return results.error();
  }
  // Meanwhile other processes may have owned the job. What was read then must
  // not serve a later ownership of this process: its claim counts no longer.
  record = m_board.Find(job);
  if (record == nullptr || FenceOf(*record) != fence) {
    co_return Error(ErrorKind::kConflict,
                    "The job's document has changed. Read the job again.");
  }
  m_open[job] = std::move(opened);
  co_return Ok();
}

awaitable<void> JobRunner::Write(JobKey job, std::vector<ItemResult> results) {
  const auto open = m_open.find(job);
  if (open == m_open.end()) {
    co_return;
  }
  // The job may be closed meanwhile; the log lives until the call has ended.
  const std::shared_ptr<ResultLog> log = open->second.results;
  const size_t count = results.size();
  const Result<void> written = co_await log->Append(std::move(results));
  if (!written.has_value()) {
    m_gateway.log.Write("results_not_written",
                        {{"job", job.value()},
                         {"results", count},
                         {"why", written.error().message}});
    if (written.error().kind() == ErrorKind::kConflict) {
      co_await ReadRecord(job);
    }
    co_await Pause(m_options.store_pause);
    Tell(ResultsNotWritten{job});
    co_return;
  }
  m_gateway.log.Write("results_written", {{"job", job.value()},
                                          {"results", count},
                                          {"listed", log->results().size()}});
  Tell(ResultsWritten{job, IdsOf(log->results())});
}

awaitable<void> JobRunner::SetStatus(JobKey job, JobStatus status) {
  const DocumentKind kind(kJobKind);
  const DocumentName name = JobName(job);
  const JobRecord* record = m_board.Find(job);
  if (record == nullptr) {
    co_return;
  }
  const ObjectVersion version = record->version;
  nlohmann::json encoded = EncodeStatus(status);
  const Result<Document> written =
      co_await m_store.ReplaceStatus(kind, name, std::move(encoded), version);
  if (written.has_value()) {
    Seen(written.value());
    co_return;
  }
  // Not needed for a correct result: the next owner finds the same in the
  // results, and a job with a dead owner is taken over.
  m_gateway.log.Write("job_status_not_written",
                      {{"job", job.value()}, {"why", written.error().message}});
}

awaitable<void> JobRunner::Delete(JobKey job) {
  const JobRecord* record = m_board.Find(job);
  if (record == nullptr) {
    co_return;
  }
  const JobDefinition definition = record->definition;
  const DocumentKind inputs(kInputKind);
  for (uint32_t i = 0; i < definition.input_segments; ++i) {
    const DocumentName name = InputName(job, definition.digest, i);
    (void)co_await m_store.Remove(inputs, name);
  }
  const DocumentKind results(kResultKind);
  Result<void> removed = Ok();
  for (uint32_t i = 0; removed.has_value(); ++i) {
    const DocumentName name = ResultName(job, i);
    removed = co_await m_store.Remove(results, name);
  }
  const DocumentKind jobs(kJobKind);
  const DocumentName name = JobName(job);
  removed = co_await m_store.Remove(jobs, name);
  m_gateway.log.Write("job_deleted",
                      {{"job", job.value()}, {"removed", removed.has_value()}});
}

void JobRunner::Tick() {
  Tell(BoardTick{});
  if (m_board.jobs() > 0) {
    Wake();
  }
}

void JobRunner::Wake() {
  if (m_pass_is_set || m_open.empty()) {
    return;
  }
  m_pass_is_set = true;
  const Duration since = MonotonicClock::now() - m_last_pass;
  m_pass_timer.expires_after(
      std::max(Duration::zero(), m_options.pass_pause - since));
  m_pass_timer.async_wait([this](const boost::system::error_code& error) {
    m_pass_is_set = false;
    if (!error) {
      Pass();
    }
  });
}

void JobRunner::Pass() {
  const JobTime now = Now();
  m_last_pass = now.monotonic;
  YieldItems(now.monotonic);
  StartItems(now);
}

void JobRunner::YieldItems(MonotonicTime now) {
  for (const BackendUse& use : m_gateway.dispatcher.placing().InFlight()) {
    if (use.batch == 0 ||
        !m_gateway.dispatcher.placing().ShouldYieldBatch(use.backend)) {
      continue;
    }
    MonotonicTime& yielded = m_yielded[use.backend];
    const auto running = m_board.RunningAt(use.backend);
    if (running.empty() || now - yielded < m_options.yield_pause) {
      continue;
    }
    yielded = now;
    const auto& [job, item] = running.front();
    m_gateway.log.Write("item_yields", {{"job", job.value()},
                                        {"item", item.value()},
                                        {"backend", use.backend.value()}});
    Carry(StopItem{job, item});
  }
}

std::optional<ServiceId> JobRunner::ServiceOf(OpenedJob& job,
                                              const JobRecord& record) {
  const auto& configuration = m_gateway.configuration;
  const FleetRoute* route =
      configuration == nullptr
          ? nullptr
          : configuration->FindRoute(record.definition.route);
  if (route != nullptr && !route->split.empty()) {
    job.route_missing_since.reset();
    return route->split.front().service;
  }
  const MonotonicTime now = MonotonicClock::now();
  if (!job.route_missing_since.has_value()) {
    job.route_missing_since = now;
  }
  if (configuration != nullptr && m_gateway.configuration_is_current &&
      now - *job.route_missing_since >= m_options.route_patience) {
    m_gateway.log.Write("job_route_gone",
                        {{"job", record.key.value()},
                         {"route", record.definition.route.value()}});
    Tell(JobRouteGone{record.key});
  }
  return std::nullopt;
}

void JobRunner::StartItems(JobTime now) {
  size_t started = 0;
  std::set<ServiceId> full;
  for (RunnableItem& runnable : m_board.Runnable(now)) {
    if (started >= m_options.starts_per_pass) {
      break;
    }
    const auto open = m_open.find(runnable.job);
    const JobRecord* record = m_board.Find(runnable.job);
    if (open == m_open.end() || record == nullptr) {
      continue;
    }
    const auto service = ServiceOf(open->second, *record);
    const auto item = open->second.items.find(runnable.item);
    if (!service.has_value() || full.contains(*service) ||
        item == open->second.items.end()) {
      continue;
    }
    std::unique_ptr<AttemptLease> lease =
        m_gateway.dispatcher.PlaceBatch(PlacementQuery{.service = *service});
    if (lease == nullptr) {
      full.insert(*service);
      continue;
    }
    ++started;
    Tell(ItemStarted{runnable.job, runnable.item, lease->backend()});
    boost::asio::co_spawn(
        m_gateway.io,
        [this, runnable = std::move(runnable),
         lease = std::shared_ptr<AttemptLease>(std::move(lease)),
         body = item->second] { return RunItem(runnable, lease, body); },
        boost::asio::detached);
  }
}

awaitable<void> JobRunner::RunItem(RunnableItem runnable,
                                   std::shared_ptr<AttemptLease> lease,
                                   JobItem item) {
  const RunKey key(runnable.job, runnable.item);
  const JobRecord* record = m_board.Find(runnable.job);
  const BackendId backend = lease->backend();
  const uint64_t began_after = runnable.progress.last_event;
  const auto run = std::make_shared<ItemRun>(
      ItemRunRequest{.item = std::move(item),
                     .host = record->definition.host,
                     .call = {.organisation = record->definition.organisation,
                              .backend = backend,
                              .deadline = kItemDeadline},
                     .progress = std::move(runnable.progress)});
  m_runs[key] = run;
  const ItemRunEnd end = co_await run->Run(*lease);
  m_runs.erase(key);
  lease.reset();
  m_gateway.metrics.ItemEnded(NameOf(end));
  m_gateway.log.Write("item_run_ended",
                      {{"job", key.first.value()},
                       {"item", key.second.value()},
                       {"backend", backend.value()},
                       {"end", NameOf(end)},
                       {"from_event", began_after},
                       {"last_event", run->progress().last_event},
                       {"why", run->why()}});
  Tell(ItemRunEnded{key.first, key.second, end, run->progress()});
  Wake();
}

}  // namespace cowslip
