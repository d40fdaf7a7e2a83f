#ifndef SOURCE_PEERS_DIVERGENCE_DETECTOR_H_
#define SOURCE_PEERS_DIVERGENCE_DETECTOR_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "Base/ids.h"
#include "Base/time.h"

namespace cowslip {

/// \class DivergenceOptions
/// \brief How long the store contents known to two processes may differ.
struct DivergenceOptions {
  /// How long a difference is tolerated. A change reaches all processes within
  /// a few milliseconds, and their digests follow within one gossip interval.
  Duration grace_period = std::chrono::milliseconds(250);
  /// Shortest time between two refreshes of one kind. If a refresh does not end
  /// the difference, the other process is out of date and has to refresh.
  Duration min_refresh_interval = std::chrono::seconds(1);
};

/// One digest for each kind of document that a process watches, over the
/// contents it knows. All processes use the same kinds in the same order.
using StoreDigests = std::vector<uint64_t>;

/// This process's own digests have changed.
struct OwnDigestsChanged {
  StoreDigests digests;
};
/// A peer that reaches the store has sent its digests.
struct PeerDigestsReceived {
  VmId vm;
  StoreDigests digests;
};
/// A peer's digests are no longer compared: it is silent, or does not reach the
/// store.
struct PeerDigestsInvalidated {
  VmId vm;
};
/// Time has passed.
struct DivergenceTick {};
using DivergenceEvent = std::variant<OwnDigestsChanged,
                                     PeerDigestsReceived,
                                     PeerDigestsInvalidated,
                                     DivergenceTick>;

/// Read all documents of this kind again.
struct RefreshKind {
  size_t kind = 0;
  /// One of the peers that differ, its digest and the own one.
  VmId peer;
  uint64_t peer_digest = 0;
  uint64_t own_digest = 0;
  /// How long some peer has differed.
  Duration lasted{0};
};
using DivergenceAction = std::variant<RefreshKind>;

/// \class DivergenceDetector
/// \brief Detects that a watch has missed changes: the store may drop its
/// history while watches are open, without ending them. Processes renew their
/// watches at different times, so one of them soon reads the current contents.
/// The others find that their digests differ from its digest and read again.
class DivergenceDetector {
 public:
  explicit DivergenceDetector(DivergenceOptions options);

  std::vector<DivergenceAction> Handle(const DivergenceEvent& event,
                                       MonotonicTime now);

 private:
  void Compare(MonotonicTime now);
  /// A peer whose digest of this kind differs, or the end.
  std::map<VmId, StoreDigests>::const_iterator FindDiffering(size_t kind) const;

  const DivergenceOptions m_options;
  StoreDigests m_own_digests;
  std::map<VmId, StoreDigests> m_peer_digests;
  // For each kind: since when some peer differs, and the last refresh.
  std::vector<std::optional<MonotonicTime>> m_differs_since;
  std::vector<std::optional<MonotonicTime>> m_last_refresh;
};

}  // namespace cowslip

#endif  // SOURCE_PEERS_DIVERGENCE_DETECTOR_H_
