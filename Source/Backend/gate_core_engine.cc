// GateCore's handling of the backend server's responses and health.
#include <algorithm>
#include <string_view>
#include <utility>

#include "Backend/gate_core.h"

namespace cowslip {

namespace {

constexpr std::string_view kEventStream = "text/event-stream";
constexpr int kStatusOk = 200;

bool IsEventStream(const std::vector<ForwardedHeader>& headers) {
  return std::any_of(headers.begin(), headers.end(),
                     [&](const ForwardedHeader& header) {
                       return header.value.starts_with(kEventStream);
                     });
}

EngineResponse MakeResponse(const GateExchange& exchange,
                            const EngineResponseHead& head,
                            const GateOptions& options) {
  const bool stream = head.status == kStatusOk && IsEventStream(head.headers);
  if (!stream) {
    return PassThroughResponse();
  }
  if (options.kind == BackendKind::kPlain) {
    return EventStreamResponse(head.ends_with_connection);
  }
  if (exchange.assembled) {
    return AssembledResponse(exchange.resume_from, options.max_response_bytes);
  }
  return StreamedResponse();
}

}  // namespace

void GateCore::On(const EngineResponseHead& event) {
  GateExchange* exchange = Find(event.key);
  if (exchange == nullptr || exchange->response.has_value()) {
    return;
  }
  exchange->response = MakeResponse(*exchange, event, m_options);
  ResponseHead head{.exchange = event.key.exchange,
                    .status = event.status,
                    .headers = EndToEndHeaders(event.headers)};
  if (std::holds_alternative<AssembledResponse>(*exchange->response)) {
    // The head is sent with the assembled response, because a preempted item
    // must not have sent one.
    return;
  }
  // From here on the response has been started and cannot be withdrawn.
  exchange->preemptible = false;
  Emit(ReplyToEntry{event.key.entry, std::move(head)});
}

void GateCore::On(EngineResponseChunk event) {
  GateExchange* exchange = Find(event.key);
  if (exchange == nullptr || !exchange->response.has_value()) {
    return;
  }
  Result<std::string> forwarded = std::visit(
      [&](auto& response) { return response.Feed(std::move(event.data)); },
      *exchange->response);
  if (!forwarded.has_value()) {
    Fail(*exchange, {.detail = forwarded.error().message});
    return;
  }
  exchange->flow.Push(forwarded.value());
  Flush(*exchange);
}

void GateCore::On(const EngineResponseEnd& event) {
  GateExchange* exchange = Find(event.key);
  if (exchange == nullptr) {
    m_scheduler.MarkClosed(event.key);
    return;
  }
  m_scheduler.MarkFinished(*exchange);
  if (exchange->IsOnline()) {
    m_scheduler.RecordServiceTime(m_now - exchange->started);
  }
  exchange->state = GateExchange::State::kFlushing;
  if (!exchange->response.has_value()) {
    Fail(*exchange, {.detail = "The backend server sent no status."});
    return;
  }
  Result<std::string> rest = std::visit(
      [](auto& response) { return response.Finish(); }, *exchange->response);
  if (!rest.has_value()) {
    Fail(*exchange, {.detail = rest.error().message});
    return;
  }
  if (std::holds_alternative<AssembledResponse>(*exchange->response)) {
    ResponseHead head{
        .exchange = event.key.exchange,
        .status = 200,
        .headers = {{.name = "Content-Type", .value = "application/json"}}};
    Emit(ReplyToEntry{event.key.entry, std::move(head)});
  }
  exchange->flow.Push(rest.value());
  Flush(*exchange);
}

void GateCore::On(const EngineCallFailed& event) {
  if (event.failure == EngineFailureKind::kNotSent) {
    MarkEngineDown();
  }
  GateExchange* exchange = Find(event.key);
  if (exchange == nullptr) {
    m_scheduler.MarkClosed(event.key);
    return;
  }
  m_scheduler.MarkFinished(*exchange);
  exchange->state = GateExchange::State::kFlushing;
  Failure failure{.detail = event.detail};
  switch (event.failure) {
    case EngineFailureKind::kNotSent:
      failure.reason = FailureReason::kEngineRefused;
      failure.not_run = true;
      failure.retry_after = kEngineDownRetryAfter;
      break;
    case EngineFailureKind::kConnectionBroken:
      failure.suspect = true;
      break;
    case EngineFailureKind::kTimeout:
      failure.reason = FailureReason::kTimeout;
      break;
  }
  Fail(*exchange, std::move(failure));
}

void GateCore::On(const EngineUp&) {
  if (!m_engine_up) {
    m_engine_up = true;
    Announce();
  }
}

void GateCore::On(const EngineDown&) {
  const auto running = [](const GateExchange& exchange) {
    return exchange.state == GateExchange::State::kRunning;
  };
  for (const ExchangeKey& key : KeysWhere(running)) {
    Fail(m_exchanges.at(key),
         {.suspect = true,
          .detail = "The backend server went down while the request ran."});
  }
  MarkEngineDown();
}

void GateCore::MarkEngineDown() {
  if (!m_engine_up) {
    return;
  }
  m_engine_up = false;
  FailWaiting({.reason = FailureReason::kEngineRefused,
               .not_run = true,
               .detail = "The backend server is down. Use another one.",
               .retry_after = kEngineDownRetryAfter},
              false);
  Announce();
}

void GateCore::Flush(GateExchange& exchange) {
  for (ResponseChunk& chunk : exchange.flow.Take(exchange.key.exchange)) {
    Emit(ReplyToEntry{exchange.key.entry, std::move(chunk)});
  }
  const bool done = exchange.state == GateExchange::State::kFlushing;
  if (!done) {
    PauseOrResume(exchange);
    return;
  }
  if (!exchange.flow.empty()) {
    return;
  }
  ++m_counters.completed;
  ResponseEnd end{.exchange = exchange.key.exchange,
                  .chunks = exchange.flow.chunks(),
                  .load = m_scheduler.Load()};
  Emit(ReplyToEntry{exchange.key.entry, end});
  m_exchanges.erase(exchange.key);
}

void GateCore::PauseOrResume(GateExchange& exchange) {
  const bool pause = !exchange.flow.empty();
  if (pause == exchange.paused) {
    return;
  }
  exchange.paused = pause;
  if (pause) {
    Emit(PauseEngineRead{exchange.key});
  } else {
    Emit(ResumeEngineRead{exchange.key});
  }
}

}  // namespace cowslip
