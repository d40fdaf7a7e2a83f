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

TEST_CASE("Of two writers, the first one's result of an item counts") {
  FakeDocumentStore store;
  Run([&]() -> awaitable<void> {
    ResultLog one(store, kJob);
    ResultLog two(store, kJob);
    auto first = Results({"a", "b"}, "one");
    auto second = Results({"b", "c"}, "two");
    CHECK((co_await one.Append(std::move(first))).has_value());
    CHECK((co_await two.Append(std::move(second))).has_value());
    CHECK(Ids(two) == "abc");
    CHECK(two.results()[1].output == "one");
    CHECK((co_await one.Refresh()).has_value());
    CHECK(Ids(one) == "abc");
  });
}

TEST_CASE("A write without an answer is neither lost nor doubled") {
  for (const StoreFault fault :
       {StoreFault::kLoseAnswer, StoreFault::kDelayWrite,
        StoreFault::kRefuse}) {
    FakeDocumentStore store;
    Run([&]() -> awaitable<void> {
      ResultLog log(store, kJob);
      auto first = Results({"a"});
      CHECK((co_await log.Append(std::move(first))).has_value());
      store.FailNext(fault);
      auto second = Results({"b"});
      const Result<void> failed = co_await log.Append(std::move(second));
      CHECK_FALSE(failed.has_value());
      second = Results({"b"});
      CHECK((co_await log.Append(std::move(second))).has_value());
      store.DoLateWrites();
      ResultLog reader(store, kJob);
      CHECK((co_await reader.Refresh()).has_value());
      CHECK(Ids(reader) == "ab");
    });
  }
}

TEST_CASE("Full documents are sealed and the next one goes on") {
  FakeDocumentStore store;
  Run([&]() -> awaitable<void> {
    ResultLog log(store, kJob);
    const std::string large(150 * 1024, 'x');
    for (const char* id : {"a", "b", "c", "d", "e", "f", "g"}) {
      std::vector<ItemResult> results = {{.item = ItemId(id), .output = large}};
      CHECK((co_await log.Append(std::move(results))).has_value());
    }
    ResultLog reader(store, kJob);
    CHECK((co_await reader.Refresh()).has_value());
    CHECK(Ids(reader) == "abcdefg");
    CHECK(store.Find(kResultKind, "j.o.2") != nullptr);
  });
}

// Two processes append the same items in any order, under faults of every kind.
TEST_CASE("Positions never change, and every item stands once") {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    std::mt19937_64 random(seed);
    FakeDocumentStore store;
    Run([&]() -> awaitable<void> {
      ResultLog writers[2] = {ResultLog(store, kJob), ResultLog(store, kJob)};
      ResultLog reader(store, kJob);
      std::string seen;
      for (int step = 0; step < 120; ++step) {
        const uint64_t dice = random() % 10;
        if (dice < 3) {
          constexpr StoreFault kFaults[] = {StoreFault::kRefuse,
                                            StoreFault::kLoseAnswer,
                                            StoreFault::kDelayWrite};
          store.FailNext(kFaults[dice]);
        }
        if (dice == 3) {
          store.DoLateWrites();
        }
        const std::string id(1, static_cast<char>('a' + random() % 20));
        std::vector<ItemResult> results = {
            {.item = ItemId(id), .output = std::string(60 * 1024, 'x')}};
        (void)co_await writers[random() % 2].Append(std::move(results));
        store.FailNext(StoreFault::kNone, 0);
        CHECK((co_await reader.Refresh()).has_value());
        const std::string now = Ids(reader);
        CHECK(now.starts_with(seen));
        seen = now;
      }
      std::string sorted = seen;
      std::sort(sorted.begin(), sorted.end());
      CHECK(std::adjacent_find(sorted.begin(), sorted.end()) == sorted.end());
    });
  }
}

}  // namespace
}  // namespace cowslip
