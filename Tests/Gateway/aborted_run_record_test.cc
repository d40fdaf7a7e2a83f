// What blocks a request outlives the gateways that have seen it.
#include <fcntl.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "Base/event_log.h"
#include "Gateway/aborted_run_documents.h"
#include "Gateway/aborted_run_records.h"
#include "Peers/peer_table.h"
#include "Placement/aborted_run_tracker.h"
#include "gateway_fixture.h"
#include "raw_backend.h"
#include "raw_request.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

const VmId kSelf("vm1");
const std::string kRecordKind = kAbortedRunsKind;
constexpr char kCrashing[] = "/once/crash";
constexpr size_t kBackends = 8;
constexpr size_t kCrashes = 3;

// Backend servers that end the connection of one request, as a crash does.
struct CrashingFleet {
  CrashingFleet() : f(0) {
    for (size_t i = 0; i < kBackends; ++i) {
      m_backends.push_back(std::make_unique<RawBackend>(
          f.context, [this](const HttpRequest& request) {
            if (request.target == kCrashing) {
              ++runs;
              return RawAnswer{.bytes = "", .end = ConnectionEnd::kClosed};
            }
            return RawAnswer{
                .bytes = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
                .end = ConnectionEnd::kKeptOpen};
          }));
      RegisterRawBackend(f, "raw-" + std::to_string(i), *m_backends.back());
    }
  }

  // The status, or 0 without a response.
  awaitable<int> Send(size_t gateway) {
    HttpRequest request =
        f.Request("POST", kCrashing, "a" + std::to_string(++m_sent), "same");
    const auto response = co_await f.Send(gateway, std::move(request));
    INFO(GatewayFixture::Describe(response));
    co_return response.has_value() ? response.value().status : 0;
  }
  awaitable<void> SendUntilBlocked(size_t gateway) {
    for (size_t i = 0; i < kCrashes; ++i) {
      const int status = co_await Send(gateway);
      CHECK(status == 502);
    }
    REQUIRE(runs == kCrashes);
  }
  awaitable<bool> WaitForRecord() {
    const auto recorded = [this] {
      return f.store.Find(kRecordKind, "gateway-0") != nullptr;
    };
    for (int i = 0; i < 100 && !recorded(); ++i) {
      co_await f.Sleep(10ms);
    }
    co_return recorded();
  }

  GatewayFixture f;
  size_t runs = 0;

 private:
  std::vector<std::unique_ptr<RawBackend>> m_backends;
  size_t m_sent = 0;
};

// Guards against a request that crashes backend servers again once all gateways
// have been killed.
TEST_CASE("A request that crashes backend servers is blocked after a restart") {
  CrashingFleet fleet;
  GatewayFixture& f = fleet.f;
  f.AddKillableGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await fleet.SendUntilBlocked(0);
    const bool recorded = co_await fleet.WaitForRecord();
    CHECK(recorded);
    f.KillGateway();
    const size_t next = f.AddGateway();
    co_await f.WaitUntilReady();
    const int status = co_await fleet.Send(next);
    CHECK(status == 503);
    CHECK(fleet.runs == kCrashes);
  });
}

// Guards against trials that are forgotten with the gateways, because the store
// was down when they were made.
TEST_CASE("A blocked request is not tried while the store takes no records") {
  CrashingFleet fleet;
  GatewayFixture& f = fleet.f;
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    f.server.SetFault(ServerFault::kBusy, kRecordKind);
    co_await fleet.SendUntilBlocked(0);
    co_await f.Sleep(2500ms);
    const int refused = co_await fleet.Send(0);
    CHECK(refused == 503);
    CHECK(fleet.runs == kCrashes);
    f.server.SetFault(ServerFault::kNone);
    co_await f.Sleep(2500ms);
    const int tried = co_await fleet.Send(0);
    CHECK(tried == 502);
    CHECK(fleet.runs == kCrashes + 1);
  });
}

// The response to the record is lost, and it is written again.
TEST_CASE("A block is recorded though the store loses its answers") {
  CrashingFleet fleet;
  GatewayFixture& f = fleet.f;
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    f.server.SetFault(ServerFault::kLoseAnswers, kRecordKind);
    co_await fleet.SendUntilBlocked(0);
    const bool recorded = co_await fleet.WaitForRecord();
    CHECK(recorded);
    f.server.SetFault(ServerFault::kNone);
    co_await f.Sleep(2500ms);
    const int tried = co_await fleet.Send(0);
    CHECK(tried == 502);
    CHECK(fleet.runs == kCrashes + 1);
  });
}

// The records of one VM, in front of a store in memory.
struct RecordsFixture {
  explicit RecordsFixture(AbortedRunRecordsOptions options = {.self = kSelf})
      : records(io, store, tracker, peers, log, options, [] {}) {}
  ~RecordsFixture() { ::close(null); }

  // Handles everything that is due.
  void Poll() {
    records.Update();
    io.restart();
    io.poll();
  }
  void Block(const Fingerprint& request) {
    for (size_t i = 0; i < kCrashes; ++i) {
      tracker.Handle(RunAborted{request}, MonotonicClock::now());
    }
  }
  size_t RecordedEntries() {
    const Document* record = store.Find(kRecordKind, kSelf.value());
    return record == nullptr ? 0 : record->content.at("runs").size();
  }

  boost::asio::io_context io;
  FakeDocumentStore store;
  int null = ::open("/dev/null", O_WRONLY);
  EventLog log{EventLogOptions{.descriptor = null}};
  PeerTable peers{PeerTableOptions{.self = kSelf}};
  AbortedRunTracker tracker{AbortedRunTrackerOptions{.self = kSelf}};
  AbortedRunRecords records;
};

// Each write is priced.
TEST_CASE("A record is written when it changes, and not otherwise") {
  RecordsFixture f({.self = kSelf, .writes_per_s = 1'000'000});
  f.records.Start();
  f.Poll();
  f.Block(Fingerprint("blocked"));
  f.Poll();
  CHECK(f.RecordedEntries() == 1);
  const ObjectVersion written = f.store.version();
  for (int i = 0; i < 10; ++i) {
    const Fingerprint other("other" + std::to_string(i));
    f.tracker.Handle(RunAborted{other}, MonotonicClock::now());
    f.tracker.Handle(RunCompleted{other}, MonotonicClock::now());
    f.Poll();
  }
  CHECK(f.store.version() == written);
  f.tracker.Handle(RunCompleted{Fingerprint("blocked")}, MonotonicClock::now());
  // The interval between two writes passes.
  std::this_thread::sleep_for(1ms);
  f.Poll();
  CHECK(f.RecordedEntries() == 0);
}

// Guards against an interval that is rounded to whole seconds.
TEST_CASE("Records are written at a bounded rate") {
  RecordsFixture f({.self = kSelf, .writes_per_s = 10});
  f.records.Start();
  f.Poll();
  f.Block(Fingerprint("a"));
  f.Poll();
  CHECK(f.RecordedEntries() == 1);
  f.Block(Fingerprint("b"));
  f.Poll();
  CHECK(f.RecordedEntries() == 1);
  std::this_thread::sleep_for(120ms);
  f.Poll();
  CHECK(f.RecordedEntries() == 2);
}

TEST_CASE("A late write of an earlier incarnation is kept in the record") {
  RecordsFixture f({.self = kSelf, .retry_delay = 0s});
  f.records.Start();
  f.Poll();
  const AbortedRuns late{.fingerprint = Fingerprint("late"),
                         .count = 3,
                         .vm = kSelf,
                         .incarnation = Incarnation(7)};
  f.store.Put(kRecordKind, kSelf.value(),
              EncodeAbortedRunRecord({late}, WallNow()));
  f.Block(Fingerprint("new"));
  f.Poll();
  f.Poll();
  CHECK(f.RecordedEntries() == 2);
  CHECK(f.tracker.IsBlocked(Fingerprint("late"), MonotonicClock::now()));
}

// Guards against a record that a late write takes away: it held nothing, and
// the document looked as it should when the write was in doubt.
TEST_CASE("A write in doubt does not take effect after the block came back") {
  RecordsFixture f({.self = kSelf, .retry_delay = 0s});
  const Fingerprint request("f");
  f.records.Start();
  f.Poll();
  f.Block(request);
  f.Poll();
  REQUIRE(f.RecordedEntries() == 1);
  f.tracker.Handle(RunCompleted{request}, MonotonicClock::now());
  f.store.FailNext(StoreFault::kDelayWrite);
  std::this_thread::sleep_for(30ms);
  f.Poll();
  f.Block(request);
  f.Poll();
  f.Poll();
  f.store.DoLateWrites();
  CHECK(f.RecordedEntries() == 1);
}

TEST_CASE("Records of VMs that write no more are removed") {
  RecordsFixture f({.self = kSelf, .removal_delay = 0s});
  const AbortedRuns old{.fingerprint = Fingerprint("f"),
                        .count = 3,
                        .age = 21min,
                        .vm = VmId("gone")};
  AbortedRuns recent = old;
  recent.age = 1min;
  f.store.Put(kRecordKind, "gone", EncodeAbortedRunRecord({old}, WallNow()));
  f.store.Put(kRecordKind, "other",
              EncodeAbortedRunRecord({recent}, WallNow()));
  f.store.Put(kRecordKind, "unreadable", {{"runs", 5}});
  f.records.Start();
  f.Poll();
  f.Poll();
  CHECK(f.store.Find(kRecordKind, "gone") == nullptr);
  CHECK(f.store.Find(kRecordKind, "other") != nullptr);
  CHECK(f.tracker.IsBlocked(Fingerprint("f"), MonotonicClock::now()));
}

}  // namespace
}  // namespace cowslip
