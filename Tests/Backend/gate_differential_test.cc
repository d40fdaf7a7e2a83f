#include <deque>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "Tests/Backend/gate_harness.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

constexpr uint32_t kSlots = 3;
constexpr uint32_t kHeadroom = 1;

// The reference model of the gate's queues, kept as simple as possible: two
// lists that are processed from the start after each event.
class ReferenceGate {
 public:
  explicit ReferenceGate(bool preempts) : m_preempts(preempts) {}

  void Arrive(const ExchangeKey& key, bool online) {
    (online ? m_online : m_batch).push_back(key);
  }
  void Leave(const ExchangeKey& key) {
    std::erase(m_online, key);
    std::erase(m_batch, key);
    m_running.erase(key);
    m_closing.erase(key);
  }
  void Abort(const ExchangeKey& key) {
    m_running.erase(key);
    m_closing.insert(key);
  }
  bool Runs(const ExchangeKey& key) const { return m_running.contains(key); }
  std::vector<ExchangeKey> Start() {
    std::vector<ExchangeKey> started;
    while (Used() < kSlots && !m_online.empty()) {
      Run(m_online, true, started);
    }
    while (Used() < kSlots - kHeadroom && !m_batch.empty() &&
           m_online.empty()) {
      Run(m_batch, false, started);
    }
    return started;
  }
  // How many batch streams to preempt now.
  size_t PreemptionsNeeded() const {
    size_t batch = 0;
    for (const auto& [key, online] : m_running) {
      batch += online ? 0 : 1;
    }
    const size_t coming = m_closing.size() + (kSlots - Used());
    const size_t wanted =
        m_online.size() > coming ? m_online.size() - coming : 0;
    return m_preempts ? std::min(batch, wanted) : 0;
  }
  size_t waiting_online() const { return m_online.size(); }
  size_t batch_running() const {
    size_t batch = 0;
    for (const auto& [key, online] : m_running) {
      batch += online ? 0 : 1;
    }
    return batch;
  }
  size_t closing() const { return m_closing.size(); }

 private:
  size_t Used() const { return m_running.size() + m_closing.size(); }
  void Run(std::vector<ExchangeKey>& queue,
           bool online,
           std::vector<ExchangeKey>& started) {
    started.push_back(queue.front());
    m_running[queue.front()] = online;
    queue.erase(queue.begin());
  }

  const bool m_preempts;
  std::vector<ExchangeKey> m_online;
  std::vector<ExchangeKey> m_batch;
  std::map<ExchangeKey, bool> m_running;
  std::set<ExchangeKey> m_closing;
};

// Feeds the same events to the gate and the reference model.
class GateComparison {
 public:
  explicit GateComparison(GatePolicy policy)
      : m_gate({.policy = policy,
                .slots = kSlots,
                .max_waiting_online = 1000,
                .max_ready_batch = 1000,
                .default_deadline = 1h,
                .initial_service_estimate = 1ns}),
        m_reference(std::holds_alternative<HeadroomWithPreemption>(policy)) {}

  void Step(int choice, size_t pick) {
    switch (choice) {
      case 0:
      case 1:
        return Arrive(choice == 0);
      case 2:
        return Repeat(pick);
      case 3:
        return Complete(pick);
      case 4:
        return Cancel(pick);
      case 5:
        return Close(pick);
      case 6:
        return FailCall(pick);
      case 7:
        return Produce(pick);
      default:
        m_gate.Advance(50ms);
        return Feed(GateTick());
    }
  }

  void Finish() {
    while (!m_gate.calls().empty() || !m_gate.closing().empty()) {
      Complete(0);
      Close(0);
    }
    for (const auto& [key, record] : m_gate.records()) {
      RC_ASSERT(record.terminal_replies() == 1);
    }
    RC_ASSERT(m_gate.core().open_exchanges() == 0u);
  }

 private:
  static const ExchangeKey* Pick(const std::set<ExchangeKey>& keys,
                                 size_t pick) {
    if (keys.empty()) {
      return nullptr;
    }
    return &*std::next(keys.begin(), pick % keys.size());
  }

  void Arrive(bool online) {
    ++m_last;
    m_reference.Arrive(GateHarness::KeyOf("e1", m_last), online);
    Feed(online ? GateHarness::Online(m_last) : GateHarness::Batch(m_last));
  }
  void Repeat(size_t pick) {
    if (m_last > 0) {
      Feed(GateHarness::Online(1 + pick % m_last));
    }
  }
  void Complete(size_t pick) {
    if (const ExchangeKey* found = Pick(m_gate.calls(), pick)) {
      const ExchangeKey key = *found;
      Head(key);
      Feed(EngineResponseChunk{key, GateHarness::Events(1, 2, true)});
      m_reference.Leave(key);
      Feed(EngineResponseEnd{key});
      RC_ASSERT(m_gate.record(key).ends == 1);
    }
  }
  void Produce(size_t pick) {
    if (const ExchangeKey* found = Pick(m_gate.calls(), pick)) {
      const ExchangeKey key = *found;
      Head(key);
      Feed(EngineResponseChunk{key, GateHarness::Events(1, 1, false)});
    }
  }
  void Head(const ExchangeKey& key) {
    if (m_headed.insert(key).second) {
      m_gate.Head(key);
    }
  }
  void Cancel(size_t pick) {
    if (m_last == 0) {
      return;
    }
    const ExchangeKey key = GateHarness::KeyOf("e1", 1 + pick % m_last);
    if (m_reference.Runs(key)) {
      m_reference.Abort(key);
    } else if (m_gate.record(key).terminal_replies() == 0) {
      m_reference.Leave(key);
    }
    Feed(CancelReceived{key});
  }
  void Close(size_t pick) {
    if (const ExchangeKey* found = Pick(m_gate.closing(), pick)) {
      const ExchangeKey key = *found;
      m_reference.Leave(key);
      Feed(EngineCallClosed{key});
    }
  }
  void FailCall(size_t pick) {
    if (const ExchangeKey* found = Pick(m_gate.calls(), pick)) {
      const ExchangeKey key = *found;
      m_reference.Leave(key);
      Feed(EngineCallFailed{.key = key});
      RC_ASSERT(m_gate.record(key).failures.back().suspect);
    }
  }

  void Feed(GateEvent event) {
    const std::set<ExchangeKey> before = m_gate.closing();
    const std::vector<ExchangeKey> started = m_gate.Feed(std::move(event));
    RC_ASSERT(started == m_reference.Start());
    const size_t preemptions = m_reference.PreemptionsNeeded();
    size_t preempted = 0;
    for (const ExchangeKey& key : m_gate.closing()) {
      const auto& failures = m_gate.record(key).failures;
      const bool now_preempted =
          !before.contains(key) && !failures.empty() &&
          failures.back().reason == FailureReason::kPreempted;
      if (now_preempted) {
        ++preempted;
        m_reference.Abort(key);
      }
    }
    RC_ASSERT(preempted == preemptions);
    Check();
  }

  void Check() {
    RC_ASSERT(m_gate.calls().size() + m_gate.closing().size() <= kSlots);
    if (m_reference.PreemptionsNeeded() > 0) {
      RC_FAIL("An online request waits while a batch stream holds a slot");
    }
    for (const auto& [key, record] : m_gate.records()) {
      RC_ASSERT(record.terminal_replies() <= 1);
      for (const ExchangeFailed& failed : record.failures) {
        RC_ASSERT(failed.not_run == !record.started);
      }
    }
  }

  GateHarness m_gate;
  ReferenceGate m_reference;
  std::set<ExchangeKey> m_headed;
  uint64_t m_last = 0;
};

void CheckPolicy(GatePolicy policy) {
  CHECK(rc::check([policy] {
    // Long runs, so that queues fill up and faults coincide.
    const auto steps =
        *rc::gen::resize(400, rc::gen::arbitrary<std::vector<uint16_t>>());
    GateComparison pair(policy);
    for (const uint16_t step : steps) {
      pair.Step(step % 9, step / 9);
    }
    pair.Finish();
  }));
}

TEST_CASE("The gate with preemption agrees with the reference model") {
  CheckPolicy(HeadroomWithPreemption{.headroom = kHeadroom});
}

TEST_CASE("The gate with headroom agrees with the reference model") {
  CheckPolicy(Headroom{.headroom = kHeadroom});
}

}  // namespace
}  // namespace cowslip
