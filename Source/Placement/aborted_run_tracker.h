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
/// \brief When a request is blamed for the runs that broke off under it.
struct AbortedRunTrackerOptions {
  /// Broken runs of one request, over all processes, after which it is not
  /// sent again. A sound request meets that many faults in a row only while
  /// most backend servers fail.
  uint32_t limit = 3;
  /// How long a broken run counts: longer than callers go on sending a request
  /// again, shorter than the repair of a backend server that failed on it.
  Duration lifetime = std::chrono::minutes(10);
  /// How long the other processes are told of one; datagrams that get lost are
  /// made good within a fraction of this.
  Duration report_time = std::chrono::seconds(5);
  /// The most that one datagram tells, the newest first: about 3 kB.
  size_t max_reported = 64;
  /// Bounds the memory; the oldest go first.
  size_t max_records = 4000;
};

/// A backend server broke off while it ran the request.
struct RunAborted {
  Fingerprint fingerprint;
};
/// The request ran to its end.
struct RunCompleted {
  Fingerprint fingerprint;
};
/// What another process has seen break off.
struct PeerAbortedRunsReported {
  VmId vm;
  std::vector<AbortedRuns> runs;
};
using AbortedRunEvent =
    std::variant<RunAborted, RunCompleted, PeerAbortedRunsReported>;

/// \class AbortedRunTracker
/// \brief Finds requests that crash the backend servers that run them, for
/// callers that send such a request again and again, to any VM.
///
/// Each process counts the broken runs that it saw and tells the others, so
/// that the count holds for the fleet. Nothing tells the request that caused a
/// crash from those that merely ran beside it, so only a row of broken runs
/// without a whole one between them is evidence.
class AbortedRunTracker {
 public:
  explicit AbortedRunTracker(AbortedRunTrackerOptions options);

  void Handle(const AbortedRunEvent& event, MonotonicTime now);

  bool empty() const { return m_records.empty(); }
  /// Whether the request has broken too many runs to be sent again.
  bool IsHarmful(const Fingerprint& fingerprint, MonotonicTime now) const;
  /// What the other processes are to be told.
  std::vector<AbortedRuns> Recent(MonotonicTime now) const;

 private:
  struct Record {
    uint32_t own = 0;
    std::map<VmId, uint32_t> peers;
    // When this process, and when any of them, last saw a run break off.
    MonotonicTime own_newest;
    MonotonicTime newest;
  };

  void Apply(const RunAborted& event, MonotonicTime now);
  void Apply(const RunCompleted& event, MonotonicTime now);
  void Apply(const PeerAbortedRunsReported& event, MonotonicTime now);
  void MakeRoom(MonotonicTime now);

  const AbortedRunTrackerOptions m_options;
  std::map<Fingerprint, Record> m_records;
};

}  // namespace cowslip

#endif  // SOURCE_PLACEMENT_ABORTED_RUN_TRACKER_H_
