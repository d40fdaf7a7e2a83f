#include "Gateway/stream_move.h"

#include <utility>

#include "Gateway/backend_attempt.h"
#include "Gateway/response_classification.h"
#include "Gateway/stream_end.h"
#include "Net/sse_reader.h"

namespace cowslip {

StreamMove::StreamMove(boost::asio::io_context& context,
                       std::shared_ptr<BackendAttempt> attempt,
                       StreamMoveOptions options,
                       Callback on_decided)
    : m_attempt(std::move(attempt)),
      m_options(std::move(options)),
      m_on_decided(std::move(on_decided)),
      m_overlap_timer(context) {}

StreamMove::~StreamMove() {
  *m_alive = false;
  if (m_attempt != nullptr) {
    m_attempt->Discard();
  }
}

void StreamMove::Start(HttpRequest request, Duration timeout) {
  m_attempt->OpenAhead(std::move(request), timeout,
                       {.on_sent = [this] { HandleSent(); },
                        .on_ready = [this] { Decide(Judge()); }});
}

std::shared_ptr<BackendAttempt> StreamMove::Take() {
  m_on_decided = nullptr;
  m_overlap_timer.cancel();
  m_attempt->StopReporting();
  return std::exchange(m_attempt, nullptr);
}

void StreamMove::HandleSent() {
  m_was_sent = true;
  m_overlap_timer.expires_after(m_options.max_overlap);
  m_overlap_timer.async_wait(
      [this, alive = m_alive](const boost::system::error_code& error) {
        if (!error && *alive) {
          Decide(MoveTaken{.has_answered = false});
        }
      });
}

void StreamMove::Decide(const MoveOutcome& outcome) {
  m_overlap_timer.cancel();
  // The callback may destroy this object.
  if (const Callback on_decided = std::exchange(m_on_decided, nullptr)) {
    on_decided(outcome);
  }
}

MoveOutcome StreamMove::Judge() const {
  if (const auto& error = m_attempt->open_error(); error.has_value()) {
    if (error->kind() == ErrorKind::kUnavailable) {
      return MoveTurnedAway{.why = error->message, .refused_connection = true};
    }
    return MoveFailed{.why = error->message,
                      .broke_off = error->kind() == ErrorKind::kInDoubt};
  }
  const HttpResponseStream& response = *m_attempt->response();
  const std::string status = std::to_string(response.status());
  switch (ClassifyResponse(response, m_options.attempt).kind) {
    case ResponseKind::kNotRun:
      return MoveTurnedAway{
          .why = "the backend server turned the request away with status " +
                 status};
    case ResponseKind::kOtherRequest:
      return MoveFailed{.why = "the answer belongs to another request"};
    case ResponseKind::kUnverified:
      return MoveFailed{.why = "the answer is not the backend server's"};
    case ResponseKind::kFailure:
      return MoveFailed{.why = "the backend server answered status " + status};
    case ResponseKind::kSuccess:
      break;
  }
  return JudgeBody();
}

MoveOutcome StreamMove::JudgeBody() const {
  SseReader reader;
  for (const BackendAttempt::ReadResult& chunk : m_attempt->read_ahead()) {
    if (!chunk.has_value()) {
      return MoveFailed{
          .why = chunk.error().message,
          .broke_off = chunk.error().kind() == ErrorKind::kInDoubt};
    }
    if (!chunk.value().has_value()) {
      const Result<void> complete =
          CheckStreamEnd(*m_attempt->response(), reader);
      if (!complete.has_value()) {
        return MoveFailed{.why = complete.error().message, .broke_off = true};
      }
      break;
    }
    const Result<std::vector<SseEvent>> events =
        reader.FeedEvents(*chunk.value());
    const bool fits = events.has_value() &&
                      (events.value().empty() || m_options.last_event == 0 ||
                       events.value().front().id == m_options.last_event + 1);
    if (!fits) {
      return MoveFailed{.why = "the events are malformed or out of order"};
    }
  }
  return MoveTaken{.has_answered = true};
}

}  // namespace cowslip
