#include "Peers/divergence_detector.h"

#include <algorithm>

#include "Base/overloaded.h"

namespace cowslip {

DivergenceDetector::DivergenceDetector(DivergenceOptions options)
    : m_options(options) {}

std::vector<DivergenceAction> DivergenceDetector::Handle(
    const DivergenceEvent& event,
    MonotonicTime now) {
  std::visit(Overloaded{[&](const OwnDigestsChanged& own) {
                          m_own_digests = own.digests;
                          m_differs_since.resize(m_own_digests.size());
                          m_last_refresh.resize(m_own_digests.size());
                        },
                        [&](const PeerDigestsReceived& peer) {
                          m_peer_digests[peer.vm] = peer.digests;
                        },
                        [&](const PeerDigestsInvalidated& invalidated) {
                          m_peer_digests.erase(invalidated.vm);
                        },
                        [](const DivergenceTick&) {}},
             event);
  Compare(now);
  std::vector<DivergenceAction> actions;
  for (size_t kind = 0; kind < m_own_digests.size(); ++kind) {
    const bool due = m_differs_since[kind].has_value() &&
                     now - *m_differs_since[kind] >= m_options.grace_period;
    const bool may_refresh =
        !m_last_refresh[kind].has_value() ||
        now - *m_last_refresh[kind] >= m_options.min_refresh_interval;
    if (due && may_refresh) {
      m_last_refresh[kind] = now;
      const auto& [vm, digests] = *FindDiffering(kind);
      actions.push_back(RefreshKind{.kind = kind,
                                    .peer = vm,
                                    .peer_digest = digests[kind],
                                    .own_digest = m_own_digests[kind],
                                    .lasted = now - *m_differs_since[kind]});
    }
  }
  return actions;
}

std::map<VmId, StoreDigests>::const_iterator DivergenceDetector::FindDiffering(
    size_t kind) const {
  return std::find_if(m_peer_digests.begin(), m_peer_digests.end(),
                      [&](const auto& peer) {
                        const StoreDigests& digests = peer.second;
                        return digests.size() == m_own_digests.size() &&
                               digests[kind] != m_own_digests[kind];
                      });
}

void DivergenceDetector::Compare(MonotonicTime now) {
  for (size_t kind = 0; kind < m_own_digests.size(); ++kind) {
    if (FindDiffering(kind) == m_peer_digests.end()) {
      m_differs_since[kind].reset();
    } else if (!m_differs_since[kind].has_value()) {
      m_differs_since[kind] = now;
    }
  }
}

}  // namespace cowslip
