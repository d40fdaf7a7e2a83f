// Attempts of a request: choice of the backend server, and retries.

#include <algorithm>

#include "Requests/request_core.h"

namespace cowslip {

void RequestCore::StartAttempt(Request& request) {
  request.stage = Stage::kRunning;
  const RequestArrived& arrival = request.arrival;
  const RouteQuery query = {.service = arrival.service,
                            .work = arrival.work,
                            .affinity_key = arrival.affinity_key,
                            .exclude = request.failed_on};
  const std::optional<VmId> vm = m_backends.Choose(query);
  if (!vm.has_value()) {
    FailRequest(request,
                {.kind = ProblemKind::kNoBackend,
                 .detail = "No backend server accepts work for this route now. "
                           "Send the request again after the stated time.",
                 .not_run = !request.may_have_run,
                 .retry_after = m_options.no_backend_retry_after});
    return;
  }
  const bool suspect = m_crashes.Classify(request.fingerprint, m_now) !=
                       CrashRegistry::Status::kUnknown;
  if (request.attempts == 0 && arrival.work == WorkClass::kOnline) {
    m_retry_budget.RecordFirstAttempt();
  }
  ++request.attempts;
  SendDispatch(request, *vm, suspect);
}

void RequestCore::SendDispatch(Request& request, const VmId& vm, bool alone) {
  const RequestArrived& arrival = request.arrival;
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      request.deadline - m_now);
  const ExchangeId exchange = m_next_exchange;
  ++m_next_exchange;
  ++m_counters.attempts;
  request.attempt = Attempt{.exchange = exchange, .vm = vm, .alone = alone};
  m_exchanges[exchange] = arrival.request;
  m_backends.AttemptStarted(vm, arrival.work);
  Emit(
      SendToBackend{vm, DispatchRequest{.exchange = exchange,
                                        .work = arrival.work,
                                        .organisation = arrival.organisation,
                                        .route = arrival.route,
                                        .method = arrival.method,
                                        .target = arrival.target,
                                        .headers = arrival.headers,
                                        .body = arrival.body,
                                        .idempotent = arrival.idempotent,
                                        .alone = alone,
                                        .deadline_ms = left.count(),
                                        .resume_token = arrival.resume_token}});
}

void RequestCore::EndAttempt(Request& request) {
  if (!request.attempt.has_value()) {
    return;
  }
  m_exchanges.erase(request.attempt->exchange);
  m_backends.AttemptEnded(request.attempt->vm, request.arrival.work);
  request.attempt.reset();
}

// The backend server may have started the attempt before the cancellation
// reaches it, so `may_have_run` is set.
void RequestCore::CancelAttempt(Request& request) {
  if (!request.attempt.has_value()) {
    return;
  }
  request.may_have_run = true;
  Emit(SendToBackend{request.attempt->vm,
                     CancelRequest{.exchange = request.attempt->exchange}});
  EndAttempt(request);
}

void RequestCore::OnReply(const VmId& vm, const ExchangeFailed& failure) {
  m_backends.LoadReceived(vm, failure.load);
  Request* request = FindByExchange(vm, failure.exchange);
  if (request == nullptr) {
    return;
  }
  if (failure.suspect) {
    ReportCrash(*request);
  }
  request->failed_on.insert(vm);
  EndAttempt(*request);
  AttemptFailed(*request, failure);
}

void RequestCore::On(const BackendLinkDown& event) {
  m_backends.LinkDown(event.vm);
  std::vector<RequestId> hit;
  for (const auto& [id, request] : m_requests) {
    if (request.attempt.has_value() && request.attempt->vm == event.vm) {
      hit.push_back(id);
    }
  }
  std::sort(hit.begin(), hit.end());
  for (const RequestId id : hit) {
    Request& request = m_requests.at(id);
    // A failed link counts as a crash only for a request that was a crash
    // suspect already: links also fail for reasons that have nothing to do with
    // a request.
    if (request.attempt->alone) {
      ReportCrash(request);
    }
    request.failed_on.insert(event.vm);
    EndAttempt(request);
    AttemptFailed(
        request,
        {.suspect = true, .detail = "The link to the backend server failed."});
  }
}

void RequestCore::ReportCrash(Request& request) {
  const bool quarantine =
      request.attempt->alone && request.arrival.work == WorkClass::kOnline;
  const CrashReport report =
      m_crashes.RecordCrash(request.fingerprint, quarantine, m_now);
  Emit(BroadcastCrashReport{report});
}

void RequestCore::ClearSuspect(Request& request) {
  if (request.attempt->alone) {
    Emit(BroadcastCrashReport{m_crashes.RecordCleared(request.fingerprint)});
  }
}

void RequestCore::AttemptFailed(Request& request,
                                const ExchangeFailed& failure) {
  request.may_have_run = request.may_have_run || !failure.not_run;
  const bool batch = request.arrival.work == WorkClass::kBatch;
  if (batch && failure.reason == FailureReason::kPreempted &&
      !request.responding) {
    ++m_counters.preempted;
    Emit(RespondPreempted{request.arrival.request, failure.resume_token});
    Erase(request);
    return;
  }
  if (MayRetry(request, failure) && m_retry_budget.TryTakeRetry()) {
    ++m_counters.retries;
    request.buffered_head.reset();
    StartAttempt(request);
    return;
  }
  FailRequest(request, ProblemFor(request, failure), failure.suspect);
}

bool RequestCore::MayRetry(const Request& request,
                           const ExchangeFailed& failure) const {
  const RequestArrived& arrival = request.arrival;
  const bool safe = !request.may_have_run || arrival.idempotent;
  const bool useful = failure.reason != FailureReason::kBadRequest &&
                      failure.reason != FailureReason::kTimeout &&
                      failure.reason != FailureReason::kCancelled;
  // A failed batch item is returned to the owner of its partition, which counts
  // and limits its attempts.
  const bool online = arrival.work == WorkClass::kOnline;
  const bool quarantined = m_crashes.Classify(request.fingerprint, m_now) ==
                           CrashRegistry::Status::kQuarantined;
  return safe && useful && online && !quarantined && !request.responding &&
         request.attempts < m_options.max_attempts && request.deadline > m_now;
}

Problem RequestCore::ProblemFor(const Request& request,
                                const ExchangeFailed& failure) const {
  Problem problem = {
      .kind = ProblemKind::kBackendFailed,
      .detail = "The backend server failed: " + failure.detail,
      .not_run = !request.may_have_run,
      .retry_after = std::chrono::milliseconds(failure.retry_after_ms)};
  switch (failure.reason) {
    case FailureReason::kOverloaded:
    case FailureReason::kDraining:
    case FailureReason::kPreempted:
      problem.kind = ProblemKind::kOverloaded;
      problem.detail =
          "Every backend server that was asked is busy. Send the request again "
          "after the stated time.";
      problem.retry_after =
          std::max(problem.retry_after, m_options.no_backend_retry_after);
      break;
    case FailureReason::kTimeout:
      problem.kind = ProblemKind::kDeadlinePassed;
      break;
    case FailureReason::kBadRequest:
      problem.kind = ProblemKind::kBadRequest;
      problem.detail = failure.detail;
      break;
    case FailureReason::kCancelled:
      problem.kind = ProblemKind::kCancelled;
      break;
    case FailureReason::kEngineRefused:
    case FailureReason::kEngineFailed:
      break;
  }
  return problem;
}

}  // namespace cowslip
