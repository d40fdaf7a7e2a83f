#ifndef SOURCE_GATEWAY_REQUEST_ROUTER_H_
#define SOURCE_GATEWAY_REQUEST_ROUTER_H_

#include <cstdint>
#include <optional>
#include <random>

#include <boost/asio/awaitable.hpp>

#include "Fleet/caller_request.h"
#include "Fleet/fleet_configuration.h"
#include "Gateway/caller_authentication.h"
#include "Gateway/gateway_context.h"
#include "Gateway/job_request_finder.h"
#include "Jobs/job_calls.h"
#include "Requests/problem.h"

namespace cowslip {

class HttpExchange;
class JobHandler;

/// \class RequestRouter
/// \brief Handles every request of callers: finds its route and organisation,
/// checks the quota, and passes it to a RelaySession or to the JobHandler.
class RequestRouter {
 public:
  /// `jobs` handles submissions of batch jobs and calls about them, which
  /// `finder` finds.
  RequestRouter(GatewayContext& gateway,
                JobHandler& jobs,
                JobRequestFinder& finder,
                uint64_t seed);

  boost::asio::awaitable<void> Handle(HttpExchange& exchange);

 private:
  boost::asio::awaitable<void> HandleOnline(HttpExchange& exchange,
                                            CallerRequest caller,
                                            const FleetRoute& route,
                                            OrganisationId organisation,
                                            MonotonicTime arrived);
  boost::asio::awaitable<void> RespondWithProblem(HttpExchange& exchange,
                                                  const CallerRequest& caller,
                                                  Problem problem);
  /// `request` is not a NoJobRequest.
  boost::asio::awaitable<void> HandleJobRequest(HttpExchange& exchange,
                                                CallerRequest caller,
                                                JobRequest request);
  boost::asio::awaitable<void> HandleJobCall(HttpExchange& exchange,
                                             CallerRequest caller,
                                             JobCall call);
  CallerAuthentication Authenticate(const CallerRequest& caller,
                                    KeyDemand demand) const;
  std::optional<Problem> CheckQuota(const CallerRequest& caller,
                                    const OrganisationId& organisation);
  ServiceId PickService(const FleetRoute& route,
                        const HomeRegions& home_regions);

  GatewayContext& m_gateway;
  JobHandler& m_job_handler;
  JobRequestFinder& m_job_requests;
  std::mt19937_64 m_random;
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_REQUEST_ROUTER_H_
