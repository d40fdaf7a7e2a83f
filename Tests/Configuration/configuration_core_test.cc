#include "Configuration/configuration_core.h"

#include <catch2/catch.hpp>

#include "configuration_fleet.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

void FillModel(ConfigurationModel& model) {
  model.AddService("a");
  model.AddService("b");
  for (int i = 0; i < 20; ++i) {
    model.AddOrganisation("o" + std::to_string(i), i + 1);
    model.AddKey("key-" + std::to_string(i), "o" + std::to_string(i));
  }
}

void SetStore(ConfigurationFleet& fleet, bool up) {
  for (const VmId& vm : fleet.members()) {
    fleet.node(vm).store_up = up;
  }
}

size_t CountHolding(ConfigurationFleet& fleet, ConfigVersion version) {
  size_t count = 0;
  for (const VmId& vm : fleet.members()) {
    count += fleet.node(vm).snapshot->version() == version ? 1 : 0;
  }
  return count;
}

struct Fixture {
  Fixture() {
    FillModel(fleet.model());
    fleet.LinkAll();
    fleet.Publish();
    fleet.Run(5s);
    REQUIRE(CountHolding(fleet, ConfigVersion(1)) == 6);
  }
  bool Trusted(const VmId& vm) {
    return fleet.node(vm).core->KeysTrusted(fleet.now());
  }
  void CutFromPeers(const VmId& vm) {
    for (const VmId& peer : fleet.members()) {
      fleet.CutLink(vm, peer);
    }
  }

  ConfigurationFleet fleet{6, 7};
  const VmId kFirst = fleet.members()[0];
};

TEST_CASE_METHOD(Fixture,
                 "Three nodes watch and a change reaches all at once") {
  size_t watchers = 0;
  for (const VmId& vm : fleet.members()) {
    watchers += fleet.node(vm).core->IsWatcher() ? 1 : 0;
    CHECK((fleet.node(vm).watches > 0) == fleet.node(vm).core->IsWatcher());
  }
  CHECK(watchers == 3);
  fleet.model().keys[3].withdrawn = WallTime(1ms);
  fleet.Publish();
  fleet.Run(500ms);
  CHECK(CountHolding(fleet, ConfigVersion(2)) == 6);
  for (const VmId& vm : fleet.members()) {
    CHECK(fleet.node(vm).snapshot->FindKey(Sha256("key-3"))->withdrawn);
  }
}

TEST_CASE_METHOD(Fixture, "A node cut off from the store learns from peers") {
  fleet.node(kFirst).store_up = false;
  fleet.Publish();
  fleet.Run(1s);
  CHECK(fleet.node(kFirst).snapshot->version() == ConfigVersion(2));
  fleet.Run(120s);
  CHECK(Trusted(kFirst));
}

TEST_CASE_METHOD(Fixture, "A node cut off from peers learns from the store") {
  CutFromPeers(kFirst);
  fleet.Publish();
  fleet.Run(15s);
  CHECK(fleet.node(kFirst).snapshot->version() == ConfigVersion(2));
  fleet.Run(120s);
  CHECK(Trusted(kFirst));
}

TEST_CASE_METHOD(Fixture, "Cut off from both, keys are trusted for the bound") {
  fleet.node(kFirst).store_up = false;
  CutFromPeers(kFirst);
  fleet.Run(25s);
  CHECK(Trusted(kFirst));
  fleet.Run(10s);
  CHECK_FALSE(Trusted(kFirst));
  CHECK(fleet.node(kFirst).snapshot->version() == ConfigVersion(1));
  fleet.MakeLink(kFirst, fleet.members()[1]);
  fleet.MakeLink(kFirst, fleet.members()[2]);
  fleet.Run(1s);
  CHECK(Trusted(kFirst));
}

TEST_CASE_METHOD(Fixture, "A small island without the store stops too") {
  const VmId second = fleet.members()[1];
  for (const VmId& vm : {kFirst, second}) {
    CutFromPeers(vm);
    fleet.node(vm).store_up = false;
  }
  fleet.MakeLink(kFirst, second);
  fleet.Run(40s);
  CHECK_FALSE(Trusted(kFirst));
  CHECK(Trusted(fleet.members()[2]));
}

TEST_CASE_METHOD(Fixture, "A whole-store outage keeps the last known keys") {
  SetStore(fleet, false);
  fleet.Run(600s);
  for (const VmId& vm : fleet.members()) {
    CHECK(Trusted(vm));
  }
}

TEST_CASE_METHOD(Fixture, "A restart in an outage takes the version of peers") {
  fleet.Publish();
  fleet.Run(1s);
  SetStore(fleet, false);
  fleet.Start(kFirst);
  fleet.Run(5s);
  CHECK(fleet.node(kFirst).snapshot->version() == ConfigVersion(0));
  CHECK_FALSE(Trusted(kFirst));
  fleet.LinkAll();
  fleet.Run(3s);
  CHECK(fleet.node(kFirst).snapshot->version() == ConfigVersion(2));
  CHECK(Trusted(kFirst));
}

TEST_CASE_METHOD(Fixture, "A restart with a disk begins with what it held") {
  fleet.node(kFirst).has_disk = true;
  SetStore(fleet, false);
  fleet.Start(kFirst);
  CHECK(fleet.node(kFirst).snapshot->version() == ConfigVersion(1));
  fleet.Run(1s);
  CHECK_FALSE(Trusted(kFirst));
}

TEST_CASE_METHOD(Fixture, "A resumed process does not trust its old links") {
  SetStore(fleet, false);
  fleet.Run(60s);
  fleet.node(kFirst).paused = true;
  fleet.Run(60s);
  CHECK_FALSE(Trusted(kFirst));
  fleet.node(kFirst).paused = false;
  fleet.Run(1s);
  CHECK(Trusted(kFirst));
}

TEST_CASE_METHOD(Fixture, "A stale peer does not turn a node back") {
  auto& core = *fleet.node(kFirst).core;
  const VmId stale = fleet.members()[1];
  const std::string old = EncodeHead(fleet.model().head);
  fleet.Publish();
  fleet.Run(1s);
  for (const auto& action : core.Handle(
           ConfigurationPeerMessage{stale, HeadReply{{}, old}}, fleet.now())) {
    CHECK_FALSE(std::holds_alternative<ApplySnapshot>(action));
  }
  CHECK(core.held() == ConfigVersion(2));
  CHECK(core.Handle(HeadFromStore{old, ObjectVersion(1)}, fleet.now()).size() <
        2);
  CHECK(core.held() == ConfigVersion(2));
}

TEST_CASE("A change during a head fetch is fetched again") {
  ConfigurationCore core({.self = VmId("a")});
  const MonotonicTime now(1s);
  auto actions = core.Handle(ConfigurationTick{}, now);
  REQUIRE(std::holds_alternative<FetchHead>(actions.at(0)));
  actions = core.Handle(HeadAbsent{}, now);
  REQUIRE(std::holds_alternative<WatchHead>(actions.at(0)));
  actions = core.Handle(WatchReturned{ObjectVersion(1), true}, now);
  REQUIRE(std::holds_alternative<FetchHead>(actions.at(0)));
  // The next watch fires before the first answer has come.
  actions = core.Handle(WatchReturned{ObjectVersion(2), true}, now);
  for (const auto& action : actions) {
    CHECK_FALSE(std::holds_alternative<FetchHead>(action));
  }
  actions = core.Handle(HeadAbsent{}, now);
  CHECK(std::holds_alternative<FetchHead>(actions.at(0)));
}

// One node that holds version 1 and is given damaged contents.
struct Damaged {
  Damaged() {
    FillModel(fleet.model());
    fleet.Publish();
    fleet.Run(1s);
  }
  ConfigurationHead NextHead() {
    ConfigurationHead head = fleet.model().head;
    head.version = core.held() + ConfigVersion(++m_ahead);
    return head;
  }
  ConfigurationActions Give(const ConfigurationHead& head) {
    auto actions = core.Handle(
        HeadFromStore{EncodeHead(head), ObjectVersion(9)}, fleet.now());
    for (const auto& action :
         core.Handle(ContentArrived{Sha256(bytes), bytes}, fleet.now())) {
      actions.push_back(action);
    }
    return actions;
  }

  ConfigurationFleet fleet{1, 3};
  ConfigurationCore& core = *fleet.node(fleet.members()[0]).core;
  const std::string bytes = "[]";

 private:
  uint64_t m_ahead = 0;
};

TEST_CASE_METHOD(Damaged, "Keys that cannot be read are not trusted") {
  ConfigurationHead bad = NextHead();
  bad.keys.begin()->second = Sha256(bytes);
  for (const auto& action : Give(bad)) {
    CHECK_FALSE(std::holds_alternative<ApplySnapshot>(action));
  }
  CHECK(core.held() == ConfigVersion(1));
  CHECK_FALSE(core.KeysTrusted(fleet.now()));
  Give(NextHead());
  CHECK(core.held() == ConfigVersion(3));
  CHECK(core.KeysTrusted(fleet.now()));
}

TEST_CASE_METHOD(Damaged, "A service that cannot be read stays as it was") {
  ConfigurationHead bad = NextHead();
  bad.services["a"] = Sha256(bytes);
  bad.services["new"] = Sha256(bytes);
  std::shared_ptr<const Snapshot> applied;
  for (const auto& action : Give(bad)) {
    if (const auto* apply = std::get_if<ApplySnapshot>(&action)) {
      applied = apply->snapshot;
    }
  }
  REQUIRE(applied != nullptr);
  CHECK(applied->version() == ConfigVersion(2));
  CHECK(applied->FindRoute("GET", "/a") != nullptr);
  CHECK(applied->FindService(ServiceId("new")) == nullptr);
  CHECK(core.KeysTrusted(fleet.now()));
}

// One random fault or change.
void Disturb(ConfigurationFleet& fleet) {
  const auto pick = [&]() -> const VmId& {
    return fleet.members()[fleet.Draw(fleet.members().size())];
  };
  ConfigurationModel& model = fleet.model();
  switch (fleet.Draw(10)) {
    case 0:
      model.keys[fleet.Draw(model.keys.size())].withdrawn = WallTime(1ms);
      fleet.Publish();
      break;
    case 1:
      model.organisations[fleet.Draw(model.organisations.size())].rate += 1;
      fleet.Publish();
      break;
    case 2:
      model.AddService("s" + std::to_string(model.head.version.value()));
      fleet.Publish();
      break;
    case 3:
      SetStore(fleet, fleet.Draw(2) == 0);
      break;
    case 4:
      fleet.node(pick()).store_up = fleet.Draw(2) == 0;
      break;
    case 5:
      fleet.node(pick()).has_disk = fleet.Draw(2) == 0;
      fleet.Start(pick());
      break;
    case 6:
      fleet.node(pick()).paused = fleet.Draw(2) == 0;
      break;
    case 7:
    case 8:
      fleet.MakeLink(pick(), pick());
      break;
    default:
      fleet.CutLink(pick(), pick());
  }
}

TEST_CASE("Under mixed faults no node goes back, and all converge") {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    ConfigurationFleet fleet(2 + seed % 6, seed);
    INFO("seed " << seed);
    FillModel(fleet.model());
    fleet.LinkAll();
    fleet.Publish();
    fleet.lossy = true;
    for (int step = 0; step < 150; ++step) {
      Disturb(fleet);
      fleet.Run(std::chrono::milliseconds(fleet.Draw(1500)));
      REQUIRE(fleet.applied_back() == 0);
      REQUIRE(fleet.mismatches() == 0);
    }
    fleet.lossy = false;
    SetStore(fleet, true);
    for (const VmId& vm : fleet.members()) {
      fleet.node(vm).paused = false;
    }
    fleet.Run(20s);
    REQUIRE(CountHolding(fleet, fleet.model().head.version) ==
            fleet.members().size());
  }
}

}  // namespace
}  // namespace cowslip
