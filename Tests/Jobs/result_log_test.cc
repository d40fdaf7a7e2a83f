#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "Jobs/result_log.h"
#include "Utilities/StandIns/MetadataStore/fake_document_store.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;

const JobKey kJob("j.o");
const FencingNumber kReader(0);
const FencingNumber kFirst(1);
const FencingNumber kSecond(2);

template <class Body>
void Run(Body body) {
  boost::asio::io_context context;
  bool done = false;
  boost::asio::co_spawn(
      context,
      [&]() -> awaitable<void> {
        co_await body();
        done = true;
      },
      boost::asio::detached);
  context.run();
  CHECK(done);
}

std::vector<ItemResult> Results(std::initializer_list<const char*> ids,
                                const char* output = "out") {
  std::vector<ItemResult> results;
  for (const char* id : ids) {
    results.push_back({.item = ItemId(id), .output = output});
  }
  return results;
}

std::string Ids(const ResultLog& log) {
  std::string ids;
  for (const ItemResult& result : log.results()) {
    ids += result.item.value();
  }
  return ids;
}

TEST_CASE("A new owner has all results, and an earlier one cannot append") {
  for (const bool has_result : {false, true}) {
    FakeDocumentStore store;
    Run([&]() -> awaitable<void> {
      ResultLog first_owner(store, kJob, kFirst);
      ResultLog second_owner(store, kJob, kSecond);
      first_owner.AssumeEmpty();
      if (has_result) {
        auto results = Results({"a"}, "one");
        CHECK((co_await first_owner.Append(std::move(results))).has_value());
      }
      CHECK((co_await second_owner.Claim()).has_value());
      CHECK(second_owner.results().size() == (has_result ? 1 : 0));
      auto late = Results({"b"}, "one");
      const Result<void> fenced = co_await first_owner.Append(std::move(late));
      REQUIRE_FALSE(fenced.has_value());
      CHECK(fenced.error().kind() == ErrorKind::kConflict);
      auto results = Results({"a", "b", "c"}, "two");
      CHECK((co_await second_owner.Append(std::move(results))).has_value());
      CHECK(Ids(second_owner) == "abc");
      CHECK(second_owner.results()[0].output == (has_result ? "one" : "two"));
      CHECK(second_owner.is_current());
    });
  }
}

TEST_CASE("An earlier owner cannot claim the log again") {
  FakeDocumentStore store;
  Run([&]() -> awaitable<void> {
    ResultLog first_owner(store, kJob, kFirst);
    ResultLog second_owner(store, kJob, kSecond);
    CHECK((co_await second_owner.Claim()).has_value());
    const Result<void> claimed = co_await first_owner.Claim();
    REQUIRE_FALSE(claimed.has_value());
    CHECK(claimed.error().kind() == ErrorKind::kConflict);
  });
}

TEST_CASE("A delayed write of an earlier owner fails") {
  FakeDocumentStore store;
  Run([&]() -> awaitable<void> {
    ResultLog first_owner(store, kJob, kFirst);
    ResultLog second_owner(store, kJob, kSecond);
    first_owner.AssumeEmpty();
    store.FailNext(StoreFault::kDelayWrite);
    auto late = Results({"a"});
    const Result<void> unanswered =
        co_await first_owner.Append(std::move(late));
    CHECK_FALSE(unanswered.has_value());
    CHECK_FALSE(first_owner.is_current());
    CHECK((co_await second_owner.Claim()).has_value());
    store.DoLateWrites();
    ResultLog reader(store, kJob, kReader);
    CHECK((co_await reader.Refresh()).has_value());
    CHECK(Ids(reader) == Ids(second_owner));
  });
}

TEST_CASE("A write without a response is neither lost nor applied twice") {
  for (const StoreFault fault :
       {StoreFault::kLoseAnswer, StoreFault::kDelayWrite,
        StoreFault::kRefuse}) {
    FakeDocumentStore store;
    Run([&]() -> awaitable<void> {
      ResultLog log(store, kJob, kFirst);
      auto first = Results({"a"});
      CHECK((co_await log.Append(std::move(first))).has_value());
      store.FailNext(fault);
      auto second = Results({"b"});
      const Result<void> failed = co_await log.Append(std::move(second));
      CHECK_FALSE(failed.has_value());
      second = Results({"b"});
      CHECK((co_await log.Append(std::move(second))).has_value());
      store.DoLateWrites();
      ResultLog reader(store, kJob, kReader);
      CHECK((co_await reader.Refresh()).has_value());
      CHECK(Ids(reader) == "ab");
    });
  }
}

TEST_CASE("Full segments are sealed, and appends continue in the next one") {
  FakeDocumentStore store;
  Run([&]() -> awaitable<void> {
    ResultLog log(store, kJob, kFirst);
    const std::string large(150 * 1024, 'x');
    for (const char* id : {"a", "b", "c", "d", "e", "f", "g"}) {
      std::vector<ItemResult> results = {{.item = ItemId(id), .output = large}};
      CHECK((co_await log.Append(std::move(results))).has_value());
    }
    ResultLog reader(store, kJob, kReader);
    CHECK((co_await reader.Refresh()).has_value());
    CHECK(Ids(reader) == "abcdefg");
    CHECK(store.Find(kResultKind, "j.o.2") != nullptr);
  });
}

// Owners replace each other while earlier ones keep appending, under every kind
// of store fault.
TEST_CASE("Result positions never change, and the last owner has all results") {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    std::mt19937_64 random(seed);
    FakeDocumentStore store;
    Run([&]() -> awaitable<void> {
      std::vector<std::unique_ptr<ResultLog>> owners;
      ResultLog reader(store, kJob, kReader);
      std::string seen;
      bool last_has_claimed = false;
      for (int step = 0; step < 120; ++step) {
        const uint64_t choice = random() % 10;
        if (choice < 3) {
          constexpr StoreFault kFaults[] = {StoreFault::kRefuse,
                                            StoreFault::kLoseAnswer,
                                            StoreFault::kDelayWrite};
          store.FailNext(kFaults[choice]);
        }
        if (choice == 3) {
          store.DoLateWrites();
        }
        if (owners.empty() || choice == 4) {
          owners.push_back(std::make_unique<ResultLog>(
              store, kJob, FencingNumber(owners.size() + 1)));
          last_has_claimed = false;
        }
        if (!last_has_claimed) {
          last_has_claimed = (co_await owners.back()->Claim()).has_value();
        }
        const std::string id(1, static_cast<char>('a' + random() % 20));
        std::vector<ItemResult> results = {
            {.item = ItemId(id), .output = std::string(60 * 1024, 'x')}};
        ResultLog& writer = *owners[random() % owners.size()];
        (void)co_await writer.Append(std::move(results));
        store.FailNext(StoreFault::kNone, 0);
        CHECK((co_await reader.Refresh()).has_value());
        const std::string now = Ids(reader);
        CHECK(now.starts_with(seen));
        seen = now;
        if (last_has_claimed && owners.back()->is_current()) {
          CHECK(Ids(*owners.back()) == now);
        }
      }
      std::string sorted = seen;
      std::sort(sorted.begin(), sorted.end());
      CHECK(std::adjacent_find(sorted.begin(), sorted.end()) == sorted.end());
    });
  }
}

}  // namespace
}  // namespace cowslip
