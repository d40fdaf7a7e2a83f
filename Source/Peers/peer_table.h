#ifndef SOURCE_PEERS_PEER_TABLE_H_
#define SOURCE_PEERS_PEER_TABLE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "Base/endpoint.h"
#include "Base/ids.h"
#include "Base/time.h"
#include "Peers/peer_message.h"

namespace cowslip {

/// \class PeerRecord
/// \brief One process of the system, as it is registered in the store.
struct PeerRecord {
  VmId vm;
  /// Where it takes datagrams.
  Endpoint address;
  Incarnation incarnation;

  friend bool operator==(const PeerRecord&, const PeerRecord&) = default;
};

/// \class PeerTableOptions
/// \brief When a peer counts as silent, and when as gone.
struct PeerTableOptions {
  VmId self;
  /// Four heartbeats, so that lost datagrams do not count as silence.
  Duration silent_after = std::chrono::milliseconds(1000);
  /// Longer than any restart: after this the VM is taken to be removed, and its
  /// registration may be deleted.
  Duration gone_after = std::chrono::seconds(45);
};

/// The registrations in the store, this process's own included.
struct PeersListed {
  std::vector<PeerRecord> peers;
};
/// A datagram has come.
struct PeerHeard {
  PeerMessage message;
};
/// Time has passed.
struct PeerTick {};
using PeerEvent = std::variant<PeersListed, PeerHeard, PeerTick>;

/// The number of members, or of silent ones, has changed.
struct PeersCounted {
  uint32_t members = 1;
  uint32_t silent = 0;
};
/// A peer is heard that was silent, or in a new incarnation.
struct PeerAppeared {
  VmId vm;
  Incarnation incarnation;
};
/// Nothing has been heard from a peer for `silent_after`.
struct PeerFellSilent {
  VmId vm;
};
/// The peer's registration is to be deleted.
struct PeerGone {
  VmId vm;
};
using PeerAction =
    std::variant<PeersCounted, PeerAppeared, PeerFellSilent, PeerGone>;

/// \class PeerTable
/// \brief Knows which processes of the system live, from their registrations
/// and their datagrams.
class PeerTable {
 public:
  explicit PeerTable(PeerTableOptions options);

  std::vector<PeerAction> Handle(const PeerEvent& event, MonotonicTime now);

  /// Whether that very incarnation has been heard lately. A process that is
  /// registered but was never heard counts as live for `silent_after`.
  bool IsLive(const VmId& vm, Incarnation incarnation) const;
  /// The processes that live, this one included, in order of name.
  std::vector<VmId> Live() const;
  /// Where datagrams go.
  std::vector<Endpoint> Addresses() const;
  /// The address of a live peer that reaches the store, one of them by `draw`;
  /// nullopt when there is none.
  std::optional<Endpoint> PickWithStore(uint64_t draw) const;
  size_t members() const { return m_peers.size() + 1; }

 private:
  struct Peer {
    Endpoint address;
    Incarnation incarnation;
    uint64_t sequence = 0;
    MonotonicTime heard;
    bool silent = false;
    bool draining = false;
    bool reaches_store = false;
    bool removal_asked = false;
  };

  void Apply(const PeersListed& event, MonotonicTime now);
  void Apply(const PeerHeard& event, MonotonicTime now);
  void Apply(const PeerTick&, MonotonicTime now);
  void Appear(const VmId& vm, Peer& peer, Incarnation incarnation);
  void Count();
  bool IsFirstLive() const;

  const PeerTableOptions m_options;
  std::map<VmId, Peer> m_peers;
  PeersCounted m_counted;
  std::vector<PeerAction> m_actions;
};

}  // namespace cowslip

#endif  // SOURCE_PEERS_PEER_TABLE_H_
