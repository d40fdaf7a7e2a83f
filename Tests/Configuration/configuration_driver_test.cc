#include "Configuration/configuration_driver.h"

#include <rapidcheck.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <filesystem>
#include <fstream>

#include "Base/json.h"
#include "Base/sha256.h"
#include "Configuration/publish_runner.h"
#include "Configuration/saved_configuration.h"
#include "Configuration/snapshot.h"
#include "Utilities/StandIns/Platform/fake_object_store.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

// A folder that goes away with the test.
struct TemporaryFolder {
  TemporaryFolder() {
    std::string name = "/tmp/cowslip-test-XXXXXX";
    REQUIRE(mkdtemp(name.data()) != nullptr);
    path = name;
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path); }
  std::string path;
};

// One entry: its own way to the store, its driver and what it applied.
struct Entry {
  VmId vm;
  FakeObjectStore* store = nullptr;
  std::shared_ptr<const Snapshot> snapshot;
  std::unique_ptr<ConfigurationDriver> driver;
};

struct Fixture {
  std::shared_ptr<FakePlatform> platform = std::make_shared<FakePlatform>();
  FakeObjectStore desk{platform};
  // Calls that still wait when the context goes away refer to their store.
  std::deque<FakeObjectStore> stores;
  boost::asio::io_context context;
  std::map<VmId, Entry> entries;

  ~Fixture() {
    for (auto& [vm, entry] : entries) {
      entry.driver->Stop();
    }
  }

  Entry& Add(const std::string& name, const std::string& folder = "") {
    const VmId vm(name);
    Entry& entry = entries[vm];
    entry.vm = vm;
    entry.store = &stores.emplace_back(platform);
    ConfigurationDriverOptions options{.core = {.self = vm},
                                       .data_folder = folder,
                                       .tick = 10ms,
                                       .watch_timeout = 1s};
    options.core.fallback_poll = 1s;
    options.core.peer_poll = 20ms;
    entry.driver = std::make_unique<ConfigurationDriver>(
        context, *entry.store, options,
        [this, vm](const VmId& to, const std::string& cbor) {
          boost::asio::post(context, [this, vm, to, cbor] {
            entries.at(to).driver->OnPeerFrame(vm, cbor);
          });
        },
        [&entry](std::shared_ptr<const Snapshot> snapshot) {
          entry.snapshot = std::move(snapshot);
        });
    return entry;
  }

  void Publish(ConfigurationChange change) {
    bool done = false;
    PublishCoreOptions options{.change = std::move(change),
                               .who = "ana",
                               .token = WriterToken(std::to_string(++m_token))};
    boost::asio::co_spawn(context, RunPublish(desk, std::move(options)),
                          [&](std::exception_ptr, PublishOutcome outcome) {
                            CHECK(std::holds_alternative<Published>(outcome));
                            done = true;
                          });
    CHECK(RunUntil([&] { return done; }));
  }

  bool RunUntil(const std::function<bool()>& condition) {
    context.restart();
    const auto end = std::chrono::steady_clock::now() + 20s;
    while (!condition() && std::chrono::steady_clock::now() < end) {
      context.run_one_for(20ms);
    }
    return condition();
  }

  bool RunUntilHeld(Entry& entry, uint64_t version) {
    return RunUntil([&] {
      return entry.snapshot != nullptr &&
             entry.snapshot->version() == ConfigVersion(version);
    });
  }

 private:
  int m_token = 0;
};

PublishDeclarations Organisations() {
  PublishDeclarations change;
  change.declarations.sets = {OrganisationSetId("x")};
  change.declarations.organisations = {{.id = OrganisationId("mill"),
                                        .set = OrganisationSetId("x"),
                                        .rate = 1,
                                        .burst = 1}};
  return change;
}

const KeyRecord kKey{.digest = Sha256("k"),
                     .organisation = OrganisationId("mill")};
const WithdrawKey kWithdrawal{.digest_prefix = kKey.digest.value(),
                              .when = WallTime(5ms)};

TEST_CASE_METHOD(Fixture,
                 "A withdrawal reaches an entry cut off from the store") {
  Entry& a = Add("a");
  Entry& b = Add("b");
  a.driver->Start();
  b.driver->Start();
  Publish(Organisations());
  Publish(AddKey{kKey});
  CHECK(RunUntilHeld(a, 2));
  CHECK(RunUntilHeld(b, 2));
  CHECK(b.driver->KeysTrusted());
  b.store->faults().down = true;
  a.driver->OnPeerUp(b.vm);
  b.driver->OnPeerUp(a.vm);
  Publish(kWithdrawal);
  CHECK(RunUntilHeld(b, 3));
  CHECK(b.snapshot->FindKey(kKey.digest)->withdrawn);
}

TEST_CASE_METHOD(Fixture,
                 "A restart in an outage keeps a withdrawn key withdrawn") {
  TemporaryFolder folder;
  Entry& a = Add("a", folder.path);
  a.driver->Start();
  Publish(Organisations());
  Publish(AddKey{kKey});
  Publish(kWithdrawal);
  REQUIRE(RunUntilHeld(a, 3));
  a.driver->Stop();
  Entry& again = Add("b", folder.path);
  again.store->faults().down = true;
  again.driver->Start();
  REQUIRE(again.snapshot != nullptr);
  CHECK(again.snapshot->version() == ConfigVersion(3));
  CHECK(again.snapshot->FindKey(kKey.digest)->withdrawn);
  CHECK_FALSE(again.driver->KeysTrusted());
}

TEST_CASE("A damaged copy in the data folder is left out") {
  TemporaryFolder folder;
  CHECK_FALSE(ReadSavedConfiguration(folder.path));
  const SavedConfiguration saved{.head_text = "{}",
                                 .contents = {{Digest("d"), "bytes"}}};
  REQUIRE(WriteSavedConfiguration(folder.path, saved).has_value());
  CHECK(ReadSavedConfiguration(folder.path)->contents == saved.contents);
  const std::string file = folder.path + "/configuration.json";
  std::ofstream(file, std::ios::trunc) << R"({"head":"{ }","digest":"x"})";
  CHECK_FALSE(ReadSavedConfiguration(folder.path));
  CHECK_FALSE(WriteSavedConfiguration("/nonexistent", saved).has_value());
}

TEST_CASE_METHOD(Fixture, "No frame of a peer breaks a driver") {
  Entry& a = Add("a");
  a.driver->Start();
  a.driver->OnPeerUp(VmId("a"));
  REQUIRE(rc::check([&] {
    const auto frame = *rc::gen::arbitrary<std::string>();
    a.driver->OnPeerFrame(VmId("a"), frame);
    nlohmann::json message = {
        {"type", *rc::gen::element("announce", "head", "content", "frob")},
        {"held", *rc::gen::inRange(0, 9)},
        {"text", *rc::gen::element("", "{}", "[[", "{\"version\":4}")},
        {"digest", "d"},
        {"found", true},
        {"bytes", 7}};
    a.driver->OnPeerFrame(VmId("a"), ToCbor(message));
  }));
  CHECK(a.driver->held() == ConfigVersion(0));
}

}  // namespace
}  // namespace cowslip
