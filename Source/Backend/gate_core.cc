#include "Backend/gate_core.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace cowslip {

namespace {

constexpr Duration kFullBatchQueueRetryAfter = std::chrono::milliseconds(200);

int64_t ToMilliseconds(Duration time) {
  return std::chrono::ceil<std::chrono::milliseconds>(time).count();
}

std::string EncodeProgress(const GateExchange& exchange) {
  if (!exchange.response.has_value()) {
    return EncodeResumeToken(exchange.resume_from);
  }
  return std::visit(
      [](const auto& response) {
        return EncodeResumeToken(response.Progress());
      },
      *exchange.response);
}

}  // namespace

GateCore::GateCore(GateOptions options)
    : m_options(std::move(options)), m_scheduler(m_options) {}

std::vector<GateAction> GateCore::Handle(GateEvent event, MonotonicTime now) {
  m_now = now;
  std::visit([this](auto&& alternative) { On(std::move(alternative)); },
             std::move(event));
  StartAndPreempt();
  const bool empty = m_exchanges.empty() && m_scheduler.used() == 0;
  if (m_draining && empty && !m_drained) {
    m_drained = true;
    Emit(DrainFinished());
  }
  return std::exchange(m_actions, {});
}

BackendStatus GateCore::Status() const {
  return {.service = m_options.service,
          .zone = m_options.zone,
          .accepting = m_engine_up && !m_draining,
          .leaving = m_draining,
          .load = m_scheduler.Load()};
}

void GateCore::On(DispatchReceived event) {
  const ExchangeKey key{.entry = event.entry,
                        .incarnation = event.incarnation,
                        .exchange = event.request.exchange};
  if (!m_recent.Insert(key)) {
    ++m_counters.duplicates;
    return;
  }
  std::optional<Failure> refusal = RefusalFor(event.request);
  if (refusal.has_value()) {
    Refuse(key, std::move(*refusal));
    return;
  }
  Result<GateExchange> made = MakeExchange(std::move(event));
  if (!made.has_value()) {
    Refuse(key, {.reason = FailureReason::kBadRequest,
                 .not_run = true,
                 .detail = made.error().message});
    return;
  }
  const auto [added, inserted] =
      m_exchanges.emplace(key, std::move(made.value()));
  m_scheduler.Enqueue(added->second);
}

std::optional<GateCore::Failure> GateCore::RefusalFor(
    const DispatchRequest& request) const {
  if (m_draining) {
    return Failure{.reason = FailureReason::kDraining,
                   .not_run = true,
                   .detail = "The backend server is leaving. Use another one."};
  }
  if (!m_engine_up) {
    return Failure{.reason = FailureReason::kEngineRefused,
                   .not_run = true,
                   .detail = "The backend server is down. Use another one.",
                   .retry_after = kEngineDownRetryAfter};
  }
  if (request.deadline_ms < 0) {
    return Failure{.reason = FailureReason::kTimeout,
                   .not_run = true,
                   .detail = "The deadline has passed. Allow more time."};
  }
  return OverloadFor(request);
}

std::optional<GateCore::Failure> GateCore::OverloadFor(
    const DispatchRequest& request) const {
  if (std::holds_alternative<NoGate>(m_options.policy)) {
    return std::nullopt;
  }
  Failure overload{.reason = FailureReason::kOverloaded,
                   .not_run = true,
                   .detail =
                       "The backend server is full. Use another one, or "
                       "try again later."};
  if (request.work == WorkClass::kBatch) {
    overload.retry_after = kFullBatchQueueRetryAfter;
    const bool full = m_scheduler.waiting_batch() >= m_options.max_ready_batch;
    return full ? std::optional(overload) : std::nullopt;
  }
  const Duration wait = m_scheduler.ExpectedWait();
  overload.retry_after = wait;
  const Duration left = request.deadline_ms > 0
                            ? std::chrono::milliseconds(request.deadline_ms)
                            : m_options.default_deadline;
  const bool full =
      m_scheduler.waiting_online() >= m_options.max_waiting_online;
  return full || wait > left ? std::optional(overload) : std::nullopt;
}

Result<GateExchange> GateCore::MakeExchange(DispatchReceived event) const {
  const DispatchRequest& request = event.request;
  const bool batch = request.work == WorkClass::kBatch;
  const bool resumable =
      m_options.kind == BackendKind::kEngine && batch && IsResumable(request);
  const Duration left = request.deadline_ms > 0
                            ? std::chrono::milliseconds(request.deadline_ms)
                            : m_options.default_deadline;
  GateExchange exchange{
      .key = {.entry = event.entry,
              .incarnation = event.incarnation,
              .exchange = request.exchange},
      .work = request.work,
      .alone = request.alone,
      .preemptible = batch && (resumable || request.idempotent),
      .assembled = resumable,
      .deadline = m_now + left};
  if (!resumable) {
    exchange.request = MakeForwardedRequest(request);
    return exchange;
  }
  Result<ResumeToken> earlier = DecodeResumeToken(request.resume_token);
  if (!earlier.has_value()) {
    return earlier.error();
  }
  exchange.resume_from = std::move(earlier.value());
  Result<EngineRequest> streaming =
      MakeStreamingRequest(request, exchange.resume_from);
  if (!streaming.has_value()) {
    return streaming.error();
  }
  exchange.request = std::move(streaming.value());
  return exchange;
}

void GateCore::On(const CancelReceived& event) {
  GateExchange* exchange = Find(event.key);
  if (exchange == nullptr) {
    return;
  }
  const bool waiting = exchange->state == GateExchange::State::kWaiting;
  Fail(*exchange, {.reason = FailureReason::kCancelled,
                   .not_run = waiting,
                   .detail = "The caller has gone or cancelled."});
}

void GateCore::On(const CreditReceived& event) {
  GateExchange* exchange = Find(event.key);
  if (exchange != nullptr) {
    exchange->flow.Grant(event.bytes);
    Flush(*exchange);
  }
}

void GateCore::On(const EngineCallClosed& event) {
  m_scheduler.MarkClosed(event.key);
}

void GateCore::On(const EntryLinkUp& event) {
  const auto of_earlier_incarnation = [&](const GateExchange& exchange) {
    return exchange.key.entry == event.entry &&
           exchange.key.incarnation != event.incarnation;
  };
  for (const ExchangeKey& key : KeysWhere(of_earlier_incarnation)) {
    Drop(m_exchanges.at(key));
  }
}

void GateCore::On(const EntryLinkDown& event) {
  const auto of_entry = [&](const GateExchange& exchange) {
    return exchange.key.entry == event.entry;
  };
  for (const ExchangeKey& key : KeysWhere(of_entry)) {
    Drop(m_exchanges.at(key));
  }
}

void GateCore::On(const GateDrainRequested&) {
  if (m_draining) {
    return;
  }
  m_draining = true;
  FailWaiting({.reason = FailureReason::kDraining,
               .not_run = true,
               .detail = "The backend server is leaving. Use another one."},
              true);
  Announce();
}

void GateCore::On(const GateTick&) {
  const auto late = [&](const GateExchange& exchange) {
    return exchange.deadline <= m_now;
  };
  for (const ExchangeKey& key : KeysWhere(late)) {
    GateExchange& exchange = m_exchanges.at(key);
    const bool waiting = exchange.state == GateExchange::State::kWaiting;
    Fail(exchange, {.reason = FailureReason::kTimeout,
                    .not_run = waiting,
                    .detail = "The deadline has passed. Allow more time."});
  }
}

GateExchange* GateCore::Find(const ExchangeKey& key) {
  const auto found = m_exchanges.find(key);
  return found == m_exchanges.end() ? nullptr : &found->second;
}

std::vector<ExchangeKey> GateCore::KeysWhere(
    const std::function<bool(const GateExchange&)>& predicate) const {
  std::vector<ExchangeKey> keys;
  for (const auto& [key, exchange] : m_exchanges) {
    if (predicate(exchange)) {
      keys.push_back(key);
    }
  }
  return keys;
}

void GateCore::StartAndPreempt() {
  if (!m_engine_up) {
    return;
  }
  while (GateExchange* next = m_scheduler.StartNext()) {
    Start(*next);
  }
  for (GateExchange* victim : m_scheduler.ChooseVictims()) {
    Preempt(*victim);
  }
}

void GateCore::Start(GateExchange& exchange) {
  ++(exchange.IsOnline() ? m_counters.started_online
                         : m_counters.started_batch);
  exchange.state = GateExchange::State::kRunning;
  exchange.started = m_now;
  Emit(StartEngineCall{.key = exchange.key,
                       .request = exchange.request,
                       .timeout = exchange.deadline - m_now});
}

void GateCore::Preempt(GateExchange& exchange) {
  ++m_counters.preempted;
  Fail(exchange, {.reason = FailureReason::kPreempted,
                  .detail = "Online work took the slot. Send the item again "
                            "with its resume token.",
                  .resume_token = EncodeProgress(exchange)});
}

void GateCore::Refuse(const ExchangeKey& key, Failure failure) {
  ++m_counters.refused;
  SendFailure(key, std::move(failure));
}

void GateCore::SendFailure(const ExchangeKey& key, Failure failure) {
  ExchangeFailed failed{.exchange = key.exchange,
                        .reason = failure.reason,
                        .not_run = failure.not_run,
                        .suspect = failure.suspect,
                        .detail = std::move(failure.detail),
                        .retry_after_ms = ToMilliseconds(failure.retry_after),
                        .resume_token = std::move(failure.resume_token),
                        .load = m_scheduler.Load()};
  Emit(ReplyToEntry{key.entry, std::move(failed)});
}

void GateCore::Fail(GateExchange& exchange, Failure failure) {
  ++m_counters.failed;
  m_counters.suspects += failure.suspect ? 1 : 0;
  const ExchangeKey key = exchange.key;
  Drop(exchange);
  SendFailure(key, std::move(failure));
}

void GateCore::Drop(GateExchange& exchange) {
  switch (exchange.state) {
    case GateExchange::State::kWaiting:
      m_scheduler.RemoveFromQueue(exchange);
      break;
    case GateExchange::State::kRunning:
      m_scheduler.MarkClosing(exchange);
      Emit(AbortEngineCall{exchange.key});
      break;
    case GateExchange::State::kFlushing:
      break;
  }
  m_exchanges.erase(ExchangeKey(exchange.key));
}

void GateCore::FailWaiting(const Failure& failure, bool batch_only) {
  const auto waiting = [&](const GateExchange& exchange) {
    return exchange.state == GateExchange::State::kWaiting &&
           !(batch_only && exchange.IsOnline());
  };
  for (const ExchangeKey& key : KeysWhere(waiting)) {
    Fail(m_exchanges.at(key), failure);
  }
}

void GateCore::Announce() {
  Emit(AnnounceStatus{Status()});
}

}  // namespace cowslip
