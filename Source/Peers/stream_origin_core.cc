#include "Peers/stream_origin_core.h"

#include <algorithm>

#include "Base/overloaded.h"
#include "Base/rendezvous.h"
#include "Peers/peer_table.h"

namespace cowslip {

StreamOriginCore::StreamOriginCore(StreamOriginOptions options,
                                   const PeerTable& peers)
    : m_options(std::move(options)), m_peers(peers) {}

std::vector<StreamOriginAction> StreamOriginCore::Handle(
    const StreamOriginEvent& event,
    MonotonicTime now) {
  std::vector<StreamOriginAction> actions;
  std::visit(Overloaded{[&](const StreamBegan& began) {
                          Remember(began.origin, now);
                          for (VmId& peer :
                               Pick(began.origin.attempt, m_options.copies)) {
                            actions.push_back(ReportStreamOrigin{
                                std::move(peer), began.origin});
                          }
                        },
                        [&](const StreamOriginReceived& received) {
                          Remember(received.origin, now);
                        }},
             event);
  return actions;
}

void StreamOriginCore::Remember(const StreamOrigin& origin, MonotonicTime now) {
  while (!m_order.empty()) {
    const auto oldest = m_origins.find(m_order.front());
    if (m_origins.size() < m_options.max_origins &&
        now - oldest->second.received <= m_options.lifetime) {
      break;
    }
    m_origins.erase(oldest);
    m_order.pop_front();
  }
  if (origin.attempt.value().size() > m_options.max_attempt_bytes) {
    return;
  }
  // The first event of an attempt is sent once, so the first report counts.
  if (m_origins.try_emplace(origin.attempt, Record{origin, now}).second) {
    m_order.push_back(origin.attempt);
  }
}

std::optional<StreamOrigin> StreamOriginCore::Find(const AttemptId& attempt,
                                                   MonotonicTime now) const {
  const auto found = m_origins.find(attempt);
  if (found == m_origins.end() ||
      now - found->second.received > m_options.lifetime) {
    return std::nullopt;
  }
  return found->second.origin;
}

std::vector<VmId> StreamOriginCore::Pick(const AttemptId& attempt,
                                         size_t count) const {
  std::vector<VmId> others = m_peers.LiveProcesses();
  std::erase(others, m_options.self);
  return RendezvousPick(attempt.value(), others, count);
}

std::vector<VmId> StreamOriginCore::Candidates(const AttemptId& attempt) const {
  // The process that began the stream picked without itself, and with this one,
  // so one more process than it reported to may be among its picks.
  return Pick(attempt, m_options.copies + 1);
}

}  // namespace cowslip
