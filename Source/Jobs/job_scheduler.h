#ifndef SOURCE_JOBS_JOB_SCHEDULER_H_
#define SOURCE_JOBS_JOB_SCHEDULER_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "Fleet/backend_record.h"
#include "Fleet/home_regions.h"
#include "Jobs/job_order.h"
#include "Jobs/job_types.h"
#include "Jobs/job_work.h"
#include "Peers/job_progress.h"
#include "Peers/peer_table.h"

namespace cowslip {

/// \class JobSchedulerOptions
/// \brief The identity of this process and the timing parameters of scheduling.
struct JobSchedulerOptions {
  VmId self;
  Incarnation incarnation;
  /// The region of this VM; empty if it is not known.
  RegionId region{};
  /// How long the preferred process may take to claim an orphaned job before
  /// the next one in the order tries too: a few store calls and a retry.
  Duration takeover_window = std::chrono::milliseconds(1500);
  /// The delay before a job is claimed again after a claim has ended.
  Duration claim_backoff = std::chrono::milliseconds(600);
  /// A process that has just started receives messages from the other processes
  /// within this time; until then it takes over no jobs.
  Duration peer_discovery_time = std::chrono::milliseconds(1200);
  /// The delay before an item that was not run is tried again.
  Duration not_run_backoff = std::chrono::milliseconds(60);
  /// The delay before an item is run again after a failed run, or after a run
  /// whose outcome is in doubt; it doubles with each run in doubt.
  Duration retry_backoff = std::chrono::milliseconds(300);
  /// Half of the five seconds that an accepted item may be without a run: a
  /// change of the owner and the wait for a free slot take time too.
  Duration max_retry_backoff = std::chrono::milliseconds(2500);
  /// Results are collected for this long before they are written together.
  Duration result_flush_delay = std::chrono::milliseconds(250);
  /// The time for which an item occupies slots, and the number of its events,
  /// until items have been completed.
  Duration initial_item_time = std::chrono::seconds(5);
  double initial_item_events = 150;
  /// Weight of the newest completed item in the averages of these. Short items
  /// are completed first, so the first ones must not count for much.
  double smoothing_factor = 0.05;
  /// The progress of interrupted items is saved once at least this many events
  /// would be lost, about the work of one item, and `save_delay` has passed
  /// since the first of them: a load peak interrupts most items of a job within
  /// a second.
  uint64_t min_events_to_save = 150;
  Duration save_delay = std::chrono::milliseconds(1000);
  /// Failed runs are saved together after this time, before their items are run
  /// again.
  Duration failed_run_save_delay = std::chrono::milliseconds(150);
  /// Maximum bytes of output in one save, a fraction of the maximum size of a
  /// document; of progress beyond it only the failed runs are saved.
  size_t max_saved_bytes = 256 * 1024;
  /// How long the other processes are told of an acknowledged end: longer than
  /// a watch waits, and at most `max_reported_ends` at a time.
  Duration end_report_time = std::chrono::seconds(12);
  size_t max_reported_ends = 128;
  /// Bounds a report to a few kB; what is left out counts as unfinished.
  size_t max_reported_progress = 64;
  /// Finished jobs are deleted this long after they were submitted.
  Duration retention = std::chrono::seconds(180);
  /// The delay before a deletion that did not complete is repeated: longer than
  /// the store may take to carry out a removal without a response, which is
  /// some seconds.
  Duration deletion_retry_delay = std::chrono::seconds(30);
};

/// A job was created or changed in the store.
struct JobUpdated {
  JobRecord record;
};
/// A job was deleted from the store.
struct JobRemoved {
  JobKey job;
};
/// This process acknowledges the end of a job to a client; its record says so.
struct JobEndAcknowledged {
  JobKey job;
};
/// Another process has acknowledged the end of a job.
struct JobEndReported {
  JobKey job;
};
/// Another process has reported the progress of jobs that it owns.
struct JobProgressReported {
  std::vector<JobProgress> progress;
};
/// This process writes the record of a job before it decides whether the job is
/// accepted; until JobOfferEnded the job is not opened.
struct JobOffered {
  JobKey job;
};
/// This process has accepted or withdrawn the job, or another process has.
struct JobOfferEnded {
  JobKey job;
};
/// A configuration is in force: where the jobs of each route and of each
/// organisation may run.
struct HomeRegionsChanged {
  std::map<RouteId, HomeRegions> routes;
  std::map<OrganisationId, HomeRegions> organisations;
};
/// This process is registered, and has read the list of the other ones.
struct SchedulerActivated {};
/// This process is shutting down: it starts no more items and hands its jobs
/// back.
struct SchedulerStopping {};
/// An attempt to claim a job has ended. The job's record tells who owns it: an
/// attempt without a response may have succeeded, and its outcome may be known
/// from a watch before or after this.
struct ClaimEnded {
  JobKey job;
};
/// The job's items and existing results have been read.
struct JobOpened {
  JobKey job;
  /// The items that have a result in the result log.
  std::set<ItemId> recorded;
  /// The progress of items that an earlier, lost owner had saved.
  std::map<ItemId, ItemProgress> saved;
};
/// Opening the job has failed; it is tried again.
struct JobOpenFailed {
  JobKey job;
};
/// An item has been started at a backend server.
struct ItemStarted {
  JobKey job;
  ItemId item;
  BackendId backend;
};
/// No backend server of the version that wrote the item's output serves any
/// more, so the item is restarted from the beginning.
struct ItemVersionGone {
  JobKey job;
  ItemId item;
};
/// The outcome of a run of an item.
enum class ItemRunOutcome {
  kCompleted,
  /// The backend server reported an error; the item may be retried.
  kFailed,
  /// The backend server rejected the item permanently.
  kUnprocessable,
  /// The item was not run.
  kNotRun,
  /// This process stopped the run.
  kInterrupted,
  /// The item may have been run, but there is no complete, valid response, or
  /// only one with an unexpected error status.
  kInDoubt,
};
/// A run of an item has ended.
struct ItemRunEnded {
  JobKey job;
  ItemId item;
  ItemRunOutcome outcome = ItemRunOutcome::kInDoubt;
  ItemProgress progress;
};
/// Results have been written to the result log.
struct ResultsWritten {
  JobKey job;
  std::set<ItemId> recorded;
};
/// Results could not be written; the write is retried.
struct ResultsNotWritten {
  JobKey job;
};
/// An attempt to save the progress of items has ended.
struct ProgressSaved {
  JobKey job;
  bool saved = false;
};
/// The hand-back of a job has been written, or could not be.
struct HandBackEnded {
  JobKey job;
};
/// The write that marks the job as finished has ended; the job's record tells
/// whether it took effect.
struct FinishEnded {
  JobKey job;
};
/// The job's documents could not be deleted, or may not have been.
struct JobDeletionFailed {
  JobKey job;
};
/// The job's route was removed from the current configuration.
struct JobRouteRemoved {
  JobKey job;
};
/// Periodic timer event.
struct SchedulerTick {};
using JobSchedulerEvent = std::variant<JobUpdated,
                                       JobRemoved,
                                       JobEndAcknowledged,
                                       JobEndReported,
                                       JobProgressReported,
                                       JobOffered,
                                       JobOfferEnded,
                                       HomeRegionsChanged,
                                       SchedulerActivated,
                                       SchedulerStopping,
                                       ClaimEnded,
                                       JobOpened,
                                       JobOpenFailed,
                                       ItemStarted,
                                       ItemRunEnded,
                                       ItemVersionGone,
                                       ResultsWritten,
                                       ResultsNotWritten,
                                       ProgressSaved,
                                       HandBackEnded,
                                       FinishEnded,
                                       JobDeletionFailed,
                                       JobRouteRemoved,
                                       SchedulerTick>;

/// Claim ownership of the job by a conditional update of its document.
struct ClaimJob {
  JobKey job;
  /// Why the job is claimed, for the log.
  std::string reason;
};
/// Read the job's items and results.
struct OpenJob {
  JobKey job;
};
/// Stop the run of an item; ItemRunEnded follows as usual.
struct StopItem {
  JobKey job;
  ItemId item;
};
/// Append these results to the result log.
struct WriteResults {
  JobKey job;
  std::vector<ItemResult> results;
};
/// Mark the job as finished in its status: every item has a result. FinishEnded
/// follows.
struct FinishJob {
  JobKey job;
};
/// Store the progress of the job's items and release its ownership;
/// HandBackEnded follows.
struct HandBackJob {
  JobKey job;
  std::map<ItemId, ItemProgress> progress;
};
/// Save the progress of the job's items, so that a later owner can resume them
/// if this process is lost.
struct SaveProgress {
  JobKey job;
  std::map<ItemId, ItemProgress> progress;
};
/// Release the resources of the job: this process no longer runs it.
struct CloseJob {
  JobKey job;
};
/// Delete the job's documents; JobRemoved or JobDeletionFailed follows.
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
/// \brief An item that may start now, with the progress to resume from.
struct RunnableItem {
  JobKey job;
  ItemId item;
  /// Owned by the scheduler; valid until it handles JobRemoved for the job.
  const ItemProgress* progress = nullptr;
  /// Its runs so far that ended in doubt.
  uint32_t in_doubt_runs = 0;
};

/// \class JobScheduler
/// \brief Decides which process runs which batch job, and in which order its
/// items start. Designed for many jobs that are due within seconds at the same
/// time as peaks of online load.
///
/// The job's document in the store names its owner. When the owner becomes
/// silent, has restarted or hands the job back, one of the live processes
/// claims it by conditional update; rendezvous hashing determines which one
/// tries first. If the owner was in fact alive, an item may run twice, but it
/// never gets two results, because the result log accepts only one.
///
/// Organisations take turns. Within an organisation the items of the job that
/// is due first start first, so that under a backlog jobs are completed one
/// after the other. Items that can no longer finish in time follow.
class JobScheduler {
 public:
  JobScheduler(JobSchedulerOptions options, const PeerTable& peers);

  std::vector<JobSchedulerAction> Handle(const JobSchedulerEvent& event,
                                         ClockReadings now);

  /// Items that may start now, in the order in which they should start.
  std::vector<RunnableItem> RunnableItems(ClockReadings now) const;
  const JobRecord* Find(const JobKey& job) const;
  /// Whether a known job was submitted to the host, finished or not. `host` is
  /// in the form of NormaliseHost().
  bool HasJobOf(const std::string& host) const {
    return m_jobs_of_host.contains(host);
  }
  /// Sets this process as the owner in `status`.
  void SetOwner(JobStatus& status) const;
  /// Whether this process is the owner.
  bool Owns(const JobRecord& record) const;
  /// Whether this process knows that the client has ended the job.
  bool IsEnded(const JobKey& job) const;
  /// The ends that the other processes have to be told of.
  std::vector<JobKey> EndsToReport(MonotonicTime now) const;
  /// The progress of this process's jobs, for reports to the others.
  std::vector<JobProgress> ProgressToReport() const;
  /// What is left to do of every job that is not over, whoever owns it. Results
  /// that this process has not heard of count as left to do.
  std::vector<JobWork> UnfinishedWork() const;
  /// Whether this process is about to accept or withdraw the job.
  bool IsOffered(const JobKey& job) const { return m_offers.contains(job); }
  const VmId& self() const { return m_options.self; }
  /// How long an item occupies slots on average, all its runs together.
  Duration item_time() const { return m_item_time; }
  /// How long it takes on average from an item's first run to its end, the time
  /// in which it is interrupted included.
  Duration item_span() const {
    return std::clamp(m_item_span, m_item_time, 2 * m_item_time);
  }
  /// Whether this process owns the job and has read all its results.
  bool IsOpen(const JobKey& job) const;
  /// Items that run at that backend server, the best one to preempt first: one
  /// that is late anyway, then one whose job is due last, then one that has
  /// most left to do.
  std::vector<std::pair<JobKey, ItemId>> RunningItemsAt(
      const BackendId& backend,
      ClockReadings now) const;
  /// Whether this process has no jobs that it still has to hand back, neither
  /// open ones nor ones that it is claiming.
  bool IsIdle() const;
  size_t jobs() const { return m_jobs.size(); }

 private:
  struct KnownEnd {
    MonotonicTime since;
    /// Tells the job that has ended from a later one with its id; not set
    /// until the job's record is known.
    std::optional<WallTime> submitted;
  };
  enum class ItemPhase { kPending, kRunning, kEnded, kRecorded };
  struct Item {
    ItemPhase phase = ItemPhase::kPending;
    ItemProgress progress;
    MonotonicTime not_before;
    uint32_t in_doubt_runs = 0;
    BackendId backend;
    MonotonicTime run_start;
    std::optional<MonotonicTime> first_start;
    /// How long its earlier runs in this process have taken.
    Duration slot_time{0};
    bool stopping = false;
  };
  enum class Ownership { kNone, kClaiming, kOpening, kOpen };
  struct Job {
    JobRecord record;
    Ownership ownership = Ownership::kNone;
    std::map<ItemId, Item> items;
    /// What other owners have reported.
    JobProgress reported;
    std::vector<ItemResult> unwritten_results;
    MonotonicTime flush_timer_start;
    bool writing = false;
    bool finish_requested = false;
    MonotonicTime next_finish_at;
    bool handed_back = false;
    bool handing_back = false;
    bool delete_requested = false;
    MonotonicTime next_delete_at;
    /// Events received by interrupted items since the last save, the earliest
    /// time of the next save, and whether a save is in progress.
    uint64_t unsaved_events = 0;
    MonotonicTime save_at;
    bool saving = false;
    /// When this process first found the job without a live owner.
    std::optional<MonotonicTime> orphaned_since;
    MonotonicTime next_claim_at;
  };

  void Apply(const JobUpdated& event, ClockReadings now);
  void CountJobOf(const std::string& host);
  void DiscountJobOf(const std::string& host);
  void Apply(const JobRemoved& event, ClockReadings now);
  void Apply(const JobEndAcknowledged& event, ClockReadings now);
  void Apply(const JobEndReported& event, ClockReadings now);
  void Apply(const JobProgressReported& event, ClockReadings now);
  void Apply(const JobOffered& event, ClockReadings now);
  void Apply(const JobOfferEnded& event, ClockReadings now);
  void Apply(const HomeRegionsChanged& event, ClockReadings now);
  void Apply(const SchedulerActivated&, ClockReadings now);
  void Apply(const SchedulerStopping&, ClockReadings now);
  void Apply(const ClaimEnded& event, ClockReadings now);
  void Apply(const JobOpened& event, ClockReadings now);
  void Apply(const JobOpenFailed& event, ClockReadings now);
  void Apply(const ItemStarted& event, ClockReadings now);
  void Apply(const ItemRunEnded& event, ClockReadings now);
  void Apply(const ItemVersionGone& event, ClockReadings now);
  void Apply(const ResultsWritten& event, ClockReadings now);
  void Apply(const ResultsNotWritten& event, ClockReadings now);
  void Apply(const ProgressSaved& event, ClockReadings now);
  void Apply(const HandBackEnded& event, ClockReadings now);
  void Apply(const FinishEnded& event, ClockReadings now);
  void Apply(const JobDeletionFailed& event, ClockReadings now);
  void Apply(const JobRouteRemoved& event, ClockReadings now);
  void Apply(const SchedulerTick&, ClockReadings now);

  bool IsOwner(const Job& job) const { return Owns(job.record); }
  /// Opens the job if this process owns it and has accepted it.
  void MaybeOpen(Job& job);
  /// The results of the job that this process knows of.
  JobProgress ProgressOf(const Job& job) const;
  void RecordItemTime(const Item& item, MonotonicTime now);
  /// How much of an item's work is done, from 0 to 1.
  double DoneFraction(const ItemProgress& progress) const;
  ItemClass ClassOf(const Job& job, const Item& item, WallTime now) const;
  /// How much longer an item with this progress takes.
  Duration SpanLeft(const ItemProgress& progress) const;
  bool IsOver(const Job& job) const;
  /// Whether an end that this process knows of is that of this very job, not of
  /// an earlier one with the same id.
  bool HasKnownEnd(const JobRecord& record) const;
  /// An end that is `certain` is that of the job that is known now.
  void RememberEnd(const JobKey& key, bool certain, ClockReadings now);
  void ForgetOldEnds(MonotonicTime now);
  void Open(Job& job);
  void Close(Job& job);
  void StopItems(Job& job);
  /// Discards the item's output; its failed runs still count.
  static void RestartItem(Item& item);
  void EndItem(Job& job, const ItemId& id, ItemState state, ClockReadings now);
  /// Dead-letters the pending items once the job's `give_up` time has passed.
  void DeadLetterExpired(Job& job, ClockReadings now);
  void DeadLetterPending(Job& job, ClockReadings now);
  void MaybeWriteResults(Job& job, ClockReadings now);
  void MaybeFinish(Job& job, ClockReadings now);
  void MaybeHandBack(Job& job);
  /// Hands a job back without reading its items.
  void HandBackUnread(Job& job);
  /// Opens a job that this process owns and does nothing about: the response to
  /// a claim or a hand-back was lost, or its write has failed.
  void MaybeResume(Job& job, ClockReadings now);
  void MaybeSaveProgress(Job& job, ClockReadings now);
  void AddUnsavedEvents(Job& job, uint64_t events, ClockReadings now);
  /// A failed run has to be saved: the next owner must not run the item as
  /// often again.
  void AddFailedRun(Job& job, ClockReadings now);
  /// Replaces the progress of a pending item by its entry in `known` if that is
  /// further along. The failed runs of both count.
  void AdoptProgress(Item& item,
                     const std::map<ItemId, ItemProgress>& known,
                     const ItemId& id) const;
  /// The progress of the items that have been started but have no result yet.
  static std::map<ItemId, ItemProgress> CollectProgress(const Job& job);
  void MaybeTakeOver(Job& job, ClockReadings now);
  void MaybeDelete(Job& job, ClockReadings now);
  HomeRegions HomeRegionsOf(const Job& job) const;
  /// Whether this VM is in a home region of the job.
  bool MayOwn(const Job& job) const;
  /// Whether it is this process's turn among those that may own the job.
  bool IsClaimCandidate(const Job& job, Duration orphaned_for) const;
  /// Whether this process is among the first `turns` of `live` for the job.
  bool IsAmongFirst(const Job& job,
                    const std::vector<VmId>& live,
                    size_t turns) const;
  bool AllRecorded(const Job& job) const;
  Job* FindJob(const JobKey& key);

  const JobSchedulerOptions m_options;
  const PeerTable& m_peers;
  std::map<JobKey, Job> m_jobs;
  /// The number of jobs of each host that has any.
  std::map<std::string, size_t> m_jobs_of_host;
  /// Ends that this process knows of other than from the job's record. Records
  /// and listings that arrive later may be older.
  std::map<JobKey, KnownEnd> m_ends;
  /// When this process has acknowledged ends.
  std::map<JobKey, MonotonicTime> m_acknowledged_ends;
  std::set<JobKey> m_offers;
  /// Those of removed routes are kept, since their jobs may be unfinished.
  std::map<RouteId, HomeRegions> m_route_regions;
  std::map<OrganisationId, HomeRegions> m_organisation_regions;
  Duration m_item_time;
  double m_item_events;
  Duration m_item_span;
  std::optional<MonotonicTime> m_active_since;
  bool m_stopping = false;
  std::vector<JobSchedulerAction> m_actions;
};

}  // namespace cowslip

#endif  // SOURCE_JOBS_JOB_SCHEDULER_H_
