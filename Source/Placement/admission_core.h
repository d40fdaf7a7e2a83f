#ifndef SOURCE_PLACEMENT_ADMISSION_CORE_H_
#define SOURCE_PLACEMENT_ADMISSION_CORE_H_

#include <chrono>
#include <cstdint>
#include <random>
#include <variant>

#include "Base/time.h"
#include "Placement/placement_core.h"

namespace cowslip {

/// \class AdmissionOptions
/// \brief Bounds on waiting and queueing times, and on retry delays.
struct AdmissionOptions {
  uint64_t seed = 1;
  /// Fraction of the latency target that a request may spend in a backend
  /// server's queue; the rest covers the first event and the way back.
  double queue_fraction = 0.6;
  /// Fraction of the latency target that a request may wait in this process for
  /// a slot; a request rejected after that can still be served in time
  /// elsewhere.
  double wait_fraction = 0.2;
  /// Maximum number of requests queued at one backend server beyond its slots.
  /// Its queue is first in, first out, so more urgent requests can't overtake.
  uint32_t max_queue_allowance = 3;
  /// Retry delays are uniformly distributed between these bounds, so that the
  /// callers of one burst do not retry at the same moment. A burst lasts one to
  /// a few seconds.
  Duration min_retry_delay = std::chrono::milliseconds(400);
  Duration max_retry_delay = std::chrono::milliseconds(1500);
};

/// A request for a service has arrived.
struct AdmissionRequested {
  ServiceLoad load;
  Duration latency_target{0};
  /// Time until the caller's deadline.
  Duration remaining{0};
  /// Number of processes that share the backend servers, this one included.
  uint32_t members = 1;
  /// Requests that already wait in this process.
  uint32_t waiting = 0;
};

/// Accepts the request: it is sent to a backend server with capacity, or waits
/// for one.
struct AdmitRequest {
  uint32_t queue_allowance = 0;
  Duration max_wait{0};
};
/// Rejects the request at once.
struct RejectRequest {
  /// Short text for the log and the response.
  const char* reason = "";
  Duration retry_after{0};
};
using AdmissionDecision = std::variant<AdmitRequest, RejectRequest>;

/// \class AdmissionCore
/// \brief Decides which requests are rejected when the load exceeds the
/// capacity of the backend servers, such as in a burst of several times the
/// mean that lasts seconds.
///
/// Serving such load in order of arrival makes every response late. A request
/// that could only be served late is rejected at once, with a randomised retry
/// delay, so that the other requests meet their latency target.
class AdmissionCore {
 public:
  explicit AdmissionCore(AdmissionOptions options);

  AdmissionDecision Handle(const AdmissionRequested& event);
  /// The delay after which a rejected caller should retry.
  Duration RetryDelay(Duration remaining);

 private:
  uint32_t QueueAllowance(const AdmissionRequested& event) const;
  bool QueueIsFull(const AdmissionRequested& event, Duration max_wait) const;

  const AdmissionOptions m_options;
  std::mt19937_64 m_random;
};

}  // namespace cowslip

#endif  // SOURCE_PLACEMENT_ADMISSION_CORE_H_
