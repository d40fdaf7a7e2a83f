#ifndef SOURCE_JOBS_JOB_SCHEDULER_H_
#define SOURCE_JOBS_JOB_SCHEDULER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "Fleet/backend_record.h"
#include "Jobs/job_types.h"
#include "Peers/peer_table.h"

namespace cowslip {

/// \class JobSchedulerOptions
/// \brief Who this process is, and how long it waits for others.
struct JobSchedulerOptions {
  VmId self;
  Incarnation incarnation;
  /// How long the process that should take over a job has for it before the
  /// next one tries: a few store calls and a retry.
  Duration takeover_turn = std::chrono::milliseconds(1500);
  /// The pause after a claim that has failed.
  Duration claim_pause = std::chrono::milliseconds(600);
  /// A process that has just started hears from the others within this time;
  /// before, it takes nothing over.
  Duration settle_time = std::chrono::milliseconds(1200);
  /// The pause before an item is run again that a backend server turned away.
  Duration turned_away_pause = std::chrono::milliseconds(60);
  /// The pause before an item is run again after a run of doubtful end; it
  /// doubles with each one.
  Duration retry_pause = std::chrono::milliseconds(300);
  Duration longest_retry_pause = std::chrono::seconds(5);
  /// Results are gathered for this long before they are written together.
  Duration gather_time = std::chrono::milliseconds(250);
  /// The time that an item usually takes; one that has less left before its due
  /// time goes after those that can still make it.
  Duration usual_item_time = std::chrono::seconds(4);
  /// What interrupted items have come to is saved once this many events would
  /// be lost, about the work of one item, and this long after the first of
  /// them: a peak interrupts most items of a job within a second.
  uint64_t events_worth_saving = 150;
  Duration save_delay = std::chrono::milliseconds(1000);
  /// Bytes of output that one save may hold, a fraction of what a document
  /// takes; what is beyond is not saved.
  size_t max_saved_bytes = 256 * 1024;
  /// Finished jobs are deleted this long after they were submitted.
  Duration retention = std::chrono::seconds(180);
};

/// The store has told of a job, or of a change of one.
struct JobUpdated {
  JobRecord record;
};
/// The store no longer has it.
struct JobRemoved {
  JobKey job;
};
/// This process is registered, and knows the other ones.
struct SchedulerActivated {};
/// This process stops: it starts nothing more and hands its jobs back.
struct SchedulerStopping {};
/// A claim has been answered.
struct ClaimEnded {
  JobKey job;
  bool won = false;
};
/// The job's results so far are known.
struct JobOpened {
  JobKey job;
  std::set<ItemId> listed;
  /// What an owner that was lost had saved of its items.
  std::map<ItemId, ItemProgress> saved;
};
/// Opening the job has failed; it is tried again.
struct JobOpenFailed {
  JobKey job;
};
/// An item is running at a backend server.
struct ItemStarted {
  JobKey job;
  ItemId item;
  BackendId backend;
};
/// How a run of an item ended.
enum class ItemRunOutcome {
  kCompleted,
  /// The backend server failed it.
  kFailed,
  /// The backend server says that it can never be done.
  kImpossible,
  /// It did not run.
  kNotRun,
  /// It was stopped here, or broke off.
  kInterrupted,
  /// No answer, or a broken one.
  kInDoubt,
};
/// An item no longer runs.
struct ItemRunEnded {
  JobKey job;
  ItemId item;
  ItemRunOutcome end = ItemRunOutcome::kInDoubt;
  ItemProgress progress;
};
/// Results have been written.
struct ResultsWritten {
  JobKey job;
  std::set<ItemId> listed;
};
/// Results could not be written; they are written again.
struct ResultsNotWritten {
  JobKey job;
};
/// What items have come to has been saved, or could not be.
struct ProgressSaved {
  JobKey job;
  bool saved = false;
};
/// A job's route is gone from the configuration in force.
struct JobRouteRemoved {
  JobKey job;
};
/// Time has passed.
struct SchedulerTick {};
using JobSchedulerEvent = std::variant<JobUpdated,
                                       JobRemoved,
                                       SchedulerActivated,
                                       SchedulerStopping,
                                       ClaimEnded,
                                       JobOpened,
                                       JobOpenFailed,
                                       ItemStarted,
                                       ItemRunEnded,
                                       ResultsWritten,
                                       ResultsNotWritten,
                                       ProgressSaved,
                                       JobRouteRemoved,
                                       SchedulerTick>;

/// Make this process the owner, if the job is still at that version.
struct ClaimJob {
  JobKey job;
  /// Why, for the log.
  std::string reason;
};
/// Read the job's items and results.
struct OpenJob {
  JobKey job;
};
/// Stop the run of an item; its end is told as usual.
struct StopItem {
  JobKey job;
  ItemId item;
};
/// Write these results.
struct WriteResults {
  JobKey job;
  std::vector<ItemResult> results;
};
/// Every item has a result: say so in the job's status.
struct FinishJob {
  JobKey job;
};
/// Give the job back with what its items have come to.
struct HandBackJob {
  JobKey job;
  std::map<ItemId, ItemProgress> progress;
};
/// Write down what the job's items have come to, for the case that this process
/// is lost.
struct SaveProgress {
  JobKey job;
  std::map<ItemId, ItemProgress> progress;
};
/// This process no longer runs the job.
struct CloseJob {
  JobKey job;
};
/// Delete the job's documents.
struct DeleteJob {
  JobKey job;
};
using JobSchedulerAction = std::variant<ClaimJob,
                                        OpenJob,
                                        StopItem,
                                        WriteResults,
                                        FinishJob,
                                        HandBackJob,
                                        SaveProgress,
                                        CloseJob,
                                        DeleteJob>;

/// \class RunnableItem
/// \brief An item that may start now, with where it goes on.
struct RunnableItem {
  JobKey job;
  ItemId item;
  /// The board's own; valid until the board is told that the job is forgotten.
  const ItemProgress* progress = nullptr;
};

/// \class JobScheduler
/// \brief Decides who runs which job and which item is next, for evening loads
/// of many jobs that are due within seconds beside online peaks.
///
/// The store's record names a job's owner. When the owner falls silent, has
/// restarted or hands the job back, one of the live processes claims it by
/// conditional update, in the order of rendezvous hashing. A wrong guess costs
/// a second run of an item, never a second result: the result log decides.
/// Among items, those that can still be in time go first, the earliest due time
/// first, shared evenly between organisations; late ones follow.
class JobScheduler {
 public:
  JobScheduler(JobSchedulerOptions options, const PeerTable& peers);

  std::vector<JobSchedulerAction> Handle(const JobSchedulerEvent& event,
                                         ClockReadings now);

  /// Items that may start now, the first one first.
  std::vector<RunnableItem> Runnable(ClockReadings now) const;
  const JobRecord* Find(const JobKey& job) const;
  /// Makes this process the owner.
  void NameOwner(JobStatus& status) const;
  /// Whether this process is the owner.
  bool Owns(const JobRecord& record) const;
  /// Whether this process runs the job and knows all its results.
  bool IsOpenHere(const JobKey& job) const;
  /// Items that run at that backend server, the one that loses least first.
  std::vector<std::pair<JobKey, ItemId>> RunningAt(
      const BackendId& backend) const;
  /// Nothing is left to hand back.
  bool IsIdle() const;
  size_t jobs() const { return m_jobs.size(); }

 private:
  enum class ItemPhase { kPending, kRunning, kEnded, kListed };
  struct Item {
    ItemPhase phase = ItemPhase::kPending;
    ItemProgress progress;
    MonotonicTime not_before;
    uint32_t interruptions = 0;
    BackendId backend;
    bool stopping = false;
  };
  enum class Hold { kNone, kClaiming, kOpening, kOpen };
  struct Job {
    JobRecord record;
    Hold hold = Hold::kNone;
    std::map<ItemId, Item> items;
    std::vector<ItemResult> unwritten;
    MonotonicTime gather_since;
    bool writing = false;
    bool finish_asked = false;
    bool handed_back = false;
    bool delete_asked = false;
    /// Events that interrupted items have come to since the last save, when
    /// they are to be saved, and whether that is under way.
    uint64_t unsaved_events = 0;
    MonotonicTime save_at;
    bool saving = false;
    /// Since when its owner has not been live.
    std::optional<MonotonicTime> orphaned_since;
    MonotonicTime claim_again_at;
  };

  void Apply(const JobUpdated& event, ClockReadings now);
  void Apply(const JobRemoved& event, ClockReadings now);
  void Apply(const SchedulerActivated&, ClockReadings now);
  void Apply(const SchedulerStopping&, ClockReadings now);
  void Apply(const ClaimEnded& event, ClockReadings now);
  void Apply(const JobOpened& event, ClockReadings now);
  void Apply(const JobOpenFailed& event, ClockReadings now);
  void Apply(const ItemStarted& event, ClockReadings now);
  void Apply(const ItemRunEnded& event, ClockReadings now);
  void Apply(const ResultsWritten& event, ClockReadings now);
  void Apply(const ResultsNotWritten& event, ClockReadings now);
  void Apply(const ProgressSaved& event, ClockReadings now);
  void Apply(const JobRouteRemoved& event, ClockReadings now);
  void Apply(const SchedulerTick&, ClockReadings now);

  bool IsOwner(const Job& job) const { return Owns(job.record); }
  bool IsOver(const Job& job) const;
  void Open(Job& job);
  void Close(Job& job);
  void StopItems(Job& job);
  void EndItem(Job& job, const ItemId& id, ItemState state, ClockReadings now);
  /// At the end of the job's retention.
  void GiveUpItems(Job& job, ClockReadings now);
  void GiveUpPending(Job& job, ClockReadings now);
  void ConsiderWriting(Job& job, ClockReadings now);
  void ConsiderFinish(Job& job);
  void ConsiderHandBack(Job& job);
  void ConsiderSaving(Job& job, ClockReadings now);
  void NoteUnsaved(Job& job, uint64_t events, ClockReadings now);
  /// Goes on from `known` if that is further than what the item has come to.
  static void TakeProgress(Item& item,
                           const std::map<ItemId, ItemProgress>& known,
                           const ItemId& id);
  /// What the items that have no result yet have come to.
  static std::map<ItemId, ItemProgress> ProgressOf(const Job& job);
  void ConsiderTakeover(Job& job, ClockReadings now);
  void ConsiderDeletion(Job& job, ClockReadings now);
  bool IsMyTurn(const Job& job, Duration orphaned_for) const;
  bool AllListed(const Job& job) const;
  Job* FindJob(const JobKey& key);

  const JobSchedulerOptions m_options;
  const PeerTable& m_peers;
  std::map<JobKey, Job> m_jobs;
  std::optional<MonotonicTime> m_active_since;
  bool m_stopping = false;
  std::vector<JobSchedulerAction> m_actions;
};

}  // namespace cowslip

#endif  // SOURCE_JOBS_JOB_SCHEDULER_H_
