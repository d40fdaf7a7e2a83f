#include "Entry/entry_peers.h"

#include "Link/peer_link.h"

namespace cowslip {

EntryPeers::EntryPeers(PeerLink& link, EntryPeersCallbacks callbacks)
    : m_link(link), m_callbacks(std::move(callbacks)) {}

void EntryPeers::LinkUp(const VmId& vm) {
  // A new link may be to a new incarnation, which knows nothing yet.
  LinkDown(vm);
  m_linked.insert(vm);
  Update(vm);
}

void EntryPeers::LinkDown(const VmId& vm) {
  m_linked.erase(vm);
  if (m_reachable.erase(vm) > 0) {
    m_callbacks.on_down(vm);
  }
}

void EntryPeers::SetListed(const std::vector<VmId>& entries) {
  for (const VmId& vm : entries) {
    Heard(vm);
  }
}

void EntryPeers::Heard(const VmId& vm) {
  if (m_known.insert(vm).second) {
    Update(vm);
  }
}

void EntryPeers::Update(const VmId& vm) {
  const bool reachable = m_known.contains(vm) && m_linked.contains(vm);
  if (reachable && m_reachable.insert(vm).second) {
    m_callbacks.on_up(vm);
  }
}

void EntryPeers::SendAll(const std::string& channel, const std::string& cbor) {
  for (const VmId& vm : m_reachable) {
    m_link.Send(vm.value(), channel, cbor);
  }
}

}  // namespace cowslip
