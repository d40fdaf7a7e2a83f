#ifndef SOURCE_BACKEND_GATE_ACTIONS_H_
#define SOURCE_BACKEND_GATE_ACTIONS_H_

#include <variant>

#include "Backend/engine_request.h"
#include "Backend/exchange_key.h"
#include "Base/time.h"
#include "Exchange/exchange_messages.h"

namespace cowslip {

/// Sends a request to the backend server, without retries.
struct StartEngineCall {
  ExchangeKey key;
  EngineRequest request;
  /// Time until the request's deadline.
  Duration timeout;
};

/// Closes the call's connection; EngineCallClosed follows.
struct AbortEngineCall {
  ExchangeKey key;
};

/// Stops reading the response body until ResumeEngineRead.
struct PauseEngineRead {
  ExchangeKey key;
};

/// Continues to read the response body.
struct ResumeEngineRead {
  ExchangeKey key;
};

/// Sends a message to one entry.
struct ReplyToEntry {
  VmId entry;
  ExchangeReplyMessage message;
};

/// Sends the status to every connected entry.
struct AnnounceStatus {
  BackendStatus status;
};

/// All accepted requests have ended; the process may exit.
struct DrainFinished {};

using GateAction = std::variant<StartEngineCall,
                                AbortEngineCall,
                                PauseEngineRead,
                                ResumeEngineRead,
                                ReplyToEntry,
                                AnnounceStatus,
                                DrainFinished>;

}  // namespace cowslip

#endif  // SOURCE_BACKEND_GATE_ACTIONS_H_
