#ifndef SOURCE_PLACEMENT_EVACUATION_CORE_H_
#define SOURCE_PLACEMENT_EVACUATION_CORE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "Base/ids.h"
#include "Base/time.h"
#include "Peers/evacuated_zone.h"

namespace cowslip {

class PeerTable;

/// \class EvacuationOptions
/// \brief Timing of the reports about evacuations.
struct EvacuationOptions {
  VmId self;
  /// How long the report that a zone is empty waits for a process that has not
  /// reported so and is silent: the bound of evacuations. By then a process
  /// that still reaches the store knows the entry itself.
  Duration silent_peer_wait = std::chrono::seconds(5);
  /// Time between attempts to write a status while the store fails.
  Duration retry_interval = std::chrono::seconds(1);
  /// Bounds a report to about 2 kB; a deployment has a few zones.
  size_t max_reported_zones = 64;
};

/// How a process has learned of an entry or of its removal.
enum class EvacuationSource { kList, kWatch, kPeer };

/// The store holds an entry at this version.
struct EvacuationWritten {
  ZoneId zone;
  ObjectVersion version;
  /// The version at which the entry was created; 0 if the store does not tell.
  ObjectVersion created;
  /// Its status reports the zone as empty.
  bool completed = false;
  EvacuationSource source = EvacuationSource::kWatch;
};
/// The store held no entry at this version, or the last one was of this
/// version.
struct EvacuationRemoved {
  ZoneId zone;
  ObjectVersion version;
  EvacuationSource source = EvacuationSource::kWatch;
};
/// A listing as of this version has been reported completely.
struct EvacuationsListed {
  ObjectVersion as_of;
};
/// A peer has sent what it knows.
struct PeerEvacuationsReported {
  VmId vm;
  /// It has listed the entries, or has heard of them from a process that has.
  bool knows_entries = false;
  std::vector<EvacuatedZone> zones;
};
/// A peer is new or was started again: its earlier reports do not apply.
struct PeerEvacuationsForgotten {
  VmId vm;
};
struct EvacuationStoreLost {};
struct EvacuationStoreRegained {};
/// The write of a status has succeeded.
struct EvacuationStatusStored {
  ZoneId zone;
  ObjectVersion version;
};
/// The write of a status has failed.
struct EvacuationStatusFailed {
  ZoneId zone;
};
/// Time has passed. Tells the zones in which this process has requests in
/// flight.
struct EvacuationTick {
  std::set<ZoneId> busy_zones;
};
using EvacuationEvent = std::variant<EvacuationWritten,
                                     EvacuationRemoved,
                                     EvacuationsListed,
                                     PeerEvacuationsReported,
                                     PeerEvacuationsForgotten,
                                     EvacuationStoreLost,
                                     EvacuationStoreRegained,
                                     EvacuationStatusStored,
                                     EvacuationStatusFailed,
                                     EvacuationTick>;

/// Send nothing to the zone from now on.
struct ApplyEvacuation {
  ZoneId zone;
  ObjectVersion version;
  EvacuationSource source = EvacuationSource::kWatch;
};
/// The zone may be used again.
struct LiftEvacuation {
  ZoneId zone;
  ObjectVersion version;
  EvacuationSource source = EvacuationSource::kWatch;
};
/// Write the status that reports the zone as empty, on the condition that the
/// entry is still at this version.
struct WriteEvacuationStatus {
  ZoneId zone;
  ObjectVersion version;
};
using EvacuationAction =
    std::variant<ApplyEvacuation, LiftEvacuation, WriteEvacuationStatus>;

/// \class EvacuationCore
/// \brief Knows which availability zones are being evacuated, from the store
/// and from the other processes, and when such a zone is empty.
///
/// Answers a zone that must get no requests within a bound while watches are
/// silent, the store is down or has lost its history, or this process has just
/// started: each process reports the entries and the removals that it knows,
/// so one that reads the store suffices. The versions order what is reported:
/// an entry counts if it is newer than the known removal, a removal if it is
/// not older than the known entry, so reports that arrive late neither restore
/// an entry nor remove one. A process that never knew an entry reports no
/// removal.
///
/// The first live process by rendezvous hashing of the zone writes the entry's
/// status when each process has reported the entry as in force and nothing in
/// flight. A silent process is waited for until `silent_peer_wait` after its
/// silence began, since it may be cut off and still run requests.
class EvacuationCore {
 public:
  EvacuationCore(EvacuationOptions options, const PeerTable& peers);

  std::vector<EvacuationAction> Handle(const EvacuationEvent& event,
                                       MonotonicTime now);

  bool IsEvacuated(const ZoneId& zone) const;
  std::set<ZoneId> EvacuatedZones() const;
  /// Entries and removals, for reports to the other processes. `in_flight` is
  /// left to the caller.
  std::vector<EvacuatedZone> ZonesToReport() const;
  /// Whether the entries were listed, by this process or by a peer that has
  /// reported them.
  bool knows_entries() const { return m_knows_entries; }

 private:
  struct Entry {
    ObjectVersion version;
    /// Where the entry began: a report of an older version is about an earlier
    /// entry of the zone.
    ObjectVersion added;
    /// The version that this process has read from the store itself; 0 if it
    /// knows the entry from peers only.
    ObjectVersion stored;
    bool completed = false;
    bool write_pending = false;
    MonotonicTime next_write;
  };
  struct Peer {
    std::map<ZoneId, EvacuatedZone> zones;
    MonotonicTime heard;
  };

  void Apply(const EvacuationWritten& event, MonotonicTime now);
  void Apply(const EvacuationRemoved& event, MonotonicTime now);
  void Apply(const EvacuationsListed& event, MonotonicTime now);
  void Apply(const PeerEvacuationsReported& event, MonotonicTime now);
  void Apply(const PeerEvacuationsForgotten& event, MonotonicTime now);
  void Apply(const EvacuationStoreLost&, MonotonicTime now);
  void Apply(const EvacuationStoreRegained&, MonotonicTime now);
  void Apply(const EvacuationStatusStored& event, MonotonicTime now);
  void Apply(const EvacuationStatusFailed& event, MonotonicTime now);
  void Apply(const EvacuationTick& event, MonotonicTime now);
  void TrackPeers(MonotonicTime now);
  /// Whether every other process has nothing in flight in the zone, as far as
  /// this process can know.
  bool IsEmptyAtPeers(const ZoneId& zone,
                      const Entry& entry,
                      MonotonicTime now) const;

  const EvacuationOptions m_options;
  const PeerTable& m_peer_table;
  std::map<ZoneId, Entry> m_entries;
  // The newest known removal of each zone's entries.
  std::map<ZoneId, ObjectVersion> m_removals;
  std::map<VmId, Peer> m_peers;
  ObjectVersion m_listed_as_of;
  bool m_knows_entries = false;
  bool m_reaches_store = false;
  std::vector<EvacuationAction> m_actions;
};

}  // namespace cowslip

#endif  // SOURCE_PLACEMENT_EVACUATION_CORE_H_
