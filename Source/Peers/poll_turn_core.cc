#include "Peers/poll_turn_core.h"

#include <algorithm>
#include <utility>

namespace cowslip {

namespace {

// A process sends its changed state after up to 10 ms for each peer
// (PeerGossipOptions); the rest is for busy processors.
constexpr Duration kPausePerProcess = std::chrono::milliseconds(10);
constexpr Duration kBasePause = std::chrono::milliseconds(60);
constexpr Duration kMinPause = std::chrono::milliseconds(150);
// In a very large fleet, some additional polls cost less than a late one.
constexpr Duration kMaxPause = std::chrono::milliseconds(500);

// All later processes poll at the same time. It takes the loss of three
// processes in a row, or that a process hears nobody.
constexpr int64_t kMaxRank = 3;

// Bounds the pause between own polls that fail to eight times the first one.
constexpr uint32_t kMaxDoublings = 3;

}  // namespace

PollTurnCore::PollTurnCore(PollTurnOptions options, MonotonicTime start)
    : m_options(std::move(options)),
      m_live({m_options.self}),
      m_last_poll(start),
      m_retry_at(start) {}

std::vector<PollTurnAction> PollTurnCore::Handle(const PollTurnEvent& event,
                                                 MonotonicTime now) {
  std::visit([&](const auto& alternative) { Apply(alternative, now); }, event);
  if (now < NextTurn()) {
    return {};
  }
  m_running[m_options.self] = now;
  return {BeginPoll{now}};
}

void PollTurnCore::Apply(const PollersChanged& event, MonotonicTime) {
  m_live = event.live;
  std::erase_if(m_running, [&](const auto& running) {
    return !std::binary_search(m_live.begin(), m_live.end(), running.first);
  });
}

void PollTurnCore::Apply(const PeerPollReported& event, MonotonicTime now) {
  if (event.report.running_age.has_value()) {
    m_running[event.vm] = now - *event.report.running_age;
  } else {
    m_running.erase(event.vm);
  }
  if (event.report.completed_age.has_value()) {
    RecordPoll(event.vm, now - *event.report.completed_age);
  }
}

void PollTurnCore::Apply(const OwnPollEnded& event, MonotonicTime now) {
  const auto running = m_running.find(m_options.self);
  const bool is_newest =
      running != m_running.end() && running->second == event.began;
  if (is_newest) {
    m_running.erase(running);
  }
  if (event.has_read_everything) {
    m_failures = 0;
    m_own_completed =
        std::max(m_own_completed.value_or(event.began), event.began);
    RecordPoll(m_options.self, event.began);
    return;
  }
  if (!is_newest) {
    return;
  }
  m_retry_at = now + Pause() * (1 << std::min(m_failures, kMaxDoublings));
  ++m_failures;
}

void PollTurnCore::RecordPoll(const VmId& vm, MonotonicTime began) {
  if (began > m_last_poll) {
    m_last_poll = began;
    m_last_poller = vm;
  }
}

Duration PollTurnCore::Pause() const {
  const Duration pause =
      kBasePause + kPausePerProcess * static_cast<int64_t>(m_live.size());
  return std::clamp(pause, kMinPause, kMaxPause);
}

int64_t PollTurnCore::Rank() const {
  const auto size = static_cast<int64_t>(m_live.size());
  const int64_t first =
      std::upper_bound(m_live.begin(), m_live.end(), m_last_poller) -
      m_live.begin();
  const int64_t self =
      std::lower_bound(m_live.begin(), m_live.end(), m_options.self) -
      m_live.begin();
  return size == 0 ? 0 : (self - first + size) % size;
}

MonotonicTime PollTurnCore::NextTurn() const {
  MonotonicTime turn =
      m_last_poll + m_options.interval + Pause() * std::min(Rank(), kMaxRank);
  for (const auto& [vm, began] : m_running) {
    if (began > m_last_poll) {
      turn = std::max(turn, began + m_options.run_time);
    }
  }
  return std::max(turn, m_retry_at);
}

PollReport PollTurnCore::Report(MonotonicTime now) const {
  PollReport report;
  if (m_own_completed.has_value()) {
    report.completed_age = now - *m_own_completed;
  }
  const auto running = m_running.find(m_options.self);
  if (running != m_running.end()) {
    report.running_age = now - running->second;
  }
  return report;
}

}  // namespace cowslip
