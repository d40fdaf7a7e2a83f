#include "Membership/membership_driver.h"

#include <catch2/catch.hpp>

#include <chrono>

#include "Link/peer_link.h"
#include "Platform/object_store.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

// A store that has only a VM list and can fail to return it.
class FakeVmList : public ObjectStore {
 public:
  boost::asio::awaitable<Result<std::vector<VmRecord>>> ListVms() override {
    if (m_failing) {
      co_return Error(ErrorKind::kUnavailable, "The store is down.");
    }
    co_return m_vms;
  }
  boost::asio::awaitable<Result<StoredObject>> Get(ObjectKey) override {
    co_return Missing();
  }
  boost::asio::awaitable<Result<ObjectVersion>> Put(ObjectKey,
                                                    std::string,
                                                    Precondition) override {
    co_return Missing();
  }
  boost::asio::awaitable<Result<void>> Delete(ObjectKey,
                                              Precondition) override {
    co_return Missing();
  }
  boost::asio::awaitable<Result<std::vector<ListedObject>>>
  List(std::string, ObjectKey, size_t) override {
    co_return Missing();
  }
  boost::asio::awaitable<Result<WatchResult>> Watch(std::string,
                                                    ObjectVersion,
                                                    Duration) override {
    co_return Missing();
  }

  std::vector<VmRecord> m_vms;
  bool m_failing = false;

 private:
  static Error Missing() {
    return Error(ErrorKind::kNotFound, "This fake holds no objects.");
  }
};

struct Process {
  Process(boost::asio::io_context& context,
          ObjectStore& store,
          const std::string& vm,
          VmRole role)
      : link(context, {vm, 1}),
        driver(context,
               store,
               link,
               {.core = {.self = VmId(vm), .role = role},
                .incarnation = Incarnation(1),
                .poll_interval = 10ms},
               {.on_entries = [this](const auto& view) { entries = view; },
                .on_backends = [this](const auto& view) { backends = view; }}) {
    REQUIRE(link.Start() == "");
    driver.Start();
  }
  VmRecord Record(const std::string& vm, const std::string& role) const {
    return {.vm = VmId(vm),
            .role = role,
            .service = ServiceId("s"),
            .link_address = "127.0.0.1",
            .link_port = link.port()};
  }

  PeerLink link;
  MembershipDriver driver;
  std::vector<VmId> entries;
  std::vector<BackendMember> backends;
};

template <class Done>
bool RunUntil(boost::asio::io_context& context, Done done) {
  const auto end = std::chrono::steady_clock::now() + 20s;
  while (!done() && std::chrono::steady_clock::now() < end) {
    context.run_for(1ms);
  }
  return done();
}

TEST_CASE(
    "Processes connect to each other, and a drain announcement ends new work") {
  boost::asio::io_context context;
  FakeVmList store;
  Process a(context, store, "a", VmRole::kEntry);
  Process b(context, store, "b", VmRole::kEntry);
  Process x(context, store, "x", VmRole::kBackend);
  store.m_vms = {a.Record("a", "entry"), b.Record("b", "entry"),
                 x.Record("x", "backend")};
  REQUIRE(RunUntil(context, [&] {
    return a.entries.size() == 2 && b.entries.size() == 2 &&
           a.backends.size() == 1 && b.backends.size() == 1;
  }));
  store.m_failing = true;
  x.driver.AnnounceDrain();
  REQUIRE(RunUntil(context,
                   [&] { return a.backends.empty() && b.backends.empty(); }));
  CHECK(a.link.IsUp("x"));
  b.driver.AnnounceDrain();
  REQUIRE(RunUntil(context,
                   [&] { return a.entries == std::vector<VmId>{VmId("a")}; }));
}

}  // namespace
}  // namespace cowslip
