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
/// \brief Enforces fencing of orders: an order is sent to the engine only if
/// no order with a higher fencing number was sent before, also by an earlier
/// incarnation of this process.
///
/// Some engines ignore the fencing number, so the current one is kept in the
/// store. It is read before the first order after a start, and raised by a
/// conditional write before an order with a higher number is sent. Orders are
/// processed one at a time. While the store is unavailable, orders with the
/// number that is already known to be current are still sent.
class OrderCore {
 public:
  /// `writer` must be unique to this incarnation of the process.
  explicit OrderCore(std::string writer);

  std::vector<OrderAction> Handle(OrderEvent event, MonotonicTime now);

  /// The current fencing number; no value while it is unknown.
  std::optional<FencingNumber> current() const { return m_current; }

 private:
  void On(OrderReceived event);
  void On(const FenceRead& event);
  void On(const FenceWritten& event);
  void On(const FenceStoreFailed& event);
  void On(EngineOrderDone event);

  // Takes the next step for the first order in the queue.
  void Advance();
  void Respond(OrderOutcome outcome, int status, std::string body);
  void Emit(OrderAction action) { m_actions.push_back(std::move(action)); }

  enum class Step { kIdle, kReading, kWriting, kSending };

  const std::string m_writer;
  std::deque<OrderReceived> m_orders;
  Step m_step = Step::kIdle;
  std::optional<FencingNumber> m_current;
  std::optional<ObjectVersion> m_version;
  // Store calls made for the first order in the queue.
  int m_store_calls = 0;
  std::vector<OrderAction> m_actions;
};

}  // namespace cowslip

#endif  // SOURCE_BACKEND_ORDER_CORE_H_
