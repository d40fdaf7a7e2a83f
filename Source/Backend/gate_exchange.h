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
/// \brief One request from its dispatch to its terminal reply.
struct GateExchange {
  /// Where the request is.
  enum class State {
    kWaiting,
    kRunning,
    /// The backend server is done; the rest of the answer waits for credit.
    kFlushing,
  };

  bool IsOnline() const { return work == WorkClass::kOnline; }

  ExchangeKey key;
  State state = State::kWaiting;
  WorkClass work = WorkClass::kOnline;
  /// Nothing may run beside it.
  bool alone = false;
  /// May be taken off the backend server for an online request.
  bool preemptible = false;
  /// The answer is gathered from a stream.
  bool assembled = false;
  MonotonicTime deadline;
  MonotonicTime started;
  EngineRequest request;
  /// What an earlier stream had produced.
  ResumeToken resume_from;
  /// Set once the backend server's status has come.
  std::optional<EngineResponse> answer;
  ReplyFlow flow;
  bool paused = false;
};

}  // namespace cowslip

#endif  // SOURCE_BACKEND_GATE_EXCHANGE_H_
