// Requests that crash backend servers, and how they are held back.
#include "Gateway/relay_session.h"

#include <utility>

#include "Base/event_log.h"
#include "Gateway/aborted_run_records.h"
#include "Gateway/backend_attempt.h"
#include "Gateway/dispatcher.h"
#include "Gateway/prompt_trial.h"
#include "Net/http_exchange.h"
#include "Placement/aborted_run_tracker.h"

namespace cowslip {

using boost::asio::awaitable;

void RelaySession::RecordBrokenRun(const AttemptLease& lease, uint32_t events) {
  const MonotonicTime now = MonotonicClock::now();
  if (!m_is_request_trial) {
    m_gateway.aborted_runs.Handle(RunAborted{RequestFingerprint()}, now);
  }
  m_gateway.crash_suspects.Handle(
      RunBrokenOff{.backend = lease.backend(),
                   .started_at_ms = lease.started_at_ms(),
                   .parts = m_request.caller.shared_parts,
                   .events = events,
                   .is_trial = m_trial != nullptr},
      now);
  m_gateway.reported_state_changed();
}

void RelaySession::RecordWholeRun(const AttemptLease& lease) {
  const MonotonicTime now = MonotonicClock::now();
  if (!m_gateway.aborted_runs.empty()) {
    m_gateway.aborted_runs.Handle(RunCompleted{RequestFingerprint()}, now);
  }
  const std::vector<PromptPartId>& parts = m_request.caller.shared_parts;
  if (parts.empty()) {
    return;
  }
  if (ResponseEndsWithConnection()) {
    m_gateway.crash_suspects.Handle(
        RunEndedWithConnection{.backend = lease.backend(),
                               .started_at_ms = lease.started_at_ms(),
                               .parts = parts},
        now);
  } else {
    m_gateway.crash_suspects.Handle(RunEndedWell{.parts = parts}, now);
  }
  if (m_trial != nullptr) {
    m_gateway.reported_state_changed();
  }
}

bool RelaySession::MaySendPrompt() {
  const CrashSuspectAction action = m_gateway.crash_suspects.Handle(
      RunRequested{m_request.caller.shared_parts}, MonotonicClock::now());
  if (const auto* blocked = std::get_if<RunBlocked>(&action)) {
    m_blocked_prompt = *blocked;
    m_last_failure = "the prompt part " + blocked->part.value() +
                     " is taken to crash backend servers";
    m_gateway.log.Write("prompt_part_blocked",
                        {{"id", m_request.caller.attempt.value()},
                         {"part", blocked->part.value()},
                         {"crashes", blocked->crashes},
                         {"failed_trials", blocked->failed_trials},
                         {"retry_after_ms", ToMillis(blocked->retry_after)}});
    return false;
  }
  if (std::get<RunAllowed>(action).is_trial) {
    m_trial = std::make_unique<PromptTrial>(m_gateway.crash_suspects,
                                            m_request.caller.shared_parts);
  }
  return true;
}

const Fingerprint& RelaySession::RequestFingerprint() {
  if (!m_fingerprint.has_value()) {
    const HttpRequest& request = m_exchange.request();
    m_fingerprint =
        FingerprintOf(m_request.organisation, request.target, request.body);
  }
  return *m_fingerprint;
}

bool RelaySession::IsBlocked() {
  return !m_gateway.aborted_runs.empty() &&
         m_gateway.aborted_runs.IsBlocked(RequestFingerprint(),
                                          MonotonicClock::now());
}

bool RelaySession::MaySendRequest() {
  m_blocked_for.reset();
  m_is_request_trial = false;
  if (m_gateway.aborted_runs.empty()) {
    return true;
  }
  const std::optional<Duration> wait = m_gateway.aborted_runs.TimeUntilTrial(
      RequestFingerprint(), MonotonicClock::now());
  if (!wait.has_value()) {
    return true;
  }
  if (*wait == Duration::zero()) {
    m_is_request_trial = true;
    return true;
  }
  m_blocked_for = wait;
  m_gateway.log.Write("request_blocked",
                      {{"id", m_request.caller.attempt.value()},
                       {"retry_after_ms", ToMillis(*wait)}});
  return false;
}

// A trial is recorded before it is sent: one that only this process knows of
// would be forgotten with it.
awaitable<bool> RelaySession::BeginTrial() {
  // Backend servers may have crashed while the request waited.
  if (!MaySendRequest()) {
    co_return false;
  }
  if (!m_is_request_trial) {
    co_return true;
  }
  m_gateway.aborted_runs.Handle(TrialBegun{RequestFingerprint()},
                                MonotonicClock::now());
  m_gateway.reported_state_changed();
  const bool is_recorded = co_await m_gateway.aborted_run_records.Record();
  m_gateway.log.Write(
      "blocked_request_tried",
      {{"id", m_request.caller.attempt.value()}, {"is_recorded", is_recorded}});
  if (is_recorded && !*m_stopped) {
    co_return true;
  }
  m_is_request_trial = false;
  m_gateway.aborted_runs.Handle(TrialNotRun{RequestFingerprint()},
                                MonotonicClock::now());
  m_blocked_for = m_gateway.aborted_runs.TimeUntilTrial(RequestFingerprint(),
                                                        MonotonicClock::now());
  co_return false;
}

}  // namespace cowslip
