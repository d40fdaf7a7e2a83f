#ifndef SOURCE_PEERS_DIVERGENCE_DETECTOR_H_
#define SOURCE_PEERS_DIVERGENCE_DETECTOR_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "Base/ids.h"
#include "Base/time.h"

namespace cowslip {

/// \class DivergenceOptions
/// \brief When the store contents known to two processes count as diverged.
struct DivergenceOptions {
  /// How long a peer may report contents that this process has not known. A
  /// change reaches all processes within a few milliseconds.
  Duration grace_period = std::chrono::milliseconds(250);
  /// Shortest time between two refreshes of one kind.
  Duration min_refresh_interval = std::chrono::seconds(1);
  /// Own digests that are remembered for each kind, enough for the changes of
  /// some seconds: a peer that reports one of them is not ahead.
  size_t remembered_digests = 1024;
};

/// One digest for each kind of document that a process watches, over the
/// contents it knows. All processes use the same kinds in the same order. Empty
/// until the process has listed every kind.
using StoreDigests = std::vector<uint64_t>;

/// This process's own digests have changed. Send it for each change, so that
/// every state is known that a peer may report.
struct OwnDigestsChanged {
  StoreDigests digests;
};
/// A listing of this kind that began at this time has completed. Send it after
/// the OwnDigestsChanged for its result.
struct KindListed {
  size_t kind = 0;
  MonotonicTime began;
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
                                     KindListed,
                                     PeerDigestsReceived,
                                     PeerDigestsInvalidated,
                                     DivergenceTick>;

/// Read all documents of this kind again.
struct RefreshKind {
  size_t kind = 0;
  /// The peer that differs for longest, its digest and the own one.
  VmId peer;
  uint64_t peer_digest = 0;
  uint64_t own_digest = 0;
  /// How long the peer has differed.
  Duration lasted{0};
};
using DivergenceAction = std::variant<RefreshKind>;

/// \class DivergenceDetector
/// \brief Detects that a watch has missed changes: the store may drop its
/// history while watches are open, without ending them. Processes renew their
/// watches at different times, so one of them soon reads the current contents.
/// The others find that it reports contents that they never knew, and read
/// again.
///
/// All processes go through the same states, each a little later or earlier, so
/// a kind that changes all the time has different digests everywhere at any
/// time. A digest that this process once had is therefore not a difference: the
/// peer is behind. A listing that began after a peer's report has read whatever
/// that peer knew, so the report is settled too, and the peer is out of date.
class DivergenceDetector {
 public:
  explicit DivergenceDetector(DivergenceOptions options);

  std::vector<DivergenceAction> Handle(const DivergenceEvent& event,
                                       MonotonicTime now);

  /// Since when a peer reports contents of the kind that are unknown here;
  /// nullopt if none does.
  std::optional<MonotonicTime> DiffersSince(size_t kind) const {
    return kind < m_kinds.size() ? m_kinds[kind].differs_since : std::nullopt;
  }

 private:
  struct PeerDigest {
    uint64_t digest = 0;
    // When the peer first reported this digest.
    MonotonicTime received;
    // The newest state of this process that the peer has reported.
    uint64_t state = 0;
    // This process had the digest, or has listed the kind after `received`.
    bool is_settled = false;
    // Since when none of the peer's digests has been settled.
    std::optional<MonotonicTime> differs_since;
  };
  struct Kind {
    // The newest is at the end.
    std::deque<uint64_t> own_digests;
    // The number of the newest one, counted from 1.
    uint64_t last_state = 0;
    std::map<VmId, PeerDigest> peers;
    // The earliest one of the peers.
    std::optional<MonotonicTime> differs_since;
    std::optional<MonotonicTime> last_refresh;
  };

  void Apply(const OwnDigestsChanged& event, MonotonicTime now);
  void Apply(const KindListed& event, MonotonicTime now);
  void Apply(const PeerDigestsReceived& event, MonotonicTime now);
  void Apply(const PeerDigestsInvalidated& event, MonotonicTime now);
  void Apply(const DivergenceTick&, MonotonicTime) {}
  static void Settle(PeerDigest& peer);
  /// Settles the peer's digest if this process had it, and the peer has not
  /// reported a newer state before.
  static void SettleIfKnown(const Kind& kind, PeerDigest& peer);
  /// Returns the action that is due for the kind, if any.
  std::optional<DivergenceAction> RefreshIfDue(size_t index, MonotonicTime now);

  const DivergenceOptions m_options;
  std::vector<Kind> m_kinds;
};

}  // namespace cowslip

#endif  // SOURCE_PEERS_DIVERGENCE_DETECTOR_H_
