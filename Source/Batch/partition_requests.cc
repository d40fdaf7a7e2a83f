// Callers' requests to an owned partition.

#include <utility>

#include "Base/overloaded.h"
#include "Batch/partition_core.h"

namespace cowslip {

namespace {

constexpr char kNoOwnerMessage[] =
    "The job's partition has no owner just now. Send the request again in a "
    "few seconds, with the same Idempotency-Key.";
constexpr char kJobNotFoundMessage[] =
    "There is no such job. Check its id, and use the key of the organisation "
    "that created it.";
constexpr char kKeyReusedMessage[] =
    "This Idempotency-Key belongs to a job with another body or other "
    "settings. Send a new job under a new key.";
constexpr char kPartitionFullMessage[] =
    "The job's partition holds as many running jobs as it can. Send the job "
    "again in some minutes, with the same Idempotency-Key.";

}  // namespace

void PartitionCore::Reply(BatchRequestId request, JobView view) {
  Emit(ReplyWithJob{.request = request, .view = std::move(view)});
}

void PartitionCore::Refuse(BatchRequestId request,
                           ErrorKind kind,
                           std::string message) {
  Emit(ReplyWithError{.request = request,
                      .error = Error(kind, std::move(message))});
}

void PartitionCore::DeferOrRefuse(BatchRequestId request,
                                  PartitionEvent event) {
  if (handing_over() || m_phase == Phase::kPassive) {
    Refuse(request, ErrorKind::kUnavailable, kNoOwnerMessage);
    return;
  }
  m_deferred.push_back({.event = std::move(event), .request = request});
  FollowOrClaim();
}

void PartitionCore::HandleDeferredRequests() {
  for (const DeferredRequest& deferred : std::exchange(m_deferred, {})) {
    std::visit([this](const auto& event) { On(event); }, deferred.event);
  }
}

void PartitionCore::RefuseAllRequests() {
  const auto refuse = [this](BatchRequestId request) {
    Refuse(request, ErrorKind::kUnavailable, kNoOwnerMessage);
  };
  for (const DeferredRequest& deferred : std::exchange(m_deferred, {})) {
    refuse(deferred.request);
  }
  for (const auto& [job, lookup] : std::exchange(m_ended_job_lookups, {})) {
    for (const DeferredRequest& deferred : lookup.requests) {
      refuse(deferred.request);
    }
  }
  for (auto* waiting : {&m_submit_requests, &m_cancel_requests}) {
    for (const auto& [job, requests] : std::exchange(*waiting, {})) {
      for (const BatchRequestId request : requests) {
        refuse(request);
      }
    }
  }
  m_uncommitted_jobs.clear();
}

void PartitionCore::On(const SubmitRequested& event) {
  if (!serving()) {
    DeferOrRefuse(event.request, event);
    return;
  }
  const JobId& job = event.header.job;
  const JobState* job_state = m_state.Find(job);
  const auto uncommitted = m_uncommitted_jobs.find(job);
  if (job_state == nullptr && uncommitted == m_uncommitted_jobs.end()) {
    LookUpEndedJob(job, {.event = event, .request = event.request});
    return;
  }
  const JobHeader& accepted_header =
      job_state ? job_state->header : uncommitted->second;
  if (accepted_header.body_digest != event.header.body_digest) {
    Refuse(event.request, ErrorKind::kConflict, kKeyReusedMessage);
  } else if (job_state != nullptr) {
    Reply(event.request, job_state->View());
  } else {
    m_submit_requests[job].push_back(event.request);
  }
}

void PartitionCore::On(const ViewRequested& event) {
  if (m_phase != Phase::kOwning) {
    Refuse(event.request, ErrorKind::kUnavailable, kNoOwnerMessage);
    return;
  }
  const JobState* job = m_state.Find(event.job);
  if (job == nullptr || job->header.organisation != event.organisation) {
    Refuse(event.request, ErrorKind::kNotFound, kJobNotFoundMessage);
    return;
  }
  Reply(event.request, job->View());
}

void PartitionCore::On(const CancelRequested& event) {
  if (!serving()) {
    DeferOrRefuse(event.request, event);
    return;
  }
  const JobState* job = m_state.Find(event.job);
  if (job == nullptr) {
    LookUpEndedJob(event.job, {.event = event, .request = event.request});
    return;
  }
  if (job->header.organisation != event.organisation) {
    Refuse(event.request, ErrorKind::kNotFound, kJobNotFoundMessage);
    return;
  }
  if (!job->running()) {
    Reply(event.request, job->View());
    return;
  }
  m_cancel_requests[event.job].push_back(event.request);
  StopJob(event.job, JobStatus::kCancelled);
}

void PartitionCore::StopJob(const JobId& job, JobStatus status) {
  // Running items are cancelled at once; the job itself ends when the entry is
  // committed.
  DropQueue(job);
  if (m_stopping_jobs.emplace(job, status).second) {
    AddEntry(JobStopped{.job = job, .status = status, .at_ms = WallMs()},
             /*urgent=*/true);
  }
}

void PartitionCore::ExpireJobs() {
  for (const auto& [id, job] : m_state.jobs) {
    const MonotonicTime expiry =
        FromWallMs(job.header.deadline_ms) + m_options.expire_after_deadline;
    if (job.running() && m_now >= expiry && m_stopping_jobs.count(id) == 0) {
      StopJob(id, JobStatus::kExpired);
    }
  }
}

void PartitionCore::LookUpEndedJob(const JobId& job, DeferredRequest request) {
  EndedJobLookup& lookup = m_ended_job_lookups[job];
  lookup.requests.push_back(std::move(request));
  if (lookup.requests.size() == 1) {
    lookup.call = NextCall();
    Emit(ReadEndedJob{.call = lookup.call, .job = job});
  }
}

void PartitionCore::On(const EndedJobReadCompleted& event) {
  const auto found = m_ended_job_lookups.find(event.job);
  if (found == m_ended_job_lookups.end() || found->second.call != event.call) {
    return;
  }
  const std::vector<DeferredRequest> requests =
      std::move(found->second.requests);
  m_ended_job_lookups.erase(found);
  if (!event.succeeded || m_phase != Phase::kOwning) {
    for (const DeferredRequest& deferred : requests) {
      Refuse(deferred.request, ErrorKind::kUnavailable, kNoOwnerMessage);
    }
    return;
  }
  std::optional<JobState> ended;
  if (event.bytes) {
    auto decoded = DecodeJob(*event.bytes);
    if (!decoded.has_value()) {
      for (const DeferredRequest& deferred : requests) {
        Refuse(deferred.request, ErrorKind::kInternal, decoded.error().message);
      }
      return;
    }
    ended = std::move(decoded.value());
  }
  for (const DeferredRequest& deferred : requests) {
    if (ended) {
      ReplyFromEndedJob(deferred, *ended);
    } else {
      HandleUnknownJob(deferred);
    }
  }
}

void PartitionCore::ReplyFromEndedJob(const DeferredRequest& deferred,
                                      const JobState& job) {
  if (const auto* submit = std::get_if<SubmitRequested>(&deferred.event)) {
    if (submit->header.body_digest != job.header.body_digest) {
      Refuse(deferred.request, ErrorKind::kConflict, kKeyReusedMessage);
      return;
    }
  }
  if (const auto* cancel = std::get_if<CancelRequested>(&deferred.event)) {
    if (cancel->organisation != job.header.organisation) {
      Refuse(deferred.request, ErrorKind::kNotFound, kJobNotFoundMessage);
      return;
    }
  }
  Reply(deferred.request, job.View());
}

void PartitionCore::HandleUnknownJob(const DeferredRequest& deferred) {
  if (const auto* submit = std::get_if<SubmitRequested>(&deferred.event)) {
    AcceptJob(*submit);
    return;
  }
  // A submission that waited for the same read may just have been accepted.
  const auto& cancel = std::get<CancelRequested>(deferred.event);
  if (m_uncommitted_jobs.count(cancel.job) != 0) {
    Refuse(deferred.request, ErrorKind::kUnavailable, kNoOwnerMessage);
    return;
  }
  Refuse(deferred.request, ErrorKind::kNotFound, kJobNotFoundMessage);
}

void PartitionCore::AcceptJob(const SubmitRequested& event) {
  const JobId& job = event.header.job;
  if (m_uncommitted_jobs.count(job) != 0 || m_state.Find(job) != nullptr) {
    On(event);
    return;
  }
  if (handing_over()) {
    Refuse(event.request, ErrorKind::kUnavailable, kNoOwnerMessage);
    return;
  }
  if (StateBytes() >
      m_options.max_state_bytes + m_options.max_unflushed_bytes) {
    Refuse(event.request, ErrorKind::kRateLimited, kPartitionFullMessage);
    return;
  }
  m_uncommitted_jobs.emplace(job, event.header);
  m_submit_requests[job].push_back(event.request);
  AddEntry(JobAccepted{.header = event.header}, /*urgent=*/true);
}

}  // namespace cowslip
