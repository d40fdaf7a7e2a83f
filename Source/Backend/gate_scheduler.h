#ifndef SOURCE_BACKEND_GATE_SCHEDULER_H_
#define SOURCE_BACKEND_GATE_SCHEDULER_H_

#include <cstddef>
#include <deque>
#include <set>
#include <vector>

#include "Backend/exchange_key.h"
#include "Backend/gate_options.h"
#include "Exchange/exchange_messages.h"

namespace cowslip {

struct GateExchange;

/// \class GateScheduler
/// \brief Decides which exchange starts next, which batch streams are
/// preempted, and how long a new request would wait.
///
/// Exchanges are owned by GateCore, which removes them from the scheduler
/// before it destroys them.
class GateScheduler {
 public:
  explicit GateScheduler(const GateOptions& options);

  void Enqueue(GateExchange& exchange);
  /// Removes a waiting exchange from its queue.
  void RemoveFromQueue(GateExchange& exchange);
  /// Moves the next exchange that may start from its queue to the running
  /// ones; returns null if none may start.
  GateExchange* StartNext();
  /// The batch streams to preempt for waiting online requests, those with the
  /// lowest cost first.
  std::vector<GateExchange*> ChooseVictims() const;
  /// Frees the slot of a running exchange whose call has ended.
  void MarkFinished(GateExchange& exchange);
  /// Marks the call of a running exchange as being closed. Its slot stays in
  /// use until MarkClosed().
  void MarkClosing(GateExchange& exchange);
  /// Frees the slot of a closed call. Returns false if no such call was being
  /// closed.
  bool MarkClosed(const ExchangeKey& key);

  /// How long an online request that arrived now would wait for a slot.
  Duration ExpectedWait() const;
  /// Updates the average service time with that of an online request.
  void RecordServiceTime(Duration time);

  LoadStatus Load() const;
  /// Slots in use, including those of closing calls.
  size_t used() const { return m_running.size() + m_closing.size(); }
  size_t waiting_online() const { return m_online.size(); }
  size_t waiting_batch() const { return m_batch.size(); }

 private:
  bool HasGate() const;
  bool Preempts() const;
  size_t BatchLimit() const;
  size_t CountRunning(WorkClass work) const;
  // True while a request runs that must not share the backend server.
  bool RunsAlone() const;
  // The exchange that would start now; null if none may start.
  GateExchange* NextStartable() const;
  // How many batch streams to preempt; may exceed the number that can be.
  size_t PreemptionsNeeded() const;

  const GatePolicy m_policy;
  const size_t m_slots;
  Duration m_service_time;
  std::deque<GateExchange*> m_online;
  std::deque<GateExchange*> m_batch;
  std::vector<GateExchange*> m_running;
  std::set<ExchangeKey> m_closing;
};

}  // namespace cowslip

#endif  // SOURCE_BACKEND_GATE_SCHEDULER_H_
