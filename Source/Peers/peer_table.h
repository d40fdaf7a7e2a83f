#ifndef SOURCE_PEERS_PEER_TABLE_H_
#define SOURCE_PEERS_PEER_TABLE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "Base/endpoint.h"
#include "Base/ids.h"
#include "Base/time.h"
#include "Fleet/home_regions.h"
#include "Peers/peer_message.h"

namespace cowslip {

/// \class PeerRecord
/// \brief One process of the system, as it is registered in the store.
struct PeerRecord {
  VmId vm;
  /// Address at which it receives datagrams.
  Endpoint address;
  Incarnation incarnation;
  /// The region of its VM; empty if it is not known.
  RegionId region{};

  friend bool operator==(const PeerRecord&, const PeerRecord&) = default;
};

/// \class PeerTableOptions
/// \brief Timeouts after which a peer counts as silent and is removed.
struct PeerTableOptions {
  VmId self;
  /// The region of this VM; empty if it is not known.
  RegionId region{};
  /// Four heartbeats, so that lost datagrams do not count as silence.
  Duration silent_after = std::chrono::milliseconds(1000);
  /// Longer than any restart. A VM that is silent for this long is taken to be
  /// removed, and its registration may be deleted.
  Duration remove_after = std::chrono::seconds(45);
};

/// The registrations in the store, this process's own included.
struct PeerListRead {
  std::vector<PeerRecord> peers;
};
/// A datagram has been received.
struct PeerMessageReceived {
  PeerMessage message;
};
/// The timer that checks for silent peers has fired.
struct PeerTick {};
using PeerEvent = std::variant<PeerListRead, PeerMessageReceived, PeerTick>;

/// The number of members or of silent members has changed.
struct PeerCountsChanged {
  uint32_t members = 1;
  uint32_t silent = 0;
};
/// A peer has become live: it is new, has a new incarnation, or was silent.
struct PeerAppeared {
  VmId vm;
  Incarnation incarnation;
};
/// No datagram has been received from a peer for `silent_after`.
struct PeerFellSilent {
  VmId vm;
};
/// Delete the peer's registration in the store.
struct RemovePeerRegistration {
  VmId vm;
};
using PeerAction = std::variant<PeerCountsChanged,
                                PeerAppeared,
                                PeerFellSilent,
                                RemovePeerRegistration>;

/// \class PeerTable
/// \brief Tracks which processes of the system are live, from their
/// registrations and their datagrams.
class PeerTable {
 public:
  explicit PeerTable(PeerTableOptions options);

  std::vector<PeerAction> Handle(const PeerEvent& event, MonotonicTime now);

  /// Whether this incarnation has sent a datagram within `silent_after`. A
  /// newly registered process counts as live for that time.
  bool IsLive(const VmId& vm, Incarnation incarnation) const;
  /// The live processes that are not draining, including this one, sorted by
  /// name.
  std::vector<VmId> LiveProcesses() const;
  /// Those of them that are in these regions.
  std::vector<VmId> LiveProcessesIn(const HomeRegions& regions) const;
  /// The other processes that are registered, live or not.
  std::set<VmId> RegisteredPeers() const;
  /// Where a registered peer receives datagrams and calls.
  std::optional<Endpoint> AddressOf(const VmId& vm) const;
  /// Addresses of all registered peers, to which datagrams are sent.
  std::vector<Endpoint> Addresses() const;
  /// The address of a live peer that reaches the store, selected by the random
  /// number `random`; nullopt when there is none.
  std::optional<Endpoint> PickPeerReachingStore(uint64_t random) const;
  /// As above, among the peers in the region of this VM.
  std::optional<Endpoint> PickNearPeerReachingStore(uint64_t random) const;
  size_t members() const { return m_peers.size() + 1; }

 private:
  struct Peer {
    Endpoint address;
    Incarnation incarnation;
    RegionId region;
    uint64_t sequence = 0;
    MonotonicTime last_received;
    bool silent = false;
    bool draining = false;
    bool reaches_store = false;
    bool removal_requested = false;
  };

  void Apply(const PeerListRead& event, MonotonicTime now);
  void Apply(const PeerMessageReceived& event, MonotonicTime now);
  void Apply(const PeerTick&, MonotonicTime now);
  void MarkLive(const VmId& vm, Peer& peer, Incarnation incarnation);
  void UpdateCounts();
  bool IsFirstLive() const;
  std::optional<Endpoint> PickReachingStore(const HomeRegions& regions,
                                            uint64_t random) const;

  const PeerTableOptions m_options;
  std::map<VmId, Peer> m_peers;
  PeerCountsChanged m_last_counts;
  std::vector<PeerAction> m_actions;
};

}  // namespace cowslip

#endif  // SOURCE_PEERS_PEER_TABLE_H_
