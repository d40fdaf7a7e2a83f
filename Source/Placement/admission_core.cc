#include "Placement/admission_core.h"

#include <algorithm>

namespace cowslip {

namespace {

Duration Scale(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

}  // namespace

AdmissionCore::AdmissionCore(AdmissionOptions options)
    : m_options(options), m_random(options.seed) {}

Duration AdmissionCore::RetryDelay(Duration remaining) {
  std::uniform_real_distribution<double> spread(0, 1);
  const Duration range = m_options.max_retry_delay - m_options.min_retry_delay;
  const Duration time =
      m_options.min_retry_delay + Scale(range, spread(m_random));
  // A caller that retries with little time left can't be served in time.
  return std::min(time, remaining / 3);
}

uint32_t AdmissionCore::QueueAllowance(const AdmissionRequested& event) const {
  const ServiceLoad& load = event.load;
  if (load.slot_time <= Duration::zero() || load.backends == 0) {
    return 1;
  }
  const Duration queue_time =
      Scale(event.latency_target, m_options.queue_fraction) - load.first_event;
  const double slots =
      static_cast<double>(load.slots) / static_cast<double>(load.backends);
  const Duration time_per_position = Scale(load.slot_time, 1 / slots);
  const int64_t positions =
      queue_time / std::max(time_per_position, Duration(1));
  return static_cast<uint32_t>(
      std::clamp<int64_t>(positions, 0, m_options.max_queue_allowance));
}

bool AdmissionCore::QueueIsFull(const AdmissionRequested& event,
                                Duration max_wait) const {
  const ServiceLoad& load = event.load;
  if (load.slot_time <= Duration::zero()) {
    return false;
  }
  const double freed =
      static_cast<double>(load.slots) *
      (max_wait / std::chrono::duration<double, std::nano>(load.slot_time));
  const double freed_for_this_process =
      freed / std::max<uint32_t>(event.members, 1);
  return event.waiting >= std::max(1.0, freed_for_this_process);
}

AdmissionDecision AdmissionCore::Handle(const AdmissionRequested& event) {
  if (event.load.backends == 0) {
    return RejectRequest{.reason = "no backend server is usable",
                         .retry_after = RetryDelay(event.remaining)};
  }
  const Duration max_wait =
      std::min(Scale(event.latency_target, m_options.wait_fraction),
               event.remaining / 2);
  if (QueueIsFull(event, max_wait)) {
    return RejectRequest{.reason = "backend servers are full",
                         .retry_after = RetryDelay(event.remaining)};
  }
  return AdmitRequest{.queue_allowance = QueueAllowance(event),
                      .max_wait = max_wait};
}

}  // namespace cowslip
