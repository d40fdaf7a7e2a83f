#include "Requests/request_core.h"

#include <catch2/catch.hpp>

namespace cowslip {
namespace {

using namespace std::chrono_literals;

const ServiceId kService("catalogue");

// One core with two backend servers, and the actions of the last event.
class Bench {
 public:
  Bench() : m_core({.routing = {.zone = ZoneId("a")}}) {
    for (const char* vm : {"b1", "b2"}) {
      AddBackend(VmId(vm));
    }
  }

  void AddBackend(const VmId& vm) {
    Feed(BackendLinkUp{vm});
    Feed(ReplyReceived{vm, BackendStatus{.service = kService,
                                         .zone = ZoneId("a"),
                                         .load = {.slots = 4}}});
  }

  void Feed(const RequestEvent& event) { actions = m_core.Handle(event, now); }

  template <class Message>
  void Reply(Message message) {
    message.exchange = dispatch.exchange;
    Feed(ReplyReceived{vm, message});
    Track();
  }

  void Arrive(bool idempotent, std::string key = "") {
    Feed(RequestArrived{.request = RequestId(1),
                        .service = kService,
                        .organisation = OrganisationId("studio"),
                        .body = "{}",
                        .idempotent = idempotent,
                        .rate_limited = false,
                        .idempotency_key = std::move(key),
                        .timeout = 10s});
    Track();
  }

  // Remembers the last dispatch.
  void Track() {
    for (const RequestAction& action : actions) {
      const auto* sent = std::get_if<SendToBackend>(&action);
      if (sent == nullptr ||
          !std::holds_alternative<DispatchRequest>(sent->message)) {
        continue;
      }
      vm = sent->vm;
      dispatch = std::get<DispatchRequest>(sent->message);
      ++dispatches;
    }
  }

  template <class Action>
  const Action* Find() const {
    for (const RequestAction& action : actions) {
      if (const auto* found = std::get_if<Action>(&action)) {
        return found;
      }
    }
    return nullptr;
  }

  MonotonicTime now{1h};
  std::vector<RequestAction> actions;
  VmId vm;
  DispatchRequest dispatch;
  int dispatches = 0;

 private:
  RequestCore m_core;
};

TEST_CASE(
    "A failure that may have run is not retried on a route that is not "
    "idempotent") {
  Bench bench;
  bench.Arrive(false);
  bench.Reply(ExchangeFailed{.not_run = false});
  CHECK(bench.dispatches == 1);
  REQUIRE(bench.Find<RespondProblem>() != nullptr);
  CHECK_FALSE(bench.Find<RespondProblem>()->problem.not_run);
}

TEST_CASE("A failure that surely did not run goes to another backend server") {
  Bench bench;
  bench.Arrive(false);
  const VmId first = bench.vm;
  bench.Reply(ExchangeFailed{.not_run = true});
  CHECK(bench.dispatches == 2);
  CHECK(bench.vm != first);
}

TEST_CASE("An idempotent request is retried only before its first byte") {
  Bench bench;
  bench.Arrive(true);
  bench.Reply(ResponseHead{.status = 200});
  CHECK(bench.Find<RespondHead>() == nullptr);
  bench.Reply(ExchangeFailed{});
  CHECK(bench.dispatches == 2);
  bench.Reply(ResponseHead{.status = 200});
  bench.Reply(ResponseChunk{.sequence = 0, .data = "x"});
  CHECK(bench.Find<RespondHead>() != nullptr);
  bench.Reply(ExchangeFailed{});
  CHECK(bench.dispatches == 2);
  CHECK(bench.Find<AbortResponse>() != nullptr);
}

TEST_CASE("A late answer of an abandoned attempt is dropped") {
  Bench bench;
  bench.Arrive(true);
  const ExchangeId old = bench.dispatch.exchange;
  const VmId old_vm = bench.vm;
  bench.Feed(BackendLinkDown{old_vm});
  bench.Track();
  CHECK(bench.dispatches == 2);
  bench.Feed(ReplyReceived{old_vm, ResponseHead{old, 200, {}}});
  bench.Feed(ReplyReceived{old_vm, ResponseChunk{old, 0, "stale"}});
  CHECK(bench.actions.empty());
}

TEST_CASE("A lost piece never becomes a short success") {
  Bench bench;
  bench.Arrive(true);
  bench.Reply(ResponseHead{.status = 200});
  bench.Reply(ResponseChunk{.sequence = 0, .data = "a"});
  bench.Reply(ResponseEnd{.chunks = 2});
  CHECK(bench.Find<RespondEnd>() == nullptr);
  CHECK(bench.Find<AbortResponse>() != nullptr);
}

TEST_CASE(
    "A claim is won before a keyed request runs, and freed if it did "
    "not") {
  Bench bench;
  bench.Arrive(false, "order-7");
  CHECK(bench.dispatches == 0);
  REQUIRE(bench.Find<ClaimIdempotencyKey>() != nullptr);
  bench.Feed(ClaimGranted{RequestId(1)});
  bench.Track();
  CHECK(bench.dispatches == 1);
  bench.Reply(
      ExchangeFailed{.reason = FailureReason::kBadRequest, .not_run = true});
  CHECK(bench.Find<ReleaseClaim>() != nullptr);
}

TEST_CASE("A lost claim is refused without saying that it has not run") {
  Bench bench;
  bench.Arrive(false, "order-7");
  bench.Feed(ClaimRejected{RequestId(1)});
  REQUIRE(bench.Find<RespondProblem>() != nullptr);
  CHECK_FALSE(bench.Find<RespondProblem>()->problem.not_run);
}

TEST_CASE(
    "A request that crashes backend servers is quarantined after a "
    "second crash, alone") {
  Bench bench;
  bench.Arrive(true);
  CHECK_FALSE(bench.dispatch.alone);
  bench.Reply(ExchangeFailed{.suspect = true});
  CHECK(bench.dispatches == 2);
  CHECK(bench.dispatch.alone);
  bench.Reply(ExchangeFailed{.suspect = true});
  CHECK(bench.dispatches == 2);
  CHECK(bench.Find<BroadcastCrashReport>()->report.quarantined);
  bench.Arrive(true);
  CHECK(bench.dispatches == 2);
  REQUIRE(bench.Find<RespondProblem>() != nullptr);
  CHECK(bench.Find<RespondProblem>()->problem.not_run);
}

TEST_CASE("An innocent request beside a crash runs alone and is cleared") {
  Bench bench;
  bench.Arrive(true);
  bench.Reply(ExchangeFailed{.suspect = true});
  CHECK(bench.dispatch.alone);
  bench.Reply(ResponseHead{.status = 200});
  bench.Reply(ResponseEnd{.chunks = 0});
  REQUIRE(bench.Find<BroadcastCrashReport>() != nullptr);
  CHECK(bench.Find<BroadcastCrashReport>()->report.cleared);
  bench.Arrive(true);
  CHECK_FALSE(bench.dispatch.alone);
}

TEST_CASE("A passed deadline cancels the attempt and answers at once") {
  Bench bench;
  bench.Arrive(true);
  bench.now += 11s;
  bench.Feed(RequestTick{});
  CHECK(bench.Find<SendToBackend>() != nullptr);
  REQUIRE(bench.Find<RespondProblem>() != nullptr);
  CHECK(bench.Find<RespondProblem>()->problem.kind ==
        ProblemKind::kDeadlinePassed);
  CHECK_FALSE(bench.Find<RespondProblem>()->problem.not_run);
}

TEST_CASE("A leaving backend server gets no new work") {
  Bench bench;
  bench.Feed(BackendLeavingChanged{VmId("b1"), true});
  for (int i = 0; i < 20; ++i) {
    bench.Arrive(true);
    CHECK(bench.vm == VmId("b2"));
    bench.Feed(RequestCancelled{RequestId(1)});
  }
}

}  // namespace
}  // namespace cowslip
