#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "Peers/divergence_detector.h"
#include "Peers/peer_message.h"
#include "Peers/peer_table.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

MonotonicTime At(Duration since_start) {
  return MonotonicTime(100s + since_start);
}

PeerRecord Record(const char* vm, uint64_t incarnation) {
  return {.vm = VmId(vm),
          .address = Endpoint{.port = 7000},
          .incarnation = Incarnation(incarnation)};
}

PeerMessageReceived MessageFrom(const char* vm,
                                uint64_t incarnation,
                                uint64_t sequence) {
  return PeerMessageReceived{{.vm = VmId(vm),
                              .incarnation = Incarnation(incarnation),
                              .sequence = sequence}};
}

template <class T>
bool Has(const std::vector<PeerAction>& actions) {
  for (const PeerAction& action : actions) {
    if (std::holds_alternative<T>(action)) {
      return true;
    }
  }
  return false;
}

TEST_CASE("A peer counts as live until it has been silent for a second") {
  PeerTable table({.self = VmId("a")});
  table.Handle(PeerListRead{{Record("a", 1), Record("b", 2)}}, At(0s));
  CHECK(table.members() == 2);
  CHECK(table.IsLive(VmId("b"), Incarnation(2)));
  CHECK_FALSE(table.IsLive(VmId("b"), Incarnation(3)));
  table.Handle(MessageFrom("b", 2, 1), At(500ms));
  CHECK_FALSE(Has<PeerFellSilent>(table.Handle(PeerTick{}, At(1400ms))));
  CHECK(Has<PeerFellSilent>(table.Handle(PeerTick{}, At(1500ms))));
  CHECK_FALSE(table.IsLive(VmId("b"), Incarnation(2)));
  CHECK(Has<PeerAppeared>(table.Handle(MessageFrom("b", 2, 2), At(2s))));
  CHECK(table.IsLive(VmId("b"), Incarnation(2)));
}

TEST_CASE("A new incarnation replaces the previous one at once") {
  PeerTable table({.self = VmId("a")});
  table.Handle(PeerListRead{{Record("b", 2)}}, At(0s));
  table.Handle(MessageFrom("b", 3, 1), At(100ms));
  CHECK_FALSE(table.IsLive(VmId("b"), Incarnation(2)));
  CHECK(table.IsLive(VmId("b"), Incarnation(3)));
}

TEST_CASE("A late datagram does not make a silent peer live") {
  PeerTable table({.self = VmId("a")});
  table.Handle(PeerListRead{{Record("b", 2)}}, At(0s));
  table.Handle(MessageFrom("b", 2, 5), At(100ms));
  table.Handle(PeerTick{}, At(2s));
  table.Handle(MessageFrom("b", 2, 5), At(2s));
  CHECK_FALSE(table.IsLive(VmId("b"), Incarnation(2)));
}

TEST_CASE(
    "Only the first live process removes the registration of a silent peer") {
  for (const bool is_first : {true, false}) {
    PeerTable table({.self = VmId(is_first ? "a" : "c")});
    table.Handle(PeerListRead{{Record("b", 1), Record("d", 1)}}, At(0s));
    for (int i = 1; i <= 60; ++i) {
      table.Handle(MessageFrom("b", 1, i), At(1s * i));
      const auto actions = table.Handle(PeerTick{}, At(1s * i));
      if (i < 45) {
        CHECK_FALSE(Has<RemovePeerRegistration>(actions));
      }
      if (i == 45) {
        CHECK(Has<RemovePeerRegistration>(actions) == is_first);
      }
    }
  }
}

TEST_CASE("Members and silent members are counted") {
  PeerTable table({.self = VmId("a")});
  auto actions =
      table.Handle(PeerListRead{{Record("b", 1), Record("c", 1)}}, At(0s));
  REQUIRE(Has<PeerCountsChanged>(actions));
  table.Handle(MessageFrom("b", 1, 1), At(900ms));
  actions = table.Handle(PeerTick{}, At(1100ms));
  REQUIRE(Has<PeerCountsChanged>(actions));
  const auto counted = std::get<PeerCountsChanged>(actions.back());
  CHECK(counted.members == 3);
  CHECK(counted.silent == 1);
  CHECK(table.LiveProcesses() == std::vector<VmId>{VmId("a"), VmId("b")});
}

// Guards against a document that passes through a VM of another region.
TEST_CASE("A peer in the own region is picked, or none") {
  PeerTable table({.self = VmId("a"), .region = RegionId("north")});
  PeerRecord near = Record("b", 1);
  near.region = RegionId("north");
  near.address.port = 7001;
  PeerRecord far = Record("c", 1);
  far.region = RegionId("south");
  table.Handle(PeerListRead{{near, far, Record("d", 1)}}, At(0s));
  for (const char* vm : {"c", "d"}) {
    PeerMessageReceived message = MessageFrom(vm, 1, 1);
    message.message.reaches_store = true;
    table.Handle(message, At(100ms));
  }
  CHECK_FALSE(table.PickNearPeerReachingStore(0).has_value());
  CHECK(table.PickPeerReachingStore(0).has_value());
  PeerMessageReceived message = MessageFrom("b", 1, 1);
  message.message.reaches_store = true;
  table.Handle(message, At(100ms));
  for (uint64_t random = 0; random < 10; ++random) {
    CHECK(table.PickNearPeerReachingStore(random) == near.address);
  }
  const HomeRegions south(std::set<RegionId>{RegionId("south")});
  CHECK(table.LiveProcessesIn(south) == std::vector<VmId>{VmId("c")});
  CHECK(table.LiveProcesses().size() == 4);
  // Without a region of its own, a process has no near peers.
  PeerTable unknown({.self = VmId("e")});
  unknown.Handle(PeerListRead{{Record("d", 1)}}, At(0s));
  PeerMessageReceived reaching = MessageFrom("d", 1, 1);
  reaching.message.reaches_store = true;
  unknown.Handle(reaching, At(100ms));
  CHECK_FALSE(unknown.PickNearPeerReachingStore(0).has_value());
}

TEST_CASE("A peer message is unchanged by encoding and decoding") {
  rc::check([](uint64_t incarnation, uint64_t sequence, uint64_t version,
               bool draining, const std::vector<uint32_t>& counts) {
    PeerMessage message{.vm = VmId("vm"),
                        .incarnation = Incarnation(incarnation),
                        .sequence = sequence,
                        .configuration = ConfigVersion(version),
                        .draining = draining};
    for (const uint32_t count : counts) {
      message.usage.push_back({OrganisationId(std::to_string(count)), count});
      message.in_flight.push_back(
          {BackendId(std::to_string(count)), count, count / 2});
      message.aborted_runs.push_back(
          {.fingerprint = Fingerprint(std::to_string(count)),
           .count = count,
           .age = std::chrono::milliseconds(count),
           .vm = VmId(count % 2 == 0 ? "" : "other"),
           .incarnation = Incarnation(count % 2)});
      message.completed_requests.push_back({Fingerprint(std::to_string(count)),
                                            std::chrono::milliseconds(count)});
      message.crash_evidence.crashes.push_back(
          {.backend = BackendId(std::to_string(count)),
           .started_at_ms = count,
           .age = std::chrono::milliseconds(count),
           .parts = {{.part = PromptPartId("p"), .events = count},
                     {.part = PromptPartId("q"), .is_trial = true}}});
      message.backend_limits.push_back(
          {.backend = BackendId(std::to_string(count)),
           .started_at_ms = count,
           .limit = count % 2 == 0 ? std::optional(RequestRate{count / 8.0})
                                   : std::nullopt,
           .age = std::chrono::milliseconds(count)});
      message.crash_evidence.cleared.push_back(
          {.part = PromptPartId(std::to_string(count)),
           .age = std::chrono::milliseconds(count),
           .events = count});
      message.crash_evidence.held_back.push_back(
          PromptPartId(std::to_string(count)));
      message.ended_jobs.push_back(JobKey(std::to_string(count)));
      message.job_progress.push_back(
          {JobKey(std::to_string(count)), count, uint64_t{count} << 20});
      message.knows_evacuations = true;
      message.evacuated_zones.push_back({.zone = ZoneId(std::to_string(count)),
                                         .version = ObjectVersion(count),
                                         .removed = count % 2 == 0,
                                         .in_flight = count / 2});
      message.cold_backends.push_back(
          {.backend = BackendId(std::to_string(count)),
           .started_at_ms = count,
           .remaining = std::chrono::milliseconds(count),
           .entry_version = uint64_t{count} << 20});
    }
    if (!counts.empty()) {
      message.poll.completed_age = std::chrono::milliseconds(counts.size());
    }
    const auto decoded = DecodePeerMessage(EncodePeerMessage(message));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded.value().poll == message.poll);
    RC_ASSERT(decoded.value().incarnation == message.incarnation);
    RC_ASSERT(decoded.value().sequence == sequence);
    RC_ASSERT(decoded.value().knows_evacuations == !counts.empty());
    RC_ASSERT(decoded.value().evacuated_zones == message.evacuated_zones);
    RC_ASSERT(decoded.value().usage.size() == counts.size());
    RC_ASSERT(decoded.value().in_flight.size() == counts.size());
    RC_ASSERT(decoded.value().aborted_runs.size() == counts.size());
    RC_ASSERT(decoded.value().completed_requests.size() == counts.size());
    for (size_t i = 0; i < counts.size(); ++i) {
      const AbortedRuns& sent = message.aborted_runs[i];
      const AbortedRuns& runs = decoded.value().aborted_runs[i];
      RC_ASSERT(runs.count == sent.count);
      RC_ASSERT(runs.age == sent.age);
      RC_ASSERT(runs.vm == sent.vm);
      RC_ASSERT(runs.incarnation == sent.incarnation);
    }
    const CrashEvidence& evidence = decoded.value().crash_evidence;
    RC_ASSERT(evidence.crashes.size() == counts.size());
    RC_ASSERT(evidence.cleared.size() == counts.size());
    RC_ASSERT(evidence.held_back == message.crash_evidence.held_back);
    const auto& limits = decoded.value().backend_limits;
    RC_ASSERT(limits.size() == counts.size());
    RC_ASSERT(decoded.value().ended_jobs == message.ended_jobs);
    RC_ASSERT(decoded.value().cold_backends == message.cold_backends);
    const auto& progress = decoded.value().job_progress;
    RC_ASSERT(progress.size() == counts.size());
    for (size_t i = 0; i < counts.size(); ++i) {
      RC_ASSERT(limits[i].limit == message.backend_limits[i].limit);
      RC_ASSERT(limits[i].started_at_ms == counts[i]);
      RC_ASSERT(progress[i].tokens == message.job_progress[i].tokens);
    }
    for (size_t i = 0; i < counts.size(); ++i) {
      RC_ASSERT(evidence.crashes[i].started_at_ms == counts[i]);
      RC_ASSERT(evidence.crashes[i].age ==
                std::chrono::milliseconds(counts[i]));
      RC_ASSERT(evidence.crashes[i].parts.size() == 2U);
      RC_ASSERT(evidence.crashes[i].parts[0].events == counts[i]);
      RC_ASSERT_FALSE(evidence.crashes[i].parts[0].is_trial);
      RC_ASSERT(evidence.crashes[i].parts[1].is_trial);
      RC_ASSERT(evidence.cleared[i].age ==
                std::chrono::milliseconds(counts[i]));
      RC_ASSERT(evidence.cleared[i].events == counts[i]);
    }
  });
}

TEST_CASE("Bytes that are not a peer message are rejected") {
  rc::check([](const std::string& bytes) {
    RC_ASSERT(!DecodePeerMessage(bytes).has_value());
  });
  std::string bytes = EncodePeerMessage(PeerMessage{.vm = VmId("vm")});
  for (size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(DecodePeerMessage(bytes.substr(0, size)).has_value());
  }
}

bool Refreshes(DivergenceDetector& detector,
               const DivergenceEvent& event,
               Duration at) {
  return !detector.Handle(event, At(at)).empty();
}

TEST_CASE(
    "A lasting difference of digests causes a refresh at most once a second") {
  DivergenceDetector detector{DivergenceOptions{}};
  detector.Handle(OwnDigestsChanged{{1, 2}}, At(0s));
  CHECK_FALSE(Refreshes(detector, PeerDigestsReceived{VmId("b"), {1, 3}}, 0s));
  CHECK_FALSE(Refreshes(detector, DivergenceTick{}, 200ms));
  const auto actions = detector.Handle(DivergenceTick{}, At(250ms));
  REQUIRE(actions.size() == 1);
  CHECK(std::get<RefreshKind>(actions[0]).kind == 1);
  // The other process may be the one that is out of date.
  CHECK_FALSE(Refreshes(detector, DivergenceTick{}, 1200ms));
  CHECK(Refreshes(detector, DivergenceTick{}, 1250ms));
}

TEST_CASE("A short difference of digests causes no refresh") {
  DivergenceDetector detector{DivergenceOptions{}};
  detector.Handle(OwnDigestsChanged{{1}}, At(0s));
  CHECK_FALSE(Refreshes(detector, PeerDigestsReceived{VmId("b"), {2}}, 0s));
  CHECK_FALSE(Refreshes(detector, OwnDigestsChanged{{2}}, 200ms));
  CHECK_FALSE(Refreshes(detector, OwnDigestsChanged{{3}}, 300ms));
  CHECK_FALSE(Refreshes(detector, PeerDigestsInvalidated{VmId("b")}, 400ms));
  CHECK_FALSE(Refreshes(detector, DivergenceTick{}, 2s));
}

TEST_CASE("Digests of another set of kinds are not compared") {
  DivergenceDetector detector{DivergenceOptions{}};
  detector.Handle(OwnDigestsChanged{{1, 2}}, At(0s));
  CHECK_FALSE(Refreshes(detector, PeerDigestsReceived{VmId("b"), {5}}, 0s));
  CHECK_FALSE(Refreshes(detector, DivergenceTick{}, 1s));
}

}  // namespace
}  // namespace cowslip
