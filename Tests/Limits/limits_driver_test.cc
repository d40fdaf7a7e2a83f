#include "Limits/limits_driver.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <map>

#include "Base/json.h"
#include "Platform/object_store.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

// An object store in memory, with conditional writes.
class FakeObjects : public ObjectStore {
 public:
  boost::asio::awaitable<Result<StoredObject>> Get(ObjectKey key) override {
    const auto found = m_objects.find(key);
    if (found == m_objects.end()) {
      co_return Error(ErrorKind::kNotFound, "There is no such object.");
    }
    co_return found->second;
  }
  boost::asio::awaitable<Result<ObjectVersion>>
  Put(ObjectKey key, std::string value, Precondition precondition) override {
    const auto found = m_objects.find(key);
    const auto* if_version = std::get_if<IfVersion>(&precondition);
    const bool matches = if_version != nullptr
                             ? found != m_objects.end() &&
                                   found->second.version == if_version->version
                             : found == m_objects.end();
    if (!matches) {
      co_return Error(ErrorKind::kConflict, "Read the object again.");
    }
    m_objects[key] = {std::move(value), ObjectVersion(++m_last_version)};
    co_return ObjectVersion(m_last_version);
  }
  boost::asio::awaitable<Result<void>> Delete(ObjectKey,
                                              Precondition) override {
    co_return Unused();
  }
  boost::asio::awaitable<Result<std::vector<ListedObject>>>
  List(std::string, ObjectKey, size_t) override {
    co_return Unused();
  }
  boost::asio::awaitable<Result<WatchResult>> Watch(std::string,
                                                    ObjectVersion,
                                                    Duration) override {
    co_return Unused();
  }
  boost::asio::awaitable<Result<std::vector<VmRecord>>> ListVms() override {
    co_return Unused();
  }

  std::map<ObjectKey, StoredObject> m_objects;

 private:
  static Error Unused() {
    return Error(ErrorKind::kNotFound, "This fake has only Get and Put.");
  }
  uint64_t m_last_version = 0;
};

// Two entries in one process, whose frames go through the io_context.
struct Pair {
  Pair() {
    for (LimitsDriver* driver : {&a, &b}) {
      driver->SetLimits({{OrganisationId("o"), 1000, 20},
                         {OrganisationId("tight"), 0.001, 5}});
      driver->Start();
    }
    a.OnPeerUp(VmId("b"), Incarnation(2));
    b.OnPeerUp(VmId("a"), Incarnation(1));
    a.OnMembers({VmId("a"), VmId("b")});
    b.OnMembers({VmId("a"), VmId("b")});
  }
  ~Pair() {
    a.Stop();
    b.Stop();
  }

  template <class Done>
  bool RunUntil(Done done) {
    const auto end = std::chrono::steady_clock::now() + 20s;
    while (!done() && std::chrono::steady_clock::now() < end) {
      context.run_for(1ms);
      context.restart();
    }
    return done();
  }

  boost::asio::io_context context;
  FakeObjects store;
  LimitsDriver a{context,
                 store,
                 {VmId("a"), Incarnation(1), 8},
                 [this](const VmId&, const std::string& cbor) {
                   boost::asio::post(context, [this, cbor] {
                     b.OnPeerFrame(VmId("a"), cbor);
                   });
                 }};
  LimitsDriver b{context,
                 store,
                 {VmId("b"), Incarnation(2), 8},
                 [this](const VmId&, const std::string& cbor) {
                   boost::asio::post(context, [this, cbor] {
                     a.OnPeerFrame(VmId("b"), cbor);
                   });
                 }};
};

TEST_CASE("Two entries admit one organisation's requests, then one drains") {
  Pair pair;
  REQUIRE(pair.RunUntil([&] {
    return pair.a.counters().owned_shards + pair.b.counters().owned_shards == 8;
  }));
  CHECK(pair.store.m_objects.size() == 8);
  int admitted = 0;
  int decided = 0;
  const auto count = [&](const LimitDecision& decision) {
    ++decided;
    admitted += std::holds_alternative<Admitted>(decision) ? 1 : 0;
  };
  // The owners' shares start empty and are refilled at the rate.
  REQUIRE(pair.RunUntil([&] {
    pair.a.Admit(OrganisationId("o"), 1, count);
    pair.b.Admit(OrganisationId("o"), 1, count);
    return admitted >= 100;
  }));
  REQUIRE(pair.RunUntil([&] {
    return pair.a.counters().waiting + pair.b.counters().waiting == 0;
  }));
  decided = 0;
  admitted = 0;
  pair.a.Admit(OrganisationId("tight"), 1, count);
  pair.b.Admit(OrganisationId("unknown"), 1, count);
  REQUIRE(pair.RunUntil([&] { return decided == 2; }));
  CHECK(admitted == 0);

  bool drained = false;
  pair.a.Drain([&] { drained = true; });
  pair.b.OnMembers({VmId("b")});
  REQUIRE(pair.RunUntil(
      [&] { return drained && pair.b.counters().owned_shards == 8; }));
  CHECK(pair.a.counters().owned_shards == 0);
  REQUIRE(pair.RunUntil([&] {
    pair.a.Admit(OrganisationId("o"), 1, count);
    return admitted > 0;
  }));
}

TEST_CASE("Malformed frames are ignored, and Stop refuses waiting requests") {
  Pair pair;
  pair.a.OnPeerFrame(VmId("b"), "\xff\xff");
  pair.a.OnPeerFrame(VmId("b"), ToCbor({{"type", "ask"}, {"asks", 3}}));
  pair.a.OnPeerFrame(VmId("b"), ToCbor({{"type", "nonsense"}}));
  int decided = 0;
  pair.a.Admit(OrganisationId("o"), 1, [&](const LimitDecision& decision) {
    ++decided;
    CHECK(std::holds_alternative<Refused>(decision));
  });
  pair.a.Stop();
  CHECK(decided == 1);
}

}  // namespace
}  // namespace cowslip
