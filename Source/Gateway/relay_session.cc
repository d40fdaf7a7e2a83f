#include "Gateway/relay_session.h"

#include <algorithm>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "Base/event_log.h"
#include "Gateway/backend_attempt.h"
#include "Gateway/dispatcher.h"
#include "Gateway/gateway_metrics.h"
#include "Gateway/problem_response.h"
#include "Gateway/prompt_trial.h"
#include "Gateway/response_classification.h"
#include "Gateway/shutdown_notice.h"
#include "Gateway/stream_end.h"
#include "Gateway/stream_move.h"
#include "Gateway/stream_origin_directory.h"
#include "Gateway/version_history.h"
#include "Net/http_exchange.h"
#include "Placement/aborted_run_tracker.h"
#include "Placement/route_history.h"
#include "platform/request_headers.h"

namespace cowslip {

namespace {

using boost::asio::awaitable;

// How many attempts may end without a run of the request before the next such
// attempt ends it: each takes a round trip out of the latency target.
constexpr uint32_t kMaxNotRunAttempts = 3;

// The largest body of an unsuccessful response that is passed on.
constexpr size_t kMaxFailureBytes = 1 << 20;

constexpr char kShutdownReason[] = "this gateway shuts down";

MonotonicTime DeadlineOf(const RelayRequest& request) {
  Duration time = request.route->timeout;
  if (request.caller.deadline.has_value()) {
    time = std::min(time, *request.caller.deadline);
  }
  return request.arrived + time;
}

}  // namespace

RelaySession::RelaySession(GatewayContext& gateway,
                           HttpExchange& exchange,
                           RelayRequest request)
    : m_gateway(gateway),
      m_exchange(exchange),
      m_request(std::move(request)),
      m_deadline(DeadlineOf(m_request)),
      m_deadline_timer(gateway.io),
      m_memory(gateway.memory),
      m_last_event_id(m_request.caller.last_event) {}

RelaySession::~RelaySession() = default;

Duration RelaySession::RemainingTime() const {
  return m_gateway.shutdown_notice.Limit(m_deadline) - MonotonicClock::now();
}

PeerCheck RelaySession::NeededCheck() const {
  const bool depends_on_version =
      m_request.route->kind == RequestKind::kStreaming &&
      (m_request.route->resumable || m_stream_version.has_value());
  return depends_on_version ? PeerCheck::kNeeded : PeerCheck::kNotNeeded;
}

// The end of this process does not shorten the time that the caller has.
Duration RelaySession::RetryDelay() const {
  return m_gateway.dispatcher.admission_core().RetryDelay(
      std::max<Duration>(m_deadline - MonotonicClock::now(), Duration::zero()));
}

void RelaySession::Stop() {
  *m_stopped = true;
  *m_wait_cancelled = true;
  if (m_attempt != nullptr) {
    m_attempt->Abort();
  }
}

void RelaySession::WatchCallerAndDeadline() {
  m_exchange.OnClientDisconnected([this] {
    m_caller_disconnected = true;
    Stop();
  });
  m_deadline_timer.expires_after(std::max(RemainingTime(), Duration::zero()));
  m_deadline_timer.async_wait(
      [this, stopped = m_stopped](const boost::system::error_code& error) {
        if (!error && !*stopped) {
          Stop();
        }
      });
}

bool RelaySession::MayRetry() const {
  // A response that the caller has in part can only be resumed, not restarted.
  if (m_head_sent && !m_can_resume) {
    return false;
  }
  return m_request.route->idempotent() &&
         m_in_doubt_attempts <
             std::max<uint32_t>(m_request.route->max_attempts, 1);
}

awaitable<bool> RelaySession::ResolveStreamVersion() {
  const bool resumes = m_request.route->kind == RequestKind::kStreaming &&
                       m_request.caller.last_event > 0;
  if (!resumes) {
    co_return true;
  }
  if (!m_request.caller.resumes.empty()) {
    const AttemptId attempt = m_request.caller.resumes;
    const std::optional<StreamOrigin> origin =
        co_await m_gateway.stream_origins.Find(attempt);
    if (origin.has_value()) {
      m_stream_version = origin->version;
      m_request.service = origin->service;
      co_return m_request.route->SplitsTo(origin->service);
    }
  }
  if (!m_request.route->SplitsOnlyTo(m_request.service)) {
    co_return false;
  }
  const ServiceId service = m_request.service;
  const VersionHistoryCore::Verdict verdict =
      co_await m_gateway.version_history.Judge(service);
  // A newer configuration may have been read meanwhile.
  const bool is_sole =
      verdict.knowledge == VersionHistoryCore::Knowledge::kSoleVersion &&
      m_gateway.route_history.LedOnlyTo(m_request.route->id, service,
                                        MonotonicClock::now());
  if (is_sole) {
    m_stream_version = *verdict.versions.begin();
  }
  m_gateway.log.Write(
      "stream_origin_unknown",
      {{"id", m_request.caller.attempt.value()},
       {"resumes", m_request.caller.resumes.value()},
       {"service", service.value()},
       {"goes_on", is_sole},
       {"versions", verdict.versions},
       {"watched_ms", ToMillis(verdict.watched)},
       {"view_age_ms",
        verdict.view_age.has_value() ? ToMillis(*verdict.view_age) : -1}});
  co_return is_sole;
}

awaitable<void> RelaySession::Run() {
  WatchCallerAndDeadline();
  const auto registration = m_gateway.shutdown_notice.Register(
      {.late = [this] { *m_wait_cancelled |= IsTooLateToBegin(); },
       .expired =
           [this] {
             m_last_failure = kShutdownReason;
             Stop();
           }});
  const bool resolved = co_await ResolveStreamVersion();
  if (!resolved && !*m_stopped) {
    m_last_failure = "the version that began the stream is not known";
    Problem problem{
        .kind = ProblemKind::kNoBackend,
        .detail =
            "The stream can't go on, because the version of the backend "
            "server that began it is not known, or the route no longer "
            "leads to its service. Start the stream again from its beginning.",
        .not_run = true};
    co_await RespondWithProblem(std::move(problem));
    co_return;
  }
  while (!*m_stopped) {
    if (RemainingTime() <= Duration::zero()) {
      m_last_failure = "its time is up";
      Stop();
      break;
    }
    m_trial.reset();
    if (!MaySendRequest() || !MaySendPrompt()) {
      break;
    }
    if (IsTooLateToBegin()) {
      co_await RejectLateRequest();
      co_return;
    }
    OnlinePlacementRequest placement{
        .service = m_request.service,
        .shared_prompt = m_request.caller.shared_prompt,
        .exclude = m_tried_backends,
        .version = m_stream_version,
        .priority = m_request.priority,
        .latency_target = m_request.route->target_latency,
        .remaining = RemainingTime(),
        .home_regions = m_request.home_regions};
    *m_wait_cancelled = false;
    PlacementResult placed = co_await m_gateway.dispatcher.PlaceOnline(
        std::move(placement), m_wait_cancelled);
    if (*m_stopped) {
      break;
    }
    if (const auto* refused = std::get_if<PlacementRefused>(&placed)) {
      m_last_failure = *m_wait_cancelled ? kShutdownReason : refused->reason;
      m_gateway.log.Write("placement_refused",
                          {{"id", m_request.caller.attempt.value()},
                           {"reason", m_last_failure},
                           {"backends", refused->load.backends},
                           {"slots", refused->load.slots},
                           {"online", refused->load.online},
                           {"batch", refused->load.batch},
                           {"waiting", m_gateway.dispatcher.waiting_count()}});
      if (ReadmitSilentBackend()) {
        continue;
      }
      if (m_in_doubt_attempts > 0) {
        break;
      }
      Problem problem{.kind = refused->load.backends == 0
                                  ? ProblemKind::kNoBackend
                                  : ProblemKind::kOverloaded,
                      .detail = "Come back after the time in Retry-After: " +
                                m_last_failure + ".",
                      .not_run = true,
                      .retry_after = refused->retry_after > Duration::zero()
                                         ? refused->retry_after
                                         : RetryDelay()};
      co_await RespondWithProblem(std::move(problem));
      co_return;
    }
    auto lease = std::move(std::get<std::unique_ptr<AttemptLease>>(placed));
    if (IsTooLateToBegin()) {
      lease.reset();
      co_await RejectLateRequest();
      co_return;
    }
    // Backend servers may have crashed while the request waited.
    if (m_trial == nullptr && !MaySendPrompt()) {
      break;
    }
    const bool may_send = co_await BeginTrial();
    if (!may_send || *m_stopped) {
      break;
    }
    const AttemptResult result = co_await RunAttempts(std::move(lease));
    if (m_trial != nullptr && result != AttemptResult::kNotRun) {
      m_trial->MarkRun();
    }
    m_trial.reset();
    if (result == AttemptResult::kCompleted) {
      m_deadline_timer.cancel();
      *m_stopped = true;
      co_return;
    }
    const bool may_retry = result == AttemptResult::kNotRun
                               ? m_not_run_attempts <= kMaxNotRunAttempts
                               : MayRetry();
    if (!may_retry) {
      break;
    }
  }
  co_await FinishWithFailure();
}

bool RelaySession::IsTooLateToBegin() const {
  const bool may_have_run = m_in_doubt_attempts > 0 || m_head_sent;
  return !may_have_run &&
         m_gateway.shutdown_notice.IsTooLate(m_deadline, MonotonicClock::now());
}

// Other VMs can serve the request at once, so there is no Retry-After.
awaitable<void> RelaySession::RejectLateRequest() {
  m_last_failure = kShutdownReason;
  Problem problem{.kind = ProblemKind::kNotReady,
                  .detail =
                      "This VM shuts down before the request could be "
                      "completed. Send it to another one.",
                  .not_run = true};
  co_await RespondWithProblem(std::move(problem));
}

// Ends a request for which no complete response comes from a backend server.
awaitable<void> RelaySession::FinishWithFailure() {
  m_deadline_timer.cancel();
  const bool timed_out = *m_stopped && !m_caller_disconnected;
  *m_stopped = true;
  if (m_caller_disconnected) {
    LogRequestEnd("caller_left", 0);
    m_exchange.Abort();
    co_return;
  }
  if (m_head_sent) {
    LogRequestEnd(timed_out ? "timed_out_in_stream" : "broken_in_stream", 0);
    m_exchange.Abort();
    co_return;
  }
  if (m_in_doubt_attempts == 0 &&
      (m_blocked_prompt.has_value() || m_blocked_for.has_value())) {
    Problem problem = BlockedProblem();
    co_await RespondWithProblem(std::move(problem));
    co_return;
  }
  if (m_in_doubt_attempts == 0) {
    const Duration retry_after = RetryDelay();
    Problem problem{.kind = ProblemKind::kOverloaded,
                    .detail = "The request has not run: " + m_last_failure +
                              ". Send it again.",
                    .not_run = true,
                    .retry_after = retry_after};
    co_await RespondWithProblem(std::move(problem));
    co_return;
  }
  Problem problem{
      .kind = timed_out ? ProblemKind::kDeadlinePassed
                        : ProblemKind::kBackendFailed,
      .detail =
          "The request may have run. Send it again only if it may run "
          "twice."};
  co_await RespondWithProblem(std::move(problem));
}

Problem RelaySession::BlockedProblem() const {
  Problem problem{.kind = ProblemKind::kHeldBack,
                  .detail =
                      "Backend servers broke off whenever they ran this "
                      "request. Change it, or come back after the time in "
                      "Retry-After.",
                  .not_run = true,
                  .retry_after = m_blocked_for.value_or(Duration::zero())};
  if (m_blocked_prompt.has_value()) {
    problem.detail =
        "Backend servers crashed whenever they ran requests with "
        "the prompt part " +
        m_blocked_prompt->part.value() +
        ". Change that part, or come back after the time in "
        "Retry-After.";
    problem.retry_after = m_blocked_prompt->retry_after;
  }
  return problem;
}

awaitable<void> RelaySession::RespondWithProblem(Problem problem) {
  m_deadline_timer.cancel();
  *m_stopped = true;
  if (m_head_sent) {
    LogRequestEnd("broken_in_stream", 0);
    m_exchange.Abort();
    co_return;
  }
  LogRequestEnd(NameOf(problem.kind), StatusOf(problem.kind));
  HttpResponse response = ProblemResponse(problem);
  (void)co_await m_exchange.Respond(std::move(response));
}

HttpRequest RelaySession::MakeBackendRequest(const BackendId& backend) const {
  const HttpRequest& caller = m_exchange.request();
  const BackendCall call{.organisation = m_request.organisation,
                         .backend = backend,
                         .deadline = RemainingTime(),
                         .last_event = m_last_event_id};
  return HttpRequest{
      .method = caller.method,
      .target = caller.target,
      .headers = platform::EncodeBackendHeaders(caller.headers, call),
      .body = caller.body};
}

RelaySession::AttemptResult RelaySession::EndAttemptInDoubt(
    const std::string& why) {
  if (*m_stopped) {
    return AttemptResult::kStopped;
  }
  AttemptLease& lease = m_attempt->lease();
  lease.SetOutcome(AttemptOutcome::kFailed);
  m_last_failure = why;
  m_gateway.metrics.CountAttempt("in_doubt");
  m_gateway.log.Write("attempt_in_doubt",
                      {{"id", m_request.caller.attempt.value()},
                       {"backend", lease.backend().value()},
                       {"version", lease.version().value()},
                       {"incarnation", lease.started_at_ms()},
                       {"why", why},
                       {"last_event", m_last_event_id},
                       {"attempts_in_doubt", m_in_doubt_attempts},
                       {"answer_began", m_attempt->response() != nullptr},
                       {"attempt_events", m_attempt_event_count},
                       {"prompt_parts", m_request.caller.shared_parts},
                       {"ends_with_connection", ResponseEndsWithConnection()},
                       {"partial_event_bytes", PartialEventBytes()}});
  return AttemptResult::kInDoubt;
}

RelaySession::AttemptResult RelaySession::HandleResponseError(
    const Error& error) {
  // A timeout has many causes. A connection that is closed during the run
  // usually means that the backend server crashed.
  if (!*m_stopped && error.kind() == ErrorKind::kInDoubt) {
    RecordBrokenRun(m_attempt->lease(), m_attempt_event_count);
  }
  return EndAttemptInDoubt(error.message);
}

RelaySession::AttemptResult RelaySession::EndAttemptNotRun(
    AttemptOutcome outcome,
    const std::string& why) {
  --m_in_doubt_attempts;
  ++m_not_run_attempts;
  if (std::exchange(m_is_request_trial, false)) {
    m_gateway.aborted_runs.Handle(TrialNotRun{RequestFingerprint()},
                                  MonotonicClock::now());
  }
  if (*m_stopped) {
    return AttemptResult::kStopped;
  }
  m_attempt->lease().SetOutcome(outcome);
  m_last_failure = why;
  LogAttemptNotRun(m_attempt->lease(), why);
  return AttemptResult::kNotRun;
}

void RelaySession::LogAttemptNotRun(const AttemptLease& lease,
                                    const std::string& why) {
  m_gateway.metrics.CountAttempt("not_run");
  m_gateway.log.Write("attempt_not_run",
                      {{"id", m_request.caller.attempt.value()},
                       {"backend", lease.backend().value()},
                       {"why", why}});
}

awaitable<RelaySession::AttemptResult> RelaySession::RunAttempts(
    std::unique_ptr<AttemptLease> lease) {
  m_attempt = std::make_shared<BackendAttempt>(m_gateway.io, std::move(lease),
                                               m_request.caller.attempt,
                                               NeededCheck(), m_gateway.memory);
  while (true) {
    WatchForSilence();
    const AttemptResult result = co_await RunAttempt();
    m_stall_watch.reset();
    const bool has_ended = result == AttemptResult::kCompleted ||
                           result == AttemptResult::kStopped;
    if (has_ended || m_move == nullptr) {
      m_move.reset();
      m_attempt.reset();
      co_return result;
    }
    if (std::exchange(m_left_silent_backend, false)) {
      m_silent_backend = m_attempt->lease().backend();
    }
    m_attempt = m_move->Take();
    m_move.reset();
  }
}

awaitable<RelaySession::AttemptResult> RelaySession::RunAttempt() {
  const AttemptLease& lease = m_attempt->lease();
  m_tried_backends.insert(lease.backend());
  m_last_backend = lease.backend();
  m_last_version = lease.version();
  m_last_incarnation = lease.started_at_ms();
  m_event_reader = SseReader();
  m_attempt_event_count = 0;
  m_stall_watch->BeginRead();
  Result<void> opened = Ok();
  if (m_attempt->is_opened_ahead()) {
    opened = co_await m_attempt->WaitUntilReady();
  } else {
    // Count the attempt as possibly run until it is known not to have run.
    ++m_in_doubt_attempts;
    HttpRequest request = MakeBackendRequest(lease.backend());
    const Duration timeout = RemainingTime();
    opened = co_await m_attempt->Open(std::move(request), timeout);
  }
  EndSilence(opened.has_value());
  if (m_left_silent_backend) {
    co_return EndAttemptInDoubt("the backend server was silent");
  }
  if (!opened.has_value()) {
    const Error& error = opened.error();
    if (error.kind() == ErrorKind::kInvalidArgument) {
      co_return EndAttemptNotRun(AttemptOutcome::kCancelled, error.message);
    }
    if (error.kind() == ErrorKind::kUnavailable) {
      RecordRefusedConnection(lease);
      co_return EndAttemptNotRun(lease.was_withheld()
                                     ? AttemptOutcome::kCancelled
                                     : AttemptOutcome::kFailed,
                                 error.message);
    }
    co_return HandleResponseError(error);
  }
  co_return co_await ReadResponse();
}

void RelaySession::RecordRefusedConnection(const AttemptLease& lease) {
  if (lease.was_withheld() || lease.was_unverified()) {
    return;
  }
  m_gateway.crash_suspects.Handle(
      BackendRefusedConnection{lease.backend(), lease.started_at_ms()},
      MonotonicClock::now());
}

ResponseKind RelaySession::RecordResponse(const BackendAttempt& attempt) {
  AttemptLease& lease = attempt.lease();
  const ResponseClassification classified =
      ClassifyResponse(*attempt.response(), m_request.caller.attempt);
  if (classified.is_leaving) {
    lease.MarkBackendLeaving();
  }
  if (classified.from_backend) {
    lease.RecordLimit(classified.limit);
    lease.RecordColdness(classified.cold_remaining);
  }
  if (classified.limit.has_value()) {
    m_gateway.log.Write("backend_limit_named",
                        {{"backend", lease.backend().value()},
                         {"per_second", classified.limit->per_second}});
  }
  return classified.kind;
}

awaitable<RelaySession::AttemptResult> RelaySession::ReadResponse() {
  switch (RecordResponse(*m_attempt)) {
    case ResponseKind::kOtherRequest:
      co_return EndAttemptInDoubt("the answer belongs to another request");
    case ResponseKind::kNotRun:
      co_return EndAttemptNotRun(
          AttemptOutcome::kFull,
          "the backend server turned the request away with status " +
              std::to_string(m_attempt->response()->status()));
    case ResponseKind::kUnverified:
      co_return EndAttemptInDoubt("the answer is not the backend server's");
    case ResponseKind::kFailure:
      co_return co_await RelayFailure();
    case ResponseKind::kSuccess:
      break;
  }
  // The silence has ended.
  DropMove();
  co_return co_await RelayBody();
}

awaitable<RelaySession::AttemptResult> RelaySession::RelayFailure() {
  const HttpResponseStream& failure = *m_attempt->response();
  const int status = failure.status();
  // After a server error, another backend server may succeed, if the request
  // may run again or another one has it already.
  const bool has_other = m_move != nullptr || MayRetry();
  if (m_head_sent || (status >= 500 && has_other)) {
    co_return EndAttemptInDoubt("the backend server answered status " +
                                std::to_string(status));
  }
  DropMove();
  HttpResponse response{
      .status = status,
      .headers = platform::EncodeCallerHeaders(failure.headers())};
  while (true) {
    const Duration timeout = RemainingTime();
    Result<std::optional<std::string>> chunk =
        co_await m_attempt->ReadSome(timeout);
    if (!chunk.has_value()) {
      co_return HandleResponseError(chunk.error());
    }
    if (!chunk.value().has_value()) {
      break;
    }
    response.body += *chunk.value();
    if (response.body.size() > kMaxFailureBytes ||
        !m_memory.Resize(response.body.size())) {
      co_return EndAttemptInDoubt("the backend server's failure is too long");
    }
  }
  const Result<void> complete =
      co_await ConfirmBodyEnd(failure, m_attempt->lease());
  if (!complete.has_value()) {
    co_return HandleResponseError(complete.error());
  }
  m_attempt->lease().SetOutcome(AttemptOutcome::kCompleted);
  LogRequestEnd("backend_failure", status);
  (void)co_await m_exchange.Respond(std::move(response));
  co_return AttemptResult::kCompleted;
}

awaitable<RelaySession::AttemptResult> RelaySession::RelayBody() {
  const HttpResponseStream& response = *m_attempt->response();
  while (true) {
    const Duration timeout = RemainingTime();
    m_stall_watch->BeginRead();
    Result<std::optional<std::string>> chunk =
        co_await m_attempt->ReadSome(timeout);
    EndSilence(chunk.has_value());
    if (m_left_silent_backend) {
      // Data that came as the attempt was aborted: the other run sends it, too.
      co_return EndAttemptInDoubt("the backend server was silent");
    }
    if (!chunk.has_value()) {
      co_return HandleResponseError(chunk.error());
    }
    if (!chunk.value().has_value()) {
      break;
    }
    DropMove();
    const std::string bytes = std::move(*chunk.value());
    const bool relayed = co_await RelayChunk(bytes);
    if (!relayed) {
      co_return EndAttemptInDoubt(
          "the events are out of order, not taken, or without room");
    }
  }
  // Two statements: GCC 12 destroys the temporaries of a conditional expression
  // with two awaits twice.
  Result<void> complete = Ok();
  if (m_request.route->kind == RequestKind::kStreaming) {
    complete =
        co_await ConfirmStreamEnd(response, m_event_reader, m_attempt->lease());
  } else {
    complete = co_await ConfirmBodyEnd(response, m_attempt->lease());
  }
  if (!complete.has_value()) {
    co_return HandleResponseError(complete.error());
  }
  if (!m_head_sent) {
    // A successful response without a body: only the head is left to send.
    m_head_sent = true;
    HttpHeaders headers = platform::EncodeCallerHeaders(response.headers());
    const int success = response.status();
    (void)co_await m_exchange.StartStream(success, std::move(headers));
  }
  const Result<void> finished = co_await m_exchange.FinishStream();
  if (!finished.has_value()) {
    m_caller_disconnected = true;
    Stop();
    co_return AttemptResult::kStopped;
  }
  RecordCompletion();
  co_return AttemptResult::kCompleted;
}

// Events must be numbered without gaps, and a resumed stream must begin right
// after the last event that the caller has.
bool RelaySession::AdvanceEventSequence(const std::vector<SseEvent>& events) {
  uint64_t last = m_last_event_id;
  for (const SseEvent& event : events) {
    if (!event.id.has_value()) {
      m_can_resume = false;
      continue;
    }
    if (last > 0 && *event.id != last + 1) {
      return false;
    }
    last = *event.id;
  }
  m_last_event_id = last;
  return true;
}

awaitable<bool> RelaySession::RelayChunk(const std::string& chunk) {
  RecordFirstByte();
  if (m_request.route->kind != RequestKind::kStreaming) {
    m_can_resume = false;
    co_return co_await WriteToCaller(chunk);
  }
  const Result<std::vector<SseEvent>> events = m_event_reader.FeedEvents(chunk);
  if (!events.has_value()) {
    co_return false;
  }
  std::string whole;
  for (const SseEvent& event : events.value()) {
    whole += event.raw;
  }
  // The sequence advances with what is written: another run resumes after it.
  const bool has_room = m_memory.Resize(PartialEventBytes() + whole.size());
  if (!has_room || !AdvanceEventSequence(events.value())) {
    co_return false;
  }
  CountEvents(events.value().size());
  if (whole.empty()) {
    co_return true;
  }
  RecordStreamVersion();
  co_return co_await WriteToCaller(std::move(whole));
}

void RelaySession::CountEvents(size_t more) {
  const uint32_t before = m_attempt_event_count;
  m_attempt_event_count += static_cast<uint32_t>(more);
  CrashSuspectCore& suspects = m_gateway.crash_suspects;
  if (!suspects.has_suspects() ||
      !CrashSuspectCore::IsMilestone(before, m_attempt_event_count)) {
    return;
  }
  suspects.Handle(RunAdvanced{.parts = m_request.caller.shared_parts,
                              .events = m_attempt_event_count},
                  MonotonicClock::now());
  if (m_trial != nullptr) {
    m_gateway.reported_state_changed();
  }
}

void RelaySession::RecordStreamVersion() {
  const AttemptLease& lease = m_attempt->lease();
  const bool begins = !m_stream_version.has_value();
  m_stream_version = lease.version();
  if (begins && m_request.route->resumable) {
    m_gateway.stream_origins.RecordStart({.attempt = m_request.caller.attempt,
                                          .service = m_request.service,
                                          .version = lease.version()});
  }
}

awaitable<bool> RelaySession::WriteToCaller(std::string bytes) {
  if (*m_stopped) {
    co_return false;
  }
  const bool is_first = !m_head_sent;
  m_head_sent = true;
  Result<void> written = Ok();
  if (is_first) {
    m_gateway.metrics.RecordFirstByte(MonotonicClock::now() -
                                      m_request.arrived);
    const HttpResponseStream& response = *m_attempt->response();
    HttpHeaders headers = platform::EncodeCallerHeaders(response.headers());
    const int status = response.status();
    written = co_await m_exchange.StartStreamWith(status, std::move(headers),
                                                  std::move(bytes));
  } else {
    written = co_await m_exchange.WriteChunk(std::move(bytes));
  }
  if (!written.has_value()) {
    m_caller_disconnected = true;
    Stop();
  }
  co_return written.has_value();
}

void RelaySession::RecordFirstByte() {
  const MonotonicTime start = m_attempt->start();
  if (m_attempt_event_count > 0 || m_first_byte_time >= start) {
    return;
  }
  m_first_byte_time = MonotonicClock::now();
  m_gateway.dispatcher.HandleEvent(FirstEventMeasured{
      m_attempt->lease().backend(), m_first_byte_time - start});
}

void RelaySession::RecordCompletion() {
  AttemptLease& lease = m_attempt->lease();
  lease.SetOutcome(AttemptOutcome::kCompleted);
  m_gateway.metrics.CountAttempt("completed");
  RecordWholeRun(lease);
  const MonotonicTime now = MonotonicClock::now();
  m_gateway.dispatcher.HandleEvent(
      SlotTimeMeasured{lease.backend(), now - m_attempt->start()});
  if (m_attempt_event_count > 1) {
    m_gateway.dispatcher.HandleEvent(EventIntervalMeasured{
        lease.backend(),
        (now - m_first_byte_time) / (m_attempt_event_count - 1)});
  }
  LogRequestEnd("served", m_attempt->response()->status());
}

bool RelaySession::ResponseEndsWithConnection() const {
  return m_attempt != nullptr && m_attempt->response() != nullptr &&
         m_attempt->response()->ends_with_connection();
}

size_t RelaySession::PartialEventBytes() const {
  return m_event_reader.partial_event().size();
}

void RelaySession::LogRequestEnd(const char* outcome, int status) {
  m_gateway.metrics.CountRequest(outcome);
  const Duration took = MonotonicClock::now() - m_request.arrived;
  m_gateway.metrics.RecordRequestDuration(took);
  const bool has_first = m_first_byte_time > m_request.arrived;
  m_gateway.log.Write(
      "request_ended",
      {{"id", m_request.caller.attempt.value()},
       {"outcome", outcome},
       {"status", status},
       {"route", m_request.route->id.value()},
       {"organisation", m_request.organisation.value()},
       {"configuration", m_request.configuration->version().value()},
       {"backend", m_last_backend.value()},
       {"version", m_last_version.value()},
       {"incarnation", m_last_incarnation},
       {"resumes", m_request.caller.resumes.value()},
       {"resumed_after", m_request.caller.last_event},
       {"in_doubt", m_in_doubt_attempts},
       {"not_run", m_not_run_attempts},
       {"why", m_last_failure},
       {"first_ms",
        has_first ? ToMillis(m_first_byte_time - m_request.arrived) : -1},
       {"total_ms", ToMillis(took)},
       {"last_event", m_last_event_id},
       {"prompt_parts", m_request.caller.shared_parts},
       {"ends_with_connection", ResponseEndsWithConnection()},
       {"partial_event_bytes", PartialEventBytes()}});
}

}  // namespace cowslip
