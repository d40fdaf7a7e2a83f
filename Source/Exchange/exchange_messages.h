#ifndef SOURCE_EXCHANGE_EXCHANGE_MESSAGES_H_
#define SOURCE_EXCHANGE_EXCHANGE_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

#include "Base/ids.h"
#include "Base/work_class.h"

namespace cowslip {

/// The peer link channel for messages from an entry to a sidecar.
inline constexpr char kExchangeRequestChannel[] = "exchange.request";
/// The peer link channel for messages from a sidecar to an entry.
inline constexpr char kExchangeReplyChannel[] = "exchange.reply";

/// \class ForwardedHeader
/// \brief A caller's header that may be forwarded. Headers that carry an API
/// key are never forwarded.
struct ForwardedHeader {
  std::string name;
  std::string value;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ForwardedHeader, name, value)

// Entry to sidecar.

/// \class DispatchRequest
/// \brief Asks a sidecar to run one request.
struct DispatchRequest {
  static constexpr char kType[] = "dispatch";
  ExchangeId exchange;
  WorkClass work = WorkClass::kOnline;
  OrganisationId organisation;
  RouteId route;
  std::string method;
  /// Path and query, without API keys.
  std::string target;
  std::vector<ForwardedHeader> headers;
  std::string body;
  bool idempotent = false;
  /// Run while the backend server runs no other request, because this request
  /// is suspected of crashing it.
  bool alone = false;
  /// Time left until the caller's deadline, in milliseconds.
  int64_t deadline_ms = 0;
  /// The output of a preempted stream so far; the engine resumes after it.
  std::string resume_token;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DispatchRequest,
                                   exchange,
                                   work,
                                   organisation,
                                   route,
                                   method,
                                   target,
                                   headers,
                                   body,
                                   idempotent,
                                   alone,
                                   deadline_ms,
                                   resume_token)

/// \class CancelRequest
/// \brief Cancels an exchange because the caller has disconnected or the job
/// was cancelled.
struct CancelRequest {
  static constexpr char kType[] = "cancel";
  ExchangeId exchange;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CancelRequest, exchange)

/// \class CreditGrant
/// \brief Flow control: lets the sidecar send `bytes` more bytes of the
/// body. Each exchange starts with kInitialCreditBytes.
struct CreditGrant {
  static constexpr char kType[] = "credit";
  ExchangeId exchange;
  uint64_t bytes = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CreditGrant, exchange, bytes)

inline constexpr uint64_t kInitialCreditBytes = 256 * 1024;

using ExchangeRequestMessage =
    std::variant<DispatchRequest, CancelRequest, CreditGrant>;

// Sidecar to entry.

/// \class LoadStatus
/// \brief The exact load of a sidecar, sent with its replies.
struct LoadStatus {
  uint32_t slots = 0;
  uint32_t online = 0;
  uint32_t batch = 0;
  uint32_t waiting_online = 0;
  uint32_t waiting_batch = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LoadStatus,
                                   slots,
                                   online,
                                   batch,
                                   waiting_online,
                                   waiting_batch)

/// \class ResponseHead
/// \brief The backend server's status and headers. Once it is sent, the request
/// counts as run.
struct ResponseHead {
  static constexpr char kType[] = "head";
  ExchangeId exchange;
  int status = 0;
  std::vector<ForwardedHeader> headers;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ResponseHead, exchange, status, headers)

/// \class ResponseChunk
/// \brief A part of the body; `sequence` counts from 0 without gaps.
struct ResponseChunk {
  static constexpr char kType[] = "chunk";
  ExchangeId exchange;
  uint64_t sequence = 0;
  std::string data;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ResponseChunk, exchange, sequence, data)

/// \class ResponseEnd
/// \brief The whole body has been sent, in `chunks` chunks.
struct ResponseEnd {
  static constexpr char kType[] = "end";
  ExchangeId exchange;
  uint64_t chunks = 0;
  LoadStatus load;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ResponseEnd, exchange, chunks, load)

/// Why an exchange ended without a complete response.
enum class FailureReason {
  kOverloaded,
  kDraining,
  kPreempted,
  kEngineRefused,
  kEngineFailed,
  kTimeout,
  kCancelled,
  kBadRequest,
};
NLOHMANN_JSON_SERIALIZE_ENUM(FailureReason,
                             {{FailureReason::kOverloaded, "overloaded"},
                              {FailureReason::kDraining, "draining"},
                              {FailureReason::kPreempted, "preempted"},
                              {FailureReason::kEngineRefused, "engine_refused"},
                              {FailureReason::kEngineFailed, "engine_failed"},
                              {FailureReason::kTimeout, "timeout"},
                              {FailureReason::kCancelled, "cancelled"},
                              {FailureReason::kBadRequest, "bad_request"}})

/// \class ExchangeFailed
/// \brief The exchange has ended without a complete response.
struct ExchangeFailed {
  static constexpr char kType[] = "failed";
  ExchangeId exchange;
  FailureReason reason = FailureReason::kEngineFailed;
  /// True only when the backend server is known not to have started the
  /// request.
  bool not_run = false;
  /// True when the backend server itself crashed or broke the connection
  /// while the request ran. The request is then suspected of causing the crash.
  bool suspect = false;
  std::string detail;
  int64_t retry_after_ms = 0;
  /// For kPreempted: pass it in the next DispatchRequest.
  std::string resume_token;
  LoadStatus load;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ExchangeFailed,
                                   exchange,
                                   reason,
                                   not_run,
                                   suspect,
                                   detail,
                                   retry_after_ms,
                                   resume_token,
                                   load)

/// \class BackendStatus
/// \brief The state of a sidecar, sent when a link comes up, when the
/// state changes, and once per status interval.
struct BackendStatus {
  static constexpr char kType[] = "status";
  ServiceId service;
  ZoneId zone;
  /// False while draining, or while the engine is down.
  bool accepting = true;
  /// True when this process is shutting down and accepts no new work.
  bool leaving = false;
  LoadStatus load;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(BackendStatus,
                                   service,
                                   zone,
                                   accepting,
                                   leaving,
                                   load)

using ExchangeReplyMessage = std::variant<ResponseHead,
                                          ResponseChunk,
                                          ResponseEnd,
                                          ExchangeFailed,
                                          BackendStatus>;

}  // namespace cowslip

#endif  // SOURCE_EXCHANGE_EXCHANGE_MESSAGES_H_
