#include "Peers/divergence_detector.h"

#include <algorithm>

namespace cowslip {

DivergenceDetector::DivergenceDetector(DivergenceOptions options)
    : m_options(options) {}

std::vector<DivergenceAction> DivergenceDetector::Handle(
    const DivergenceEvent& event,
    MonotonicTime now) {
  std::visit([&](const auto& alternative) { Apply(alternative, now); }, event);
  std::vector<DivergenceAction> actions;
  for (size_t index = 0; index < m_kinds.size(); ++index) {
    const std::optional<DivergenceAction> action = RefreshIfDue(index, now);
    if (action.has_value()) {
      actions.push_back(*action);
    }
  }
  return actions;
}

void DivergenceDetector::Settle(PeerDigest& peer) {
  peer.is_settled = true;
  peer.differs_since.reset();
}

void DivergenceDetector::SettleIfKnown(const Kind& kind, PeerDigest& peer) {
  const auto& own = kind.own_digests;
  const auto newest = std::find(own.rbegin(), own.rend(), peer.digest);
  if (newest == own.rend()) {
    return;
  }
  const uint64_t state =
      kind.last_state - static_cast<uint64_t>(newest - own.rbegin());
  // Views do not go back: a peer that reports an older digest has followed
  // changes that cancel each other out in it, and this process missed some.
  if (state >= peer.state) {
    peer.state = state;
    Settle(peer);
  }
}

void DivergenceDetector::Apply(const OwnDigestsChanged& event, MonotonicTime) {
  m_kinds.resize(event.digests.size());
  for (size_t index = 0; index < m_kinds.size(); ++index) {
    Kind& kind = m_kinds[index];
    const uint64_t digest = event.digests[index];
    if (!kind.own_digests.empty() && kind.own_digests.back() == digest) {
      continue;
    }
    kind.own_digests.push_back(digest);
    ++kind.last_state;
    if (kind.own_digests.size() > m_options.remembered_digests) {
      kind.own_digests.pop_front();
    }
    for (auto& [vm, peer] : kind.peers) {
      if (peer.digest == digest) {
        SettleIfKnown(kind, peer);
      }
    }
  }
}

void DivergenceDetector::Apply(const KindListed& event, MonotonicTime) {
  if (event.kind >= m_kinds.size()) {
    return;
  }
  for (auto& [vm, peer] : m_kinds[event.kind].peers) {
    if (peer.received <= event.began) {
      Settle(peer);
    }
  }
}

void DivergenceDetector::Apply(const PeerDigestsReceived& event,
                               MonotonicTime now) {
  if (event.digests.size() != m_kinds.size()) {
    Apply(PeerDigestsInvalidated{event.vm}, now);
    return;
  }
  for (size_t index = 0; index < m_kinds.size(); ++index) {
    Kind& kind = m_kinds[index];
    const uint64_t digest = event.digests[index];
    const auto [entry, is_new] = kind.peers.try_emplace(event.vm);
    PeerDigest& peer = entry->second;
    if (is_new || peer.digest != digest) {
      peer.digest = digest;
      peer.received = now;
      peer.is_settled = false;
    }
    if (!peer.is_settled) {
      SettleIfKnown(kind, peer);
    }
    if (!peer.is_settled && !peer.differs_since.has_value()) {
      peer.differs_since = now;
    }
  }
}

void DivergenceDetector::Apply(const PeerDigestsInvalidated& event,
                               MonotonicTime) {
  for (Kind& kind : m_kinds) {
    kind.peers.erase(event.vm);
  }
}

std::optional<DivergenceAction> DivergenceDetector::RefreshIfDue(
    size_t index,
    MonotonicTime now) {
  Kind& kind = m_kinds[index];
  const auto longest = std::min_element(
      kind.peers.begin(), kind.peers.end(), [](const auto& a, const auto& b) {
        return a.second.differs_since.value_or(MonotonicTime::max()) <
               b.second.differs_since.value_or(MonotonicTime::max());
      });
  kind.differs_since = longest == kind.peers.end()
                           ? std::nullopt
                           : longest->second.differs_since;
  if (!kind.differs_since.has_value()) {
    return std::nullopt;
  }
  const Duration lasted = now - *kind.differs_since;
  const bool may_refresh =
      !kind.last_refresh.has_value() ||
      now - *kind.last_refresh >= m_options.min_refresh_interval;
  if (lasted < m_options.grace_period || !may_refresh) {
    return std::nullopt;
  }
  kind.last_refresh = now;
  return RefreshKind{.kind = index,
                     .peer = longest->first,
                     .peer_digest = longest->second.digest,
                     .own_digest = kind.own_digests.back(),
                     .lasted = lasted};
}

}  // namespace cowslip
