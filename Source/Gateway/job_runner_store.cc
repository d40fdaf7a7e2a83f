#include "Gateway/job_runner.h"

// The part of JobRunner that reads and writes documents in the platform's
// store.

#include <utility>

#include "Base/event_log.h"
#include "Jobs/job_documents.h"
#include "Net/sleep_for.h"

namespace cowslip {

namespace {

using boost::asio::awaitable;

std::set<ItemId> IdsOf(const std::vector<ItemResult>& results) {
  std::set<ItemId> ids;
  for (const ItemResult& result : results) {
    ids.insert(result.item);
  }
  return ids;
}

}  // namespace

awaitable<void> JobRunner::Claim(JobKey job) {
  const JobRecord* known = m_scheduler.Find(job);
  if (known == nullptr) {
    co_return;
  }
  JobStatus status = known->status;
  m_scheduler.SetOwner(status);
  const ObjectVersion version = known->version;
  const DocumentKind kind(kJobKind);
  const DocumentName name = JobName(job);
  nlohmann::json encoded = EncodeStatus(status);
  const Result<Document> claimed =
      co_await m_store.ReplaceStatus(kind, name, std::move(encoded), version);
  if (claimed.has_value()) {
    HandleJobDocument(claimed.value(), "claim");
  } else {
    m_gateway.log.Write("job_claim_failed", {{"job", job.value()},
                                             {"why", claimed.error().message}});
    // This claim or another process's may have succeeded. If the read fails
    // too, the watch tells.
    co_await ReadRecord(job);
  }
  HandleEvent(ClaimEnded{job});
  SchedulePass();
}

awaitable<void> JobRunner::ReadRecord(JobKey job) {
  const DocumentKind kind(kJobKind);
  const DocumentName name = JobName(job);
  const Result<Document> document = co_await m_store.Get(kind, name);
  if (document.has_value()) {
    HandleJobDocument(document.value(), "read");
    co_return;
  }
  m_gateway.log.Write(
      "job_record_not_read",
      {{"job", job.value()}, {"why", document.error().message}});
}

awaitable<void> JobRunner::Open(JobKey job) {
  const Result<void> read = co_await ReadJob(job);
  if (!read.has_value()) {
    if (read.error().kind() == ErrorKind::kConflict) {
      co_await ReadRecord(job);
    }
    m_gateway.log.Write("job_open_failed",
                        {{"job", job.value()}, {"why", read.error().message}});
    co_await SleepFor(m_options.store_retry_delay);
    HandleEvent(JobOpenFailed{job});
    co_return;
  }
  const auto open = m_open_jobs.find(job);
  if (open == m_open_jobs.end()) {
    co_return;
  }
  std::set<ItemId> recorded = IdsOf(open->second.results->results());
  m_gateway.log.Write("job_opened", {{"job", job.value()},
                                     {"items", open->second.items.size()},
                                     {"listed", recorded.size()}});
  HandleEvent(JobOpened{job, std::move(recorded),
                        std::move(open->second.saved_progress)});
  SchedulePass();
}

bool JobRunner::IsLoaded(const JobRecord& record) const {
  const auto found = m_open_jobs.find(record.key);
  return found != m_open_jobs.end() &&
         found->second.items.size() == record.definition.items.size() &&
         found->second.results->fence() == record.fence();
}

awaitable<Result<void>> JobRunner::ReadJob(JobKey job) {
  const JobRecord* record = m_scheduler.Find(job);
  if (record == nullptr || IsLoaded(*record)) {
    co_return Ok();
  }
  if (!m_scheduler.Owns(*record)) {
    co_return Error(ErrorKind::kConflict,
                    "Another process owns the job by now.");
  }
  const JobDefinition definition = record->definition;
  const FencingNumber fence = record->fence();
  const ObjectVersion version = record->version;
  const JobRecord offered = *record;
  OpenedJob opened;
  const DocumentKind kind(kInputKind);
  for (uint32_t i = 0; i < definition.input_segments; ++i) {
    const DocumentName name = InputName(job, definition.digest, i);
    const Result<Document> document = co_await m_store.Get(kind, name);
    if (!document.has_value()) {
      const bool is_given_up =
          !offered.IsAccepted() &&
          WallNow() - definition.submitted >= 2 * kOfferTime;
      if (document.error().kind() == ErrorKind::kNotFound && is_given_up) {
        co_await RemoveUnaccepted(job, version);
        co_return Error(ErrorKind::kConflict, "The job was never accepted.");
      }
      co_return document.error();
    }
    Result<std::vector<JobItem>> items = DecodeInputs(document.value().content);
    if (!items.has_value()) {
      co_return items.error();
    }
    for (JobItem& item : items.value()) {
      const ItemId id = item.id;
      opened.items.emplace(id, std::move(item));
    }
  }
  if (opened.items.size() != definition.items.size()) {
    co_return Error(ErrorKind::kMalformedMessage,
                    "The job's input documents hold other items than its "
                    "record.");
  }
  const Result<void> kept = co_await EndRemovalInDoubt(offered);
  if (!kept.has_value()) {
    co_return kept.error();
  }
  opened.results = std::make_shared<ResultLog>(m_store, job, fence);
  const Result<void> results = co_await opened.results->Claim();
  if (!results.has_value()) {
    co_return results.error();
  }
  const Result<void> saved = co_await ReadSavedProgress(job, opened);
  if (!saved.has_value()) {
    co_return saved.error();
  }
  // Other processes may have owned the job while it was read. The claim is then
  // no longer valid, so what was read must not be used when this process owns
  // the job again.
  record = m_scheduler.Find(job);
  if (record == nullptr || record->fence() != fence) {
    co_return Error(ErrorKind::kConflict,
                    "The job's document has changed. Read the job again.");
  }
  m_open_jobs[job] = std::move(opened);
  co_return Ok();
}

// Conditional, because another process may accept the job at the same time.
awaitable<void> JobRunner::RemoveUnaccepted(JobKey job, ObjectVersion version) {
  const Result<void> removed = co_await m_offer_records.Remove(job, version);
  m_gateway.log.Write(
      "job_never_accepted",
      {{"job", job.value()},
       {"removed", removed.has_value()},
       {"why", removed.has_value() ? "" : removed.error().message}});
  if (removed.has_value()) {
    RemoveJob(job);
  }
}

awaitable<Result<void>> JobRunner::EndRemovalInDoubt(JobRecord record) {
  if (!m_offer_records.MayBeRemoved(record.key, record.version)) {
    co_return Ok();
  }
  const JobKey job = record.key;
  const Result<Document> written =
      co_await m_offer_records.MarkAccepted(std::move(record));
  m_gateway.log.Write(
      "job_removal_in_doubt",
      {{"job", job.value()},
       {"accepted", written.has_value()},
       {"why", written.has_value() ? "" : written.error().message}});
  if (!written.has_value()) {
    co_return written.error();
  }
  HandleJobDocument(written.value(), "write");
  // What was read belongs to the version before.
  co_return Error(ErrorKind::kConflict,
                  "The job's document has changed. Read the job again.");
}

awaitable<Result<void>> JobRunner::ReadSavedProgress(JobKey job,
                                                     OpenedJob& opened) {
  const DocumentKind kind(kProgressKind);
  const DocumentName name = ProgressName(job);
  const Result<Document> document = co_await m_store.Get(kind, name);
  if (!document.has_value()) {
    const bool is_absent = document.error().kind() == ErrorKind::kNotFound;
    co_return is_absent ? Ok() : Result<void>(document.error());
  }
  opened.progress_version = document.value().version;
  auto saved = DecodeProgress(document.value().content);
  if (saved.has_value()) {
    opened.saved_progress = std::move(saved.value());
  } else {
    // Without saved progress the items start from the beginning, which is
    // always correct.
    m_gateway.log.Write("job_progress_unreadable",
                        {{"job", job.value()}, {"why", saved.error().message}});
  }
  co_return Ok();
}

// The output of items is kept out of the record, which every gateway reads in
// each listing of jobs; only the next owner reads the progress.
awaitable<void> JobRunner::HandBack(JobKey job,
                                    JobStatus status,
                                    ObjectVersion based_on,
                                    std::map<ItemId, ItemProgress> progress) {
  if (!progress.empty()) {
    std::map<ItemId, ItemProgress> copy = progress;
    const Result<void> saved = co_await StoreProgress(job, std::move(copy));
    if (!saved.has_value() && saved.error().kind() != ErrorKind::kTooLarge) {
      status.progress = std::move(progress);
    }
  }
  co_await WriteStatus(job, std::move(status), based_on);
  HandleEvent(HandBackEnded{job});
}

awaitable<void> JobRunner::WriteProgress(
    JobKey job,
    std::map<ItemId, ItemProgress> progress) {
  const Result<void> saved = co_await StoreProgress(job, std::move(progress));
  HandleEvent(ProgressSaved{job, saved.has_value()});
}

awaitable<Result<void>> JobRunner::StoreProgress(
    JobKey job,
    std::map<ItemId, ItemProgress> progress) {
  const DocumentKind kind(kProgressKind);
  const DocumentName name = ProgressName(job);
  const auto before = m_open_jobs.find(job);
  const ObjectVersion version = before == m_open_jobs.end()
                                    ? ObjectVersion()
                                    : before->second.progress_version;
  nlohmann::json content = EncodeProgress(progress);
  Result<Document> saved = Error();
  if (version == ObjectVersion()) {
    saved = co_await m_store.Create(kind, name, std::move(content));
  } else {
    saved = co_await m_store.Replace(kind, name, std::move(content), version);
  }
  m_gateway.log.Write(
      "job_progress_saved",
      {{"job", job.value()},
       {"items_begun", progress.size()},
       {"why", saved.has_value() ? "" : saved.error().message}});
  const auto open = m_open_jobs.find(job);
  if (open != m_open_jobs.end()) {
    if (saved.has_value()) {
      open->second.progress_version = saved.value().version;
    } else if (saved.error().kind() == ErrorKind::kConflict) {
      // The conflict is with an earlier write whose response was lost.
      const Result<Document> known = co_await m_store.Get(kind, name);
      const auto still_open = m_open_jobs.find(job);
      if (known.has_value() && still_open != m_open_jobs.end()) {
        still_open->second.progress_version = known.value().version;
      }
    }
  }
  if (!saved.has_value()) {
    co_return saved.error();
  }
  co_return Ok();
}

awaitable<void> JobRunner::AppendResults(JobKey job,
                                         std::vector<ItemResult> results) {
  const auto open = m_open_jobs.find(job);
  if (open == m_open_jobs.end()) {
    // The job was closed before the write began.
    HandleEvent(ResultsNotWritten{job});
    co_return;
  }
  // The job may be closed during the call; the shared pointer keeps the log
  // alive until then.
  const std::shared_ptr<ResultLog> log = open->second.results;
  const size_t count = results.size();
  const Result<void> written = co_await log->Append(std::move(results));
  if (!written.has_value()) {
    m_gateway.log.Write("results_not_written",
                        {{"job", job.value()},
                         {"results", count},
                         {"why", written.error().message}});
    if (written.error().kind() == ErrorKind::kConflict) {
      co_await ReadRecord(job);
    }
    co_await SleepFor(m_options.store_retry_delay);
    HandleEvent(ResultsNotWritten{job});
    co_return;
  }
  m_gateway.log.Write("results_written", {{"job", job.value()},
                                          {"results", count},
                                          {"listed", log->results().size()}});
  HandleEvent(ResultsWritten{job, IdsOf(log->results())});
}

awaitable<void> JobRunner::WriteStatus(JobKey job,
                                       JobStatus status,
                                       ObjectVersion based_on) {
  const DocumentKind kind(kJobKind);
  const DocumentName name = JobName(job);
  nlohmann::json encoded = EncodeStatus(status);
  const Result<Document> written =
      co_await m_store.ReplaceStatus(kind, name, std::move(encoded), based_on);
  if (written.has_value()) {
    HandleJobDocument(written.value(), "write");
    co_return;
  }
  m_gateway.log.Write("job_status_not_written",
                      {{"job", job.value()}, {"why", written.error().message}});
  if (written.error().kind() != ErrorKind::kUnavailable) {
    // This write or another process's may have succeeded.
    co_await ReadRecord(job);
  }
}

awaitable<void> JobRunner::Finish(JobKey job,
                                  JobStatus status,
                                  ObjectVersion based_on) {
  co_await WriteStatus(job, std::move(status), based_on);
  HandleEvent(FinishEnded{job});
}

// The record is removed last, and only once all other removals are certain:
// while it exists, nobody can submit a job with its id, whose documents a
// removal that is carried out late would take away.
awaitable<void> JobRunner::Delete(JobKey job) {
  const JobRecord* record = m_scheduler.Find(job);
  if (record == nullptr) {
    co_return;
  }
  const ObjectVersion version = record->version;
  JobDefinition definition = record->definition;
  Result<void> removed = co_await RemoveParts(job, std::move(definition));
  if (removed.has_value()) {
    const DocumentKind jobs(kJobKind);
    const DocumentName name = JobName(job);
    removed = co_await m_store.RemoveAt(jobs, name, version);
  }
  m_gateway.log.Write(
      "job_deleted",
      {{"job", job.value()},
       {"removed", removed.has_value()},
       {"why", removed.has_value() ? "" : removed.error().message}});
  if (!removed.has_value()) {
    HandleEvent(JobDeletionFailed{job});
  }
}

awaitable<Result<void>> JobRunner::RemoveParts(JobKey job,
                                               JobDefinition definition) {
  const DocumentKind inputs(kInputKind);
  for (uint32_t i = 0; i < definition.input_segments; ++i) {
    const DocumentName name = InputName(job, definition.digest, i);
    const Result<void> removed = co_await m_store.Remove(inputs, name);
    if (!removed.has_value() &&
        removed.error().kind() != ErrorKind::kNotFound) {
      co_return removed;
    }
  }
  const DocumentKind results(kResultKind);
  Result<void> removed = Ok();
  for (uint32_t i = 0; removed.has_value(); ++i) {
    const DocumentName name = ResultName(job, i);
    removed = co_await m_store.Remove(results, name);
  }
  if (removed.error().kind() != ErrorKind::kNotFound) {
    co_return removed;
  }
  const DocumentKind progress(kProgressKind);
  const DocumentName name = ProgressName(job);
  removed = co_await m_store.Remove(progress, name);
  if (!removed.has_value() && removed.error().kind() != ErrorKind::kNotFound) {
    co_return removed;
  }
  co_return Ok();
}

}  // namespace cowslip
