// Silences of backend servers, and moves of a stream to another one.
#include "Gateway/relay_session.h"

#include <algorithm>
#include <utility>

#include "Base/event_log.h"
#include "Base/overloaded.h"
#include "Gateway/backend_attempt.h"
#include "Gateway/dispatcher.h"
#include "Gateway/gateway_metrics.h"
#include "Gateway/prompt_trial.h"
#include "Gateway/stream_move.h"
#include "Placement/aborted_run_tracker.h"

namespace cowslip {

namespace {

// A resumable stream without data for the limit is offered to another backend
// server if one has a free slot. Callers give up after two seconds without
// data, so the rest of these has to do for the move.
constexpr StallWatchOptions kStall{.limit = std::chrono::milliseconds(1200),
                                   .repeat = std::chrono::milliseconds(200)};

// The silence after which a stream is offered once more. The time between two
// offers doubles: in a fleet that is nearly full each offer takes a round trip
// and a place from other requests.
Duration SilenceBeforeOffer(size_t refused_offers) {
  return kStall.limit +
         2 * kStall.repeat * ((1 << std::min<size_t>(refused_offers, 8)) - 1);
}

}  // namespace

void RelaySession::WatchForSilence() {
  m_stall_watch = std::make_unique<StallWatch>(
      m_gateway.io, kStall, [this](Duration silent) { HandleStall(silent); });
}

bool RelaySession::MayMove() {
  const bool resumable = m_request.route->kind == RequestKind::kStreaming &&
                         m_request.route->resumable && m_can_resume;
  // A move is no trial: what is suspected of crashing backend servers stays
  // where it is.
  return resumable && MayRetry() && !m_is_request_trial && !IsBlocked() &&
         !m_gateway.crash_suspects.IsBlocked(m_request.caller.shared_parts,
                                             MonotonicClock::now());
}

void RelaySession::HandleStall(Duration silent) {
  // Responses of other kinds may take this long without being stalled.
  if (*m_stopped || m_move != nullptr ||
      m_request.route->kind != RequestKind::kStreaming) {
    return;
  }
  if (m_trial != nullptr) {
    // Other requests with the prompt part need not wait for this one.
    m_trial->MarkRun();
    m_trial.reset();
  }
  if (silent >= SilenceBeforeOffer(m_refused_moves.size()) && MayMove()) {
    BeginMove(silent);
  }
  if (m_move == nullptr && !m_stall_logged) {
    m_stall_logged = true;
    LogStall({.outcome = "kept", .silent = silent});
  }
}

void RelaySession::BeginMove(Duration silent) {
  std::set<BackendId> exclude = m_tried_backends;
  exclude.insert(m_refused_moves.begin(), m_refused_moves.end());
  std::unique_ptr<AttemptLease> lease = m_gateway.dispatcher.TryPlaceOnline(
      PlacementQuery{.service = m_request.service,
                     .shared_prompt = m_request.caller.shared_prompt,
                     .exclude = std::move(exclude),
                     .version = m_stream_version,
                     .home_regions = m_request.home_regions});
  if (lease == nullptr) {
    return;
  }
  // Counts as possibly run from now on, as any attempt does.
  ++m_in_doubt_attempts;
  const BackendId other = lease->backend();
  m_tried_backends.insert(other);
  m_stall_logged = true;
  LogStall({.outcome = "asked_other", .silent = silent, .other = other});
  m_move = std::make_unique<StreamMove>(
      m_gateway.io,
      std::make_shared<BackendAttempt>(m_gateway.io, std::move(lease),
                                       m_request.caller.attempt, NeededCheck(),
                                       m_gateway.memory),
      StreamMoveOptions{.attempt = m_request.caller.attempt,
                        .last_event = m_last_event_id},
      [this, silent](const MoveOutcome& outcome) {
        HandleMoveDecided(outcome, silent);
      });
  m_move->Start(MakeBackendRequest(other), RemainingTime());
}

void RelaySession::HandleMoveDecided(const MoveOutcome& outcome,
                                     Duration silent_before) {
  const BackendAttempt& other = m_move->attempt();
  StallNote note{
      .silent = silent_before + (MonotonicClock::now() - other.start()),
      .other = other.lease().backend()};
  std::visit(Overloaded{[&](const MoveTaken& taken) {
                          note.outcome = "moved";
                          note.why = taken.has_answered
                                         ? "the other one has answered"
                                         : "the other one has kept the request";
                          LogStall(note);
                          m_left_silent_backend = true;
                          m_attempt->Abort();
                        },
                        [&](const MoveTurnedAway& refused) {
                          RecordRefusedMove(refused);
                          note.outcome = "turned_away";
                          note.why = refused.why;
                          LogStall(note);
                          m_move.reset();
                        },
                        [&](const MoveFailed& failed) {
                          RecordFailedMove(failed);
                          note.outcome = "move_failed";
                          note.why = failed.why;
                          LogStall(note);
                          m_move.reset();
                        }},
             outcome);
}

void RelaySession::DropMove() {
  if (m_move != nullptr && !m_move->was_sent()) {
    --m_in_doubt_attempts;
    m_tried_backends.erase(m_move->attempt().lease().backend());
  }
  m_move.reset();
}

void RelaySession::RecordRefusedMove(const MoveTurnedAway& refused) {
  const BackendAttempt& other = m_move->attempt();
  AttemptLease& lease = other.lease();
  --m_in_doubt_attempts;
  // It may be asked again once this silence has ended.
  m_tried_backends.erase(lease.backend());
  m_refused_moves.insert(lease.backend());
  if (refused.refused_connection) {
    RecordRefusedConnection(lease);
  } else {
    RecordResponse(other);
  }
  if (lease.was_withheld()) {
    lease.SetOutcome(AttemptOutcome::kCancelled);
  } else {
    lease.SetOutcome(refused.refused_connection ? AttemptOutcome::kFailed
                                                : AttemptOutcome::kFull);
  }
  LogAttemptNotRun(lease, refused.why);
}

void RelaySession::RecordFailedMove(const MoveFailed& failed) {
  const BackendAttempt& other = m_move->attempt();
  if (other.response() != nullptr) {
    RecordResponse(other);
  }
  if (failed.broke_off) {
    RecordBrokenRun(other.lease(), 0);
  }
  other.lease().SetOutcome(AttemptOutcome::kFailed);
  m_gateway.metrics.CountAttempt("in_doubt");
}

bool RelaySession::ReadmitSilentBackend() {
  const BackendId backend = std::exchange(m_silent_backend, BackendId());
  return MayRetry() && m_tried_backends.erase(backend) > 0;
}

void RelaySession::EndSilence(bool went_on) {
  const std::optional<Duration> silent = m_stall_watch->EndRead();
  if (silent.has_value() && m_stall_logged && went_on &&
      !m_left_silent_backend) {
    LogStall({.outcome = "went_on", .silent = *silent});
  }
  m_stall_logged = false;
  m_refused_moves.clear();
}

void RelaySession::LogStall(const StallNote& note) {
  const AttemptLease& lease = m_attempt->lease();
  m_gateway.metrics.CountStall(note.outcome);
  m_gateway.log.Write("attempt_stalled",
                      {{"id", m_request.caller.attempt.value()},
                       {"backend", lease.backend().value()},
                       {"version", lease.version().value()},
                       {"then", note.outcome},
                       {"other", note.other.value()},
                       {"why", note.why},
                       {"silent_ms", ToMillis(note.silent)},
                       {"attempts_in_doubt", m_in_doubt_attempts},
                       {"answer_began", m_attempt->response() != nullptr},
                       {"last_event", m_last_event_id}});
}

}  // namespace cowslip
