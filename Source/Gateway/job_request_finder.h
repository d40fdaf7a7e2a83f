#ifndef SOURCE_GATEWAY_JOB_REQUEST_FINDER_H_
#define SOURCE_GATEWAY_JOB_REQUEST_FINDER_H_

#include <string>
#include <variant>

#include <boost/asio/awaitable.hpp>

#include "Fleet/caller_request.h"
#include "Fleet/fleet_configuration.h"
#include "Gateway/gateway_context.h"
#include "Jobs/job_calls.h"
#include "Jobs/job_presence_core.h"
#include "Jobs/job_scheduler.h"
#include "Jobs/job_types.h"
#include "Requests/problem.h"

namespace cowslip {

class JobHandler;
struct HttpRequest;

/// The request goes by its route.
struct NoJobRequest {};
/// The request submits an accepted job once more.
struct RepeatedSubmission {
  JobRecord job;
};
/// What a request has to do with accepted batch jobs, or why this process can't
/// tell.
using JobRequest =
    std::variant<NoJobRequest, JobCall, RepeatedSubmission, Problem>;

/// \class JobRequestFinder
/// \brief Tells the requests about accepted batch jobs from those that go by
/// their route.
///
/// A job outlives the configuration that accepted it, so its paths precede the
/// routes wherever there can be jobs. Where this process can't know that, the
/// store is asked, and if it can't be asked, nobody gets the request. See
/// docs/design/job-paths.md.
class JobRequestFinder {
 public:
  JobRequestFinder(GatewayContext& gateway,
                   JobHandler& jobs,
                   const JobScheduler& scheduler,
                   JobPresenceOptions options);

  /// Call it when a configuration comes into force.
  void ApplyConfiguration(const FleetConfiguration& configuration);
  /// Finds calls. `route` is the route of the request's path; null if there is
  /// none.
  boost::asio::awaitable<JobRequest> FindCall(const HttpRequest& request,
                                              const CallerRequest& caller,
                                              const FleetRoute* route);
  /// Finds repeated submissions among the requests that no route for jobs gets.
  boost::asio::awaitable<JobRequest> FindRepeat(const HttpRequest& request,
                                                const CallerRequest& caller,
                                                OrganisationId organisation);

 private:
  /// The job, if it is known here without a call to the store; else null.
  const JobRecord* FindKnown(const JobId& id,
                             const OrganisationId& organisation) const;
  boost::asio::awaitable<JobRequest> ConfirmCall(JobCall call,
                                                 const CallerRequest& caller,
                                                 const FleetRoute& route,
                                                 JobPresence presence);

  GatewayContext& m_gateway;
  JobHandler& m_job_handler;
  const JobScheduler& m_scheduler;
  JobPresenceCore m_presence;
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_JOB_REQUEST_FINDER_H_
