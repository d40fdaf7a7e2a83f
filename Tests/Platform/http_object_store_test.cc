#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include "Base/json.h"
#include "Platform/http_object_store.h"
#include "Platform/platform_json.h"
#include "Utilities/StandIns/Platform/platform_server.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

// A platform server stand-in with an object store client and a control client.
struct Fixture {
  boost::asio::io_context context;
  PlatformServer server{context, Endpoint{}};
  std::unique_ptr<HttpObjectStore> store;
  std::unique_ptr<HttpClient> control;

  Fixture() {
    REQUIRE(server.Start().has_value());
    const Endpoint endpoint{.port = server.port()};
    store = std::make_unique<HttpObjectStore>(
        context.get_executor(), endpoint,
        HttpObjectStoreOptions{.call_timeout = 500ms});
    control = std::make_unique<HttpClient>(context.get_executor(), endpoint);
  }

  template <class Client>
  void Run(Client client) {
    bool done = false;
    boost::asio::co_spawn(
        context,
        [&]() -> awaitable<void> {
          co_await client();
          done = true;
          context.stop();
        },
        boost::asio::detached);
    context.run_for(20s);
    CHECK(done);
  }

  awaitable<void> SetFaults(std::string faults) {
    HttpRequest request{.method = "PUT", .target = "/faults"};
    request.body = std::move(faults);
    auto sent = co_await control->Send(std::move(request), 5s);
    CHECK(sent.value().status == 200);
  }
};

const Precondition kAny = Unconditional{};
const Precondition kAbsent = IfAbsent{};

TEST_CASE("Object calls over HTTP return values, versions and errors") {
  Fixture f;
  f.Run([&]() -> awaitable<void> {
    const ObjectKey key("a b/ä?x=1&y#z%41+");
    auto missing = co_await f.store->Get(key);
    CHECK(missing.error().kind() == ErrorKind::kNotFound);
    const std::string binary("\0\xff value", 8);
    auto first = co_await f.store->Put(key, binary, kAbsent);
    REQUIRE(first.has_value());
    auto again = co_await f.store->Put(key, "x", kAbsent);
    CHECK(again.error().kind() == ErrorKind::kConflict);
    auto got = co_await f.store->Get(key);
    CHECK(got.value().value == binary);
    CHECK(got.value().version == first.value());
    const Precondition over = IfVersion{first.value()};
    auto second = co_await f.store->Put(key, "2", over);
    REQUIRE(second.has_value());
    auto stale = co_await f.store->Delete(key, over);
    CHECK(stale.error().kind() == ErrorKind::kConflict);
    auto listed = co_await f.store->List("a b/", ObjectKey(), 10);
    REQUIRE(listed.value().size() == 1);
    CHECK(listed.value()[0].key == key);
    std::string large(kMaxObjectBytes, 'x');
    auto largest = co_await f.store->Put(ObjectKey("l"), large, kAny);
    CHECK(largest.has_value());
    large += 'x';
    auto too_large = co_await f.store->Put(ObjectKey("l"), large, kAny);
    CHECK(too_large.error().kind() == ErrorKind::kTooLarge);
    auto deleted = co_await f.store->Delete(key, kAny);
    CHECK(deleted.has_value());
    auto gone = co_await f.store->Delete(key, kAny);
    CHECK(gone.error().kind() == ErrorKind::kNotFound);
  });
}

TEST_CASE(
    "A watch waits for a change under its prefix and counts as one call") {
  Fixture f;
  f.Run([&]() -> awaitable<void> {
    boost::asio::co_spawn(
        f.context,
        [&]() -> awaitable<void> {
          boost::asio::steady_timer timer(f.context, 50ms);
          co_await timer.async_wait(boost::asio::use_awaitable);
          (void)co_await f.store->Put(ObjectKey("other/x"), "1", kAny);
          (void)co_await f.store->Put(ObjectKey("a/x"), "1", kAny);
        },
        boost::asio::detached);
    auto changes = co_await f.store->Watch("a/", ObjectVersion(0), 5s);
    REQUIRE(changes.value().changes.size() == 1);
    CHECK(changes.value().changes[0].key == ObjectKey("a/x"));
    const ObjectVersion revision = changes.value().revision;
    auto none = co_await f.store->Watch("a/", revision, 20ms);
    CHECK(none.value().changes.empty());
    auto lost = co_await f.store->Watch("a/", ObjectVersion(99), 5s);
    CHECK(lost.value().compacted);
    CHECK(f.store->calls().count(StoreCall::kWatch) == 3);
  });
}

TEST_CASE("Platform faults map to the documented error kinds") {
  Fixture f;
  f.Run([&]() -> awaitable<void> {
    const ObjectKey key("k");
    co_await f.SetFaults(R"({"down":true})");
    auto down = co_await f.store->Put(key, "1", kAny);
    CHECK(down.error().kind() == ErrorKind::kUnavailable);
    co_await f.SetFaults(R"({"fail_per_mille":1000})");
    auto failed_write = co_await f.store->Put(key, "1", kAny);
    CHECK(failed_write.error().kind() == ErrorKind::kInDoubt);
    auto failed_read = co_await f.store->Get(key);
    CHECK(failed_read.error().kind() == ErrorKind::kUnavailable);
    CHECK(f.server.platform().object_count() == 0);
    co_await f.SetFaults(R"({"lose_answer_per_mille":1000})");
    auto lost = co_await f.store->Put(key, "1", kAny);
    CHECK(lost.error().kind() == ErrorKind::kInDoubt);
    CHECK(f.server.platform().object_count() == 1);
    co_await f.SetFaults(R"({"slow_ms":5000})");
    auto slow = co_await f.store->Put(key, "2", kAny);
    CHECK(slow.error().kind() == ErrorKind::kTimeout);
    co_await f.SetFaults("{}");
    auto good = co_await f.store->Get(key);
    CHECK(good.has_value());
  });
}

TEST_CASE("An outage ends pending watches with kUnavailable") {
  Fixture f;
  f.Run([&]() -> awaitable<void> {
    boost::asio::co_spawn(
        f.context,
        [&]() -> awaitable<void> {
          boost::asio::steady_timer timer(f.context, 50ms);
          co_await timer.async_wait(boost::asio::use_awaitable);
          co_await f.SetFaults(R"({"down":true})");
        },
        boost::asio::detached);
    auto ended = co_await f.store->Watch("a/", ObjectVersion(0), 10s);
    CHECK(ended.error().kind() == ErrorKind::kUnavailable);
  });
}

TEST_CASE("The VM list round-trips over HTTP") {
  Fixture f;
  f.Run([&]() -> awaitable<void> {
    const VmRecord vm{.vm = VmId("b1"),
                      .role = "backend",
                      .region = RegionId("kr"),
                      .zone = ZoneId("kr-a"),
                      .service = ServiceId("veneer"),
                      .link_address = "127.0.0.1",
                      .link_port = 9,
                      .leaving = true};
    HttpRequest request{.method = "PUT", .target = "/vms"};
    request.body = EncodeVmList({vm});
    auto set = co_await f.control->Send(std::move(request), 5s);
    CHECK(set.value().status == 200);
    auto vms = co_await f.store->ListVms();
    REQUIRE(vms.value().size() == 1);
    CHECK(EncodeVmList(vms.value()) == EncodeVmList({vm}));
  });
}

TEST_CASE("Responses of an unexpected format are rejected as malformed") {
  for (const char* body :
       {"", "[]", "{}", R"({"objects":1,"vms":1,"changes":1})",
        R"({"objects":[{"key":1}],"vms":[{}],"revision":-1})"}) {
    CHECK(DecodeListing(body).error().kind() == ErrorKind::kMalformedMessage);
    CHECK(DecodeWatchResult(body).error().kind() ==
          ErrorKind::kMalformedMessage);
    CHECK(DecodeVmList(body).error().kind() == ErrorKind::kMalformedMessage);
  }
}

}  // namespace
}  // namespace cowslip
