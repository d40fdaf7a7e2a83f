#include "Membership/membership_core.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <set>

namespace cowslip {
namespace {

ListedVm Entry(const std::string& vm) {
  return {.vm = VmId(vm), .role = VmRole::kEntry, .link = {"10.0.0.1", 1}};
}

ListedVm Backend(const std::string& vm) {
  return {.vm = VmId(vm),
          .role = VmRole::kBackend,
          .service = ServiceId("s"),
          .link = {"10.0.0.2", 2}};
}

// Applies actions as the driver does and keeps the latest views.
struct Node {
  explicit Node(const std::string& vm,
                VmRole role = VmRole::kEntry,
                size_t max_backends = kMaxBackendsPerEntry)
      : core({.self = VmId(vm),
              .role = role,
              .max_backends_per_entry = max_backends}) {}

  void Handle(const MembershipEvent& event, Duration after = {}) {
    now += after;
    for (const auto& action : core.Handle(event, now)) {
      if (const auto* dial = std::get_if<DialPeer>(&action)) {
        dialled.insert(dial->vm.value());
      } else if (const auto* hangup = std::get_if<HangupPeer>(&action)) {
        dialled.erase(hangup->vm.value());
      } else if (const auto* members = std::get_if<MembersChanged>(&action)) {
        entries.clear();
        for (const VmId& vm : members->entries) {
          entries.insert(vm.value());
        }
      } else if (const auto* changed = std::get_if<BackendsChanged>(&action)) {
        backends.clear();
        for (const BackendMember& member : changed->backends) {
          backends.insert(member.vm.value());
        }
      } else if (const auto* announcement =
                     std::get_if<SendDrainAnnouncement>(&action)) {
        drain_announcements.insert(announcement->vm.value());
      }
    }
  }
  void Up(const std::string& vm, uint64_t incarnation = 1) {
    Handle(MemberPeerUp{VmId(vm), Incarnation(incarnation)});
  }

  MembershipCore core;
  MonotonicTime now;
  std::set<std::string> dialled, entries, backends, drain_announcements;
};

using Names = std::set<std::string>;

const VmListRead kList{{Entry("a"), Entry("b"), Entry("c"), Backend("x")}};

TEST_CASE("Entries dial backend servers and the entries with a greater id") {
  Node a("a");
  Node b("b");
  Node x("x", VmRole::kBackend);
  for (Node* node : {&a, &b, &x}) {
    node->Handle(kList);
  }
  CHECK(a.dialled == Names{"b", "c", "x"});
  CHECK(b.dialled == Names{"c", "x"});
  CHECK(x.dialled.empty());
  CHECK(x.entries.empty());
  CHECK(b.entries == Names{"b"});
  b.Up("a");
  b.Up("x");
  b.Up("stranger");
  CHECK(b.entries == Names{"a", "b"});
  CHECK(b.backends == Names{"x"});
}

TEST_CASE("An entry whose link stays down is dialled from both sides") {
  // The entry with the smallest id restarts while the platform is down: it has
  // no VM list.
  Node b("b");
  b.Handle(kList);
  b.Up("a");
  b.Handle(MembershipTick{}, kReverseDialDelay * 2);
  CHECK_FALSE(b.dialled.contains("a"));
  b.Handle(MemberPeerDown{VmId("a")});
  b.Handle(VmListReadFailed{}, kReverseDialDelay / 2);
  CHECK_FALSE(b.dialled.contains("a"));
  b.Handle(MembershipTick{}, kReverseDialDelay);
  CHECK(b.dialled.contains("a"));
  b.Up("a", 2);
  CHECK(b.dialled.contains("a"));
}

TEST_CASE(
    "A leaving VM, a drain announcement and a failed link each end new work") {
  Node node("a");
  node.Handle(kList);
  node.Up("b");
  node.Up("x");
  REQUIRE(node.backends == Names{"x"});

  SECTION("the list marks it as leaving; the link stays for work in flight") {
    VmListRead list = kList;
    list.vms.back().leaving = true;
    node.Handle(list);
    CHECK(node.backends.empty());
    CHECK(node.dialled.count("x") == 1);
    node.Handle(MembershipTick{}, kUnwantedLinkGrace);
    CHECK(node.dialled.count("x") == 0);
  }
  SECTION("the list no longer contains it") {
    node.Handle(VmListRead{{Entry("a"), Entry("b")}});
    CHECK(node.backends.empty());
    node.Handle(MemberPeerDown{VmId("x")});
    CHECK(node.dialled == Names{"b"});
  }
  SECTION("its drain announcement, until it has restarted") {
    node.Handle(DrainAnnouncementReceived{VmId("x"), Incarnation(1)});
    CHECK(node.backends.empty());
    node.Handle(MemberPeerDown{VmId("x")});
    node.Up("x", 1);
    CHECK(node.backends.empty());
    node.Up("x", 2);
    CHECK(node.backends == Names{"x"});
    // A drain announcement of the previous process arrives late.
    node.Handle(DrainAnnouncementReceived{VmId("x"), Incarnation(1)});
    CHECK(node.backends == Names{"x"});
  }
  SECTION("a failed link, until it is up again") {
    node.Handle(MemberPeerDown{VmId("x")});
    CHECK(node.backends.empty());
    CHECK(node.dialled.count("x") == 1);
    node.Up("x");
    CHECK(node.backends == Names{"x"});
  }
}

TEST_CASE("A VM list that cannot be read or becomes empty changes nothing") {
  Node node("a");
  node.Handle(kList);
  node.Up("b");
  node.Up("x");
  node.Handle(VmListReadFailed{});
  node.Handle(VmListRead{});
  CHECK(node.entries == Names{"a", "b"});
  CHECK(node.backends == Names{"x"});
  node.Handle(MemberPeerDown{VmId("x")});
  CHECK(node.backends.empty());
}

TEST_CASE(
    "A draining process announces it to every peer, including later ones") {
  Node node("a");
  node.Handle(kList);
  node.Up("b");
  node.Handle(MembershipDrainRequested{});
  CHECK(node.drain_announcements == Names{"b"});
  CHECK(node.entries == Names{"b"});
  node.Up("c");
  CHECK(node.drain_announcements == Names{"b", "c"});
}

TEST_CASE(
    "In a large fleet, enough entries keep a link to every backend server") {
  CHECK(rc::check([] {
    const auto entry_count = *rc::gen::inRange<size_t>(1, 12);
    const auto backend_count = *rc::gen::inRange<size_t>(1, 80);
    constexpr size_t kMaxBackends = 10;
    VmListRead list;
    for (size_t i = 0; i < entry_count; ++i) {
      list.vms.push_back(Entry("e" + std::to_string(i)));
    }
    for (size_t i = 0; i < backend_count; ++i) {
      list.vms.push_back(Backend("x" + std::to_string(i)));
    }
    std::map<std::string, size_t> entries_per_backend;
    for (size_t i = 0; i < entry_count; ++i) {
      Node node("e" + std::to_string(i), VmRole::kEntry, kMaxBackends);
      node.Handle(list);
      for (const std::string& vm : node.dialled) {
        ++entries_per_backend[vm];
      }
    }
    for (size_t i = 0; i < backend_count; ++i) {
      const size_t enough = std::min(entry_count, kMinEntriesPerBackend);
      RC_ASSERT(entries_per_backend["x" + std::to_string(i)] >= enough);
    }
  }));
}

TEST_CASE("With many services an entry keeps a bounded number of links") {
  constexpr size_t kEntries = 20;
  constexpr size_t kServices = 27;
  constexpr size_t kBackendsOfService = 40;
  VmListRead list;
  for (size_t i = 0; i < kEntries; ++i) {
    list.vms.push_back(Entry("e" + std::to_string(i)));
  }
  for (size_t i = 0; i < kServices * kBackendsOfService; ++i) {
    ListedVm backend = Backend("x" + std::to_string(i));
    backend.service = ServiceId("s" + std::to_string(i % kServices));
    list.vms.push_back(backend);
  }
  size_t links = 0;
  for (size_t i = 0; i < kEntries; ++i) {
    Node node("e" + std::to_string(i));
    node.Handle(list);
    for (const std::string& vm : node.dialled) {
      links += vm[0] == 'x' ? 1 : 0;
    }
  }
  CHECK(links == kEntries * kServices * kMinBackendsPerService);
}

}  // namespace
}  // namespace cowslip
