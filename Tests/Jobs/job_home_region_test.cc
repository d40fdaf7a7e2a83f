#include <catch2/catch.hpp>

#include "Jobs/job_scheduler.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

const WallTime kSubmitted(std::chrono::milliseconds(1'000'000));
const RegionId kNorth("north");
const RegionId kSouth("south");
const JobKey kJob("j");

ClockReadings At(Duration since_start) {
  return {.monotonic = MonotonicTime(100s + since_start),
          .wall = kSubmitted +
                  std::chrono::duration_cast<std::chrono::milliseconds>(
                      since_start)};
}

JobRecord Record(const JobKey& key,
                 const char* owner,
                 uint64_t incarnation,
                 uint64_t version = 1) {
  JobRecord record{.key = key, .version = ObjectVersion(version)};
  record.definition = {.id = JobId(key.value()),
                       .organisation = OrganisationId("mill"),
                       .route = RouteId("job"),
                       .submitted = kSubmitted,
                       .due = kSubmitted + 18s,
                       .give_up = kSubmitted + 60s,
                       .max_attempts = 3,
                       .items = {ItemId("a")}};
  record.status = {.owner = VmId(owner),
                   .incarnation = Incarnation(incarnation)};
  return record;
}

// The scheduler of `vm1` in one region, while `vm2` lives in another one. `vm9`
// is not registered, so its jobs have no live owner.
struct Fixture {
  explicit Fixture(const RegionId& own)
      : peers(PeerTableOptions{.self = VmId("vm1"), .region = own}),
        scheduler(JobSchedulerOptions{.self = VmId("vm1"),
                                      .incarnation = Incarnation(1),
                                      .region = own},
                  peers) {
    const RegionId other = own == kNorth ? kSouth : kNorth;
    peers.Handle(
        PeerListRead{{{VmId("vm2"), Endpoint{}, Incarnation(2), other}}},
        At(0s).monotonic);
    Handle(SchedulerActivated{}, 0s);
  }
  std::vector<JobSchedulerAction> Handle(const JobSchedulerEvent& event,
                                         Duration at) {
    return scheduler.Handle(event, At(at));
  }
  std::vector<JobSchedulerAction> DeclareHome(const RegionId& region,
                                              Duration at) {
    return Handle(
        HomeRegionsChanged{
            .routes = {{RouteId("job"),
                        HomeRegions(std::set<RegionId>{region})}},
            .organisations = {}},
        at);
  }

  PeerTable peers;
  JobScheduler scheduler;
};

template <class T>
size_t Count(const std::vector<JobSchedulerAction>& actions) {
  return std::count_if(actions.begin(), actions.end(), [](const auto& action) {
    return std::holds_alternative<T>(action);
  });
}

// Guards against a claim by the last resort of the claim order, in which every
// process may claim after a while.
TEST_CASE("A process outside the home regions never claims the job") {
  Fixture f(kNorth);
  f.DeclareHome(kSouth, 0s);
  size_t claims =
      Count<ClaimJob>(f.Handle(JobUpdated{Record(kJob, "vm9", 9)}, 2s));
  for (Duration at = 2s; at < 50s; at += 100ms) {
    claims += Count<ClaimJob>(f.Handle(SchedulerTick{}, at));
  }
  CHECK(claims == 0);
}

// Guards against a takeover that waits for a process which may not claim.
TEST_CASE("The claim order has only processes in the home regions") {
  Fixture f(kSouth);
  f.DeclareHome(kSouth, 0s);
  for (int i = 0; i < 20; ++i) {
    const JobKey key("j" + std::to_string(i));
    CHECK(Count<ClaimJob>(f.Handle(JobUpdated{Record(key, "vm9", 9)}, 2s)) ==
          1);
  }
}

TEST_CASE("Without home regions the claim order has all processes") {
  Fixture f(kNorth);
  f.Handle(HomeRegionsChanged{}, 0s);
  size_t claims = 0;
  for (int i = 0; i < 20; ++i) {
    const JobKey key("j" + std::to_string(i));
    claims += Count<ClaimJob>(f.Handle(JobUpdated{Record(key, "vm9", 9)}, 2s));
  }
  CHECK(claims > 0);
  CHECK(claims < 20);
  CHECK(Count<ClaimJob>(f.Handle(SchedulerTick{}, 4s)) == 20 - claims);
}

// Guards against a job that is stuck at an owner which may not run it, also
// when the store does not take the hand-back.
TEST_CASE("An owner outside newly declared home regions hands the job back") {
  Fixture f(kNorth);
  f.Handle(JobUpdated{Record(kJob, "vm1", 1)}, 0s);
  f.Handle(JobOpened{kJob, {}}, 0s);
  f.Handle(ItemStarted{kJob, ItemId("a"), BackendId("x")}, 1s);
  CHECK(Count<StopItem>(f.DeclareHome(kSouth, 2s)) == 1);
  CHECK(f.scheduler.RunnableItems(At(2s)).empty());
  CHECK(Count<HandBackJob>(
            f.Handle(ItemRunEnded{kJob,
                                  ItemId("a"),
                                  ItemRunOutcome::kInterrupted,
                                  {.last_event = 3, .output = "out"}},
                     2s)) == 1);
  // The write has failed: the record still names this process.
  CHECK(Count<CloseJob>(f.Handle(HandBackEnded{kJob}, 3s)) == 0);
  CHECK(Count<HandBackJob>(f.Handle(SchedulerTick{}, 3100ms)) == 0);
  CHECK(Count<HandBackJob>(f.Handle(SchedulerTick{}, 3700ms)) == 1);
  CHECK(f.scheduler.RunnableItems(At(3700ms)).empty());
  f.Handle(JobUpdated{Record(kJob, "", 0, 2)}, 4s);
  CHECK(Count<CloseJob>(f.Handle(HandBackEnded{kJob}, 4s)) == 1);
  CHECK(Count<HandBackJob>(f.Handle(SchedulerTick{}, 5s)) == 0);
  // The job is claimed again once this region is a home region.
  f.DeclareHome(kNorth, 6s);
  CHECK(Count<ClaimJob>(f.Handle(SchedulerTick{}, 6100ms)) == 1);
}

// Guards against reading the bodies of a job's items outside its home regions.
TEST_CASE("A claim that is won after the home regions changed is not opened") {
  Fixture f(kNorth);
  f.DeclareHome(kNorth, 0s);
  CHECK(Count<ClaimJob>(f.Handle(JobUpdated{Record(kJob, "vm9", 9)}, 2s)) == 1);
  f.DeclareHome(kSouth, 2100ms);
  f.Handle(JobUpdated{Record(kJob, "vm1", 1, 2)}, 2200ms);
  const auto ended = f.Handle(ClaimEnded{kJob}, 2200ms);
  CHECK(Count<OpenJob>(ended) == 0);
  CHECK(Count<HandBackJob>(ended) == 1);
  f.Handle(HandBackEnded{kJob}, 2300ms);
  // Neither a retry of the hand-back nor one of the opening reads the job.
  const auto retried = f.Handle(SchedulerTick{}, 3s);
  CHECK(Count<OpenJob>(retried) == 0);
  CHECK(Count<HandBackJob>(retried) == 1);
}

TEST_CASE("A job that can't be read is handed back outside its home regions") {
  Fixture f(kNorth);
  CHECK(Count<OpenJob>(f.Handle(JobUpdated{Record(kJob, "vm1", 1)}, 0s)) == 1);
  CHECK(Count<OpenJob>(f.Handle(JobOpenFailed{kJob}, 1s)) == 1);
  f.DeclareHome(kSouth, 2s);
  const auto failed = f.Handle(JobOpenFailed{kJob}, 3s);
  CHECK(Count<OpenJob>(failed) == 0);
  CHECK(Count<HandBackJob>(failed) == 1);
}

}  // namespace
}  // namespace cowslip
