#ifndef SOURCE_PLACEMENT_WAITING_CORE_H_
#define SOURCE_PLACEMENT_WAITING_CORE_H_

#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <variant>
#include <vector>

#include "Base/strong_number.h"
#include "Base/time.h"
#include "Placement/placing_core.h"

namespace cowslip {

/// A request that waits for a slot, numbered by its process.
using TicketId = StrongNumber<struct TicketIdTag, uint64_t>;

/// \class Waiter
/// \brief A request that waits for a slot.
struct Waiter {
  TicketId ticket;
  PlacementQuery query;
  /// 0 is the most urgent.
  int rank = 0;
  MonotonicTime give_up_at;
};

/// A request begins to wait.
struct WaitBegan {
  Waiter waiter;
};
/// Its caller has gone.
struct WaitAbandoned {
  TicketId ticket;
};
/// Slots may have become free, or time has passed.
struct WaitersDue {};
using WaitingEvent = std::variant<WaitBegan, WaitAbandoned, WaitersDue>;

/// The request goes to that backend server.
struct WaiterPlaced {
  TicketId ticket;
  BackendId backend;
};
/// The request has waited in vain.
struct WaiterExpired {
  TicketId ticket;
};
using WaitingAction = std::variant<WaiterPlaced, WaiterExpired>;

/// \class WaitingCore
/// \brief Orders the requests that wait for a slot, for the moments in which
/// every slot is taken and organisations of different rank compete.
///
/// The most urgent rank goes first, and within a rank the one that must be
/// answered soonest. Nothing waits longer than a fraction of its latency
/// target, so the queue never holds work that could only be late.
class WaitingCore {
 public:
  /// Chooses where a waiter may go; the core itself knows no load.
  explicit WaitingCore(const PlacingCore& placing) : m_placing(placing) {}

  std::vector<WaitingAction> Handle(const WaitingEvent& event,
                                    MonotonicTime now);

  size_t size() const { return m_waiters.size(); }

 private:
  using Order = std::tuple<int, MonotonicTime, TicketId>;

  static Order OrderOf(const Waiter& waiter) {
    return {waiter.rank, waiter.give_up_at, waiter.ticket};
  }
  void Expire(MonotonicTime now, std::vector<WaitingAction>& actions);

  const PlacingCore& m_placing;
  std::map<Order, Waiter> m_waiters;
  std::map<TicketId, Order> m_orders;
};

}  // namespace cowslip

#endif  // SOURCE_PLACEMENT_WAITING_CORE_H_
