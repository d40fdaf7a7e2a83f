// Whether there can be batch jobs of a host, which decides who gets the calls
// about them.
#include <map>
#include <string>

#include <catch2/catch.hpp>

#include "Fleet/fleet_configuration.h"
#include "Jobs/job_presence_core.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

constexpr JobView kCurrent{.is_current = true, .agrees_with_peers = true};
constexpr JobView kAhead{.is_current = true, .agrees_with_peers = false};
constexpr JobView kOld{.is_current = false, .agrees_with_peers = true};
constexpr Duration kUnseen = 6s;
const std::string kHost = "h.example";

class Presence {
 public:
  // Applies a configuration with these routes of the host.
  void Publish(const std::map<std::string, RequestKind>& prefixes) {
    FleetConfigurationParts parts{.version = ConfigVersion(++m_version)};
    for (const auto& [prefix, kind] : prefixes) {
      parts.routes.push_back({.id = RouteId(prefix),
                              .host = "H.example:8689",
                              .path_prefix = prefix,
                              .kind = kind});
    }
    m_core.Handle(JobHostsOf(FleetConfiguration(std::move(parts))), m_now);
  }
  // The next configurations are not seen.
  void Skip(uint64_t versions) { m_version += versions; }
  void Wait(Duration time) { m_now += time; }
  JobPresence On(const JobView& view) const {
    return m_core.PresenceWithoutJob(kHost, view, m_now);
  }
  bool KnowsAll(const JobView& view) const {
    return m_core.KnowsAllJobs(kHost, view, m_now);
  }

 private:
  uint64_t m_version = 7;
  MonotonicTime m_now{1h};
  JobPresenceCore m_core{JobPresenceOptions{.unseen_time = kUnseen}};
};

TEST_CASE("There can be jobs where a route accepts them") {
  Presence presence;
  presence.Publish(
      {{"/jobs/", RequestKind::kBatch}, {"/", RequestKind::kSafe}});
  CHECK(presence.On(kCurrent) == JobPresence::kPossible);
  CHECK(presence.On(kOld) == JobPresence::kPossible);
}

// Guards against a gateway that takes what it has not read for nothing.
TEST_CASE(
    "A process that can't know the jobs does not say that there are none") {
  Presence presence;
  CHECK(presence.On(kOld) == JobPresence::kUnknown);
  presence.Publish({{"/", RequestKind::kSafe}});
  CHECK(presence.On(kOld) == JobPresence::kUnknown);
  presence.Wait(kUnseen + 1ms);
  CHECK(presence.On(kOld) == JobPresence::kUnknown);
  CHECK(presence.On(kAhead) == JobPresence::kUnconfirmed);
  CHECK(presence.On(kCurrent) == JobPresence::kNone);
}

// Guards against jobs that another process has accepted by routes which this
// process has never had, or has no more.
TEST_CASE("Jobs may be unseen for a while after a start and after a change") {
  Presence presence;
  presence.Publish({{"/", RequestKind::kSafe}});
  presence.Wait(kUnseen);
  CHECK(presence.On(kCurrent) == JobPresence::kUnconfirmed);
  presence.Wait(1ms);
  CHECK(presence.On(kCurrent) == JobPresence::kNone);

  presence.Publish({{"/jobs/", RequestKind::kBatch}});
  presence.Wait(1h);
  presence.Publish({{"/", RequestKind::kSafe}});
  presence.Publish({{"/", RequestKind::kSafe}});
  presence.Wait(kUnseen);
  CHECK(presence.On(kCurrent) == JobPresence::kUnconfirmed);
  presence.Wait(1ms);
  CHECK(presence.On(kCurrent) == JobPresence::kNone);
}

// Guards against jobs of a route that came and went while this process stood
// still or was cut off.
TEST_CASE("Jobs may be unseen after versions that this process never had") {
  Presence presence;
  presence.Publish({{"/", RequestKind::kSafe}});
  presence.Wait(1h);
  presence.Publish({{"/", RequestKind::kSafe}});
  CHECK(presence.On(kCurrent) == JobPresence::kNone);
  presence.Skip(1);
  presence.Publish({{"/", RequestKind::kSafe}});
  presence.Wait(kUnseen);
  CHECK(presence.On(kCurrent) == JobPresence::kUnconfirmed);
  CHECK_FALSE(presence.KnowsAll(kCurrent));
  presence.Wait(1ms);
  CHECK(presence.On(kCurrent) == JobPresence::kNone);
}

TEST_CASE("All jobs are known unless a path of the host may lead elsewhere") {
  Presence presence;
  presence.Publish({{"/jobs/", RequestKind::kBatch}});
  CHECK_FALSE(presence.KnowsAll(kCurrent));
  presence.Wait(kUnseen + 1ms);
  CHECK(presence.KnowsAll(kCurrent));
  // A peer may have accepted one by a newer configuration.
  CHECK_FALSE(presence.KnowsAll(kAhead));
  CHECK_FALSE(presence.KnowsAll(kOld));
  presence.Publish(
      {{"/jobs/", RequestKind::kBatch}, {"/jobs/x/", RequestKind::kSafe}});
  CHECK_FALSE(presence.KnowsAll(kCurrent));
}

// Guards against a view that is taken for current because nothing has failed.
TEST_CASE("A view of the jobs is current only if all that shows it holds") {
  const StalenessBudget staleness = DivideBound(2s);
  const MonotonicTime now{1h};
  JobViewEvidence evidence{
      .watches_work = true, .is_compared = true, .last_poll = now - 2s};
  CHECK(JobViewOf(evidence, staleness, now).is_current);
  CHECK(JobViewOf(evidence, staleness, now).agrees_with_peers);
  SECTION("A watch has failed, or nothing was listed") {
    evidence.watches_work = false;
    CHECK_FALSE(JobViewOf(evidence, staleness, now).is_current);
  }
  SECTION("Another kind is not listed, so no digest is compared") {
    evidence.is_compared = false;
    CHECK_FALSE(JobViewOf(evidence, staleness, now).is_current);
  }
  SECTION("The process has stood still") {
    evidence.has_paused = true;
    CHECK_FALSE(JobViewOf(evidence, staleness, now).is_current);
  }
  SECTION("No poll has completed within the bound") {
    evidence.last_poll -= 1ms;
    CHECK_FALSE(JobViewOf(evidence, staleness, now).is_current);
  }
  SECTION("A peer knows more") {
    evidence.differs_since = now - staleness.grace_period;
    CHECK(JobViewOf(evidence, staleness, now).is_current);
    CHECK_FALSE(JobViewOf(evidence, staleness, now).agrees_with_peers);
    CHECK_FALSE(JobViewOf(evidence, staleness, now + 1ms).is_current);
  }
}

// Guards against an address that is cut off at its first colon, which made all
// IPv6 hosts one.
TEST_CASE("A host that is an IPv6 address is compared whole") {
  CHECK(NormaliseHost("[2001:DB8::1]:8689") == "[2001:db8::1]");
  CHECK(NormaliseHost("[2001:db8::2]") == "[2001:db8::2]");
  CHECK(NormaliseHost("H.example.:80") == "h.example");
  CHECK(NormaliseHost(".").empty());
  CHECK(NormaliseHost("").empty());
}

}  // namespace
}  // namespace cowslip
