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
/// \brief Decides who runs next, who has to yield and how long a newcomer
/// would wait.
///
/// Exchanges are owned by GateCore and outlive their stay here.
class GateScheduler {
 public:
  explicit GateScheduler(const GateOptions& options);

  void Enqueue(GateExchange& exchange);
  /// Takes an exchange out of its queue.
  void RemoveFromQueue(GateExchange& exchange);
  /// Moves the next exchange that may start now to the running ones; null
  /// when none may.
  GateExchange* StartNext();
  /// The batch streams that have to yield to waiting online requests.
  std::vector<GateExchange*> ChooseVictims() const;
  /// The backend server is done with an exchange.
  void MarkFinished(GateExchange& exchange);
  /// The call of a running exchange is being closed; its slot is taken until
  /// MarkClosed().
  void MarkClosing(GateExchange& exchange);
  /// Returns false if no such call was being closed.
  bool MarkClosed(const ExchangeKey& key);

  /// How long an online request that came now would wait for a slot.
  Duration ExpectedWait() const;
  /// Learns how long an online request ran.
  void RecordServiceTime(Duration time);

  LoadStatus Load() const;
  /// Slots taken, those of closing calls included.
  size_t used() const { return m_running.size() + m_closing.size(); }
  size_t waiting_online() const { return m_online.size(); }
  size_t waiting_batch() const { return m_batch.size(); }

 private:
  bool HasGate() const;
  bool Preempts() const;
  size_t BatchLimit() const;
  size_t CountRunning(WorkClass work) const;
  bool RunsAlone() const;
  // The exchange that would start now, still in its queue.
  GateExchange* NextStartable() const;
  // How many batch streams have to yield.
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
