#ifndef TESTS_PLACEMENT_COLD_WAVE_REPLAY_H_
#define TESTS_PLACEMENT_COLD_WAVE_REPLAY_H_

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "Placement/placement_core.h"

namespace cowslip {

using namespace std::chrono_literals;

// The figures of the rule: rate x overage + slack in any window of one second.
inline constexpr double kRate = 10;
inline constexpr ColdBounds kBounds{.overage = 1.5, .slack = 5};
inline constexpr size_t kMaxInWindow = 20;
inline constexpr Duration kColdStart = 3s;
inline constexpr Duration kStep = 5ms;
inline const ServiceId kService("assistant");
inline const PlacementQuery kQuery{.service = kService};

inline MonotonicTime At(Duration since_start) {
  return MonotonicTime(100s + since_start);
}

inline VmId Member(size_t number) {
  return VmId("g" + std::to_string(number));
}

inline FleetMembersChanged Members(size_t count) {
  FleetMembersChanged changed;
  for (size_t i = 0; i < count; ++i) {
    changed.members.push_back(Member(i));
  }
  return changed;
}

inline const ColdServicesChanged kServices{
    {{kService, {.rate = RequestRate{kRate}, .start = kColdStart}}}};

inline std::unique_ptr<PlacementCore> MakeCore(
    size_t self,
    size_t members,
    Duration at,
    std::optional<ColdBounds> bounds = kBounds) {
  auto core = std::make_unique<PlacementCore>(
      PlacementOptions{.self = Member(self),
                       .zone = ZoneId("z" + std::to_string(self % 3)),
                       .cold_bounds = bounds});
  core->Handle(kServices, At(at));
  core->Handle(Members(members), At(at));
  return core;
}

inline BackendRecord Record(size_t number, uint32_t slots) {
  return {.id = BackendId("b" + std::to_string(number)),
          .service = kService,
          .zone = ZoneId("z" + std::to_string(number % 3)),
          .slots = slots,
          .started_at_ms = 1};
}

inline BackendColdHeard Entry(size_t backend,
                              Duration remaining,
                              uint64_t version) {
  return {.coldness = {.backend = Record(backend, 1).id,
                       .started_at_ms = 1,
                       .remaining = remaining,
                       .entry_version = version},
          .source = ColdSource::kEntry,
          .service = kService};
}

// Requests that reached one backend server, and when it was cold.
class ColdServer {
 public:
  void TurnCold(Duration at) { m_cold_until = at + kColdStart; }
  bool IsCold(Duration at) const { return at < m_cold_until; }
  void Receive(Duration at) {
    if (!IsCold(at)) {
      m_received.clear();
      return;
    }
    m_received.push_back(at);
    while (at - m_received.front() >= 1s) {
      m_received.pop_front();
    }
    most = std::max(most, m_received.size());
  }
  /// The most requests within a second while it was cold.
  size_t most = 0;

 private:
  Duration m_cold_until{0};
  std::deque<Duration> m_received;
};

// The deployment of the rule: 19 gateways, 42 backend servers with 8 slots in 3
// zones, 300 requests a second at a wave's peak.
class WaveReplay {
 public:
  static constexpr size_t kGateways = 19;
  static constexpr size_t kServers = 42;
  static constexpr double kPeak = 300;
  // A slot is occupied for about 24 events.
  static constexpr Duration kSlotTime = 500ms;
  // A part of the latency target, as WaitQueue lets requests wait.
  static constexpr Duration kMaxWait = 100ms;

  // `busiest` is the load of one gateway in relation to the mean.
  WaveReplay(double busiest, bool has_backlog)
      : m_busiest(busiest),
        m_has_backlog(has_backlog),
        m_servers(kServers),
        m_received(kServers) {
    for (size_t i = 0; i < kGateways; ++i) {
      m_cores.push_back(MakeCore(i, kGateways, 0s));
      m_waiting.emplace_back();
    }
  }

  void Add(size_t server, Duration at) {
    for (const auto& core : m_cores) {
      core->Handle(BackendAdded{Record(server, 8)}, At(at));
    }
  }
  void Remove(size_t server, Duration at) {
    for (const auto& core : m_cores) {
      core->Handle(BackendRemoved{Record(server, 8).id}, At(at));
    }
  }
  void TurnCold(size_t server, Duration at) {
    m_servers[server].TurnCold(at);
    ++m_version;
    for (const auto& core : m_cores) {
      core->Handle(Entry(server, kColdStart, m_version), At(at));
    }
  }

  void Run(Duration from, Duration to) {
    for (Duration at = from; at < to; at += kStep) {
      EndRuns(at);
      if (at % 50ms == 0ms) {
        Report(at);
      }
      for (size_t i = 0; i < kGateways; ++i) {
        Arrive(i, at);
        PlaceWaiting(i, at);
        if (m_has_backlog) {
          Place(i, WorkClass::kBatch, at);
        }
      }
    }
  }
  void ResetCounts() {
    served = refused = items = 0;
    m_received.assign(kServers, 0);
  }
  size_t MostAtColdServer() const {
    return std::max_element(
               m_servers.begin(), m_servers.end(),
               [](const auto& a, const auto& b) { return a.most < b.most; })
        ->most;
  }
  size_t ReceivedBy(size_t server) const { return m_received[server]; }

  size_t served = 0;
  size_t refused = 0;
  size_t items = 0;

 private:
  struct Running {
    size_t gateway;
    BackendId backend;
    WorkClass work;
  };

  void EndRuns(Duration at) {
    while (!m_running.empty() && m_running.begin()->first <= at) {
      const Running run = m_running.begin()->second;
      m_cores[run.gateway]->Handle(AttemptEnded{run.backend, run.work}, At(at));
      m_running.erase(m_running.begin());
    }
  }
  void Report(Duration at) {
    for (size_t from = 0; from < kGateways; ++from) {
      const PeerInFlightReported report{Member(from),
                                        m_cores[from]->InFlight()};
      for (size_t to = 0; to < kGateways; ++to) {
        if (to != from) {
          m_cores[to]->Handle(report, At(at));
        }
      }
    }
  }
  void Arrive(size_t gateway, Duration at) {
    const double mean = kPeak / kGateways;
    const double others = (kPeak - m_busiest * mean) / (kGateways - 1);
    const double rate = gateway == 0 ? m_busiest * mean : others;
    std::poisson_distribution<int> arrivals(
        rate * std::chrono::duration<double>(kStep).count());
    for (int i = arrivals(m_random); i > 0; --i) {
      m_waiting[gateway].push_back(at);
    }
  }
  void PlaceWaiting(size_t gateway, Duration at) {
    std::deque<Duration>& waiting = m_waiting[gateway];
    while (!waiting.empty() && Place(gateway, WorkClass::kOnline, at)) {
      waiting.pop_front();
      ++served;
    }
    while (!waiting.empty() && at - waiting.front() >= kMaxWait) {
      waiting.pop_front();
      ++refused;
    }
  }
  bool Place(size_t gateway, WorkClass work, Duration at) {
    PlacementCore& core = *m_cores[gateway];
    const auto placed = work == WorkClass::kOnline
                            ? core.PlaceOnline(kQuery, At(at))
                            : core.PlaceBatch(kQuery, At(at));
    if (!placed.has_value()) {
      return false;
    }
    core.Handle(AttemptStarted{*placed, work}, At(at));
    m_running.emplace(at + kSlotTime, Running{gateway, *placed, work});
    const size_t server = std::stoul(placed->value().substr(1));
    m_servers[server].Receive(at);
    ++m_received[server];
    items += work == WorkClass::kBatch ? 1 : 0;
    return true;
  }

  const double m_busiest;
  const bool m_has_backlog;
  std::mt19937_64 m_random{5};
  std::vector<std::unique_ptr<PlacementCore>> m_cores;
  std::vector<ColdServer> m_servers;
  std::vector<size_t> m_received;
  std::vector<std::deque<Duration>> m_waiting;
  std::multimap<Duration, Running> m_running;
  uint64_t m_version = 0;
};

// Zone z0 has the backend servers whose number is a multiple of 3.
inline void ReturnZoneCold(WaveReplay& replay) {
  for (size_t i = 0; i < WaveReplay::kServers; ++i) {
    if (i % 3 != 0) {
      replay.Add(i, 0s);
    }
  }
  replay.Run(2s, 6s);
  replay.ResetCounts();
  for (size_t i = 0; i < WaveReplay::kServers; i += 3) {
    replay.TurnCold(i, 6s);
    replay.Add(i, 6s);
  }
  replay.Run(6s, 6s + kColdStart);
  size_t cold = 0;
  for (size_t i = 0; i < WaveReplay::kServers; i += 3) {
    cold += replay.ReceivedBy(i);
  }
  WARN("requests in 3 s: " << replay.served << " served, " << cold
                           << " of them by cold servers, " << replay.refused
                           << " refused");
}

}  // namespace cowslip

#endif  // TESTS_PLACEMENT_COLD_WAVE_REPLAY_H_
