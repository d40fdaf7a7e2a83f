#include "Gateway/job_acceptance.h"

#include <algorithm>
#include <set>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "Base/event_log.h"
#include "Base/heap_bytes.h"
#include "Fleet/fleet_configuration.h"
#include "Gateway/dispatcher.h"
#include "Gateway/job_runner.h"
#include "Gateway/problem_response.h"
#include "Gateway/shutdown_notice.h"
#include "Jobs/job_documents.h"
#include "Net/sleep_for.h"

namespace cowslip {

namespace {

using boost::asio::awaitable;

// The interval between two steps towards a decision.
constexpr Duration kStepInterval = std::chrono::milliseconds(100);
// Retry-After of submissions that could not be decided on.
constexpr Duration kRetryAfter = std::chrono::milliseconds(300);
// Retry-After while this process has too much to do: other processes may have
// less.
constexpr Duration kOverloadedRetryAfter = std::chrono::seconds(1);
// The time in which a change at the store normally reaches its watches, and how
// often its arrival is checked. After that time the jobs are listed.
constexpr Duration kWatchDelay = std::chrono::milliseconds(100);
constexpr Duration kViewCheckInterval = std::chrono::milliseconds(4);
// How long an offer whose record may still appear is kept.
constexpr Duration kSettleTime = std::chrono::seconds(20);
// The interval between two samples of the unfinished work.
constexpr Duration kSampleInterval = std::chrono::milliseconds(500);

HttpResponse AcceptedResponse() {
  return HttpResponse{.status = 202};
}

HttpResponse NotAcceptedResponse(const JobSubmission& submission) {
  if (submission.in_doubt) {
    return ProblemResponse(JobMayBeAcceptedProblem());
  }
  return ProblemResponse(
      Problem{.kind = ProblemKind::kNotReady,
              .detail = "The job was not accepted: " + submission.why.message,
              .not_run = true,
              .retry_after = kRetryAfter});
}

bool IsPermanent(const Error& error) {
  return error.kind() == ErrorKind::kTooLarge ||
         error.kind() == ErrorKind::kInvalidArgument;
}

HttpResponse TooLargeResponse(const Error& error) {
  return ProblemResponse(Problem{.kind = ProblemKind::kBodyTooLarge,
                                 .detail = error.message,
                                 .not_run = true});
}

uint64_t TokensOf(const JobRecord& record) {
  uint64_t tokens = 0;
  for (size_t i = 0; i < record.definition.items.size(); ++i) {
    tokens += record.TokensOf(i);
  }
  return tokens;
}

}  // namespace

JobAcceptance::JobAcceptance(GatewayContext& gateway,
                             DocumentStore& store,
                             JobScheduler& scheduler,
                             JobRunner& runner)
    : m_gateway(gateway),
      m_store(store),
      m_scheduler(scheduler),
      m_job_runner(runner) {}

MonotonicTime JobAcceptance::Limit(const JobSubmission& submission) const {
  return m_gateway.shutdown_notice.LimitNow(submission.give_up);
}

awaitable<std::optional<HttpResponse>> JobAcceptance::RejectUnread(
    const FleetRoute& route,
    OrganisationId organisation,
    JobId id,
    JobKey job) {
  if (m_scheduler.Find(job) != nullptr || route.split.empty()) {
    co_return std::nullopt;
  }
  std::optional<Problem> problem = CheckHomeRegions(route.id, organisation);
  if (!problem.has_value()) {
    problem = CheckProcessLoad();
  }
  if (!problem.has_value()) {
    const WallTime now = WallNow();
    const auto after = [now](Duration duration) {
      return now + std::chrono::milliseconds(ToMillis(duration));
    };
    JobDefinition definition{.id = std::move(id),
                             .organisation = std::move(organisation),
                             .route = route.id,
                             .submitted = now,
                             .due = after(route.completion_target),
                             .give_up = after(route.retention)};
    problem = CheckDeadline(definition, 1);
  }
  if (!problem.has_value()) {
    co_return std::nullopt;
  }
  co_return co_await RejectUnlessKnown(std::move(*problem), std::move(job));
}

awaitable<HttpResponse> JobAcceptance::Accept(JobSubmission submitted) {
  const auto submission = std::make_shared<JobSubmission>(std::move(submitted));
  JobDefinition& definition = submission->record.definition;
  JobStatus owner;
  m_scheduler.SetOwner(owner);
  definition.accepted_by = owner.owner;
  definition.accepted_incarnation = owner.incarnation;
  definition.offered = submission->max_waiting_tokens > 0;
  submission->inputs = EncodeInputs(submission->items);
  definition.input_segments = static_cast<uint32_t>(submission->inputs.size());
  while (true) {
    const JobRecord* known = m_scheduler.Find(submission->record.key);
    Step step;
    if (known != nullptr) {
      JobRecord copy = *known;
      step = co_await AcceptKnown(submission, std::move(copy));
    } else {
      step = co_await AcceptNew(submission);
    }
    if (step.has_value()) {
      co_return std::move(*step);
    }
    if (MonotonicClock::now() + kStepInterval >= Limit(*submission)) {
      break;
    }
    co_await SleepFor(kStepInterval);
  }
  if (submission->offering) {
    boost::asio::co_spawn(
        m_gateway.io, [this, submission] { return SettleOffer(submission); },
        boost::asio::detached);
  }
  co_return NotAcceptedResponse(*submission);
}

awaitable<JobAcceptance::Step> JobAcceptance::AcceptNew(Submission submission) {
  // Once something was written, the job may be accepted already.
  if (!submission->in_doubt) {
    std::optional<Problem> problem = CheckBeforeWrite(*submission);
    if (problem.has_value()) {
      co_return co_await RejectUnlessKnown(std::move(*problem),
                                           submission->record.key);
    }
  }
  if (submission->record.definition.offered) {
    co_return co_await Offer(submission);
  }
  const Result<void> kept = co_await StoreInputs(submission);
  Result<JobRecord> stored = Error();
  if (kept.has_value()) {
    stored = co_await StoreJob(submission);
  } else {
    stored = kept.error();
  }
  if (!stored.has_value()) {
    submission->why = stored.error();
    submission->in_doubt |= stored.error().kind() == ErrorKind::kInDoubt;
    co_return IsPermanent(stored.error())
        ? Step(TooLargeResponse(stored.error()))
        : Step();
  }
  if (m_scheduler.Owns(stored.value())) {
    m_job_runner.AddAcceptedJob(stored.value(), std::move(submission->items));
    co_return AcceptedResponse();
  }
  JobRecord record = std::move(stored.value());
  co_return co_await AcceptKnown(submission, std::move(record));
}

awaitable<JobAcceptance::Step> JobAcceptance::AcceptKnown(Submission submission,
                                                          JobRecord known) {
  if (known.definition.digest != submission->record.definition.digest) {
    EndOffer(*submission);
    co_return ProblemResponse(
        Problem{.kind = ProblemKind::kAlreadyClaimed,
                .detail = "Another job has this id. Submit with a new one."});
  }
  if (known.IsAccepted()) {
    EndOffer(*submission);
    co_return AcceptedResponse();
  }
  if (submission->offering && m_scheduler.Owns(known)) {
    co_return co_await DecideOffer(submission, std::move(known));
  }
  if (m_scheduler.IsOffered(known.key) && !submission->offering) {
    // Another submission of the job is about to be decided on here.
    submission->in_doubt = true;
    co_return std::nullopt;
  }
  EndOffer(*submission);
  if (m_scheduler.Owns(known) && m_scheduler.IsOpen(known.key)) {
    co_return AcceptedResponse();
  }
  co_return co_await ConfirmOffer(submission, std::move(known));
}

std::optional<Problem> JobAcceptance::CheckProcessLoad() const {
  if (m_process_load.HasTimeLeft() && m_process_load.HasMemoryLeft()) {
    return std::nullopt;
  }
  return Problem{.kind = ProblemKind::kOverloaded,
                 .detail =
                     "This VM has too much to do. Submit the job to "
                     "another one, or later.",
                 .not_run = true,
                 .retry_after = kOverloadedRetryAfter};
}

std::optional<Problem> JobAcceptance::CheckHomeRegions(
    const RouteId& route,
    const OrganisationId& organisation) const {
  const auto configuration = m_gateway.configuration;
  if (configuration == nullptr ||
      configuration->HomeRegionsFor(route, organisation)
          .Allows(m_gateway.region)) {
    return std::nullopt;
  }
  return Problem{.kind = ProblemKind::kNoBackend,
                 .detail =
                     "This VM is in no home region of the job. Submit the job "
                     "to a VM in one of them.",
                 .not_run = true,
                 .retry_after = kOverloadedRetryAfter};
}

std::optional<Problem> JobAcceptance::CheckBeforeWrite(
    JobSubmission& submission) {
  JobRecord& record = submission.record;
  std::optional<Problem> problem =
      CheckHomeRegions(record.definition.route, record.definition.organisation);
  if (!problem.has_value()) {
    problem = CheckProcessLoad();
  }
  // An outdated view would reject jobs that fit.
  if (!problem.has_value() && m_gateway.jobs_are_current) {
    problem = CheckWaitingTokens(submission, record, false);
  }
  if (!problem.has_value()) {
    const auto items = static_cast<uint32_t>(record.definition.items.size());
    problem = CheckDeadline(record.definition, items);
  }
  return problem;
}

std::optional<Problem> JobAcceptance::CheckDeadline(JobDefinition& definition,
                                                    uint32_t items) {
  std::vector<ServiceId> services;
  for (ServicePart& part :
       m_job_runner.ServicesOf(definition.route, definition.organisation)) {
    services.push_back(std::move(part.service));
  }
  std::vector<JobWork> work = UnfinishedWork();
  const auto configuration = m_gateway.configuration;
  std::map<RouteId, bool> serves;
  std::erase_if(work, [&](const JobWork& other) {
    const auto [found, is_new] = serves.try_emplace(other.route, false);
    if (is_new && configuration != nullptr) {
      const FleetRoute* route = configuration->FindRoute(other.route);
      found->second =
          route != nullptr && std::any_of(services.begin(), services.end(),
                                          [&](const ServiceId& service) {
                                            return route->SplitsTo(service);
                                          });
    }
    return !found->second;
  });
  const JobDeadlineAction action = m_deadlines.Handle(
      JobDeadlineRequested{
          .services = std::move(services),
          .organisation = definition.organisation,
          .items = items,
          .time_to_due = definition.due - definition.submitted,
          .time_left = definition.give_up - definition.submitted,
          .item_time = m_scheduler.item_time(),
          .item_span = m_scheduler.item_span(),
          .now = WallNow(),
          .work = std::move(work)},
      MonotonicClock::now());
  if (const auto* fits = std::get_if<JobFits>(&action)) {
    definition.spare_slots_only = !fits->in_time;
    return std::nullopt;
  }
  const auto& full = std::get<JobDoesNotFit>(action);
  m_gateway.log.Write("job_does_not_fit",
                      {{"job", definition.id.value()},
                       {"organisation", definition.organisation.value()},
                       {"items", items},
                       {"items_ahead", full.items_ahead},
                       {"room", full.room},
                       {"retry_after_ms", ToMillis(full.retry_after)}});
  return Problem{.kind = ProblemKind::kOverloaded,
                 .detail =
                     "The jobs before this one take longer than its "
                     "results are kept waiting for. Submit it after the "
                     "time in Retry-After.",
                 .not_run = true,
                 .retry_after = full.retry_after};
}

std::optional<Problem> JobAcceptance::CheckWaitingTokens(
    const JobSubmission& submission,
    const JobRecord& record,
    bool allow_former_limits) {
  const JobDefinition& definition = record.definition;
  const uint64_t tokens = TokensOf(record);
  const MonotonicTime now = MonotonicClock::now();
  const Duration age =
      std::max<Duration>(WallNow() - definition.submitted, Duration::zero());
  const MonotonicTime lowered = m_waiting_tokens.LoweredAt(definition.route);
  // Once the job has its place in the order of creation, an offer that the view
  // up to there does not show comes later.
  const bool has_place = record.created != ObjectVersion();
  const WaitingTokenAction action = m_waiting_tokens.Handle(
      WaitingTokensRequested{
          .job = record.key,
          .organisation = definition.organisation,
          .route = definition.route,
          .tokens = tokens,
          .created = record.created,
          .limits_since = allow_former_limits ? now - age : now,
          .count_later_jobs =
              !allow_former_limits && lowered >= submission.arrived,
          .work = has_place ? m_scheduler.UnfinishedWork() : UnfinishedWork()},
      now);
  const auto* exceeded = std::get_if<WaitingTokensExceeded>(&action);
  if (exceeded == nullptr) {
    return std::nullopt;
  }
  const auto configuration = m_gateway.configuration;
  m_gateway.log.Write(
      "job_over_limit",
      {{"job", record.key.value()},
       {"organisation", definition.organisation.value()},
       {"route", definition.route.value()},
       {"tokens", tokens},
       {"waiting", exceeded->waiting},
       {"limit", exceeded->limit},
       {"configuration",
        configuration == nullptr ? 0 : configuration->version().value()},
       {"retry_after_ms", ToMillis(exceeded->retry_after)}});
  const std::string limit = std::to_string(exceeded->limit);
  return Problem{
      .kind = ProblemKind::kRateLimited,
      .detail = exceeded->retry_after > Duration::zero()
                    ? "Of the organisation's tokens, " +
                          std::to_string(exceeded->waiting) +
                          " wait already, and at most " + limit +
                          " may. Submit the job after the time in Retry-After."
                    : "The job has more tokens than may wait at once: " +
                          limit + ". Split it.",
      .not_run = true,
      .retry_after = exceeded->retry_after};
}

awaitable<JobAcceptance::Step> JobAcceptance::RejectUnlessKnown(Problem problem,
                                                                JobKey job) {
  const DocumentKind kind(kJobKind);
  const DocumentName name = JobName(job);
  const Result<Document> found = co_await m_store.Get(kind, name);
  if (found.has_value()) {
    m_job_runner.HandleJobDocument(found.value(), "read");
    co_return std::nullopt;
  }
  // A store that can't be asked does not change what is known here.
  co_return ProblemResponse(problem);
}

awaitable<JobAcceptance::Step> JobAcceptance::Offer(Submission submission) {
  const JobRecord& record = submission->record;
  submission->offering = true;
  m_job_runner.HandleEvent(JobOffered{record.key});
  m_offers[record.key] = {
      .job = record.key,
      .organisation = record.definition.organisation,
      .route = record.definition.route,
      .due = record.definition.due,
      .spare_slots_only = record.definition.spare_slots_only,
      .owner = record.definition.accepted_by,
      .items = static_cast<uint32_t>(record.definition.items.size()),
      .tokens = TokensOf(record)};
  Result<JobRecord> stored = co_await StoreJob(submission);
  if (!stored.has_value()) {
    const Error& error = stored.error();
    submission->why = error;
    submission->in_doubt |= error.kind() == ErrorKind::kInDoubt;
    if (!submission->in_doubt) {
      EndOffer(*submission);
    }
    co_return IsPermanent(error) ? Step(TooLargeResponse(error)) : Step();
  }
  submission->in_doubt = true;
  JobRecord known = std::move(stored.value());
  m_job_runner.HandleEvent(JobUpdated{known});
  co_return co_await AcceptKnown(submission, std::move(known));
}

awaitable<JobAcceptance::Step> JobAcceptance::DecideOffer(Submission submission,
                                                          JobRecord record) {
  const bool is_known =
      co_await WaitForView(record.version, Limit(*submission));
  const JobRecord* newest = m_scheduler.Find(record.key);
  if (!is_known || newest == nullptr || newest->version != record.version) {
    submission->why =
        Error(ErrorKind::kUnavailable, "the other jobs could not be read");
    co_return std::nullopt;
  }
  std::optional<Problem> problem =
      CheckWaitingTokens(*submission, record, false);
  if (problem.has_value()) {
    co_return co_await WithdrawOffer(submission, std::move(record),
                                     std::move(*problem));
  }
  const Result<void> kept = co_await StoreInputs(submission);
  if (kept.has_value() &&
      m_job_runner.offer_records().MayBeRemoved(record.key, record.version)) {
    co_return co_await AcceptDespiteRemoval(submission, std::move(record));
  }
  if (kept.has_value() &&
      WallNow() - record.definition.submitted >= kOfferTime) {
    // Another process may have removed the offer meanwhile.
    EndOffer(*submission);
    co_await ReadRecord(record.key);
    co_return std::nullopt;
  }
  if (kept.has_value()) {
    co_return AcceptOffer(*submission, record);
  }
  submission->why = kept.error();
  if (IsPermanent(kept.error())) {
    Problem too_large{.kind = ProblemKind::kBodyTooLarge,
                      .detail = kept.error().message,
                      .not_run = true};
    co_return co_await WithdrawOffer(submission, std::move(record),
                                     std::move(too_large));
  }
  co_return std::nullopt;
}

HttpResponse JobAcceptance::AcceptOffer(JobSubmission& submission,
                                        const JobRecord& record) {
  m_offers.erase(record.key);
  submission.offering = false;
  m_job_runner.AcceptOfferedJob(record, std::move(submission.items));
  return AcceptedResponse();
}

awaitable<JobAcceptance::Step> JobAcceptance::AcceptDespiteRemoval(
    Submission submission,
    JobRecord record) {
  const JobKey job = record.key;
  const Result<Document> written =
      co_await m_job_runner.offer_records().MarkAccepted(std::move(record));
  m_gateway.log.Write(
      "job_fits_after_removal",
      {{"job", job.value()},
       {"accepted", written.has_value()},
       {"why", written.has_value() ? "" : written.error().message}});
  const std::optional<JobRecord> accepted =
      written.has_value() ? DecodeJob(written.value()) : std::nullopt;
  if (accepted.has_value()) {
    co_return AcceptOffer(*submission, *accepted);
  }
  if (!written.has_value()) {
    submission->why = written.error();
  }
  co_await ReadRecord(job);
  co_return std::nullopt;
}

awaitable<JobAcceptance::Step> JobAcceptance::WithdrawOffer(
    Submission submission,
    JobRecord record,
    Problem problem) {
  const JobKey job = record.key;
  const ObjectVersion version = record.version;
  const Result<void> removed =
      co_await m_job_runner.offer_records().Remove(job, version);
  if (removed.has_value()) {
    m_job_runner.RemoveJob(record.key);
    EndOffer(*submission);
    co_return ProblemResponse(problem);
  }
  submission->why = removed.error();
  if (removed.error().kind() == ErrorKind::kConflict) {
    co_await ReadRecord(record.key);
  }
  co_return std::nullopt;
}

void JobAcceptance::EndOffer(JobSubmission& submission) {
  if (std::exchange(submission.offering, false)) {
    m_offers.erase(submission.record.key);
    m_job_runner.HandleEvent(JobOfferEnded{submission.record.key});
  }
}

awaitable<void> JobAcceptance::SettleOffer(Submission submission) {
  const MonotonicTime end = MonotonicClock::now() + kSettleTime;
  submission->give_up = end;
  while (submission->offering && MonotonicClock::now() < end) {
    co_await SleepFor(kStepInterval);
    const JobRecord* known = m_scheduler.Find(submission->record.key);
    if (known != nullptr) {
      JobRecord copy = *known;
      (void)co_await AcceptKnown(submission, std::move(copy));
    }
  }
  EndOffer(*submission);
}

awaitable<JobAcceptance::Step> JobAcceptance::ConfirmOffer(
    Submission submission,
    JobRecord known) {
  submission->in_doubt = true;
  if (CheckHomeRegions(known.definition.route, known.definition.organisation)
          .has_value()) {
    // The process that offered the job, or another one in its home regions,
    // decides.
    co_return std::nullopt;
  }
  const bool is_known = co_await WaitForView(known.version, Limit(*submission));
  if (!is_known) {
    co_return std::nullopt;
  }
  if (CheckWaitingTokens(*submission, known, true).has_value()) {
    // Only the process that offered the job may withdraw it.
    co_return std::nullopt;
  }
  const Result<void> kept = co_await StoreInputs(submission);
  if (!kept.has_value()) {
    co_return std::nullopt;
  }
  JobRecord confirmed = known;
  const Result<Document> written =
      co_await m_job_runner.offer_records().MarkAccepted(std::move(confirmed));
  if (written.has_value()) {
    m_job_runner.HandleJobDocument(written.value(), "write");
    co_return AcceptedResponse();
  }
  co_await ReadRecord(known.key);
  co_return std::nullopt;
}

awaitable<void> JobAcceptance::ReadRecord(JobKey job) {
  const DocumentKind kind(kJobKind);
  const DocumentName name = JobName(job);
  const Result<Document> document = co_await m_store.Get(kind, name);
  if (document.has_value()) {
    m_job_runner.HandleJobDocument(document.value(), "read");
  } else if (document.error().kind() == ErrorKind::kNotFound) {
    m_job_runner.RemoveJob(job);
  }
}

awaitable<bool> JobAcceptance::WaitForView(ObjectVersion version,
                                           MonotonicTime until) {
  const MonotonicTime refresh_at = MonotonicClock::now() + kWatchDelay;
  bool refreshed = false;
  while (m_gateway.jobs_as_of() < version) {
    const MonotonicTime now = MonotonicClock::now();
    if (now >= until) {
      co_return false;
    }
    if (!refreshed && now >= refresh_at) {
      refreshed = true;
      m_gateway.refresh_jobs();
    }
    co_await SleepFor(kViewCheckInterval);
  }
  co_return true;
}

awaitable<Result<void>> JobAcceptance::StoreInputs(Submission submission) {
  const JobRecord& record = submission->record;
  const DocumentKind kind(kInputKind);
  uint32_t segment = 0;
  for (nlohmann::json content : submission->inputs) {
    const DocumentName name =
        InputName(record.key, record.definition.digest, segment);
    const Result<Document> created =
        co_await m_store.Create(kind, name, std::move(content));
    // The name contains the digest of the submission, so an existing document
    // has the same content.
    if (!created.has_value() &&
        created.error().kind() != ErrorKind::kConflict) {
      // Items without the job's record have no effect, so a write in doubt is
      // reported as not accepted.
      co_return Error(created.error().kind() == ErrorKind::kInDoubt
                          ? ErrorKind::kUnavailable
                          : created.error().kind(),
                      created.error().message);
    }
    ++segment;
  }
  co_return Ok();
}

awaitable<Result<JobRecord>> JobAcceptance::StoreJob(Submission submission) {
  const JobRecord& record = submission->record;
  const DocumentKind kind(kJobKind);
  const DocumentName name = JobName(record.key);
  nlohmann::json content = EncodeDefinition(record.definition);
  Result<Document> stored =
      co_await m_store.Create(kind, name, std::move(content));
  if (stored.has_value() && stored.value().created != stored.value().version) {
    // The store's order of creation is not known.
    stored.value().created = ObjectVersion();
  }
  if (!stored.has_value() && stored.error().kind() == ErrorKind::kConflict) {
    stored = co_await m_store.Get(kind, name);
  }
  if (!stored.has_value()) {
    co_return stored.error();
  }
  std::optional<JobRecord> decoded = DecodeJob(stored.value());
  if (!decoded.has_value()) {
    co_return Error(
        ErrorKind::kUnavailable,
        "Another version's job has this id. Submit with a new one.");
  }
  co_return std::move(*decoded);
}

std::vector<JobWork> JobAcceptance::UnfinishedWork() const {
  std::vector<JobWork> work = m_scheduler.UnfinishedWork();
  for (const auto& [job, offer] : m_offers) {
    if (m_scheduler.Find(job) == nullptr) {
      work.push_back(offer);
    }
  }
  return work;
}

void JobAcceptance::ApplyLimits(const FleetConfiguration& configuration) {
  WaitingTokenLimitsChanged changed;
  for (const FleetRoute& route : configuration.routes()) {
    if (route.kind == RequestKind::kBatch) {
      changed.limits.push_back(
          {route.id, route.max_waiting_tokens.value_or(0)});
    }
  }
  m_waiting_tokens.Handle(changed, MonotonicClock::now());
}

void JobAcceptance::Tick(Duration lag, uint64_t memory_limit) {
  m_process_load.RecordLag(lag);
  m_gateway.has_time_left = m_process_load.HasTimeLeft();
  const MonotonicTime now = MonotonicClock::now();
  const bool sample_is_due = now - m_sampled_at >= kSampleInterval;
  if (sample_is_due) {
    m_sampled_at = now;
    m_process_load.RecordMemory(HeapBytes(), memory_limit);
  }
  const auto configuration = m_gateway.configuration;
  if (configuration == nullptr) {
    return;
  }
  bool has_limit = false;
  std::set<ServiceId> services;
  for (const FleetRoute& route : configuration->routes()) {
    if (route.kind != RequestKind::kBatch || route.split.empty()) {
      continue;
    }
    has_limit |= route.max_waiting_tokens.value_or(0) > 0;
    for (const TrafficShare& share : route.split) {
      services.insert(share.service);
    }
  }
  const PlacementCore& placement = m_gateway.dispatcher.placement_core();
  for (const ServiceId& service : services) {
    m_deadlines.Handle(
        BatchSlotsSampled{
            .service = service,
            .slots = placement.BatchSlots(service, now),
            .all_slots = placement.Load({.service = service}, now).slots},
        now);
  }
  if (has_limit && sample_is_due) {
    m_waiting_tokens.Handle(WaitingWorkSampled{UnfinishedWork()}, now);
  }
}

std::map<RouteId, uint64_t> JobAcceptance::MaxWaitingTokens() const {
  std::map<std::pair<RouteId, OrganisationId>, uint64_t> waiting;
  for (const JobWork& work : UnfinishedWork()) {
    waiting[{work.route, work.organisation}] += work.tokens;
  }
  std::map<RouteId, uint64_t> highest;
  for (const auto& [owner, tokens] : waiting) {
    uint64_t& most = highest[owner.first];
    most = std::max(most, tokens);
  }
  return highest;
}

}  // namespace cowslip
