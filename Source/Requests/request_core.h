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
/// \brief Settings and limits of RequestCore.
struct RequestCoreOptions {
  RoutingOptions routing;
  RetryBudgetOptions retry_budget;
  CrashRegistryOptions crashes;
  /// The most attempts of one online request, including the first.
  uint32_t max_attempts = 3;
  /// The `Retry-After` of a refusal because no backend server accepts work.
  Duration no_backend_retry_after = std::chrono::seconds(1);
  /// The caller must have received this many body bytes before the sidecar is
  /// granted new credit.
  uint64_t credit_step_bytes = 64 * 1024;
  /// The first exchange id; differs between incarnations of one entry.
  ExchangeId first_exchange{1};
};

/// \class RequestCoreCounters
/// \brief Counts since the process started.
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
/// \brief Processes the requests of an entry: rate limits, claims of
/// idempotency keys, the choice of a backend server, retries, and the response
/// to the caller.
///
/// Each request gets exactly one terminal action. A request that may have run
/// is retried only if its route is idempotent and no byte of a response has
/// been sent to the caller. `not_run` is set only if no backend server can have
/// started the request.
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
    /// A backend server may have started the request in some attempt.
    bool may_have_run = false;
    /// The head is buffered until the first chunk of the body arrives, so that
    /// a failure before it can still be retried.
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

  /// Returns the request whose current attempt is this exchange at this VM;
  /// null for a reply to an attempt that has ended.
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
  void FailRequest(Request& request,
                   Problem problem,
                   bool backend_lost = false);
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
