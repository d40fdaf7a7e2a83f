#include "Gateway/item_run.h"

#include <utility>

#include "Gateway/answer_check.h"
#include "Gateway/dispatcher.h"
#include "platform/request_headers.h"

namespace cowslip {

namespace {

using boost::asio::awaitable;

// A silent stream is given up after this and goes on elsewhere. Nobody waits
// for an item's next event, so it is longer than for online streams.
constexpr Duration kStallTimeout = std::chrono::milliseconds(2500);

}  // namespace

ItemRun::ItemRun(ItemRunRequest request) : m_request(std::move(request)) {}

void ItemRun::Stop() {
  m_stopped = true;
  if (m_abort != nullptr) {
    m_abort->Abort();
  }
  if (m_answer != nullptr) {
    m_answer->Abort();
  }
}

ItemRunOutcome ItemRun::InDoubt(AttemptLease& lease, std::string why) {
  if (m_stopped) {
    m_why = "stopped here";
    return ItemRunOutcome::kInterrupted;
  }
  lease.SetOutcome(AttemptOutcome::kFailed);
  m_why = std::move(why);
  return ItemRunOutcome::kInDoubt;
}

awaitable<ItemRunOutcome> ItemRun::Run(AttemptLease& lease) {
  BackendCall call = m_request.call;
  call.last_event = m_request.progress.last_event;
  HttpRequest request{.method = "POST",
                      .target = m_request.item.target,
                      .headers = platform::EncodeItemHeaders(
                          m_request.item.headers, m_request.host,
                          AttemptId(m_request.item.id.value()), call),
                      .body = m_request.item.body};
  m_abort = std::make_shared<HttpAbort>();
  const auto client = lease.client();
  const Duration timeout = kStallTimeout;
  Result<std::unique_ptr<HttpResponseStream>> opened =
      co_await client->Open(std::move(request), timeout, m_abort);
  if (!opened.has_value()) {
    if (opened.error().kind() == ErrorKind::kUnavailable && !m_stopped) {
      lease.SetOutcome(AttemptOutcome::kFailed);
      m_why = opened.error().message;
      co_return ItemRunOutcome::kNotRun;
    }
    co_return InDoubt(lease, opened.error().message);
  }
  m_answer = std::move(opened.value());
  co_return co_await ReadAnswer(lease);
}

awaitable<ItemRunOutcome> ItemRun::ReadAnswer(AttemptLease& lease) {
  const int status = m_answer->status();
  const AttemptId attempt(m_request.item.id.value());
  m_why = "the backend server answered status " + std::to_string(status);
  switch (CheckAnswer(*m_answer, attempt)) {
    case AnswerKind::kForeign:
      co_return InDoubt(lease, "the answer belongs to another request");
    case AnswerKind::kNotRun:
      lease.SetOutcome(AttemptOutcome::kFull);
      co_return ItemRunOutcome::kNotRun;
    case AnswerKind::kUnvouched:
      co_return InDoubt(lease, "the answer is not the backend server's");
    case AnswerKind::kFailure:
      co_return Failure(lease, status);
    case AnswerKind::kSuccess:
      m_why.clear();
      break;
  }
  co_return co_await ReadEvents(lease);
}

ItemRunOutcome ItemRun::Failure(AttemptLease& lease, int status) {
  switch (status) {
    case 422:
      lease.SetOutcome(AttemptOutcome::kCompleted);
      return ItemRunOutcome::kImpossible;
    case 500:
      lease.SetOutcome(AttemptOutcome::kCompleted);
      return ItemRunOutcome::kFailed;
    default:
      return InDoubt(lease, m_why);
  }
}

awaitable<ItemRunOutcome> ItemRun::ReadEvents(AttemptLease& lease) {
  while (true) {
    const Duration timeout = kStallTimeout;
    Result<std::optional<std::string>> piece =
        co_await m_answer->ReadSome(timeout);
    if (!piece.has_value()) {
      co_return InDoubt(lease, piece.error().message);
    }
    if (!piece.value().has_value()) {
      break;
    }
    const Result<std::vector<SseEvent>> events =
        m_events.FeedEvents(*piece.value());
    if (!events.has_value() || !TakeEvents(events.value())) {
      co_return InDoubt(lease, "the events are out of order");
    }
  }
  if (!m_events.unfinished().empty()) {
    co_return InDoubt(lease, "the stream ended within an event");
  }
  lease.SetOutcome(AttemptOutcome::kCompleted);
  co_return ItemRunOutcome::kCompleted;
}

bool ItemRun::TakeEvents(const std::vector<SseEvent>& events) {
  ItemProgress& progress = m_request.progress;
  for (const SseEvent& event : events) {
    if (!event.id.has_value() || !event.data.has_value() ||
        *event.id != progress.last_event + 1) {
      return false;
    }
    if (progress.last_event > 0) {
      progress.output += '\n';
    }
    progress.output += *event.data;
    progress.last_event = *event.id;
  }
  return true;
}

}  // namespace cowslip
