#ifndef SOURCE_BACKEND_ORDER_CORE_H_
#define SOURCE_BACKEND_ORDER_CORE_H_

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "Backend/order_events.h"
#include "Base/time.h"

namespace cowslip {

/// \class OrderCore
/// \brief Lets an order through to the engine only if no newer decider has
/// been let through before, also by an earlier life of this process.
///
/// Some engines ignore the fencing number, so the current one is kept in the
/// store. It is read before the first order after a start, and moved by
/// conditional update before an order with a higher number goes out. Orders
/// are taken one at a time. Without the store, orders with the number that is
/// already known to be current still pass.
class OrderCore {
 public:
  /// `writer` is a token that no other process uses.
  explicit OrderCore(std::string writer);

  std::vector<OrderAction> Handle(OrderEvent event, MonotonicTime now);

  /// The current number, once known.
  std::optional<FencingNumber> current() const { return m_current; }

 private:
  void On(OrderReceived event);
  void On(const FenceRead& event);
  void On(const FenceWritten& event);
  void On(const FenceStoreFailed& event);
  void On(EngineOrderDone event);

  // Takes the next step for the order in front.
  void Advance();
  void Answer(OrderOutcome outcome, int status, std::string body);
  void Emit(OrderAction action) { m_actions.push_back(std::move(action)); }

  enum class Step { kIdle, kReading, kWriting, kSending };

  const std::string m_writer;
  std::deque<OrderReceived> m_orders;
  Step m_step = Step::kIdle;
  std::optional<FencingNumber> m_current;
  std::optional<ObjectVersion> m_version;
  // Reads and writes spent on the order in front.
  int m_store_calls = 0;
  std::vector<OrderAction> m_actions;
};

}  // namespace cowslip

#endif  // SOURCE_BACKEND_ORDER_CORE_H_
