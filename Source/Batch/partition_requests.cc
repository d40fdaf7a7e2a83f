// Callers' requests to an owned partition.

#include <utility>

#include "Base/overloaded.h"
#include "Batch/partition_core.h"

namespace cowslip {

namespace {

constexpr char kUnownedMessage[] =
    "The job's partition has no owner just now. Send the request again in a "
    "few seconds, with the same Idempotency-Key.";
constexpr char kNoSuchJobMessage[] =
    "There is no such job. Check its id, and use the key of the organisation "
    "that created it.";
constexpr char kOtherBodyMessage[] =
    "This Idempotency-Key belongs to a job with another body or other "
    "settings. Send a new job under a new key.";
constexpr char kFullMessage[] =
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

void PartitionCore::HoldOrRefuse(BatchRequestId request, PartitionEvent event) {
  if (handing_over() || m_phase == Phase::kPassive) {
    Refuse(request, ErrorKind::kUnavailable, kUnownedMessage);
    return;
  }
  m_held.push_back({.event = std::move(event), .request = request});
  FollowOrClaim();
}

void PartitionCore::ServeHeldRequests() {
  for (const DeferredRequest& held : std::exchange(m_held, {})) {
    std::visit([this](const auto& event) { On(event); }, held.event);
  }
}

void PartitionCore::RefuseAllRequests() {
  const auto refuse = [this](BatchRequestId request) {
    Refuse(request, ErrorKind::kUnavailable, kUnownedMessage);
  };
  for (const DeferredRequest& held : std::exchange(m_held, {})) {
    refuse(held.request);
  }
  for (const auto& [job, lookup] : std::exchange(m_looking_up, {})) {
    for (const DeferredRequest& held : lookup.requests) {
      refuse(held.request);
    }
  }
  for (auto* waiting : {&m_submitters, &m_cancellers}) {
    for (const auto& [job, requests] : std::exchange(*waiting, {})) {
      for (const BatchRequestId request : requests) {
        refuse(request);
      }
    }
  }
  m_accepting.clear();
}

void PartitionCore::On(const SubmitRequested& event) {
  if (!serving()) {
    HoldOrRefuse(event.request, event);
    return;
  }
  const JobId& job = event.header.job;
  const JobState* known = m_state.Find(job);
  const auto accepting = m_accepting.find(job);
  if (known == nullptr && accepting == m_accepting.end()) {
    LookUpEnded(job, {.event = event, .request = event.request});
    return;
  }
  const JobHeader& first = known ? known->header : accepting->second;
  if (first.body_digest != event.header.body_digest) {
    Refuse(event.request, ErrorKind::kConflict, kOtherBodyMessage);
  } else if (known != nullptr) {
    Reply(event.request, known->View());
  } else {
    m_submitters[job].push_back(event.request);
  }
}

void PartitionCore::On(const ViewRequested& event) {
  if (m_phase != Phase::kOwning) {
    Refuse(event.request, ErrorKind::kUnavailable, kUnownedMessage);
    return;
  }
  const JobState* job = m_state.Find(event.job);
  if (job == nullptr || job->header.organisation != event.organisation) {
    Refuse(event.request, ErrorKind::kNotFound, kNoSuchJobMessage);
    return;
  }
  Reply(event.request, job->View());
}

void PartitionCore::On(const CancelRequested& event) {
  if (!serving()) {
    HoldOrRefuse(event.request, event);
    return;
  }
  const JobState* job = m_state.Find(event.job);
  if (job == nullptr) {
    LookUpEnded(event.job, {.event = event, .request = event.request});
    return;
  }
  if (job->header.organisation != event.organisation) {
    Refuse(event.request, ErrorKind::kNotFound, kNoSuchJobMessage);
    return;
  }
  if (!job->running()) {
    Reply(event.request, job->View());
    return;
  }
  m_cancellers[event.job].push_back(event.request);
  StopJob(event.job, JobStatus::kCancelled);
}

void PartitionCore::StopJob(const JobId& job, JobStatus status) {
  // The streams stop at once; the stop itself counts from its commit.
  DropQueue(job);
  if (m_stopping.emplace(job, status).second) {
    AddEntry(JobStopped{.job = job, .status = status, .at_ms = WallMs()},
             /*urgent=*/true);
  }
}

void PartitionCore::ExpireJobs() {
  for (const auto& [id, job] : m_state.jobs) {
    const MonotonicTime expiry =
        FromWallMs(job.header.deadline_ms) + m_options.expire_after_deadline;
    if (job.running() && m_now >= expiry && m_stopping.count(id) == 0) {
      StopJob(id, JobStatus::kExpired);
    }
  }
}

void PartitionCore::LookUpEnded(const JobId& job, DeferredRequest request) {
  EndedJobLookup& lookup = m_looking_up[job];
  lookup.requests.push_back(std::move(request));
  if (lookup.requests.size() == 1) {
    lookup.call = NextCall();
    Emit(ReadEndedJob{.call = lookup.call, .job = job});
  }
}

void PartitionCore::On(const EndedJobReadCompleted& event) {
  const auto found = m_looking_up.find(event.job);
  if (found == m_looking_up.end() || found->second.call != event.call) {
    return;
  }
  const std::vector<DeferredRequest> requests =
      std::move(found->second.requests);
  m_looking_up.erase(found);
  if (!event.answered || m_phase != Phase::kOwning) {
    for (const DeferredRequest& held : requests) {
      Refuse(held.request, ErrorKind::kUnavailable, kUnownedMessage);
    }
    return;
  }
  std::optional<JobState> ended;
  if (event.bytes) {
    auto decoded = DecodeJob(*event.bytes);
    if (!decoded.has_value()) {
      for (const DeferredRequest& held : requests) {
        Refuse(held.request, ErrorKind::kInternal, decoded.error().message);
      }
      return;
    }
    ended = std::move(decoded.value());
  }
  for (const DeferredRequest& held : requests) {
    if (ended) {
      AnswerFromEnded(held, *ended);
    } else {
      AnswerWithoutJob(held);
    }
  }
}

void PartitionCore::AnswerFromEnded(const DeferredRequest& held,
                                    const JobState& job) {
  if (const auto* submit = std::get_if<SubmitRequested>(&held.event)) {
    if (submit->header.body_digest != job.header.body_digest) {
      Refuse(held.request, ErrorKind::kConflict, kOtherBodyMessage);
      return;
    }
  }
  if (const auto* cancel = std::get_if<CancelRequested>(&held.event)) {
    if (cancel->organisation != job.header.organisation) {
      Refuse(held.request, ErrorKind::kNotFound, kNoSuchJobMessage);
      return;
    }
  }
  Reply(held.request, job.View());
}

void PartitionCore::AnswerWithoutJob(const DeferredRequest& held) {
  if (const auto* submit = std::get_if<SubmitRequested>(&held.event)) {
    AcceptJob(*submit);
    return;
  }
  // A submission that waited beside this request may just have been accepted.
  const auto& cancel = std::get<CancelRequested>(held.event);
  if (m_accepting.count(cancel.job) != 0) {
    Refuse(held.request, ErrorKind::kUnavailable, kUnownedMessage);
    return;
  }
  Refuse(held.request, ErrorKind::kNotFound, kNoSuchJobMessage);
}

void PartitionCore::AcceptJob(const SubmitRequested& event) {
  const JobId& job = event.header.job;
  if (m_accepting.count(job) != 0 || m_state.Find(job) != nullptr) {
    On(event);
    return;
  }
  if (handing_over()) {
    Refuse(event.request, ErrorKind::kUnavailable, kUnownedMessage);
    return;
  }
  if (StateBytes() > m_options.max_state_bytes + m_options.unflushed_bytes) {
    Refuse(event.request, ErrorKind::kRateLimited, kFullMessage);
    return;
  }
  m_accepting.emplace(job, event.header);
  m_submitters[job].push_back(event.request);
  AddEntry(JobAccepted{.header = event.header}, /*urgent=*/true);
}

}  // namespace cowslip
