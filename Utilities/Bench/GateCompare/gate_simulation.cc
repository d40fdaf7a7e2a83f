#include "Utilities/Bench/GateCompare/gate_simulation.h"

#include <algorithm>
#include <utility>

#include "Base/overloaded.h"
#include "Utilities/StandIns/Engine/chat_answer.h"

namespace cowslip {

namespace {

using std::chrono::milliseconds;

constexpr Duration kTickInterval = milliseconds(20);
constexpr Duration kBurstLength = milliseconds(100);
// How long a preempted item takes back to the entry and to a side process.
constexpr Duration kReturnTime = milliseconds(5);
constexpr int64_t kOnlineDeadlineMs = 60000;
constexpr int64_t kBatchDeadlineMs = 3600000;

}  // namespace

Duration GateFigures::Quantile(double quantile) const {
  if (first_token.empty()) {
    return Duration(0);
  }
  const auto last = static_cast<double>(first_token.size() - 1);
  return first_token[static_cast<size_t>(quantile * last)];
}

GateSimulation::GateSimulation(GateOptions gate,
                               EngineModelOptions engine,
                               GateLoad load)
    : m_load(load),
      m_core(std::move(gate)),
      m_engine(engine),
      m_random(load.seed),
      m_end(m_now + load.time) {}

GateFigures GateSimulation::Run() {
  ScheduleArrivals();
  Tick();
  while (m_now < m_end) {
    const MonotonicTime next = m_agenda.begin()->first;
    const auto step = m_engine.NextStepEnd();
    if (step.has_value() && *step <= next) {
      m_now = *step;
      for (const EngineModelToken& token : m_engine.Advance(m_now)) {
        TakeToken(token);
      }
      continue;
    }
    m_now = next;
    const auto what = std::move(m_agenda.begin()->second);
    m_agenda.erase(m_agenda.begin());
    what();
  }
  std::sort(m_figures.first_token.begin(), m_figures.first_token.end());
  return m_figures;
}

void GateSimulation::At(MonotonicTime time, std::function<void()> what) {
  m_agenda.emplace(time, std::move(what));
}

void GateSimulation::ScheduleArrivals() {
  std::exponential_distribution<double> gap(m_load.online_per_second);
  std::uniform_real_distribution<double> within(0, 1);
  const auto online = [this] { DispatchOnline(); };
  const auto seconds = [](double value) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(value));
  };
  for (MonotonicTime t = m_now; t < m_end; t += seconds(gap(m_random))) {
    At(t, online);
  }
  for (MonotonicTime t = m_now + m_load.burst_interval; t < m_end;
       t += m_load.burst_interval) {
    for (int i = 0; i < m_load.burst_size; ++i) {
      const auto offset = static_cast<double>(kBurstLength.count());
      At(t + Duration(static_cast<int64_t>(offset * within(m_random))), online);
    }
  }
}

void GateSimulation::Tick() {
  Feed(GateTick());
  FillBatch();
  At(m_now + kTickInterval, [this] { Tick(); });
}

std::string GateSimulation::NewBody(uint64_t tokens) {
  // A prompt that no other request shares, so that prompts cost their price.
  std::string prompt = std::to_string(m_random());
  prompt.resize(m_load.prompt_bytes, 'x');
  return R"({"messages":[{"role":"user","content":")" + prompt +
         R"("}],"max_tokens":)" + std::to_string(tokens) + R"(,"stream":true})";
}

void GateSimulation::DispatchOnline() {
  const ExchangeId id(++m_last_exchange);
  m_calls[id] = {.dispatched = m_now};
  Feed(DispatchReceived{.entry = VmId("entry"),
                        .request = {.exchange = id,
                                    .method = "POST",
                                    .target = "/v1/chat/completions",
                                    .body = NewBody(m_load.online_tokens),
                                    .idempotent = true,
                                    .deadline_ms = kOnlineDeadlineMs}});
}

void GateSimulation::FillBatch() {
  while (m_batch_out < m_load.batch_outstanding) {
    ++m_batch_out;
    DispatchBatch(NewBody(m_load.batch_tokens), "");
  }
}

void GateSimulation::DispatchBatch(std::string body, std::string resume_token) {
  const ExchangeId id(++m_last_exchange);
  m_calls[id] = {.work = WorkClass::kBatch, .dispatched = m_now, .body = body};
  Feed(DispatchReceived{.entry = VmId("entry"),
                        .request = {.exchange = id,
                                    .work = WorkClass::kBatch,
                                    .method = "POST",
                                    .target = "/v1/chat/completions",
                                    .body = std::move(body),
                                    .idempotent = true,
                                    .deadline_ms = kBatchDeadlineMs,
                                    .resume_token = std::move(resume_token)}});
}

void GateSimulation::Feed(GateEvent event) {
  for (const GateAction& action : m_core.Handle(std::move(event), m_now)) {
    Take(action);
  }
}

void GateSimulation::Take(const GateAction& action) {
  std::visit(Overloaded{[this](const StartEngineCall& start) { Start(start); },
                        [this](const AbortEngineCall& abort) { Abort(abort); },
                        [this](const ReplyToEntry& reply) { TakeReply(reply); },
                        [](const auto&) {}},
             action);
}

void GateSimulation::Start(const StartEngineCall& start) {
  const auto call = ParseChatCall(start.request.body);
  const EngineStreamId stream =
      m_engine.Add(call.value().prompt, call.value().resume_from,
                   call.value().max_tokens, m_now);
  m_streams[start.key] = stream;
  m_keys[stream] = start.key;
  At(m_now, [this, key = start.key] {
    Feed(EngineResponseHead{
        .key = key,
        .status = 200,
        .headers = {{.name = "Content-Type", .value = "text/event-stream"}}});
  });
}

void GateSimulation::Abort(const AbortEngineCall& abort) {
  At(m_now + m_load.close_time, [this, key = abort.key] {
    const auto stream = m_streams.find(key);
    if (stream == m_streams.end()) {
      return;
    }
    m_engine.Cancel(stream->second, m_now);
    m_keys.erase(stream->second);
    m_streams.erase(stream);
    Feed(EngineCallClosed{key});
  });
}

void GateSimulation::TakeToken(const EngineModelToken& token) {
  const auto found = m_keys.find(token.stream);
  if (found == m_keys.end()) {
    return;
  }
  const ExchangeKey key = found->second;
  Feed(EngineResponseChunk{
      key,
      TokenEvent(token.index) + (token.last ? DoneEvent() : std::string())});
  if (token.last) {
    m_streams.erase(key);
    m_keys.erase(token.stream);
    Feed(EngineResponseEnd{key});
  }
}

void GateSimulation::TakeReply(const ReplyToEntry& reply) {
  if (const auto* chunk = std::get_if<ResponseChunk>(&reply.message)) {
    Call& call = m_calls.at(chunk->exchange);
    if (call.work == WorkClass::kOnline && !call.first_token_seen) {
      call.first_token_seen = true;
      m_figures.first_token.push_back(m_now - call.dispatched);
    }
  } else if (const auto* end = std::get_if<ResponseEnd>(&reply.message)) {
    const bool batch = m_calls.at(end->exchange).work == WorkClass::kBatch;
    m_figures.batch_items += batch ? 1 : 0;
    m_batch_out -= batch ? 1 : 0;
    m_calls.erase(end->exchange);
  } else if (const auto* bad = std::get_if<ExchangeFailed>(&reply.message)) {
    TakeFailure(*bad);
  }
}

void GateSimulation::TakeFailure(const ExchangeFailed& failed) {
  Call call = std::move(m_calls.at(failed.exchange));
  m_calls.erase(failed.exchange);
  if (call.work == WorkClass::kOnline) {
    ++m_figures.online_refused;
    return;
  }
  m_figures.preempted += failed.reason == FailureReason::kPreempted ? 1 : 0;
  const Duration wait =
      kReturnTime + std::chrono::milliseconds(failed.retry_after_ms);
  At(m_now + wait,
     [this, body = std::move(call.body), token = failed.resume_token] {
       DispatchBatch(body, token);
     });
}

}  // namespace cowslip
