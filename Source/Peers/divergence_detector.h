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
/// \brief How long processes may differ in what they know of the store.
struct DivergenceOptions {
  /// A change reaches all processes within a few milliseconds, and their
  /// digests within a gossip interval more.
  Duration patience = std::chrono::milliseconds(250);
  /// Between two refreshes of one kind: a difference that a refresh does not
  /// end is the other side's to end.
  Duration refresh_pause = std::chrono::seconds(1);
};

/// Digests of what a process knows of each kind of document it follows. All
/// processes follow the same kinds in the same order.
using StoreDigests = std::vector<uint64_t>;

/// This process's own digests are these now.
struct OwnDigests {
  StoreDigests digests;
};
/// A peer that reaches the store has these.
struct PeerDigests {
  VmId vm;
  StoreDigests digests;
};
/// What a peer knows does not count any more: it is silent, or does not reach
/// the store.
struct PeerDigestsForgotten {
  VmId vm;
};
/// Time has passed.
struct DivergenceTick {};
using DivergenceEvent =
    std::variant<OwnDigests, PeerDigests, PeerDigestsForgotten, DivergenceTick>;

/// Read that kind again.
struct RefreshKind {
  size_t kind = 0;
};
using DivergenceAction = std::variant<RefreshKind>;

/// \class DivergenceDetector
/// \brief Notices that a watch has missed changes: the store may drop its
/// history while watches wait, without ending them. Watches are renewed by one
/// process after the other, so one of them sees the truth soon; the others see
/// by its digest that they differ, and read again.
class DivergenceDetector {
 public:
  explicit DivergenceDetector(DivergenceOptions options);

  std::vector<DivergenceAction> Handle(const DivergenceEvent& event,
                                       MonotonicTime now);

 private:
  void Compare(MonotonicTime now);
  bool Differs(size_t kind) const;

  const DivergenceOptions m_options;
  StoreDigests m_own;
  std::map<VmId, StoreDigests> m_peers;
  // For each kind: since when some peer differs, and the last refresh.
  std::vector<std::optional<MonotonicTime>> m_since;
  std::vector<std::optional<MonotonicTime>> m_refreshed;
};

}  // namespace cowslip

#endif  // SOURCE_PEERS_DIVERGENCE_DETECTOR_H_
