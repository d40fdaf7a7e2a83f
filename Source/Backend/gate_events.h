#ifndef SOURCE_BACKEND_GATE_EVENTS_H_
#define SOURCE_BACKEND_GATE_EVENTS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Backend/exchange_key.h"
#include "Exchange/exchange_messages.h"

namespace cowslip {

/// An entry has sent a request to run.
struct DispatchReceived {
  VmId entry;
  Incarnation incarnation;
  DispatchRequest request;
};

/// An entry has cancelled an exchange.
struct CancelReceived {
  ExchangeKey key;
};

/// An entry has granted flow-control credit for more bytes of a response.
struct CreditReceived {
  ExchangeKey key;
  uint64_t bytes = 0;
};

/// The status and headers of the backend server's response have arrived.
struct EngineResponseHead {
  ExchangeKey key;
  int status = 0;
  std::vector<ForwardedHeader> headers;
  /// The body has neither a length nor chunks.
  bool ends_with_connection = false;
};

/// A chunk of the response body has arrived.
struct EngineResponseChunk {
  ExchangeKey key;
  std::string data;
};

/// The response body is complete according to its HTTP framing.
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

/// The call has ended without a complete response.
struct EngineCallFailed {
  ExchangeKey key;
  EngineFailureKind failure = EngineFailureKind::kConnectionBroken;
  std::string detail;
};

/// The connection of an aborted call has been closed.
struct EngineCallClosed {
  ExchangeKey key;
};

/// The link from an entry has come up.
struct EntryLinkUp {
  VmId entry;
  Incarnation incarnation;
};

/// The link from an entry has failed.
struct EntryLinkDown {
  VmId entry;
};

/// The process is asked to drain and exit.
struct GateDrainRequested {};

/// The backend server has answered a health probe.
struct EngineUp {};

/// The health probes of the backend server have failed.
struct EngineDown {};

/// The timer for deadlines has fired.
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
