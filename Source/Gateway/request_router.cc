#include "Gateway/request_router.h"

#include <algorithm>
#include <utility>

#include "Base/event_log.h"
#include "Gateway/dispatcher.h"
#include "Gateway/gateway_metrics.h"
#include "Gateway/job_handler.h"
#include "Gateway/job_request_finder.h"
#include "Gateway/problem_response.h"
#include "Gateway/relay_session.h"
#include "Gateway/startup_gate.h"
#include "Net/http_exchange.h"
#include "Quota/quota_core.h"
#include "platform/request_headers.h"

namespace cowslip {

using boost::asio::awaitable;

RequestRouter::RequestRouter(GatewayContext& gateway,
                             JobHandler& jobs,
                             JobRequestFinder& finder,
                             uint64_t seed)
    : m_gateway(gateway),
      m_job_handler(jobs),
      m_job_requests(finder),
      m_random(seed) {}

awaitable<void> RequestRouter::RespondWithProblem(HttpExchange& exchange,
                                                  const CallerRequest& caller,
                                                  Problem problem) {
  m_gateway.metrics.CountRequest(NameOf(problem.kind));
  const uint64_t version = m_gateway.configuration == nullptr
                               ? 0
                               : m_gateway.configuration->version().value();
  m_gateway.log.Write("request_refused",
                      {{"id", caller.attempt.value()},
                       {"kind", NameOf(problem.kind)},
                       {"host", caller.host},
                       {"path", exchange.request().Path()},
                       {"configuration", version},
                       {"current", m_gateway.configuration_is_current},
                       {"detail", problem.detail}});
  HttpResponse response = ProblemResponse(problem);
  (void)co_await exchange.Respond(std::move(response));
}

awaitable<void> RequestRouter::Handle(HttpExchange& exchange) {
  const MonotonicTime arrived = MonotonicClock::now();
  Result<CallerRequest> decoded =
      platform::DecodeCallerRequest(exchange.request());
  if (!decoded.has_value()) {
    Problem problem{.kind = ProblemKind::kBadRequest,
                    .detail = decoded.error().message,
                    .not_run = true};
    const CallerRequest unknown;
    co_await RespondWithProblem(exchange, unknown, std::move(problem));
    co_return;
  }
  CallerRequest caller = std::move(decoded.value());
  if (!m_gateway.startup_gate.is_open()) {
    const Duration limit = caller.deadline.value_or(Duration::max());
    co_await m_gateway.startup_gate.Wait(limit);
  }
  const auto configuration = m_gateway.configuration;
  if (configuration == nullptr) {
    Problem problem = NotReadyProblem("This VM has no configuration yet.");
    co_await RespondWithProblem(exchange, caller, std::move(problem));
    co_return;
  }
  const std::string path = exchange.request().Path();
  const FleetRoute* route = configuration->FindRoute(caller.host, path);
  JobRequest job_request =
      co_await m_job_requests.FindCall(exchange.request(), caller, route);
  if (!std::holds_alternative<NoJobRequest>(job_request)) {
    co_await HandleJobRequest(exchange, std::move(caller),
                              std::move(job_request));
    co_return;
  }
  CallerAuthentication authenticated = Authenticate(
      caller, route == nullptr ? KeyDemand::kRequired : KeyDemandOf(*route));
  auto* organisation = std::get_if<OrganisationId>(&authenticated);
  const bool submits = route != nullptr && route->kind == RequestKind::kBatch;
  if (organisation != nullptr && !submits) {
    job_request = co_await m_job_requests.FindRepeat(exchange.request(), caller,
                                                     *organisation);
    if (!std::holds_alternative<NoJobRequest>(job_request)) {
      co_await HandleJobRequest(exchange, std::move(caller),
                                std::move(job_request));
      co_return;
    }
  }
  if (route == nullptr) {
    Problem problem =
        m_gateway.configuration_is_current
            ? Problem{.kind = ProblemKind::kNoSuchRoute,
                      .detail = "No route of this host begins with the path.",
                      .not_run = true}
            : NotReadyProblem(
                  "The route may be newer than this VM's configuration.");
    co_await RespondWithProblem(exchange, caller, std::move(problem));
    co_return;
  }
  if (auto* problem = std::get_if<Problem>(&authenticated)) {
    co_await RespondWithProblem(exchange, caller, std::move(*problem));
    co_return;
  }
  if (submits) {
    co_await m_job_handler.Submit(exchange, std::move(caller), *route,
                                  std::move(*organisation));
    co_return;
  }
  co_await HandleOnline(exchange, std::move(caller), *route,
                        std::move(*organisation), arrived);
}

awaitable<void> RequestRouter::HandleJobRequest(HttpExchange& exchange,
                                                CallerRequest caller,
                                                JobRequest request) {
  if (auto* call = std::get_if<JobCall>(&request)) {
    co_await HandleJobCall(exchange, std::move(caller), std::move(*call));
  } else if (auto* repeat = std::get_if<RepeatedSubmission>(&request)) {
    co_await m_job_handler.RespondToRepeat(exchange, std::move(repeat->job));
  } else if (auto* problem = std::get_if<Problem>(&request)) {
    co_await RespondWithProblem(exchange, caller, std::move(*problem));
  }
}

awaitable<void> RequestRouter::HandleJobCall(HttpExchange& exchange,
                                             CallerRequest caller,
                                             JobCall call) {
  CallerAuthentication authenticated =
      Authenticate(caller, KeyDemand::kRequired);
  if (auto* problem = std::get_if<Problem>(&authenticated)) {
    co_await RespondWithProblem(exchange, caller, std::move(*problem));
    co_return;
  }
  OrganisationId organisation =
      std::move(std::get<OrganisationId>(authenticated));
  co_await m_job_handler.HandleCall(exchange, std::move(caller),
                                    std::move(call), std::move(organisation));
}

CallerAuthentication RequestRouter::Authenticate(const CallerRequest& caller,
                                                 KeyDemand demand) const {
  return AuthenticateCaller(*m_gateway.configuration,
                            m_gateway.configuration_is_current, caller.key,
                            demand);
}

std::optional<Problem> RequestRouter::CheckQuota(
    const CallerRequest& caller,
    const OrganisationId& organisation) {
  const QuotaAction action = m_gateway.quota.Handle(
      QuotaCheckRequested{organisation}, MonotonicClock::now());
  if (const auto* exceeded = std::get_if<QuotaExceeded>(&action)) {
    m_gateway.log.Write("quota_exceeded",
                        {{"id", caller.attempt.value()},
                         {"organisation", organisation.value()},
                         {"level", exceeded->level},
                         {"unseen", exceeded->unseen},
                         {"rate", exceeded->rate},
                         {"burst", exceeded->burst}});
    return Problem{.kind = ProblemKind::kRateLimited,
                   .detail =
                       "The organisation's rate and burst are used up. Come "
                       "back after the time in Retry-After.",
                   .not_run = true,
                   .retry_after = exceeded->retry_after};
  }
  m_gateway.reported_state_changed();
  return std::nullopt;
}

ServiceId RequestRouter::PickService(const FleetRoute& route,
                                     const HomeRegions& home_regions) {
  const std::vector<ServicePart> parts =
      m_gateway.dispatcher.placement_core().PartsOf(route.split, home_regions);
  if (parts.empty()) {
    return ServiceId();
  }
  return ServiceAt(parts,
                   std::uniform_real_distribution<double>(0, 1)(m_random));
}

awaitable<void> RequestRouter::HandleOnline(HttpExchange& exchange,
                                            CallerRequest caller,
                                            const FleetRoute& route,
                                            OrganisationId organisation,
                                            MonotonicTime arrived) {
  std::optional<Problem> problem = CheckQuota(caller, organisation);
  if (problem.has_value()) {
    co_await RespondWithProblem(exchange, caller, std::move(*problem));
    co_return;
  }
  const FleetOrganisation* fleet_organisation =
      m_gateway.configuration->FindOrganisation(organisation);
  HomeRegions home_regions =
      fleet_organisation == nullptr
          ? route.home_regions
          : route.home_regions.Intersect(fleet_organisation->home_regions);
  const bool own_priority =
      fleet_organisation != nullptr && fleet_organisation->priority >= 0;
  ServiceId service = PickService(route, home_regions);
  RelayRequest request{
      .caller = std::move(caller),
      .route = &route,
      .configuration = m_gateway.configuration,
      .organisation = std::move(organisation),
      .priority = own_priority ? fleet_organisation->priority : route.priority,
      .service = std::move(service),
      .arrived = arrived,
      .home_regions = std::move(home_regions)};
  RelaySession session(m_gateway, exchange, std::move(request));
  co_await session.Run();
}

}  // namespace cowslip
