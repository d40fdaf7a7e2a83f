#include <fcntl.h>
#include <unistd.h>

#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "Base/event_log.h"
#include "Gateway/aborted_run_records.h"
#include "Gateway/dispatcher.h"
#include "Gateway/gateway_context.h"
#include "Gateway/gateway_metrics.h"
#include "Gateway/job_runner.h"
#include "Gateway/shutdown_notice.h"
#include "Gateway/startup_gate.h"
#include "Gateway/stream_origin_directory.h"
#include "Gateway/version_history.h"
#include "Jobs/job_documents.h"
#include "Peers/peer_table.h"
#include "Placement/aborted_run_tracker.h"
#include "Placement/crash_suspect_core.h"
#include "Placement/route_history.h"
#include "Quota/quota_core.h"
#include "Utilities/StandIns/MetadataStore/fake_document_store.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

const VmId kSelf("vm1");
const JobKey kJob("j.mill");
// More than a record without the output of items holds.
constexpr size_t kOutputBytes = 50'000;

/// One job runner without backend servers, in front of a store in memory.
struct Fixture {
  boost::asio::io_context io;
  FakeDocumentStore store;
  int null = ::open("/dev/null", O_WRONLY);
  PeerTable peers{PeerTableOptions{.self = kSelf}};
  Dispatcher dispatcher{io, DispatcherOptions{.placement = {.self = kSelf}},
                        [] {}};
  QuotaCore quota{QuotaOptions{}};
  AbortedRunTracker aborted_runs{AbortedRunTrackerOptions{}};
  EventLog log{EventLogOptions{.descriptor = null}};
  AbortedRunRecords aborted_run_records{
      io, store, aborted_runs, peers, log, {.self = kSelf}, [] {}};
  CrashSuspectCore crash_suspects{CrashSuspectOptions{.self = kSelf}, peers};
  StreamOriginDirectory stream_origins{
      io.get_executor(), StreamOriginOptions{.self = kSelf}, peers,
      [](const Endpoint&, const auto&) {}};
  VersionHistory version_history{io,
                                 store,
                                 peers,
                                 log,
                                 [](const auto& ended) { ended(false); },
                                 {.self = kSelf}};
  RouteHistory route_history;
  GatewayMetrics metrics;
  StartupGate startup_gate{io};
  ShutdownNotice shutdown_notice;
  GatewayContext gateway{.io = io,
                         .dispatcher = dispatcher,
                         .quota = quota,
                         .aborted_runs = aborted_runs,
                         .aborted_run_records = aborted_run_records,
                         .crash_suspects = crash_suspects,
                         .stream_origins = stream_origins,
                         .version_history = version_history,
                         .route_history = route_history,
                         .log = log,
                         .metrics = metrics,
                         .startup_gate = startup_gate,
                         .shutdown_notice = shutdown_notice,
                         .reported_state_changed = [] {}};
  JobScheduler scheduler{JobSchedulerOptions{.self = kSelf,
                                             .incarnation = Incarnation(1),
                                             .claim_backoff = 10ms,
                                             .peer_discovery_time = 0ms},
                         peers};
  JobRunner runner{gateway, store, scheduler, JobRunnerOptions{}};

  ~Fixture() { ::close(null); }

  // Handles everything that is due.
  void Poll() {
    io.restart();
    io.poll();
  }
  const Document& Job() { return *store.Find(kJobKind, kJob.value()); }
  JobStatus Status() { return DecodeJob(Job())->status; }
  void PutStatus(const JobStatus& status) {
    bool done = false;
    boost::asio::co_spawn(
        io,
        [&]() -> boost::asio::awaitable<void> {
          const DocumentKind kind(kJobKind);
          const DocumentName name(kJob.value());
          nlohmann::json encoded = EncodeStatus(status);
          const ObjectVersion version = Job().version;
          const auto put = co_await store.ReplaceStatus(
              kind, name, std::move(encoded), version);
          done = put.has_value();
        },
        boost::asio::detached);
    Poll();
    REQUIRE(done);
  }
  // Opens a job of two items that this process owns.
  void OpenJob() {
    JobStatus status;
    scheduler.SetOwner(status);
    StoreJob(status);
    runner.HandleJobDocument(Job(), "list");
    Poll();
    REQUIRE(scheduler.IsOpen(kJob));
  }
  // Ticks until the job is open, for at most a second.
  bool IsOpenedSoon() {
    const MonotonicTime end = MonotonicClock::now() + 1s;
    while (!scheduler.IsOpen(kJob) && MonotonicClock::now() < end) {
      runner.Tick();
      Poll();
      std::this_thread::sleep_for(5ms);
    }
    return scheduler.IsOpen(kJob);
  }
  // Stores a job of two items.
  void StoreJob(const JobStatus& status) {
    const std::vector<JobItem> items = {{.id = ItemId("a")},
                                        {.id = ItemId("b")}};
    const JobDefinition definition{.id = JobId("j"),
                                   .organisation = OrganisationId("mill"),
                                   .digest = Digest("0123456789abcdef"),
                                   .submitted = WallNow(),
                                   .due = WallNow() + 18s,
                                   .give_up = WallNow() + 60s,
                                   .input_segments = 1,
                                   .items = {ItemId("a"), ItemId("b")}};
    store.Put(kInputKind, InputName(kJob, definition.digest, 0).value(),
              EncodeInputs(items).front());
    store.Put(kJobKind, kJob.value(), EncodeDefinition(definition));
    PutStatus(status);
  }
  void RunItem(const char* item) {
    runner.HandleEvent(ItemStarted{kJob, ItemId(item), BackendId("x")});
    runner.HandleEvent(ItemRunEnded{kJob,
                                    ItemId(item),
                                    ItemRunOutcome::kInterrupted,
                                    {.last_event = 9,
                                     .output = std::string(kOutputBytes, 'o'),
                                     .version = SoftwareVersion("v1")}});
  }
};

TEST_CASE("A hand-back does not undo the end of its job") {
  Fixture f;
  f.OpenJob();
  JobStatus ended = f.Status();
  ended.ended = true;
  f.PutStatus(ended);
  // The end is read after the hand-back was decided and before it is written.
  f.runner.HandleEvent(SchedulerStopping{});
  f.runner.HandleJobDocument(f.Job(), "watch");
  f.Poll();
  CHECK(f.Status().ended);
}

// Guards against a removal that the store carries out late, when another job
// has the id: the record keeps the id in use until then.
TEST_CASE("A job's record stays until its other documents are surely gone") {
  Fixture f;
  f.OpenJob();
  JobDefinition old = DecodeJob(f.Job())->definition;
  old.submitted -= 200s;
  old.give_up -= 200s;
  JobStatus finished = f.Status();
  finished.finished = true;
  f.store.Put(kJobKind, kJob.value(), EncodeDefinition(old));
  f.PutStatus(finished);
  f.runner.HandleJobDocument(f.Job(), "watch");
  f.store.delays_removals = true;
  f.runner.Tick();
  f.Poll();
  REQUIRE(f.store.Find(kJobKind, kJob.value()) != nullptr);
  f.store.DoLateWrites();
  f.store.delays_removals = false;
  CHECK(f.store.Find(kJobKind, kJob.value()) != nullptr);
}

// Guards against a job that nobody runs: the store loses the response to its
// claim and refuses the read after it, and the watch shows the claim meanwhile.
TEST_CASE("A job whose claim got no response is run once the claim is known") {
  Fixture f;
  f.runner.HandleEvent(SchedulerActivated{});
  f.StoreJob(JobStatus{.owner = VmId("vm9"), .incarnation = Incarnation(9)});
  f.store.FailNext(StoreFault::kLoseAnswer);
  bool is_claimed = false;
  f.store.OnChange([&] {
    is_claimed = true;
    f.runner.HandleJobDocument(f.Job(), "watch");
    f.store.FailNext(StoreFault::kRefuse);
  });
  f.runner.HandleJobDocument(f.Job(), "list");
  f.Poll();
  REQUIRE(is_claimed);
  CHECK(f.IsOpenedSoon());
}

// Guards against a job that stays unfinished, and is never deleted, because the
// write that finishes it had no effect.
TEST_CASE("A job whose end could not be written is finished later") {
  Fixture f;
  f.OpenJob();
  for (const char* item : {"a", "b"}) {
    f.runner.HandleEvent(ItemStarted{kJob, ItemId(item), BackendId("x")});
    f.runner.HandleEvent(ItemRunEnded{kJob,
                                      ItemId(item),
                                      ItemRunOutcome::kCompleted,
                                      {.last_event = 1, .output = "out"}});
  }
  f.store.OnChange([&] { f.store.FailNext(StoreFault::kRefuse); });
  f.Poll();
  REQUIRE_FALSE(f.Status().finished);
  f.store.FailNext(StoreFault::kNone);
  std::this_thread::sleep_for(20ms);
  f.runner.Tick();
  f.Poll();
  CHECK(f.Status().finished);
}

// Guards against results that are never written: the job was closed before
// their write began, and is opened again later.
TEST_CASE("Results are written by an owner that was replaced before") {
  Fixture f;
  f.runner.HandleEvent(SchedulerActivated{});
  f.OpenJob();
  const auto complete = [&](const char* item) {
    f.runner.HandleEvent(ItemStarted{kJob, ItemId(item), BackendId("x")});
    f.runner.HandleEvent(ItemRunEnded{kJob,
                                      ItemId(item),
                                      ItemRunOutcome::kCompleted,
                                      {.last_event = 1, .output = "out"}});
  };
  f.PutStatus(JobStatus{.owner = VmId("vm9"), .incarnation = Incarnation(9)});
  complete("a");
  complete("b");
  f.runner.HandleJobDocument(f.Job(), "watch");
  f.Poll();
  REQUIRE(f.IsOpenedSoon());
  complete("a");
  complete("b");
  f.Poll();
  f.runner.HandleJobDocument(f.Job(), "watch");
  CHECK(f.Status().finished);
}

TEST_CASE("A hand-back keeps the output of items out of the job's record") {
  Fixture f;
  f.OpenJob();
  f.RunItem("a");
  f.runner.HandleEvent(SchedulerStopping{});
  f.Poll();
  // Every gateway reads the record in each listing of jobs.
  CHECK(f.Status().owner.empty());
  CHECK(f.Job().status.dump().size() < kOutputBytes);
  const Document* saved =
      f.store.Find(kProgressKind, ProgressName(kJob).value());
  REQUIRE(saved != nullptr);
  CHECK(DecodeProgress(saved->content).value().at(ItemId("a")).last_event == 9);
}

TEST_CASE("A hand-back whose progress cannot be saved keeps it in the record") {
  Fixture f;
  f.OpenJob();
  f.RunItem("a");
  f.store.FailNext(StoreFault::kRefuse);
  f.runner.HandleEvent(SchedulerStopping{});
  f.Poll();
  CHECK(f.Status().owner.empty());
  CHECK(f.Status().progress.at(ItemId("a")).last_event == 9);
}

}  // namespace
}  // namespace cowslip
