#ifndef SOURCE_PLACEMENT_ABORTED_RUN_TRACKER_H_
#define SOURCE_PLACEMENT_ABORTED_RUN_TRACKER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "Base/fingerprint.h"
#include "Base/ids.h"
#include "Base/time.h"
#include "Peers/peer_message.h"

namespace cowslip {

class PeerTable;

/// \class AbortedRunTrackerOptions
/// \brief When a request is blocked because runs of it were aborted.
struct AbortedRunTrackerOptions {
  /// This process.
  VmId self;
  Incarnation incarnation{};
  /// Aborted runs of one request, summed over all processes, after which it is
  /// not sent again. A harmless request reaches this number in a row only while
  /// most backend servers fail.
  uint32_t block_threshold = 3;
  /// How long an aborted run counts: longer than callers keep retrying a
  /// request, shorter than it takes to repair a backend server that failed on
  /// it.
  Duration lifetime = std::chrono::minutes(10);
  /// After this time a blocked request is tried once, because it may have run
  /// beside those that crashed the backend servers.
  Duration first_trial_delay = std::chrono::seconds(2);
  /// Each trial multiplies that time.
  uint32_t trial_delay_factor = 4;
  /// The process that comes next in the order of a request's trials waits this
  /// much longer, so that it knows of the trial of the one before.
  Duration trial_stagger = std::chrono::seconds(2);
  /// Trials of a blocked request at all processes together.
  uint32_t max_trials = 3;
  /// How long a process reports the aborted and completed runs that it has
  /// seen. Reports are repeated, so lost datagrams are made up for within a
  /// fraction of this.
  Duration report_duration = std::chrono::seconds(5);
  /// Maximum number of requests per report, the newest first: about 3 kB of a
  /// datagram. The same number of completed requests.
  size_t max_reported = 64;
  /// How many processes relay what blocks requests in one round of reports, on
  /// average, however many there are.
  uint32_t relaying_processes = 2;
  /// Maximum number of blocked requests that are relayed, the newest first:
  /// about 3 kB of a datagram.
  size_t max_relayed = 8;
  /// Maximum number of tracked requests; the oldest are evicted first.
  size_t max_records = 4000;
  /// Maximum number of blocked requests that are recorded, the newest first: a
  /// document of about 50 kB.
  size_t max_recorded = 64;
  /// When a request that is blocked until the records are read may come again:
  /// a store that can be reached is read within a few round trips.
  Duration unread_records_delay = std::chrono::milliseconds(500);
};

/// During a run of the request, the connection to the backend server was closed
/// or failed, or the response was malformed. Read timeouts do not count.
struct RunAborted {
  Fingerprint fingerprint;
};
/// A blocked request is sent to a backend server. The trial counts as an
/// aborted run until a run is completed, so RunAborted doesn't follow.
struct TrialBegun {
  Fingerprint fingerprint;
};
/// The trial was not run: the backend server rejected it or was not reached.
struct TrialNotRun {
  Fingerprint fingerprint;
};
/// The request was run to completion.
struct RunCompleted {
  Fingerprint fingerprint;
};
/// Another process reported aborted and completed runs.
struct PeerAbortedRunsReported {
  VmId vm;
  std::vector<AbortedRuns> runs;
  Incarnation incarnation{};
  std::vector<CompletedRequest> completed{};
  /// It has run since before this process started, so it knows what happened
  /// before.
  bool has_run_longer = false;
};
/// This process has started and does not know yet what earlier ones have
/// recorded; AbortedRunRecordsRead follows.
struct AbortedRunRecordsAwaited {};
/// What earlier processes have recorded.
struct AbortedRunRecordsRead {
  std::vector<AbortedRuns> runs;
  /// Whether the store could be reached when this process started. Otherwise
  /// those that ended then may have been unable to record their last runs.
  bool are_complete = true;
};
using AbortedRunEvent = std::variant<RunAborted,
                                     TrialBegun,
                                     TrialNotRun,
                                     RunCompleted,
                                     PeerAbortedRunsReported,
                                     AbortedRunRecordsAwaited,
                                     AbortedRunRecordsRead>;

/// \class AbortedRunTracker
/// \brief Detects requests that crash the backend servers that run them, also
/// when callers keep retrying such a request through any VM.
///
/// Each process counts the aborted runs that it observes and reports them to
/// the other processes, so that the count covers the fleet. What blocks a
/// request is relayed as long as it counts, so that a process that starts
/// learns it. Counts are kept by the process that has observed the runs, so
/// none is added twice. A request that caused a crash cannot be distinguished
/// from those that ran at the same time, so only consecutive aborted runs
/// without a completed one in between count. A harmless request may reach the
/// threshold while many backend servers crash, so a blocked one is tried a few
/// times, at one process after the other.
///
/// What blocks a request is recorded in the store, so that it outlives a loss
/// of all processes. Until the records are read, one aborted run blocks a
/// request. Where the records may lack the last runs, a request without one is
/// blocked so early that all its runs together are no more than the trials of a
/// blocked request.
class AbortedRunTracker {
 public:
  /// Without `peers`, this process takes itself to be the only one.
  explicit AbortedRunTracker(AbortedRunTrackerOptions options,
                             const PeerTable* peers = nullptr);

  void Handle(const AbortedRunEvent& event, MonotonicTime now);

  bool empty() const { return m_records.empty(); }
  /// Whether too many runs of the request were aborted for it to be sent again.
  bool IsBlocked(const Fingerprint& fingerprint, MonotonicTime now) const;
  /// Time until this process may try the request; zero when a trial is due, the
  /// time until the block ends when there are no more trials. Nullopt for a
  /// request that is not blocked.
  std::optional<Duration> TimeUntilTrial(const Fingerprint& fingerprint,
                                         MonotonicTime now) const;
  /// The aborted runs to report to the other processes: those that this process
  /// has observed lately, and in its turn those that block a request.
  std::vector<AbortedRuns> RunsToReport(MonotonicTime now) const;
  /// The requests with aborted runs that this process has run to completion
  /// lately.
  std::vector<CompletedRequest> CompletionsToReport(MonotonicTime now) const;
  /// What this VM has to record: the runs, whoever has observed them, that
  /// block requests of which it has observed a run.
  std::vector<AbortedRuns> RunsToRecord(MonotonicTime now) const;
  /// Increases whenever RunsToRecord() has to be recorded anew.
  uint64_t record_changes() const { return m_record_changes; }
  /// Whether what earlier processes have recorded is known.
  bool records_are_known() const { return m_records_are_known; }

 private:
  /// A process that observes runs.
  using Observer = std::pair<VmId, Incarnation>;
  /// The aborted runs that one process has observed.
  struct Observed {
    uint32_t count = 0;
    /// How many of them came before a completed run.
    uint32_t cleared = 0;
    MonotonicTime last;
  };
  struct Record {
    std::map<Observer, Observed> observed;
    MonotonicTime last_abort;
    /// When the last known run was completed.
    MonotonicTime completed;
    /// When this process last completed a run, and until when it reports that.
    MonotonicTime own_completed;
    MonotonicTime report_completed_until;
    /// Whether an earlier process has recorded the request.
    bool was_recorded = false;
  };

  void Apply(const RunAborted& event, MonotonicTime now);
  void Apply(const TrialBegun& event, MonotonicTime now);
  void Apply(const TrialNotRun& event, MonotonicTime now);
  void Apply(const RunCompleted& event, MonotonicTime now);
  void Apply(const PeerAbortedRunsReported& event, MonotonicTime now);
  void Apply(const AbortedRunRecordsAwaited&, MonotonicTime now);
  void Apply(const AbortedRunRecordsRead& event, MonotonicTime now);
  void RecordOwnRun(const Fingerprint& fingerprint, MonotonicTime now);
  void RecordAbortedRuns(const Observer& observer,
                         const AbortedRuns& runs,
                         MonotonicTime now);
  void RecordCompletion(Record& record, MonotonicTime time);
  static uint32_t CountOf(const Record& record);
  /// Whether this VM has observed a run of the request.
  bool HasObserved(const Record& record) const;
  /// Counts the runs that may have been lost with all processes, see
  /// AbortedRunRecordsRead::are_complete.
  void AssumeLostRuns(Record& record, MonotonicTime now);
  bool IsBlocked(const Record& record, MonotonicTime now) const;
  /// How many other processes try the request before this one.
  int64_t ProcessesBefore(const Fingerprint& fingerprint) const;
  /// Whether it is this process's turn to relay.
  bool IsRelaying(MonotonicTime now) const;
  void RemoveExpired(MonotonicTime now);
  void EvictExcess();

  const AbortedRunTrackerOptions m_options;
  const PeerTable* const m_peers;
  std::map<Fingerprint, Record> m_records;
  MonotonicTime m_last_removal;
  uint64_t m_record_changes = 0;
  bool m_records_are_known = true;
  /// Until when runs that were not recorded would count.
  std::optional<MonotonicTime> m_lost_runs_count_until;
};

}  // namespace cowslip

#endif  // SOURCE_PLACEMENT_ABORTED_RUN_TRACKER_H_
