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

PlacementCore MakePlacement(std::initializer_list<BackendRecord> records) {
  PlacementCore core({.self = VmId("vm-b"), .zone = ZoneId("z1")});
  for (const BackendRecord& record : records) {
    core.Handle(BackendAdded{record}, At(0s));
  }
  return core;
}

void StartAttempts(PlacementCore& core,
                   const char* id,
                   WorkClass work,
                   int count) {
  for (int i = 0; i < count; ++i) {
    core.Handle(AttemptStarted{BackendId(id), work}, At(0s));
  }
}

const PlacementQuery kQuery{.service = kService};

TEST_CASE("The local availability zone is preferred while it has a free slot") {
  PlacementCore core = MakePlacement({Record("near"), Record("far", "z2")});
  StartAttempts(core, "near", WorkClass::kOnline, 3);
  CHECK(core.PlaceOnline(kQuery, At(0s)) == BackendId("near"));
  StartAttempts(core, "near", WorkClass::kOnline, 1);
  CHECK(core.PlaceOnline(kQuery, At(0s)) == BackendId("far"));
}

// Guards against a request that leaves its home regions because they are full,
// slow or gone, or through a zone whose region is not known.
TEST_CASE("A request is placed only in its home regions") {
  PlacementCore core({.self = VmId("vm-b"),
                      .zone = ZoneId("z1"),
                      .zone_regions = {{ZoneId("z1"), RegionId("north")},
                                       {ZoneId("z2"), RegionId("south")}}});
  core.Handle(BackendAdded{Record("north", "z1")}, At(0s));
  core.Handle(BackendAdded{Record("unknown", "z3")}, At(0s));
  PlacementQuery query = kQuery;
  query.home_regions = HomeRegions(std::set<RegionId>{RegionId("south")});
  CHECK_FALSE(core.PlaceOnline(query, At(0s)).has_value());
  CHECK(core.Load(query, At(0s)).backends == 0);
  core.Handle(BackendAdded{Record("south", "z2")}, At(0s));
  CHECK(core.PlaceOnline(query, At(0s)) == BackendId("south"));
  CHECK(core.PlaceBatch(query, At(0s)) == BackendId("south"));
  CHECK(core.Load(query, At(0s)).slots == 4);
  CHECK(core.Load(kQuery, At(0s)).slots == 12);
  CHECK(core.Serves(kService, SoftwareVersion(), query.home_regions));
  StartAttempts(core, "south", WorkClass::kOnline, 4);
  CHECK_FALSE(core.PlaceOnline(query, At(0s)).has_value());
  CHECK_FALSE(core.PlaceBatch(query, At(0s)).has_value());
  core.Handle(BackendRemoved{BackendId("south")}, At(0s));
  CHECK_FALSE(core.Serves(kService, SoftwareVersion(), query.home_regions));
  CHECK(core.Serves(kService, SoftwareVersion()));
}

TEST_CASE("A request that resumes a stream is placed only at its version") {
  BackendRecord older = Record("a");
  older.version = SoftwareVersion("v1");
  BackendRecord newer = Record("b");
  newer.version = SoftwareVersion("v2");
  PlacementCore core = MakePlacement({older, newer});
  PlacementQuery query = kQuery;
  query.version = older.version;
  CHECK(core.PlaceOnline(query, At(0s)) == BackendId("a"));
  CHECK(core.PlaceBatch(query, At(0s)) == BackendId("a"));
  CHECK(core.Load(query, At(0s)).slots == 4);
  CHECK(core.Load(kQuery, At(0s)).slots == 8);
  StartAttempts(core, "a", WorkClass::kOnline, 4);
  CHECK_FALSE(core.PlaceOnline(query, At(0s)).has_value());
  CHECK(core.Serves(kService, older.version));
  older.draining = true;
  core.Handle(BackendAdded{older}, At(0s));
  CHECK_FALSE(core.Serves(kService, older.version));
  CHECK(core.Load(query, At(0s)).backends == 0);
}

TEST_CASE(
    "A backend server that may have restarted at another version resumes "
    "nothing until its entry is current") {
  BackendRecord record = Record("a");
  record.version = SoftwareVersion("v1");
  PlacementCore core = MakePlacement({record});
  PlacementQuery query = kQuery;
  query.version = record.version;
  StartAttempts(core, "a", WorkClass::kOnline, 1);
  core.Handle(
      AttemptEnded{BackendId("a"), WorkClass::kOnline, AttemptOutcome::kFailed},
      At(0s));
  CHECK_FALSE(core.PlaceOnline(query, At(1s)).has_value());
  CHECK(core.PlaceOnline(kQuery, At(1s)).has_value());
  CHECK(core.PlaceOnline(query, At(5s)).has_value());
  core.Handle(
      AttemptEnded{BackendId("a"), WorkClass::kOnline, AttemptOutcome::kFailed},
      At(6s));
  record.started_at_ms = 7;
  core.Handle(BackendAdded{record}, At(7s));
  CHECK(core.PlaceOnline(query, At(7s)).has_value());
}

TEST_CASE(
    "An incarnation that leaves is not selected, also when it is listed") {
  BackendRecord record = Record("a");
  record.started_at_ms = 5;
  PlacementCore core = MakePlacement({record});
  core.Handle(BackendLeaving{BackendId("a"), 4}, At(0s));
  CHECK(core.PlaceOnline(kQuery, At(0s)).has_value());
  core.Handle(BackendLeaving{BackendId("a"), 5}, At(0s));
  CHECK_FALSE(core.PlaceOnline(kQuery, At(0s)).has_value());
  CHECK_FALSE(core.PlaceBatch(kQuery, At(0s)).has_value());
  CHECK(core.Load(kQuery, At(0s)).backends == 0);
  core.Handle(BackendRemoved{BackendId("a")}, At(1s));
  core.Handle(BackendAdded{record}, At(2s));
  CHECK_FALSE(core.PlaceOnline(kQuery, At(2s)).has_value());
  record.started_at_ms = 6;
  core.Handle(BackendAdded{record}, At(3s));
  CHECK(core.PlaceOnline(kQuery, At(3s)).has_value());
}

TEST_CASE("A draining, excluded or removed backend server is not selected") {
  PlacementCore core = MakePlacement({Record("a")});
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

TEST_CASE("Requests in flight of another process count until it is silent") {
  PlacementCore core = MakePlacement({Record("a"), Record("b")});
  core.Handle(PeerInFlightReported{VmId("vm-a"), {{BackendId("a"), 3, 0}}},
              At(0s));
  CHECK(core.PlaceOnline(kQuery, At(0s)) == BackendId("b"));
  core.Handle(PeerInFlightReported{VmId("vm-a"), {{BackendId("b"), 3, 0}}},
              At(0s));
  CHECK(core.PlaceOnline(kQuery, At(0s)) == BackendId("a"));
  StartAttempts(core, "a", WorkClass::kOnline, 1);
  core.Handle(PeerInFlightCleared{VmId("vm-a")}, At(0s));
  CHECK(core.PlaceOnline(kQuery, At(0s)) == BackendId("b"));
}

TEST_CASE("Online requests exceed the slots only by the queue allowance") {
  PlacementCore core = MakePlacement({Record("a")});
  StartAttempts(core, "a", WorkClass::kOnline, 4);
  CHECK_FALSE(core.PlaceOnline(kQuery, At(0s)).has_value());
  PlacementQuery query = kQuery;
  query.queue_allowance = 1;
  CHECK(core.PlaceOnline(query, At(0s)).has_value());
}

TEST_CASE("Batch items leave slots free and are preempted when none is left") {
  PlacementCore core = MakePlacement({Record("a")});
  CHECK(core.PlaceBatch(kQuery, At(0s)).has_value());
  StartAttempts(core, "a", WorkClass::kBatch, 2);
  CHECK_FALSE(core.PlaceBatch(kQuery, At(0s)).has_value());
  CHECK_FALSE(core.ShouldPreemptBatch(BackendId("a")));
  StartAttempts(core, "a", WorkClass::kOnline, 2);
  CHECK(core.ShouldPreemptBatch(BackendId("a")));
  // The online request is placed without waiting for the preemption.
  CHECK(core.PlaceOnline(kQuery, At(0s)).has_value());
}

TEST_CASE("Of two processes with batch items, one preempts at a time") {
  PlacementCore core = MakePlacement({Record("a")});
  StartAttempts(core, "a", WorkClass::kBatch, 1);
  core.Handle(PeerInFlightReported{VmId("vm-a"), {{BackendId("a"), 2, 1}}},
              At(0s));
  CHECK_FALSE(core.ShouldPreemptBatch(BackendId("a")));
  core.Handle(PeerInFlightReported{VmId("vm-a"), {}}, At(0s));
  core.Handle(PeerInFlightReported{VmId("vm-c"), {{BackendId("a"), 2, 1}}},
              At(0s));
  CHECK(core.ShouldPreemptBatch(BackendId("a")));
}

void FailAttempt(PlacementCore& core, const char* id, Duration at) {
  core.Handle(AttemptStarted{BackendId(id)}, At(at));
  core.Handle(
      AttemptEnded{BackendId(id), WorkClass::kOnline, AttemptOutcome::kFailed},
      At(at));
}

TEST_CASE("A backend server that fails twice in a row is skipped for a time") {
  PlacementCore core = MakePlacement({Record("a")});
  FailAttempt(core, "a", 0s);
  CHECK(core.PlaceOnline(kQuery, At(0s)).has_value());
  FailAttempt(core, "a", 0s);
  CHECK_FALSE(core.PlaceOnline(kQuery, At(0s)).has_value());
  CHECK(core.PlaceOnline(kQuery, At(1001ms)).has_value());
  for (int i = 0; i < 20; ++i) {
    FailAttempt(core, "a", 2s);
  }
  CHECK_FALSE(core.PlaceOnline(kQuery, At(5900ms)).has_value());
  CHECK(core.PlaceOnline(kQuery, At(6001ms)).has_value());
}

TEST_CASE("A new incarnation starts without the failures of the old one") {
  PlacementCore core = MakePlacement({Record("a")});
  FailAttempt(core, "a", 0s);
  FailAttempt(core, "a", 0s);
  BackendRecord again = Record("a");
  again.started_at_ms = 7;
  core.Handle(BackendAdded{again}, At(0s));
  CHECK(core.PlaceOnline(kQuery, At(0s)) == BackendId("a"));
}

TEST_CASE("A slow backend server is used only when the others are full") {
  PlacementCore core = MakePlacement({Record("a"), Record("b"), Record("c")});
  for (const char* id : {"a", "b", "c"}) {
    const Duration event_interval = std::string(id) == "a" ? 100ms : 20ms;
    core.Handle(EventIntervalMeasured{BackendId(id), event_interval}, At(0s));
  }
  StartAttempts(core, "b", WorkClass::kOnline, 3);
  StartAttempts(core, "c", WorkClass::kOnline, 3);
  CHECK(core.PlaceOnline(kQuery, At(0s)) != BackendId("a"));
  StartAttempts(core, "b", WorkClass::kOnline, 1);
  StartAttempts(core, "c", WorkClass::kOnline, 1);
  CHECK(core.PlaceOnline(kQuery, At(0s)) == BackendId("a"));
}

TEST_CASE("Requests with a shared prompt prefer the same backend server") {
  PlacementCore core = MakePlacement({Record("a"), Record("b"), Record("c")});
  PlacementQuery query = kQuery;
  query.shared_prompt = "5c1e07a2:800";
  const auto first = core.PlaceOnline(query, At(0s));
  for (int i = 0; i < 5; ++i) {
    CHECK(core.PlaceOnline(query, At(0s)) == first);
  }
}

TEST_CASE(
    "A removal takes effect at once except around an outage of the store") {
  BackendDirectory directory{BackendDirectoryOptions{}};
  directory.Handle(BackendEntryWritten{Record("a")}, At(0s));
  directory.Handle(BackendEntryWritten{Record("b")}, At(0s));
  CHECK(directory.Handle(BackendEntryRemoved{BackendId("b")}, At(1s)).size() ==
        1);
  directory.Handle(DirectoryStoreLost{}, At(2s));
  directory.Handle(DirectoryStoreRegained{}, At(10s));
  // The entry expired during the outage.
  CHECK(directory.Handle(BackendEntryRemoved{BackendId("a")}, At(10s)).empty());
  CHECK(directory.Handle(DirectoryTick{}, At(12s)).empty());
  SECTION("The entry is registered again in time") {
    directory.Handle(BackendEntryWritten{Record("a")}, At(12s));
    CHECK(directory.Handle(DirectoryTick{}, At(20s)).empty());
    CHECK(directory.size() == 1);
  }
  SECTION("The entry is not registered again") {
    CHECK(directory.Handle(DirectoryTick{}, At(12400ms)).size() == 1);
    CHECK(directory.size() == 0);
  }
}

TEST_CASE("A draining backend server is not kept during a store outage") {
  BackendDirectory directory{BackendDirectoryOptions{}};
  BackendRecord draining = Record("a");
  draining.draining = true;
  directory.Handle(BackendEntryWritten{draining}, At(0s));
  directory.Handle(DirectoryStoreLost{}, At(1s));
  CHECK(directory.Handle(BackendEntryRemoved{BackendId("a")}, At(2s)).size() ==
        1);
}

AdmissionRequested MakeRequest(uint32_t backends, uint32_t waiting) {
  return AdmissionRequested{.load = {.backends = backends,
                                     .slots = backends * 8,
                                     .first_event = 40ms,
                                     .slot_time = 640ms},
                            .latency_target = 300ms,
                            .remaining = 5s,
                            .members = 5,
                            .waiting = waiting};
}

TEST_CASE("Requests beyond the capacity are rejected with a retry delay") {
  AdmissionCore core{AdmissionOptions{}};
  const AdmissionDecision none = core.Handle(MakeRequest(0, 0));
  REQUIRE(std::holds_alternative<RejectRequest>(none));
  CHECK(std::get<RejectRequest>(none).retry_after > Duration::zero());
  CHECK(std::holds_alternative<AdmitRequest>(core.Handle(MakeRequest(9, 0))));
  CHECK(std::holds_alternative<RejectRequest>(core.Handle(MakeRequest(9, 10))));
}

TEST_CASE("Retry delays vary and stay within the remaining time") {
  AdmissionCore core{AdmissionOptions{}};
  std::set<Duration> times;
  for (int i = 0; i < 50; ++i) {
    const Duration time = core.RetryDelay(5s);
    CHECK(time >= 400ms);
    CHECK(time <= 1500ms);
    times.insert(time);
  }
  CHECK(times.size() > 40);
  CHECK(core.RetryDelay(300ms) <= 100ms);
}

TEST_CASE("A request queues at a backend server only if it can be in time") {
  AdmissionCore core{AdmissionOptions{}};
  const AdmissionDecision fast = core.Handle(MakeRequest(9, 0));
  CHECK(std::get<AdmitRequest>(fast).queue_allowance == 1);
  AdmissionRequested slow = MakeRequest(9, 0);
  slow.load.slot_time = 3s;
  const AdmissionDecision none = core.Handle(slow);
  CHECK(std::get<AdmitRequest>(none).queue_allowance == 0);
}

TEST_CASE("The most urgent request gets the next slot, late ones expire") {
  PlacementCore placement = MakePlacement({Record("a")});
  StartAttempts(placement, "a", WorkClass::kOnline, 4);
  WaitQueue wait_queue(placement);
  const auto wait = [&](uint64_t ticket, int priority, Duration until) {
    const WaitQueueEvent enqueued =
        RequestEnqueued{WaitingRequest{.ticket = TicketId(ticket),
                                       .query = kQuery,
                                       .priority = priority,
                                       .expires_at = At(until)}};
    return wait_queue.Handle(enqueued, At(0s));
  };
  CHECK(wait(1, 2, 60ms).empty());
  CHECK(wait(2, 0, 60ms).empty());
  CHECK(wait(3, 0, 50ms).empty());
  placement.Handle(AttemptEnded{BackendId("a"), WorkClass::kOnline,
                                AttemptOutcome::kCompleted},
                   At(10ms));
  auto actions = wait_queue.Handle(QueuePollDue{}, At(10ms));
  REQUIRE(actions.size() == 1);
  CHECK(std::get<RequestPlaced>(actions[0]).ticket == TicketId(3));
  StartAttempts(placement, "a", WorkClass::kOnline, 1);
  wait_queue.Handle(RequestAbandoned{TicketId(2)}, At(20ms));
  actions = wait_queue.Handle(QueuePollDue{}, At(60ms));
  REQUIRE(actions.size() == 1);
  CHECK(std::get<RequestExpired>(actions[0]).ticket == TicketId(1));
  CHECK(wait_queue.size() == 0);
}

const Fingerprint kFingerprint("f");

TEST_CASE(
    "Aborted runs add up over all processes until the request is blocked") {
  AbortedRunTracker tracker({});
  tracker.Handle(RunAborted{kFingerprint}, At(0s));
  tracker.Handle(RunAborted{kFingerprint}, At(1s));
  CHECK_FALSE(tracker.IsBlocked(kFingerprint, At(1s)));
  const PeerAbortedRunsReported report{VmId("vm-c"), {{kFingerprint, 1}}};
  tracker.Handle(report, At(2s));
  CHECK(tracker.IsBlocked(kFingerprint, At(2s)));
  CHECK_FALSE(tracker.IsBlocked(Fingerprint("g"), At(2s)));
  CHECK_FALSE(tracker.IsBlocked(kFingerprint, At(20min)));
}

TEST_CASE("A repeated report of aborted runs counts once") {
  AbortedRunTracker tracker({});
  for (int i = 0; i < 5; ++i) {
    tracker.Handle(PeerAbortedRunsReported{VmId("vm-c"), {{kFingerprint, 2}}},
                   At(0s));
  }
  CHECK_FALSE(tracker.IsBlocked(kFingerprint, At(0s)));
}

TEST_CASE("A completed run clears the aborted runs of the request") {
  AbortedRunTracker tracker({});
  for (int i = 0; i < 3; ++i) {
    tracker.Handle(RunAborted{kFingerprint}, At(0s));
  }
  CHECK(tracker.IsBlocked(kFingerprint, At(0s)));
  tracker.Handle(RunCompleted{kFingerprint}, At(1s));
  CHECK_FALSE(tracker.IsBlocked(kFingerprint, At(1s)));
}

TEST_CASE("Only recently aborted runs are reported, and memory is bounded") {
  AbortedRunTracker tracker({.max_reported = 2, .max_records = 3});
  for (int i = 0; i < 5; ++i) {
    const Duration since_start = std::chrono::seconds(i);
    tracker.Handle(RunAborted{Fingerprint(std::to_string(i))}, At(since_start));
  }
  const auto recent = tracker.RunsToReport(At(4s));
  REQUIRE(recent.size() == 2);
  CHECK(recent[0].fingerprint == Fingerprint("4"));
  CHECK(tracker.RunsToReport(At(30s)).empty());
  CHECK_FALSE(tracker.empty());
}

}  // namespace
}  // namespace cowslip
