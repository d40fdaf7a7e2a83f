#ifndef SOURCE_GATEWAY_JOB_ACCEPTANCE_H_
#define SOURCE_GATEWAY_JOB_ACCEPTANCE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "Gateway/gateway_context.h"
#include "Gateway/process_load.h"
#include "Jobs/job_deadline_core.h"
#include "Jobs/job_scheduler.h"
#include "Jobs/waiting_token_core.h"
#include "Net/http_message.h"
#include "Platform/document_store.h"
#include "Requests/problem.h"

namespace cowslip {

class FleetConfiguration;
class JobRunner;
struct FleetRoute;

/// \class JobSubmission
/// \brief A batch job that a client has submitted, and how far its acceptance
/// has got.
struct JobSubmission {
  JobRecord record;
  std::vector<JobItem> items;
  /// 0 means no limit, see FleetRoute::max_waiting_tokens.
  uint64_t max_waiting_tokens = 0;
  MonotonicTime arrived;
  /// When the client is told to try again at another process.
  MonotonicTime give_up;
  std::vector<nlohmann::json> inputs;
  /// A write had no response, or another process may have accepted the job.
  bool in_doubt = false;
  /// This submission has offered the job.
  bool offering = false;
  /// Why the job is not accepted yet.
  Error why;
};

/// \class JobAcceptance
/// \brief Accepts submitted batch jobs, or rejects them.
///
/// Without a limit on waiting tokens, the items are written first and the job's
/// record last: the record is the acceptance. With a limit, the record is
/// written first, as an offer, and takes its place in the order in which the
/// store creates records. Once this process has read the store up to there,
/// WaitingTokenCore decides; the job is then accepted, which is when its items
/// are written, or its record is removed on the condition that it is unchanged.
/// Another process that receives the same submission meanwhile makes the
/// acceptance known by a conditional write of the job's status, as this one
/// does after a removal in doubt. So the limit costs no call to the store for a
/// job that is accepted where it was submitted first, or that does not fit.
class JobAcceptance {
 public:
  JobAcceptance(GatewayContext& gateway,
                DocumentStore& store,
                JobScheduler& scheduler,
                JobRunner& runner);

  /// The response to a job that can't be accepted whatever its items are;
  /// nullopt if they have to be read. `job` is the key under which it would be
  /// kept.
  boost::asio::awaitable<std::optional<HttpResponse>> RejectUnread(
      const FleetRoute& route,
      OrganisationId organisation,
      JobId id,
      JobKey job);
  boost::asio::awaitable<HttpResponse> Accept(JobSubmission submission);

  /// Call it when a configuration comes into force.
  void ApplyLimits(const FleetConfiguration& configuration);
  /// Samples the load; call it every 100 ms. `lag` is how late the call is.
  /// A memory limit of 0 means that none is known.
  void Tick(Duration lag, uint64_t memory_limit);
  /// The highest number of tokens of one organisation that wait on each route
  /// with a limit.
  std::map<RouteId, uint64_t> MaxWaitingTokens() const;
  const ProcessLoad& process_load() const { return m_process_load; }

 private:
  using Submission = std::shared_ptr<JobSubmission>;
  /// The response, or nullopt to take another step a moment later.
  using Step = std::optional<HttpResponse>;

  boost::asio::awaitable<Step> AcceptNew(Submission submission);
  boost::asio::awaitable<Step> AcceptKnown(Submission submission,
                                           JobRecord known);
  /// Why a job can't be accepted, as far as it is known before anything of it
  /// is written.
  std::optional<Problem> CheckBeforeWrite(JobSubmission& submission);
  std::optional<Problem> CheckProcessLoad() const;
  /// Whether this VM is in a home region of the job.
  std::optional<Problem> CheckHomeRegions(
      const RouteId& route,
      const OrganisationId& organisation) const;
  /// Sets `spare_slots_only` of a job that fits but would be late.
  std::optional<Problem> CheckDeadline(JobDefinition& definition,
                                       uint32_t items);
  /// `record.created` is 0 before the record is written.
  std::optional<Problem> CheckWaitingTokens(const JobSubmission& submission,
                                            const JobRecord& record,
                                            bool allow_former_limits);
  /// Rejects a job if the store has no record of it: an earlier try of its
  /// client may have been accepted.
  boost::asio::awaitable<Step> RejectUnlessKnown(Problem problem, JobKey job);

  boost::asio::awaitable<Step> Offer(Submission submission);
  boost::asio::awaitable<Step> DecideOffer(Submission submission,
                                           JobRecord record);
  boost::asio::awaitable<Step> WithdrawOffer(Submission submission,
                                             JobRecord record,
                                             Problem problem);
  HttpResponse AcceptOffer(JobSubmission& submission, const JobRecord& record);
  /// Accepts an offer whose removal is in doubt, so that it takes effect no
  /// more.
  boost::asio::awaitable<Step> AcceptDespiteRemoval(Submission submission,
                                                    JobRecord record);
  void EndOffer(JobSubmission& submission);
  /// Decides an offer whose client has been told to try again.
  boost::asio::awaitable<void> SettleOffer(Submission submission);
  /// Makes the acceptance of another process's offer known.
  boost::asio::awaitable<Step> ConfirmOffer(Submission submission,
                                            JobRecord known);
  /// Waits until this process knows all jobs up to that version of the store.
  boost::asio::awaitable<bool> WaitForView(ObjectVersion version,
                                           MonotonicTime until);
  boost::asio::awaitable<Result<void>> StoreInputs(Submission submission);
  boost::asio::awaitable<Result<JobRecord>> StoreJob(Submission submission);
  /// Reads the record after a conditional write of it has failed.
  boost::asio::awaitable<void> ReadRecord(JobKey job);
  /// The unfinished jobs, with those that this process is about to offer.
  std::vector<JobWork> UnfinishedWork() const;
  MonotonicTime Limit(const JobSubmission& submission) const;

  GatewayContext& m_gateway;
  DocumentStore& m_store;
  JobScheduler& m_scheduler;
  JobRunner& m_job_runner;
  JobDeadlineCore m_deadlines{JobDeadlineOptions{}};
  WaitingTokenCore m_waiting_tokens{WaitingTokenOptions{}};
  ProcessLoad m_process_load{ProcessLoadOptions{}};
  /// Offers that the scheduler may not know yet.
  std::map<JobKey, JobWork> m_offers;
  MonotonicTime m_sampled_at;
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_JOB_ACCEPTANCE_H_
