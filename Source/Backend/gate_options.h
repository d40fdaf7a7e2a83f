#ifndef SOURCE_BACKEND_GATE_OPTIONS_H_
#define SOURCE_BACKEND_GATE_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <variant>

#include "Base/ids.h"
#include "Base/time.h"

namespace cowslip {

/// No admission control: every request is sent to the engine at once. Only
/// for comparison in benchmarks.
struct NoGate {};

/// \class Headroom
/// \brief Runs at most `slots` requests; starts batch requests only while more
/// than `headroom` slots are free.
struct Headroom {
  uint32_t headroom = 1;
};

/// \class HeadroomWithPreemption
/// \brief Like Headroom; an online request without a free slot preempts the
/// batch stream that has the least work to repeat.
struct HeadroomWithPreemption {
  uint32_t headroom = 0;
};

using GatePolicy = std::variant<NoGate, Headroom, HeadroomWithPreemption>;

/// The kind of backend server behind the sidecar.
enum class BackendKind {
  /// A model engine, whose streams can be resumed.
  kEngine,
  /// A service that gets each request unchanged.
  kPlain,
};

/// \class GateOptions
/// \brief The capacity of the backend server and the limits of its queues.
struct GateOptions {
  ServiceId service;
  ZoneId zone;
  BackendKind kind = BackendKind::kEngine;
  GatePolicy policy = HeadroomWithPreemption();
  uint32_t slots = 8;
  size_t max_waiting_online = 64;
  size_t max_ready_batch = 16;
  /// The deadline of a request that has none of its own.
  Duration default_deadline = std::chrono::minutes(10);
  /// The initial estimate of the service time of an online request, until
  /// measured times replace it.
  Duration initial_service_estimate = std::chrono::seconds(1);
  /// The largest text of an assembled batch response, in bytes; a response with
  /// a larger text fails.
  size_t max_response_bytes = 8 << 20;
};

}  // namespace cowslip

#endif  // SOURCE_BACKEND_GATE_OPTIONS_H_
