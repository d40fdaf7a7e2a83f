#include <map>
#include <memory>
#include <string>
#include <vector>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "Peers/peer_table.h"
#include "Placement/evacuation_core.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

const ZoneId kZone("a");
const ZoneId kOther("b");

MonotonicTime At(Duration since_start) {
  return MonotonicTime(1000s + since_start);
}

/// \class EvacuationProcess
/// \brief One gateway's core among three, with what it has done.
class EvacuationProcess {
 public:
  explicit EvacuationProcess(const std::string& name, int members = 3)
      : m_name(name),
        m_peers(PeerTableOptions{.self = VmId(name)}),
        m_core({.self = VmId(name)}, m_peers) {
    PeerListRead listed;
    for (int i = 0; i < members; ++i) {
      listed.peers.push_back(
          {.vm = VmId("g" + std::to_string(i)), .incarnation = Incarnation(1)});
    }
    m_peers.Handle(listed, At(0s));
  }

  void Handle(const EvacuationEvent& event, Duration at = 0s) {
    for (const EvacuationAction& action : m_core.Handle(event, At(at))) {
      if (const auto* write = std::get_if<WriteEvacuationStatus>(&action)) {
        writes.push_back(*write);
      }
    }
  }
  void Write(uint64_t version, uint64_t created, const ZoneId& zone = kZone) {
    Handle(EvacuationWritten{.zone = zone,
                             .version = ObjectVersion(version),
                             .created = ObjectVersion(created)});
  }
  void Remove(uint64_t version, const ZoneId& zone = kZone) {
    Handle(EvacuationRemoved{zone, ObjectVersion(version)});
  }
  void List(uint64_t as_of) { Handle(EvacuationsListed{ObjectVersion(as_of)}); }
  /// Sends what it knows to another process.
  void ReportTo(EvacuationProcess& to, Duration at = 0s, uint32_t busy = 0) {
    to.Handle(Report(busy), at);
    PeerMessage message{.vm = VmId(m_name), .incarnation = Incarnation(1)};
    message.sequence = ++m_sequence;
    to.m_peers.Handle(PeerMessageReceived{message}, At(at));
  }
  PeerEvacuationsReported Report(uint32_t busy = 0) const {
    PeerEvacuationsReported report{.vm = VmId(m_name),
                                   .knows_entries = m_core.knows_entries(),
                                   .zones = m_core.ZonesToReport()};
    for (EvacuatedZone& zone : report.zones) {
      zone.in_flight = busy;
    }
    return report;
  }
  void Tick(Duration at, std::set<ZoneId> busy = {}) {
    m_peers.Handle(PeerTick{}, At(at));
    Handle(EvacuationTick{.busy_zones = std::move(busy)}, at);
  }
  bool Holds(const ZoneId& zone = kZone) const {
    return m_core.IsEvacuated(zone);
  }
  const EvacuationCore& core() const { return m_core; }

  std::vector<WriteEvacuationStatus> writes;

 private:
  const std::string m_name;
  PeerTable m_peers;
  EvacuationCore m_core;
  uint64_t m_sequence = 0;
};

TEST_CASE("An entry and its removal are learned from a peer") {
  EvacuationProcess informed("g0");
  EvacuationProcess silent("g1");
  informed.Write(20, 20);
  informed.Write(21, 21, kOther);
  informed.ReportTo(silent);
  CHECK(silent.Holds());
  CHECK(silent.Holds(kOther));
  informed.Remove(22);
  informed.ReportTo(silent);
  CHECK_FALSE(silent.Holds());
  CHECK(silent.Holds(kOther));
}

TEST_CASE("An old report neither restores nor removes an entry") {
  EvacuationProcess process("g0");
  EvacuationProcess old("g1");
  process.Write(20, 20);
  old.Write(20, 20);
  process.Remove(25);
  old.ReportTo(process);
  CHECK_FALSE(process.Holds());
  old.Remove(25);
  process.Write(30, 30);
  old.ReportTo(process);
  CHECK(process.Holds());
}

TEST_CASE("A process that never knew an entry does not remove it at others") {
  EvacuationProcess process("g0");
  EvacuationProcess unaware("g1");
  process.Write(20, 20);
  unaware.List(40);
  unaware.ReportTo(process);
  CHECK(process.Holds());
}

TEST_CASE("A report does not restore what a listing has shown to be gone") {
  EvacuationProcess old("g0");
  EvacuationProcess started("g1");
  old.Write(20, 20);
  started.List(30);
  old.ReportTo(started);
  CHECK_FALSE(started.Holds());
}

TEST_CASE("A listing ends an entry that was known from peers only") {
  EvacuationProcess informed("g0");
  EvacuationProcess process("g1");
  informed.Write(20, 20);
  informed.ReportTo(process);
  process.List(19);
  CHECK(process.Holds());
  process.List(23);
  CHECK_FALSE(process.Holds());
}

TEST_CASE("The removal of an earlier entry does not end a later one") {
  EvacuationProcess informed("g0");
  EvacuationProcess process("g1");
  process.Write(20, 20);
  informed.Write(30, 30);
  informed.ReportTo(process);
  process.Remove(25);
  CHECK(process.Holds());
  process.List(31);
  CHECK_FALSE(process.Holds());
}

TEST_CASE("Entries stay in force while the store is lost") {
  EvacuationProcess process("g0");
  process.Write(20, 20);
  process.Handle(EvacuationStoreLost{});
  process.Tick(60s);
  CHECK(process.Holds());
}

TEST_CASE(
    "A process that has just started learns of listed entries by a peer") {
  EvacuationProcess informed("g0");
  EvacuationProcess started("g1");
  CHECK_FALSE(started.core().knows_entries());
  informed.ReportTo(started);
  CHECK_FALSE(started.core().knows_entries());
  informed.Write(20, 20);
  informed.List(20);
  informed.ReportTo(started);
  CHECK(started.core().knows_entries());
  CHECK(started.Holds());
}

/// \class EvacuatedFleet
/// \brief Three processes, of which all know one entry.
struct EvacuatedFleet {
  EvacuatedFleet() {
    for (int i = 0; i < 3; ++i) {
      processes.push_back(
          std::make_unique<EvacuationProcess>("g" + std::to_string(i)));
      processes.back()->Write(20, 20);
      processes.back()->List(20);
    }
  }
  void Exchange(Duration at, size_t busy = 99, size_t silent = 99) {
    for (size_t from = 0; from < 3; ++from) {
      for (size_t to = 0; to < 3; ++to) {
        if (from != to && from != silent) {
          processes[from]->ReportTo(*processes[to], at, from == busy ? 1 : 0);
        }
      }
    }
    for (size_t i = 0; i < 3; ++i) {
      if (i != silent) {
        processes[i]->Tick(at,
                           i == busy ? std::set{kZone} : std::set<ZoneId>());
      }
    }
  }
  std::vector<size_t> Writers() const {
    std::vector<size_t> writers;
    for (size_t i = 0; i < 3; ++i) {
      if (!processes[i]->writes.empty()) {
        writers.push_back(i);
      }
    }
    return writers;
  }
  std::vector<std::unique_ptr<EvacuationProcess>> processes;
};

size_t FirstWriter() {
  EvacuatedFleet fleet;
  fleet.Exchange(100ms);
  REQUIRE(fleet.Writers().size() == 1);
  return fleet.Writers().front();
}

TEST_CASE("One process reports the zone as empty, once") {
  EvacuatedFleet fleet;
  fleet.Exchange(100ms);
  REQUIRE(fleet.Writers().size() == 1);
  EvacuationProcess& writer = *fleet.processes[fleet.Writers().front()];
  CHECK(writer.writes.front().version == ObjectVersion(20));
  writer.Handle(EvacuationStatusStored{kZone, ObjectVersion(21)}, 150ms);
  fleet.Exchange(2s);
  CHECK(writer.writes.size() == 1);
  CHECK(fleet.Writers().size() == 1);
}

TEST_CASE("No process reports the zone as empty while a request runs there") {
  for (size_t busy = 0; busy < 3; ++busy) {
    EvacuatedFleet fleet;
    for (Duration at = 100ms; at < 20s; at += 250ms) {
      fleet.Exchange(at, busy);
    }
    CHECK(fleet.Writers().empty());
    fleet.Exchange(20s);
    CHECK(fleet.Writers().size() == 1);
  }
}

TEST_CASE("No process reports the zone as empty before all know the entry") {
  const size_t first = FirstWriter();
  EvacuationProcess writer("g" + std::to_string(first));
  EvacuationProcess informed("g" + std::to_string((first + 1) % 3));
  EvacuationProcess late("g" + std::to_string((first + 2) % 3));
  writer.Write(20, 20);
  writer.List(20);
  informed.Write(20, 20);
  late.List(19);
  for (Duration at = 100ms; at < 4s; at += 250ms) {
    informed.ReportTo(writer, at);
    late.ReportTo(writer, at);
    writer.Tick(at);
  }
  CHECK(writer.writes.empty());
  late.Write(20, 20);
  late.ReportTo(writer, 4s);
  writer.Tick(4s);
  CHECK(writer.writes.size() == 1);
}

TEST_CASE("A report about an earlier entry of the zone does not count") {
  const size_t first = FirstWriter();
  EvacuationProcess writer("g" + std::to_string(first));
  EvacuationProcess informed("g" + std::to_string((first + 1) % 3));
  EvacuationProcess late("g" + std::to_string((first + 2) % 3));
  late.Write(20, 20);
  for (EvacuationProcess* process : {&writer, &informed}) {
    process->Write(20, 20);
    process->Remove(25);
    process->Write(30, 30);
    process->List(30);
  }
  informed.ReportTo(writer, 100ms);
  late.ReportTo(writer, 100ms);
  writer.Tick(100ms);
  CHECK(writer.writes.empty());
}

TEST_CASE("The next live process takes over the report") {
  const size_t first = FirstWriter();
  EvacuatedFleet fleet;
  fleet.Exchange(100ms, first);
  CHECK(fleet.Writers().empty());
  // It was busy when it was lost, so the others wait until its silence is over.
  for (Duration at = 350ms; at < 5s; at += 250ms) {
    fleet.Exchange(at, 99, first);
  }
  CHECK(fleet.Writers().empty());
  for (Duration at = 5s; at < 7s; at += 250ms) {
    fleet.Exchange(at, 99, first);
  }
  REQUIRE(fleet.Writers().size() == 1);
  CHECK(fleet.Writers().front() != first);
}

TEST_CASE("A failed write is tried again, a conflict with the new version") {
  EvacuatedFleet fleet;
  fleet.Exchange(100ms);
  EvacuationProcess& writer = *fleet.processes[FirstWriter()];
  REQUIRE(writer.writes.size() == 1);
  writer.Handle(EvacuationStatusFailed{kZone}, 200ms);
  writer.Write(24, 20);
  fleet.Exchange(300ms);
  CHECK(writer.writes.size() == 1);
  fleet.Exchange(1300ms);
  REQUIRE(writer.writes.size() == 2);
  CHECK(writer.writes.back().version == ObjectVersion(24));
}

TEST_CASE("Nothing is written while the store is lost") {
  EvacuatedFleet fleet;
  for (const auto& process : fleet.processes) {
    process->Handle(EvacuationStoreLost{});
  }
  fleet.Exchange(100ms);
  CHECK(fleet.Writers().empty());
}

// Reports arrive late and in any order; after the store was quiet and each
// process has listed, all agree with it.
TEST_CASE("Processes agree with the store whatever reports arrive late") {
  rc::check([](const std::vector<uint8_t>& steps) {
    std::vector<std::unique_ptr<EvacuationProcess>> processes;
    for (int i = 0; i < 3; ++i) {
      processes.push_back(
          std::make_unique<EvacuationProcess>("g" + std::to_string(i)));
    }
    std::vector<PeerEvacuationsReported> late;
    uint64_t version = 10;
    bool is_there = false;
    for (const uint8_t step : steps) {
      EvacuationProcess& process = *processes[step % 3];
      switch (step / 3 % 4) {
        case 0:
          ++version;
          is_there = !is_there;
          is_there ? process.Write(version, version) : process.Remove(version);
          break;
        case 1:
          late.push_back(process.Report());
          break;
        default:
          if (!late.empty()) {
            const auto& report = late[step / 12 % late.size()];
            if (report.vm != VmId("g" + std::to_string(step % 3))) {
              process.Handle(report);
            }
          }
      }
    }
    for (const auto& process : processes) {
      is_there ? process->Write(version, version) : process->Remove(version);
      process->List(version);
      for (const PeerEvacuationsReported& report : late) {
        process->Handle(report);
      }
      RC_ASSERT(process->Holds() == is_there);
    }
  });
}

}  // namespace
}  // namespace cowslip
