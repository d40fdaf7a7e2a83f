#ifndef SOURCE_BACKEND_GATE_CORE_H_
#define SOURCE_BACKEND_GATE_CORE_H_

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Backend/gate_actions.h"
#include "Backend/gate_counters.h"
#include "Backend/gate_events.h"
#include "Backend/gate_exchange.h"
#include "Backend/gate_options.h"
#include "Backend/gate_scheduler.h"
#include "Backend/recent_keys.h"
#include "Base/time.h"

namespace cowslip {

/// The retry delay for a backend server that is down.
inline constexpr Duration kEngineDownRetryAfter = std::chrono::seconds(1);

/// \class GateCore
/// \brief Admission control for one backend server.
///
/// Runs at most `slots` requests at a time, so that the engine's own queue
/// stays empty. Online requests have priority: they preempt batch streams,
/// which are returned to their entry with a resume token. A request that would
/// wait past its deadline is refused on arrival. Each dispatched exchange gets
/// exactly one terminal reply (ResponseEnd or ExchangeFailed), unless its
/// entry's link fails first.
///
/// After AbortEngineCall the driver reports the end of the call exactly once,
/// as EngineCallClosed, EngineResponseEnd or EngineCallFailed.
class GateCore {
 public:
  explicit GateCore(GateOptions options);

  std::vector<GateAction> Handle(GateEvent event, MonotonicTime now);

  BackendStatus Status() const;
  const GateCounters& counters() const { return m_counters; }
  /// Exchanges without a terminal reply.
  size_t open_exchanges() const { return m_exchanges.size(); }

 private:
  /// Why an exchange ends without a complete response.
  struct Failure {
    FailureReason reason = FailureReason::kEngineFailed;
    bool not_run = false;
    bool suspect = false;
    std::string detail;
    Duration retry_after{0};
    std::string resume_token;
  };

  void On(DispatchReceived event);
  void On(const CancelReceived& event);
  void On(const CreditReceived& event);
  void On(const EngineResponseHead& event);
  void On(EngineResponseChunk event);
  void On(const EngineResponseEnd& event);
  void On(const EngineCallFailed& event);
  void On(const EngineCallClosed& event);
  void On(const EntryLinkUp& event);
  void On(const EntryLinkDown& event);
  void On(const GateDrainRequested& event);
  void On(const EngineUp& event);
  void On(const EngineDown& event);
  void On(const GateTick& event);

  GateExchange* Find(const ExchangeKey& key);
  // Why a new request is refused on arrival; no value if it is accepted.
  std::optional<Failure> RefusalFor(const DispatchRequest& request) const;
  std::optional<Failure> OverloadFor(const DispatchRequest& request) const;
  Result<GateExchange> MakeExchange(DispatchReceived event) const;
  // Starts waiting exchanges as slots permit and preempts batch streams for
  // waiting online requests.
  void StartAndPreempt();
  void Start(GateExchange& exchange);
  void Preempt(GateExchange& exchange);
  // Sends as much of the body as the entry's credit allows; ends the exchange
  // once the whole body has been sent.
  void Flush(GateExchange& exchange);
  // Pauses reading from the engine while data waits for credit.
  void PauseOrResume(GateExchange& exchange);
  void Refuse(const ExchangeKey& key, Failure failure);
  void SendFailure(const ExchangeKey& key, Failure failure);
  // Ends an exchange with a failure reply and aborts its call if it is still
  // running.
  void Fail(GateExchange& exchange, Failure failure);
  // Ends an exchange without a reply and aborts its call if it is still
  // running.
  void Drop(GateExchange& exchange);
  void FailWaiting(const Failure& failure, bool batch_only);
  void MarkEngineDown();
  std::vector<ExchangeKey> KeysWhere(
      const std::function<bool(const GateExchange&)>& predicate) const;
  void Announce();
  void Emit(GateAction action) { m_actions.push_back(std::move(action)); }

  const GateOptions m_options;
  GateScheduler m_scheduler;
  std::map<ExchangeKey, GateExchange> m_exchanges;
  RecentKeys m_recent;
  GateCounters m_counters;
  bool m_draining = false;
  bool m_drained = false;
  bool m_engine_up = true;
  // Valid during Handle().
  MonotonicTime m_now;
  std::vector<GateAction> m_actions;
};

}  // namespace cowslip

#endif  // SOURCE_BACKEND_GATE_CORE_H_
