#include <map>
#include <random>
#include <string>
#include <vector>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "Peers/divergence_detector.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

constexpr Duration kHeartbeat = 250ms;
constexpr Duration kTick = 100ms;
constexpr size_t kPeers = 5;

MonotonicTime At(Duration since_start) {
  return MonotonicTime(100s + since_start);
}

/// \class ChangingKind
/// \brief One kind of document that changes all the time, followed by a
/// detector's process and its peers, each some time behind the store.
class ChangingKind {
 public:
  explicit ChangingKind(uint64_t seed) : m_random(seed) {
    for (size_t i = 0; i < kPeers; ++i) {
      m_peer_lags.push_back(Between(5ms, 150ms));
    }
  }

  /// Plays the time from `from` to `to`; returns when refreshes were asked for.
  std::vector<Duration> Play(Duration from, Duration to) {
    std::vector<Duration> refreshes;
    for (Duration now = from; now < to; now += 1ms) {
      if (now >= m_next_change) {
        m_changes[now] = ++m_version;
        m_next_change = now + Between(5ms, 80ms);
      }
      // The own watch takes from 5 to 60 ms.
      const uint64_t version = VersionAt(now - Between(5ms, 60ms));
      while (m_own_version < version) {
        ++m_own_version;
        Handle(OwnDigestsChanged{{Digest(m_own_version) ^ m_missed}}, now,
               refreshes);
      }
      for (size_t peer = 0; peer < kPeers; ++peer) {
        if ((now + peer * 50ms) % kHeartbeat == 0ms) {
          const uint64_t known = VersionAt(now - m_peer_lags[peer]);
          Handle(
              PeerDigestsReceived{VmId(std::to_string(peer)), {Digest(known)}},
              now, refreshes);
        }
      }
      if (now % kTick == 0ms) {
        Handle(DivergenceTick{}, now, refreshes);
      }
    }
    return refreshes;
  }

  /// From now on the process lacks a change.
  void MissChange() { m_missed = 0x5eed; }

 private:
  Duration Between(Duration least, Duration most) {
    std::uniform_int_distribution<int64_t> ms(ToMillis(least), ToMillis(most));
    return std::chrono::milliseconds(ms(m_random));
  }
  static uint64_t Digest(uint64_t version) {
    return std::mt19937_64(version)();
  }
  uint64_t VersionAt(Duration when) const {
    const auto after = m_changes.upper_bound(when);
    return after == m_changes.begin() ? 0 : std::prev(after)->second;
  }
  void Handle(const DivergenceEvent& event,
              Duration now,
              std::vector<Duration>& refreshes) {
    for (size_t i = 0; i < m_detector.Handle(event, At(now)).size(); ++i) {
      refreshes.push_back(now);
    }
  }

  std::mt19937_64 m_random;
  DivergenceDetector m_detector{DivergenceOptions{}};
  std::map<Duration, uint64_t> m_changes = {{Duration(-1s), 0}};
  Duration m_next_change{0};
  uint64_t m_version = 0;
  uint64_t m_own_version = 0;
  uint64_t m_missed = 0;
  std::vector<Duration> m_peer_lags;
};

TEST_CASE("A kind that changes all the time causes no refresh by itself") {
  const uint64_t seed = GENERATE(1, 2, 3, 4, 5);
  INFO("seed " << seed);
  ChangingKind kind(seed);
  CHECK(kind.Play(0s, 30s).empty());
}

TEST_CASE("A missed change of a kind that changes all the time is noticed") {
  const uint64_t seed = GENERATE(1, 2, 3, 4, 5);
  INFO("seed " << seed);
  ChangingKind kind(seed);
  kind.Play(0s, 10s);
  kind.MissChange();
  const std::vector<Duration> refreshes = kind.Play(10s, 11s);
  REQUIRE_FALSE(refreshes.empty());
  // The lag of the peers, a heartbeat, the grace period and a tick.
  CHECK(refreshes.front() <= 10s + 150ms + kHeartbeat + 250ms + kTick);
}

bool Refreshes(DivergenceDetector& detector,
               const DivergenceEvent& event,
               Duration at) {
  return !detector.Handle(event, At(at)).empty();
}

TEST_CASE("A peer that is out of date causes one refresh") {
  DivergenceDetector detector{DivergenceOptions{}};
  const PeerDigestsReceived report{VmId("b"), {1}};
  detector.Handle(OwnDigestsChanged{{2}}, At(0s));
  CHECK_FALSE(Refreshes(detector, report, 0s));
  CHECK(Refreshes(detector, DivergenceTick{}, 250ms));
  SECTION("The listing began after the report") {
    CHECK_FALSE(Refreshes(detector, KindListed{0, At(250ms)}, 300ms));
    for (Duration at = 500ms; at < 5s; at += 250ms) {
      CHECK_FALSE(Refreshes(detector, report, at));
    }
    const PeerDigestsReceived other{VmId("b"), {3}};
    CHECK_FALSE(Refreshes(detector, other, 5s));
    CHECK(Refreshes(detector, DivergenceTick{}, 5250ms));
  }
  SECTION("The listing began before the report") {
    CHECK_FALSE(Refreshes(detector, KindListed{0, At(-1ms)}, 300ms));
    CHECK(Refreshes(detector, report, 1250ms));
  }
}

TEST_CASE("A peer that reports what this process knew before is behind") {
  DivergenceDetector detector{DivergenceOptions{}};
  detector.Handle(OwnDigestsChanged{{1}}, At(0s));
  detector.Handle(OwnDigestsChanged{{2}}, At(0s));
  CHECK_FALSE(Refreshes(detector, PeerDigestsReceived{VmId("b"), {1}}, 0s));
  CHECK_FALSE(Refreshes(detector, DivergenceTick{}, 5s));
}

TEST_CASE("A process that has not listed every kind is not compared") {
  DivergenceDetector detector{DivergenceOptions{}};
  SECTION("The peer") {
    detector.Handle(OwnDigestsChanged{{1}}, At(0s));
    detector.Handle(PeerDigestsReceived{VmId("b"), {2}}, At(0s));
    CHECK_FALSE(Refreshes(detector, PeerDigestsReceived{VmId("b"), {}}, 200ms));
    CHECK_FALSE(Refreshes(detector, DivergenceTick{}, 5s));
  }
  SECTION("This process") {
    detector.Handle(OwnDigestsChanged{{}}, At(0s));
    CHECK_FALSE(Refreshes(detector, PeerDigestsReceived{VmId("b"), {2}}, 0s));
    CHECK_FALSE(Refreshes(detector, DivergenceTick{}, 5s));
  }
}

// The digest without a document is that of the time before it was added.
TEST_CASE("A missed removal of the newest document is noticed") {
  DivergenceDetector detector{DivergenceOptions{}};
  constexpr uint64_t kBefore = 0x5;
  constexpr uint64_t kAdded = 0x75;
  detector.Handle(OwnDigestsChanged{{kBefore}}, At(0ms));
  detector.Handle(PeerDigestsReceived{VmId("p"), {kBefore}}, At(100ms));
  detector.Handle(OwnDigestsChanged{{kAdded}}, At(200ms));
  detector.Handle(PeerDigestsReceived{VmId("p"), {kAdded}}, At(300ms));
  size_t refreshes = 0;
  for (Duration now = 500ms; now < 1500ms; now += kHeartbeat) {
    refreshes +=
        detector.Handle(PeerDigestsReceived{VmId("p"), {kBefore}}, At(now))
            .size();
  }
  CHECK(refreshes == 1);
  // The listing ends the difference.
  detector.Handle(OwnDigestsChanged{{kBefore}}, At(1500ms));
  detector.Handle(KindListed{.began = At(1490ms)}, At(1500ms));
  CHECK(detector.Handle(PeerDigestsReceived{VmId("p"), {kBefore}}, At(2s))
            .empty());
  CHECK(detector.Handle(DivergenceTick{}, At(3s)).empty());
}

TEST_CASE("A difference lasts until the digests of all peers are known") {
  DivergenceDetector detector{DivergenceOptions{}};
  CHECK_FALSE(detector.DiffersSince(0).has_value());
  detector.Handle(OwnDigestsChanged{{1, 7}}, At(0s));
  detector.Handle(PeerDigestsReceived{VmId("b"), {1, 7}}, At(1s));
  CHECK_FALSE(detector.DiffersSince(0).has_value());
  detector.Handle(PeerDigestsReceived{VmId("b"), {2, 7}}, At(2s));
  detector.Handle(PeerDigestsReceived{VmId("c"), {3, 7}}, At(3s));
  CHECK(detector.DiffersSince(0) == At(2s));
  CHECK_FALSE(detector.DiffersSince(1).has_value());
  detector.Handle(OwnDigestsChanged{{2, 7}}, At(4s));
  CHECK(detector.DiffersSince(0) == At(3s));
  detector.Handle(PeerDigestsInvalidated{VmId("c")}, At(5s));
  CHECK_FALSE(detector.DiffersSince(0).has_value());
}

}  // namespace
}  // namespace cowslip
