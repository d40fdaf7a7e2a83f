#include "Gateway/stall_watch.h"

#include <utility>

namespace cowslip {

// Shared with the timer's handler, which may run after Stop().
struct StallWatch::State {
  State(boost::asio::io_context& context,
        StallWatchOptions stall_options,
        Callback callback)
      : options(stall_options), on_stall(std::move(callback)), timer(context) {}

  const StallWatchOptions options;
  const Callback on_stall;
  boost::asio::steady_timer timer;
  std::optional<MonotonicTime> silent_since;
  bool waiting = false;
  bool stalled = false;
  bool stopped = false;
};

StallWatch::StallWatch(boost::asio::io_context& context,
                       StallWatchOptions options,
                       Callback on_stall)
    : m_state(std::make_shared<State>(context, options, std::move(on_stall))) {}

StallWatch::~StallWatch() {
  Stop();
}

void StallWatch::BeginRead() {
  m_state->silent_since = MonotonicClock::now();
  m_state->stalled = false;
  if (!m_state->waiting) {
    Wait(m_state, m_state->options.limit);
  }
}

std::optional<Duration> StallWatch::EndRead() {
  const auto since = std::exchange(m_state->silent_since, std::nullopt);
  if (!since.has_value() || !m_state->stalled) {
    return std::nullopt;
  }
  return MonotonicClock::now() - *since;
}

void StallWatch::Stop() {
  m_state->stopped = true;
  m_state->timer.cancel();
}

// The timer is not set anew for each read: when it expires, it is set to the
// end of the limit of the read that waits by then.
void StallWatch::Wait(const std::shared_ptr<State>& state, Duration time) {
  state->waiting = true;
  state->timer.expires_after(time);
  state->timer.async_wait([state](const boost::system::error_code& error) {
    state->waiting = false;
    if (error || state->stopped || !state->silent_since.has_value()) {
      return;
    }
    const Duration silent = MonotonicClock::now() - *state->silent_since;
    if (silent < state->options.limit) {
      Wait(state, state->options.limit - silent);
      return;
    }
    // This process stood still: what has arrived meanwhile is read first.
    const Duration late =
        std::chrono::steady_clock::now() - state->timer.expiry();
    if (late >= state->options.repeat) {
      Wait(state, state->options.repeat);
      return;
    }
    Wait(state, state->options.repeat);
    state->stalled = true;
    state->on_stall(silent);
  });
}

}  // namespace cowslip
