#include "Gateway/job_handler.h"

#include <algorithm>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Base/event_log.h"
#include "Base/sha256.h"
#include "Gateway/gateway_metrics.h"
#include "Gateway/job_acceptance.h"
#include "Gateway/job_runner.h"
#include "Gateway/problem_response.h"
#include "Gateway/shutdown_notice.h"
#include "Jobs/job_documents.h"
#include "Net/http_exchange.h"
#include "Net/json_response.h"
#include "Net/sleep_for.h"
#include "platform/job_messages.h"

namespace cowslip {

namespace {

using boost::asio::awaitable;

// Retry-After of submissions and calls that could not be served.
constexpr Duration kSubmitRetryAfter = std::chrono::milliseconds(300);
// How often the end of a job is written to its record before the client is told
// to try again: other processes may write the record at the same time.
constexpr int kMaxEndJobAttempts = 4;
// The interval between reads for a result that a caller waits for. Callers poll
// twice a second, and every read is a charged call to the store.
constexpr Duration kResultPollInterval = std::chrono::milliseconds(500);
// Memory for cached results of jobs that are not open in this process.
constexpr size_t kMaxResultReaderBytes = 16 << 20;

// The alternatives of JobCall, for the log.
constexpr const char* kCallNames[] = {"results", "item", "end", "malformed"};

HttpResponse NoSuchJobResponse() {
  return ProblemResponse(
      Problem{.kind = ProblemKind::kNoSuchRoute,
              .detail = "The organisation has no such batch job.",
              .not_run = true});
}

HttpResponse MalformedCallResponse() {
  return ProblemResponse(
      Problem{.kind = ProblemKind::kBadRequest,
              .detail = "Name a job, and send a valid position or item.",
              .not_run = true});
}

}  // namespace

// The log is used by one coroutine at a time; the others wait on `available`,
// which is cancelled when the log becomes free.
struct JobHandler::ResultReader {
  ResultReader(boost::asio::io_context& context,
               DocumentStore& store,
               JobKey job)
      : log(store, std::move(job), FencingNumber()), available(context) {}
  ResultLog log;
  boost::asio::steady_timer available;
  bool busy = false;
  MonotonicTime last_used;
};

JobHandler::JobHandler(GatewayContext& gateway,
                       DocumentStore& store,
                       JobScheduler& scheduler,
                       JobRunner& runner,
                       JobAcceptance& acceptance)
    : m_gateway(gateway),
      m_store(store),
      m_scheduler(scheduler),
      m_job_runner(runner),
      m_acceptance(acceptance) {}

HttpResponse JobHandler::UnavailableResponse(const Error& error) const {
  return ProblemResponse(Problem{
      .kind = ProblemKind::kNotReady,
      .detail = "The job cannot be read at the moment: " + error.message,
      .not_run = true,
      .retry_after = kSubmitRetryAfter});
}

awaitable<void> JobHandler::Submit(HttpExchange& exchange,
                                   CallerRequest caller,
                                   const FleetRoute& route,
                                   OrganisationId organisation) {
  const MonotonicTime arrived = MonotonicClock::now();
  HttpResponse response;
  if (exchange.request().method != "POST" ||
      !platform::IsJobId(caller.attempt.value())) {
    response = ProblemResponse(
        Problem{.kind = ProblemKind::kBadRequest,
                .detail = "Submit a job by POST, with an id that has no slash.",
                .not_run = true});
  } else {
    response = co_await AcceptUnlessRejected(exchange.request().body, caller,
                                             route, organisation, arrived);
  }
  m_gateway.metrics.CountRequest("job_submitted_" +
                                 std::to_string(response.status));
  m_gateway.log.Write("job_submitted",
                      {{"id", caller.attempt.value()},
                       {"organisation", organisation.value()},
                       {"status", response.status},
                       {"detail", response.body.substr(0, 200)}});
  (void)co_await exchange.Respond(std::move(response));
}

awaitable<void> JobHandler::RespondToRepeat(HttpExchange& exchange,
                                            JobRecord job) {
  HttpResponse response{.status = 202};
  if (!job.IsAccepted()) {
    response = ProblemResponse(JobMayBeAcceptedProblem());
  }
  m_gateway.metrics.CountRequest("job_repeated_" +
                                 std::to_string(response.status));
  m_gateway.log.Write("job_repeated",
                      {{"id", job.definition.id.value()},
                       {"organisation", job.definition.organisation.value()},
                       {"path", exchange.request().Path()},
                       {"status", response.status}});
  (void)co_await exchange.Respond(std::move(response));
}

awaitable<HttpResponse> JobHandler::AcceptUnlessRejected(
    const std::string& body,
    const CallerRequest& caller,
    const FleetRoute& route,
    OrganisationId organisation,
    MonotonicTime arrived) {
  const JobId id(caller.attempt.value());
  const Result<JobKey> key = co_await KeyOfSubmission(id, organisation, body);
  if (!key.has_value()) {
    co_return UnavailableResponse(key.error());
  }
  std::optional<HttpResponse> rejected =
      co_await m_acceptance.RejectUnread(route, organisation, id, key.value());
  if (rejected.has_value()) {
    co_return std::move(*rejected);
  }
  co_return co_await AcceptJob(body, caller, route, std::move(organisation),
                               key.value(), arrived);
}

awaitable<Result<JobKey>> JobHandler::KeyOfSubmission(
    JobId id,
    OrganisationId organisation,
    const std::string& body) {
  JobKey own = JobKeyFor(id, organisation);
  if (organisation.empty() || m_scheduler.Find(own) != nullptr) {
    co_return own;
  }
  const JobKey other = JobKeyFor(id, OrganisationId());
  const JobRecord* known = m_scheduler.Find(other);
  if (known == nullptr && !m_gateway.jobs_are_current) {
    const Result<JobRecord> read = co_await ReadJob(other);
    if (!read.has_value() && read.error().kind() != ErrorKind::kNotFound) {
      co_return read.error();
    }
    known = m_scheduler.Find(other);
  }
  if (known != nullptr && known->definition.digest == Sha256(body)) {
    co_return other;
  }
  co_return own;
}

awaitable<HttpResponse> JobHandler::AcceptJob(const std::string& body,
                                              const CallerRequest& caller,
                                              const FleetRoute& route,
                                              OrganisationId organisation,
                                              JobKey job,
                                              MonotonicTime arrived) {
  Result<std::vector<JobItem>> items = platform::DecodeSubmission(body);
  if (!items.has_value()) {
    const bool too_large = items.error().kind() == ErrorKind::kTooLarge;
    co_return ProblemResponse(Problem{.kind = too_large
                                                  ? ProblemKind::kBodyTooLarge
                                                  : ProblemKind::kBadRequest,
                                      .detail = items.error().message,
                                      .not_run = true});
  }
  const JobId id(caller.attempt.value());
  const WallTime now = WallNow();
  const auto after = [now](Duration duration) {
    return now + std::chrono::milliseconds(ToMillis(duration));
  };
  JobSubmission submission{
      .record = {.key = std::move(job),
                 .definition = {.id = id,
                                .organisation = organisation,
                                .route = route.id,
                                .host = route.host,
                                .digest = Sha256(body),
                                .submitted = now,
                                .due = after(route.completion_target),
                                .give_up = after(route.retention),
                                .max_attempts = route.max_attempts}},
      .max_waiting_tokens = route.max_waiting_tokens.value_or(0),
      .arrived = arrived,
      .give_up = MonotonicClock::now() + kSubmitTimeout};
  JobDefinition& definition = submission.record.definition;
  for (const JobItem& item : items.value()) {
    if (!item.tokens.has_value() && submission.max_waiting_tokens > 0) {
      co_return ProblemResponse(
          Problem{.kind = ProblemKind::kBadRequest,
                  .detail = "Item " + item.id.value() +
                            " states no `tokens`, which the route limits. "
                            "State them and submit the job again.",
                  .not_run = true});
    }
    definition.items.push_back(item.id);
    definition.tokens.push_back(item.tokens.value_or(0));
  }
  submission.items = std::move(items.value());
  co_return co_await m_acceptance.Accept(std::move(submission));
}

awaitable<Result<JobRecord>> JobHandler::FindJob(JobId id,
                                                 OrganisationId organisation) {
  JobKey key = JobKeyFor(id, organisation);
  Result<JobRecord> own = co_await ReadJob(std::move(key));
  const bool is_missing =
      !own.has_value() && own.error().kind() == ErrorKind::kNotFound;
  if (!is_missing || organisation.empty()) {
    co_return own;
  }
  key = JobKeyFor(id, OrganisationId());
  co_return co_await ReadJob(std::move(key));
}

awaitable<Result<JobRecord>> JobHandler::ReadJob(JobKey job) {
  const JobRecord* known = m_scheduler.Find(job);
  if (known != nullptr) {
    co_return *known;
  }
  const DocumentKind kind(kJobKind);
  const DocumentName name = JobName(job);
  const Result<Document> document = co_await m_store.Get(kind, name);
  if (!document.has_value()) {
    co_return document.error();
  }
  std::optional<JobRecord> decoded = DecodeJob(document.value());
  if (!decoded.has_value()) {
    co_return Error(ErrorKind::kUnavailable,
                    "The job's record is of another version.");
  }
  m_job_runner.HandleJobDocument(document.value(), "read");
  co_return std::move(*decoded);
}

awaitable<void> JobHandler::HandleCall(HttpExchange& exchange,
                                       CallerRequest caller,
                                       JobCall call,
                                       OrganisationId organisation) {
  const size_t kind = call.index();
  HttpResponse response;
  if (auto* read = std::get_if<ReadResultsCall>(&call)) {
    response = co_await Respond(std::move(*read), caller, organisation);
  } else if (auto* item = std::get_if<ReadItemCall>(&call)) {
    response = co_await Respond(std::move(*item), caller, organisation);
  } else if (auto* end = std::get_if<EndJobCall>(&call)) {
    response = co_await Respond(std::move(*end), caller, organisation);
  } else {
    response = MalformedCallResponse();
  }
  const std::string path = exchange.request().Path();
  m_gateway.metrics.CountRequest(std::string("job_") + kCallNames[kind] + "_" +
                                 std::to_string(response.status));
  m_gateway.log.Write("job_call", {{"call", kCallNames[kind]},
                                   {"path", path},
                                   {"organisation", organisation.value()},
                                   {"status", response.status}});
  (void)co_await exchange.Respond(std::move(response));
}

awaitable<HttpResponse> JobHandler::Respond(ReadResultsCall call,
                                            CallerRequest caller,
                                            OrganisationId organisation) {
  const Result<JobRecord> record =
      co_await FindJob(call.job, std::move(organisation));
  if (!record.has_value()) {
    co_return record.error().kind() == ErrorKind::kNotFound
        ? NoSuchJobResponse()
        : UnavailableResponse(record.error());
  }
  const size_t total = record.value().definition.items.size();
  const Result<const std::vector<ItemResult>*> results =
      co_await ReadResults(record.value(), call.from, caller.result_wait);
  if (!results.has_value()) {
    co_return UnavailableResponse(results.error());
  }
  co_return JsonTextResponse(
      200, platform::EncodeResultPage(total, call.from, *results.value()));
}

std::shared_ptr<JobHandler::ResultReader> JobHandler::ResultReaderFor(
    const JobKey& job) {
  std::shared_ptr<ResultReader>& reader = m_result_readers[job];
  if (reader == nullptr) {
    reader = std::make_shared<ResultReader>(m_gateway.io, m_store, job);
  }
  reader->last_used = MonotonicClock::now();
  return reader;
}

void JobHandler::EvictResultReaders(const ResultReader& in_use) {
  size_t bytes = 0;
  auto oldest = m_result_readers.end();
  for (auto at = m_result_readers.begin(); at != m_result_readers.end(); ++at) {
    bytes += at->second->log.bytes();
    const bool older = oldest == m_result_readers.end() ||
                       at->second->last_used < oldest->second->last_used;
    if (!at->second->busy && at->second.get() != &in_use && older) {
      oldest = at;
    }
  }
  if (bytes > kMaxResultReaderBytes && oldest != m_result_readers.end()) {
    m_result_readers.erase(oldest);
  }
}

awaitable<Result<const std::vector<ItemResult>*>>
JobHandler::ReadResults(JobRecord record, size_t from, Duration wait) {
  const MonotonicTime until = MonotonicClock::now() + wait;
  while (true) {
    const bool all_results_read = from >= record.definition.items.size();
    const ResultLog* open = m_job_runner.FindOpenResults(record.key);
    const std::vector<ItemResult>* results = nullptr;
    if (open != nullptr) {
      results = &open->results();
    } else {
      const std::shared_ptr<ResultReader> reader = ResultReaderFor(record.key);
      const Result<void> read = co_await RefreshResultReader(reader, from);
      if (!read.has_value()) {
        co_return read.error();
      }
      results = &reader->log.results();
    }
    const bool has_time = MonotonicClock::now() + kResultPollInterval <
                          m_gateway.shutdown_notice.LimitNow(until);
    const JobRecord* known = m_scheduler.Find(record.key);
    const bool ended = known != nullptr && known->status.ended;
    if (results->size() > from || all_results_read || ended || !has_time) {
      co_return results;
    }
    co_await SleepFor(kResultPollInterval);
  }
}

awaitable<Result<void>> JobHandler::RefreshResultReader(
    std::shared_ptr<ResultReader> reader,
    size_t from) {
  while (reader->busy) {
    reader->available.expires_after(std::chrono::seconds(1));
    boost::system::error_code ignored;
    co_await reader->available.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }
  if (reader->log.results().size() > from) {
    co_return Ok();
  }
  reader->busy = true;
  Result<void> read = co_await reader->log.Refresh();
  reader->busy = false;
  reader->available.cancel();
  EvictResultReaders(*reader);
  co_return read;
}

awaitable<HttpResponse> JobHandler::Respond(ReadItemCall call,
                                            CallerRequest,
                                            OrganisationId organisation) {
  const Result<JobRecord> found =
      co_await FindJob(call.job, std::move(organisation));
  if (!found.has_value()) {
    co_return found.error().kind() == ErrorKind::kNotFound
        ? NoSuchJobResponse()
        : UnavailableResponse(found.error());
  }
  const JobRecord& record = found.value();
  const auto& ids = record.definition.items;
  const bool is_known =
      std::find(ids.begin(), ids.end(), call.item) != ids.end();
  if (!is_known || record.status.ended) {
    co_return NoSuchJobResponse();
  }
  const JobItem* item = m_job_runner.FindItem(record.key, call.item);
  if (item != nullptr) {
    co_return HttpResponse{.body = item->body};
  }
  const DocumentKind kind(kInputKind);
  for (uint32_t i = 0; i < record.definition.input_segments; ++i) {
    const DocumentName name =
        InputName(record.key, record.definition.digest, i);
    const Result<Document> document = co_await m_store.Get(kind, name);
    if (!document.has_value()) {
      co_return UnavailableResponse(document.error());
    }
    const Result<std::vector<JobItem>> items =
        DecodeInputs(document.value().content);
    if (!items.has_value()) {
      co_return UnavailableResponse(items.error());
    }
    for (const JobItem& stored : items.value()) {
      if (stored.id == call.item) {
        co_return HttpResponse{.body = stored.body};
      }
    }
  }
  co_return UnavailableResponse(
      Error(ErrorKind::kNotFound, "the item is missing"));
}

// The job's owner may read the record seconds later, so it is told directly.
HttpResponse JobHandler::AcknowledgeEnd(const JobKey& job) {
  m_job_runner.HandleEvent(JobEndAcknowledged{job});
  m_gateway.reported_state_changed();
  return HttpResponse{.status = 200};
}

awaitable<HttpResponse> JobHandler::Respond(EndJobCall call,
                                            CallerRequest,
                                            OrganisationId organisation) {
  Result<JobRecord> record =
      co_await FindJob(call.job, std::move(organisation));
  const JobKey key = record.has_value() ? record.value().key : JobKey();
  const DocumentKind kind(kJobKind);
  const DocumentName name = JobName(key);
  // A write without a response may still end the job.
  bool in_doubt = false;
  for (int i = 0; i < kMaxEndJobAttempts; ++i) {
    if (!record.has_value()) {
      co_return record.error().kind() == ErrorKind::kNotFound
          ? NoSuchJobResponse()
          : EndNotConfirmedResponse(record.error(), in_doubt);
    }
    if (record.value().status.ended) {
      co_return AcknowledgeEnd(key);
    }
    JobStatus status = record.value().status;
    status.ended = true;
    status.progress.clear();
    nlohmann::json encoded = EncodeStatus(status);
    const ObjectVersion version = record.value().version;
    const Result<Document> written =
        co_await m_store.ReplaceStatus(kind, name, std::move(encoded), version);
    if (written.has_value()) {
      m_job_runner.HandleJobDocument(written.value(), "write");
      co_return AcknowledgeEnd(key);
    }
    if (written.error().kind() == ErrorKind::kUnavailable) {
      co_return EndNotConfirmedResponse(written.error(), in_doubt);
    }
    in_doubt |= written.error().kind() == ErrorKind::kInDoubt;
    // Another process has written the record, or this write had no response.
    const Result<Document> now = co_await m_store.Get(kind, name);
    if (!now.has_value()) {
      co_return now.error().kind() == ErrorKind::kNotFound
          ? NoSuchJobResponse()
          : EndNotConfirmedResponse(now.error(), in_doubt);
    }
    m_job_runner.HandleJobDocument(now.value(), "read");
    record = co_await ReadJob(key);
  }
  co_return EndNotConfirmedResponse(
      Error(ErrorKind::kUnavailable, "the job's record changes too often"),
      in_doubt);
}

HttpResponse JobHandler::EndNotConfirmedResponse(const Error& error,
                                                 bool in_doubt) const {
  if (!in_doubt) {
    return UnavailableResponse(error);
  }
  return ProblemResponse(
      Problem{.kind = ProblemKind::kDeadlinePassed,
              .detail = "The job may have been ended. Send the call again: " +
                        error.message});
}

}  // namespace cowslip
