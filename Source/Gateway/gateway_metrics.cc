#include "Gateway/gateway_metrics.h"

#include "Metrics/counter.h"
#include "Metrics/gauge.h"
#include "Metrics/summary.h"

namespace cowslip {

namespace {

double Millis(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

GatewayMetrics::GatewayMetrics()
    : m_first_byte(m_registry.summary(
          "cowslip_first_event_milliseconds",
          "From a request's arrival to its first byte for the caller.")),
      m_request_duration(m_registry.summary(
          "cowslip_request_milliseconds",
          "From a request's arrival to the end of its answer.")) {}

void GatewayMetrics::IncrementCounter(const char* family,
                                      const char* help,
                                      const std::string& outcome) {
  m_registry
      .counter(std::string(family) + "{outcome=\"" + outcome + "\"}", help)
      .Increment();
}

void GatewayMetrics::CountRequest(const std::string& outcome) {
  IncrementCounter("cowslip_requests_total", "Requests of callers by outcome.",
                   outcome);
}

void GatewayMetrics::CountAttempt(const std::string& outcome) {
  IncrementCounter(
      "cowslip_attempts_total",
      "Attempts at backend servers for online requests by outcome.", outcome);
}

void GatewayMetrics::CountStall(const std::string& outcome) {
  IncrementCounter("cowslip_stalls_total",
                   "Silences of backend servers during attempts by outcome.",
                   outcome);
}

void GatewayMetrics::CountItemRun(const std::string& outcome) {
  IncrementCounter("cowslip_items_total",
                   "Attempts at backend servers for batch items by outcome.",
                   outcome);
}

void GatewayMetrics::RecordFirstByte(Duration after) {
  m_first_byte.Observe(Millis(after));
}

void GatewayMetrics::RecordRequestDuration(Duration took) {
  m_request_duration.Observe(Millis(took));
}

void GatewayMetrics::SetGauge(const std::string& name,
                              const std::string& help,
                              double value) {
  m_registry.gauge(name, help).Set(value);
}

}  // namespace cowslip
