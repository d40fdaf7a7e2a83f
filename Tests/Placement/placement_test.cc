#include <catch2/catch.hpp>

#include "Placement/aborted_run_tracker.h"
#include "Placement/admission_core.h"
#include "Placement/backend_directory.h"
#include "Placement/placement_core.h"
#include "Placement/wait_queue.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

const ServiceId kService("assistant");

MonotonicTime At(Duration since_start) {
  return MonotonicTime(100s + since_start);
}

BackendRecord Record(const char* id, const char* zone = "z1") {
  return {.id = BackendId(id),
          .service = kService,
          .address = Endpoint{.port = 80},
          .zone = ZoneId(zone),
          .slots = 4};
}

PlacementCore Placing(std::initializer_list<BackendRecord> records) {
  PlacementCore core({.self = VmId("vm-b"), .zone = ZoneId("z1")});
  for (const BackendRecord& record : records) {
    core.Handle(BackendAdded{record}, At(0s));
  }
  return core;
}

void Start(PlacementCore& core, const char* id, WorkClass work, int count) {
  for (int i = 0; i < count; ++i) {
    core.Handle(AttemptStarted{BackendId(id), work}, At(0s));
  }
}

const PlacementQuery kQuery{.service = kService};

TEST_CASE("The own availability zone goes first while it has a free slot") {
  PlacementCore core = Placing({Record("near"), Record("far", "z2")});
  Start(core, "near", WorkClass::kOnline, 3);
  CHECK(core.PlaceOnline(kQuery, At(0s)) == BackendId("near"));
  Start(core, "near", WorkClass::kOnline, 1);
  CHECK(core.PlaceOnline(kQuery, At(0s)) == BackendId("far"));
}

TEST_CASE("A draining, excluded or unknown backend server gets nothing") {
  PlacementCore core = Placing({Record("a")});
  BackendRecord draining = Record("a");
  draining.draining = true;
  core.Handle(BackendAdded{draining}, At(0s));
  CHECK_FALSE(core.PlaceOnline(kQuery, At(0s)).has_value());
  core.Handle(BackendAdded{Record("a")}, At(0s));
  PlacementQuery query = kQuery;
  query.exclude.insert(BackendId("a"));
  CHECK_FALSE(core.PlaceOnline(query, At(0s)).has_value());
  core.Handle(BackendRemoved{BackendId("a")}, At(0s));
  CHECK_FALSE(core.PlaceOnline(kQuery, At(0s)).has_value());
}

TEST_CASE("What the other processes have in flight counts until it is silent") {
  PlacementCore core = Placing({Record("a"), Record("b")});
  core.Handle(PeerInFlightReported{VmId("vm-a"), {{BackendId("a"), 3, 0}}},
              At(0s));
  CHECK(core.PlaceOnline(kQuery, At(0s)) == BackendId("b"));
  core.Handle(PeerInFlightReported{VmId("vm-a"), {{BackendId("b"), 3, 0}}},
              At(0s));
  CHECK(core.PlaceOnline(kQuery, At(0s)) == BackendId("a"));
  Start(core, "a", WorkClass::kOnline, 1);
  core.Handle(PeerInFlightCleared{VmId("vm-a")}, At(0s));
  CHECK(core.PlaceOnline(kQuery, At(0s)) == BackendId("b"));
}

TEST_CASE("Online requests queue only as far as they are allowed") {
  PlacementCore core = Placing({Record("a")});
  Start(core, "a", WorkClass::kOnline, 4);
  CHECK_FALSE(core.PlaceOnline(kQuery, At(0s)).has_value());
  PlacementQuery query = kQuery;
  query.queue_allowance = 1;
  CHECK(core.PlaceOnline(query, At(0s)).has_value());
}

TEST_CASE("Batch items leave slots free and give way when none is left") {
  PlacementCore core = Placing({Record("a")});
  CHECK(core.PlaceBatch(kQuery, At(0s)).has_value());
  Start(core, "a", WorkClass::kBatch, 2);
  CHECK_FALSE(core.PlaceBatch(kQuery, At(0s)).has_value());
  CHECK_FALSE(core.ShouldYieldBatch(BackendId("a")));
  Start(core, "a", WorkClass::kOnline, 2);
  CHECK(core.ShouldYieldBatch(BackendId("a")));
  // The online request does not wait for that.
  CHECK(core.PlaceOnline(kQuery, At(0s)).has_value());
}

TEST_CASE("Of two processes with batch items, one gives way at a time") {
  PlacementCore core = Placing({Record("a")});
  Start(core, "a", WorkClass::kBatch, 1);
  core.Handle(PeerInFlightReported{VmId("vm-a"), {{BackendId("a"), 2, 1}}},
              At(0s));
  CHECK_FALSE(core.ShouldYieldBatch(BackendId("a")));
  core.Handle(PeerInFlightReported{VmId("vm-a"), {}}, At(0s));
  core.Handle(PeerInFlightReported{VmId("vm-c"), {{BackendId("a"), 2, 1}}},
              At(0s));
  CHECK(core.ShouldYieldBatch(BackendId("a")));
}

void Fail(PlacementCore& core, const char* id, Duration at) {
  core.Handle(AttemptStarted{BackendId(id)}, At(at));
  core.Handle(
      AttemptEnded{BackendId(id), WorkClass::kOnline, AttemptOutcome::kFailed},
      At(at));
}

TEST_CASE("A backend server that fails twice in a row is passed over a while") {
  PlacementCore core = Placing({Record("a")});
  Fail(core, "a", 0s);
  CHECK(core.PlaceOnline(kQuery, At(0s)).has_value());
  Fail(core, "a", 0s);
  CHECK_FALSE(core.PlaceOnline(kQuery, At(0s)).has_value());
  CHECK(core.PlaceOnline(kQuery, At(1001ms)).has_value());
  for (int i = 0; i < 20; ++i) {
    Fail(core, "a", 2s);
  }
  CHECK_FALSE(core.PlaceOnline(kQuery, At(5900ms)).has_value());
  CHECK(core.PlaceOnline(kQuery, At(6001ms)).has_value());
}

TEST_CASE("A new incarnation begins without the old one's failures") {
  PlacementCore core = Placing({Record("a")});
  Fail(core, "a", 0s);
  Fail(core, "a", 0s);
  BackendRecord again = Record("a");
  again.started_at_ms = 7;
  core.Handle(BackendAdded{again}, At(0s));
  CHECK(core.PlaceOnline(kQuery, At(0s)) == BackendId("a"));
}

TEST_CASE("A slow backend server is used only when the others are full") {
  PlacementCore core = Placing({Record("a"), Record("b"), Record("c")});
  for (const char* id : {"a", "b", "c"}) {
    const Duration pace = std::string(id) == "a" ? 100ms : 20ms;
    core.Handle(EventIntervalMeasured{BackendId(id), pace}, At(0s));
  }
  Start(core, "b", WorkClass::kOnline, 3);
  Start(core, "c", WorkClass::kOnline, 3);
  CHECK(core.PlaceOnline(kQuery, At(0s)) != BackendId("a"));
  Start(core, "b", WorkClass::kOnline, 1);
  Start(core, "c", WorkClass::kOnline, 1);
  CHECK(core.PlaceOnline(kQuery, At(0s)) == BackendId("a"));
}

TEST_CASE("Requests with a common prompt meet at one backend server") {
  PlacementCore core = Placing({Record("a"), Record("b"), Record("c")});
  PlacementQuery query = kQuery;
  query.shared_prompt = "5c1e07a2:800";
  const auto first = core.PlaceOnline(query, At(0s));
  for (int i = 0; i < 5; ++i) {
    CHECK(core.PlaceOnline(query, At(0s)) == first);
  }
}

TEST_CASE("A removal counts at once, but not around an outage of the store") {
  BackendDirectory directory{BackendDirectoryOptions{}};
  directory.Handle(BackendsListed{{Record("a"), Record("b")}}, At(0s));
  CHECK(directory.Handle(BackendEntryRemoved{BackendId("b")}, At(1s)).size() ==
        1);
  directory.Handle(DirectoryStoreLost{}, At(2s));
  directory.Handle(DirectoryStoreRegained{}, At(10s));
  // The entry lapsed meanwhile.
  CHECK(directory.Handle(BackendsListed{{}}, At(10s)).empty());
  CHECK(directory.Handle(DirectoryTick{}, At(12s)).empty());
  SECTION("It comes back in time") {
    directory.Handle(BackendEntryWritten{Record("a")}, At(12s));
    CHECK(directory.Handle(DirectoryTick{}, At(20s)).empty());
    CHECK(directory.size() == 1);
  }
  SECTION("It does not come back") {
    CHECK(directory.Handle(DirectoryTick{}, At(12400ms)).size() == 1);
    CHECK(directory.size() == 0);
  }
}

TEST_CASE("A backend server that was draining is not kept over an outage") {
  BackendDirectory directory{BackendDirectoryOptions{}};
  BackendRecord draining = Record("a");
  draining.draining = true;
  directory.Handle(BackendsListed{{draining}}, At(0s));
  directory.Handle(DirectoryStoreLost{}, At(1s));
  CHECK(directory.Handle(BackendEntryRemoved{BackendId("a")}, At(2s)).size() ==
        1);
}

AdmissionRequested Asked(uint32_t backends, uint32_t waiting) {
  return AdmissionRequested{.load = {.backends = backends,
                                     .slots = backends * 8,
                                     .first_event = 40ms,
                                     .slot_time = 640ms},
                            .target = 300ms,
                            .left = 5s,
                            .members = 5,
                            .waiting = waiting};
}

TEST_CASE("What cannot be served is refused at once, with a time to return") {
  AdmissionCore core{AdmissionOptions{}};
  const AdmissionDecision none = core.Handle(Asked(0, 0));
  REQUIRE(std::holds_alternative<RejectRequest>(none));
  CHECK(std::get<RejectRequest>(none).retry_after > Duration::zero());
  CHECK(std::holds_alternative<AdmitToQueue>(core.Handle(Asked(9, 0))));
  CHECK(std::holds_alternative<RejectRequest>(core.Handle(Asked(9, 10))));
}

TEST_CASE("Callers are sent back at different times, and while they can wait") {
  AdmissionCore core{AdmissionOptions{}};
  std::set<Duration> times;
  for (int i = 0; i < 50; ++i) {
    const Duration time = core.ReturnTime(5s);
    CHECK(time >= 400ms);
    CHECK(time <= 1500ms);
    times.insert(time);
  }
  CHECK(times.size() > 40);
  CHECK(core.ReturnTime(300ms) <= 100ms);
}

TEST_CASE("A request queues at a backend server only if it stays in time") {
  AdmissionCore core{AdmissionOptions{}};
  const AdmissionDecision fast = core.Handle(Asked(9, 0));
  CHECK(std::get<AdmitToQueue>(fast).queue_allowance == 1);
  AdmissionRequested slow = Asked(9, 0);
  slow.load.slot_time = 3s;
  const AdmissionDecision none = core.Handle(slow);
  CHECK(std::get<AdmitToQueue>(none).queue_allowance == 0);
}

TEST_CASE("The most urgent waiter gets the next slot, and late ones expire") {
  PlacementCore placing = Placing({Record("a")});
  Start(placing, "a", WorkClass::kOnline, 4);
  WaitQueue waiting(placing);
  const auto wait = [&](uint64_t ticket, int rank, Duration until) {
    const WaitQueueEvent began =
        RequestEnqueued{WaitingRequest{.ticket = TicketId(ticket),
                                       .query = kQuery,
                                       .rank = rank,
                                       .give_up_at = At(until)}};
    return waiting.Handle(began, At(0s));
  };
  CHECK(wait(1, 2, 60ms).empty());
  CHECK(wait(2, 0, 60ms).empty());
  CHECK(wait(3, 0, 50ms).empty());
  placing.Handle(AttemptEnded{BackendId("a"), WorkClass::kOnline,
                              AttemptOutcome::kCompleted},
                 At(10ms));
  auto actions = waiting.Handle(QueuePollDue{}, At(10ms));
  REQUIRE(actions.size() == 1);
  CHECK(std::get<RequestPlaced>(actions[0]).ticket == TicketId(3));
  Start(placing, "a", WorkClass::kOnline, 1);
  waiting.Handle(RequestAbandoned{TicketId(2)}, At(20ms));
  actions = waiting.Handle(QueuePollDue{}, At(60ms));
  REQUIRE(actions.size() == 1);
  CHECK(std::get<RequestExpired>(actions[0]).ticket == TicketId(1));
  CHECK(waiting.size() == 0);
}

const Fingerprint kPrint("f");

TEST_CASE(
    "Broken runs add up over the processes until the request is harmful") {
  AbortedRunTracker ledger({});
  ledger.Handle(RunAborted{kPrint}, At(0s));
  ledger.Handle(RunAborted{kPrint}, At(1s));
  CHECK_FALSE(ledger.IsHarmful(kPrint, At(1s)));
  const PeerAbortedRunsReported report{VmId("vm-c"), {{kPrint, 1}}};
  ledger.Handle(report, At(2s));
  CHECK(ledger.IsHarmful(kPrint, At(2s)));
  CHECK_FALSE(ledger.IsHarmful(Fingerprint("g"), At(2s)));
  CHECK_FALSE(ledger.IsHarmful(kPrint, At(20min)));
}

TEST_CASE("A report that is repeated counts once") {
  AbortedRunTracker ledger({});
  for (int i = 0; i < 5; ++i) {
    ledger.Handle(PeerAbortedRunsReported{VmId("vm-c"), {{kPrint, 2}}}, At(0s));
  }
  CHECK_FALSE(ledger.IsHarmful(kPrint, At(0s)));
}

TEST_CASE("A whole run clears the request") {
  AbortedRunTracker ledger({});
  for (int i = 0; i < 3; ++i) {
    ledger.Handle(RunAborted{kPrint}, At(0s));
  }
  CHECK(ledger.IsHarmful(kPrint, At(0s)));
  ledger.Handle(RunCompleted{kPrint}, At(1s));
  CHECK_FALSE(ledger.IsHarmful(kPrint, At(1s)));
}

TEST_CASE("Only newly broken runs are reported, and memory is bounded") {
  AbortedRunTracker ledger({.max_reported = 2, .max_records = 3});
  for (int i = 0; i < 5; ++i) {
    const Duration since_start = std::chrono::seconds(i);
    ledger.Handle(RunAborted{Fingerprint(std::to_string(i))}, At(since_start));
  }
  const auto recent = ledger.Recent(At(4s));
  REQUIRE(recent.size() == 2);
  CHECK(recent[0].fingerprint == Fingerprint("4"));
  CHECK(ledger.Recent(At(30s)).empty());
  CHECK_FALSE(ledger.empty());
}

}  // namespace
}  // namespace cowslip
