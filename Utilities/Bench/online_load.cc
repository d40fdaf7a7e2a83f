#include "Utilities/Bench/online_load.h"

#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Base/json.h"
#include "Net/sse_reader.h"
#include "Utilities/Bench/answer_check.h"

namespace cowslip {

namespace {

using boost::asio::awaitable;

constexpr Duration kPollInterval = std::chrono::milliseconds(5);
constexpr size_t kIdleConnections = 512;
constexpr char kProblemPrefix[] = "urn:cowslip:";

RequestOutcome OutcomeOf(const Error& error) {
  switch (error.kind()) {
    case ErrorKind::kUnavailable:
      return {.outcome = OutcomeClass::kUnreachable};
    case ErrorKind::kTimeout:
      return {.outcome = OutcomeClass::kTimeout};
    default:
      return {.outcome = OutcomeClass::kCut};
  }
}

RequestOutcome RefusalOf(int status, const std::string& body) {
  RequestOutcome outcome{.outcome = OutcomeClass::kRefused,
                         .problem = std::to_string(status)};
  const Result<nlohmann::json> problem = ParseJson(body);
  if (!problem.has_value() || !problem.value().is_object()) {
    return outcome;
  }
  const nlohmann::json& json = problem.value();
  const auto type = json.find("type");
  if (type != json.end() && type->is_string()) {
    const std::string name = type->get<std::string>();
    const bool ours = name.rfind(kProblemPrefix, 0) == 0;
    outcome.problem = ours ? name.substr(sizeof(kProblemPrefix) - 1) : name;
  }
  const auto not_run = json.find("not_run");
  outcome.not_run = not_run != json.end() && *not_run == true;
  return outcome;
}

bool IsWorthResending(const RequestOutcome& outcome) {
  return outcome.not_run || outcome.outcome == OutcomeClass::kCut ||
         outcome.outcome == OutcomeClass::kUnreachable;
}

awaitable<void> SleepUntil(boost::asio::io_context& context,
                           MonotonicTime time) {
  boost::asio::steady_timer timer(context);
  timer.expires_after(time - MonotonicClock::now());
  boost::system::error_code error;
  auto token = boost::asio::redirect_error(boost::asio::use_awaitable, error);
  co_await timer.async_wait(token);
}

}  // namespace

OnlineLoad::OnlineLoad(boost::asio::io_context& context,
                       const BenchOptions& options,
                       BenchReport& report)
    : m_context(context),
      m_options(options),
      m_report(report),
      m_run(std::to_string(WallNow().time_since_epoch().count())) {
  for (const Endpoint& target : options.targets) {
    m_clients.push_back(std::make_unique<HttpClient>(
        context.get_executor(), target,
        HttpClientOptions{.max_idle_connections = kIdleConnections}));
  }
  if (!options.arrivals_file.empty()) {
    m_arrivals.open(options.arrivals_file);
  }
}

awaitable<void> OnlineLoad::Run() {
  ArrivalScheduleOptions schedule_options{.rate = m_options.rate,
                                          .seed = m_options.seed,
                                          .bursts = m_options.bursts};
  schedule_options.weights.clear();
  for (const BenchCaller& caller : m_options.callers) {
    schedule_options.weights.push_back(caller.weight);
  }
  const MonotonicTime start = MonotonicClock::now();
  if (m_options.rate <= 0) {
    co_await SleepUntil(m_context, start + m_options.length);
    co_return;
  }
  ArrivalSchedule schedule(schedule_options);
  uint64_t number = 0;
  for (Arrival arrival = schedule.Next(); arrival.at < m_options.length;
       arrival = schedule.Next()) {
    Request request{.number = ++number,
                    .caller = &m_options.callers[arrival.organisation],
                    .scheduled = start + arrival.at,
                    .counted = arrival.at >= m_options.warm_up};
    request.marker = "bench-" + std::to_string(m_options.seed) + "-" +
                     std::to_string(number);
    NoteArrival(request, arrival);
    co_await SleepUntil(m_context, request.scheduled);
    ++m_running;
    boost::asio::co_spawn(m_context, RunRequest(std::move(request)),
                          boost::asio::detached);
  }
  co_await SleepUntil(m_context, start + m_options.length);
  while (m_running > 0) {
    co_await SleepUntil(m_context, MonotonicClock::now() + kPollInterval);
  }
}

void OnlineLoad::NoteArrival(const Request& request, const Arrival& arrival) {
  if (!m_arrivals.is_open()) {
    return;
  }
  const size_t target = request.number % m_options.targets.size();
  m_arrivals << std::chrono::duration<double>(arrival.at).count() << ','
             << request.caller->organisation << ',' << m_options.targets[target]
             << '\n';
}

awaitable<void> OnlineLoad::RunRequest(Request request) {
  const std::string& organisation = request.caller->organisation;
  if (request.counted) {
    m_report.Sent(organisation);
  }
  RequestOutcome outcome = co_await SendOnce(request, 0);
  for (uint64_t attempt = 1;
       attempt <= m_options.resends && IsWorthResending(outcome); ++attempt) {
    m_report.Resent();
    outcome = co_await SendOnce(request, attempt);
  }
  if (request.counted) {
    m_report.Ended(organisation, outcome);
    const Duration took = MonotonicClock::now() - request.scheduled;
    if (outcome.outcome == OutcomeClass::kOk) {
      m_report.whole_answer().Add(took);
    }
  }
  --m_running;
}

HttpRequest OnlineLoad::MakeRequest(const Request& request) const {
  nlohmann::json messages = nlohmann::json::array();
  if (m_options.prompt_bytes > 0) {
    std::string shared = "Instructions of " + request.caller->organisation;
    shared.resize(m_options.prompt_bytes, '.');
    messages.push_back({{"role", "system"}, {"content", std::move(shared)}});
  }
  messages.push_back({{"role", "user"}, {"content", request.marker}});
  const nlohmann::json body = {{"messages", std::move(messages)},
                               {"stream", m_options.stream},
                               {"max_tokens", m_options.max_tokens}};
  HttpRequest http{.method = "POST", .target = m_options.route};
  http.headers.push_back({"Content-Type", "application/json"});
  if (!request.caller->key.empty()) {
    http.headers.push_back({"Authorization", "Bearer " + request.caller->key});
  }
  if (m_options.idempotency_keys) {
    http.headers.push_back({"Idempotency-Key", request.marker + "-" + m_run});
  }
  http.body = DumpJson(body);
  return http;
}

awaitable<RequestOutcome> OnlineLoad::SendOnce(const Request& request,
                                               uint64_t attempt) {
  HttpClient& client =
      *m_clients[(request.number + attempt) % m_clients.size()];
  HttpRequest http = MakeRequest(request);
  Result<std::unique_ptr<HttpResponseStream>> opened =
      co_await client.Open(std::move(http), m_options.timeout);
  if (!opened.has_value()) {
    co_return OutcomeOf(opened.error());
  }
  std::unique_ptr<HttpResponseStream> response = std::move(opened.value());
  co_return co_await ReadAnswer(request, std::move(response));
}

awaitable<RequestOutcome> OnlineLoad::ReadAnswer(
    const Request& request,
    std::unique_ptr<HttpResponseStream> response) {
  const int status = response->status();
  if (status == 200 && m_options.stream) {
    co_return co_await ReadStream(request, *response);
  }
  std::string body;
  while (true) {
    Result<std::optional<std::string>> piece =
        co_await response->ReadSome(m_options.timeout);
    if (!piece.has_value()) {
      co_return OutcomeOf(piece.error());
    }
    if (!piece.value().has_value()) {
      break;
    }
    body += *piece.value();
  }
  if (status != 200) {
    co_return RefusalOf(status, body);
  }
  const AnswerCheck check(request.marker, m_options.max_tokens);
  const bool whole = check.IsWholeBody(body);
  co_return RequestOutcome{whole ? OutcomeClass::kOk : OutcomeClass::kWrong};
}

awaitable<RequestOutcome> OnlineLoad::ReadStream(const Request& request,
                                                 HttpResponseStream& response) {
  AnswerCheck check(request.marker, m_options.max_tokens);
  SseReader reader;
  std::optional<MonotonicTime> last_token;
  while (true) {
    Result<std::optional<std::string>> piece =
        co_await response.ReadSome(m_options.timeout);
    if (!piece.has_value()) {
      co_return OutcomeOf(piece.error());
    }
    if (!piece.value().has_value()) {
      break;
    }
    const MonotonicTime now = MonotonicClock::now();
    const Result<std::vector<std::string>> events = reader.Feed(*piece.value());
    if (!events.has_value()) {
      co_return RequestOutcome{OutcomeClass::kWrong};
    }
    for (const std::string& event : events.value()) {
      if (!check.TakeEvent(event) || !request.counted) {
        continue;
      }
      if (last_token.has_value()) {
        m_report.inter_token().Add(now - *last_token);
      } else {
        m_report.first_token().Add(now - request.scheduled);
      }
      last_token = now;
    }
  }
  const bool whole = check.IsWhole();
  co_return RequestOutcome{whole ? OutcomeClass::kOk : OutcomeClass::kWrong};
}

}  // namespace cowslip
