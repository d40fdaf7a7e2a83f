#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "Tests/Backend/gate_harness.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

constexpr uint32_t kSlots = 3;

// Feeds the gate all kinds of events, including faults, and checks the
// invariants after each.
class GateFaultSimulation {
 public:
  GateFaultSimulation()
      : m_gate({.slots = kSlots,
                .max_waiting_online = 5,
                .max_ready_batch = 3,
                .initial_service_estimate = 100ms}) {}

  void Step(int choice, size_t pick) {
    const ExchangeKey* call = Pick(m_gate.calls(), pick);
    const ExchangeKey key = call != nullptr ? *call : ExchangeKey();
    const bool has_call = call != nullptr;
    if (choice < 5) {
      Dispatch(choice, pick);
    } else if (choice < 8 && has_call) {
      Produce(key, pick);
    } else if (choice == 8 && has_call) {
      Feed(EngineResponseEnd{key});
    } else if (choice == 9 && has_call) {
      Feed(EngineCallFailed{
          .key = key, .failure = static_cast<EngineFailureKind>(pick % 3)});
    } else if (choice == 10) {
      Feed(CancelReceived{AnyKey(pick)});
    } else if (choice == 11) {
      Feed(CreditReceived{AnyKey(pick), pick});
    } else if (choice == 12) {
      m_gate.Advance(std::chrono::milliseconds(pick));
      Feed(GateTick());
    } else if (choice == 13) {
      Feed(EngineUp());
    } else if (choice == 14 && pick % 4 == 0) {
      FailEngine();
    } else if (choice == 15 && pick % 16 == 0) {
      FailLink(pick / 16 % 2);
    } else if (choice == 16 && pick % 32 == 0) {
      Feed(GateDrainRequested());
    } else {
      Close(pick);
    }
  }

  void Finish() {
    while (!m_gate.calls().empty() || !m_gate.closing().empty()) {
      Close(0);
      if (!m_gate.calls().empty()) {
        Feed(EngineCallFailed{.key = *m_gate.calls().begin()});
      }
    }
    // Requests that still wait fail at their deadline.
    m_gate.Advance(1h);
    Feed(GateTick());
    RC_ASSERT(m_gate.core().Status().load.online == 0u);
    RC_ASSERT(m_gate.core().Status().load.batch == 0u);
    for (const auto& [key, record] : m_gate.records()) {
      const bool lost = m_lost.contains(key.entry);
      RC_ASSERT(record.terminal_replies() <= 1);
      RC_ASSERT(lost || record.terminal_replies() == record.dispatches);
    }
    RC_ASSERT(m_gate.core().open_exchanges() == 0u);
    // No slot has leaked: the drain finishes.
    Feed(GateDrainRequested());
    RC_ASSERT(m_gate.drained() == 1);
  }

 private:
  static const ExchangeKey* Pick(const std::set<ExchangeKey>& keys,
                                 size_t pick) {
    return keys.empty() ? nullptr
                        : &*std::next(keys.begin(), pick % keys.size());
  }
  static std::string EntryName(size_t entry) {
    return entry == 0 ? "e1" : "e2";
  }
  ExchangeKey AnyKey(size_t pick) const {
    return GateHarness::KeyOf(EntryName(pick % 2), 1 + pick / 2 % (m_last + 1));
  }

  void Dispatch(int choice, size_t pick) {
    const VmId entry(EntryName(pick % 2));
    if (m_lost.contains(entry)) {
      return;
    }
    ++m_last;
    DispatchReceived event =
        choice < 3 ? GateHarness::Online(m_last) : GateHarness::Batch(m_last);
    event.entry = entry;
    if (choice < 3) {
      m_online.insert(GateHarness::KeyOf(entry.value(), m_last));
    }
    event.request.deadline_ms = static_cast<int64_t>(pick) - 20;
    event.request.alone = pick % 7 == 0;
    event.request.idempotent = pick % 3 != 0;
    Feed(std::move(event));
  }

  void Produce(const ExchangeKey& key, size_t pick) {
    if (m_headed.insert(key).second) {
      m_gate.Head(key);
      Check();
    } else if (!m_gate.paused().contains(key)) {
      const bool big = pick % 4 == 0;
      std::string data =
          big ? ":" + std::string(kInitialCreditBytes, 'x') + "\n" : "";
      data += GateHarness::Events(1, 2, pick % 8 < 5);
      m_produced[key] += data;
      Feed(EngineResponseChunk{key, std::move(data)});
    }
  }

  void FailEngine() {
    const std::set<ExchangeKey> running = m_gate.calls();
    Feed(EngineDown());
    RC_ASSERT(m_gate.calls().empty());
    for (const ExchangeKey& key : running) {
      RC_ASSERT(m_gate.record(key).failures.back().suspect);
    }
  }

  void FailLink(size_t entry) {
    const VmId vm(EntryName(entry));
    m_lost.insert(vm);
    Feed(EntryLinkDown{vm});
    for (const ExchangeKey& key : m_gate.calls()) {
      RC_ASSERT(key.entry != vm);
    }
  }

  void Close(size_t pick) {
    const ExchangeKey* closing = Pick(m_gate.closing(), pick);
    if (closing == nullptr) {
      return;
    }
    // An aborted call may have ended by itself before the abort took effect.
    const ExchangeKey key = *closing;
    switch (pick % 3) {
      case 0:
        return Feed(EngineCallClosed{key});
      case 1:
        return Feed(EngineResponseEnd{key});
      default:
        return Feed(EngineCallFailed{.key = key});
    }
  }

  void Feed(GateEvent event) {
    m_gate.Feed(std::move(event));
    Check();
  }

  void Check() {
    const size_t used = m_gate.calls().size() + m_gate.closing().size();
    RC_ASSERT(used <= kSlots);
    for (const auto& [key, record] : m_gate.records()) {
      RC_ASSERT(record.terminal_replies() <= 1);
      RC_ASSERT(record.ends == 0 || record.heads == 1);
      if (record.ends == 1 && m_online.contains(key)) {
        RC_ASSERT(record.body == m_produced[key]);
      }
      for (const ExchangeFailed& failed : record.failures) {
        // `not_run` is set exactly if the request has not run.
        RC_ASSERT(failed.not_run == (!record.started || record.not_sent));
        RC_ASSERT(!(failed.suspect && failed.not_run));
      }
    }
  }

  GateHarness m_gate;
  std::set<ExchangeKey> m_headed;
  std::set<ExchangeKey> m_online;
  std::map<ExchangeKey, std::string> m_produced;
  std::set<VmId> m_lost;
  uint64_t m_last = 0;
};

TEST_CASE("Each exchange gets one correct terminal reply under random faults") {
  CHECK(rc::check([] {
    // Long runs, so that queues fill up and faults coincide.
    const auto steps =
        *rc::gen::resize(400, rc::gen::arbitrary<std::vector<uint16_t>>());
    GateFaultSimulation simulation;
    for (const uint16_t step : steps) {
      simulation.Step(step % 17, step / 17);
    }
    simulation.Finish();
  }));
}

}  // namespace
}  // namespace cowslip
