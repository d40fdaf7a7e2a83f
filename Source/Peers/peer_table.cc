#include "Peers/peer_table.h"

#include <set>
#include <utility>

namespace cowslip {

PeerTable::PeerTable(PeerTableOptions options)
    : m_options(std::move(options)) {}

std::vector<PeerAction> PeerTable::Handle(const PeerEvent& event,
                                          MonotonicTime now) {
  m_actions.clear();
  std::visit([&](const auto& alternative) { Apply(alternative, now); }, event);
  Count();
  return std::exchange(m_actions, {});
}

void PeerTable::Apply(const PeersListed& event, MonotonicTime now) {
  std::set<VmId> listed;
  for (const PeerRecord& record : event.peers) {
    if (record.vm == m_options.self) {
      continue;
    }
    listed.insert(record.vm);
    const auto [entry, is_new] = m_peers.try_emplace(record.vm);
    Peer& peer = entry->second;
    peer.address = record.address;
    if (is_new || peer.incarnation != record.incarnation) {
      peer.heard = now;
      peer.sequence = 0;
      Appear(record.vm, peer, record.incarnation);
    }
  }
  std::erase_if(m_peers,
                [&](const auto& peer) { return !listed.contains(peer.first); });
}

void PeerTable::Apply(const PeerHeard& event, MonotonicTime now) {
  const auto found = m_peers.find(event.message.vm);
  if (found == m_peers.end()) {
    return;
  }
  Peer& peer = found->second;
  const bool same = peer.incarnation == event.message.incarnation;
  if (same && event.message.sequence <= peer.sequence) {
    return;
  }
  peer.sequence = event.message.sequence;
  peer.draining = event.message.draining;
  peer.reaches_store = event.message.reaches_store;
  peer.heard = now;
  if (!same || peer.silent) {
    Appear(found->first, peer, event.message.incarnation);
  }
}

void PeerTable::Apply(const PeerTick&, MonotonicTime now) {
  for (auto& [vm, peer] : m_peers) {
    const Duration quiet = now - peer.heard;
    if (!peer.silent && quiet >= m_options.silent_after) {
      peer.silent = true;
      m_actions.push_back(PeerFellSilent{vm});
    }
    if (quiet >= m_options.gone_after && !peer.removal_asked && IsFirstLive()) {
      peer.removal_asked = true;
      m_actions.push_back(PeerGone{vm});
    }
  }
}

void PeerTable::Appear(const VmId& vm, Peer& peer, Incarnation incarnation) {
  peer.incarnation = incarnation;
  peer.silent = false;
  peer.removal_asked = false;
  m_actions.push_back(PeerAppeared{vm, incarnation});
}

void PeerTable::Count() {
  PeersCounted counted{.members = static_cast<uint32_t>(m_peers.size() + 1)};
  for (const auto& [vm, peer] : m_peers) {
    counted.silent += peer.silent ? 1 : 0;
  }
  if (counted.members != m_counted.members ||
      counted.silent != m_counted.silent) {
    m_counted = counted;
    m_actions.push_back(counted);
  }
}

bool PeerTable::IsFirstLive() const {
  for (const auto& [vm, peer] : m_peers) {
    if (!peer.silent && vm < m_options.self) {
      return false;
    }
  }
  return true;
}

bool PeerTable::IsLive(const VmId& vm, Incarnation incarnation) const {
  const auto found = m_peers.find(vm);
  return found != m_peers.end() && !found->second.silent &&
         found->second.incarnation == incarnation;
}

std::vector<VmId> PeerTable::Live() const {
  std::set<VmId> live = {m_options.self};
  for (const auto& [vm, peer] : m_peers) {
    if (!peer.silent && !peer.draining) {
      live.insert(vm);
    }
  }
  return {live.begin(), live.end()};
}

std::optional<Endpoint> PeerTable::PickWithStore(uint64_t draw) const {
  std::vector<Endpoint> able;
  for (const auto& [vm, peer] : m_peers) {
    if (!peer.silent && !peer.draining && peer.reaches_store) {
      able.push_back(peer.address);
    }
  }
  if (able.empty()) {
    return std::nullopt;
  }
  return able[draw % able.size()];
}

std::vector<Endpoint> PeerTable::Addresses() const {
  std::vector<Endpoint> addresses;
  for (const auto& [vm, peer] : m_peers) {
    addresses.push_back(peer.address);
  }
  return addresses;
}

}  // namespace cowslip
