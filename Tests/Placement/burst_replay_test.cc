#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
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
constexpr Duration kFirstEvent = 40ms;
constexpr Duration kReportInterval = 50ms;
constexpr Duration kTestDuration = 24s;
constexpr uint32_t kSlots = 8;
constexpr size_t kBackends = 9;
constexpr size_t kEntries = 5;

/// A request of one caller; a rejected request is retried once.
struct Call {
  uint64_t number = 0;
  size_t entry = 0;
  Duration arrived{0};
  bool retried = false;
};

/// A simulated backend server with slots and a first-in, first-out queue.
struct Backend {
  struct Running {
    Call call;
    size_t owner = 0;
    Duration ends{0};
  };
  std::vector<Running> running;
  std::deque<std::pair<Call, size_t>> queue;
};

/// Counts of the callers' results.
struct Outcome {
  int in_target = 0;
  int late = 0;
  int rejected = 0;
};

MonotonicTime At(Duration at) {
  return MonotonicTime(100s + at);
}

BackendId IdOf(size_t index) {
  return BackendId("b" + std::to_string(index));
}

// Poisson arrivals that alternate between 3.4 s of low load and 2.4 s of load
// far above the capacity; the mean is 60 % of the capacity.
std::vector<Call> Arrivals(uint64_t seed) {
  std::mt19937_64 random(seed);
  std::uniform_int_distribution<size_t> entry(0, kEntries - 1);
  std::vector<Call> calls;
  Duration at = 0s;
  while (at < kTestDuration) {
    const bool is_peak = at % 5800ms >= 3400ms;
    std::exponential_distribution<double> gap(is_peak ? 170 : 30);
    at += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap(random)));
    calls.push_back({calls.size(), entry(random), at});
  }
  return calls;
}

/// \class Replay
/// \brief Simulates arrivals at backend servers in virtual time.
class Replay {
 public:
  virtual ~Replay() = default;

  Outcome Run(uint64_t seed) {
    std::deque<Call> calls;
    for (const Call& call : Arrivals(seed)) {
      calls.push_back(call);
    }
    for (Duration now = 0s; now < kTestDuration + 5s; now += kTick) {
      Finish(now);
      while (!m_retries.empty() && m_retries.begin()->first <= now) {
        const Call call = m_retries.begin()->second;
        m_retries.erase(m_retries.begin());
        Arrive(call, now);
      }
      while (!calls.empty() && calls.front().arrived <= now) {
        Arrive(calls.front(), now);
        calls.pop_front();
      }
      Tick(now);
    }
    return m_outcome;
  }

 protected:
  virtual void Arrive(const Call& call, Duration now) = 0;
  virtual void OnAttemptEnded(size_t /*backend*/, size_t /*owner*/, Duration) {}
  virtual void Tick(Duration) {}

  void Send(const Call& call, size_t backend, size_t owner, Duration now) {
    m_backends[backend].queue.emplace_back(call, owner);
    Admit(backend, now);
  }
  void Reject(const Call& call, Duration retry_after, Duration now) {
    if (call.retried) {
      ++m_outcome.rejected;
      return;
    }
    Call retry = call;
    retry.retried = true;
    m_retries.emplace(now + retry_after, retry);
  }

  Backend m_backends[kBackends];

 private:
  void Admit(size_t index, Duration now) {
    Backend& backend = m_backends[index];
    while (backend.running.size() < kSlots && !backend.queue.empty()) {
      const auto [call, owner] = backend.queue.front();
      backend.queue.pop_front();
      backend.running.push_back({call, owner, now + kSlotTime});
      const Duration first = now + kFirstEvent - call.arrived;
      ++(first <= kTarget ? m_outcome.in_target : m_outcome.late);
    }
  }
  void Finish(Duration now) {
    for (size_t i = 0; i < kBackends; ++i) {
      std::vector<size_t> owners;
      std::erase_if(m_backends[i].running, [&](const auto& running) {
        if (running.ends > now) {
          return false;
        }
        owners.push_back(running.owner);
        return true;
      });
      for (const size_t owner : owners) {
        OnAttemptEnded(i, owner, now);
      }
      Admit(i, now);
    }
  }

  std::multimap<Duration, Call> m_retries;
  Outcome m_outcome;
};

/// \class FifoReplay
/// \brief Baseline: first come, first served at the least loaded backend
/// server, with exact knowledge of the load.
class FifoReplay : public Replay {
  void Arrive(const Call& call, Duration now) override {
    size_t best = 0;
    size_t least = ~size_t{0};
    for (size_t i = 0; i < kBackends; ++i) {
      const size_t load =
          m_backends[i].running.size() + m_backends[i].queue.size();
      if (load < least) {
        least = load;
        best = i;
      }
    }
    Send(call, best, call.entry, now);
  }
};

/// \class CoresReplay
/// \brief Placement, admission and wait queue on each entry, with delayed
/// reports of the other entries' load.
class CoresReplay : public Replay {
 public:
  CoresReplay() {
    for (size_t i = 0; i < kEntries; ++i) {
      m_entries.push_back(std::make_unique<Entry>(i));
    }
  }

 private:
  struct Entry {
    explicit Entry(size_t index)
        : vm("vm" + std::to_string(index)),
          placement({.self = vm, .zone = ZoneId("z")}),
          admission({.seed = index + 1}),
          wait_queue(placement) {
      for (size_t i = 0; i < kBackends; ++i) {
        placement.Handle(BackendAdded{{.id = IdOf(i),
                                       .service = kService,
                                       .zone = ZoneId("z"),
                                       .slots = kSlots}},
                         At(0s));
        placement.Handle(FirstEventMeasured{IdOf(i), kFirstEvent}, At(0s));
        placement.Handle(SlotTimeMeasured{IdOf(i), kSlotTime}, At(0s));
      }
    }
    VmId vm;
    PlacementCore placement;
    AdmissionCore admission;
    WaitQueue wait_queue;
    std::map<uint64_t, Call> waiting_calls;
  };

  void Arrive(const Call& call, Duration now) override {
    Entry& entry = *m_entries[call.entry];
    const auto action = entry.admission.Handle(AdmissionRequested{
        .load = entry.placement.Load({.service = kService}, At(now)),
        .latency_target = kTarget,
        .remaining = 5s,
        .members = kEntries,
        .waiting = static_cast<uint32_t>(entry.wait_queue.size())});
    if (const auto* rejected = std::get_if<RejectRequest>(&action)) {
      Reject(call, rejected->retry_after, now);
      return;
    }
    const AdmitRequest bounds = std::get<AdmitRequest>(action);
    entry.waiting_calls[call.number] = call;
    const WaitQueueEvent enqueued = RequestEnqueued{
        WaitingRequest{.ticket = TicketId(call.number),
                       .query = {.service = kService,
                                 .queue_allowance = bounds.queue_allowance},
                       .expires_at = At(now + bounds.max_wait)}};
    ApplyActions(entry, entry.wait_queue.Handle(enqueued, At(now)), now);
  }

  void ApplyActions(Entry& entry,
                    const std::vector<WaitQueueAction>& actions,
                    Duration now) {
    for (const WaitQueueAction& action : actions) {
      const TicketId ticket = std::visit(
          [](const auto& decided) { return decided.ticket; }, action);
      const Call call = entry.waiting_calls[ticket.value()];
      entry.waiting_calls.erase(ticket.value());
      const auto* placed = std::get_if<RequestPlaced>(&action);
      if (placed == nullptr) {
        Reject(call, entry.admission.RetryDelay(5s), now);
        continue;
      }
      entry.placement.Handle(AttemptStarted{placed->backend}, At(now));
      const size_t index = std::stoul(placed->backend.value().substr(1));
      Send(call, index, call.entry, now);
    }
  }

  void OnAttemptEnded(size_t backend, size_t owner, Duration now) override {
    m_entries[owner]->placement.Handle(
        AttemptEnded{IdOf(backend), WorkClass::kOnline,
                     AttemptOutcome::kCompleted},
        At(now));
  }

  void Tick(Duration now) override {
    for (auto& entry : m_entries) {
      ApplyActions(*entry, entry->wait_queue.Handle(QueuePollDue{}, At(now)),
                   now);
    }
    if (now % kReportInterval != Duration::zero()) {
      return;
    }
    // Deliver the reports of one interval ago.
    for (size_t from = 0; from < kEntries; ++from) {
      for (size_t to = 0; to < kEntries; ++to) {
        if (from != to && m_reports.size() == kEntries) {
          m_entries[to]->placement.Handle(
              PeerInFlightReported{m_entries[from]->vm, m_reports[from]},
              At(now));
        }
      }
    }
    m_reports.clear();
    for (auto& entry : m_entries) {
      m_reports.push_back(entry->placement.InFlight());
    }
  }

  std::vector<std::unique_ptr<Entry>> m_entries;
  std::vector<std::vector<BackendUse>> m_reports;
};

TEST_CASE(
    "In bursts above the capacity more responses are in time than by FIFO") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    const Outcome fifo = FifoReplay().Run(seed);
    const Outcome cores = CoresReplay().Run(seed);
    INFO("fifo in target " << fifo.in_target << " late " << fifo.late
                           << ", cores in target " << cores.in_target
                           << " late " << cores.late << " rejected "
                           << cores.rejected);
    CHECK(cores.in_target > fifo.in_target);
    // The cores must not spend the capacity of a burst on late responses.
    CHECK(cores.late < fifo.late);
  }
}

}  // namespace
}  // namespace cowslip
