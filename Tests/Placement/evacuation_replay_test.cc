#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Placement/admission_core.h"
#include "Placement/placement_core.h"
#include "Placement/wait_queue.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

const ServiceId kService("assistant");
constexpr Duration kTick = 1ms;
constexpr Duration kTarget = 300ms;
constexpr Duration kSlotTime = 640ms;
constexpr Duration kReportInterval = 50ms;
constexpr uint32_t kSlots = 8;
constexpr size_t kBackends = 12;
constexpr size_t kZones = 3;
constexpr size_t kGateways = 4;
constexpr Duration kEvacuated = 4s;
constexpr Duration kEnd = 10s;
// The gateways learn of the entry at different times, from each other.
constexpr Duration kSpread = 100ms;

MonotonicTime At(Duration at) {
  return MonotonicTime(100s + at);
}

BackendId IdOf(size_t index) {
  return BackendId("b" + std::to_string(index));
}

ZoneId ZoneOf(size_t index) {
  return ZoneId("zone-" + std::to_string(index % kZones));
}

/// \class EvacuationReplay
/// \brief A wave of requests through several gateways' cores; one of three
/// zones is evacuated at its peak.
class EvacuationReplay {
 public:
  explicit EvacuationReplay(double per_second) : m_per_second(per_second) {
    for (size_t i = 0; i < kGateways; ++i) {
      m_gateways.push_back(std::make_unique<Gateway>(i));
    }
  }

  void Run(uint64_t seed) {
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(m_per_second);
    std::uniform_int_distribution<size_t> pick(0, kGateways - 1);
    Duration next{0};
    for (Duration now = 0s; now < kEnd; now += kTick) {
      Finish(now);
      Evacuate(now);
      for (; next <= now; ++arrived) {
        Arrive(pick(random), now);
        next += std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(gap(random)));
      }
      Poll(now);
    }
  }

  size_t arrived = 0;
  size_t refused = 0;
  /// The longest time until a request was placed or refused.
  Duration longest_wait{0};
  size_t sent_to_evacuated_zone = 0;
  /// The most slots of the other zones that were free at a refusal.
  uint32_t free_at_refusal = 0;

 private:
  struct Gateway {
    explicit Gateway(size_t number)
        : vm("vm" + std::to_string(number)),
          placement({.self = vm, .zone = ZoneOf(number)}),
          admission({.seed = number + 1}),
          wait_queue(placement) {
      for (size_t i = 0; i < kBackends; ++i) {
        placement.Handle(BackendAdded{{.id = IdOf(i),
                                       .service = kService,
                                       .zone = ZoneOf(i),
                                       .slots = kSlots}},
                         At(0s));
        placement.Handle(FirstEventMeasured{IdOf(i), 40ms}, At(0s));
        placement.Handle(SlotTimeMeasured{IdOf(i), kSlotTime}, At(0s));
      }
    }
    VmId vm;
    PlacementCore placement;
    AdmissionCore admission;
    WaitQueue wait_queue;
    std::map<TicketId, Duration> waiting;
  };
  struct Running {
    size_t backend = 0;
    size_t gateway = 0;
    Duration ends{0};
  };

  static bool Knows(size_t gateway, Duration now) {
    return now >= kEvacuated + kSpread * static_cast<int64_t>(gateway) /
                                   static_cast<int64_t>(kGateways);
  }
  void Evacuate(Duration now) {
    for (size_t i = 0; i < kGateways; ++i) {
      if (Knows(i, now) && !Knows(i, now - kTick)) {
        m_gateways[i]->placement.Handle(EvacuatedZonesChanged{{ZoneOf(0)}},
                                        At(now));
      }
    }
  }
  void Arrive(size_t index, Duration now) {
    Gateway& gateway = *m_gateways[index];
    const auto decision = gateway.admission.Handle(AdmissionRequested{
        .load = gateway.placement.Load({.service = kService}, At(now)),
        .latency_target = kTarget,
        .remaining = 5s,
        .members = kGateways,
        .waiting = static_cast<uint32_t>(gateway.wait_queue.size())});
    const auto* admitted = std::get_if<AdmitRequest>(&decision);
    if (admitted == nullptr) {
      Refuse(now, now);
      return;
    }
    const TicketId ticket(arrived + 1);
    gateway.waiting[ticket] = now;
    const WaitQueueEvent enqueued = RequestEnqueued{
        WaitingRequest{.ticket = ticket,
                       .query = {.service = kService,
                                 .queue_allowance = admitted->queue_allowance},
                       .expires_at = At(now + admitted->max_wait)}};
    Apply(index, gateway.wait_queue.Handle(enqueued, At(now)), now);
  }
  void Apply(size_t index,
             const std::vector<WaitQueueAction>& actions,
             Duration now) {
    Gateway& gateway = *m_gateways[index];
    for (const WaitQueueAction& action : actions) {
      const TicketId ticket = std::visit(
          [](const auto& decided) { return decided.ticket; }, action);
      const Duration since = gateway.waiting[ticket];
      gateway.waiting.erase(ticket);
      const auto* placed = std::get_if<RequestPlaced>(&action);
      if (placed == nullptr) {
        Refuse(since, now);
        continue;
      }
      longest_wait = std::max(longest_wait, now - since);
      const size_t backend = std::stoul(placed->backend.value().substr(1));
      if (ZoneOf(backend) == ZoneOf(0) && Knows(index, now)) {
        ++sent_to_evacuated_zone;
      }
      gateway.placement.Handle(AttemptStarted{placed->backend}, At(now));
      // A request beyond the slots begins when one becomes free.
      std::vector<Duration> ends;
      for (const Running& running : m_running) {
        if (running.backend == backend) {
          ends.push_back(running.ends);
        }
      }
      std::sort(ends.begin(), ends.end());
      const Duration begins =
          ends.size() < kSlots ? now : ends[ends.size() - kSlots];
      m_running.push_back({backend, index, begins + kSlotTime});
    }
  }
  void Refuse(Duration since, Duration now) {
    ++refused;
    longest_wait = std::max(longest_wait, now - since);
    uint32_t in_use[kBackends] = {};
    for (const Running& running : m_running) {
      ++in_use[running.backend];
    }
    uint32_t free = 0;
    for (size_t i = 0; i < kBackends; ++i) {
      if (ZoneOf(i) != ZoneOf(0)) {
        free += kSlots - std::min(kSlots, in_use[i]);
      }
    }
    free_at_refusal = std::max(free_at_refusal, free);
  }
  void Finish(Duration now) {
    std::erase_if(m_running, [&](const Running& running) {
      if (running.ends > now) {
        return false;
      }
      m_gateways[running.gateway]->placement.Handle(
          AttemptEnded{IdOf(running.backend), WorkClass::kOnline,
                       AttemptOutcome::kCompleted},
          At(now));
      return true;
    });
  }
  void Poll(Duration now) {
    for (size_t i = 0; i < kGateways; ++i) {
      Apply(i, m_gateways[i]->wait_queue.Handle(QueuePollDue{}, At(now)), now);
    }
    if (now % kReportInterval != Duration::zero()) {
      return;
    }
    for (size_t from = 0; from < m_reports.size(); ++from) {
      for (size_t to = 0; to < kGateways; ++to) {
        if (from != to) {
          m_gateways[to]->placement.Handle(
              PeerInFlightReported{m_gateways[from]->vm, m_reports[from]},
              At(now));
        }
      }
    }
    m_reports.clear();
    for (const auto& gateway : m_gateways) {
      m_reports.push_back(gateway->placement.InFlight());
    }
  }

  const double m_per_second;
  std::vector<std::unique_ptr<Gateway>> m_gateways;
  std::vector<Running> m_running;
  std::vector<std::vector<BackendUse>> m_reports;
};

// What two zones run in a second.
constexpr double kCapacity =
    (kBackends - kBackends / kZones) * kSlots / (0.001 * 640);

TEST_CASE("The other zones serve a peak that they can carry") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    EvacuationReplay replay(0.6 * kCapacity);
    replay.Run(seed);
    CHECK(replay.refused == 0);
    CHECK(replay.sent_to_evacuated_zone == 0);
    CHECK(replay.longest_wait < kTarget);
  }
}

TEST_CASE("What the other zones can't carry is refused at once") {
  // Slots that become free in two intervals are not known to all gateways yet.
  const auto unknown_slots = static_cast<uint32_t>(kCapacity * 0.1);
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    EvacuationReplay replay(1.4 * kCapacity);
    replay.Run(seed);
    CHECK(replay.refused > 0);
    CHECK(replay.sent_to_evacuated_zone == 0);
    CHECK(replay.longest_wait < kTarget);
    CHECK(replay.free_at_refusal <= unknown_slots);
  }
}

}  // namespace
}  // namespace cowslip
