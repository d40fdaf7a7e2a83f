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

/// Identifies a waiting request within its process.
using TicketId = StrongNumber<struct TicketIdTag, uint64_t>;

/// \class WaitingRequest
/// \brief A request that waits for a slot.
struct WaitingRequest {
  TicketId ticket;
  PlacementQuery query;
  /// 0 is the most urgent.
  int priority = 0;
  MonotonicTime expires_at;
};

/// Adds a request to the queue.
struct RequestEnqueued {
  WaitingRequest request;
};
/// The caller of a waiting request disconnected, or its wait is over.
struct RequestAbandoned {
  TicketId ticket;
};
/// Slots may have become free, or time has passed: the queue is checked again.
struct QueuePollDue {};
using WaitQueueEvent =
    std::variant<RequestEnqueued, RequestAbandoned, QueuePollDue>;

/// Sends the request to that backend server.
struct RequestPlaced {
  TicketId ticket;
  BackendId backend;
};
/// The request expired before a slot became free.
struct RequestExpired {
  TicketId ticket;
};
using WaitQueueAction = std::variant<RequestPlaced, RequestExpired>;

/// \class WaitQueue
/// \brief A priority queue of the requests that wait for a slot while all slots
/// are occupied and organisations of different priority compete for them.
///
/// Requests leave the queue by priority and, within one priority, by the
/// earliest expiry. No request waits longer than a fraction of its latency
/// target, so the queue never holds requests that could only be served late.
class WaitQueue {
 public:
  /// `placement` selects the backend servers; the queue itself tracks no load.
  explicit WaitQueue(const PlacementCore& placement) : m_placement(placement) {}

  std::vector<WaitQueueAction> Handle(const WaitQueueEvent& event,
                                      MonotonicTime now);

  size_t size() const { return m_requests.size(); }

 private:
  using Order = std::tuple<int, MonotonicTime, TicketId>;

  static Order OrderOf(const WaitingRequest& request) {
    return {request.priority, request.expires_at, request.ticket};
  }
  void Expire(MonotonicTime now, std::vector<WaitQueueAction>& actions);

  const PlacementCore& m_placement;
  std::map<Order, WaitingRequest> m_requests;
  std::map<TicketId, Order> m_order_by_ticket;
};

}  // namespace cowslip

#endif  // SOURCE_PLACEMENT_WAIT_QUEUE_H_
