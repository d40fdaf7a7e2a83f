#include "Placement/evacuation_core.h"

#include <algorithm>
#include <utility>

#include "Base/rendezvous.h"
#include "Peers/peer_table.h"

namespace cowslip {

EvacuationCore::EvacuationCore(EvacuationOptions options,
                               const PeerTable& peers)
    : m_options(std::move(options)), m_peer_table(peers) {}

std::vector<EvacuationAction> EvacuationCore::Handle(
    const EvacuationEvent& event,
    MonotonicTime now) {
  m_actions.clear();
  std::visit([&](const auto& alternative) { Apply(alternative, now); }, event);
  return std::exchange(m_actions, {});
}

bool EvacuationCore::IsEvacuated(const ZoneId& zone) const {
  return m_entries.contains(zone);
}

std::set<ZoneId> EvacuationCore::EvacuatedZones() const {
  std::set<ZoneId> zones;
  for (const auto& [zone, entry] : m_entries) {
    zones.insert(zone);
  }
  return zones;
}

std::vector<EvacuatedZone> EvacuationCore::ZonesToReport() const {
  std::vector<EvacuatedZone> removed;
  for (const auto& [zone, version] : m_removals) {
    if (!IsEvacuated(zone)) {
      removed.push_back({.zone = zone, .version = version, .removed = true});
    }
  }
  std::sort(removed.begin(), removed.end(),
            [](const auto& a, const auto& b) { return a.version > b.version; });
  std::vector<EvacuatedZone> zones;
  for (const auto& [zone, entry] : m_entries) {
    zones.push_back({.zone = zone, .version = entry.version});
  }
  zones.insert(zones.end(), removed.begin(), removed.end());
  if (zones.size() > m_options.max_reported_zones) {
    zones.resize(m_options.max_reported_zones);
  }
  return zones;
}

void EvacuationCore::Apply(const EvacuationWritten& event, MonotonicTime now) {
  const auto removal = m_removals.find(event.zone);
  if (removal != m_removals.end() && event.version <= removal->second) {
    return;
  }
  const bool is_stored = event.source != EvacuationSource::kPeer;
  // A listing since then has shown that the entry is gone.
  if (!is_stored && !IsEvacuated(event.zone) &&
      event.version <= m_listed_as_of) {
    return;
  }
  const ObjectVersion added =
      event.created == ObjectVersion() ? event.version : event.created;
  const auto [found, is_new] = m_entries.try_emplace(event.zone);
  Entry& entry = found->second;
  if (is_new) {
    entry.added = added;
    entry.next_write = now;
    m_actions.push_back(
        ApplyEvacuation{event.zone, event.version, event.source});
  } else if (event.version < entry.version) {
    // The store is read behind what peers have reported.
    if (is_stored) {
      entry.stored = std::max(entry.stored, event.version);
    }
    return;
  } else if (event.created > entry.version) {
    // It was removed and added again between two reads.
    entry = Entry{.added = event.created, .next_write = now};
  } else if (is_stored && event.created != ObjectVersion()) {
    entry.added = event.created;
  }
  entry.version = event.version;
  if (is_stored) {
    entry.stored = event.version;
    entry.completed = event.completed;
  }
}

void EvacuationCore::Apply(const EvacuationRemoved& event, MonotonicTime) {
  const auto entry = m_entries.find(event.zone);
  if (entry != m_entries.end() && entry->second.version > event.version) {
    // The removal is that of an earlier entry. A listing settles it if this
    // one is gone too.
    if (event.source != EvacuationSource::kPeer &&
        entry->second.stored <= event.version) {
      entry->second.stored = ObjectVersion();
    }
    return;
  }
  ObjectVersion& removal = m_removals[event.zone];
  removal = std::max(removal, event.version);
  if (entry != m_entries.end()) {
    m_entries.erase(entry);
    m_actions.push_back(
        LiftEvacuation{event.zone, event.version, event.source});
  }
}

// Entries that only peers have reported and that the listing lacks were removed
// before it.
void EvacuationCore::Apply(const EvacuationsListed& event, MonotonicTime now) {
  m_knows_entries = true;
  m_reaches_store = true;
  m_listed_as_of = std::max(m_listed_as_of, event.as_of);
  std::vector<ZoneId> gone;
  for (const auto& [zone, entry] : m_entries) {
    if (entry.stored == ObjectVersion() && entry.version <= event.as_of) {
      gone.push_back(zone);
    }
  }
  for (const ZoneId& zone : gone) {
    Apply(EvacuationRemoved{zone, event.as_of, EvacuationSource::kList}, now);
  }
}

void EvacuationCore::Apply(const PeerEvacuationsReported& event,
                           MonotonicTime now) {
  m_knows_entries = m_knows_entries || event.knows_entries;
  Peer& peer = m_peers[event.vm];
  peer.heard = now;
  peer.zones.clear();
  for (const EvacuatedZone& reported : event.zones) {
    peer.zones[reported.zone] = reported;
    if (reported.removed) {
      Apply(EvacuationRemoved{reported.zone, reported.version,
                              EvacuationSource::kPeer},
            now);
    } else {
      Apply(EvacuationWritten{.zone = reported.zone,
                              .version = reported.version,
                              .source = EvacuationSource::kPeer},
            now);
    }
  }
}

void EvacuationCore::Apply(const PeerEvacuationsForgotten& event,
                           MonotonicTime now) {
  m_peers[event.vm] = Peer{.heard = now};
}

void EvacuationCore::Apply(const EvacuationStoreLost&, MonotonicTime) {
  m_reaches_store = false;
}

void EvacuationCore::Apply(const EvacuationStoreRegained&, MonotonicTime) {
  m_reaches_store = true;
}

void EvacuationCore::Apply(const EvacuationStatusStored& event, MonotonicTime) {
  const auto found = m_entries.find(event.zone);
  if (found == m_entries.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.write_pending = false;
  // Another entry of the zone may have followed meanwhile.
  if (event.version >= entry.version) {
    entry.version = event.version;
    entry.stored = event.version;
    entry.completed = true;
  }
}

void EvacuationCore::Apply(const EvacuationStatusFailed& event,
                           MonotonicTime now) {
  const auto found = m_entries.find(event.zone);
  if (found != m_entries.end()) {
    found->second.write_pending = false;
    found->second.next_write = now + m_options.retry_interval;
  }
}

// A registered peer counts from when it is first seen here.
void EvacuationCore::TrackPeers(MonotonicTime now) {
  const std::set<VmId> registered = m_peer_table.RegisteredPeers();
  std::erase_if(m_peers, [&](const auto& peer) {
    return !registered.contains(peer.first);
  });
  for (const VmId& vm : registered) {
    m_peers.try_emplace(vm, Peer{.heard = now});
  }
}

bool EvacuationCore::IsEmptyAtPeers(const ZoneId& zone,
                                    const Entry& entry,
                                    MonotonicTime now) const {
  return std::all_of(m_peers.begin(), m_peers.end(), [&](const auto& known) {
    const Peer& peer = known.second;
    const auto reported = peer.zones.find(zone);
    const bool is_empty = reported != peer.zones.end() &&
                          !reported->second.removed &&
                          reported->second.version >= entry.added &&
                          reported->second.in_flight == 0;
    return is_empty || now - peer.heard > m_options.silent_peer_wait;
  });
}

void EvacuationCore::Apply(const EvacuationTick& event, MonotonicTime now) {
  if (m_entries.empty()) {
    return;
  }
  TrackPeers(now);
  for (auto& [zone, entry] : m_entries) {
    // A newer version that peers have reported would make the write fail.
    if (!m_reaches_store || entry.completed || entry.write_pending ||
        entry.stored == ObjectVersion() || entry.stored < entry.version ||
        now < entry.next_write || event.busy_zones.contains(zone)) {
      continue;
    }
    const std::vector<VmId> first =
        RendezvousPick(zone.value(), m_peer_table.LiveProcesses(), 1);
    if (!first.empty() && first.front() == m_options.self &&
        IsEmptyAtPeers(zone, entry, now)) {
      entry.write_pending = true;
      m_actions.push_back(WriteEvacuationStatus{zone, entry.version});
    }
  }
}

}  // namespace cowslip
