#ifndef SOURCE_BACKEND_GATE_EVENTS_H_
#define SOURCE_BACKEND_GATE_EVENTS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Backend/exchange_key.h"
#include "Exchange/exchange_messages.h"

namespace cowslip {

/// An entry asks for a request to be run.
struct DispatchReceived {
  VmId entry;
  Incarnation incarnation;
  DispatchRequest request;
};

/// An entry no longer wants the answer.
struct CancelReceived {
  ExchangeKey key;
};

/// An entry can take more bytes of an answer.
struct CreditReceived {
  ExchangeKey key;
  uint64_t bytes = 0;
};

/// The backend server's status and headers have come.
struct EngineResponseHead {
  ExchangeKey key;
  int status = 0;
  std::vector<ForwardedHeader> headers;
};

/// A piece of the body has come.
struct EngineResponseChunk {
  ExchangeKey key;
  std::string data;
};

/// The body has come to its proper end.
struct EngineResponseEnd {
  ExchangeKey key;
};

/// How a call to the backend server failed.
enum class EngineFailureKind {
  /// No byte of the request can have reached the backend server.
  kNotSent,
  /// The connection broke after the request may have reached it.
  kConnectionBroken,
  kTimeout,
};

/// The call has ended without a whole answer.
struct EngineCallFailed {
  ExchangeKey key;
  EngineFailureKind failure = EngineFailureKind::kConnectionBroken;
  std::string detail;
};

/// An aborted call has left the backend server.
struct EngineCallClosed {
  ExchangeKey key;
};

/// A link from an entry has come up.
struct EntryLinkUp {
  VmId entry;
  Incarnation incarnation;
};

/// The link from an entry has failed.
struct EntryLinkDown {
  VmId entry;
};

/// The process is to leave.
struct GateDrainRequested {};

/// The backend server answers.
struct EngineUp {};

/// The backend server does not answer any more.
struct EngineDown {};

/// Time has passed.
struct GateTick {};

using GateEvent = std::variant<DispatchReceived,
                               CancelReceived,
                               CreditReceived,
                               EngineResponseHead,
                               EngineResponseChunk,
                               EngineResponseEnd,
                               EngineCallFailed,
                               EngineCallClosed,
                               EntryLinkUp,
                               EntryLinkDown,
                               GateDrainRequested,
                               EngineUp,
                               EngineDown,
                               GateTick>;

}  // namespace cowslip

#endif  // SOURCE_BACKEND_GATE_EVENTS_H_
