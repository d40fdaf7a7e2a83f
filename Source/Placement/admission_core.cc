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

Duration AdmissionCore::ReturnTime(Duration left) {
  std::uniform_real_distribution<double> spread(0, 1);
  const Duration range = m_options.longest_return - m_options.shortest_return;
  const Duration time =
      m_options.shortest_return + Scale(range, spread(m_random));
  // A caller that comes back with little time left can't be served.
  return std::min(time, left / 3);
}

uint32_t AdmissionCore::QueueAllowance(const AdmissionRequested& event) const {
  const ServiceLoad& load = event.load;
  if (load.slot_time <= Duration::zero() || load.backends == 0) {
    return 1;
  }
  const Duration room =
      Scale(event.target, m_options.queue_share) - load.first_event;
  const double slots =
      static_cast<double>(load.slots) / static_cast<double>(load.backends);
  const Duration per_place = Scale(load.slot_time, 1 / slots);
  const int64_t places = room / std::max(per_place, Duration(1));
  return static_cast<uint32_t>(
      std::clamp<int64_t>(places, 0, m_options.max_queue_allowance));
}

bool AdmissionCore::QueueIsFull(const AdmissionRequested& event,
                                Duration longest_wait) const {
  const ServiceLoad& load = event.load;
  if (load.slot_time <= Duration::zero()) {
    return false;
  }
  const double freed =
      static_cast<double>(load.slots) *
      (longest_wait / std::chrono::duration<double, std::nano>(load.slot_time));
  const double freed_for_us = freed / std::max<uint32_t>(event.members, 1);
  return event.waiting >= std::max(1.0, freed_for_us);
}

AdmissionDecision AdmissionCore::Handle(const AdmissionRequested& event) {
  if (event.load.backends == 0) {
    return RejectRequest{.reason = "no backend server is usable",
                         .retry_after = ReturnTime(event.left)};
  }
  const Duration longest_wait =
      std::min(Scale(event.target, m_options.wait_share), event.left / 2);
  if (QueueIsFull(event, longest_wait)) {
    return RejectRequest{.reason = "backend servers are full",
                         .retry_after = ReturnTime(event.left)};
  }
  return AdmitToQueue{.queue_allowance = QueueAllowance(event),
                      .longest_wait = longest_wait};
}

}  // namespace cowslip
