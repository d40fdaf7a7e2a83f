#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Base/rendezvous.h"
#include "Peers/peer_table.h"
#include "Placement/version_history_core.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;
using Knowledge = VersionHistoryCore::Knowledge;

const ServiceId kService("assistant");
const SoftwareVersion kOld("v1");
const SoftwareVersion kNew("v2");

MonotonicTime At(Duration since_start) {
  return MonotonicTime(1000s + since_start);
}

/// \class RecordStore
/// \brief The record of one service in the store, with its condition.
struct RecordStore {
  std::optional<ServiceVersions> record;
  uint64_t revision = 10;
  size_t reads = 0;
  size_t writes = 0;

  bool Write(ServiceVersions next) {
    const ObjectVersion current =
        record.has_value() ? record->revision : ObjectVersion();
    if (next.revision != current) {
      return false;
    }
    next.revision = ObjectVersion(++revision);
    record = std::move(next);
    return true;
  }
};

/// \class HistoryProcess
/// \brief One gateway's core, connected to the record.
class HistoryProcess {
 public:
  HistoryProcess(RecordStore& store, const std::string& name, int members)
      : m_store(store),
        m_peers(PeerTableOptions{.self = VmId(name)}),
        m_core(VersionHistoryOptions{.self = VmId(name)}, m_peers) {
    PeerListRead listed;
    for (int i = 0; i < members; ++i) {
      listed.peers.push_back(
          {.vm = VmId("g" + std::to_string(i)), .incarnation = Incarnation(1)});
    }
    m_peers.Handle(listed, At(0s));
  }

  void Handle(const VersionHistoryEvent& event, MonotonicTime now) {
    for (const VersionHistoryAction& action : m_core.Handle(event, now)) {
      if (std::holds_alternative<ReadVersionRecord>(action)) {
        ++m_store.reads;
        Handle(VersionRecordKnown{kService, m_store.record, now}, now);
        continue;
      }
      ++m_store.writes;
      ServiceVersions record = std::get<WriteVersionRecord>(action).record;
      if (m_store.Write(record)) {
        Handle(VersionRecordKnown{kService, m_store.record, now}, now);
      } else {
        Handle(VersionRecordCallFailed{kService, false}, now);
      }
    }
  }

  void Start(std::vector<SoftwareVersion> versions, MonotonicTime now) {
    for (size_t i = 0; i < versions.size(); ++i) {
      List("b" + std::to_string(i), versions[i], now);
    }
    Handle(VersionsListedCompletely{}, now);
    Handle(ResumableServicesChanged{{kService}}, now);
  }

  void List(const std::string& id, SoftwareVersion version, MonotonicTime now) {
    Handle(VersionListed{BackendId(id), kService, std::move(version)}, now);
  }
  void Unlist(const std::string& id, MonotonicTime now) {
    Handle(VersionUnlisted{BackendId(id)}, now);
  }
  void TickUntil(Duration begin, Duration end) {
    for (Duration at = begin; at <= end; at += 100ms) {
      Handle(VersionHistoryTick{}, At(at));
    }
  }
  // Asks and reads the entries and the record, as far as they are needed.
  Knowledge Judge(MonotonicTime now) {
    Handle(VersionsReadUpTo{now}, now);
    Handle(VersionRecordNeeded{kService}, now);
    return m_core.Judge(kService, now, now).knowledge;
  }
  VersionHistoryCore& core() { return m_core; }

 private:
  RecordStore& m_store;
  PeerTable m_peers;
  VersionHistoryCore m_core;
};

TEST_CASE("A version counts for as long as its streams can be resumed") {
  RecordStore store;
  HistoryProcess process(store, "g0", 1);
  process.Start({kOld, kNew}, At(0s));
  process.TickUntil(0s, 40s);
  CHECK(process.Judge(At(40s)) == Knowledge::kSeveralVersions);
  process.Unlist("b1", At(41s));
  CHECK(process.Judge(At(42s)) == Knowledge::kSeveralVersions);
  CHECK(process.Judge(At(72s)) == Knowledge::kSoleVersion);
  // The same incarnation comes back at another version.
  process.List("b0", kNew, At(80s));
  CHECK(process.Judge(At(81s)) == Knowledge::kSeveralVersions);
  CHECK(process.Judge(At(111s)) == Knowledge::kSoleVersion);
  CHECK(
      process.core().Judge(ServiceId("other"), At(111s), At(111s)).knowledge ==
      Knowledge::kUnknown);
}

TEST_CASE(
    "What a process has seen by itself does not show that there is no other "
    "version") {
  RecordStore store;
  HistoryProcess process(store, "g0", 1);
  process.Start({kOld}, At(0s));
  process.TickUntil(0s, 40s);
  process.Handle(VersionsReadUpTo{At(40s)}, At(40s));
  const VersionHistoryCore& core = process.core();
  CHECK(core.Judge(kService, At(40s), At(41s)).knowledge ==
        Knowledge::kSoleVersion);
  // The process stands still or is cut off, and a caller asks afterwards.
  CHECK(core.Judge(kService, At(45s), At(45s)).knowledge ==
        Knowledge::kViewOutdated);
  // A read that began before that tells nothing.
  process.Handle(VersionsReadUpTo{At(44s)}, At(46s));
  CHECK(core.Judge(kService, At(45s), At(46s)).knowledge ==
        Knowledge::kViewOutdated);
  process.Handle(VersionsReadUpTo{At(45s)}, At(46s));
  CHECK(core.Judge(kService, At(45s), At(46s)).knowledge ==
        Knowledge::kSoleVersion);
  process.List("b1", kNew, At(47s));
  CHECK(core.Judge(kService, At(48s), At(48s)).knowledge ==
        Knowledge::kSeveralVersions);
}

TEST_CASE("A process that starts counts versions that only the record names") {
  for (const bool old_one_serves : {false, true}) {
    RecordStore store;
    store.record = ServiceVersions{{kOld, kNew}, 1, ObjectVersion(3)};
    HistoryProcess process(store, "g0", 1);
    std::vector<SoftwareVersion> serving = {kNew};
    if (old_one_serves) {
      serving.push_back(kOld);
    }
    process.Start(serving, At(0s));
    CHECK(process.Judge(At(1s)) == Knowledge::kSeveralVersions);
    process.TickUntil(0s, 29s);
    CHECK(process.Judge(At(29s)) == Knowledge::kSeveralVersions);
    CHECK(store.record->versions.size() == 2);
    process.TickUntil(29s, 32s);
    CHECK((process.Judge(At(32s)) == Knowledge::kSoleVersion) !=
          old_one_serves);
    CHECK((store.record->versions.size() == 1) != old_one_serves);
  }
}

TEST_CASE(
    "Without a record, or before the listing, no version is the only one") {
  RecordStore store;
  HistoryProcess process(store, "g0", 1);
  CHECK(process.Judge(At(0s)) == Knowledge::kUnknown);
  process.List("b0", kNew, At(0s));
  CHECK(process.Judge(At(0s)) == Knowledge::kUnknown);
  process.Handle(VersionsListedCompletely{}, At(0s));
  CHECK(process.Judge(At(1s)) == Knowledge::kUnknown);
  CHECK(process.Judge(At(31s)) == Knowledge::kSoleVersion);
}

TEST_CASE("After a gap in what was watched the record is read again") {
  RecordStore store;
  HistoryProcess process(store, "g0", 1);
  process.Start({kNew}, At(0s));
  process.TickUntil(0s, 40s);
  const size_t reads = store.reads;
  CHECK(process.Judge(At(40s)) == Knowledge::kSoleVersion);
  CHECK(store.reads == reads);
  // Another process has seen a version that came and went meanwhile.
  store.Write({{kOld, kNew}, 5, store.record->revision});
  process.Handle(VersionsListedCompletely{}, At(41s));
  CHECK(process.Judge(At(41s)) == Knowledge::kSeveralVersions);
  CHECK(store.reads == reads + 1);
}

TEST_CASE("While changes may be missed no version is the only one") {
  RecordStore store;
  HistoryProcess process(store, "g0", 1);
  process.Start({kNew}, At(0s));
  process.TickUntil(0s, 40s);
  process.Handle(VersionWatchInterrupted{}, At(41s));
  CHECK(process.Judge(At(41s)) == Knowledge::kUnknown);
  process.Handle(VersionsListedCompletely{}, At(42s));
  CHECK(process.Judge(At(42s)) == Knowledge::kSoleVersion);
}

TEST_CASE("A record that was read before the listing began does not count") {
  RecordStore store;
  store.record = ServiceVersions{{kNew}, 1, ObjectVersion(3)};
  PeerTable peers(PeerTableOptions{.self = VmId("g0")});
  VersionHistoryCore core(VersionHistoryOptions{.self = VmId("g0")}, peers);
  core.Handle(VersionListed{BackendId("n"), kService, kNew}, At(1s));
  core.Handle(VersionsListedCompletely{}, At(1s));
  core.Handle(VersionRecordKnown{kService, store.record, At(0s)}, At(2s));
  CHECK(core.Judge(kService, At(2s), At(2s)).knowledge ==
        Knowledge::kRecordNeeded);
}

TEST_CASE("A version is recorded as soon as it appears, by one process") {
  constexpr int kMembers = 19;
  RecordStore store;
  std::vector<std::unique_ptr<HistoryProcess>> processes;
  for (int i = 0; i < kMembers; ++i) {
    processes.push_back(std::make_unique<HistoryProcess>(
        store, "g" + std::to_string(i), kMembers));
  }
  const auto all = [&](auto&& body) {
    for (auto& process : processes) {
      body(*process);
    }
  };
  all([](auto& process) { process.Start({kOld}, At(0s)); });
  CHECK(store.record->versions == std::set{kOld});
  all([](auto& process) { process.TickUntil(0s, 3s); });
  all([](auto& process) { process.List("n", kNew, At(3s)); });
  CHECK(store.record->versions == std::set{kOld, kNew});
  all([](auto& process) { process.TickUntil(3s, 6s); });
  CHECK(store.writes == 2);
  // The second recorder reads after each of the two appearances.
  CHECK(store.reads <= 4);
}

TEST_CASE("The loss of the process that records a version loses no version") {
  constexpr int kMembers = 5;
  RecordStore store;
  std::vector<VmId> names;
  for (int i = 0; i < kMembers; ++i) {
    names.push_back(VmId("g" + std::to_string(i)));
  }
  const std::vector<VmId> recorders =
      RendezvousPick(kService.value(), names, 2);
  // The first recorder has died at the moment of the appearance.
  HistoryProcess second(store, recorders[1].value(), kMembers);
  second.Start({kOld}, At(0s));
  CHECK_FALSE(store.record.has_value());
  second.TickUntil(0s, 600ms);
  REQUIRE(store.record.has_value());
  CHECK(store.record->versions == std::set{kOld});
}

// A recorder dropped a version that the other one had recorded and that its own
// silent watch had missed.
TEST_CASE("A recorder whose view is old removes no version from the record") {
  const SoftwareVersion older("v0");
  RecordStore store;
  store.record = ServiceVersions{{older, kOld}, 1, ObjectVersion(3)};
  const std::vector<VmId> recorders =
      RendezvousPick(kService.value(), {VmId("g0"), VmId("g1")}, 2);
  HistoryProcess first(store, recorders[0].value(), 2);
  HistoryProcess second(store, recorders[1].value(), 2);
  first.Start({kOld}, At(0s));
  second.Start({kOld}, At(20s));
  first.TickUntil(0s, 29s);
  second.TickUntil(20s, 29s);
  second.List("n", kNew, At(29300ms));
  second.TickUntil(29300ms, 29900ms);
  REQUIRE(store.record->versions.contains(kNew));
  // The first recorder drops the older version: its write conflicts, and it
  // reads the record and writes again.
  first.TickUntil(30s, 32s);
  CHECK(store.record->versions.contains(kNew));
}

TEST_CASE("A delayed write does not remove a version that has come back") {
  PeerTable peers(PeerTableOptions{.self = VmId("g0")});
  VersionHistoryCore core(VersionHistoryOptions{.self = VmId("g0")}, peers);
  RecordStore store;
  store.record = ServiceVersions{{kOld, kNew}, 1, ObjectVersion(3)};
  core.Handle(VersionListed{BackendId("n"), kService, kNew}, At(0s));
  core.Handle(VersionsListedCompletely{}, At(0s));
  core.Handle(ResumableServicesChanged{{kService}}, At(0s));
  core.Handle(VersionRecordKnown{kService, store.record, At(0s)}, At(0s));
  const auto drop = core.Handle(VersionHistoryTick{}, At(31s));
  REQUIRE(drop.size() == 1);
  const auto delayed = std::get<WriteVersionRecord>(drop[0]);
  CHECK(delayed.record.versions == std::set{kNew});
  // The write gets no response, and the old version comes back.
  core.Handle(VersionRecordCallFailed{kService, true}, At(32s));
  const auto read =
      core.Handle(VersionListed{BackendId("o"), kService, kOld}, At(33s));
  REQUIRE(read.size() == 1);
  CHECK(std::holds_alternative<ReadVersionRecord>(read[0]));
  // The record already names both versions. It is written nevertheless, so
  // that the delayed write fails its condition.
  const VersionRecordKnown unchanged{kService, store.record, At(33s)};
  auto again = core.Handle(unchanged, At(33s));
  REQUIRE(again.size() == 1);
  // That write is turned away without an effect, and is repeated.
  core.Handle(VersionRecordCallFailed{kService, false}, At(33s));
  again = core.Handle(VersionHistoryTick{}, At(35s));
  REQUIRE(again.size() == 1);
  CHECK(std::holds_alternative<ReadVersionRecord>(again[0]));
  again = core.Handle(unchanged, At(35s));
  REQUIRE(again.size() == 1);
  CHECK(store.Write(std::get<WriteVersionRecord>(again[0]).record));
  CHECK_FALSE(store.Write(delayed.record));
  CHECK(store.record->versions == std::set{kOld, kNew});
}

}  // namespace
}  // namespace cowslip
