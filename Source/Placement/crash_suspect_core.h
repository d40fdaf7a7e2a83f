#ifndef SOURCE_PLACEMENT_CRASH_SUSPECT_CORE_H_
#define SOURCE_PLACEMENT_CRASH_SUSPECT_CORE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "Base/ids.h"
#include "Base/time.h"
#include "Fleet/backend_record.h"
#include "Fleet/caller_request.h"
#include "Peers/crash_evidence.h"

namespace cowslip {

class PeerTable;

/// \class CrashSuspectOptions
/// \brief When a prompt part is blocked, and how long evidence counts.
struct CrashSuspectOptions {
  VmId self;
  /// Crashes of different backend servers, without a completed run since the
  /// first, after which a part is blocked.
  uint32_t block_threshold = 3;
  /// Crashes that a blocked part is charged with at most; more of them say
  /// nothing new.
  uint32_t max_crashes_per_part = 8;
  /// Runs at one incarnation that break off within this time broke off in the
  /// same crash.
  Duration same_crash_time = std::chrono::seconds(1);
  /// Backend servers that crash closer together than this were not crashed by
  /// requests, which arrive one by one, but by a common cause.
  Duration common_cause_time = std::chrono::milliseconds(20);
  /// How long a crash counts: shorter than it takes to repair a backend server
  /// or a prompt.
  Duration lifetime = std::chrono::minutes(10);
  /// Backend servers that crash, for each of them, within `common_cause_window`
  /// of a trial's crash, so that the trial proves nothing.
  uint32_t common_cause_crashes = 4;
  Duration common_cause_window = std::chrono::milliseconds(250);
  /// How long after a crash service discovery may show it.
  Duration discovery_delay = std::chrono::seconds(4);
  /// A run that has received this many events more than one that broke off has
  /// passed the point at which that one crashed the backend server, if it did.
  uint32_t event_margin = 10;
  /// After this time a request with a blocked part is tried, because the part
  /// may be blocked without cause.
  Duration first_trial_delay = std::chrono::seconds(1);
  /// Each trial that crashed a backend server multiplies that time.
  uint32_t trial_delay_factor = 4;
  /// The process that comes next in the order of a part's trials waits this
  /// much longer, so that it knows how the trial of the one before has ended.
  /// Those that are known to hold no such requests back are passed over.
  Duration trial_stagger = std::chrono::seconds(2);
  /// How long a process reports the crashes and completed runs that it has
  /// seen itself. Reports are repeated, so a lost one is made up for. What
  /// blocks a part is reported by all processes as long as it counts.
  Duration report_duration = std::chrono::seconds(3);
  /// The period over which completed runs of a part are counted.
  Duration count_period = std::chrono::seconds(10);
  size_t max_crashes = 64;
  size_t max_crash_times = 128;
  size_t max_parts_per_crash = 64;
  size_t max_counted_parts = 4096;
  /// Bounds of a report, about 10 kB.
  size_t max_reported_suspects = 512;
  size_t max_reported_completions = 128;
  /// Parts with longer ids are not tracked.
  size_t max_part_bytes = 64;
};

/// A run broke off at a backend server that may have begun it: the connection
/// was closed, or the response is malformed.
struct RunBrokenOff {
  BackendId backend;
  uint64_t started_at_ms = 0;
  std::vector<PromptPartId> parts;
  /// The events that the run had received.
  uint32_t events = 0;
  /// Whether the run was a trial.
  bool is_trial = false;
};
/// A run goes on and has received this many events.
struct RunAdvanced {
  std::vector<PromptPartId> parts;
  uint32_t events = 0;
};
/// A run was completed.
struct RunEndedWell {
  std::vector<PromptPartId> parts;
};
/// A run ended with its connection, which says that it is complete only if the
/// backend server lives on.
struct RunEndedWithConnection {
  BackendId backend;
  uint64_t started_at_ms = 0;
  std::vector<PromptPartId> parts;
};
/// A backend server accepts no connection.
struct BackendRefusedConnection {
  BackendId backend;
  uint64_t started_at_ms = 0;
};
/// Service discovery no longer lists an incarnation that had not said that it
/// leaves.
struct BackendVanished {
  BackendId backend;
  uint64_t started_at_ms = 0;
};
/// Another process reported what it knows of crashes.
struct PeerCrashEvidenceReported {
  VmId vm;
  CrashEvidence evidence;
};
/// A request is about to be sent to a backend server.
struct RunRequested {
  std::vector<PromptPartId> parts;
};
/// A request that was allowed as a trial was not run, or its run has ended.
struct TrialEnded {
  std::vector<PromptPartId> parts;
  bool has_run = false;
};
using CrashSuspectEvent = std::variant<RunBrokenOff,
                                       RunAdvanced,
                                       RunEndedWell,
                                       RunEndedWithConnection,
                                       BackendRefusedConnection,
                                       BackendVanished,
                                       PeerCrashEvidenceReported,
                                       RunRequested,
                                       TrialEnded>;

/// The event requires no action.
struct CrashSuspectNoAction {};
/// Sends the request; `is_trial` if one of its parts is blocked. TrialEnded
/// must follow a trial.
struct RunAllowed {
  bool is_trial = false;
};
/// Rejects the request: `part` is taken to crash backend servers.
struct RunBlocked {
  PromptPartId part;
  uint32_t crashes = 0;
  /// Trials that crashed a backend server by themselves.
  uint32_t failed_trials = 0;
  /// Time until a request with the part may be tried.
  Duration retry_after{0};
};
using CrashSuspectAction =
    std::variant<CrashSuspectNoAction, RunAllowed, RunBlocked>;

/// \class CrashSuspectCore
/// \brief Finds the prompt part that crashes backend servers, among all parts
/// of the requests that ran at the crashes, and blocks requests with it.
///
/// A crash breaks off all runs at a backend server, and which of them caused it
/// is not visible. A part stays suspect of a crash until a run with it is
/// completed anywhere, or goes on past the event at which the run broke off. Of
/// the parts that are suspect of enough crashes, the one with the fewest
/// completed runs is blamed first, and the crashes that explains no longer
/// count against other parts: what sound requests share with those that crash
/// backend servers is not blocked with them.
///
/// Backend servers also crash for reasons of their own, many of them at once,
/// so a part may be blocked without cause. A block is therefore tested by
/// single requests, and only such a trial that crashes a backend server by
/// itself makes the next one wait longer.
///
/// The evidence consists of facts on which all processes agree. Those that
/// block a part are relayed, so that a process that starts learns them.
class CrashSuspectCore {
 public:
  CrashSuspectCore(CrashSuspectOptions options, const PeerTable& peers);

  CrashSuspectAction Handle(const CrashSuspectEvent& event, MonotonicTime now);

  /// Whether one of the parts is blocked, a trial being due or not.
  bool IsBlocked(const std::vector<PromptPartId>& parts, MonotonicTime now);
  /// The evidence to report to the other processes: what this process has seen
  /// lately, and what blocks a part, whoever has seen it.
  CrashEvidence EvidenceToReport(MonotonicTime now) const;
  size_t blocked_parts() const { return m_blocked.size(); }
  /// Whether any part is suspect, so that the progress of runs is of interest.
  bool has_suspects() const { return !m_crashes.empty(); }
  /// Whether RunAdvanced is due when a run's count of events has risen from
  /// `before` to `events`: each time it doubles.
  static bool IsMilestone(uint32_t before, uint32_t events);

 private:
  static constexpr uint32_t kAllEvents = SuspectPart::kAllEvents;

  struct Suspicion {
    /// The most events that a run with the part had received.
    uint32_t events = 0;
    bool is_trial = false;
  };
  /// The runs that broke off at one incarnation of a backend server.
  struct Crash {
    BackendId backend;
    uint64_t started_at_ms = 0;
    MonotonicTime time;
    /// Those with which no run has gone on past the crash since.
    std::map<PromptPartId, Suspicion> suspects;
    /// The suspects whose runs this process has relayed, and when the last of
    /// them broke off.
    std::set<PromptPartId> own_suspects;
    MonotonicTime own_time;
    /// Whether so many other backend servers crashed at the same time that none
    /// of the runs is likely to be the cause.
    bool has_common_cause = false;
  };
  struct UnconfirmedRun {
    RunEndedWithConnection run;
    MonotonicTime end;
  };
  struct BlockedPart {
    uint32_t crashes = 0;
    MonotonicTime last_crash;
    /// Trials that crashed a backend server, and nothing else crashed then.
    uint32_t failed_trials = 0;
  };
  /// The trial of a part by this process.
  struct Trial {
    bool is_running = false;
    /// When the last one ended without a verdict.
    MonotonicTime last;
  };
  /// A crash of an incarnation, whatever it says of prompt parts.
  struct CrashTime {
    BackendId backend;
    uint64_t started_at_ms = 0;
    MonotonicTime time;
    /// Trials that run at the same time must not excuse each other.
    bool ended_trial = false;
    /// How long before `time` it may have crashed.
    Duration uncertainty{0};
  };
  /// How far a run with a part came after a crash.
  struct Progress {
    uint32_t events = 0;
    MonotonicTime time;
  };
  struct HeldBackReport {
    MonotonicTime time;
    std::set<PromptPartId> parts;
  };
  struct CompletedRuns {
    uint32_t count = 0;
    MonotonicTime last;
    /// The last one that this process has relayed.
    MonotonicTime own_last;
  };
  using RunCounts = std::unordered_map<PromptPartId, CompletedRuns>;

  CrashSuspectAction Apply(const RunBrokenOff& event, MonotonicTime now);
  CrashSuspectAction Apply(const RunAdvanced& event, MonotonicTime now);
  CrashSuspectAction Apply(const RunEndedWell& event, MonotonicTime now);
  CrashSuspectAction Apply(const RunEndedWithConnection& event,
                           MonotonicTime now);
  CrashSuspectAction Apply(const BackendRefusedConnection& event,
                           MonotonicTime now);
  CrashSuspectAction Apply(const BackendVanished& event, MonotonicTime now);
  CrashSuspectAction Apply(const PeerCrashEvidenceReported& event,
                           MonotonicTime now);
  CrashSuspectAction Apply(const RunRequested& event, MonotonicTime now);
  CrashSuspectAction Apply(const TrialEnded& event, MonotonicTime now);

  /// Records that runs broke off. Returns the crash, or null if it says nothing
  /// new.
  Crash* RecordCrash(const BackendId& backend,
                     uint64_t started_at_ms,
                     const std::vector<SuspectPart>& parts,
                     MonotonicTime time);
  /// The same for runs that this process has relayed.
  void RecordOwnCrash(const BackendId& backend,
                      uint64_t started_at_ms,
                      const std::vector<SuspectPart>& parts,
                      MonotonicTime time);
  /// Remembers progress that cleared a part, since other processes may go on to
  /// report the crash for a while.
  void RememberProgress(const PromptPartId& part,
                        uint32_t events,
                        MonotonicTime time);
  /// Whether a known run has gone on past the crash.
  bool IsDisproved(const SuspectPart& suspect, MonotonicTime crash) const;
  void RecordCrashTime(const CrashTime& crash);
  static bool EndedTrial(const Crash& crash);
  /// Records that a run with the part had received `events` at `time`. Returns
  /// whether that clears the part of a crash.
  bool RecordProgress(const PromptPartId& part,
                      uint32_t events,
                      MonotonicTime time);
  /// The same for a run that this process has relayed.
  bool RecordOwnProgress(const PromptPartId& part,
                         uint32_t events,
                         MonotonicTime time);
  /// Ends this process's trial of the part without a verdict.
  void EndTrial(const PromptPartId& part, MonotonicTime time);
  /// Charges the crash of a backend server to the runs that have ended with
  /// their connections there a moment before.
  void ChargeUnconfirmedRuns(const BackendId& backend, uint64_t started_at_ms);
  void ConfirmRuns(MonotonicTime now);
  void CountRun(const PromptPartId& part, MonotonicTime time);
  const CompletedRuns* FindRuns(const PromptPartId& part) const;
  uint32_t CountOf(const PromptPartId& part) const;
  /// Whether a run with `events` has gone on past the suspected crash.
  bool Disproves(uint32_t events, const Suspicion& suspicion) const;
  /// Whether another backend server may have crashed together with one that
  /// crashed at `time`.
  bool MayBeTogether(const CrashTime& other, MonotonicTime time) const;
  /// Sets `has_common_cause` of the crashes that ended a trial.
  void FindCommonCauses();
  /// Whether a blocked part accounts for the crash.
  bool SupportsBlock(const Crash& crash) const;
  bool IsExplained(const Crash& crash) const;
  void ExpireCrashes(MonotonicTime now);
  void EvictCrash();
  /// Decides anew which parts are blocked, if the evidence has changed.
  void UpdateBlockedParts();
  /// The suspects of at least `block_threshold` crashes.
  std::vector<PromptPartId> FrequentSuspects(
      const std::vector<const Crash*>& crashes) const;
  /// The crashes that count against a part. `crashes` are ordered by time.
  BlockedPart Charge(const PromptPartId& part,
                     const std::vector<const Crash*>& crashes) const;
  uint32_t FailedTrials(const PromptPartId& part) const;
  /// When this process may try a request with the blocked part.
  MonotonicTime NextTrial(const PromptPartId& part,
                          const BlockedPart& blocked) const;
  /// How many processes may try the part before this one. `since` is the last
  /// event that concerns its trials.
  int64_t TurnOf(const PromptPartId& part, MonotonicTime since) const;

  const CrashSuspectOptions m_options;
  const PeerTable& m_peers;
  std::vector<Crash> m_crashes;
  // Whether `m_crashes` has changed since the blocked parts were decided on.
  bool m_changed = false;
  std::vector<UnconfirmedRun> m_unconfirmed;
  // Completed runs by part in this count period and in the one before.
  RunCounts m_runs;
  RunCounts m_former_runs;
  MonotonicTime m_period_start;
  // Progress of runs that this process has relayed and that cleared a part, by
  // part and events.
  std::map<std::pair<PromptPartId, uint32_t>, MonotonicTime> m_cleared;
  // The progress that cleared a part, whoever has seen it.
  std::map<PromptPartId, Progress> m_progress;
  std::map<PromptPartId, Trial> m_trials;
  // The newest crashes.
  std::deque<CrashTime> m_crash_times;
  // When this process last held a request with the blocked part back.
  std::map<PromptPartId, MonotonicTime> m_held_back;
  std::map<VmId, HeldBackReport> m_held_back_by_others;
  std::map<PromptPartId, BlockedPart> m_blocked;
};

}  // namespace cowslip

#endif  // SOURCE_PLACEMENT_CRASH_SUSPECT_CORE_H_
