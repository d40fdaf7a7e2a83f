#include "Entry/entry_metrics.h"

#include "Batch/batch_driver.h"
#include "Limits/limits_driver.h"
#include "Link/peer_link.h"
#include "Metrics/gauge.h"
#include "Platform/http_object_store.h"
#include "Requests/request_core.h"

namespace cowslip {

EntryMetrics::EntryMetrics(const RequestCore& requests,
                           const PeerLink& link,
                           const HttpObjectStore& store)
    : m_requests(requests), m_link(link), m_store(store) {}

void EntryMetrics::Set(const std::string& name,
                       const std::string& help,
                       double value) {
  m_registry.gauge(name, help).Set(value);
}

void EntryMetrics::TakeRequests() {
  const RequestCoreCounters& counters = m_requests.counters();
  Set("cowslip_requests_arrived_total", "Requests that passed the key check",
      counters.arrived);
  Set("cowslip_requests_completed_total", "Requests answered whole",
      counters.completed);
  Set("cowslip_requests_refused_total", "Requests refused before they ran",
      counters.refused);
  Set("cowslip_requests_failed_total", "Requests that ended with a problem",
      counters.failed);
  Set("cowslip_requests_truncated_total",
      "Responses broken off after their first byte", counters.truncated);
  Set("cowslip_requests_cut_total",
      "Requests cut: caller gone, key withdrawn or job cancelled",
      counters.cancelled);
  Set("cowslip_request_attempts_total", "Attempts at backend servers",
      counters.attempts);
  Set("cowslip_request_retries_total", "Attempts after the first",
      counters.retries);
  Set("cowslip_replies_stale_total", "Replies of abandoned attempts, dropped",
      counters.stale_replies);
  Set("cowslip_batch_preempted_total", "Batch items sent back by a gate",
      counters.preempted);
  Set("cowslip_requests_active", "Requests in progress",
      static_cast<double>(m_requests.active()));
}

void EntryMetrics::TakeProcess() {
  Set("cowslip_link_sent_bytes_total", "Bytes sent on peer links",
      static_cast<double>(m_link.bytes_sent()));
  Set("cowslip_link_received_bytes_total", "Bytes received on peer links",
      static_cast<double>(m_link.bytes_received()));
  for (const StoreCall call : kAllStoreCalls) {
    Set("cowslip_store_calls_total{call=\"" + std::string(StoreCallName(call)) +
            "\"}",
        "Calls to the platform's object API",
        static_cast<double>(m_store.calls().count(call)));
  }
}

void EntryMetrics::Take(const LimitsCounters& counters) {
  const auto set = [this](const char* name, const char* help, uint64_t value) {
    Set(name, help, static_cast<double>(value));
  };
  set("cowslip_limits_admitted_total", "Requests let in by their limits",
      counters.admitted);
  set("cowslip_limits_refused_total{reason=\"over_limit\"}",
      "Requests refused by the limits", counters.refused_over_limit);
  set("cowslip_limits_refused_total{reason=\"no_owner\"}",
      "Requests refused by the limits", counters.refused_no_owner);
  set("cowslip_limits_refused_total{reason=\"unknown_organisation\"}",
      "Requests refused by the limits", counters.refused_unknown_organisation);
  set("cowslip_limits_sent_bytes_total", "Bytes sent about limits",
      counters.bytes_sent);
  set("cowslip_limits_owned_shards", "Shards of organisations owned here",
      counters.owned_shards);
}

void EntryMetrics::Take(const BatchCounters& counters) {
  const auto set = [this](const char* name, const char* help, uint64_t value) {
    Set(name, help, static_cast<double>(value));
  };
  set("cowslip_batch_owned_partitions", "Partitions owned here",
      counters.owned_partitions);
  set("cowslip_batch_running_items", "Batch items in progress",
      counters.running_items);
  set("cowslip_batch_jobs_submitted_total", "Jobs accepted here",
      counters.jobs_submitted);
}

std::string EntryMetrics::Render() {
  TakeRequests();
  TakeProcess();
  return m_registry.Render();
}

}  // namespace cowslip
