#ifndef SOURCE_PLACEMENT_VERSION_HISTORY_CORE_H_
#define SOURCE_PLACEMENT_VERSION_HISTORY_CORE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "Base/ids.h"
#include "Base/time.h"
#include "Fleet/backend_record.h"
#include "Placement/service_versions.h"

namespace cowslip {

class PeerTable;

/// \class VersionHistoryOptions
/// \brief How long a software version counts, and which processes record it.
struct VersionHistoryOptions {
  VmId self;
  /// How long a version counts after its last backend server has gone: longer
  /// than any stream that it began can be resumed.
  Duration memory = std::chrono::seconds(30);
  /// How many live processes, picked by rendezvous hashing of the service, keep
  /// its record up to date. The second one covers the loss of the first.
  size_t recorders = 2;
  /// How much later than the first one the second one acts: a write takes a few
  /// round trips, and two writes at once conflict.
  Duration recorder_delay = std::chrono::milliseconds(500);
  /// Time between attempts while calls to the store fail, and between checks
  /// whether this process has become a recorder.
  Duration retry_interval = std::chrono::seconds(1);
};

/// A backend server is listed in service discovery, or its entry has changed.
struct VersionListed {
  BackendId backend;
  ServiceId service;
  SoftwareVersion version;
};
/// A backend server is no longer listed.
struct VersionUnlisted {
  BackendId backend;
};
/// All entries of backend servers have been read. Versions that came and went
/// before may have been missed.
struct VersionsListedCompletely {};
/// Changes may be missed from now on, until all entries are read again.
struct VersionWatchInterrupted {};
/// The store was read: each entry that was written before the read began is
/// known.
struct VersionsReadUpTo {
  MonotonicTime began;
};
/// The services whose streams callers may resume; no others are recorded.
struct ResumableServicesChanged {
  std::set<ServiceId> services;
};
/// The record was read, or a write of it succeeded.
struct VersionRecordKnown {
  ServiceId service;
  /// nullopt if there is none.
  std::optional<ServiceVersions> record;
  /// When the call began: versions recorded later are not in it.
  MonotonicTime began;
};
/// A read or a write of the record has failed. A write may have taken effect,
/// or may still do so.
struct VersionRecordCallFailed {
  ServiceId service;
  bool in_doubt = false;
};
/// A caller resumes a stream of the service whose origin is not known.
struct VersionRecordNeeded {
  ServiceId service;
};
struct VersionHistoryTick {};
using VersionHistoryEvent = std::variant<VersionListed,
                                         VersionUnlisted,
                                         VersionsListedCompletely,
                                         VersionWatchInterrupted,
                                         VersionsReadUpTo,
                                         ResumableServicesChanged,
                                         VersionRecordKnown,
                                         VersionRecordCallFailed,
                                         VersionRecordNeeded,
                                         VersionHistoryTick>;

/// Read the record of the service from the store.
struct ReadVersionRecord {
  ServiceId service;
};
/// Write the record of the service, on the condition that the stored one is
/// still at `record.revision`; create it if that is 0.
struct WriteVersionRecord {
  ServiceId service;
  ServiceVersions record;
};
using VersionHistoryAction =
    std::variant<ReadVersionRecord, WriteVersionRecord>;

/// \class VersionHistoryCore
/// \brief Knows which software versions of a service have served lately, also
/// before this process started.
///
/// Answers the loss of all gateways during a release: the origins of streams
/// are lost with them, and a process that has just started sees only the
/// versions that are left. A stream must not go on at another version than the
/// one that began it, so the versions that serve are recorded in the store.
/// A record costs a write when a version appears and one when it has been gone
/// for `memory`; it is read by a recorder that starts, and by a process that
/// has watched for less than `memory` when a stream of unknown origin is
/// resumed.
///
/// Answers a process that is behind, too: it stood still, is cut off, or its
/// watch is silent, while versions join that begin streams at other processes.
/// What it has seen tells which versions there were, but not that there are no
/// others. A version counts as the only one only if the store was read after
/// the caller asked: whatever began the stream was listed by then.
class VersionHistoryCore {
 public:
  /// What is known about the versions of a service.
  enum class Knowledge {
    /// Only one version has served lately.
    kSoleVersion,
    kSeveralVersions,
    /// The record must be read first.
    kRecordNeeded,
    /// Only one version is known, but the store must be read first: others may
    /// have been listed before the caller asked.
    kViewOutdated,
    /// The backend servers were not listed yet, or not since an interruption,
    /// or there is no record.
    kUnknown,
  };
  struct Verdict {
    Knowledge knowledge = Knowledge::kUnknown;
    /// The versions that count, sorted.
    std::set<SoftwareVersion> versions;
    /// Since when this process has watched without a gap.
    Duration watched{0};
    /// The age of the newest read of the entries; nullopt before the first.
    std::optional<Duration> view_age;
  };

  VersionHistoryCore(VersionHistoryOptions options, const PeerTable& peers);

  std::vector<VersionHistoryAction> Handle(const VersionHistoryEvent& event,
                                           MonotonicTime now);

  /// What is known about the versions that may have begun a stream whose
  /// caller asked at the time `asked`.
  Verdict Judge(const ServiceId& service,
                MonotonicTime asked,
                MonotonicTime now) const;

 private:
  struct Service {
    /// When the last backend server of a version has gone; nullopt while it is
    /// listed.
    std::map<SoftwareVersion, std::optional<MonotonicTime>> seen;
    /// The stored record as last known; a revision of 0 if there is none.
    ServiceVersions record;
    bool record_known = false;
    /// When the call that last told the record began.
    MonotonicTime record_read;
    bool call_pending = false;
    /// The revision at which a write got no response. It may still take effect
    /// while the record is at that revision.
    std::optional<ObjectVersion> in_doubt;
    MonotonicTime changed;
    MonotonicTime next_check;
  };

  void Apply(const VersionListed& event, MonotonicTime now);
  void Apply(const VersionUnlisted& event, MonotonicTime now);
  void Apply(const VersionsListedCompletely&, MonotonicTime now);
  void Apply(const VersionWatchInterrupted&, MonotonicTime now);
  void Apply(const VersionsReadUpTo& event, MonotonicTime now);
  void Apply(const ResumableServicesChanged& event, MonotonicTime now);
  void Apply(const VersionRecordKnown& event, MonotonicTime now);
  void Apply(const VersionRecordCallFailed& event, MonotonicTime now);
  void Apply(const VersionRecordNeeded& event, MonotonicTime now);
  void Apply(const VersionHistoryTick&, MonotonicTime now);
  void MarkChanged(Service& service, MonotonicTime now);
  void MarkGone(const ServiceId& service,
                const SoftwareVersion& version,
                MonotonicTime now);
  void Read(const ServiceId& id, Service& service);
  /// Reads or writes the record if this process is to keep it up to date.
  void MaybeRecord(const ServiceId& id, Service& service, MonotonicTime now);
  /// The versions that have served within `memory`, as far as this process has
  /// seen.
  std::set<SoftwareVersion> SeenLately(const Service& service,
                                       MonotonicTime now) const;
  /// The versions that the record should hold.
  std::set<SoftwareVersion> Wanted(const Service& service,
                                   MonotonicTime now) const;
  bool HasWatchedLongEnough(MonotonicTime now) const;
  /// What is known from the entries and the record, up to the newest read.
  Verdict JudgeKnown(const ServiceId& service, MonotonicTime now) const;

  const VersionHistoryOptions m_options;
  const PeerTable& m_peers;
  std::map<BackendId, std::pair<ServiceId, SoftwareVersion>> m_backends;
  std::map<ServiceId, Service> m_services;
  std::set<ServiceId> m_resumable;
  std::optional<MonotonicTime> m_watched_since;
  std::optional<MonotonicTime> m_read_up_to;
  std::vector<VersionHistoryAction> m_actions;
};

}  // namespace cowslip

#endif  // SOURCE_PLACEMENT_VERSION_HISTORY_CORE_H_
