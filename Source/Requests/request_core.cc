#include "Requests/request_core.h"

namespace cowslip {

RequestCore::RequestCore(RequestCoreOptions options)
    : m_options(std::move(options)),
      m_backends(m_options.routing),
      m_retry_budget(m_options.retry_budget),
      m_crashes(m_options.crashes),
      m_next_exchange(m_options.first_exchange) {}

std::vector<RequestAction> RequestCore::Handle(const RequestEvent& event,
                                               MonotonicTime now) {
  m_now = now;
  m_actions.clear();
  std::visit([this](const auto& alternative) { On(alternative); }, event);
  return std::move(m_actions);
}

void RequestCore::Emit(RequestAction action) {
  m_actions.push_back(std::move(action));
}

RequestCore::Request* RequestCore::FindInStage(RequestId id, Stage stage) {
  const auto found = m_requests.find(id);
  if (found == m_requests.end() || found->second.stage != stage) {
    return nullptr;
  }
  return &found->second;
}

RequestCore::Request* RequestCore::FindByExchange(const VmId& vm,
                                                  ExchangeId exchange) {
  const auto found = m_exchanges.find(exchange);
  if (found == m_exchanges.end()) {
    ++m_counters.stale_replies;
    return nullptr;
  }
  Request& request = m_requests.at(found->second);
  if (request.attempt->vm != vm) {
    ++m_counters.stale_replies;
    return nullptr;
  }
  return &request;
}

void RequestCore::On(const RequestArrived& event) {
  ++m_counters.arrived;
  Request& request = m_requests[event.request];
  request.arrival = event;
  request.deadline = m_now + event.timeout;
  request.fingerprint =
      FingerprintOf(event.organisation, event.route.value(), event.body);
  m_deadlines.insert({request.deadline, event.request});
  // Batch items stay owed: one under which backend servers crashed runs alone.
  if (event.work == WorkClass::kOnline &&
      m_crashes.Classify(request.fingerprint, m_now) ==
          CrashRegistry::Status::kQuarantined) {
    Refuse(request,
           {.kind = ProblemKind::kQuarantined,
            .detail = "This request crashed backend servers and is held back. "
                      "Change its body, or ask the operators to release it.",
            .not_run = true});
    return;
  }
  if (event.work == WorkClass::kOnline && event.has_rate_limit) {
    Emit(CheckRateLimit{event.request, event.organisation});
    return;
  }
  On(RateLimitAdmitted{event.request});
}

void RequestCore::On(const RateLimitAdmitted& event) {
  Request* request = FindInStage(event.request, Stage::kLimit);
  if (request == nullptr) {
    return;
  }
  const RequestArrived& arrival = request->arrival;
  if (!arrival.idempotent && !arrival.idempotency_key.empty()) {
    request->stage = Stage::kClaim;
    Emit(ClaimIdempotencyKey{event.request, arrival.organisation,
                             arrival.idempotency_key});
    return;
  }
  StartAttempt(*request);
}

void RequestCore::On(const RateLimitRefused& event) {
  Request* request = FindInStage(event.request, Stage::kLimit);
  if (request == nullptr) {
    return;
  }
  Refuse(*request, {.kind = ProblemKind::kRateLimited,
                    .detail = "The organisation has used its rate and burst. "
                              "Send this request again after the stated time.",
                    .not_run = true,
                    .retry_after = event.retry_after});
}

void RequestCore::On(const ClaimGranted& event) {
  Request* request = FindInStage(event.request, Stage::kClaim);
  if (request == nullptr) {
    // The request was cancelled or passed its deadline while its key was being
    // claimed; it has not run.
    Emit(ReleaseClaim{event.request});
    return;
  }
  request->claimed = true;
  StartAttempt(*request);
}

void RequestCore::On(const ClaimRejected& event) {
  Request* request = FindInStage(event.request, Stage::kClaim);
  if (request == nullptr) {
    return;
  }
  Refuse(*request,
         {.kind = ProblemKind::kAlreadyClaimed,
          .detail =
              "A request with this Idempotency-Key was taken before and may "
              "have run. Check its effect; use a new key for a new request."});
}

void RequestCore::On(const ClaimFailed& event) {
  Request* request = FindInStage(event.request, Stage::kClaim);
  if (request == nullptr) {
    return;
  }
  Refuse(*request, {.kind = ProblemKind::kClaimUnavailable,
                    .detail = "The Idempotency-Key could not be recorded. "
                              "Send the request again later, with a new key "
                              "if this one is refused.",
                    .not_run = true,
                    .retry_after = m_options.no_backend_retry_after});
}

void RequestCore::On(const ReplyReceived& event) {
  std::visit([&](const auto& message) { OnReply(event.vm, message); },
             event.message);
}

void RequestCore::On(const BackendLinkUp& event) {
  m_backends.LinkUp(event.vm);
}

void RequestCore::On(const BackendLeavingChanged& event) {
  m_backends.SetLeaving(event.vm, event.leaving);
}

void RequestCore::On(const ResponseBytesConsumed& event) {
  const auto found = m_requests.find(event.request);
  if (found == m_requests.end() || !found->second.attempt.has_value()) {
    return;
  }
  Attempt& attempt = *found->second.attempt;
  attempt.uncredited_bytes += event.bytes;
  if (attempt.uncredited_bytes < m_options.credit_step_bytes) {
    return;
  }
  Emit(SendToBackend{attempt.vm,
                     CreditGrant{.exchange = attempt.exchange,
                                 .bytes = attempt.uncredited_bytes}});
  attempt.uncredited_bytes = 0;
}

void RequestCore::On(const RequestCancelled& event) {
  const auto found = m_requests.find(event.request);
  if (found == m_requests.end()) {
    return;
  }
  ++m_counters.cancelled;
  Request& request = found->second;
  CancelAttempt(request);
  FailRequest(request,
              {.kind = ProblemKind::kCancelled,
               .detail = "The request was cut off: its caller left, its key "
                         "was withdrawn or its job was cancelled.",
               .not_run = !request.may_have_run});
}

void RequestCore::On(const CrashReportReceived& event) {
  m_crashes.ApplyReport(event.report, m_now);
}

void RequestCore::On(const RequestTick&) {
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= m_now) {
    Request& request = m_requests.at(m_deadlines.begin()->second);
    CancelAttempt(request);
    FailRequest(request,
                {.kind = ProblemKind::kDeadlinePassed,
                 .detail = "The request took longer than its route "
                           "allows. Ask for less, or raise the route's "
                           "timeout.",
                 .not_run = !request.may_have_run});
  }
}

void RequestCore::OnReply(const VmId& vm, const BackendStatus& status) {
  m_backends.StatusReceived(vm, status);
}

void RequestCore::OnReply(const VmId& vm, const ResponseHead& head) {
  Request* request = FindByExchange(vm, head.exchange);
  if (request == nullptr || request->attempt->head_received) {
    return;
  }
  request->attempt->head_received = true;
  request->buffered_head = head;
}

void RequestCore::OnReply(const VmId& vm, const ResponseChunk& chunk) {
  Request* request = FindByExchange(vm, chunk.exchange);
  if (request == nullptr) {
    return;
  }
  const Attempt& attempt = *request->attempt;
  if (!attempt.head_received || chunk.sequence != attempt.chunks) {
    CancelAttempt(*request);
    AttemptFailed(*request, {.detail = "A piece of the answer was lost."});
    return;
  }
  ForwardChunk(*request, chunk);
}

void RequestCore::ForwardChunk(Request& request, const ResponseChunk& chunk) {
  ++request.attempt->chunks;
  FlushHead(request);
  Emit(RespondChunk{request.arrival.request, chunk.data});
}

void RequestCore::OnReply(const VmId& vm, const ResponseEnd& end) {
  m_backends.LoadReceived(vm, end.load);
  Request* request = FindByExchange(vm, end.exchange);
  if (request == nullptr) {
    return;
  }
  const bool whole =
      request->attempt->head_received && request->attempt->chunks == end.chunks;
  if (!whole) {
    EndAttempt(*request);
    AttemptFailed(*request, {.detail = "A piece of the answer was lost."});
    return;
  }
  ClearSuspect(*request);
  EndAttempt(*request);
  FlushHead(*request);
  Finish(*request);
}

void RequestCore::FlushHead(Request& request) {
  if (!request.buffered_head.has_value()) {
    return;
  }
  request.responding = true;
  Emit(RespondHead{request.arrival.request, request.buffered_head->status,
                   request.buffered_head->headers});
  request.buffered_head.reset();
}

void RequestCore::Finish(Request& request) {
  ++m_counters.completed;
  Emit(RespondEnd{request.arrival.request});
  Erase(request);
}

void RequestCore::Refuse(Request& request, Problem problem) {
  ++m_counters.refused;
  Emit(RespondProblem{request.arrival.request, std::move(problem)});
  Erase(request);
}

void RequestCore::FailRequest(Request& request,
                              Problem problem,
                              bool backend_lost) {
  const RequestId id = request.arrival.request;
  if (request.claimed && !request.may_have_run) {
    Emit(ReleaseClaim{id});
  }
  if (request.responding) {
    ++m_counters.truncated;
    Emit(AbortResponse{id, backend_lost});
  } else {
    ++m_counters.failed;
    Emit(RespondProblem{id, std::move(problem), backend_lost});
  }
  Erase(request);
}

void RequestCore::Erase(Request& request) {
  const RequestId id = request.arrival.request;
  m_deadlines.erase({request.deadline, id});
  m_requests.erase(id);
}

}  // namespace cowslip
