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
/// \brief How much of a caller's time may pass before its work begins.
struct AdmissionOptions {
  uint64_t seed = 1;
  /// Share of the latency target that a request may spend in a backend
  /// server's queue; the rest covers the first event and the way back.
  double queue_share = 0.6;
  /// Share of the latency target that a request may wait here for a slot; what
  /// is refused then can still be answered in time elsewhere.
  double wait_share = 0.2;
  /// The most requests that may queue at one backend server beyond its slots:
  /// its queue is in order of arrival, so that one there can't be overtaken.
  uint32_t max_queue_allowance = 3;
  /// Callers come back between these times, spread evenly, so that those of one
  /// burst do not meet again. A burst lasts a second or a few.
  Duration shortest_return = std::chrono::milliseconds(400);
  Duration longest_return = std::chrono::milliseconds(1500);
};

/// A request has come for a service.
struct AdmissionRequested {
  ServiceLoad load;
  Duration target{0};
  /// How long the caller still waits.
  Duration left{0};
  /// Processes of the system that share the backend servers.
  uint32_t members = 1;
  /// Requests that wait here already.
  uint32_t waiting = 0;
};

/// Send it to a backend server if there is room, else let it wait.
struct AdmitToQueue {
  uint32_t queue_allowance = 0;
  Duration longest_wait{0};
};
/// Refuse it now.
struct RejectRequest {
  /// Short text for the log and the answer.
  const char* reason = "";
  Duration retry_after{0};
};
using AdmissionDecision = std::variant<AdmitToQueue, RejectRequest>;

/// \class AdmissionCore
/// \brief Decides which requests are turned away, for load above what the
/// backend servers can do: a burst of several times the mean that lasts
/// seconds.
///
/// Serving such load in order of arrival makes every answer late. A request
/// that could only be answered late is refused at once, with a time to come
/// back that differs from caller to caller, so that the others stay in time.
class AdmissionCore {
 public:
  explicit AdmissionCore(AdmissionOptions options);

  AdmissionDecision Handle(const AdmissionRequested& event);
  /// When a caller that is refused should come back.
  Duration ReturnTime(Duration left);

 private:
  uint32_t QueueAllowance(const AdmissionRequested& event) const;
  bool QueueIsFull(const AdmissionRequested& event,
                   Duration longest_wait) const;

  const AdmissionOptions m_options;
  std::mt19937_64 m_random;
};

}  // namespace cowslip

#endif  // SOURCE_PLACEMENT_ADMISSION_CORE_H_
