#ifndef SOURCE_GATEWAY_JOB_HANDLER_H_
#define SOURCE_GATEWAY_JOB_HANDLER_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Fleet/caller_request.h"
#include "Fleet/fleet_configuration.h"
#include "Gateway/gateway_context.h"
#include "Jobs/job_calls.h"
#include "Jobs/job_scheduler.h"
#include "Jobs/result_log.h"
#include "Platform/document_store.h"
#include "Requests/problem.h"

namespace cowslip {

class HttpExchange;
class JobAcceptance;
class JobRunner;
struct HttpResponse;

/// How long a submission is retried at the store. Another VM may reach the
/// store when this one does not, so the client is told early enough to retry
/// there.
inline constexpr Duration kSubmitTimeout = std::chrono::milliseconds(1300);

/// \class JobHandler
/// \brief Serves submissions of batch jobs and calls about them. Any process
/// can serve any job, because everything that a response promises is in the
/// store.
class JobHandler {
 public:
  JobHandler(GatewayContext& gateway,
             DocumentStore& store,
             JobScheduler& scheduler,
             JobRunner& runner,
             JobAcceptance& acceptance);

  /// Accepts a new job, or a repeated submission of one.
  boost::asio::awaitable<void> Submit(HttpExchange& exchange,
                                      CallerRequest caller,
                                      const FleetRoute& route,
                                      OrganisationId organisation);
  /// Answers a repeated submission that no route for jobs gets any more.
  boost::asio::awaitable<void> RespondToRepeat(HttpExchange& exchange,
                                               JobRecord job);
  /// Serves a call about an accepted job.
  boost::asio::awaitable<void> HandleCall(HttpExchange& exchange,
                                          CallerRequest caller,
                                          JobCall call,
                                          OrganisationId organisation);
  /// Finds a job of the organisation, or one that was accepted without an
  /// organisation: by an earlier release on a public route, or while none was
  /// declared. Asks the store unless the job is known. Errors: kNotFound, and
  /// those of DocumentStore::Get().
  boost::asio::awaitable<Result<JobRecord>> FindJob(
      JobId id,
      OrganisationId organisation);

 private:
  /// Reads the results of a job that is not open in this process.
  struct ResultReader;

  boost::asio::awaitable<HttpResponse> AcceptUnlessRejected(
      const std::string& body,
      const CallerRequest& caller,
      const FleetRoute& route,
      OrganisationId organisation,
      MonotonicTime arrived);
  boost::asio::awaitable<HttpResponse> AcceptJob(const std::string& body,
                                                 const CallerRequest& caller,
                                                 const FleetRoute& route,
                                                 OrganisationId organisation,
                                                 JobKey job,
                                                 MonotonicTime arrived);
  /// The key under which a submitted job is kept. A repeat of a job that was
  /// accepted without an organisation belongs to that job.
  boost::asio::awaitable<Result<JobKey>> KeyOfSubmission(
      JobId id,
      OrganisationId organisation,
      const std::string& body);
  boost::asio::awaitable<Result<JobRecord>> ReadJob(JobKey job);

  boost::asio::awaitable<HttpResponse> Respond(ReadResultsCall call,
                                               CallerRequest caller,
                                               OrganisationId organisation);
  boost::asio::awaitable<HttpResponse> Respond(ReadItemCall call,
                                               CallerRequest caller,
                                               OrganisationId organisation);
  boost::asio::awaitable<HttpResponse> Respond(EndJobCall call,
                                               CallerRequest caller,
                                               OrganisationId organisation);
  /// Polls until there is a result at index `from`, the job was ended or `wait`
  /// has passed.
  boost::asio::awaitable<Result<const std::vector<ItemResult>*>>
  ReadResults(JobRecord record, size_t from, Duration wait);
  boost::asio::awaitable<Result<void>> RefreshResultReader(
      std::shared_ptr<ResultReader> reader,
      size_t from);
  std::shared_ptr<ResultReader> ResultReaderFor(const JobKey& job);
  /// Evicts the least recently used reader when all together use too much
  /// memory, but never `in_use`, whose results are about to be read.
  void EvictResultReaders(const ResultReader& in_use);
  HttpResponse UnavailableResponse(const Error& error) const;
  /// `in_doubt` tells whether the job may end nevertheless.
  HttpResponse EndNotConfirmedResponse(const Error& error, bool in_doubt) const;
  HttpResponse AcknowledgeEnd(const JobKey& job);

  GatewayContext& m_gateway;
  DocumentStore& m_store;
  JobScheduler& m_scheduler;
  JobRunner& m_job_runner;
  JobAcceptance& m_acceptance;
  std::map<JobKey, std::shared_ptr<ResultReader>> m_result_readers;
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_JOB_HANDLER_H_
