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
constexpr Duration kLength = 24s;
constexpr uint32_t kSlots = 8;
constexpr size_t kBackends = 9;
constexpr size_t kEntries = 5;

/// One caller's request; refused ones come back once.
struct Call {
  uint64_t number = 0;
  size_t entry = 0;
  Duration arrived{0};
  bool returned = false;
};

/// A backend server: slots, then a queue in order of arrival.
struct Backend {
  struct Running {
    Call call;
    size_t owner = 0;
    Duration ends{0};
  };
  std::vector<Running> running;
  std::deque<std::pair<Call, size_t>> queue;
};

/// What callers got.
struct Outcome {
  int in_target = 0;
  int late = 0;
  int refused = 0;
};

MonotonicTime At(Duration at) {
  return MonotonicTime(100s + at);
}

BackendId IdOf(size_t index) {
  return BackendId("b" + std::to_string(index));
}

// Poisson arrivals at a mean of 60 % of the capacity, in steps: valleys of
// 3.4 s, peaks of 2.4 s far above the capacity.
std::vector<Call> Arrivals(uint64_t seed) {
  std::mt19937_64 random(seed);
  std::uniform_int_distribution<size_t> entry(0, kEntries - 1);
  std::vector<Call> calls;
  Duration at = 0s;
  while (at < kLength) {
    const bool is_peak = at % 5800ms >= 3400ms;
    std::exponential_distribution<double> gap(is_peak ? 170 : 30);
    at += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap(random)));
    calls.push_back({calls.size(), entry(random), at});
  }
  return calls;
}

/// \class Replay
/// \brief Plays arrivals against backend servers in virtual time.
class Replay {
 public:
  virtual ~Replay() = default;

  Outcome Play(uint64_t seed) {
    std::deque<Call> calls;
    for (const Call& call : Arrivals(seed)) {
      calls.push_back(call);
    }
    for (Duration now = 0s; now < kLength + 5s; now += kTick) {
      Finish(now);
      while (!m_returns.empty() && m_returns.begin()->first <= now) {
        const Call call = m_returns.begin()->second;
        m_returns.erase(m_returns.begin());
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
  virtual void Ended(size_t /*backend*/, size_t /*owner*/, Duration) {}
  virtual void Tick(Duration) {}

  void Send(const Call& call, size_t backend, size_t owner, Duration now) {
    m_backends[backend].queue.emplace_back(call, owner);
    Admit(backend, now);
  }
  void Refuse(const Call& call, Duration retry_after, Duration now) {
    if (call.returned) {
      ++m_outcome.refused;
      return;
    }
    Call again = call;
    again.returned = true;
    m_returns.emplace(now + retry_after, again);
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
        Ended(i, owner, now);
      }
      Admit(i, now);
    }
  }

  std::multimap<Duration, Call> m_returns;
  Outcome m_outcome;
};

/// \class NaiveReplay
/// \brief First come, first served at the least loaded backend server, known
/// exactly.
class NaiveReplay : public Replay {
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
/// \brief The three cores on each entry, which hear of each other late.
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
          placing({.self = vm, .zone = ZoneId("z")}),
          refusing({.seed = index + 1}),
          waiting(placing) {
      for (size_t i = 0; i < kBackends; ++i) {
        placing.Handle(BackendAdded{{.id = IdOf(i),
                                     .service = kService,
                                     .zone = ZoneId("z"),
                                     .slots = kSlots}},
                       At(0s));
        placing.Handle(FirstEventMeasured{IdOf(i), kFirstEvent}, At(0s));
        placing.Handle(SlotTimeMeasured{IdOf(i), kSlotTime}, At(0s));
      }
    }
    VmId vm;
    PlacementCore placing;
    AdmissionCore refusing;
    WaitQueue waiting;
    std::map<uint64_t, Call> waiters;
  };

  void Arrive(const Call& call, Duration now) override {
    Entry& entry = *m_entries[call.entry];
    const auto action = entry.refusing.Handle(AdmissionRequested{
        .load = entry.placing.Load(kService, At(now)),
        .target = kTarget,
        .left = 5s,
        .members = kEntries,
        .waiting = static_cast<uint32_t>(entry.waiting.size())});
    if (const auto* refused = std::get_if<RejectRequest>(&action)) {
      Refuse(call, refused->retry_after, now);
      return;
    }
    const AdmitToQueue bounds = std::get<AdmitToQueue>(action);
    entry.waiters[call.number] = call;
    const WaitQueueEvent began = RequestEnqueued{
        WaitingRequest{.ticket = TicketId(call.number),
                       .query = {.service = kService,
                                 .queue_allowance = bounds.queue_allowance},
                       .give_up_at = At(now + bounds.longest_wait)}};
    Carry(entry, entry.waiting.Handle(began, At(now)), now);
  }

  void Carry(Entry& entry,
             const std::vector<WaitQueueAction>& actions,
             Duration now) {
    for (const WaitQueueAction& action : actions) {
      const TicketId ticket = std::visit(
          [](const auto& decided) { return decided.ticket; }, action);
      const Call call = entry.waiters[ticket.value()];
      entry.waiters.erase(ticket.value());
      const auto* placed = std::get_if<RequestPlaced>(&action);
      if (placed == nullptr) {
        Refuse(call, entry.refusing.ReturnTime(5s), now);
        continue;
      }
      entry.placing.Handle(AttemptStarted{placed->backend}, At(now));
      const size_t index = std::stoul(placed->backend.value().substr(1));
      Send(call, index, call.entry, now);
    }
  }

  void Ended(size_t backend, size_t owner, Duration now) override {
    m_entries[owner]->placing.Handle(
        AttemptEnded{IdOf(backend), WorkClass::kOnline,
                     AttemptOutcome::kCompleted},
        At(now));
  }

  void Tick(Duration now) override {
    for (auto& entry : m_entries) {
      Carry(*entry, entry->waiting.Handle(QueuePollDue{}, At(now)), now);
    }
    if (now % kReportInterval != Duration::zero()) {
      return;
    }
    // What was in flight one interval ago arrives now.
    for (size_t from = 0; from < kEntries; ++from) {
      for (size_t to = 0; to < kEntries; ++to) {
        if (from != to && m_reports.size() == kEntries) {
          m_entries[to]->placing.Handle(
              PeerInFlightReported{m_entries[from]->vm, m_reports[from]},
              At(now));
        }
      }
    }
    m_reports.clear();
    for (auto& entry : m_entries) {
      m_reports.push_back(entry->placing.InFlight());
    }
  }

  std::vector<std::unique_ptr<Entry>> m_entries;
  std::vector<std::vector<BackendUse>> m_reports;
};

TEST_CASE(
    "In bursts above the capacity more answers are in time than naively") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    const Outcome naive = NaiveReplay().Play(seed);
    const Outcome cores = CoresReplay().Play(seed);
    INFO("naive in target " << naive.in_target << " late " << naive.late
                            << ", cores in target " << cores.in_target
                            << " late " << cores.late << " refused "
                            << cores.refused);
    CHECK(cores.in_target > naive.in_target);
    // Nobody is served so late that half of a burst is spent on it.
    CHECK(cores.late < naive.late);
  }
}

}  // namespace
}  // namespace cowslip
