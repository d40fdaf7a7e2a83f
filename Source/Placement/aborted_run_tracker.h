#ifndef SOURCE_PLACEMENT_ABORTED_RUN_TRACKER_H_
#define SOURCE_PLACEMENT_ABORTED_RUN_TRACKER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <variant>
#include <vector>

#include "Base/fingerprint.h"
#include "Base/ids.h"
#include "Base/time.h"
#include "Peers/peer_message.h"

namespace cowslip {

/// \class AbortedRunTrackerOptions
/// \brief When a request is blocked because runs of it were aborted.
struct AbortedRunTrackerOptions {
  /// Aborted runs of one request, summed over all processes, after which it is
  /// not sent again. A harmless request reaches this number in a row only while
  /// most backend servers fail.
  uint32_t block_threshold = 3;
  /// How long an aborted run counts: longer than callers keep retrying a
  /// request, shorter than it takes to repair a backend server that failed on
  /// it.
  Duration lifetime = std::chrono::minutes(10);
  /// How long an aborted run is reported to the other processes. Reports are
  /// repeated, so lost datagrams are made up for within a fraction of this.
  Duration report_duration = std::chrono::seconds(5);
  /// Maximum number of requests per report, the newest first: about 3 kB of a
  /// datagram.
  size_t max_reported = 64;
  /// Maximum number of tracked requests; the oldest are evicted first.
  size_t max_records = 4000;
};

/// During a run of the request, the connection to the backend server was closed
/// or failed, or the response was malformed. Read timeouts do not count.
struct RunAborted {
  Fingerprint fingerprint;
};
/// The request was run to completion.
struct RunCompleted {
  Fingerprint fingerprint;
};
/// Another process reported the aborted runs that it has observed.
struct PeerAbortedRunsReported {
  VmId vm;
  std::vector<AbortedRuns> runs;
};
using AbortedRunEvent =
    std::variant<RunAborted, RunCompleted, PeerAbortedRunsReported>;

/// \class AbortedRunTracker
/// \brief Detects requests that crash the backend servers that run them, also
/// when callers keep retrying such a request through any VM.
///
/// Each process counts the aborted runs that it observes and reports them to
/// the other processes, so that the count covers the fleet. A request that
/// caused a crash cannot be distinguished from those that ran at the same time,
/// so only consecutive aborted runs without a completed one in between count.
class AbortedRunTracker {
 public:
  explicit AbortedRunTracker(AbortedRunTrackerOptions options);

  void Handle(const AbortedRunEvent& event, MonotonicTime now);

  bool empty() const { return m_records.empty(); }
  /// Whether too many runs of the request were aborted for it to be sent again.
  bool IsBlocked(const Fingerprint& fingerprint, MonotonicTime now) const;
  /// The recently aborted runs to report to the other processes.
  std::vector<AbortedRuns> RunsToReport(MonotonicTime now) const;

 private:
  struct Record {
    uint32_t own = 0;
    std::map<VmId, uint32_t> peers;
    // When this process, and when any process, last recorded an aborted run.
    MonotonicTime own_last_abort;
    MonotonicTime last_abort;
  };

  void Apply(const RunAborted& event, MonotonicTime now);
  void Apply(const RunCompleted& event, MonotonicTime now);
  void Apply(const PeerAbortedRunsReported& event, MonotonicTime now);
  void EvictExcess(MonotonicTime now);

  const AbortedRunTrackerOptions m_options;
  std::map<Fingerprint, Record> m_records;
};

}  // namespace cowslip

#endif  // SOURCE_PLACEMENT_ABORTED_RUN_TRACKER_H_
