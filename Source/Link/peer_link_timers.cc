#include <algorithm>
#include <utility>

#include "Base/log.h"
#include "Link/peer_link_impl.h"

namespace cowslip {

using std::chrono::milliseconds;

namespace {

/// Prevents an overflow of the doubled delay before it is capped.
constexpr int kMaxDoublings = 16;

}  // namespace

void PeerLink::Impl::ScheduleDial(const std::string& vm) {
  const auto found = m_dials.find(vm);
  if (m_stopped || found == m_dials.end()) {
    return;
  }
  DialState& dial = found->second;
  dial.pending = false;
  if (IsUp(vm)) {
    return;
  }
  dial.pending = true;
  dial.timer = std::make_unique<boost::asio::steady_timer>(
      m_context, RedialDelay(dial.failures));
  ++dial.failures;
  dial.timer->async_wait(
      [self = shared_from_this(), vm](boost::system::error_code error) {
        if (!error) {
          self->DialNow(vm);
        }
      });
}

milliseconds PeerLink::Impl::RedialDelay(int failures) {
  const int64_t doubled = int64_t{m_options.redial_min_ms}
                          << std::min(failures, kMaxDoublings);
  const int64_t ceiling = std::min<int64_t>(doubled, m_options.redial_max_ms);
  // Half of the delay is random, so that VMs do not redial at the same time.
  std::uniform_int_distribution<int64_t> jitter(ceiling / 2, ceiling);
  return milliseconds(jitter(m_random));
}

void PeerLink::Impl::DialNow(const std::string& vm) {
  const auto found = m_dials.find(vm);
  if (m_stopped || found == m_dials.end()) {
    return;
  }
  DialState& dial = found->second;
  dial.pending = false;
  if (IsUp(vm)) {
    return;
  }
  dial.pending = true;
  if (!m_endpoint.Dial(vm, dial.address, dial.port)) {
    ScheduleDial(vm);
  }
}

void PeerLink::Impl::ScheduleTick() {
  m_tick_timer.expires_after(milliseconds(m_options.heartbeat_ms));
  m_tick_timer.async_wait(
      [self = shared_from_this()](boost::system::error_code error) {
        if (!error && !self->m_stopped) {
          self->Tick();
          self->ScheduleTick();
        }
      });
}

void PeerLink::Impl::Tick() {
  const Clock::time_point now = Clock::now();
  const auto silence_timeout = milliseconds(m_options.silence_timeout_ms);
  const auto max_tick_interval = 2 * milliseconds(m_options.heartbeat_ms);
  // After a pause of this process, frames of the peers are still unread in the
  // socket buffers, so an old `last_received` does not show a failure yet.
  const bool was_paused =
      now - std::exchange(m_last_tick, now) > max_tick_interval;
  std::vector<const void*> silent;
  for (const auto& [key, connection] : m_connections) {
    if (!was_paused && now - connection.last_received > silence_timeout) {
      silent.push_back(key);
    } else if (!connection.vm.empty()) {
      SendOn(connection, kHeartbeatChannel, {});
    }
  }
  for (const void* key : silent) {
    if (m_connections.count(key) != 0) {
      Drop(key, "silence");
    }
  }
}

}  // namespace cowslip
