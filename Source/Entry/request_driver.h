#ifndef SOURCE_ENTRY_REQUEST_DRIVER_H_
#define SOURCE_ENTRY_REQUEST_DRIVER_H_

#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <variant>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Entry/claim_store.h"
#include "Requests/request_core.h"

namespace cowslip {

/// What a request's owner hears; the last four end it.
using ResponseEvent = std::variant<RespondHead,
                                   RespondChunk,
                                   RespondEnd,
                                   RespondProblem,
                                   AbortResponse,
                                   RespondPreempted>;
using ResponseSink = std::function<void(const ResponseEvent&)>;

/// \class RequestDriverHooks
/// \brief How the driver reaches the other slices.
struct RequestDriverHooks {
  /// Sends to a side process; false when surely nothing was sent.
  std::function<bool(const VmId&, const ExchangeRequestMessage&)> send;
  /// Asks the limits; the callback gets RateLimitAdmitted or
  /// RateLimitRefused.
  std::function<void(const CheckRateLimit&, std::function<void(RequestEvent)>)>
      ask_limit;
  std::function<void(const CrashReport&)> broadcast_crash;
};

/// \class RequestDriver
/// \brief Feeds the request core with what sockets and timers bring, and
/// carries its actions out.
class RequestDriver {
 public:
  RequestDriver(boost::asio::io_context& context,
                ClaimStore& claims,
                RequestCoreOptions options,
                RequestDriverHooks hooks,
                std::string claim_token_prefix);

  /// Starts a request; the sink hears exactly one ending event, never from
  /// within this call.
  RequestId Start(RequestArrived arrival, ResponseSink sink);
  /// Feeds any other event.
  void Feed(RequestEvent event);
  /// Decodes a frame of the exchange reply channel.
  void OnReplyFrame(const VmId& vm, const std::string& cbor);

  void Stop();

  const RequestCore& core() const { return m_core; }
  /// The requests held back now.
  std::vector<Fingerprint> Quarantined() const;

 private:
  void Process();
  void ScheduleProcess();
  void ScheduleTick();
  void Carry(const CheckRateLimit& action);
  void Carry(const ClaimIdempotencyKey& action);
  void Carry(const ReleaseClaim& action);
  void Carry(const SendToBackend& action);
  void Carry(const BroadcastCrashReport& action);
  void Carry(const RespondHead& action);
  void Carry(const RespondChunk& action);
  void Carry(const RespondEnd& action);
  void Carry(const RespondProblem& action);
  void Carry(const AbortResponse& action);
  void Carry(const RespondPreempted& action);
  void ClaimSettled(RequestId request, ClaimOutcome outcome);
  void Tell(RequestId request, const ResponseEvent& event, bool last);
  std::string TokenOf(RequestId request) const;

  struct Claimed {
    OrganisationId organisation;
    std::string idempotency_key;
    bool settled = false;
  };

  boost::asio::io_context& m_context;
  ClaimStore& m_claims;
  RequestCore m_core;
  const RequestDriverHooks m_hooks;
  const std::string m_claim_token_prefix;
  boost::asio::steady_timer m_tick;
  RequestId m_last_request;
  std::unordered_map<RequestId, ResponseSink> m_sinks;
  std::unordered_map<RequestId, Claimed> m_claimed;
  std::deque<RequestEvent> m_events;
  bool m_processing = false;
  bool m_scheduled = false;
  bool m_stopped = false;
};

}  // namespace cowslip

#endif  // SOURCE_ENTRY_REQUEST_DRIVER_H_
