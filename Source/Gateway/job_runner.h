#ifndef SOURCE_GATEWAY_JOB_RUNNER_H_
#define SOURCE_GATEWAY_JOB_RUNNER_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Fleet/home_regions.h"
#include "Gateway/gateway_context.h"
#include "Gateway/item_run.h"
#include "Gateway/offer_records.h"
#include "Jobs/item_services.h"
#include "Jobs/job_scheduler.h"
#include "Jobs/job_types.h"
#include "Jobs/result_log.h"
#include "Jobs/unclaimed_slots.h"
#include "Platform/document_store.h"

namespace cowslip {

class AttemptLease;
class PromptTrial;
struct RunBlocked;

/// \class JobRunnerOptions
/// \brief Limits and intervals for running the items of jobs.
struct JobRunnerOptions {
  /// The number of items that one pass may start, and the interval between
  /// passes. Within an interval, the other processes learn of the started
  /// items.
  size_t max_starts_per_pass = 3;
  Duration min_pass_interval = std::chrono::milliseconds(40);
  /// The interval between two preemptions of items at one backend server, until
  /// the load after the first one is known.
  Duration preempt_interval = std::chrono::milliseconds(60);
  /// The delay before a call to the store is retried.
  Duration store_retry_delay = std::chrono::milliseconds(400);
  /// How long a job's route may be missing before its items are given up. A
  /// configuration without the route may be replaced by the next one at once.
  Duration missing_route_timeout = std::chrono::seconds(3);
  /// How often a blocked prompt part is logged.
  Duration blocked_log_interval = std::chrono::seconds(1);
  /// Seed of the draws among the services of a split route.
  uint64_t seed = 0;
};

/// \class JobRunner
/// \brief Drives the job scheduler: reads and writes the documents of jobs, and
/// runs their items at backend servers.
class JobRunner {
 public:
  JobRunner(GatewayContext& gateway,
            DocumentStore& store,
            JobScheduler& scheduler,
            JobRunnerOptions options);

  /// Adds a job that this process has just accepted, with its items.
  void AddAcceptedJob(JobRecord record, std::vector<JobItem> items);
  /// Decodes a job's document that was read or written, and passes the record
  /// to the scheduler. `source` is the call that returned it, for the log.
  void HandleJobDocument(const Document& document, const char* source);
  void RemoveJob(const JobKey& job);
  /// Accepts a job whose record exists, without its items, see
  /// JobDefinition::offered.
  void AcceptOfferedJob(const JobRecord& record, std::vector<JobItem> items);
  /// The records of offered jobs in the store.
  OfferRecords& offer_records() { return m_offer_records; }
  /// Stops jobs whose end another process has acknowledged.
  void HandleReportedEnds(const std::vector<JobKey>& jobs);
  /// Passes an event to the scheduler and applies the actions it returns.
  void HandleEvent(const JobSchedulerEvent& event);
  /// Schedules a pass, because a change of the load may allow items to start or
  /// require that items are preempted.
  void SchedulePass();
  void Tick();

  /// All results of a job that is open in this process. Null for any other job,
  /// and while another process may know more results.
  const ResultLog* FindOpenResults(const JobKey& job) const;
  /// The services that run the items of the organisation's jobs on the route,
  /// with the parts that they get. Empty while the route is missing.
  std::vector<ServicePart> ServicesOf(const RouteId& route,
                                      const OrganisationId& organisation) const;
  /// An item of a job that is open in this process, else null.
  const JobItem* FindItem(const JobKey& job, const ItemId& item) const;

 private:
  struct OpenedJob {
    std::map<ItemId, JobItem> items;
    std::shared_ptr<ResultLog> results;
    /// Progress that an earlier owner has saved, until it is passed to the
    /// scheduler.
    std::map<ItemId, ItemProgress> saved_progress;
    /// The version of the document with the saved progress; 0 while there is
    /// none.
    ObjectVersion progress_version;
    std::optional<MonotonicTime> route_missing_since;
  };
  using RunKey = std::pair<JobKey, ItemId>;

  void ApplyAction(const ClaimJob& action);
  void ApplyAction(const OpenJob& action);
  void ApplyAction(const StopItem& action);
  void ApplyAction(const WriteResults& action);
  void ApplyAction(const FinishJob& action);
  void ApplyAction(const HandBackJob& action);
  void ApplyAction(const SaveProgress& action);
  void ApplyAction(const CloseJob& action);
  void ApplyAction(const DeleteJob& action);

  boost::asio::awaitable<void> Claim(JobKey job);
  boost::asio::awaitable<void> Open(JobKey job);
  boost::asio::awaitable<Result<void>> ReadJob(JobKey job);
  /// Removes an offered job that was never accepted: its items are not stored.
  boost::asio::awaitable<void> RemoveUnaccepted(JobKey job,
                                                ObjectVersion version);
  /// Accepts an offered job by a write, if a removal of its record may still
  /// take effect.
  boost::asio::awaitable<Result<void>> EndRemovalInDoubt(JobRecord record);
  /// Whether the job's items and results are loaded, with the results claimed
  /// under the fencing number of `record`.
  bool IsLoaded(const JobRecord& record) const;
  /// Reads the job's document after a conflict, because the job may have
  /// another owner by now.
  boost::asio::awaitable<void> ReadRecord(JobKey job);
  boost::asio::awaitable<void> AppendResults(JobKey job,
                                             std::vector<ItemResult> results);
  /// Writes a status that was derived from the record at version `based_on`. A
  /// newer record stays as it is: its client may have ended the job.
  boost::asio::awaitable<void> WriteStatus(JobKey job,
                                           JobStatus status,
                                           ObjectVersion based_on);
  boost::asio::awaitable<void> Finish(JobKey job,
                                      JobStatus status,
                                      ObjectVersion based_on);
  boost::asio::awaitable<void> HandBack(
      JobKey job,
      JobStatus status,
      ObjectVersion based_on,
      std::map<ItemId, ItemProgress> progress);
  boost::asio::awaitable<void> WriteProgress(
      JobKey job,
      std::map<ItemId, ItemProgress> progress);
  boost::asio::awaitable<Result<void>> StoreProgress(
      JobKey job,
      std::map<ItemId, ItemProgress> progress);
  /// Reads the progress that an earlier owner has saved for the job's items.
  boost::asio::awaitable<Result<void>> ReadSavedProgress(JobKey job,
                                                         OpenedJob& opened);
  boost::asio::awaitable<void> Delete(JobKey job);
  /// Removes the job's documents apart from its record. Errors: those of the
  /// first removal that did not complete.
  boost::asio::awaitable<Result<void>> RemoveParts(JobKey job,
                                                   JobDefinition definition);
  boost::asio::awaitable<void> RunItem(RunKey key,
                                       ItemProgress progress,
                                       uint32_t in_doubt_runs,
                                       std::shared_ptr<AttemptLease> lease,
                                       std::shared_ptr<PromptTrial> trial,
                                       JobItem item);
  /// Tells the crash suspects how far a run has come.
  void RecordEvents(const std::vector<PromptPartId>& parts,
                    uint32_t before,
                    uint32_t events);

  void RunPass();
  /// Whether an item of any open job may find a free slot. Finds the services
  /// with free and with unclaimed slots.
  bool FindFreeSlots(ClockReadings now);
  /// The software version that must resume the item; nullopt for an item that
  /// has not begun. An item whose version no longer serves is
  /// restarted from the beginning.
  std::optional<SoftwareVersion> VersionToResume(const RunnableItem& item,
                                                 const ServiceId& service,
                                                 const HomeRegions& regions);
  void StartItems(ClockReadings now);
  /// How many more items this process may run at each service, by its share of
  /// the fleet's backlog.
  std::map<ServiceId, int64_t> ItemsAllowed(ClockReadings now) const;
  /// Whether another backend server than the lease's has a free slot for an
  /// item with this progress.
  bool MayMove(const AttemptLease& lease,
               const ItemProgress& progress,
               const HomeRegions& home_regions) const;
  HomeRegions HomeRegionsOf(const JobRecord& record) const;
  /// Whether an item with this prompt may be run; one that may not stays owed.
  /// Sets `trial` if the prompt is blocked and the item is to test that.
  bool MayRunPrompt(const JobKey& job,
                    const JobItem& item,
                    std::shared_ptr<PromptTrial>& trial);
  /// Logs that an item is held back, at most once per `blocked_log_interval`
  /// for a prompt part.
  void LogBlockedItem(const JobKey& job,
                      const JobItem& item,
                      const RunBlocked& blocked);
  /// Records what the end of a run says about the prompt parts of its item.
  void RecordRunEnd(const ItemRun& run,
                    ItemRunOutcome outcome,
                    const BackendId& backend,
                    uint64_t started_at_ms,
                    bool is_trial);
  void PreemptItems(ClockReadings now);
  /// As ServicesOf(); gives the job's items up once its route has been missing
  /// for long.
  std::vector<ServicePart> ServicesOfOpenJob(OpenedJob& job,
                                             const JobRecord& record);
  /// The service of the item's next run, one of `parts`.
  ServiceId ServiceFor(const RunnableItem& item,
                       const std::vector<ServicePart>& parts,
                       const HomeRegions& regions,
                       MonotonicTime now);

  GatewayContext& m_gateway;
  DocumentStore& m_store;
  JobScheduler& m_scheduler;
  const JobRunnerOptions m_options;
  OfferRecords m_offer_records;
  std::map<JobKey, OpenedJob> m_open_jobs;
  std::map<RunKey, std::shared_ptr<ItemRun>> m_runs;
  /// Runs that were stopped before their coroutine began.
  std::set<RunKey> m_stopped_runs;
  std::map<BackendId, MonotonicTime> m_last_preemption;
  /// The blocked prompt parts found in the current pass.
  std::set<PromptPartId> m_blocked_in_pass;
  /// When items with a blocked prompt part were last logged.
  std::map<PromptPartId, MonotonicTime> m_blocked_logged;
  UnclaimedSlots m_unclaimed_slots{UnclaimedSlotsOptions{}};
  ItemServices m_item_services;
  /// The services with a free slot found in the current pass.
  std::set<ServiceId> m_free_in_pass;
  /// The services with unclaimed slots found in the current pass.
  std::set<ServiceId> m_unclaimed_in_pass;
  boost::asio::steady_timer m_pass_timer;
  bool m_pass_scheduled = false;
  MonotonicTime m_last_pass_time;
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_JOB_RUNNER_H_
