#ifndef SOURCE_GATEWAY_RELAY_SESSION_H_
#define SOURCE_GATEWAY_RELAY_SESSION_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Base/memory_share.h"
#include "Fleet/backend_record.h"
#include "Fleet/caller_request.h"
#include "Fleet/fleet_configuration.h"
#include "Gateway/gateway_context.h"
#include "Gateway/response_classification.h"
#include "Gateway/stall_watch.h"
#include "Gateway/stream_move.h"
#include "Net/http_client.h"
#include "Net/sse_reader.h"
#include "Placement/crash_suspect_core.h"
#include "Placement/placement_core.h"
#include "Requests/problem.h"

namespace cowslip {

class AttemptLease;
class BackendAttempt;
class Error;
class HttpExchange;
class PromptTrial;

/// \class RelayRequest
/// \brief A caller's request that has been admitted, with its route and
/// service.
struct RelayRequest {
  CallerRequest caller;
  /// Owned by `configuration`.
  const FleetRoute* route = nullptr;
  std::shared_ptr<const FleetConfiguration> configuration;
  /// Empty if the request came without a key.
  OrganisationId organisation;
  int priority = 0;
  ServiceId service;
  MonotonicTime arrived;
  /// Where the request may run.
  HomeRegions home_regions;
};

/// \class RelaySession
/// \brief Relays one request to backend servers until the caller has exactly
/// one response.
///
/// The response's head is sent with its first event. A request that certainly
/// has not run may be sent to another backend server. An idempotent request may
/// also be retried after a failure, as long as the head was not sent, and a
/// resumable stream is resumed after the last whole event that the caller has.
/// A silence of the backend server does not end an attempt: the stream is
/// offered to another backend server with a free slot, and the silent attempt
/// ends only when that one has taken the stream over.
class RelaySession {
 public:
  RelaySession(GatewayContext& gateway,
               HttpExchange& exchange,
               RelayRequest request);
  ~RelaySession();

  boost::asio::awaitable<void> Run();

 private:
  /// How an attempt at one backend server ended.
  enum class AttemptResult {
    /// The whole response was sent to the caller.
    kCompleted,
    /// The request did not run at the backend server.
    kNotRun,
    /// The request may have run, and there is no complete response.
    kInDoubt,
    /// The caller has disconnected or the deadline has passed.
    kStopped,
  };
  /// What is logged about a silence.
  struct StallNote {
    const char* outcome = "";
    Duration silent{0};
    /// The backend server to which the stream was offered.
    BackendId other;
    std::string why;
  };

  /// Finds the software version that must go on with a stream that the caller
  /// resumes. Returns false when it is not known.
  boost::asio::awaitable<bool> ResolveStreamVersion();
  /// Runs an attempt, and those to which it moves when it stalls.
  boost::asio::awaitable<AttemptResult> RunAttempts(
      std::unique_ptr<AttemptLease> lease);
  boost::asio::awaitable<AttemptResult> RunAttempt();
  boost::asio::awaitable<AttemptResult> ReadResponse();
  boost::asio::awaitable<AttemptResult> RelayFailure();
  boost::asio::awaitable<AttemptResult> RelayBody();
  boost::asio::awaitable<bool> RelayChunk(const std::string& chunk);
  boost::asio::awaitable<bool> WriteToCaller(std::string bytes);
  boost::asio::awaitable<void> RespondWithProblem(Problem problem);
  boost::asio::awaitable<void> FinishWithFailure();

  HttpRequest MakeBackendRequest(const BackendId& backend) const;
  bool AdvanceEventSequence(const std::vector<SseEvent>& events);
  bool MayRetry() const;
  Duration RemainingTime() const;
  /// Whether the backend server must run the listed software version: the
  /// response may be resumed, or resumes another one.
  PeerCheck NeededCheck() const;
  /// What this request's caller is told to wait before the next attempt.
  Duration RetryDelay() const;
  void WatchForSilence();
  /// Whether the request may go on elsewhere while an attempt is under way.
  bool MayMove();
  void HandleStall(Duration silent);
  /// Offers the stream to another backend server if there is a slot.
  void BeginMove(Duration silent);
  /// `silent_before` is how long the backend server was silent when the move
  /// began.
  void HandleMoveDecided(const MoveOutcome& outcome, Duration silent_before);
  /// Ends a move that is under way, if there is one.
  void DropMove();
  void RecordRefusedMove(const MoveTurnedAway& refused);
  void RecordFailedMove(const MoveFailed& failed);
  /// Lets the request go back to a backend server that it left for its silence.
  /// Returns false when there is none.
  bool ReadmitSilentBackend();
  AttemptResult EndAttemptInDoubt(const std::string& why);
  /// Ends an attempt whose response failed or ended early. Records an aborted
  /// run of the request unless a read timed out or this process stopped it.
  AttemptResult HandleResponseError(const Error& error);
  /// The read under way has ended, with data or not.
  void EndSilence(bool went_on);
  /// Logs and counts a silence of the backend server that is longer than usual.
  void LogStall(const StallNote& note);
  /// Whether the request is suspected of crashing backend servers.
  bool IsBlocked();
  /// Whether the request has certainly not run, and a run that begins now could
  /// be cut off by the end of this process.
  bool IsTooLateToBegin() const;
  boost::asio::awaitable<void> RejectLateRequest();
  /// Whether the request may be sent, or is held back because it is suspected
  /// of crashing backend servers. If it is held back, the time until it may be
  /// tried is kept in `m_blocked_for`.
  bool MaySendRequest();
  /// Counts and records the next attempt as a trial, if it is one. Returns
  /// false when another trial has begun in the meantime, or the store does not
  /// take the record.
  boost::asio::awaitable<bool> BeginTrial();
  /// Whether a request with this prompt may be sent. If not, the reason is kept
  /// in `m_blocked_prompt`.
  bool MaySendPrompt();
  void RecordBrokenRun(const AttemptLease& lease, uint32_t events);
  void RecordRefusedConnection(const AttemptLease& lease);
  /// Records what a response's head says about its backend server.
  ResponseKind RecordResponse(const BackendAttempt& attempt);
  void RecordWholeRun(const AttemptLease& lease);
  Problem BlockedProblem() const;
  const Fingerprint& RequestFingerprint();
  AttemptResult EndAttemptNotRun(AttemptOutcome outcome,
                                 const std::string& why);
  void LogAttemptNotRun(const AttemptLease& lease, const std::string& why);
  void WatchCallerAndDeadline();
  void Stop();
  /// Keeps the version that wrote the stream's first event, for this gateway
  /// and for those at which the caller may resume the stream.
  void RecordStreamVersion();
  void RecordFirstByte();
  /// Counts the attempt's events, and tells the crash suspects how far it is.
  void CountEvents(size_t more);
  void RecordCompletion();
  bool ResponseEndsWithConnection() const;
  /// The number of bytes received after the last whole event of the attempt.
  size_t PartialEventBytes() const;
  void LogRequestEnd(const char* outcome, int status);

  GatewayContext& m_gateway;
  HttpExchange& m_exchange;
  RelayRequest m_request;
  const MonotonicTime m_deadline;
  boost::asio::steady_timer m_deadline_timer;

  // State of the current attempt.
  std::shared_ptr<BackendAttempt> m_attempt;
  SseReader m_event_reader;
  // What is held of the response.
  MemoryShare m_memory;
  MonotonicTime m_first_byte_time;
  std::unique_ptr<StallWatch> m_stall_watch;
  bool m_stall_logged = false;
  // Where the stream was offered because of a silence, until it is taken over
  // or the silence ends. No event is relayed meanwhile.
  std::unique_ptr<StreamMove> m_move;
  // Whether the current attempt was aborted because the move was taken.
  bool m_left_silent_backend = false;
  // The backend servers that turned the stream away during this silence.
  std::set<BackendId> m_refused_moves;
  uint32_t m_attempt_event_count = 0;

  std::shared_ptr<bool> m_stopped = std::make_shared<bool>(false);
  // Ends the wait for a slot.
  std::shared_ptr<bool> m_wait_cancelled = std::make_shared<bool>(false);
  bool m_caller_disconnected = false;
  bool m_head_sent = false;
  // The version that wrote the events that the caller has; only backend servers
  // of this version may resume the stream.
  std::optional<SoftwareVersion> m_stream_version;
  // Whether the bytes sent to the caller end with a whole, numbered event.
  bool m_can_resume = true;
  uint64_t m_last_event_id;
  // The number of attempts that may have run, and of those that certainly did
  // not.
  uint32_t m_in_doubt_attempts = 0;
  uint32_t m_not_run_attempts = 0;
  std::set<BackendId> m_tried_backends;
  // The backend server that the request left last for its silence.
  BackendId m_silent_backend;
  BackendId m_last_backend;
  SoftwareVersion m_last_version;
  // See BackendRecord::started_at_ms.
  uint64_t m_last_incarnation = 0;
  std::optional<RunBlocked> m_blocked_prompt;
  std::optional<Duration> m_blocked_for;
  // Whether the next attempt tries a request that is blocked.
  bool m_is_request_trial = false;
  // Set while the next or current attempt tries a prompt that is blocked.
  std::unique_ptr<PromptTrial> m_trial;
  // Computed on first use.
  std::optional<Fingerprint> m_fingerprint;
  std::string m_last_failure;
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_RELAY_SESSION_H_
