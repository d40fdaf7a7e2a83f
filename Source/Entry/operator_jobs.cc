#include "Entry/operator_jobs.h"

#include "Batch/batch_driver.h"
#include "Net/json_response.h"

namespace cowslip {

namespace {

constexpr char kRoot[] = "/jobs/";
constexpr char kCancel[] = "/cancel";
constexpr size_t kMaxListedJobs = 10'000;

HttpResponse ToProblem(const Error& error) {
  const int status = error.kind() == ErrorKind::kNotFound ? 404 : 503;
  return JsonResponse(status, {{"type", "urn:cowslip:jobs"},
                               {"title", error.code.message()},
                               {"status", status},
                               {"detail", error.message}});
}

HttpResponse ToResponse(const Result<JobView>& job) {
  return job.has_value() ? JsonResponse(200, job.value())
                         : ToProblem(job.error());
}

}  // namespace

OperatorJobs::OperatorJobs(BatchDriver& batch) : m_batch(batch) {}

boost::asio::awaitable<HttpResponse> OperatorJobs::Handle(
    const HttpRequest& request) {
  const std::string path = request.Path();
  if (path == "/jobs") {
    std::optional<OrganisationId> organisation;
    const auto name = request.Query("organisation");
    if (name.has_value()) {
      organisation = OrganisationId(*name);
    }
    co_return co_await List(std::move(organisation));
  }
  std::string job = path.substr(sizeof(kRoot) - 1);
  if (request.method == "POST" && job.ends_with(kCancel)) {
    job.resize(job.size() - (sizeof(kCancel) - 1));
    const JobId cancelled(job);
    co_return co_await Cancel(cancelled);
  }
  const JobId shown(job);
  const Result<JobView> found = co_await Find(shown);
  co_return ToResponse(found);
}

boost::asio::awaitable<HttpResponse> OperatorJobs::List(
    std::optional<OrganisationId> organisation) {
  const auto jobs =
      co_await m_batch.List(std::move(organisation), kMaxListedJobs);
  if (!jobs.has_value()) {
    co_return ToProblem(jobs.error());
  }
  co_return JsonResponse(200, {{"jobs", jobs.value()}});
}

// Callers' calls name their organisation; an operator knows only the job.
boost::asio::awaitable<Result<JobView>> OperatorJobs::Find(JobId job) {
  const auto jobs = co_await m_batch.List(std::nullopt, kMaxListedJobs);
  if (!jobs.has_value()) {
    co_return jobs.error();
  }
  for (const JobView& view : jobs.value()) {
    if (view.job == job) {
      co_return view;
    }
  }
  co_return Error(ErrorKind::kNotFound,
                  "There is no job " + job.value() +
                      ". List the jobs with `cowslip jobs list`.");
}

boost::asio::awaitable<HttpResponse> OperatorJobs::Cancel(JobId job) {
  const Result<JobView> found = co_await Find(job);
  if (!found.has_value()) {
    co_return ToProblem(found.error());
  }
  const OrganisationId organisation = found.value().organisation;
  const Result<JobView> cancelled = co_await m_batch.Cancel(organisation, job);
  co_return ToResponse(cancelled);
}

}  // namespace cowslip
