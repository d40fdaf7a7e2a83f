#include "Placement/wait_queue.h"

#include "Base/overloaded.h"

namespace cowslip {

std::vector<WaitQueueAction> WaitQueue::Handle(const WaitQueueEvent& event,
                                               MonotonicTime now) {
  std::vector<WaitQueueAction> actions;
  std::visit(Overloaded{[&](const RequestEnqueued& enqueued) {
                          const Order order = OrderOf(enqueued.request);
                          m_order_by_ticket[enqueued.request.ticket] = order;
                          m_requests.emplace(order, enqueued.request);
                        },
                        [&](const RequestAbandoned& abandoned) {
                          const auto found =
                              m_order_by_ticket.find(abandoned.ticket);
                          if (found != m_order_by_ticket.end()) {
                            m_requests.erase(found->second);
                            m_order_by_ticket.erase(found);
                          }
                        },
                        [](const QueuePollDue&) {}},
             event);
  Expire(now, actions);
  // Places at most one request per event: each placement changes the load that
  // the next one depends on, once the caller has reported it to `m_placement`.
  for (auto at = m_requests.begin(); at != m_requests.end(); ++at) {
    const auto backend = m_placement.PlaceOnline(at->second.query, now);
    if (backend.has_value()) {
      actions.push_back(RequestPlaced{at->second.ticket, *backend});
      m_order_by_ticket.erase(at->second.ticket);
      m_requests.erase(at);
      break;
    }
  }
  return actions;
}

void WaitQueue::Expire(MonotonicTime now,
                       std::vector<WaitQueueAction>& actions) {
  for (auto at = m_requests.begin(); at != m_requests.end();) {
    if (at->second.expires_at > now) {
      ++at;
      continue;
    }
    actions.push_back(RequestExpired{at->second.ticket});
    m_order_by_ticket.erase(at->second.ticket);
    at = m_requests.erase(at);
  }
}

}  // namespace cowslip
