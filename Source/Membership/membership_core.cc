#include "Membership/membership_core.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "Base/rendezvous.h"

namespace cowslip {

MembershipCore::MembershipCore(MembershipCoreOptions options)
    : m_options(std::move(options)) {}

std::vector<MembershipAction> MembershipCore::Handle(
    const MembershipEvent& event,
    MonotonicTime now) {
  m_actions.clear();
  m_now = now;
  std::visit([this](const auto& alternative) { Apply(alternative); }, event);
  const std::vector<VmId>& backends = SelectedBackends();
  UpdateLinks(backends, now);
  UpdateViews(backends);
  ForgetLostPeers();
  return std::exchange(m_actions, {});
}

void MembershipCore::Apply(const VmListRead& event) {
  const bool had_list =
      std::any_of(m_peers.begin(), m_peers.end(),
                  [](const auto& peer) { return peer.second.listed; });
  if (event.vms.empty() && had_list) {
    return;
  }
  for (auto& [vm, peer] : m_peers) {
    peer.listed.reset();
  }
  m_self_listed_leaving = false;
  for (const ListedVm& listed : event.vms) {
    if (listed.vm == m_options.self) {
      m_self_listed_leaving = listed.leaving;
    } else {
      Peer& peer = m_peers[listed.vm];
      peer.listed = listed;
      peer.down_since = peer.down_since.value_or(m_now);
    }
  }
}

void MembershipCore::Apply(const MemberPeerUp& event) {
  Peer& peer = m_peers[event.vm];
  peer.linked_incarnation = event.incarnation;
  if (peer.draining_incarnation != event.incarnation) {
    peer.draining_incarnation.reset();
  }
  if (m_leaving) {
    m_actions.push_back(SendDrainAnnouncement{event.vm});
  }
}

void MembershipCore::Apply(const MemberPeerDown& event) {
  Peer& peer = m_peers[event.vm];
  peer.linked_incarnation.reset();
  peer.down_since = m_now;
}

void MembershipCore::Apply(const DrainAnnouncementReceived& event) {
  m_peers[event.vm].draining_incarnation = event.incarnation;
}

void MembershipCore::Apply(const MembershipDrainRequested&) {
  if (std::exchange(m_leaving, true)) {
    return;
  }
  for (const auto& [vm, peer] : m_peers) {
    if (peer.linked_incarnation) {
      m_actions.push_back(SendDrainAnnouncement{vm});
    }
  }
}

void MembershipCore::ForgetLostPeers() {
  std::erase_if(m_peers, [](const auto& entry) {
    return !entry.second.listed && !entry.second.linked_incarnation;
  });
}

bool MembershipCore::AcceptsNewWork(const Peer& peer) const {
  return peer.listed && !peer.listed->leaving && peer.linked_incarnation &&
         peer.draining_incarnation != peer.linked_incarnation;
}

std::vector<VmId> MembershipCore::StayingEntries() const {
  std::vector<VmId> entries;
  for (const auto& [vm, peer] : m_peers) {
    const bool is_entry = peer.listed && peer.listed->role == VmRole::kEntry;
    if (is_entry && !peer.listed->leaving) {
      entries.push_back(vm);
    }
  }
  if (m_options.role == VmRole::kEntry) {
    entries.push_back(m_options.self);
  }
  return entries;
}

const std::vector<VmId>& MembershipCore::SelectedBackends() {
  if (m_options.role != VmRole::kEntry) {
    return m_selection.backends;
  }
  BackendsByService by_service;
  for (const auto& [vm, peer] : m_peers) {
    const bool is_backend =
        peer.listed && peer.listed->role == VmRole::kBackend;
    if (is_backend && !peer.listed->leaving) {
      by_service[peer.listed->service].push_back(vm);
    }
  }
  const std::vector<VmId> entries = StayingEntries();
  // The selection ranks every backend server against every entry, which is too
  // expensive to repeat for each event in a large fleet.
  if (entries != m_selection.entries || by_service != m_selection.by_service) {
    m_selection.backends = SelectBackends(by_service, entries);
    m_selection.entries = entries;
    m_selection.by_service = std::move(by_service);
  }
  return m_selection.backends;
}

std::vector<VmId> MembershipCore::SelectBackends(
    const BackendsByService& by_service,
    const std::vector<VmId>& entries) const {
  const size_t services = std::max<size_t>(by_service.size(), 1);
  const size_t max_backends = std::max(
      m_options.max_backends_per_entry / services, kMinBackendsPerService);
  std::vector<VmId> selected;
  for (const auto& [service, backends] : by_service) {
    for (const VmId& backend : backends) {
      if (SelectsBackend(backend, backends.size(), max_backends, entries)) {
        selected.push_back(backend);
      }
    }
  }
  std::sort(selected.begin(), selected.end());
  return selected;
}

bool MembershipCore::SelectsBackend(const VmId& backend,
                                    size_t backends_of_service,
                                    size_t max_backends,
                                    const std::vector<VmId>& entries) const {
  if (backends_of_service <= max_backends) {
    return true;
  }
  // The entries are selected for each backend server, not the other way round,
  // so that every backend server has some. On average an entry then keeps links
  // to `max_backends` of a service.
  const size_t links = max_backends * entries.size();
  const size_t entries_per_backend =
      std::max((links + backends_of_service - 1) / backends_of_service,
               kMinEntriesPerBackend);
  const auto rank = [&](const VmId& entry) {
    const uint64_t score = RendezvousScore(backend.value(), entry.value());
    return std::make_pair(score, entry);
  };
  const auto own = rank(m_options.self);
  const auto higher_ranked =
      std::count_if(entries.begin(), entries.end(),
                    [&](const VmId& entry) { return own < rank(entry); });
  return static_cast<size_t>(higher_ranked) < entries_per_backend;
}

void MembershipCore::UpdateLinks(const std::vector<VmId>& backends,
                                 MonotonicTime now) {
  if (m_options.role != VmRole::kEntry) {
    return;
  }
  std::vector<VmId> wanted = backends;
  for (const VmId& entry : StayingEntries()) {
    if (ShouldDialEntry(entry)) {
      wanted.push_back(entry);
    }
  }
  std::sort(wanted.begin(), wanted.end());
  DialWantedPeers(wanted);
  CloseUnwantedLinks(wanted, now);
}

bool MembershipCore::ShouldDialEntry(const VmId& entry) const {
  if (entry == m_options.self) {
    return false;
  }
  if (m_options.self < entry || m_dialled.contains(entry)) {
    return true;
  }
  const Peer& peer = m_peers.at(entry);
  return !peer.linked_incarnation &&
         m_now - *peer.down_since >= kReverseDialDelay;
}

void MembershipCore::DialWantedPeers(const std::vector<VmId>& wanted) {
  for (const VmId& vm : wanted) {
    const Endpoint& link = m_peers.at(vm).listed->link;
    const auto [dialled, is_new] =
        m_dialled.try_emplace(vm, DialledPeer{link, {}});
    dialled->second.unwanted_since.reset();
    if (is_new || dialled->second.link != link) {
      dialled->second.link = link;
      m_actions.push_back(DialPeer{vm, link});
    }
  }
}

void MembershipCore::CloseUnwantedLinks(const std::vector<VmId>& wanted,
                                        MonotonicTime now) {
  for (auto next = m_dialled.begin(); next != m_dialled.end();) {
    const auto current = next++;
    const VmId& vm = current->first;
    if (std::binary_search(wanted.begin(), wanted.end(), vm)) {
      continue;
    }
    std::optional<MonotonicTime>& since = current->second.unwanted_since;
    since = since.value_or(now);
    const auto peer = m_peers.find(vm);
    const bool is_up = peer != m_peers.end() && peer->second.linked_incarnation;
    if (!is_up || now - *since >= kUnwantedLinkGrace) {
      m_actions.push_back(HangupPeer{vm});
      m_dialled.erase(current);
    }
  }
}

void MembershipCore::UpdateViews(const std::vector<VmId>& backends) {
  std::vector<VmId> entries;
  for (const auto& [vm, peer] : m_peers) {
    if (AcceptsNewWork(peer) && peer.listed->role == VmRole::kEntry) {
      entries.push_back(vm);
    }
  }
  const bool is_entry = m_options.role == VmRole::kEntry;
  if (is_entry && !m_leaving && !m_self_listed_leaving) {
    entries.push_back(m_options.self);
  }
  std::sort(entries.begin(), entries.end());
  if (m_last_entries != entries) {
    m_last_entries = entries;
    m_actions.push_back(MembersChanged{std::move(entries)});
  }
  std::vector<BackendMember> members;
  for (const VmId& vm : backends) {
    const Peer& peer = m_peers.at(vm);
    if (AcceptsNewWork(peer)) {
      members.push_back({vm, peer.listed->service, peer.listed->zone});
    }
  }
  if (m_last_backends != members) {
    m_last_backends = members;
    m_actions.push_back(BackendsChanged{std::move(members)});
  }
}

}  // namespace cowslip
