#include "Utilities/Bench/batch_load.h"

#include <utility>

#include "Base/json.h"
#include "Net/sleep_for.h"
#include "Utilities/Bench/answer_check.h"

namespace cowslip {

namespace {

using boost::asio::awaitable;

constexpr Duration kPollInterval = std::chrono::milliseconds(200);
constexpr Duration kCallTimeout = std::chrono::seconds(30);
constexpr Duration kRetryDelay = std::chrono::milliseconds(500);
constexpr int kMaxAttempts = 60;
constexpr size_t kResultsPage = 1000;
constexpr JsonLimits kAnswerLimits = {.max_bytes = 64 << 20};

double SecondsOf(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

BatchLoad::BatchLoad(boost::asio::io_context& context,
                     const BenchOptions& options,
                     BenchReport& report)
    : m_context(context),
      m_options(options),
      m_report(report),
      m_run(std::to_string(WallNow().time_since_epoch().count())) {
  for (const Endpoint& target : options.targets) {
    m_clients.push_back(
        std::make_unique<HttpClient>(context.get_executor(), target));
  }
}

std::string BatchLoad::MarkerOf(const Job& job, size_t item) const {
  return "item-" + std::to_string(m_options.seed) + "-" +
         std::to_string(job.number) + "-" + std::to_string(item);
}

std::string BatchLoad::ItemsOf(const Job& job) const {
  std::string lines;
  for (size_t i = 0; i < m_options.batch_items; ++i) {
    const std::string marker = MarkerOf(job, i);
    const nlohmann::json message = {{"role", "user"}, {"content", marker}};
    const nlohmann::json body = {{"messages", nlohmann::json::array({message})},
                                 {"max_tokens", m_options.batch_max_tokens}};
    lines += DumpJson({{"custom_id", marker}, {"body", body}}) + "\n";
  }
  return lines;
}

awaitable<nlohmann::json> BatchLoad::Call(const Job& job, HttpRequest request) {
  request.headers.push_back({"Authorization", "Bearer " + job.caller->key});
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    HttpClient& client = *m_clients[m_next_client++ % m_clients.size()];
    HttpRequest copy = request;
    const Result<HttpResponse> sent =
        co_await client.Send(std::move(copy), kCallTimeout);
    const int status = sent.has_value() ? sent.value().status : 0;
    if (status >= 200 && status < 500 && status != 429) {
      const Result<nlohmann::json> parsed =
          ParseJson(sent.value().body, kAnswerLimits);
      if (parsed.has_value() && parsed.value().is_object()) {
        co_return parsed.value();
      }
    }
    co_await SleepFor(kRetryDelay);
  }
  co_return nlohmann::json();
}

awaitable<void> BatchLoad::Submit(Job& job) {
  HttpRequest request{.method = "POST", .target = "/v1/batches"};
  const std::string key = MarkerOf(job, 0) + "-job-" + m_run;
  request.headers.push_back({"Idempotency-Key", key});
  if (!m_options.batch_route.empty()) {
    request.headers.push_back({"X-Batch-Route", m_options.batch_route});
  }
  request.body = ItemsOf(job);
  const nlohmann::json answer = co_await Call(job, std::move(request));
  if (!answer.is_object() || !answer.contains("id")) {
    job.status = "refused";
    m_report.batch()["refusal"] = answer;
    co_return;
  }
  job.id = answer["id"];
}

awaitable<void> BatchLoad::Poll(Job& job) {
  HttpRequest request{.target = "/v1/batches/" + job.id};
  const nlohmann::json answer = co_await Call(job, std::move(request));
  if (!answer.is_object() || !answer.contains("status") ||
      !answer["status"].is_string()) {
    co_return;
  }
  job.status = answer["status"];
  job.succeeded = answer.value("succeeded", uint64_t{0});
  job.completed = job.succeeded + answer.value("failed", uint64_t{0});
}

awaitable<void> BatchLoad::Cancel(Job& job) {
  HttpRequest request{.method = "POST",
                      .target = "/v1/batches/" + job.id + "/cancel"};
  (void)co_await Call(job, std::move(request));
}

bool BatchLoad::AllEnded() const {
  for (const Job& job : m_jobs) {
    if (job.status.empty() || job.status == "running") {
      return false;
    }
  }
  return true;
}

void BatchLoad::UpdateReport() {
  uint64_t completed = 0;
  uint64_t succeeded = 0;
  nlohmann::json statuses = nlohmann::json::object();
  for (const Job& job : m_jobs) {
    completed += job.completed;
    succeeded += job.succeeded;
    statuses[job.status] = statuses.value(job.status, 0) + 1;
  }
  const double seconds = SecondsOf(MonotonicClock::now() - m_start);
  nlohmann::json& batch = m_report.batch();
  batch["jobs"] = m_jobs.size();
  batch["items"] = m_jobs.size() * m_options.batch_items;
  batch["completed"] = completed;
  batch["succeeded"] = succeeded;
  batch["statuses"] = std::move(statuses);
  batch["seconds"] = seconds;
  batch["items_per_second"] = static_cast<double>(completed) / seconds;
}

awaitable<void> BatchLoad::WaitForJobs() {
  while (!AllEnded() && MonotonicClock::now() < m_give_up) {
    co_await SleepFor(kPollInterval);
    for (Job& job : m_jobs) {
      if (job.status.empty() || job.status == "running") {
        co_await Poll(job);
      }
    }
    UpdateReport();
    if (m_online_ended && m_options.batch_cancel) {
      break;
    }
  }
}

void BatchLoad::OnlineEnded() {
  m_online_ended = true;
  m_give_up = MonotonicClock::now() + m_options.batch_wait;
}

awaitable<void> BatchLoad::Run() {
  if (m_options.batch_items == 0) {
    co_return;
  }
  m_start = MonotonicClock::now();
  m_jobs.resize(m_options.batch_jobs);
  for (size_t i = 0; i < m_jobs.size(); ++i) {
    m_jobs[i].number = i;
    m_jobs[i].caller = &m_options.callers[i % m_options.callers.size()];
    co_await Submit(m_jobs[i]);
  }
  m_report.batch()["submit_seconds"] =
      SecondsOf(MonotonicClock::now() - m_start);
  co_await WaitForJobs();
  if (m_options.batch_cancel) {
    for (Job& job : m_jobs) {
      co_await Cancel(job);
    }
    co_return;
  }
  Findings findings;
  for (const Job& job : m_jobs) {
    co_await ReadResults(job, findings);
  }
  m_report.batch()["results"] = findings.results;
  m_report.batch()["doubled"] = findings.doubled;
  m_report.batch()["lost"] = findings.missing;
  m_report.batch()["wrong"] = findings.wrong;
}

void BatchLoad::CheckResult(const Job& job,
                            const nlohmann::json& result,
                            std::map<std::string, uint64_t>& seen,
                            Findings& findings) const {
  const std::string custom_id = result.value("custom_id", "");
  ++findings.results;
  findings.doubled += ++seen[custom_id] > 1 ? 1 : 0;
  const nlohmann::json::json_pointer body("/response/body");
  if (result.value("status", "") != "succeeded") {
    return;
  }
  std::string prefix = MarkerOf(job, 0);
  prefix.pop_back();
  const AnswerCheck check(custom_id, m_options.batch_max_tokens);
  const bool own = custom_id.rfind(prefix, 0) == 0 && result.contains(body) &&
                   check.IsWholeBody(DumpJson(result.at(body)));
  findings.wrong += own ? 0 : 1;
}

awaitable<void> BatchLoad::ReadResults(const Job& job, Findings& findings) {
  std::map<std::string, uint64_t> seen;
  uint64_t after = 0;
  bool complete = job.id.empty();
  while (!complete) {
    HttpRequest request;
    request.target = "/v1/batches/" + job.id +
                     "/results?after=" + std::to_string(after) +
                     "&limit=" + std::to_string(kResultsPage);
    const nlohmann::json page = co_await Call(job, std::move(request));
    if (!page.is_object() || !page.contains("results")) {
      break;
    }
    for (const nlohmann::json& result : page["results"]) {
      CheckResult(job, result, seen, findings);
    }
    const uint64_t next = page.value("next", after);
    // A job that still runs has no last page.
    complete = page.value("complete", false) || next == after;
    after = next;
  }
  for (size_t i = 0; i < m_options.batch_items; ++i) {
    findings.missing += seen.count(MarkerOf(job, i)) == 0 ? 1 : 0;
  }
}

}  // namespace cowslip
