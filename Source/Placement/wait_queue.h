#ifndef SOURCE_PLACEMENT_WAIT_QUEUE_H_
#define SOURCE_PLACEMENT_WAIT_QUEUE_H_

#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <variant>
#include <vector>

#include "Base/strong_number.h"
#include "Base/time.h"
#include "Placement/placement_core.h"

namespace cowslip {

/// A request that waits for a slot, numbered by its process.
using TicketId = StrongNumber<struct TicketIdTag, uint64_t>;

/// \class WaitingRequest
/// \brief A request that waits for a slot.
struct WaitingRequest {
  TicketId ticket;
  PlacementQuery query;
  /// 0 is the most urgent.
  int rank = 0;
  MonotonicTime give_up_at;
};

/// A request begins to wait.
struct RequestEnqueued {
  WaitingRequest waiter;
};
/// Its caller has gone.
struct RequestAbandoned {
  TicketId ticket;
};
/// Slots may have become free, or time has passed.
struct QueuePollDue {};
using WaitQueueEvent =
    std::variant<RequestEnqueued, RequestAbandoned, QueuePollDue>;

/// The request goes to that backend server.
struct RequestPlaced {
  TicketId ticket;
  BackendId backend;
};
/// The request has waited in vain.
struct RequestExpired {
  TicketId ticket;
};
using WaitQueueAction = std::variant<RequestPlaced, RequestExpired>;

/// \class WaitQueue
/// \brief Orders the requests that wait for a slot, for the moments in which
/// every slot is taken and organisations of different rank compete.
///
/// The most urgent rank goes first, and within a rank the one that must be
/// answered soonest. Nothing waits longer than a fraction of its latency
/// target, so the queue never holds work that could only be late.
class WaitQueue {
 public:
  /// Chooses where a waiter may go; the core itself knows no load.
  explicit WaitQueue(const PlacementCore& placing) : m_placing(placing) {}

  std::vector<WaitQueueAction> Handle(const WaitQueueEvent& event,
                                      MonotonicTime now);

  size_t size() const { return m_waiters.size(); }

 private:
  using Order = std::tuple<int, MonotonicTime, TicketId>;

  static Order OrderOf(const WaitingRequest& waiter) {
    return {waiter.rank, waiter.give_up_at, waiter.ticket};
  }
  void Expire(MonotonicTime now, std::vector<WaitQueueAction>& actions);

  const PlacementCore& m_placing;
  std::map<Order, WaitingRequest> m_waiters;
  std::map<TicketId, Order> m_orders;
};

}  // namespace cowslip

#endif  // SOURCE_PLACEMENT_WAIT_QUEUE_H_
