#include <catch2/catch.hpp>

#include "Jobs/job_scheduler.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

const WallTime kSubmitted(std::chrono::milliseconds(1'000'000));

ClockReadings At(Duration since_start) {
  return {.monotonic = MonotonicTime(100s + since_start),
          .wall = kSubmitted +
                  std::chrono::duration_cast<std::chrono::milliseconds>(
                      since_start)};
}

JobRecord Record(const char* id, const char* owner, uint64_t incarnation) {
  JobRecord record{.key = JobKey(id), .version = ObjectVersion(1)};
  record.definition = {.id = JobId(id),
                       .organisation = OrganisationId("mill"),
                       .submitted = kSubmitted,
                       .due = kSubmitted + 18s,
                       .give_up = kSubmitted + 60s,
                       .max_attempts = 3,
                       .items = {ItemId("a"), ItemId("b")}};
  record.status = {.owner = VmId(owner),
                   .incarnation = Incarnation(incarnation)};
  return record;
}

/// The scheduler of one process with its view of the other processes.
struct Fixture {
  PeerTable peers{PeerTableOptions{.self = VmId("vm1")}};
  JobScheduler scheduler{
      JobSchedulerOptions{.self = VmId("vm1"), .incarnation = Incarnation(1)},
      peers};

  Fixture() {
    peers.Handle(PeerListRead{{{VmId("vm2"), Endpoint{}, Incarnation(2)}}},
                 At(0s).monotonic);
  }
  std::vector<JobSchedulerAction> Handle(const JobSchedulerEvent& event,
                                         Duration at) {
    return scheduler.Handle(event, At(at));
  }
  void Open(const JobRecord& record, Duration at = 0s) {
    Handle(JobUpdated{record}, at);
    Handle(JobOpened{record.key, {}}, at);
  }
  void RunItem(const char* item, ItemRunOutcome outcome, Duration at) {
    Handle(ItemStarted{JobKey("j"), ItemId(item), BackendId("x")}, at);
    Handle(ItemRunEnded{JobKey("j"),
                        ItemId(item),
                        outcome,
                        {.last_event = 3, .output = "out"}},
           at);
  }
  // Lets the peer table detect vm2 as silent.
  void MakePeerSilent(Duration at) {
    peers.Handle(PeerTick{}, At(at).monotonic);
  }
};

template <class T>
const T* Find(const std::vector<JobSchedulerAction>& actions) {
  for (const JobSchedulerAction& action : actions) {
    if (const auto* found = std::get_if<T>(&action)) {
      return found;
    }
  }
  return nullptr;
}

TEST_CASE("An accepted job is opened, run, written and finished") {
  Fixture f;
  CHECK(Find<OpenJob>(f.Handle(JobUpdated{Record("j", "vm1", 1)}, 0s)) !=
        nullptr);
  f.Handle(JobOpened{JobKey("j"), {}}, 0s);
  CHECK(f.scheduler.RunnableItems(At(0s)).size() == 2);
  f.RunItem("a", ItemRunOutcome::kCompleted, 1s);
  CHECK(f.scheduler.RunnableItems(At(1s)).size() == 1);
  CHECK(Find<WriteResults>(f.Handle(SchedulerTick{}, 1100ms)) == nullptr);
  const auto actions = f.Handle(SchedulerTick{}, 1300ms);
  const auto* write = Find<WriteResults>(actions);
  REQUIRE(write != nullptr);
  CHECK(write->results.size() == 1);
  CHECK(write->results[0].output == "out");
  f.Handle(ResultsWritten{JobKey("j"), {ItemId("a")}}, 1400ms);
  f.RunItem("b", ItemRunOutcome::kUnprocessable, 2s);
  const auto finish =
      f.Handle(ResultsWritten{JobKey("j"), {ItemId("a"), ItemId("b")}}, 2100ms);
  CHECK(Find<FinishJob>(finish) != nullptr);
}

TEST_CASE("Results that could not be written are written again") {
  Fixture f;
  f.Open(Record("j", "vm1", 1));
  f.RunItem("a", ItemRunOutcome::kCompleted, 1s);
  CHECK(Find<WriteResults>(f.Handle(SchedulerTick{}, 2s)) != nullptr);
  f.Handle(ResultsNotWritten{JobKey("j")}, 3s);
  const auto actions = f.Handle(SchedulerTick{}, 4s);
  REQUIRE(Find<WriteResults>(actions) != nullptr);
  CHECK(Find<WriteResults>(actions)->results.size() == 1);
}

TEST_CASE("A job is taken over when its owner becomes silent, not before") {
  Fixture f;
  f.Handle(SchedulerActivated{}, 0s);
  f.Handle(JobUpdated{Record("j", "vm2", 2)}, 0s);
  f.peers.Handle(
      PeerMessageReceived{
          {.vm = VmId("vm2"), .incarnation = Incarnation(2), .sequence = 1}},
      At(4500ms).monotonic);
  CHECK(Find<ClaimJob>(f.Handle(SchedulerTick{}, 5s)) == nullptr);
  f.MakePeerSilent(6s);
  CHECK(Find<ClaimJob>(f.Handle(SchedulerTick{}, 6s)) != nullptr);
  // No second claim is made while one is in progress.
  CHECK(Find<ClaimJob>(f.Handle(SchedulerTick{}, 6100ms)) == nullptr);
  JobRecord claimed = Record("j", "vm1", 1);
  claimed.version = ObjectVersion(2);
  f.Handle(JobUpdated{claimed}, 6200ms);
  CHECK(Find<OpenJob>(f.Handle(ClaimEnded{JobKey("j")}, 6200ms)) != nullptr);
}

TEST_CASE("A failed claim is retried after a delay") {
  Fixture f;
  f.Handle(SchedulerActivated{}, 0s);
  f.MakePeerSilent(3s);
  CHECK(Find<ClaimJob>(f.Handle(JobUpdated{Record("j", "vm2", 2)}, 3s)) !=
        nullptr);
  f.Handle(ClaimEnded{JobKey("j")}, 3100ms);
  CHECK(Find<ClaimJob>(f.Handle(SchedulerTick{}, 3200ms)) == nullptr);
  CHECK(Find<ClaimJob>(f.Handle(SchedulerTick{}, 3800ms)) != nullptr);
}

// Lets vm1 claim the job, and returns the record that its claim writes.
JobRecord ClaimWithoutResponse(Fixture& f, bool was_handed_back) {
  f.Handle(SchedulerActivated{}, 0s);
  JobRecord record = Record("j", "vm2", 2);
  if (was_handed_back) {
    f.Handle(HomeRegionsChanged{}, 0s);
    f.Open(Record("j", "vm1", 1));
    f.RunItem("a", ItemRunOutcome::kInterrupted, 1s);
    const std::map<RouteId, HomeRegions> elsewhere = {
        {RouteId(), HomeRegions(std::set<RegionId>{RegionId("south")})}};
    CHECK(Find<HandBackJob>(
              f.Handle(HomeRegionsChanged{elsewhere, {}}, 1100ms)) != nullptr);
    record = Record("j", "", 0);
    record.version = ObjectVersion(2);
    f.Handle(JobUpdated{record}, 1200ms);
    f.Handle(HandBackEnded{JobKey("j")}, 1300ms);
    f.Handle(HomeRegionsChanged{{{RouteId(), HomeRegions()}}, {}}, 1400ms);
  }
  f.MakePeerSilent(6s);
  f.Handle(JobUpdated{record}, 6s);
  size_t claims = 0;
  for (Duration at = 6s; at <= 9s; at += 100ms) {
    claims += Find<ClaimJob>(f.Handle(SchedulerTick{}, at)) == nullptr ? 0 : 1;
  }
  CHECK(claims <= 1);
  JobRecord claimed = Record("j", "vm1", 1);
  claimed.version = ObjectVersion(3);
  return claimed;
}

size_t CountOpened(Fixture& f, Duration from, Duration until) {
  size_t opened = 0;
  for (Duration at = from; at <= until; at += 100ms) {
    opened += Find<OpenJob>(f.Handle(SchedulerTick{}, at)) == nullptr ? 0 : 1;
  }
  return opened;
}

// Guards against a job that nobody runs: its claim was stored, the response and
// the read after it were lost, and the others leave it to its live owner.
TEST_CASE("A job whose claim is in doubt is opened once the claim is known") {
  const bool was_handed_back = GENERATE(false, true);
  const bool watch_comes_first = GENERATE(false, true);
  Fixture f;
  const JobRecord claimed = ClaimWithoutResponse(f, was_handed_back);
  size_t opened = 0;
  const auto handle = [&](const JobSchedulerEvent& event, Duration at) {
    opened += Find<OpenJob>(f.Handle(event, at)) == nullptr ? 0 : 1;
  };
  if (watch_comes_first) {
    handle(JobUpdated{claimed}, 9100ms);
    handle(ClaimEnded{JobKey("j")}, 9200ms);
  } else {
    handle(ClaimEnded{JobKey("j")}, 9100ms);
    handle(JobUpdated{claimed}, 9200ms);
  }
  opened += CountOpened(f, 9300ms, 12s);
  CHECK(opened == 1);
  f.Handle(JobOpened{JobKey("j"), {}}, 12100ms);
  CHECK(f.scheduler.RunnableItems(At(13s)).size() == 2);
}

// Guards against a job whose late claim is stored while the next one is made:
// the latter fails on it, and no read tells.
TEST_CASE("A claim that is carried out during the next one opens the job") {
  Fixture f;
  const JobRecord claimed = ClaimWithoutResponse(f, false);
  f.Handle(ClaimEnded{JobKey("j")}, 9100ms);
  CHECK(Find<ClaimJob>(f.Handle(SchedulerTick{}, 9800ms)) != nullptr);
  CHECK(Find<OpenJob>(f.Handle(JobUpdated{claimed}, 9900ms)) == nullptr);
  CHECK(Find<OpenJob>(f.Handle(ClaimEnded{JobKey("j")}, 10s)) != nullptr);
}

// Guards against a resumed job whose documents another owner has changed since
// it was handed back here: it has to be read again.
TEST_CASE("A job that was handed back is read before it is resumed") {
  Fixture f;
  f.Handle(SchedulerActivated{}, 0s);
  f.Open(Record("j", "vm1", 1));
  const std::map<RouteId, HomeRegions> elsewhere = {
      {RouteId(), HomeRegions(std::set<RegionId>{RegionId("south")})}};
  CHECK(Find<HandBackJob>(f.Handle(HomeRegionsChanged{elsewhere, {}}, 1s)) !=
        nullptr);
  f.Handle(HandBackEnded{JobKey("j")}, 1100ms);
  f.Handle(HomeRegionsChanged{{{RouteId(), HomeRegions()}}, {}}, 1200ms);
  CHECK(CountOpened(f, 1300ms, 3s) == 1);
  CHECK(f.scheduler.RunnableItems(At(3s)).empty());
  f.Handle(JobOpened{JobKey("j"), {ItemId("a")}}, 3100ms);
  CHECK(f.scheduler.RunnableItems(At(3200ms)).size() == 1);
}

TEST_CASE("A process that has just started takes over no jobs") {
  Fixture f;
  f.MakePeerSilent(3s);
  f.Handle(SchedulerActivated{}, 3s);
  f.Handle(JobUpdated{Record("j", "vm2", 2)}, 3s);
  CHECK(Find<ClaimJob>(f.Handle(SchedulerTick{}, 4s)) == nullptr);
  CHECK(Find<ClaimJob>(f.Handle(SchedulerTick{}, 4300ms)) != nullptr);
}

TEST_CASE("A job of an earlier incarnation of this VM is claimed") {
  Fixture f;
  f.Handle(SchedulerActivated{}, 0s);
  const auto seen = f.Handle(JobUpdated{Record("j", "vm1", 99)}, 2s);
  CHECK(Find<OpenJob>(seen) == nullptr);
  // The rendezvous hash decides which process claims first; after a while every
  // process may claim.
  CHECK(Find<ClaimJob>(f.Handle(SchedulerTick{}, 5s)) != nullptr);
}

TEST_CASE("An owner that another process has replaced stops its items") {
  Fixture f;
  f.Open(Record("j", "vm1", 1));
  f.Handle(ItemStarted{JobKey("j"), ItemId("a"), BackendId("x")}, 1s);
  JobRecord claimed = Record("j", "vm2", 2);
  claimed.version = ObjectVersion(2);
  const auto actions = f.Handle(JobUpdated{claimed}, 2s);
  CHECK(Find<StopItem>(actions) != nullptr);
  CHECK(Find<CloseJob>(actions) != nullptr);
  CHECK_FALSE(f.scheduler.IsOpen(JobKey("j")));
}

TEST_CASE("An older job record does not replace a newer one") {
  Fixture f;
  JobRecord newer = Record("j", "vm2", 2);
  newer.version = ObjectVersion(5);
  f.Handle(JobUpdated{newer}, 0s);
  f.Handle(JobUpdated{Record("j", "vm1", 1)}, 1s);
  CHECK(f.scheduler.Find(JobKey("j"))->status.owner == VmId("vm2"));
}

TEST_CASE("An ended job stops its items and starts no more") {
  Fixture f;
  f.Open(Record("j", "vm1", 1));
  f.Handle(ItemStarted{JobKey("j"), ItemId("a"), BackendId("x")}, 1s);
  JobRecord ended = Record("j", "vm1", 1);
  ended.version = ObjectVersion(2);
  ended.status.ended = true;
  CHECK(Find<StopItem>(f.Handle(JobUpdated{ended}, 2s)) != nullptr);
  CHECK(f.scheduler.RunnableItems(At(2s)).empty());
}

TEST_CASE("A job whose end a peer reports is run by no older record") {
  Fixture f;
  f.Handle(SchedulerActivated{}, 0s);
  f.Open(Record("j", "vm1", 1));
  f.Handle(ItemStarted{JobKey("j"), ItemId("a"), BackendId("x")}, 1s);
  const auto actions = f.Handle(JobEndReported{JobKey("j")}, 2s);
  CHECK(Find<StopItem>(actions) != nullptr);
  CHECK(Find<CloseJob>(actions) != nullptr);
  JobRecord older = Record("j", "vm1", 1);
  older.version = ObjectVersion(2);
  CHECK(Find<OpenJob>(f.Handle(JobUpdated{older}, 3s)) == nullptr);
  CHECK(f.scheduler.RunnableItems(At(3s)).empty());
  // The report may come before the job itself, which is then not claimed.
  f.Handle(JobEndReported{JobKey("k")}, 4s);
  f.MakePeerSilent(5s);
  CHECK(Find<ClaimJob>(f.Handle(JobUpdated{Record("k", "vm2", 2)}, 6s)) ==
        nullptr);
  CHECK(Find<ClaimJob>(f.Handle(SchedulerTick{}, 9s)) == nullptr);
  // A claim that was on its way opens nothing.
  CHECK(Find<ClaimJob>(f.Handle(JobUpdated{Record("l", "vm2", 2)}, 9s)) !=
        nullptr);
  f.Handle(JobEndReported{JobKey("l")}, 11s);
  JobRecord claimed = Record("l", "vm1", 1);
  claimed.version = ObjectVersion(2);
  f.Handle(JobUpdated{claimed}, 12s);
  CHECK(Find<OpenJob>(f.Handle(ClaimEnded{JobKey("l")}, 12s)) == nullptr);
}

TEST_CASE("A new job under the id of a removed one that had ended is opened") {
  for (const bool reported : {false, true}) {
    Fixture f;
    f.Handle(SchedulerActivated{}, 0s);
    f.Open(Record("j", "vm1", 1));
    const auto end = [&](Duration at) {
      if (reported) {
        f.Handle(JobEndReported{JobKey("j")}, at);
      } else {
        f.Handle(JobEndAcknowledged{JobKey("j")}, at);
      }
    };
    end(170s);
    f.Handle(JobRemoved{JobKey("j")}, 181s);
    JobRecord next = Record("j", "vm1", 1);
    next.version = ObjectVersion(9);
    next.definition.submitted = kSubmitted + 181s;
    next.definition.give_up = kSubmitted + 300s;
    CHECK(Find<OpenJob>(f.Handle(JobUpdated{next}, 181s)) != nullptr);
    f.Handle(JobOpened{JobKey("j"), {}}, 181s);
    // A peer still reports the end of the first job.
    f.Handle(JobEndReported{JobKey("j")}, 182s);
    CHECK_FALSE(f.scheduler.IsEnded(JobKey("j")));
    CHECK(f.scheduler.RunnableItems(At(182s)).size() == 2);
    // The new job's own end.
    end(200s);
    CHECK(f.scheduler.IsEnded(JobKey("j")));
    CHECK(f.scheduler.RunnableItems(At(200s)).empty());
  }
}

TEST_CASE("The end of a new job is known at once where it is acknowledged") {
  Fixture f;
  f.Handle(SchedulerActivated{}, 0s);
  f.Open(Record("j", "vm1", 1));
  f.Handle(JobEndAcknowledged{JobKey("j")}, 179s);
  f.Handle(JobRemoved{JobKey("j")}, 181s);
  JobRecord next = Record("j", "vm1", 1);
  next.version = ObjectVersion(9);
  next.definition.submitted = kSubmitted + 181s;
  f.Open(next, 181s);
  f.Handle(JobEndAcknowledged{JobKey("j")}, 182s);
  CHECK(f.scheduler.IsEnded(JobKey("j")));
  CHECK(f.scheduler.RunnableItems(At(182s)).empty());
}

TEST_CASE("The end of a job is reported for a while after it is acknowledged") {
  Fixture f;
  f.Open(Record("j", "vm1", 1));
  CHECK(f.scheduler.EndsToReport(At(1s).monotonic).empty());
  f.Handle(JobEndAcknowledged{JobKey("j")}, 1s);
  CHECK(f.scheduler.RunnableItems(At(1s)).empty());
  CHECK(f.scheduler.EndsToReport(At(9s).monotonic) ==
        std::vector<JobKey>{JobKey("j")});
  CHECK(f.scheduler.EndsToReport(At(13s).monotonic).empty());
}

TEST_CASE("A stopping process hands its jobs back with their progress") {
  Fixture f;
  f.Open(Record("j", "vm1", 1));
  f.Handle(ItemStarted{JobKey("j"), ItemId("a"), BackendId("x")}, 1s);
  const auto stopping = f.Handle(SchedulerStopping{}, 2s);
  CHECK(Find<StopItem>(stopping) != nullptr);
  CHECK(Find<HandBackJob>(stopping) == nullptr);
  CHECK_FALSE(f.scheduler.IsIdle());
  const auto ended =
      f.Handle(ItemRunEnded{JobKey("j"),
                            ItemId("a"),
                            ItemRunOutcome::kInterrupted,
                            {.last_event = 7, .output = "seven"}},
               2100ms);
  const auto* back = Find<HandBackJob>(ended);
  REQUIRE(back != nullptr);
  CHECK(back->progress.at(ItemId("a")).last_event == 7);
  // The process must not end before the hand-back is written.
  CHECK_FALSE(f.scheduler.IsIdle());
  f.Handle(HandBackEnded{JobKey("j")}, 2200ms);
  CHECK(f.scheduler.IsIdle());
  CHECK(f.scheduler.RunnableItems(At(3s)).empty());
}

TEST_CASE("A job that is being claimed at the stop is handed back") {
  Fixture f;
  f.Handle(SchedulerActivated{}, 0s);
  f.MakePeerSilent(3s);
  CHECK(Find<ClaimJob>(f.Handle(JobUpdated{Record("j", "vm2", 2)}, 3s)) !=
        nullptr);
  f.Handle(SchedulerStopping{}, 3100ms);
  CHECK_FALSE(f.scheduler.IsIdle());
  JobRecord claimed = Record("j", "vm1", 1);
  claimed.version = ObjectVersion(2);
  f.Handle(JobUpdated{claimed}, 3200ms);
  CHECK(Find<OpenJob>(f.Handle(ClaimEnded{JobKey("j")}, 3200ms)) != nullptr);
  const auto opened = f.Handle(JobOpened{JobKey("j"), {}}, 3300ms);
  CHECK(Find<HandBackJob>(opened) != nullptr);
  CHECK_FALSE(f.scheduler.IsIdle());
  f.Handle(HandBackEnded{JobKey("j")}, 3400ms);
  CHECK(f.scheduler.IsIdle());
}

// Interrupts a run of an item after some events.
void Interrupt(Fixture& f, const char* item, uint64_t events, Duration at) {
  f.Handle(ItemStarted{JobKey("j"), ItemId(item), BackendId("x")}, at);
  f.Handle(ItemRunEnded{JobKey("j"),
                        ItemId(item),
                        ItemRunOutcome::kInterrupted,
                        {.last_event = events, .output = "some"}},
           at);
}

TEST_CASE("The progress of interrupted items is saved in one write") {
  Fixture f;
  f.Open(Record("j", "vm1", 1));
  Interrupt(f, "a", 100, 1s);
  CHECK(Find<SaveProgress>(f.Handle(SchedulerTick{}, 2100ms)) == nullptr);
  Interrupt(f, "b", 120, 2200ms);
  const auto actions = f.Handle(SchedulerTick{}, 2300ms);
  const auto* save = Find<SaveProgress>(actions);
  REQUIRE(save != nullptr);
  CHECK(save->progress.size() == 2);
  CHECK(save->progress.at(ItemId("b")).last_event == 120);
  CHECK(Find<SaveProgress>(f.Handle(SchedulerTick{}, 2400ms)) == nullptr);
  SECTION("After a successful save, nothing is saved without new progress") {
    f.Handle(ProgressSaved{JobKey("j"), true}, 2500ms);
    CHECK(Find<SaveProgress>(f.Handle(SchedulerTick{}, 10s)) == nullptr);
  }
  SECTION("A failed save is retried after a delay") {
    f.Handle(ProgressSaved{JobKey("j"), false}, 2500ms);
    CHECK(Find<SaveProgress>(f.Handle(SchedulerTick{}, 3400ms)) == nullptr);
    CHECK(Find<SaveProgress>(f.Handle(SchedulerTick{}, 3600ms)) != nullptr);
  }
}

TEST_CASE("Items resume from the progress that a lost owner had saved") {
  Fixture f;
  f.Handle(JobUpdated{Record("j", "vm1", 1)}, 0s);
  f.Handle(JobOpened{JobKey("j"),
                     {ItemId("b")},
                     {{ItemId("a"), {.last_event = 7, .output = "seven"}},
                      {ItemId("b"), {.last_event = 9, .output = "nine"}}}},
           0s);
  const auto runnable = f.scheduler.RunnableItems(At(0s));
  REQUIRE(runnable.size() == 1);
  CHECK(runnable[0].item == ItemId("a"));
  CHECK(runnable[0].progress->last_event == 7);
}

TEST_CASE(
    "An item whose version is gone is restarted and keeps its failed runs") {
  Fixture f;
  JobRecord record = Record("j", "vm1", 1);
  record.status.progress[ItemId("a")] = {
      .last_event = 7, .output = "seven", .failed_runs = 2};
  f.Open(record);
  f.Handle(ItemVersionGone{JobKey("j"), ItemId("a")}, 0s);
  const auto runnable = f.scheduler.RunnableItems(At(0s));
  REQUIRE(runnable.size() == 2);
  CHECK(runnable[0].progress->last_event == 0);
  CHECK(runnable[0].progress->output.empty());
  CHECK(runnable[0].progress->failed_runs == 2);
}

TEST_CASE("The size of saved progress is limited") {
  Fixture f;
  f.Open(Record("j", "vm1", 1));
  for (const char* item : {"a", "b"}) {
    f.Handle(ItemStarted{JobKey("j"), ItemId(item), BackendId("x")}, 1s);
    f.Handle(ItemRunEnded{JobKey("j"),
                          ItemId(item),
                          ItemRunOutcome::kInterrupted,
                          {.last_event = 100,
                           .output = std::string(200 * 1024, 'x')}},
             1s);
  }
  const auto actions = f.Handle(SchedulerTick{}, 2100ms);
  REQUIRE(Find<SaveProgress>(actions) != nullptr);
  CHECK(Find<SaveProgress>(actions)->progress.size() == 1);
}

TEST_CASE("Items resume from the progress in the job's status") {
  Fixture f;
  JobRecord record = Record("j", "vm1", 1);
  record.status.progress[ItemId("a")] = {.last_event = 7, .output = "seven"};
  f.Open(record);
  const auto runnable = f.scheduler.RunnableItems(At(0s));
  REQUIRE(runnable.size() == 2);
  CHECK(runnable[0].progress->last_event == 7);
}

TEST_CASE("An item that always fails is dead-lettered after its attempts") {
  Fixture f;
  f.Open(Record("j", "vm1", 1));
  for (int i = 0; i < 2; ++i) {
    f.RunItem("a", ItemRunOutcome::kFailed, 1s * (i + 1));
    CHECK(f.scheduler.RunnableItems(At(1s * (i + 1) + 900ms)).size() == 2);
  }
  // A failed item restarts from the beginning instead of resuming.
  CHECK(f.scheduler.RunnableItems(At(3s))[0].progress->last_event == 0);
  f.RunItem("a", ItemRunOutcome::kFailed, 3s);
  CHECK(f.scheduler.RunnableItems(At(4s)).size() == 1);
  const auto actions = f.Handle(SchedulerTick{}, 4s);
  const auto* write = Find<WriteResults>(actions);
  REQUIRE(write != nullptr);
  CHECK(write->results[0].state == ItemState::kDeadLettered);
  CHECK(write->results[0].output.empty());
}

// Guards against an item that fails for ever: each owner was lost before the
// item's last attempt, and the next one began to count anew.
TEST_CASE("The failed runs of an item outlive its owners") {
  std::map<ItemId, ItemProgress> saved;
  size_t runs = 0;
  bool is_dead_lettered = false;
  for (int owner = 0; owner < 5 && !is_dead_lettered; ++owner) {
    Fixture f;
    f.Handle(JobUpdated{Record("j", "vm1", 1)}, 0s);
    f.Handle(JobOpened{JobKey("j"), {}, saved}, 0s);
    f.RunItem("a", ItemRunOutcome::kFailed, 1s);
    ++runs;
    for (Duration at = 1s; at <= 1300ms; at += 100ms) {
      const auto actions = f.Handle(SchedulerTick{}, at);
      if (const auto* save = Find<SaveProgress>(actions)) {
        saved = save->progress;
      }
      is_dead_lettered |= Find<WriteResults>(actions) != nullptr;
    }
  }
  CHECK(is_dead_lettered);
  CHECK(runs == 3);
}

TEST_CASE("Runs in doubt are retried with growing delays") {
  Fixture f;
  f.Open(Record("j", "vm1", 1));
  f.RunItem("a", ItemRunOutcome::kInDoubt, 1s);
  CHECK(f.scheduler.RunnableItems(At(1200ms)).size() == 1);
  CHECK(f.scheduler.RunnableItems(At(1300ms)).size() == 2);
  f.RunItem("a", ItemRunOutcome::kInDoubt, 2s);
  CHECK(f.scheduler.RunnableItems(At(2500ms)).size() == 1);
  CHECK(f.scheduler.RunnableItems(At(2600ms)).size() == 2);
}

TEST_CASE("An item is not left lying after many runs in doubt") {
  Fixture f;
  f.Open(Record("j", "vm1", 1));
  Duration at = 1s;
  for (int run = 0; run < 8; ++run) {
    f.RunItem("a", ItemRunOutcome::kInDoubt, at);
    // An item may be without a run for five seconds. The other half is for a
    // change of its owner and for a free slot.
    at += 2500ms;
    CHECK(f.scheduler.RunnableItems(At(at)).size() == 2);
  }
}

TEST_CASE("Items are dead-lettered at the end of their retention, not before") {
  Fixture f;
  f.Open(Record("j", "vm1", 1));
  CHECK(Find<WriteResults>(f.Handle(SchedulerTick{}, 59s)) == nullptr);
  const auto actions = f.Handle(SchedulerTick{}, 61s);
  const auto* write = Find<WriteResults>(actions);
  REQUIRE(write != nullptr);
  CHECK(write->results.size() == 2);
}

TEST_CASE("Items that can still be in time are scheduled before late ones") {
  Fixture f;
  JobRecord late = Record("j", "vm1", 1);
  late.definition.due = kSubmitted + 2s;
  JobRecord urgent = Record("k", "vm1", 1);
  f.Open(late);
  f.Open(urgent);
  const auto runnable = f.scheduler.RunnableItems(At(1s));
  REQUIRE(runnable.size() == 4);
  CHECK(runnable[0].job == JobKey("k"));
  CHECK(runnable[3].job == JobKey("j"));
}

TEST_CASE("A large job does not delay the jobs of another organisation") {
  Fixture f;
  JobRecord large = Record("j", "vm1", 1);
  large.definition.items.clear();
  for (int i = 0; i < 100; ++i) {
    large.definition.items.push_back(ItemId(std::to_string(i)));
  }
  JobRecord small = Record("k", "vm1", 1);
  small.definition.organisation = OrganisationId("studio");
  small.definition.due += 5s;
  f.Open(large);
  f.Open(small);
  const auto runnable = f.scheduler.RunnableItems(At(0s));
  size_t place = 0;
  while (runnable[place].job != JobKey("k")) {
    ++place;
  }
  CHECK(place <= 8);
}

TEST_CASE("The job that is due first does not wait for others of its owner") {
  Fixture f;
  // The order of the names is not that of the due times.
  for (int i = 0; i < 20; ++i) {
    const std::string name = "j" + std::to_string(100 - i);
    JobRecord record = Record(name.c_str(), "vm1", 1);
    record.definition.due += std::chrono::seconds(i);
    f.Open(record);
  }
  const auto runnable = f.scheduler.RunnableItems(At(0s));
  REQUIRE(runnable.size() == 40);
  for (int i = 0; i < 20; ++i) {
    CHECK(runnable[2 * i].job == JobKey("j" + std::to_string(100 - i)));
  }
}

TEST_CASE("Items in spare slots start after those that are to be in time") {
  Fixture f;
  JobRecord spare = Record("j", "vm1", 1);
  spare.definition.spare_slots_only = true;
  JobRecord in_time = Record("k", "vm1", 1);
  in_time.definition.due += 5s;
  JobRecord late = Record("i", "vm1", 1);
  late.definition.due = kSubmitted + 2s;
  f.Open(spare);
  f.Open(in_time);
  f.Open(late);
  const auto runnable = f.scheduler.RunnableItems(At(0s));
  REQUIRE(runnable.size() == 6);
  CHECK(runnable[0].job == JobKey("k"));
  CHECK(runnable[2].job == JobKey("j"));
  CHECK(runnable[4].job == JobKey("i"));
}

TEST_CASE("The item that has most left to do is preempted first") {
  Fixture f;
  f.Open(Record("j", "vm1", 1));
  f.RunItem("a", ItemRunOutcome::kInterrupted, 1s);
  for (const char* item : {"a", "b"}) {
    f.Handle(ItemStarted{JobKey("j"), ItemId(item), BackendId("x")}, 2s);
  }
  const auto running = f.scheduler.RunningItemsAt(BackendId("x"), At(2s));
  REQUIRE(running.size() == 2);
  CHECK(running[0].second == ItemId("b"));
}

TEST_CASE("An offered job is not opened before it is accepted") {
  Fixture f;
  const JobRecord record = Record("j", "vm1", 1);
  f.Handle(JobOffered{record.key}, 0s);
  CHECK(Find<OpenJob>(f.Handle(JobUpdated{record}, 0s)) == nullptr);
  CHECK(f.scheduler.UnfinishedWork().size() == 1);
  CHECK(Find<OpenJob>(f.Handle(JobOfferEnded{record.key}, 1s)) != nullptr);
}

TEST_CASE("Unfinished work shrinks with results, whoever reports them") {
  Fixture f;
  JobRecord own = Record("j", "vm1", 1);
  own.definition.tokens = {10, 30};
  f.Open(own);
  f.RunItem("a", ItemRunOutcome::kCompleted, 1s);
  CHECK(f.scheduler.ProgressToReport().empty());
  f.Handle(ResultsWritten{own.key, {ItemId("a")}}, 2s);
  const auto reports = f.scheduler.ProgressToReport();
  REQUIRE(reports.size() == 1);
  CHECK(reports[0].items == 1);
  CHECK(reports[0].tokens == 10);

  Fixture other;
  JobRecord record = own;
  record.status.owner = VmId("vm2");
  other.Handle(JobUpdated{record}, 0s);
  CHECK(other.scheduler.UnfinishedWork()[0].tokens == 40);
  other.Handle(JobProgressReported{reports}, 2s);
  // An older report that arrives late sets nothing back.
  other.Handle(JobProgressReported{{{.job = own.key}}}, 2s);
  CHECK(other.scheduler.UnfinishedWork()[0].tokens == 30);
  CHECK(other.scheduler.UnfinishedWork()[0].items == 1);
  record.status.ended = true;
  record.version = ObjectVersion(2);
  other.Handle(JobUpdated{record}, 3s);
  CHECK(other.scheduler.UnfinishedWork().empty());
}

TEST_CASE("Finished jobs are deleted after their retention") {
  Fixture f;
  JobRecord record = Record("j", "vm1", 1);
  record.status.finished = true;
  f.Handle(SchedulerActivated{}, 0s);
  f.MakePeerSilent(3s);
  f.Handle(JobUpdated{record}, 3s);
  CHECK(Find<DeleteJob>(f.Handle(SchedulerTick{}, 170s)) == nullptr);
  CHECK(Find<DeleteJob>(f.Handle(SchedulerTick{}, 181s)) != nullptr);
  CHECK(Find<DeleteJob>(f.Handle(SchedulerTick{}, 182s)) == nullptr);
}

// Guards against documents of a job that stay in the store for ever, and
// against a second removal while the first one may still be carried out.
TEST_CASE("A deletion that failed is repeated after the time of late writes") {
  Fixture f;
  JobRecord record = Record("j", "vm1", 1);
  record.status.finished = true;
  f.Handle(JobUpdated{record}, 0s);
  f.MakePeerSilent(199s);
  CHECK(Find<DeleteJob>(f.Handle(SchedulerTick{}, 200s)) != nullptr);
  CHECK(Find<DeleteJob>(f.Handle(SchedulerTick{}, 201s)) == nullptr);
  f.Handle(JobDeletionFailed{record.key}, 202s);
  CHECK(Find<DeleteJob>(f.Handle(SchedulerTick{}, 231s)) == nullptr);
  CHECK(Find<DeleteJob>(f.Handle(SchedulerTick{}, 233s)) != nullptr);
}

TEST_CASE("A host has jobs until the last record of one is removed") {
  Fixture f;
  JobRecord first = Record("j1", "vm2", 2);
  JobRecord second = Record("j2", "vm2", 2);
  first.definition.host = "H.example:8689";
  second.definition.host = "h.example";
  f.scheduler.Handle(JobUpdated{first}, At(0s));
  f.scheduler.Handle(JobUpdated{first}, At(0s));
  f.scheduler.Handle(JobUpdated{second}, At(0s));
  CHECK(f.scheduler.HasJobOf("h.example"));
  CHECK_FALSE(f.scheduler.HasJobOf("other.example"));
  f.scheduler.Handle(JobRemoved{first.key}, At(1s));
  f.scheduler.Handle(JobRemoved{first.key}, At(1s));
  CHECK(f.scheduler.HasJobOf("h.example"));
  // Removed and submitted again meanwhile.
  second.definition.host = "other.example";
  second.version = ObjectVersion(2);
  f.scheduler.Handle(JobUpdated{second}, At(2s));
  CHECK_FALSE(f.scheduler.HasJobOf("h.example"));
  CHECK(f.scheduler.HasJobOf("other.example"));
  f.scheduler.Handle(JobRemoved{second.key}, At(3s));
  CHECK_FALSE(f.scheduler.HasJobOf("other.example"));
}

}  // namespace
}  // namespace cowslip
