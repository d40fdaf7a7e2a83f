#include "Placement/waiting_core.h"

#include "Base/overloaded.h"

namespace cowslip {

std::vector<WaitingAction> WaitingCore::Handle(const WaitingEvent& event,
                                               MonotonicTime now) {
  std::vector<WaitingAction> actions;
  std::visit(Overloaded{[&](const WaitBegan& began) {
                          const Order order = OrderOf(began.waiter);
                          m_orders[began.waiter.ticket] = order;
                          m_waiters.emplace(order, began.waiter);
                        },
                        [&](const WaitAbandoned& abandoned) {
                          const auto found = m_orders.find(abandoned.ticket);
                          if (found != m_orders.end()) {
                            m_waiters.erase(found->second);
                            m_orders.erase(found);
                          }
                        },
                        [](const WaitersDue&) {}},
             event);
  Expire(now, actions);
  // One at a time: each placement changes the load that the next one sees,
  // once the caller has told the placing core of it.
  for (auto at = m_waiters.begin(); at != m_waiters.end(); ++at) {
    const auto backend = m_placing.PlaceOnline(at->second.query, now);
    if (backend.has_value()) {
      actions.push_back(WaiterPlaced{at->second.ticket, *backend});
      m_orders.erase(at->second.ticket);
      m_waiters.erase(at);
      break;
    }
  }
  return actions;
}

void WaitingCore::Expire(MonotonicTime now,
                         std::vector<WaitingAction>& actions) {
  for (auto at = m_waiters.begin(); at != m_waiters.end();) {
    if (at->second.give_up_at > now) {
      ++at;
      continue;
    }
    actions.push_back(WaiterExpired{at->second.ticket});
    m_orders.erase(at->second.ticket);
    at = m_waiters.erase(at);
  }
}

}  // namespace cowslip
