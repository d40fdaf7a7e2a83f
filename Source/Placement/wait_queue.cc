#include "Placement/wait_queue.h"

#include "Base/overloaded.h"

namespace cowslip {

std::vector<WaitQueueAction> WaitQueue::Handle(const WaitQueueEvent& event,
                                               MonotonicTime now) {
  std::vector<WaitQueueAction> actions;
  std::visit(Overloaded{[&](const RequestEnqueued& began) {
                          const Order order = OrderOf(began.waiter);
                          m_orders[began.waiter.ticket] = order;
                          m_waiters.emplace(order, began.waiter);
                        },
                        [&](const RequestAbandoned& abandoned) {
                          const auto found = m_orders.find(abandoned.ticket);
                          if (found != m_orders.end()) {
                            m_waiters.erase(found->second);
                            m_orders.erase(found);
                          }
                        },
                        [](const QueuePollDue&) {}},
             event);
  Expire(now, actions);
  // One at a time: each placement changes the load that the next one sees,
  // once the caller has told the placing core of it.
  for (auto at = m_waiters.begin(); at != m_waiters.end(); ++at) {
    const auto backend = m_placing.PlaceOnline(at->second.query, now);
    if (backend.has_value()) {
      actions.push_back(RequestPlaced{at->second.ticket, *backend});
      m_orders.erase(at->second.ticket);
      m_waiters.erase(at);
      break;
    }
  }
  return actions;
}

void WaitQueue::Expire(MonotonicTime now,
                       std::vector<WaitQueueAction>& actions) {
  for (auto at = m_waiters.begin(); at != m_waiters.end();) {
    if (at->second.give_up_at > now) {
      ++at;
      continue;
    }
    actions.push_back(RequestExpired{at->second.ticket});
    m_orders.erase(at->second.ticket);
    at = m_waiters.erase(at);
  }
}

}  // namespace cowslip
