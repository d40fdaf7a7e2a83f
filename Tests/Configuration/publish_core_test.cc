#include "Configuration/publish_core.h"

#include <catch2/catch.hpp>
#include <deque>
#include <functional>

#include "Base/overloaded.h"
#include "Base/sha256.h"
#include "Configuration/declaration_json.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

enum class HeadFault { kNone, kAnswerLost, kNeverCame, kLandsLate, kRefused };

// A store that the test moves, and publishers that take turns at it.
struct Store {
  std::string head;
  uint64_t version = 0;
  std::map<std::string, std::string> objects;
  // Delayed writes of the head that may still take effect.
  std::vector<WriteHead> late;

  bool Apply(const WriteHead& write) {
    const uint64_t over = write.over ? write.over->value() : 0;
    if (over != version) {
      return false;
    }
    head = write.text;
    ++version;
    return true;
  }
};

class Publisher {
 public:
  Publisher(Store& store, ConfigurationChange change, const std::string& who)
      : m_store(store),
        m_core({.change = std::move(change),
                .who = who,
                .token = WriterToken("token-" + who),
                .seed = StableHash(who)}) {
    Raise(PublishStarted{});
  }

  bool done() const { return m_published || m_failed; }
  const std::optional<Published>& published() const { return m_published; }
  const std::optional<PublishFailed>& failed() const { return m_failed; }

  void Step(HeadFault fault, bool down) {
    if (m_actions.empty()) {
      return;
    }
    const PublishAction action = std::move(m_actions.front());
    m_actions.pop_front();
    std::visit(
        Overloaded{[&](const ReadHeadObject&) {
                     if (down) {
                       Raise(ReadFailed{});
                     } else if (m_store.version == 0) {
                       Raise(HeadObjectMissing{});
                     } else {
                       Raise(HeadObjectRead{m_store.head,
                                            ObjectVersion(m_store.version)});
                     }
                   },
                   [&](const ReadObject& read) {
                     down ? Raise(ReadFailed{})
                          : Raise(ObjectRead{read.digest,
                                             m_store.objects.at(read.key)});
                   },
                   [&](const WriteObject& write) {
                     if (down) {
                       Raise(ObjectWriteFailed{});
                       return;
                     }
                     m_store.objects.emplace(write.key, write.bytes);
                     Raise(ObjectWritten{write.key});
                   },
                   [&](const WriteHead& write) { Do(write, fault); },
                   [&](const WaitForRetry&) { Raise(RetryDue{}); },
                   [&](const Published& published) { m_published = published; },
                   [&](const PublishFailed& failed) { m_failed = failed; }},
        action);
  }

 private:
  void Do(const WriteHead& write, HeadFault fault) {
    switch (fault) {
      case HeadFault::kNone:
        m_store.Apply(write) ? Raise(HeadWritten{}) : Raise(HeadConflict{});
        return;
      case HeadFault::kAnswerLost:
        m_store.Apply(write);
        Raise(HeadInDoubt{});
        return;
      case HeadFault::kLandsLate:
        m_store.late.push_back(write);
        Raise(HeadInDoubt{});
        return;
      case HeadFault::kNeverCame:
        Raise(HeadInDoubt{});
        return;
      case HeadFault::kRefused:
        Raise(HeadNotWritten{});
    }
  }

  void Raise(const PublishEvent& event) {
    for (PublishAction& action : m_core.Handle(event, MonotonicTime())) {
      m_actions.push_back(std::move(action));
    }
  }

  Store& m_store;
  PublishCore m_core;
  std::deque<PublishAction> m_actions;
  std::optional<Published> m_published;
  std::optional<PublishFailed> m_failed;
};

PublishDeclarations Service(const std::string& name, int timeout_s) {
  PublishDeclarations change;
  const ServiceId id(name);
  change.declarations.services = {
      {.id = id,
       .routes = {{.id = RouteId(name + ".r"),
                   .service = id,
                   .path = "/" + name,
                   .methods = {"GET"},
                   .allow = AllowAllOrganisations{},
                   .timeout = std::chrono::seconds(timeout_s)}}}};
  return change;
}

PublishDeclarations Organisations(const std::string& set, int count) {
  PublishDeclarations change;
  change.declarations.sets = {OrganisationSetId(set)};
  for (int i = 0; i < count; ++i) {
    change.declarations.organisations.push_back(
        {.id = OrganisationId(set + "-" + std::to_string(i)),
         .set = OrganisationSetId(set),
         .rate = 1,
         .burst = 1});
  }
  return change;
}

void Finish(Publisher& publisher,
            HeadFault first = HeadFault::kNone,
            bool down = false) {
  for (int step = 0; step < 4000 && !publisher.done(); ++step) {
    publisher.Step(first, down);
  }
  REQUIRE(publisher.done());
}

ConfigurationHead HeadOf(const Store& store) {
  return store.version == 0 ? ConfigurationHead()
                            : DecodeHead(store.head).value();
}

std::shared_ptr<const Snapshot> SnapshotOf(const Store& store) {
  SnapshotAssembler assembler;
  const ConfigurationHead head = HeadOf(store);
  for (const Digest& digest : ContentsOf(head)) {
    REQUIRE(assembler.Add(digest,
                          store.objects.at(kContentPrefix + digest.value())));
  }
  return assembler.Build(head).value().snapshot;
}

// The trail from the newest record to the first.
std::vector<AuditRecord> TrailOf(const Store& store) {
  std::vector<AuditRecord> trail;
  Digest next = HeadOf(store).audit;
  while (!next.empty()) {
    const std::string& bytes = store.objects.at(kAuditPrefix + next.value());
    trail.push_back(DecodeAuditRecord(next, bytes).value());
    next = trail.back().previous;
  }
  return trail;
}

TEST_CASE("Publishers of different services both succeed") {
  Store store;
  Publisher a(store, Service("a", 1), "ana");
  Publisher b(store, Service("b", 1), "bo");
  while (!a.done() || !b.done()) {
    a.Step(HeadFault::kNone, false);
    b.Step(HeadFault::kNone, false);
  }
  CHECK(a.published()->changed);
  CHECK(b.published()->changed);
  CHECK(SnapshotOf(store)->Services().size() == 2);
  CHECK(TrailOf(store).size() == 2);
}

TEST_CASE("Of two publishers of one service, one is told what changed") {
  Store store;
  Publisher seed(store, Service("a", 1), "ana");
  Finish(seed);
  Publisher fast(store, Service("a", 2), "bo");
  Publisher slow(store, Service("a", 3), "cho");
  while (!fast.done() || !slow.done()) {
    fast.Step(HeadFault::kNone, false);
    slow.Step(HeadFault::kNone, false);
  }
  REQUIRE(fast.published());
  REQUIRE(slow.failed());
  CHECK(slow.failed()->kind == ErrorKind::kConflict);
  CHECK(slow.failed()->problems.at(0).subject ==
        "service a /routes/a.r/timeout_ms");
  CHECK_THAT(slow.failed()->problems.at(0).message,
             Catch::Contains("from 1000 to 2000"));
  CHECK(SnapshotOf(store)->FindRoute("GET", "/a")->timeout == 2s);
}

TEST_CASE("A lost answer is resolved by the token, also under later heads") {
  Store store;
  Publisher slow(store, Service("a", 1), "ana");
  while (store.version == 0) {
    slow.Step(HeadFault::kAnswerLost, false);
  }
  for (int i = 0; i < 3; ++i) {
    Publisher other(store, Service("b", i + 1), "bo" + std::to_string(i));
    Finish(other);
  }
  Finish(slow);
  REQUIRE(slow.published());
  CHECK(slow.published()->version == ConfigVersion(1));
  CHECK(TrailOf(store).size() == 4);
}

TEST_CASE("A write that lands after its retry counts once") {
  Store store;
  Publisher slow(store, Service("a", 1), "ana");
  while (store.late.empty()) {
    slow.Step(HeadFault::kLandsLate, false);
  }
  slow.Step(HeadFault::kNone, false);
  slow.Step(HeadFault::kNone, false);
  REQUIRE(store.Apply(store.late.at(0)));
  Finish(slow);
  CHECK(slow.published()->version == ConfigVersion(1));
  CHECK(TrailOf(store).size() == 1);
}

TEST_CASE("What is in force already changes nothing") {
  Store store;
  Publisher first(store, Service("a", 1), "ana");
  Finish(first);
  Publisher again(store, Service("a", 1), "bo");
  Finish(again);
  CHECK_FALSE(again.published()->changed);
  CHECK(store.version == 1);
}

TEST_CASE("An outage ends in unavailable, and in doubt after a lost write") {
  Store store;
  Publisher down(store, Service("a", 1), "ana");
  Finish(down, HeadFault::kNone, true);
  CHECK(down.failed()->kind == ErrorKind::kUnavailable);
  Publisher refused(store, Service("a", 1), "bo");
  Finish(refused, HeadFault::kRefused);
  CHECK(refused.failed()->kind == ErrorKind::kUnavailable);
  Publisher lost(store, Service("a", 1), "cho");
  Finish(lost, HeadFault::kNeverCame);
  CHECK(lost.failed()->kind == ErrorKind::kInDoubt);
  CHECK_THAT(lost.failed()->problems.at(0).message,
             Catch::Contains("token-cho"));
}

TEST_CASE("Cross references are checked against what is in force") {
  Store store;
  Publisher organisations(store, Organisations("x", 3), "ana");
  Finish(organisations);
  PublishDeclarations change = Service("a", 1);
  change.declarations.services[0].routes[0].allow =
      AllowListed{{OrganisationId("x-1")}};
  Publisher good(store, change, "bo");
  Finish(good);
  REQUIRE(good.published());
  Publisher removing(store, Organisations("x", 1), "cho");
  Finish(removing);
  REQUIRE(removing.failed());
  CHECK(removing.failed()->problems.at(0).subject == "route a.r");
  PublishDeclarations same_path = Service("b", 1);
  same_path.declarations.services[0].routes[0].path = "/a";
  Publisher taken(store, same_path, "dani");
  Finish(taken);
  CHECK_THAT(taken.failed()->problems.at(0).message,
             Catch::Contains("is taken by"));
  PublishDeclarations other_set = Organisations("x", 1);
  other_set.declarations.sets = {OrganisationSetId("y")};
  other_set.declarations.organisations[0].set = OrganisationSetId("y");
  Publisher stealing(store, other_set, "eva");
  Finish(stealing);
  CHECK_THAT(stealing.failed()->problems.at(0).message,
             Catch::Contains("is declared by set x already"));
}

TEST_CASE("Keys are added, listed by digest, and withdrawn for good") {
  Store store;
  Publisher organisations(store, Organisations("x", 1), "ana");
  Finish(organisations);
  const KeyRecord key{.digest = Sha256("k"),
                      .organisation = OrganisationId("x-0")};
  Publisher unknown(store, AddKey{{.digest = key.digest, .organisation = {}}},
                    "bo");
  Finish(unknown);
  CHECK(unknown.failed()->kind == ErrorKind::kNotFound);
  Publisher add(store, AddKey{key}, "cho");
  Finish(add);
  REQUIRE(add.published());
  const std::string prefix = key.digest.value().substr(0, 8);
  Publisher withdraw(store, WithdrawKey{prefix, WallTime(5ms)}, "dani");
  Finish(withdraw);
  REQUIRE(withdraw.published());
  CHECK(SnapshotOf(store)->FindKey(key.digest)->withdrawn == WallTime(5ms));
  Publisher again(store, WithdrawKey{prefix, WallTime(9ms)}, "eva");
  Finish(again);
  CHECK_FALSE(again.published()->changed);
  Publisher missing(store, WithdrawKey{"0123456789", WallTime(9ms)}, "fae");
  Finish(missing);
  CHECK(missing.failed()->kind == ErrorKind::kNotFound);
}

// Publishes at random under faults; returns the publishers that succeeded.
void Race(uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto draw = [&](uint64_t below) { return random() % below; };
  Store store;
  Publisher organisations(store, Organisations("x", 10), "first");
  Finish(organisations);
  std::vector<std::unique_ptr<Publisher>> publishers;
  for (int i = 0; i < 8; ++i) {
    const std::string who = std::to_string(i);
    const std::string service = "s" + std::to_string(draw(5));
    ConfigurationChange change = Service(service, i + 1);
    if (draw(3) == 0) {
      change = AddKey{
          {.digest = Sha256(who), .organisation = OrganisationId("x-1")}};
    }
    publishers.push_back(std::make_unique<Publisher>(store, change, who));
  }
  for (int step = 0; step < 20000; ++step) {
    Publisher& next = *publishers[draw(publishers.size())];
    const auto fault =
        draw(2) == 0 ? HeadFault::kNone : static_cast<HeadFault>(draw(5));
    next.Step(fault, draw(60) == 0);
    if (!store.late.empty() && draw(6) == 0) {
      store.Apply(store.late.front());
      store.late.erase(store.late.begin());
    }
  }
  // Every success is in the trail once, every refusal not at all.
  const std::vector<AuditRecord> trail = TrailOf(store);
  REQUIRE(trail.size() == HeadOf(store).version.value());
  const auto snapshot = SnapshotOf(store);
  for (size_t i = 0; i < publishers.size(); ++i) {
    const Publisher& each = *publishers[i];
    REQUIRE(each.done());
    const WriterToken token("token-" + std::to_string(i));
    const auto count = std::count_if(
        trail.begin(), trail.end(),
        [&](const auto& record) { return record.token == token; });
    if (each.published()) {
      REQUIRE(count == (each.published()->changed ? 1 : 0));
    } else if (each.failed()->kind != ErrorKind::kInDoubt) {
      REQUIRE(count == 0);
    }
  }
  // The naive version: the changes of the trail, one after the other.
  std::map<std::string, std::string> naive;
  for (auto record = trail.rbegin(); record != trail.rend(); ++record) {
    const size_t at = static_cast<size_t>(record - trail.rbegin());
    REQUIRE(record->version.value() == at + 1);
    for (const AuditChange& change : record->changes) {
      const bool same = naive[change.subject] == change.from;
      const bool whole = change.subject.find(" /") == std::string::npos;
      REQUIRE((same || !whole));
      naive[change.subject] = change.to;
    }
  }
  for (const KeyRecord* key : snapshot->Keys()) {
    REQUIRE(naive.count("key " + key->digest.value().substr(0, 8)) == 1);
  }
}

TEST_CASE("Racing publishers under faults leave one exact trail") {
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    INFO("seed " << seed);
    Race(seed);
  }
}

}  // namespace
}  // namespace cowslip
