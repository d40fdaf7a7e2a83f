#include "Backend/sidecar_metrics.h"

#include "Backend/gate_core.h"
#include "Metrics/counter.h"
#include "Metrics/gauge.h"

namespace cowslip {

namespace {

constexpr char kFailuresHelp[] = "Exchanges that ended without an answer.";

}  // namespace

void SidecarMetrics::Count(const ExchangeReplyMessage& message) {
  if (const auto* failed = std::get_if<ExchangeFailed>(&message)) {
    const std::string reason = nlohmann::json(failed->reason);
    m_registry
        .counter("cowslip_side_failures_total{reason=\"" + reason + "\"}",
                 kFailuresHelp)
        .Increment();
  } else if (const auto* chunk = std::get_if<ResponseChunk>(&message)) {
    m_registry
        .counter("cowslip_side_answer_bytes_total",
                 "Bytes of answers sent to entries.")
        .Increment(chunk->data.size());
  }
}

std::string SidecarMetrics::Render(const GateCore& gate) {
  const auto set = [this](const char* name, const char* help, double value) {
    m_registry.gauge(name, help).Set(value);
  };
  const LoadStatus load = gate.Status().load;
  const GateCounters& counters = gate.counters();
  set("cowslip_side_slots", "Slots of the backend server.", load.slots);
  set("cowslip_side_running{work=\"online\"}", "Running requests.",
      load.online);
  set("cowslip_side_running{work=\"batch\"}", "Running requests.", load.batch);
  set("cowslip_side_waiting{work=\"online\"}", "Waiting requests.",
      load.waiting_online);
  set("cowslip_side_waiting{work=\"batch\"}", "Waiting requests.",
      load.waiting_batch);
  set("cowslip_side_accepting", "1 while new work is taken.",
      gate.Status().accepting ? 1 : 0);
  const auto count = [](uint64_t value) { return static_cast<double>(value); };
  set("cowslip_side_started{work=\"online\"}", "Requests sent on.",
      count(counters.started_online));
  set("cowslip_side_started{work=\"batch\"}", "Requests sent on.",
      count(counters.started_batch));
  set("cowslip_side_completed", "Whole answers.", count(counters.completed));
  set("cowslip_side_refused", "Requests refused on arrival.",
      count(counters.refused));
  set("cowslip_side_preempted", "Batch streams that yielded.",
      count(counters.preempted));
  set("cowslip_side_suspects", "Requests in flight at a crash.",
      count(counters.suspects));
  set("cowslip_side_duplicates", "Repeated dispatches that were ignored.",
      count(counters.duplicates));
  return m_registry.Render();
}

}  // namespace cowslip
