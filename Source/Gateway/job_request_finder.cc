#include "Gateway/job_request_finder.h"

#include <optional>
#include <utility>

#include "Base/event_log.h"
#include "Base/overloaded.h"
#include "Base/sha256.h"
#include "Gateway/caller_authentication.h"
#include "Gateway/job_handler.h"
#include "Gateway/problem_response.h"
#include "Jobs/job_documents.h"
#include "Net/http_message.h"
#include "platform/job_messages.h"

namespace cowslip {

using boost::asio::awaitable;

namespace {

JobId JobOf(const JobCall& call) {
  return std::visit(Overloaded{[](const MalformedJobCall&) { return JobId(); },
                               [](const auto& valid) { return valid.job; }},
                    call);
}

}  // namespace

JobRequestFinder::JobRequestFinder(GatewayContext& gateway,
                                   JobHandler& jobs,
                                   const JobScheduler& scheduler,
                                   JobPresenceOptions options)
    : m_gateway(gateway),
      m_job_handler(jobs),
      m_scheduler(scheduler),
      m_presence(options) {}

void JobRequestFinder::ApplyConfiguration(
    const FleetConfiguration& configuration) {
  m_presence.Handle(JobHostsOf(configuration), MonotonicClock::now());
}

awaitable<JobRequest> JobRequestFinder::FindCall(const HttpRequest& request,
                                                 const CallerRequest& caller,
                                                 const FleetRoute* route) {
  std::optional<JobCall> call = platform::DecodeJobCall(request);
  if (!call.has_value()) {
    co_return NoJobRequest{};
  }
  if (route == nullptr) {
    co_return std::move(*call);
  }
  if (std::holds_alternative<MalformedJobCall>(*call)) {
    co_return NoJobRequest{};
  }
  const std::string host = NormaliseHost(caller.host);
  const JobPresence presence = m_presence.PresenceWithoutJob(
      host, m_gateway.job_view(), MonotonicClock::now());
  if (presence == JobPresence::kPossible || m_scheduler.HasJobOf(host)) {
    co_return std::move(*call);
  }
  if (presence == JobPresence::kNone) {
    co_return NoJobRequest{};
  }
  co_return co_await ConfirmCall(std::move(*call), caller, *route, presence);
}

awaitable<JobRequest> JobRequestFinder::ConfirmCall(JobCall call,
                                                    const CallerRequest& caller,
                                                    const FleetRoute& route,
                                                    JobPresence presence) {
  const bool is_unconfirmed = presence == JobPresence::kUnconfirmed;
  CallerAuthentication authenticated = AuthenticateCaller(
      *m_gateway.configuration, m_gateway.configuration_is_current, caller.key,
      KeyDemand::kRequired);
  if (auto* problem = std::get_if<Problem>(&authenticated)) {
    // Without a key nobody can read a job, but a public route may serve it.
    const bool may_be_served = problem->kind == ProblemKind::kMissingKey &&
                               KeyDemandOf(route) == KeyDemand::kOptional;
    if (may_be_served && is_unconfirmed) {
      co_return NoJobRequest{};
    }
    if (!may_be_served) {
      co_return std::move(*problem);
    }
    co_return NotReadyProblem(
        "It is not known yet whether this host has batch jobs.");
  }
  JobId id = JobOf(call);
  const Result<JobRecord> record = co_await m_job_handler.FindJob(
      id, std::move(std::get<OrganisationId>(authenticated)));
  const bool is_of_host =
      record.has_value() && NormaliseHost(record.value().definition.host) ==
                                NormaliseHost(caller.host);
  const bool is_missing = record.has_value()
                              ? !is_of_host
                              : record.error().kind() == ErrorKind::kNotFound;
  m_gateway.log.Write(
      "job_call_confirmed",
      {{"id", caller.attempt.value()},
       {"job", id.value()},
       {"host", caller.host},
       {"presence", NameOf(presence)},
       {"found", is_of_host},
       {"why", record.has_value() ? "" : record.error().message}});
  if (is_of_host) {
    co_return std::move(call);
  }
  if (is_missing && is_unconfirmed) {
    co_return NoJobRequest{};
  }
  co_return NotReadyProblem(
      "It is not known yet whether this host has batch jobs.");
}

const JobRecord* JobRequestFinder::FindKnown(
    const JobId& id,
    const OrganisationId& organisation) const {
  const JobRecord* own = m_scheduler.Find(JobKeyFor(id, organisation));
  return own != nullptr || organisation.empty()
             ? own
             : m_scheduler.Find(JobKeyFor(id, OrganisationId()));
}

awaitable<JobRequest> JobRequestFinder::FindRepeat(
    const HttpRequest& request,
    const CallerRequest& caller,
    OrganisationId organisation) {
  JobId id(caller.attempt.value());
  if (request.method != "POST" || !platform::IsJobId(id.value())) {
    co_return NoJobRequest{};
  }
  std::optional<JobRecord> job;
  if (const JobRecord* known = FindKnown(id, organisation)) {
    job = *known;
  } else if (platform::MayBeSubmission(request.body) &&
             !m_presence.KnowsAllJobs(NormaliseHost(caller.host),
                                      m_gateway.job_view(),
                                      MonotonicClock::now()) &&
             platform::DecodeSubmission(request.body).has_value()) {
    Result<JobRecord> read =
        co_await m_job_handler.FindJob(std::move(id), std::move(organisation));
    if (read.has_value()) {
      job = std::move(read.value());
    } else if (read.error().kind() != ErrorKind::kNotFound) {
      co_return JobMayBeAcceptedProblem();
    }
  }
  if (!job.has_value() || job->definition.digest != Sha256(request.body)) {
    co_return NoJobRequest{};
  }
  co_return RepeatedSubmission{std::move(*job)};
}

}  // namespace cowslip
