// Runs RequestCore against simulated backend servers with random faults. Each
// request must end once, with its own response and a correct `not_run`.

#include <map>
#include <random>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "Requests/request_core.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

const ServiceId kService("catalogue");
constexpr int kBackends = 4;

struct Exchange {
  VmId vm;
  DispatchRequest request;
  uint64_t sent_chunks = 0;
  bool head_sent = false;
};

struct Expected {
  bool idempotent = false;
  int runs = 0;
  int endings = 0;
  bool ended_whole = false;
  bool reported_not_run = false;
  std::string received_body;
};

class Simulation {
 public:
  explicit Simulation(uint64_t seed)
      : m_random(seed),
        m_core({.routing = {.zone = ZoneId("a"), .seed = seed}}) {
    for (int i = 0; i < kBackends; ++i) {
      RestoreLink(Vm(i));
    }
  }

  void Step() {
    m_now += 10ms;
    switch (Draw(10)) {
      case 0:
      case 1:
        Arrive();
        break;
      case 2:
        Feed(RequestTick{});
        break;
      case 3:
        if (Draw(5) == 0) {
          BreakLink(Vm(Draw(kBackends)));
        }
        break;
      case 4:
        CancelOne();
        break;
      default:
        Progress();
    }
  }

  void Drain() {
    m_now += 1h;
    Feed(RequestTick{});
  }

  void Check() const {
    uint64_t first_attempts = 0;
    for (const auto& [id, expected] : m_expected) {
      ++first_attempts;
      RC_ASSERT(expected.endings == 1);
      RC_ASSERT(expected.idempotent || expected.runs <= 1);
      if (expected.reported_not_run) {
        RC_ASSERT(expected.runs == 0);
      }
      if (expected.ended_whole) {
        RC_ASSERT(expected.received_body == ExpectedBody(id));
      }
    }
    const RetryBudgetOptions budget;
    RC_ASSERT(m_core.counters().retries <=
              budget.reserve + budget.ratio * first_attempts);
    RC_ASSERT(m_core.active() == 0u);
  }

 private:
  static VmId Vm(int i) { return VmId("b" + std::to_string(i)); }
  static std::string ExpectedBody(RequestId id) {
    const std::string mark = std::to_string(id.value());
    return mark + "-" + mark + "-" + mark + "-";
  }
  int Draw(int n) { return static_cast<int>(m_random() % n); }

  void RestoreLink(const VmId& vm) {
    Feed(BackendLinkUp{vm});
    Feed(ReplyReceived{vm, BackendStatus{.service = kService,
                                         .zone = ZoneId("a"),
                                         .load = {.slots = 4}}});
  }

  void BreakLink(const VmId& vm) {
    std::erase_if(m_exchanges,
                  [&](const auto& entry) { return entry.second.vm == vm; });
    Feed(BackendLinkDown{vm});
    RestoreLink(vm);
  }

  void Arrive() {
    const RequestId id(++m_last_id);
    Expected& expected = m_expected[id];
    expected.idempotent = Draw(2) == 0;
    Feed(RequestArrived{.request = id,
                        .service = kService,
                        .organisation = OrganisationId("o"),
                        .body = std::to_string(id.value()),
                        .idempotent = expected.idempotent,
                        .has_rate_limit = Draw(2) == 0,
                        .idempotency_key = Draw(2) == 0 ? "k" : "",
                        .timeout = 2s});
  }

  void CancelOne() {
    if (m_last_id > 0 && Draw(4) == 0) {
      Feed(RequestCancelled{RequestId(1 + Draw(static_cast<int>(m_last_id)))});
    }
  }

  // Advances a random exchange by one step.
  void Progress() {
    if (m_exchanges.empty()) {
      return;
    }
    auto at = std::next(m_exchanges.begin(),
                        Draw(static_cast<int>(m_exchanges.size())));
    const ExchangeId id = at->first;
    Exchange& exchange = at->second;
    if (!exchange.head_sent) {
      Begin(id, exchange);
    } else if (Draw(12) == 0) {
      Fail(id, exchange, false);
    } else if (exchange.sent_chunks < 3) {
      Feed(ReplyReceived{exchange.vm,
                         ResponseChunk{id, exchange.sent_chunks++,
                                       exchange.request.body + "-"}});
    } else {
      const VmId vm = exchange.vm;
      m_exchanges.erase(at);
      Feed(ReplyReceived{vm, ResponseEnd{.exchange = id, .chunks = 3}});
    }
  }

  void Begin(ExchangeId id, Exchange& exchange) {
    if (Draw(6) == 0) {
      Fail(id, exchange, true);
      return;
    }
    ++m_expected[RequestId(std::stoull(exchange.request.body))].runs;
    exchange.head_sent = true;
    Feed(ReplyReceived{exchange.vm, ResponseHead{id, 200, {}}});
  }

  void Fail(ExchangeId id, const Exchange& exchange, bool not_run) {
    const VmId vm = exchange.vm;
    m_exchanges.erase(id);
    Feed(
        ReplyReceived{vm, ExchangeFailed{.exchange = id,
                                         .not_run = not_run,
                                         .suspect = !not_run && Draw(3) == 0}});
  }

  void Feed(const RequestEvent& event) {
    for (const RequestAction& action : m_core.Handle(event, m_now)) {
      std::visit([this](const auto& alternative) { On(alternative); }, action);
    }
  }

  void On(const CheckRateLimit& ask) {
    if (Draw(8) == 0) {
      m_pending.push_back(RateLimitRefused{ask.request, 1s});
    } else {
      m_pending.push_back(RateLimitAdmitted{ask.request});
    }
    FeedPending();
  }
  void On(const ClaimIdempotencyKey& ask) {
    if (Draw(4) == 0) {
      m_pending.push_back(ClaimRejected{ask.request});
    } else {
      m_pending.push_back(ClaimGranted{ask.request});
    }
    FeedPending();
  }
  // Feeds the result of a check or claim back to the core.
  void FeedPending() {
    const RequestEvent event = m_pending.back();
    m_pending.pop_back();
    Feed(event);
  }
  void On(const ReleaseClaim&) {}
  void On(const BroadcastCrashReport&) {}
  void On(const SendToBackend& sent) {
    if (const auto* dispatch = std::get_if<DispatchRequest>(&sent.message)) {
      m_exchanges[dispatch->exchange] = {.vm = sent.vm, .request = *dispatch};
    } else if (const auto* cancel = std::get_if<CancelRequest>(&sent.message)) {
      // A cancellation may arrive too late: half of the exchanges go on.
      if (Draw(2) == 0) {
        m_exchanges.erase(cancel->exchange);
      }
    }
  }
  void On(const RespondHead&) {}
  void On(const RespondChunk& chunk) {
    m_expected[chunk.request].received_body += chunk.data;
  }
  void On(const RespondEnd& end) {
    ++m_expected[end.request].endings;
    m_expected[end.request].ended_whole = true;
  }
  void On(const RespondProblem& problem) {
    ++m_expected[problem.request].endings;
    m_expected[problem.request].reported_not_run = problem.problem.not_run;
  }
  void On(const AbortResponse& abort) { ++m_expected[abort.request].endings; }
  void On(const RespondPreempted& end) { ++m_expected[end.request].endings; }

  std::mt19937_64 m_random;
  RequestCore m_core;
  MonotonicTime m_now{1h};
  uint64_t m_last_id = 0;
  std::map<ExchangeId, Exchange> m_exchanges;
  std::map<RequestId, Expected> m_expected;
  std::vector<RequestEvent> m_pending;
};

TEST_CASE(
    "Every request ends once, with its own response and a correct not_run") {
  CHECK(rc::check([](uint64_t seed) {
    Simulation simulation(seed);
    for (int i = 0; i < 400; ++i) {
      simulation.Step();
    }
    simulation.Drain();
    simulation.Check();
  }));
}

}  // namespace
}  // namespace cowslip
