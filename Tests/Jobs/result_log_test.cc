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

TEST_CASE("A new owner has all results, and an earlier one adds none") {
  for (const bool begun : {false, true}) {
    FakeDocumentStore store;
    Run([&]() -> awaitable<void> {
      ResultLog one(store, kJob, kFirst);
      ResultLog two(store, kJob, kSecond);
      one.AssumeEmpty();
      if (begun) {
        auto results = Results({"a"}, "one");
        CHECK((co_await one.Append(std::move(results))).has_value());
      }
      CHECK((co_await two.Claim()).has_value());
      CHECK(two.results().size() == (begun ? 1 : 0));
      auto late = Results({"b"}, "one");
      const Result<void> fenced = co_await one.Append(std::move(late));
      REQUIRE_FALSE(fenced.has_value());
      CHECK(fenced.error().kind() == ErrorKind::kConflict);
      auto results = Results({"a", "b", "c"}, "two");
      CHECK((co_await two.Append(std::move(results))).has_value());
      CHECK(Ids(two) == "abc");
      CHECK(two.results()[0].output == (begun ? "one" : "two"));
      CHECK(two.is_current());
    });
  }
}

TEST_CASE("An earlier owner cannot claim the log back") {
  FakeDocumentStore store;
  Run([&]() -> awaitable<void> {
    ResultLog one(store, kJob, kFirst);
    ResultLog two(store, kJob, kSecond);
    CHECK((co_await two.Claim()).has_value());
    const Result<void> claimed = co_await one.Claim();
    REQUIRE_FALSE(claimed.has_value());
    CHECK(claimed.error().kind() == ErrorKind::kConflict);
  });
}

TEST_CASE("A delayed write of an earlier owner fails") {
  FakeDocumentStore store;
  Run([&]() -> awaitable<void> {
    ResultLog one(store, kJob, kFirst);
    ResultLog two(store, kJob, kSecond);
    one.AssumeEmpty();
    store.FailNext(StoreFault::kDelayWrite);
    auto late = Results({"a"});
    const Result<void> unanswered = co_await one.Append(std::move(late));
    CHECK_FALSE(unanswered.has_value());
    CHECK_FALSE(one.is_current());
    CHECK((co_await two.Claim()).has_value());
    store.DoLateWrites();
    ResultLog reader(store, kJob, kReader);
    CHECK((co_await reader.Refresh()).has_value());
    CHECK(Ids(reader) == Ids(two));
  });
}

TEST_CASE("A write without an answer is neither lost nor doubled") {
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

TEST_CASE("Full documents are sealed and the next one goes on") {
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

// Owners follow each other, earlier ones go on appending, under faults of every
// kind.
TEST_CASE("Positions never change, and the last owner knows every result") {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    std::mt19937_64 random(seed);
    FakeDocumentStore store;
    Run([&]() -> awaitable<void> {
      std::vector<std::unique_ptr<ResultLog>> owners;
      ResultLog reader(store, kJob, kReader);
      std::string seen;
      bool last_has_claimed = false;
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
        if (owners.empty() || dice == 4) {
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
