#ifndef SOURCE_ENTRY_ENTRY_PEERS_H_
#define SOURCE_ENTRY_ENTRY_PEERS_H_

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "Base/ids.h"

namespace cowslip {

class PeerLink;

/// \class EntryPeersCallbacks
/// \brief Called when an entry becomes reachable and when it no longer is.
struct EntryPeersCallbacks {
  std::function<void(const VmId&)> on_up;
  std::function<void(const VmId&)> on_down;
};

/// \class EntryPeers
/// \brief Tells the links to other entries from those to side processes.
///
/// A VM counts as an entry when the VM list says so or when it speaks on a
/// channel that only entries use: an entry that restarts while the platform is
/// down has no VM list, yet hears from the entries that dial it.
class EntryPeers {
 public:
  EntryPeers(PeerLink& link, EntryPeersCallbacks callbacks);

  void LinkUp(const VmId& vm);
  void LinkDown(const VmId& vm);
  /// The VM list names these entries.
  void SetListed(const std::vector<VmId>& entries);
  /// That VM has spoken on a channel that only entries use.
  void Heard(const VmId& vm);

  /// Sends a frame to every reachable entry.
  void SendAll(const std::string& channel, const std::string& cbor);
  const std::set<VmId>& reachable() const { return m_reachable; }

 private:
  void Update(const VmId& vm);

  PeerLink& m_link;
  const EntryPeersCallbacks m_callbacks;
  std::set<VmId> m_known;
  std::set<VmId> m_linked;
  std::set<VmId> m_reachable;
};

}  // namespace cowslip

#endif  // SOURCE_ENTRY_ENTRY_PEERS_H_
