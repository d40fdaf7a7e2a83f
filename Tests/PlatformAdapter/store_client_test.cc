#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include "Platform/document_watcher.h"
#include "Tests/PlatformAdapter/odd_content.h"
#include "Utilities/StandIns/MetadataStore/metadata_server.h"
#include "platform/store_client.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

const DocumentKind kKind("things");

/// A stand-in of the metadata store and a client connected to it.
struct Fixture {
  boost::asio::io_context context;
  FakeDocumentStore store;
  MetadataServer server{context, store};
  std::unique_ptr<platform::StoreClient> client;

  Fixture() {
    REQUIRE(server.Start().has_value());
    client = std::make_unique<platform::StoreClient>(
        context.get_executor(), Endpoint{.port = server.port()},
        platform::StoreClientOptions{.call_timeout = 500ms});
  }

  template <class Body>
  void Run(Body body) {
    bool done = false;
    boost::asio::co_spawn(
        context,
        [&]() -> awaitable<void> {
          co_await body();
          done = true;
          context.stop();
        },
        boost::asio::detached);
    context.run_for(20s);
    CHECK(done);
  }
  /// Returns when `condition` holds, or after two seconds.
  template <class Condition>
  awaitable<void> WaitUntil(Condition condition) {
    const Duration pause = 5ms;
    for (int i = 0; i < 400 && !condition(); ++i) {
      co_await Sleep(pause);
    }
  }
  awaitable<void> Sleep(Duration pause) {
    boost::asio::steady_timer timer(context, pause);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
};

// Guards against names that lead to the path of another document.
TEST_CASE("A name with a slash is one segment of the store's paths") {
  Fixture f;
  f.Run([&]() -> awaitable<void> {
    f.store.Put("things", "a", {{"x", 1}});
    const DocumentName name("a/status");
    nlohmann::json first = {{"x", 2}};
    const auto created =
        co_await f.client->Create(kKind, name, std::move(first));
    REQUIRE(created.has_value());
    const auto read = co_await f.client->Get(kKind, name);
    REQUIRE(read.has_value());
    CHECK(read.value().content["x"] == 2);
    nlohmann::json content = {{"x", 3}};
    const ObjectVersion version = read.value().version;
    const auto replaced =
        co_await f.client->Replace(kKind, name, std::move(content), version);
    CHECK(replaced.has_value());
    CHECK(f.store.Find("things", "a")->content["x"] == 1);
    CHECK(f.store.Find("things", "a")->status.is_null());
  });
}

TEST_CASE("Documents are created, read, replaced and removed") {
  Fixture f;
  f.Run([&]() -> awaitable<void> {
    const DocumentName name("a b/c");
    nlohmann::json content = {{"x", 1}};
    auto created = co_await f.client->Create(kKind, name, content);
    REQUIRE(created.has_value());
    auto again = co_await f.client->Create(kKind, name, content);
    CHECK(again.error().kind() == ErrorKind::kConflict);
    const ObjectVersion version = created.value().version;
    nlohmann::json status = {{"state", "running"}};
    auto reported =
        co_await f.client->ReplaceStatus(kKind, name, status, version);
    REQUIRE(reported.has_value());
    auto stale = co_await f.client->Replace(kKind, name, content, version);
    CHECK(stale.error().kind() == ErrorKind::kConflict);
    auto got = co_await f.client->Get(kKind, name);
    CHECK(got.value().content == content);
    CHECK(got.value().status == status);
    const Result<void> removed = co_await f.client->Remove(kKind, name);
    INFO((removed.has_value() ? std::string() : removed.error().message));
    CHECK(removed.has_value());
    auto after_removal = co_await f.client->Get(kKind, name);
    CHECK(after_removal.error().kind() == ErrorKind::kNotFound);
  });
}

TEST_CASE("A document is removed only at the expected version") {
  Fixture f;
  f.Run([&]() -> awaitable<void> {
    const DocumentName name("a");
    nlohmann::json content = {{"x", 1}};
    auto created = co_await f.client->Create(kKind, name, std::move(content));
    REQUIRE(created.has_value());
    const ObjectVersion first = created.value().version;
    CHECK(created.value().created == first);
    nlohmann::json status = {{"y", 1}};
    auto changed =
        co_await f.client->ReplaceStatus(kKind, name, std::move(status), first);
    REQUIRE(changed.has_value());
    CHECK(changed.value().created == first);
    auto too_old = co_await f.client->RemoveAt(kKind, name, first);
    REQUIRE_FALSE(too_old.has_value());
    CHECK(too_old.error().kind() == ErrorKind::kConflict);
    const ObjectVersion second = changed.value().version;
    auto removed = co_await f.client->RemoveAt(kKind, name, second);
    CHECK(removed.has_value());
    auto gone = co_await f.client->RemoveAt(kKind, name, second);
    REQUIRE_FALSE(gone.has_value());
    CHECK(gone.error().kind() == ErrorKind::kNotFound);
  });
}

TEST_CASE(
    "A write is unavailable when refused and in doubt without a response") {
  Fixture f;
  f.Run([&]() -> awaitable<void> {
    const DocumentName name("a");
    nlohmann::json content = {{"x", 1}};
    f.server.SetFault(ServerFault::kBusy);
    auto refused = co_await f.client->Create(kKind, name, content);
    CHECK(refused.error().kind() == ErrorKind::kUnavailable);
    f.server.SetFault(ServerFault::kLoseAnswers);
    auto lost = co_await f.client->Create(kKind, name, content);
    CHECK(lost.error().kind() == ErrorKind::kInDoubt);
    CHECK(f.store.Find("things", "a") != nullptr);
    f.server.SetFault(ServerFault::kReset);
    auto read = co_await f.client->Get(kKind, name);
    CHECK(read.error().kind() == ErrorKind::kUnavailable);
  });
}

/// Watches the documents of kKind. Records their names and counts the events.
struct WatchRecorder {
  explicit WatchRecorder(Fixture& f, DocumentWatcherOptions options = {}) {
    options.kind = kKind;
    options.wait = 2s;
    options.initial_backoff = 20ms;
    watcher = std::make_shared<DocumentWatcher>(
        f.context.get_executor(), *f.client, std::move(options),
        DocumentWatcherEvents{
            .listed =
                [this](const std::vector<DocumentChange>& changes) {
                  ++listings;
                  for (const DocumentChange& change : changes) {
                    Apply(change);
                  }
                },
            .changed = [this](const DocumentChange& change) { Apply(change); },
            .lost = [this](const Error&) { ++lost; },
            .regained = [this] { ++regained; }});
    watcher->Start();
  }
  void Apply(const DocumentChange& change) {
    const std::string name = change.document.name.value();
    change.removed ? (void)names.erase(name) : (void)names.insert(name);
    contents[name] = change.document.content;
  }
  std::shared_ptr<DocumentWatcher> watcher;
  std::set<std::string> names;
  std::map<std::string, nlohmann::json> contents;
  int listings = 0;
  int lost = 0;
  int regained = 0;
};

TEST_CASE("A watcher lists several pages, then applies each change") {
  Fixture f;
  for (const char* name : {"a", "b", "c", "d", "e", "f", "g"}) {
    f.store.Put("things", name, {{"x", 1}});
  }
  WatchRecorder recorder(f);
  f.Run([&]() -> awaitable<void> {
    co_await f.Sleep(100ms);
    CHECK(recorder.names.size() == 7);
    f.store.Erase("things", "b");
    f.store.Put("things", "h", {{"x", 1}});
    co_await f.Sleep(50ms);
    CHECK(recorder.names.size() == 7);
    CHECK(recorder.names.contains("h"));
    CHECK(recorder.listings == 1);
  });
}

TEST_CASE("A watcher lists again after the store has compacted its history") {
  Fixture f;
  WatchRecorder recorder(f);
  f.Run([&]() -> awaitable<void> {
    co_await f.Sleep(50ms);
    f.server.SetFault(ServerFault::kReset);
    co_await f.Sleep(50ms);
    f.store.Put("things", "a", {{"x", 1}});
    f.store.Compact();
    f.store.Put("things", "b", {{"x", 1}});
    f.server.SetFault(ServerFault::kNone);
    co_await f.Sleep(1200ms);
    CHECK(recorder.names == std::set<std::string>{"a", "b"});
    CHECK(recorder.listings == 2);
  });
}

TEST_CASE("A poll finds changes that a stalled watch does not deliver") {
  Fixture f;
  WatchRecorder recorder(f);
  f.Run([&]() -> awaitable<void> {
    co_await f.Sleep(50ms);
    f.server.SetFault(ServerFault::kDeafWatches);
    f.store.Put("things", "a", {{"x", 1}});
    co_await f.Sleep(100ms);
    CHECK(recorder.names.empty());
    SECTION("The history is available") {
      recorder.watcher->Poll();
      co_await f.Sleep(100ms);
      CHECK(recorder.names == std::set<std::string>{"a"});
    }
    SECTION("The history has been compacted") {
      f.store.Compact();
      const uint64_t before = recorder.watcher->digest();
      recorder.watcher->Poll();
      co_await f.Sleep(100ms);
      CHECK(recorder.names == std::set<std::string>{"a"});
      CHECK(recorder.watcher->digest() != before);
    }
  });
}

// Each caller after a quiet time started a read of its own.
TEST_CASE("Calls of CatchUp that come together share a read") {
  Fixture f;
  WatchRecorder recorder(f);
  f.Run([&]() -> awaitable<void> {
    co_await f.Sleep(50ms);
    size_t ended = 0;
    const auto catch_up = [&] {
      recorder.watcher->CatchUp([&](bool is_current) { ended += is_current; });
    };
    for (const Duration quiet : {0ms, 1600ms}) {
      co_await f.Sleep(quiet);
      const size_t before = f.server.calls().at("watch things");
      ended = 0;
      constexpr size_t kCallers = 20;
      for (size_t i = 0; i < kCallers; ++i) {
        catch_up();
      }
      co_await f.Sleep(200ms);
      CHECK(ended == kCallers);
      CHECK(f.server.calls().at("watch things") - before <= 2);
    }
  });
}

TEST_CASE("A watcher reports the start and the end of an outage once") {
  Fixture f;
  WatchRecorder recorder(f);
  f.Run([&]() -> awaitable<void> {
    co_await f.Sleep(50ms);
    CHECK(recorder.regained == 1);
    f.server.SetFault(ServerFault::kBusy);
    co_await f.Sleep(600ms);
    CHECK(recorder.lost == 1);
    f.server.SetFault(ServerFault::kNone);
    co_await f.Sleep(1200ms);
    CHECK(recorder.regained == 2);
  });
}

TEST_CASE(
    "AssumeStale reports the store as lost until it has been read again") {
  Fixture f;
  WatchRecorder recorder(f);
  f.Run([&]() -> awaitable<void> {
    co_await f.Sleep(50ms);
    f.server.SetFault(ServerFault::kDeafWatches);
    f.store.Put("things", "a", {{"x", 1}});
    SECTION("The store is available") {
      recorder.watcher->AssumeStale(Error(ErrorKind::kUnavailable, "asleep"));
      CHECK(recorder.lost == 1);
    }
    SECTION("The store becomes available later") {
      f.server.SetFault(ServerFault::kBusy);
      recorder.watcher->AssumeStale(Error(ErrorKind::kUnavailable, "asleep"));
      co_await f.Sleep(300ms);
      CHECK(recorder.lost == 1);
      CHECK(recorder.regained == 1);
      f.server.SetFault(ServerFault::kNone);
      co_await f.Sleep(1200ms);
    }
    co_await f.Sleep(100ms);
    CHECK(recorder.regained == 2);
    CHECK(recorder.names == std::set<std::string>{"a"});
  });
}

// A store that keeps no history answers each watch at once.
TEST_CASE(
    "A watcher pauses between watches without history and stays current") {
  Fixture f;
  WatchRecorder recorder(f, {.max_history_backoff = 2s});
  f.Run([&]() -> awaitable<void> {
    co_await f.Sleep(50ms);
    f.server.SetFault(ServerFault::kNoHistory);
    co_await f.Sleep(1s);
    size_t calls = 0;
    for (const auto& [call, count] : f.server.calls()) {
      calls += count;
    }
    CHECK(calls <= 20);
    f.store.Put("things", "a", {{"x", 1}});
    bool has_read_everything = false;
    recorder.watcher->Poll([&](bool ended) { has_read_everything = ended; });
    co_await f.Sleep(50ms);
    CHECK(has_read_everything);
    CHECK(recorder.names == std::set<std::string>{"a"});
  });
}

// The late response must not hold up what has changed since.
TEST_CASE("A refresh without a response is repeated") {
  Fixture f;
  WatchRecorder recorder(f, {.read_timeout = 100ms});
  f.Run([&]() -> awaitable<void> {
    co_await f.Sleep(50ms);
    f.server.SetFault(ServerFault::kDeafWatches);
    f.store.Put("things", "a", {{"x", 1}});
    f.server.SetDelay(10s);
    recorder.watcher->Refresh();
    co_await f.Sleep(50ms);
    f.server.SetDelay(0s);
    co_await f.Sleep(100ms);
    CHECK(recorder.names == std::set<std::string>{"a"});
  });
}

TEST_CASE("A refresh that fails is repeated although a watch is pending") {
  Fixture f;
  WatchRecorder recorder(f, {});
  f.Run([&]() -> awaitable<void> {
    co_await f.Sleep(50ms);
    f.server.SetFault(ServerFault::kDeafWatches);
    f.store.Put("things", "a", {{"x", 1}});
    co_await f.Sleep(20ms);  // The pending watch has looked at the change.
    f.store.FailNext(StoreFault::kRefuse);
    recorder.watcher->Refresh();
    co_await f.Sleep(200ms);
    CHECK(recorder.names == std::set<std::string>{"a"});
  });
}

TEST_CASE("A poll lists after a listing has failed beside a silent watch") {
  Fixture f;
  WatchRecorder recorder(f, {});
  f.Run([&]() -> awaitable<void> {
    co_await f.Sleep(50ms);
    f.server.SetFault(ServerFault::kDeafWithoutHistory);
    f.store.Put("things", "a", {{"x", 1}});
    // The poll is told that its history is gone, and cannot list.
    co_await f.Sleep(20ms);  // The pending watch has looked at the change.
    f.store.FailNext(StoreFault::kRefuse);
    std::vector<bool> ends;
    recorder.watcher->Poll([&](bool ended) { ends.push_back(ended); });
    co_await f.Sleep(50ms);
    recorder.watcher->Poll([&](bool ended) { ends.push_back(ended); });
    co_await f.Sleep(50ms);
    CHECK(ends == std::vector<bool>{false, true});
    CHECK(recorder.names == std::set<std::string>{"a"});
  });
}

// Otherwise each later change costs a listing until the watch times out.
TEST_CASE("A watch that has missed a change is replaced when it is old") {
  Fixture f;
  WatchRecorder recorder(f);
  f.Run([&]() -> awaitable<void> {
    co_await f.Sleep(1100ms);
    f.server.SetFault(ServerFault::kDeafWatches);
    f.store.Put("things", "a", {{"x", 1}});
    co_await f.Sleep(20ms);
    const size_t before = f.server.calls().at("watch things");
    recorder.watcher->Refresh();
    co_await f.Sleep(50ms);
    CHECK(f.server.calls().at("watch things") == before + 1);
    f.store.Put("things", "b", {{"x", 1}});
    recorder.watcher->Refresh();
    co_await f.Sleep(50ms);
    CHECK(f.server.calls().at("watch things") == before + 1);
  });
}

// An unreadable content made the whole listing or watch unusable.
TEST_CASE("A watcher passes documents whose content cannot be read") {
  Fixture f;
  const std::vector<std::string> odd = OddContents();
  const size_t variant = GENERATE_COPY(range(size_t{0}, odd.size()));
  INFO(odd[variant].substr(0, 200));
  for (const char* name : {"a", "c", "e", "g"}) {
    f.store.Put("things", name, {{"x", 1}});
  }
  f.store.Put("things", "b", RawContent(odd[variant]));
  WatchRecorder recorder(f);
  using Names = std::set<std::string>;
  f.Run([&]() -> awaitable<void> {
    const Names listed = {"a", "b", "c", "e", "g"};
    co_await f.WaitUntil([&] { return recorder.names == listed; });
    CHECK(recorder.names == listed);
    f.store.Put("things", "d", RawContent(odd[variant]));
    f.store.Put("things", "a", RawContent(odd[variant]));
    f.store.Erase("things", "d");
    f.store.Put("things", "f", {{"x", 1}});
    const Names changed = {"a", "b", "c", "e", "f", "g"};
    co_await f.WaitUntil([&] { return recorder.names == changed; });
    CHECK(recorder.names == changed);
    CHECK(recorder.contents["f"] == nlohmann::json{{"x", 1}});
    f.store.Put("things", "a", {{"x", 2}});
    f.store.Erase("things", "b");
    const Names removed = {"a", "c", "e", "f", "g"};
    co_await f.WaitUntil([&] { return recorder.names == removed; });
    CHECK(recorder.names == removed);
    CHECK(recorder.contents["a"] == nlohmann::json{{"x", 2}});
    CHECK(recorder.listings == 1);
    CHECK(recorder.lost == 0);
  });
}

TEST_CASE("A write beside an unreadable status is not in doubt") {
  Fixture f;
  f.Run([&]() -> awaitable<void> {
    const DocumentName name("a");
    f.store.Put("things", "a", RawContent("{\"x\":1e400}"));
    auto got = co_await f.client->Get(kKind, name);
    REQUIRE(got.has_value());
    CHECK(got.value().content.is_null());
    nlohmann::json status = {{"state", "running"}};
    auto reported = co_await f.client->ReplaceStatus(
        kKind, name, std::move(status), got.value().version);
    REQUIRE(reported.has_value());
    nlohmann::json content = {{"x", 1}};
    auto replaced = co_await f.client->Replace(kKind, name, std::move(content),
                                               reported.value().version);
    REQUIRE(replaced.has_value());
    CHECK(replaced.value().content == nlohmann::json{{"x", 1}});
  });
}

// Names that another writer chose are sent back in the `after` of a listing.
TEST_CASE("A watcher lists past names with odd characters") {
  Fixture f;
  const std::vector<std::string> names = {std::string("a\0b", 3),
                                          "b/&?=#%41+ ",
                                          "c\r\nX: y",
                                          "d\"\\",
                                          "\xc3\xa9",
                                          "\xf0\x9f\x8c\xbc",
                                          "z"};
  for (const std::string& name : names) {
    f.store.Put("things", name, {{"x", 1}});
  }
  WatchRecorder recorder(f);
  f.Run([&]() -> awaitable<void> {
    const std::set<std::string> all(names.begin(), names.end());
    co_await f.WaitUntil([&] { return recorder.names == all; });
    CHECK(recorder.names == all);
  });
}

}  // namespace
}  // namespace cowslip
