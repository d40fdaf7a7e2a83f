#include <map>
#include <vector>

#include <rapidcheck.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "Net/percent_encoding.h"
#include "Utilities/StandIns/Platform/fake_object_store.h"
#include "Utilities/StandIns/Platform/fake_platform.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

struct Write {
  ObjectKey key;
  bool remove = false;
  // 0: unconditional, 1: only if absent, 2: only if at `version`.
  int condition = 0;
  uint64_t version = 0;
};

Precondition PreconditionOf(const Write& write) {
  if (write.condition == 1) {
    return IfAbsent{};
  }
  if (write.condition == 2) {
    return IfVersion{ObjectVersion(write.version)};
  }
  return Unconditional{};
}

rc::Gen<Write> AnyWrite() {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(0, 5), rc::gen::arbitrary<bool>(),
                     rc::gen::inRange(0, 3), rc::gen::inRange(0, 12)),
      [](const auto& t) {
        const std::string name = std::to_string(std::get<0>(t));
        return Write{ObjectKey((std::get<0>(t) < 3 ? "a/" : "b/") + name),
                     std::get<1>(t), std::get<2>(t),
                     static_cast<uint64_t>(std::get<3>(t))};
      });
}

// The reference model: a map and the log of all writes.
struct ReferenceStore {
  std::map<std::string, uint64_t> versions;
  std::vector<std::pair<std::string, bool>> log;

  bool Apply(const Write& write) {
    const std::string& key = write.key.value();
    const bool exists = versions.count(key) > 0;
    const bool holds =
        write.condition == 0 || (write.condition == 1 && !exists) ||
        (write.condition == 2 && exists && versions[key] == write.version);
    if (!holds || (write.remove && !exists)) {
      return false;
    }
    log.emplace_back(key, write.remove);
    if (write.remove) {
      versions.erase(key);
    } else {
      versions[key] = log.size();
    }
    return true;
  }
};

void CheckChanges(const ReferenceStore& reference,
                  const FakePlatform& platform,
                  size_t max_history) {
  const size_t dropped = reference.log.size() > max_history
                             ? reference.log.size() - max_history
                             : 0;
  for (size_t since = 0; since <= reference.log.size() + 1; ++since) {
    const WatchResult result =
        platform.ChangesSince("a/", ObjectVersion(since));
    RC_ASSERT(result.compacted ==
              (since < dropped || since > reference.log.size()));
    std::vector<std::pair<std::string, bool>> expected;
    for (size_t i = since; i < reference.log.size() && !result.compacted; ++i) {
      if (reference.log[i].first[0] == 'a') {
        expected.push_back(reference.log[i]);
      }
    }
    std::vector<std::pair<std::string, bool>> changes;
    for (const ObjectChange& change : result.changes) {
      changes.emplace_back(change.key.value(), !change.version.has_value());
    }
    RC_ASSERT(changes == expected);
  }
}

TEST_CASE("The fake platform matches a reference model") {
  const bool passed = rc::check([] {
    const size_t max_history = 4;
    FakePlatform platform(FakePlatformOptions{.max_history = max_history});
    ReferenceStore reference;
    const auto writes = *rc::gen::container<std::vector<Write>>(AnyWrite());
    for (const Write& write : writes) {
      const Precondition precondition = PreconditionOf(write);
      const bool applied =
          write.remove ? platform.Delete(write.key, precondition).has_value()
                       : platform.Put(write.key, "v", precondition).has_value();
      RC_ASSERT(applied == reference.Apply(write));
    }
    RC_ASSERT(platform.revision().value() == reference.log.size());
    std::map<std::string, uint64_t> listed;
    ObjectKey after;
    for (auto page = platform.List("", after, 2); !page.empty();
         page = platform.List("", after, 2)) {
      for (const ListedObject& object : page) {
        listed[object.key.value()] = object.version.value();
      }
      after = page.back().key;
    }
    RC_ASSERT(listed == reference.versions);
    CheckChanges(reference, platform, max_history);
  });
  CHECK(passed);
}

TEST_CASE("Percent encoding of a key round-trips") {
  const bool passed = rc::check([](const std::string& key) {
    RC_ASSERT(PercentDecode(PercentEncode(key)) == key);
    RC_ASSERT(PercentEncode(key).find_first_of("?&# +") == std::string::npos);
  });
  CHECK(passed);
}

TEST_CASE("A changed VM list becomes visible after the configured lag") {
  FakePlatform platform(FakePlatformOptions{.vm_list_lag = 5s});
  const MonotonicTime start(100s);
  platform.SetVms({VmRecord{.vm = VmId("a")}}, start);
  CHECK(platform.ListVms(start + 4s).empty());
  CHECK(platform.ListVms(start + 5s).size() == 1);
  platform.SetVms({}, start + 6s);
  CHECK(platform.ListVms(start + 10s).size() == 1);
  CHECK(platform.ListVms(start + 11s).empty());
}

TEST_CASE("The fake store applies a write if only its response is lost") {
  boost::asio::io_context context;
  FakeObjectStore store;
  bool done = false;
  const auto run = [&]() -> awaitable<void> {
    const ObjectKey key("a");
    const Precondition any = Unconditional{};
    store.faults().lose_next_answer = true;
    auto lost = co_await store.Put(key, "1", any);
    CHECK(lost.error().kind() == ErrorKind::kInDoubt);
    auto result = co_await store.Get(key);
    CHECK(result.value().value == "1");
    store.faults().lose_next_request = true;
    auto never = co_await store.Put(key, "2", any);
    CHECK(never.error().kind() == ErrorKind::kInDoubt);
    store.faults().down = true;
    auto down = co_await store.Put(key, "3", any);
    CHECK(down.error().kind() == ErrorKind::kUnavailable);
    store.faults().down = false;
    auto still = co_await store.Get(key);
    CHECK(still.value().value == "1");
    CHECK(store.calls().count(StoreCall::kPut) == 3);
    done = true;
  };
  boost::asio::co_spawn(context, run, boost::asio::detached);
  context.run_for(10s);
  CHECK(done);
}

}  // namespace
}  // namespace cowslip
