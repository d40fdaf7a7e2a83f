#ifndef SOURCE_REQUESTS_REQUEST_CORE_H_
#define SOURCE_REQUESTS_REQUEST_CORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Requests/request_events.h"
#include "Routing/backend_table.h"
#include "Routing/crash_registry.h"
#include "Routing/retry_budget.h"

namespace cowslip {

/// \class RequestCoreOptions
/// \brief Bounds on attempts.
struct RequestCoreOptions {
  RoutingOptions routing;
  RetryBudgetOptions retry_budget;
  CrashRegistryOptions crashes;
  /// Attempts of one online request, the first included.
  uint32_t max_attempts = 3;
  /// What a refusal for want of a backend server tells the caller to wait.
  Duration no_backend_retry_after = std::chrono::seconds(1);
  /// Body bytes after which the side process is granted new credit.
  uint64_t credit_step_bytes = 64 * 1024;
  /// The first exchange id; differs between incarnations of one entry.
  ExchangeId first_exchange{1};
};

/// \class RequestCoreCounters
/// \brief What has happened since the start.
struct RequestCoreCounters {
  uint64_t arrived = 0;
  uint64_t completed = 0;
  uint64_t refused = 0;
  uint64_t failed = 0;
  uint64_t truncated = 0;
  uint64_t cancelled = 0;
  uint64_t attempts = 0;
  uint64_t retries = 0;
  uint64_t stale_replies = 0;
  uint64_t preempted = 0;
};

/// \class RequestCore
/// \brief Decides the life of each request at an entry: limits, the claim of
/// an idempotency key, the choice of a backend server, retries, and the one
/// answer that the caller gets.
///
/// It gives each request exactly one ending action, never retries what may
/// have run unless the route is idempotent and no byte has gone out, and says
/// `not_run` only when no backend server can have begun the request.
class RequestCore {
 public:
  explicit RequestCore(RequestCoreOptions options);

  std::vector<RequestAction> Handle(const RequestEvent& event,
                                    MonotonicTime now);

  const RequestCoreCounters& counters() const { return m_counters; }
  const BackendTable& backends() const { return m_backends; }
  const CrashRegistry& crashes() const { return m_crashes; }
  size_t active() const { return m_requests.size(); }

 private:
  enum class Stage { kLimit, kClaim, kRunning };

  struct Attempt {
    ExchangeId exchange;
    VmId vm;
    bool alone = false;
    bool head_received = false;
    uint64_t chunks = 0;
    uint64_t uncredited_bytes = 0;
  };

  struct Request {
    RequestArrived arrival;
    Stage stage = Stage::kLimit;
    MonotonicTime deadline;
    Fingerprint fingerprint;
    std::optional<Attempt> attempt;
    uint32_t attempts = 0;
    std::set<VmId> failed_on;
    bool claimed = false;
    /// Some attempt may have begun at a backend server.
    bool may_have_run = false;
    /// The head waits for the first piece of the body, so that a failure
    /// before it can still be retried.
    std::optional<ResponseHead> buffered_head;
    bool responding = false;
  };

  using Requests = std::unordered_map<RequestId, Request>;

  void On(const RequestArrived& event);
  void On(const RateLimitAdmitted& event);
  void On(const RateLimitRefused& event);
  void On(const ClaimGranted& event);
  void On(const ClaimRejected& event);
  void On(const ClaimFailed& event);
  void On(const ReplyReceived& event);
  void On(const BackendLinkUp& event);
  void On(const BackendLinkDown& event);
  void On(const BackendLeavingChanged& event);
  void On(const ResponseBytesConsumed& event);
  void On(const RequestCancelled& event);
  void On(const CrashReportReceived& event);
  void On(const RequestTick& event);

  void OnReply(const VmId& vm, const ResponseHead& head);
  void OnReply(const VmId& vm, const ResponseChunk& chunk);
  void OnReply(const VmId& vm, const ResponseEnd& end);
  void OnReply(const VmId& vm, const ExchangeFailed& failure);
  void OnReply(const VmId& vm, const BackendStatus& status);

  /// The request whose current attempt is that exchange at that VM; a late or
  /// crossed answer finds none.
  Request* FindByExchange(const VmId& vm, ExchangeId exchange);
  Request* FindInStage(RequestId id, Stage stage);

  void StartAttempt(Request& request);
  void SendDispatch(Request& request, const VmId& vm, bool alone);
  void EndAttempt(Request& request);
  void CancelAttempt(Request& request);
  void FlushHead(Request& request);
  void ForwardChunk(Request& request, const ResponseChunk& chunk);

  void AttemptFailed(Request& request, const ExchangeFailed& failure);
  bool MayRetry(const Request& request, const ExchangeFailed& failure) const;
  void ReportCrash(Request& request);
  void ClearSuspect(Request& request);
  Problem ProblemFor(const Request& request,
                     const ExchangeFailed& failure) const;

  void Refuse(Request& request, Problem problem);
  void FailRequest(Request& request, Problem problem);
  void Finish(Request& request);
  void Erase(Request& request);
  void Emit(RequestAction action);

  const RequestCoreOptions m_options;
  BackendTable m_backends;
  RetryBudget m_retry_budget;
  CrashRegistry m_crashes;
  RequestCoreCounters m_counters;
  Requests m_requests;
  std::unordered_map<ExchangeId, RequestId> m_exchanges;
  std::set<std::pair<MonotonicTime, RequestId>> m_deadlines;
  ExchangeId m_next_exchange;
  MonotonicTime m_now;
  std::vector<RequestAction> m_actions;
};

}  // namespace cowslip

#endif  // SOURCE_REQUESTS_REQUEST_CORE_H_
