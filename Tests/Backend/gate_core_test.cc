#include "Backend/gate_core.h"

#include <catch2/catch.hpp>

#include "Base/json.h"
#include "Tests/Backend/gate_harness.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

GateOptions Options(uint32_t slots, GatePolicy policy) {
  return {.policy = policy, .slots = slots, .max_waiting_online = 4};
}

const ExchangeKey kOne = GateHarness::KeyOf("e1", 1);
const ExchangeKey kTwo = GateHarness::KeyOf("e1", 2);
const ExchangeKey kThree = GateHarness::KeyOf("e1", 3);

TEST_CASE("Preemption chooses the batch stream with the least work to repeat") {
  GateHarness gate(Options(2, HeadroomWithPreemption{.headroom = 0}));
  gate.Feed(GateHarness::Batch(1));
  gate.Feed(GateHarness::Batch(2));
  gate.Head(kOne);
  gate.Head(kTwo);
  gate.Feed(EngineResponseChunk{kOne, GateHarness::Events(1, 30, false)});
  gate.Feed(EngineResponseChunk{kTwo, GateHarness::Events(1, 3, false)});
  CHECK(gate.Feed(GateHarness::Online(3)).empty());
  REQUIRE(gate.record(kTwo).failures.size() == 1);
  CHECK(gate.record(kTwo).failures[0].reason == FailureReason::kPreempted);
  CHECK(gate.record(kTwo).failures[0].resume_token ==
        R"({"text":"t1 t2 t3 ","tokens":3})");
  CHECK(gate.record(kOne).failures.empty());
  // The slot becomes free only when the aborted call has been closed.
  CHECK(gate.Feed(EngineCallClosed{kTwo}) == std::vector{kThree});
}

TEST_CASE("A resumed batch item returns the complete response") {
  GateHarness gate(Options(1, HeadroomWithPreemption{.headroom = 0}));
  gate.Feed(GateHarness::Batch(1, R"({"tokens":2,"text":"t1 t2 "})"));
  gate.Head(kOne);
  // One byte at a time: the split into chunks must not matter.
  for (const char byte : GateHarness::Events(3, 4, true)) {
    gate.Feed(EngineResponseChunk{kOne, std::string(1, byte)});
  }
  gate.Feed(EngineResponseEnd{kOne});
  const auto body = ParseJson(gate.record(kOne).body);
  REQUIRE(body.has_value());
  CHECK(body.value()["choices"][0]["message"]["content"] == "t1 t2 t3 t4 ");
  CHECK(body.value()["usage"]["completion_tokens"] == 4);
  CHECK(gate.record(kOne).ends == 1);
}

TEST_CASE(
    "Batch requests leave the headroom free; online requests use every slot") {
  GateHarness gate(Options(3, Headroom{.headroom = 1}));
  for (uint64_t i = 1; i <= 3; ++i) {
    gate.Feed(GateHarness::Batch(i));
  }
  CHECK(gate.calls().size() == 2);
  CHECK(gate.Feed(GateHarness::Online(4)).size() == 1);
  CHECK(gate.Feed(GateHarness::Online(5)).empty());
  CHECK(gate.closing().empty());
}

TEST_CASE("A request that would wait past its deadline is refused on arrival") {
  GateOptions options = Options(1, HeadroomWithPreemption());
  options.initial_service_estimate = 2s;
  GateHarness gate(options);
  gate.Feed(GateHarness::Online(1));
  gate.Feed(GateHarness::Online(2, 1000));
  REQUIRE(gate.record(kTwo).failures.size() == 1);
  CHECK(gate.record(kTwo).failures[0].reason == FailureReason::kOverloaded);
  CHECK(gate.record(kTwo).failures[0].not_run);
  CHECK(gate.record(kTwo).failures[0].retry_after_ms == 2000);
  // A request with a later deadline waits, and fails as not run when the
  // deadline passes.
  gate.Feed(GateHarness::Online(3, 5000));
  CHECK(gate.record(kThree).terminal_replies() == 0);
  gate.Advance(5s);
  gate.Feed(GateTick());
  REQUIRE(gate.record(kThree).failures.size() == 1);
  CHECK(gate.record(kThree).failures[0].reason == FailureReason::kTimeout);
  CHECK(gate.record(kThree).failures[0].not_run);
}

TEST_CASE("A non-idempotent request to a plain service is never preempted") {
  GateOptions options = Options(2, HeadroomWithPreemption());
  options.kind = BackendKind::kPlain;
  GateHarness gate(options);
  DispatchReceived once = GateHarness::Batch(1);
  once.request.idempotent = false;
  gate.Feed(once);
  gate.Feed(GateHarness::Batch(2));
  gate.Feed(GateHarness::Online(3));
  CHECK(gate.record(kOne).terminal_replies() == 0);
  REQUIRE(gate.record(kTwo).failures.size() == 1);
  CHECK(gate.record(kTwo).failures[0].reason == FailureReason::kPreempted);
  CHECK(gate.record(kTwo).failures[0].resume_token.empty());
  // A request whose response has been started is not preempted either.
  gate.Feed(EngineCallClosed{kTwo});
  gate.Feed(EngineResponseEnd{kThree});
  gate.Feed(GateHarness::Batch(4));
  const ExchangeKey begun = GateHarness::KeyOf("e1", 4);
  gate.Feed(EngineResponseHead{.key = begun, .status = 200});
  gate.Feed(GateHarness::Online(5));
  CHECK(gate.record(begun).terminal_replies() == 0);
}

TEST_CASE(
    "A plain service's truncated event stream is not passed on as "
    "complete") {
  const auto finish = [](const std::string& body, bool ends_with_connection) {
    GateOptions options = Options(1, HeadroomWithPreemption());
    options.kind = BackendKind::kPlain;
    GateHarness gate(options);
    gate.Feed(GateHarness::Online(1));
    gate.Feed(EngineResponseHead{
        .key = kOne,
        .status = 200,
        .headers = {{.name = "Content-Type", .value = "text/event-stream"}},
        .ends_with_connection = ends_with_connection});
    if (!body.empty()) {
      gate.Feed(EngineResponseChunk{kOne, body});
    }
    gate.Feed(EngineResponseEnd{kOne});
    REQUIRE(gate.record(kOne).terminal_replies() == 1);
    return gate.record(kOne).ends == 1;
  };
  const std::string whole = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n";
  CHECK(finish(whole, true));
  CHECK(finish("", false));
  CHECK_FALSE(finish("", true));
  for (size_t size = 1; size < whole.size(); ++size) {
    INFO("after " << size << " bytes");
    const std::string sent = whole.substr(0, size);
    CHECK(finish(sent, true) == sent.ends_with("a\n\n"));
  }
}

TEST_CASE("A request that arrives at a full queue is refused on arrival") {
  GateHarness gate(Options(1, HeadroomWithPreemption()));
  for (uint64_t i = 1; i <= 6; ++i) {
    gate.Feed(GateHarness::Online(i));
  }
  const ExchangeKey last = GateHarness::KeyOf("e1", 6);
  REQUIRE(gate.record(last).failures.size() == 1);
  CHECK(gate.record(last).failures[0].reason == FailureReason::kOverloaded);
}

TEST_CASE("A crash suspect runs alone on the backend server") {
  GateHarness gate(Options(4, HeadroomWithPreemption{.headroom = 0}));
  gate.Feed(GateHarness::Online(1));
  gate.Feed(GateHarness::Batch(2));
  DispatchReceived suspect = GateHarness::Online(3);
  suspect.request.alone = true;
  CHECK(gate.Feed(suspect).empty());
  CHECK(gate.record(kTwo).failures.at(0).reason == FailureReason::kPreempted);
  gate.Feed(EngineCallClosed{kTwo});
  gate.Head(kOne);
  gate.Feed(EngineResponseChunk{kOne, "data: [DONE]\n\n"});
  CHECK(gate.Feed(EngineResponseEnd{kOne}) == std::vector{kThree});
  CHECK(gate.Feed(GateHarness::Online(4)).empty());
  CHECK(gate.calls().size() == 1);
}

TEST_CASE("A stream without its final event fails the request") {
  GateHarness gate(Options(2, HeadroomWithPreemption{.headroom = 0}));
  gate.Feed(GateHarness::Online(1));
  gate.Feed(GateHarness::Batch(2));
  for (const ExchangeKey& key : {kOne, kTwo}) {
    gate.Head(key);
    gate.Feed(EngineResponseChunk{key, GateHarness::Events(1, 2, false)});
    gate.Feed(EngineResponseEnd{key});
    REQUIRE(gate.record(key).failures.size() == 1);
    CHECK(gate.record(key).failures[0].reason == FailureReason::kEngineFailed);
    CHECK_FALSE(gate.record(key).failures[0].not_run);
    CHECK(gate.record(key).ends == 0);
  }
}

TEST_CASE("A restarted entry gets no replies to exchanges of its predecessor") {
  GateHarness gate(Options(2, HeadroomWithPreemption()));
  gate.Feed(GateHarness::Online(1));
  gate.Feed(EntryLinkUp{VmId("e1"), Incarnation(2)});
  CHECK(gate.closing().size() == 1);
  gate.Head(kOne);
  gate.Feed(EngineCallClosed{kOne});
  CHECK(gate.record(kOne).heads == 0);
  CHECK(gate.record(kOne).terminal_replies() == 0);
}

TEST_CASE("Draining refuses queued batch requests and completes running ones") {
  GateHarness gate(Options(1, HeadroomWithPreemption{.headroom = 0}));
  gate.Feed(GateHarness::Batch(1));
  gate.Feed(GateHarness::Batch(2));
  gate.Feed(GateDrainRequested());
  CHECK(gate.announced().back().leaving);
  CHECK(gate.record(kTwo).failures.at(0).reason == FailureReason::kDraining);
  CHECK(gate.record(kTwo).failures.at(0).not_run);
  CHECK(gate.drained() == 0);
  gate.Head(kOne);
  gate.Feed(EngineResponseChunk{kOne, GateHarness::Events(1, 4, true)});
  gate.Feed(EngineResponseEnd{kOne});
  CHECK(gate.record(kOne).ends == 1);
  CHECK(gate.drained() == 1);
}

}  // namespace
}  // namespace cowslip
