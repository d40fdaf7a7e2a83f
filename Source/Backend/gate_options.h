#ifndef SOURCE_BACKEND_GATE_OPTIONS_H_
#define SOURCE_BACKEND_GATE_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <variant>

#include "Base/ids.h"
#include "Base/time.h"

namespace cowslip {

/// Every request goes straight to the engine. Only for comparison.
struct NoGate {};

/// \class Headroom
/// \brief Admits at most `slots` requests, batch only while more than
/// `headroom` slots are free.
struct Headroom {
  uint32_t headroom = 1;
};

/// \class HeadroomWithPreemption
/// \brief Like Headroom; an online request without a free slot takes that of
/// the batch stream that loses least.
struct HeadroomWithPreemption {
  uint32_t headroom = 0;
};

using GatePolicy = std::variant<NoGate, Headroom, HeadroomWithPreemption>;

/// What the side process stands in front of.
enum class BackendKind {
  /// A model engine, whose streams can be resumed.
  kEngine,
  /// A service that takes each request as it is.
  kPlain,
};

/// \class GateOptions
/// \brief The size of the backend server and the bounds on waiting work.
struct GateOptions {
  ServiceId service;
  ZoneId zone;
  BackendKind kind = BackendKind::kEngine;
  GatePolicy policy = HeadroomWithPreemption();
  uint32_t slots = 8;
  size_t max_waiting_online = 64;
  size_t max_ready_batch = 16;
  /// For a request that states no deadline.
  Duration default_deadline = std::chrono::minutes(10);
  /// How long an online request runs, until some have been seen.
  Duration initial_service_estimate = std::chrono::seconds(1);
  /// A batch answer that grows past this fails.
  size_t max_response_bytes = 8 << 20;
};

}  // namespace cowslip

#endif  // SOURCE_BACKEND_GATE_OPTIONS_H_
