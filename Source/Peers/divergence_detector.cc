#include "Peers/divergence_detector.h"

#include <algorithm>

#include "Base/overloaded.h"

namespace cowslip {

DivergenceDetector::DivergenceDetector(DivergenceOptions options)
    : m_options(options) {}

std::vector<DivergenceAction> DivergenceDetector::Handle(
    const DivergenceEvent& event,
    MonotonicTime now) {
  std::visit(
      Overloaded{
          [&](const OwnDigests& own) {
            m_own = own.digests;
            m_since.resize(m_own.size());
            m_refreshed.resize(m_own.size());
          },
          [&](const PeerDigests& peer) { m_peers[peer.vm] = peer.digests; },
          [&](const PeerDigestsForgotten& gone) { m_peers.erase(gone.vm); },
          [](const DivergenceTick&) {}},
      event);
  Compare(now);
  std::vector<DivergenceAction> actions;
  for (size_t kind = 0; kind < m_own.size(); ++kind) {
    const bool due =
        m_since[kind].has_value() && now - *m_since[kind] >= m_options.patience;
    const bool may = !m_refreshed[kind].has_value() ||
                     now - *m_refreshed[kind] >= m_options.refresh_pause;
    if (due && may) {
      m_refreshed[kind] = now;
      actions.push_back(RefreshKind{kind});
    }
  }
  return actions;
}

bool DivergenceDetector::Differs(size_t kind) const {
  return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& peer) {
    const StoreDigests& digests = peer.second;
    return digests.size() == m_own.size() && digests[kind] != m_own[kind];
  });
}

void DivergenceDetector::Compare(MonotonicTime now) {
  for (size_t kind = 0; kind < m_own.size(); ++kind) {
    if (!Differs(kind)) {
      m_since[kind].reset();
    } else if (!m_since[kind].has_value()) {
      m_since[kind] = now;
    }
  }
}

}  // namespace cowslip
