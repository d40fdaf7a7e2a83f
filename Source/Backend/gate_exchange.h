#ifndef SOURCE_BACKEND_GATE_EXCHANGE_H_
#define SOURCE_BACKEND_GATE_EXCHANGE_H_

#include <optional>

#include "Backend/engine_request.h"
#include "Backend/engine_response.h"
#include "Backend/exchange_key.h"
#include "Backend/reply_flow.h"
#include "Base/time.h"
#include "Exchange/exchange_messages.h"

namespace cowslip {

/// \class GateExchange
/// \brief A request between its dispatch and its terminal reply.
struct GateExchange {
  /// The stage of the request.
  enum class State {
    kWaiting,
    kRunning,
    /// The call has ended; the rest of the response waits for credit.
    kFlushing,
  };

  bool IsOnline() const { return work == WorkClass::kOnline; }

  ExchangeKey key;
  State state = State::kWaiting;
  WorkClass work = WorkClass::kOnline;
  /// No other request may run at the same time.
  bool alone = false;
  /// May be aborted and returned to free a slot for an online request.
  bool preemptible = false;
  /// The response is assembled from a stream.
  bool assembled = false;
  MonotonicTime deadline;
  MonotonicTime started;
  EngineRequest request;
  /// What an earlier, preempted stream had produced.
  ResumeToken resume_from;
  /// Set once the status of the response has arrived.
  std::optional<EngineResponse> response;
  ReplyFlow flow;
  /// Reading the response is paused until the entry grants credit.
  bool paused = false;
};

}  // namespace cowslip

#endif  // SOURCE_BACKEND_GATE_EXCHANGE_H_
