#include "Requests/request_core.h"

#include <catch2/catch.hpp>

namespace cowslip {
namespace {

using namespace std::chrono_literals;

const ServiceId kService("catalogue");

// A core with two backend servers. Keeps the actions of the last event and the
// last dispatch.
class CoreFixture {
 public:
  CoreFixture() : m_core({.routing = {.zone = ZoneId("a")}}) {
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
                        .has_rate_limit = false,
                        .idempotency_key = std::move(key),
                        .timeout = 10s});
    Track();
  }

  void ArriveBatch() {
    Feed(RequestArrived{.request = RequestId(1),
                        .work = WorkClass::kBatch,
                        .service = kService,
                        .organisation = OrganisationId("studio"),
                        .body = "{}",
                        .idempotent = true,
                        .has_rate_limit = false,
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
    "A non-idempotent request that may have run is not retried after a "
    "failure") {
  CoreFixture fixture;
  fixture.Arrive(false);
  fixture.Reply(ExchangeFailed{.not_run = false});
  CHECK(fixture.dispatches == 1);
  REQUIRE(fixture.Find<RespondProblem>() != nullptr);
  CHECK_FALSE(fixture.Find<RespondProblem>()->problem.not_run);
}

TEST_CASE("A request that has not run is retried on another backend server") {
  CoreFixture fixture;
  fixture.Arrive(false);
  const VmId first = fixture.vm;
  fixture.Reply(ExchangeFailed{.not_run = true});
  CHECK(fixture.dispatches == 2);
  CHECK(fixture.vm != first);
}

TEST_CASE(
    "An idempotent request is retried only before its first response byte") {
  CoreFixture fixture;
  fixture.Arrive(true);
  fixture.Reply(ResponseHead{.status = 200});
  CHECK(fixture.Find<RespondHead>() == nullptr);
  fixture.Reply(ExchangeFailed{});
  CHECK(fixture.dispatches == 2);
  fixture.Reply(ResponseHead{.status = 200});
  fixture.Reply(ResponseChunk{.sequence = 0, .data = "x"});
  CHECK(fixture.Find<RespondHead>() != nullptr);
  fixture.Reply(ExchangeFailed{});
  CHECK(fixture.dispatches == 2);
  CHECK(fixture.Find<AbortResponse>() != nullptr);
}

TEST_CASE("A late reply to an abandoned attempt is dropped") {
  CoreFixture fixture;
  fixture.Arrive(true);
  const ExchangeId old = fixture.dispatch.exchange;
  const VmId old_vm = fixture.vm;
  fixture.Feed(BackendLinkDown{old_vm});
  fixture.Track();
  CHECK(fixture.dispatches == 2);
  fixture.Feed(ReplyReceived{old_vm, ResponseHead{old, 200, {}}});
  fixture.Feed(ReplyReceived{old_vm, ResponseChunk{old, 0, "stale"}});
  CHECK(fixture.actions.empty());
}

TEST_CASE("A response with a lost chunk is aborted, not completed") {
  CoreFixture fixture;
  fixture.Arrive(true);
  fixture.Reply(ResponseHead{.status = 200});
  fixture.Reply(ResponseChunk{.sequence = 0, .data = "a"});
  fixture.Reply(ResponseEnd{.chunks = 2});
  CHECK(fixture.Find<RespondEnd>() == nullptr);
  CHECK(fixture.Find<AbortResponse>() != nullptr);
}

TEST_CASE(
    "An idempotency key is claimed before the request runs and released "
    "if it did not run") {
  CoreFixture fixture;
  fixture.Arrive(false, "order-7");
  CHECK(fixture.dispatches == 0);
  REQUIRE(fixture.Find<ClaimIdempotencyKey>() != nullptr);
  fixture.Feed(ClaimGranted{RequestId(1)});
  fixture.Track();
  CHECK(fixture.dispatches == 1);
  fixture.Reply(
      ExchangeFailed{.reason = FailureReason::kBadRequest, .not_run = true});
  CHECK(fixture.Find<ReleaseClaim>() != nullptr);
}

TEST_CASE("A request whose claim is rejected is not reported as not run") {
  CoreFixture fixture;
  fixture.Arrive(false, "order-7");
  fixture.Feed(ClaimRejected{RequestId(1)});
  REQUIRE(fixture.Find<RespondProblem>() != nullptr);
  CHECK_FALSE(fixture.Find<RespondProblem>()->problem.not_run);
}

TEST_CASE(
    "A request is quarantined after a second crash of a backend server on "
    "which it ran alone") {
  CoreFixture fixture;
  fixture.Arrive(true);
  CHECK_FALSE(fixture.dispatch.alone);
  fixture.Reply(ExchangeFailed{.suspect = true});
  CHECK(fixture.dispatches == 2);
  CHECK(fixture.dispatch.alone);
  fixture.Reply(ExchangeFailed{.suspect = true});
  CHECK(fixture.dispatches == 2);
  CHECK(fixture.Find<BroadcastCrashReport>()->report.quarantined);
  fixture.Arrive(true);
  CHECK(fixture.dispatches == 2);
  REQUIRE(fixture.Find<RespondProblem>() != nullptr);
  CHECK(fixture.Find<RespondProblem>()->problem.not_run);
}

TEST_CASE("A batch item under which backend servers crash is not quarantined") {
  CoreFixture fixture;
  for (int crash = 0; crash < 4; ++crash) {
    fixture.ArriveBatch();
    CHECK(fixture.dispatches == crash + 1);
    // It runs alone, so that it takes no other request with it.
    CHECK(fixture.dispatch.alone == (crash > 0));
    fixture.Reply(ExchangeFailed{.suspect = true});
    REQUIRE(fixture.Find<RespondProblem>() != nullptr);
    CHECK(fixture.Find<RespondProblem>()->problem.kind ==
          ProblemKind::kBackendFailed);
    CHECK(fixture.Find<RespondProblem>()->backend_lost);
    CHECK_FALSE(fixture.Find<BroadcastCrashReport>()->report.quarantined);
  }
}

TEST_CASE("A suspect that runs alone without a crash is cleared") {
  CoreFixture fixture;
  fixture.Arrive(true);
  fixture.Reply(ExchangeFailed{.suspect = true});
  CHECK(fixture.dispatch.alone);
  fixture.Reply(ResponseHead{.status = 200});
  fixture.Reply(ResponseEnd{.chunks = 0});
  REQUIRE(fixture.Find<BroadcastCrashReport>() != nullptr);
  CHECK(fixture.Find<BroadcastCrashReport>()->report.cleared);
  fixture.Arrive(true);
  CHECK_FALSE(fixture.dispatch.alone);
}

TEST_CASE("An expired deadline cancels the attempt and fails the request") {
  CoreFixture fixture;
  fixture.Arrive(true);
  fixture.now += 11s;
  fixture.Feed(RequestTick{});
  CHECK(fixture.Find<SendToBackend>() != nullptr);
  REQUIRE(fixture.Find<RespondProblem>() != nullptr);
  CHECK(fixture.Find<RespondProblem>()->problem.kind ==
        ProblemKind::kDeadlinePassed);
  CHECK_FALSE(fixture.Find<RespondProblem>()->problem.not_run);
}

TEST_CASE("A leaving backend server gets no new work") {
  CoreFixture fixture;
  fixture.Feed(BackendLeavingChanged{VmId("b1"), true});
  for (int i = 0; i < 20; ++i) {
    fixture.Arrive(true);
    CHECK(fixture.vm == VmId("b2"));
    fixture.Feed(RequestCancelled{RequestId(1)});
  }
}

}  // namespace
}  // namespace cowslip
