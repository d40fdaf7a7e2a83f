#include "Backend/gate_scheduler.h"

#include <algorithm>

#include "Backend/gate_exchange.h"
#include "Base/overloaded.h"

namespace cowslip {

namespace {

// The weight of the latest service time in the exponential moving average.
constexpr double kServiceWeight = 0.1;
// English text averages about four bytes a token.
constexpr size_t kBytesPerToken = 4;

// The work that preemption wastes, in tokens: the engine that resumes the
// stream has to process its prompt and the tokens produced so far again.
size_t PreemptionCost(const GateExchange& exchange) {
  size_t tokens = 0;
  if (exchange.response.has_value()) {
    tokens = std::visit(
        [](const auto& response) { return response.Progress().tokens; },
        *exchange.response);
  }
  return tokens + exchange.request.body.size() / kBytesPerToken;
}

}  // namespace

GateScheduler::GateScheduler(const GateOptions& options)
    : m_policy(options.policy),
      m_slots(options.slots),
      m_service_time(options.initial_service_estimate) {}

bool GateScheduler::HasGate() const {
  return !std::holds_alternative<NoGate>(m_policy);
}

bool GateScheduler::Preempts() const {
  return std::holds_alternative<HeadroomWithPreemption>(m_policy);
}

size_t GateScheduler::BatchLimit() const {
  const size_t headroom = std::visit(
      Overloaded{[](const NoGate&) { return size_t{0}; },
                 [](const auto& policy) { return size_t{policy.headroom}; }},
      m_policy);
  return m_slots - std::min(m_slots, headroom);
}

void GateScheduler::Enqueue(GateExchange& exchange) {
  (exchange.IsOnline() ? m_online : m_batch).push_back(&exchange);
}

void GateScheduler::RemoveFromQueue(GateExchange& exchange) {
  std::erase(exchange.IsOnline() ? m_online : m_batch, &exchange);
}

GateExchange* GateScheduler::StartNext() {
  GateExchange* next = NextStartable();
  if (next != nullptr) {
    RemoveFromQueue(*next);
    m_running.push_back(next);
  }
  return next;
}

GateExchange* GateScheduler::NextStartable() const {
  if (!HasGate()) {
    const auto& queue = m_online.empty() ? m_batch : m_online;
    return queue.empty() ? nullptr : queue.front();
  }
  if (RunsAlone()) {
    return nullptr;
  }
  const bool online = !m_online.empty();
  const auto& queue = online ? m_online : m_batch;
  if (queue.empty()) {
    return nullptr;
  }
  GateExchange* front = queue.front();
  const size_t limit = online ? m_slots : BatchLimit();
  const bool fits = front->alone ? used() == 0 : used() < limit;
  return fits ? front : nullptr;
}

std::vector<GateExchange*> GateScheduler::ChooseVictims() const {
  std::vector<GateExchange*> victims;
  const size_t wanted = PreemptionsNeeded();
  if (wanted == 0) {
    return victims;
  }
  for (GateExchange* exchange : m_running) {
    if (exchange->preemptible) {
      victims.push_back(exchange);
    }
  }
  std::sort(victims.begin(), victims.end(),
            [](const GateExchange* a, const GateExchange* b) {
              return PreemptionCost(*a) < PreemptionCost(*b);
            });
  victims.resize(std::min(victims.size(), wanted));
  return victims;
}

size_t GateScheduler::PreemptionsNeeded() const {
  if (!Preempts() || m_online.empty()) {
    return 0;
  }
  if (m_online.front()->alone || RunsAlone()) {
    return m_running.size();
  }
  const size_t free = m_slots - std::min(m_slots, used());
  const size_t coming = free + m_closing.size();
  return m_online.size() - std::min(m_online.size(), coming);
}

void GateScheduler::MarkFinished(GateExchange& exchange) {
  std::erase(m_running, &exchange);
}

void GateScheduler::MarkClosing(GateExchange& exchange) {
  std::erase(m_running, &exchange);
  m_closing.insert(exchange.key);
}

bool GateScheduler::MarkClosed(const ExchangeKey& key) {
  return m_closing.erase(key) > 0;
}

size_t GateScheduler::CountRunning(WorkClass work) const {
  return static_cast<size_t>(
      std::count_if(m_running.begin(), m_running.end(),
                    [&](const GateExchange* e) { return e->work == work; }));
}

bool GateScheduler::RunsAlone() const {
  return std::any_of(m_running.begin(), m_running.end(),
                     [](const GateExchange* e) { return e->alone; });
}

Duration GateScheduler::ExpectedWait() const {
  const auto holds_slot = [&](const GateExchange* exchange) {
    return !exchange->IsOnline() && !(Preempts() && exchange->preemptible);
  };
  const auto held = static_cast<size_t>(
      std::count_if(m_running.begin(), m_running.end(), holds_slot));
  const size_t available =
      std::max<size_t>(m_slots - std::min(m_slots, held), 1);
  const size_t ahead = CountRunning(WorkClass::kOnline) + m_online.size();
  if (ahead < available) {
    return Duration(0);
  }
  const auto departures = static_cast<Duration::rep>(ahead - available + 1);
  return m_service_time * departures / static_cast<Duration::rep>(available);
}

void GateScheduler::RecordServiceTime(Duration time) {
  const double old_part = static_cast<double>(m_service_time.count());
  const double new_part = static_cast<double>(time.count());
  m_service_time = Duration(static_cast<Duration::rep>(
      old_part + kServiceWeight * (new_part - old_part)));
}

LoadStatus GateScheduler::Load() const {
  return {.slots = static_cast<uint32_t>(m_slots),
          .online = static_cast<uint32_t>(CountRunning(WorkClass::kOnline)),
          .batch = static_cast<uint32_t>(CountRunning(WorkClass::kBatch)),
          .waiting_online = static_cast<uint32_t>(m_online.size()),
          .waiting_batch = static_cast<uint32_t>(m_batch.size())};
}

}  // namespace cowslip
