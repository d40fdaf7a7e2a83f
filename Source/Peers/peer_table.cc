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
  UpdateCounts();
  return std::exchange(m_actions, {});
}

void PeerTable::Apply(const PeerListRead& event, MonotonicTime now) {
  std::set<VmId> listed;
  for (const PeerRecord& record : event.peers) {
    if (record.vm == m_options.self) {
      continue;
    }
    listed.insert(record.vm);
    const auto [entry, is_new] = m_peers.try_emplace(record.vm);
    Peer& peer = entry->second;
    peer.address = record.address;
    peer.region = record.region;
    if (is_new || peer.incarnation != record.incarnation) {
      peer.last_received = now;
      peer.sequence = 0;
      MarkLive(record.vm, peer, record.incarnation);
    }
  }
  std::erase_if(m_peers,
                [&](const auto& peer) { return !listed.contains(peer.first); });
}

void PeerTable::Apply(const PeerMessageReceived& event, MonotonicTime now) {
  const auto found = m_peers.find(event.message.vm);
  if (found == m_peers.end()) {
    return;
  }
  Peer& peer = found->second;
  const bool same_incarnation = peer.incarnation == event.message.incarnation;
  if (same_incarnation && event.message.sequence <= peer.sequence) {
    return;
  }
  peer.sequence = event.message.sequence;
  peer.draining = event.message.draining;
  peer.reaches_store = event.message.reaches_store;
  peer.last_received = now;
  if (!same_incarnation || peer.silent) {
    MarkLive(found->first, peer, event.message.incarnation);
  }
}

void PeerTable::Apply(const PeerTick&, MonotonicTime now) {
  for (auto& [vm, peer] : m_peers) {
    const Duration silence = now - peer.last_received;
    if (!peer.silent && silence >= m_options.silent_after) {
      peer.silent = true;
      m_actions.push_back(PeerFellSilent{vm});
    }
    if (silence >= m_options.remove_after && !peer.removal_requested &&
        IsFirstLive()) {
      peer.removal_requested = true;
      m_actions.push_back(RemovePeerRegistration{vm});
    }
  }
}

void PeerTable::MarkLive(const VmId& vm, Peer& peer, Incarnation incarnation) {
  peer.incarnation = incarnation;
  peer.silent = false;
  peer.removal_requested = false;
  m_actions.push_back(PeerAppeared{vm, incarnation});
}

void PeerTable::UpdateCounts() {
  PeerCountsChanged counts{.members =
                               static_cast<uint32_t>(m_peers.size() + 1)};
  for (const auto& [vm, peer] : m_peers) {
    counts.silent += peer.silent ? 1 : 0;
  }
  if (counts.members != m_last_counts.members ||
      counts.silent != m_last_counts.silent) {
    m_last_counts = counts;
    m_actions.push_back(counts);
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

std::vector<VmId> PeerTable::LiveProcesses() const {
  return LiveProcessesIn(HomeRegions());
}

std::vector<VmId> PeerTable::LiveProcessesIn(const HomeRegions& regions) const {
  std::set<VmId> live;
  if (regions.Allows(m_options.region)) {
    live.insert(m_options.self);
  }
  for (const auto& [vm, peer] : m_peers) {
    if (!peer.silent && !peer.draining && regions.Allows(peer.region)) {
      live.insert(vm);
    }
  }
  return {live.begin(), live.end()};
}

std::set<VmId> PeerTable::RegisteredPeers() const {
  std::set<VmId> registered;
  for (const auto& [vm, peer] : m_peers) {
    registered.insert(vm);
  }
  return registered;
}

std::optional<Endpoint> PeerTable::AddressOf(const VmId& vm) const {
  const auto found = m_peers.find(vm);
  return found == m_peers.end() ? std::nullopt
                                : std::optional(found->second.address);
}

std::optional<Endpoint> PeerTable::PickPeerReachingStore(
    uint64_t random) const {
  return PickReachingStore(HomeRegions(), random);
}

std::optional<Endpoint> PeerTable::PickNearPeerReachingStore(
    uint64_t random) const {
  if (m_options.region.empty()) {
    return std::nullopt;
  }
  const HomeRegions own(std::set<RegionId>{m_options.region});
  return PickReachingStore(own, random);
}

std::optional<Endpoint> PeerTable::PickReachingStore(const HomeRegions& regions,
                                                     uint64_t random) const {
  std::vector<Endpoint> candidates;
  for (const auto& [vm, peer] : m_peers) {
    if (!peer.silent && !peer.draining && peer.reaches_store &&
        regions.Allows(peer.region)) {
      candidates.push_back(peer.address);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates[random % candidates.size()];
}

std::vector<Endpoint> PeerTable::Addresses() const {
  std::vector<Endpoint> addresses;
  for (const auto& [vm, peer] : m_peers) {
    addresses.push_back(peer.address);
  }
  return addresses;
}

}  // namespace cowslip
