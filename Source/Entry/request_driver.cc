#include "Entry/request_driver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include "Base/json.h"
#include "Base/log.h"
#include "Base/message_codec.h"

namespace cowslip {

namespace {

constexpr auto kTickInterval = std::chrono::milliseconds(20);
constexpr JsonLimits kFrameLimits = {.max_bytes = 8 << 20, .max_depth = 16};

}  // namespace

RequestDriver::RequestDriver(boost::asio::io_context& context,
                             ClaimStore& claims,
                             RequestCoreOptions options,
                             RequestDriverHooks hooks,
                             std::string claim_token_prefix)
    : m_context(context),
      m_claims(claims),
      m_core(std::move(options)),
      m_hooks(std::move(hooks)),
      m_claim_token_prefix(std::move(claim_token_prefix)),
      m_tick(context) {
  ScheduleTick();
}

RequestId RequestDriver::Start(RequestArrived arrival, ResponseSink sink) {
  ++m_last_request;
  const RequestId id = m_last_request;
  arrival.request = id;
  m_sinks[id] = std::move(sink);
  m_events.push_back(std::move(arrival));
  ScheduleProcess();
  return id;
}

void RequestDriver::Feed(RequestEvent event) {
  m_events.push_back(std::move(event));
  Process();
}

void RequestDriver::OnReplyFrame(const VmId& vm, const std::string& cbor) {
  const Result<nlohmann::json> json = ParseCbor(cbor, kFrameLimits);
  if (!json.has_value()) {
    LOG(WARNING) << "requests: A frame from " << vm << " was dropped. "
                 << json.error();
    return;
  }
  Result<ExchangeReplyMessage> message =
      DecodeMessage<ExchangeReplyMessage>(json.value());
  if (!message.has_value()) {
    LOG(WARNING) << "requests: A message from " << vm << " was dropped. "
                 << message.error();
    return;
  }
  Feed(ReplyReceived{vm, std::move(message.value())});
}

std::vector<Fingerprint> RequestDriver::Quarantined() const {
  return m_core.crashes().Quarantined(MonotonicClock::now());
}

void RequestDriver::Stop() {
  m_stopped = true;
  m_tick.cancel();
}

// Actions may lead to further events; those wait until the actions of this
// one have been carried out.
void RequestDriver::Process() {
  if (m_processing) {
    return;
  }
  m_processing = true;
  while (!m_events.empty()) {
    const RequestEvent event = std::move(m_events.front());
    m_events.pop_front();
    for (const RequestAction& action :
         m_core.Handle(event, MonotonicClock::now())) {
      std::visit([this](const auto& alternative) { Carry(alternative); },
                 action);
    }
  }
  m_processing = false;
}

void RequestDriver::ScheduleProcess() {
  if (m_scheduled) {
    return;
  }
  m_scheduled = true;
  boost::asio::post(m_context, [this] {
    m_scheduled = false;
    Process();
  });
}

void RequestDriver::ScheduleTick() {
  m_tick.expires_after(kTickInterval);
  m_tick.async_wait([this](const boost::system::error_code& error) {
    if (error || m_stopped) {
      return;
    }
    Feed(RequestTick{});
    ScheduleTick();
  });
}

void RequestDriver::Carry(const CheckRateLimit& action) {
  m_hooks.ask_limit(action,
                    [this](RequestEvent event) { Feed(std::move(event)); });
}

std::string RequestDriver::TokenOf(RequestId request) const {
  return m_claim_token_prefix + std::to_string(request.value());
}

void RequestDriver::Carry(const ClaimIdempotencyKey& action) {
  m_claimed[action.request] = {.organisation = action.organisation,
                               .idempotency_key = action.idempotency_key};
  boost::asio::co_spawn(
      m_context,
      m_claims.Claim(action.organisation, action.idempotency_key,
                     TokenOf(action.request)),
      [this, id = action.request](std::exception_ptr, ClaimOutcome outcome) {
        ClaimSettled(id, outcome);
      });
}

void RequestDriver::ClaimSettled(RequestId id, ClaimOutcome outcome) {
  switch (outcome) {
    case ClaimOutcome::kWon:
      Feed(ClaimGranted{id});
      break;
    case ClaimOutcome::kLost:
      Feed(ClaimRejected{id});
      break;
    case ClaimOutcome::kUnavailable:
      // The write may still take effect; nothing runs under it.
      Carry(ReleaseClaim{id});
      Feed(ClaimFailed{id});
      break;
  }
  const auto found = m_claimed.find(id);
  if (found == m_claimed.end()) {
    return;
  }
  found->second.settled = true;
  if (!m_sinks.contains(id)) {
    m_claimed.erase(found);
  }
}

void RequestDriver::Carry(const ReleaseClaim& action) {
  const auto found = m_claimed.find(action.request);
  if (found == m_claimed.end()) {
    return;
  }
  const Claimed& claimed = found->second;
  boost::asio::co_spawn(
      m_context,
      m_claims.Release(claimed.organisation, claimed.idempotency_key,
                       TokenOf(action.request)),
      boost::asio::detached);
}

void RequestDriver::Carry(const SendToBackend& action) {
  if (m_hooks.send(action.vm, action.message)) {
    return;
  }
  const auto* dispatch = std::get_if<DispatchRequest>(&action.message);
  if (dispatch == nullptr) {
    return;
  }
  m_events.push_back(ReplyReceived{
      action.vm, ExchangeFailed{.exchange = dispatch->exchange,
                                .reason = FailureReason::kOverloaded,
                                .not_run = true,
                                .detail = "There is no link to it."}});
}

void RequestDriver::Carry(const BroadcastCrashReport& action) {
  m_hooks.broadcast_crash(action.report);
}

void RequestDriver::Carry(const RespondHead& action) {
  Tell(action.request, action, false);
}

void RequestDriver::Carry(const RespondChunk& action) {
  Tell(action.request, action, false);
}

void RequestDriver::Carry(const RespondEnd& action) {
  Tell(action.request, action, true);
}

void RequestDriver::Carry(const RespondProblem& action) {
  Tell(action.request, action, true);
}

void RequestDriver::Carry(const AbortResponse& action) {
  Tell(action.request, action, true);
}

void RequestDriver::Carry(const RespondPreempted& action) {
  Tell(action.request, action, true);
}

void RequestDriver::Tell(RequestId request,
                         const ResponseEvent& event,
                         bool last) {
  const auto found = m_sinks.find(request);
  if (found == m_sinks.end()) {
    return;
  }
  if (!last) {
    found->second(event);
    return;
  }
  const ResponseSink sink = std::move(found->second);
  m_sinks.erase(found);
  // A claim that is still being written is needed until it can be released.
  const auto claimed = m_claimed.find(request);
  if (claimed != m_claimed.end() && claimed->second.settled) {
    m_claimed.erase(claimed);
  }
  sink(event);
}

}  // namespace cowslip
