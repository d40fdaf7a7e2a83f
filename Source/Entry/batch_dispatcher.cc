#include "Entry/batch_dispatcher.h"

#include "Access/access.h"
#include "Access/key_stripping.h"
#include "Access/key_text.h"
#include "Base/overloaded.h"
#include "Configuration/snapshot.h"

namespace cowslip {

namespace {

// More than this fits in no partition's record.
constexpr size_t kMaxAnswerBytes = 256 * 1024;

ItemFailed AnswerTooLarge() {
  return {.detail = "The answer has more than " +
                    std::to_string(kMaxAnswerBytes) +
                    " bytes. Ask for a shorter one."};
}

std::string PathOf(const std::string& target) {
  return target.substr(0, target.find('?'));
}

// What a failed attempt means for the item: a problem that says "not run" does
// not count as an attempt, unless waiting cannot mend it, and neither does the
// loss of the backend server.
ItemResult ResultOf(const RespondProblem& response) {
  const Problem& problem = response.problem;
  const bool permanent = problem.kind == ProblemKind::kBadRequest;
  if (problem.not_run && !permanent) {
    return ItemNotRun{.retry_after = problem.retry_after};
  }
  if (response.backend_lost) {
    return ItemBackendLost{.detail = problem.detail};
  }
  return ItemFailed{.may_have_run = !problem.not_run, .detail = problem.detail};
}

ItemResult ResultOf(const AbortResponse& aborted, bool too_large) {
  if (too_large) {
    return AnswerTooLarge();
  }
  const char* detail = "The answer was cut off.";
  if (aborted.backend_lost) {
    return ItemBackendLost{.detail = detail};
  }
  return ItemFailed{.detail = detail};
}

}  // namespace

struct BatchDispatcher::Running {
  ItemKey key;
  RequestId request;
  ItemCompleted answer;
  bool too_large = false;
  std::function<void(ItemResult)> done;
};

BatchDispatcher::BatchDispatcher(RequestDriver& requests,
                                 std::function<void()> on_capacity)
    : m_requests(requests), m_on_capacity(std::move(on_capacity)) {}

void BatchDispatcher::SetSnapshot(std::shared_ptr<const Snapshot> snapshot) {
  m_snapshot = std::move(snapshot);
}

size_t BatchDispatcher::Capacity() {
  return m_requests.core().backends().BatchCapacity();
}

const RouteDeclaration* BatchDispatcher::FindRoute(
    const RouteId& route,
    const std::string& method,
    const std::string& target) const {
  if (m_snapshot == nullptr) {
    return nullptr;
  }
  if (!route.empty()) {
    return m_snapshot->FindRoute(route);
  }
  return m_snapshot->FindRoute(method, PathOf(target));
}

Result<bool> BatchDispatcher::IsIdempotent(const OrganisationId& organisation,
                                           const ItemTarget& target) {
  const RouteDeclaration* route =
      FindRoute(target.route, target.method, target.url);
  if (route == nullptr || !route->batchable) {
    return Error(
        ErrorKind::kNotFound,
        "No route takes batch items for " +
            (target.route.empty() ? target.url : target.route.value()) +
            ". Name a route that its service declares batchable.");
  }
  if (!AllowsOrganisation(*m_snapshot, *route, organisation)) {
    return Error(ErrorKind::kPermissionDenied,
                 "The organisation may not use route " + route->id.value() +
                     ". Ask the operators for it.");
  }
  return route->idempotent;
}

void BatchDispatcher::Dispatch(ItemDispatch item,
                               std::function<void(ItemResult)> done) {
  const RouteDeclaration* route = FindRoute(item.route, item.method, item.path);
  // The configuration may have changed since the job was accepted.
  const bool allowed =
      route != nullptr && route->batchable &&
      AllowsOrganisation(*m_snapshot, *route, item.organisation);
  if (!allowed) {
    done(ItemFailed{.may_have_run = false,
                    .detail = "Its route is no longer declared for batch items "
                              "of this organisation."});
    return;
  }
  RequestArrived arrival;
  arrival.work = WorkClass::kBatch;
  arrival.service = route->service;
  arrival.route = route->id;
  arrival.organisation = item.organisation;
  arrival.method = item.method.empty() ? "POST" : item.method;
  const std::string target = item.path.empty() ? route->path : item.path;
  arrival.target = StripKeys(HttpHeaders(), target).target;
  arrival.headers.push_back(
      {.name = "Content-Type", .value = "application/json"});
  arrival.body = RedactKeys(item.body);
  arrival.idempotent = item.idempotent;
  arrival.has_rate_limit = false;
  arrival.resume_token = std::move(item.resume_token);
  arrival.timeout = item.deadline - MonotonicClock::now();
  const auto running = std::make_shared<Running>();
  running->key = {item.job, item.item};
  running->done = std::move(done);
  running->request = m_requests.Start(
      std::move(arrival), [this, running](const ResponseEvent& event) {
        OnResponse(running, event);
      });
  m_running[running->key] = running->request;
}

void BatchDispatcher::Cancel(const JobId& job, uint32_t item) {
  const auto found = m_running.find({job, item});
  if (found != m_running.end()) {
    m_requests.Feed(RequestCancelled{found->second});
  }
}

void BatchDispatcher::OnResponse(const std::shared_ptr<Running>& running,
                                 const ResponseEvent& event) {
  std::visit(
      Overloaded{[&](const RespondHead& head) {
                   running->answer.status = head.status;
                 },
                 [&](const RespondChunk& chunk) {
                   Gather(running, chunk.data);
                   m_requests.Feed(ResponseBytesConsumed{running->request,
                                                         chunk.data.size()});
                 },
                 [&](const RespondEnd&) {
                   Finish(running,
                          running->too_large
                              ? ItemResult(AnswerTooLarge())
                              : ItemResult(std::move(running->answer)));
                 },
                 [&](const RespondProblem& failed) {
                   Finish(running, ResultOf(failed));
                 },
                 [&](const AbortResponse& aborted) {
                   Finish(running, ResultOf(aborted, running->too_large));
                 },
                 [&](const RespondPreempted& preempted) {
                   Finish(running, ItemPreempted{preempted.resume_token});
                 }},
      event);
}

void BatchDispatcher::Gather(const std::shared_ptr<Running>& running,
                             const std::string& data) {
  if (running->too_large) {
    return;
  }
  running->answer.body += data;
  if (running->answer.body.size() > kMaxAnswerBytes) {
    running->too_large = true;
    running->answer.body.clear();
    m_requests.Feed(RequestCancelled{running->request});
  }
}

void BatchDispatcher::Finish(const std::shared_ptr<Running>& running,
                             ItemResult result) {
  const auto found = m_running.find(running->key);
  if (found != m_running.end() && found->second == running->request) {
    m_running.erase(found);
  }
  running->done(std::move(result));
  m_on_capacity();
}

}  // namespace cowslip
