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

/// When to try a backend server again that was down.
inline constexpr Duration kEngineDownRetryAfter = std::chrono::seconds(1);

/// \class GateCore
/// \brief The one gate before a backend server.
///
/// Admits at most `slots` requests, so that the engine's own queue stays empty;
/// lets online requests go first, at the expense of batch streams, which go
/// back with a resume token; refuses at once what would wait past its deadline.
/// Each dispatched exchange gets exactly one terminal reply (ResponseEnd or
/// ExchangeFailed), unless its entry's link fails first.
///
/// After AbortEngineCall the driver reports the call's end once, by
/// EngineCallClosed, EngineResponseEnd or EngineCallFailed.
class GateCore {
 public:
  explicit GateCore(GateOptions options);

  std::vector<GateAction> Handle(GateEvent event, MonotonicTime now);

  BackendStatus Status() const;
  const GateCounters& counters() const { return m_counters; }
  /// Exchanges without a terminal reply.
  size_t open_exchanges() const { return m_exchanges.size(); }

 private:
  /// Everything that ends an exchange without a whole answer.
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
  // Why a newcomer is refused at once, if it is.
  std::optional<Failure> RefusalFor(const DispatchRequest& request) const;
  std::optional<Failure> OverloadFor(const DispatchRequest& request) const;
  Result<GateExchange> MakeExchange(DispatchReceived event) const;
  // Starts what may start and preempts what has to yield.
  void StartAndPreempt();
  void Start(GateExchange& exchange);
  void Preempt(GateExchange& exchange);
  // Sends what the credit covers; ends the exchange when all has been sent.
  void Flush(GateExchange& exchange);
  void PauseOrResume(GateExchange& exchange);
  void Refuse(const ExchangeKey& key, Failure failure);
  void SendFailure(const ExchangeKey& key, Failure failure);
  // Ends an exchange, aborting its call if it still runs.
  void Fail(GateExchange& exchange, Failure failure);
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
