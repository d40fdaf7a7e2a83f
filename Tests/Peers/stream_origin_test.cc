#include <algorithm>
#include <set>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "Peers/peer_datagram.h"
#include "Peers/peer_table.h"
#include "Peers/stream_origin_core.h"
#include "Peers/stream_origin_message.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

MonotonicTime At(Duration since_start) {
  return MonotonicTime(100s + since_start);
}

VmId Name(int number) {
  return VmId("g" + std::to_string(number));
}

StreamOrigin Origin(const std::string& attempt) {
  return {AttemptId(attempt), ServiceId("s"), SoftwareVersion("v1")};
}

// One gateway of a fleet in which every gateway knows every other one.
struct Gateway {
  Gateway(VmId self, int members, StreamOriginOptions options = {})
      : table({.self = self}), core(WithSelf(options, self), table) {
    PeerListRead listed;
    for (int i = 0; i < members; ++i) {
      listed.peers.push_back({.vm = Name(i), .address = {.port = 7000}});
    }
    table.Handle(listed, At(0s));
  }
  static StreamOriginOptions WithSelf(StreamOriginOptions options, VmId self) {
    options.self = std::move(self);
    return options;
  }

  PeerTable table;
  StreamOriginCore core;
};

TEST_CASE(
    "Any gateway finds the origin of a stream at one that it asks, also after "
    "the loss of the one that began it") {
  CHECK(rc::check([] {
    const int members = *rc::gen::inRange(2, 12);
    const int first = *rc::gen::inRange(0, members);
    const std::string attempt = *rc::gen::string<std::string>();
    Gateway began(Name(first), members);
    std::set<VmId> told;
    for (const auto& action :
         began.core.Handle(StreamBegan{Origin(attempt)}, At(0s))) {
      const auto& report = std::get<ReportStreamOrigin>(action);
      RC_ASSERT(report.peer != Name(first));
      told.insert(report.peer);
    }
    RC_ASSERT(told.size() == std::min<size_t>(members - 1, 3));
    for (int other = 0; other < members; ++other) {
      const Gateway resumes(Name(other), members);
      const auto asked = resumes.core.Candidates(AttemptId(attempt));
      const bool found =
          told.contains(Name(other)) || other == first ||
          std::any_of(asked.begin(), asked.end(),
                      [&](const VmId& vm) { return told.contains(vm); });
      RC_ASSERT(found);
    }
  }));
}

TEST_CASE("An origin is kept for its lifetime, and the first report counts") {
  Gateway gateway(Name(0), 2, {.lifetime = 10s});
  gateway.core.Handle(StreamOriginReceived{Origin("a")}, At(0s));
  StreamOrigin other = Origin("a");
  other.version = SoftwareVersion("v2");
  gateway.core.Handle(StreamOriginReceived{other}, At(1s));
  CHECK(gateway.core.Find(AttemptId("a"), At(10s)) == Origin("a"));
  CHECK_FALSE(gateway.core.Find(AttemptId("a"), At(11s)).has_value());
  CHECK_FALSE(gateway.core.Find(AttemptId("b"), At(1s)).has_value());
  gateway.core.Handle(StreamOriginReceived{Origin("b")}, At(11s));
  CHECK(gateway.core.size() == 1);
}

TEST_CASE("The number and size of remembered origins are limited") {
  Gateway gateway(Name(0), 2, {.max_origins = 3});
  for (const char* attempt : {"a", "b", "c", "d"}) {
    gateway.core.Handle(StreamBegan{Origin(attempt)}, At(0s));
  }
  CHECK(gateway.core.size() == 3);
  CHECK_FALSE(gateway.core.Find(AttemptId("a"), At(0s)).has_value());
  CHECK(gateway.core.Find(AttemptId("d"), At(0s)).has_value());
  const std::string longest(129, 'x');
  gateway.core.Handle(StreamBegan{Origin(longest)}, At(0s));
  CHECK_FALSE(gateway.core.Find(AttemptId(longest), At(0s)).has_value());
}

TEST_CASE("Datagrams of both kinds are told apart, and others rejected") {
  const auto origin = DecodePeerDatagram(EncodeStreamOrigin(Origin("a")));
  REQUIRE(origin.has_value());
  CHECK(std::get<StreamOrigin>(origin.value()) == Origin("a"));
  const auto message =
      DecodePeerDatagram(EncodePeerMessage({.vm = VmId("g1"), .sequence = 4}));
  REQUIRE(message.has_value());
  CHECK(std::get<PeerMessage>(message.value()).sequence == 4);
  CHECK(rc::check([](const std::string& attempt) {
    const StreamOrigin sent = Origin(attempt);
    const auto received = DecodePeerDatagram(EncodeStreamOrigin(sent));
    RC_ASSERT(received.has_value());
    RC_ASSERT(std::get<StreamOrigin>(received.value()) == sent);
  }));
  CHECK(rc::check([](const std::string& bytes) {
    RC_ASSERT(!DecodePeerDatagram(bytes).has_value());
    RC_ASSERT(!DecodeStreamOrigin(bytes).has_value());
  }));
  const std::string whole = EncodeStreamOrigin(Origin("a"));
  for (size_t size = 0; size < whole.size(); ++size) {
    CHECK_FALSE(DecodePeerDatagram(whole.substr(0, size)).has_value());
  }
}

}  // namespace
}  // namespace cowslip
