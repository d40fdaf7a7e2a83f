#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "platform/settings_file.h"

namespace cowslip {
namespace {

constexpr char kSettings[] =
    "node_name=edge-a-1\n"
    "ip=10.1.0.21\n"
    "zone=a\n"
    "listen.front=10.1.0.21:8689\n"
    "listen.ready=10.1.0.21:8687\n"
    "internal_ports=7360,7375\n"
    "bounds.grace_s=8.5\n"
    "a.new.field=with=equals\n"
    "platform.address=10.200.1.7:8688\n";

std::string Without(const std::string& line) {
  std::string text = kSettings;
  const size_t at = text.find(line);
  REQUIRE(at != std::string::npos);
  text.erase(at, text.find('\n', at) - at + 1);
  return text;
}

TEST_CASE("Settings are parsed and unknown keys ignored") {
  const auto settings = platform::ParseSettings(kSettings);
  REQUIRE(settings.has_value());
  CHECK(settings.value().vm == VmId("edge-a-1"));
  CHECK(settings.value().listen_callers->ToString() == "10.1.0.21:8689");
  CHECK(settings.value().first_internal_port == 7360);
  CHECK(settings.value().last_internal_port == 7375);
  CHECK(settings.value().stop_grace == std::chrono::milliseconds(8500));
  CHECK(settings.value().store.port == 8688);
}

TEST_CASE("Cold backend servers are bounded only with both settings") {
  const auto parse = [](const std::string& lines) {
    return platform::ParseSettings(kSettings + lines);
  };
  const auto both = parse("bounds.cold_overage=1.5\nbounds.cold_slack=5\n");
  REQUIRE(both.has_value());
  CHECK(both.value().cold_bounds == ColdBounds{.overage = 1.5, .slack = 5});
  for (const char* lines :
       {"", "bounds.cold_overage=1.5\n", "bounds.cold_slack=5\n"}) {
    CHECK_FALSE(parse(lines).value().cold_bounds.has_value());
  }
  for (const char* lines :
       {"bounds.cold_overage=x\n", "bounds.cold_overage=0.5\n",
        "bounds.cold_slack=-1\n", "bounds.cold_slack=5s\n"}) {
    CHECK_FALSE(parse(lines).has_value());
  }
}

TEST_CASE("The regions of zones and of the VM are parsed") {
  const auto none = platform::ParseSettings(kSettings);
  CHECK(none.value().region.empty());
  CHECK(none.value().zone_regions.empty());
  const std::string zones =
      kSettings + std::string("zones.a=north\nzones.b.1=south\n");
  const auto derived = platform::ParseSettings(zones);
  REQUIRE(derived.has_value());
  CHECK(derived.value().zone_regions ==
        std::map<ZoneId, RegionId>{{ZoneId("a"), RegionId("north")},
                                   {ZoneId("b.1"), RegionId("south")}});
  CHECK(derived.value().region == RegionId("north"));
  const auto stated = platform::ParseSettings(zones + "region=south\n");
  CHECK(stated.value().region == RegionId("south"));
  for (const char* line : {"zones.b=\n", "zones.=north\n", "region=\n"}) {
    CHECK_FALSE(
        platform::ParseSettings(kSettings + std::string(line)).has_value());
  }
}

TEST_CASE("The shorter bound on changes counts, and an unusable one does not") {
  const auto bound = [](const std::string& lines) {
    const auto settings = platform::ParseSettings(kSettings + lines);
    REQUIRE(settings.has_value());
    return ToMillis(settings.value().apply_bound);
  };
  CHECK(bound("") == 2000);
  CHECK(bound("bounds.config_apply_ms=3000\n") == 3000);
  CHECK(bound("bounds.config_apply_ms=3000\nbounds.drain_ms=1500\n") == 1500);
  for (const char* value : {"soon", "-1", "0", "1e9", "nan"}) {
    const std::string line = std::string("bounds.drain_ms=") + value + "\n";
    CHECK(bound(line) == 2000);
    CHECK(bound("bounds.config_apply_ms=3000\n" + line) == 3000);
    const auto settings = platform::ParseSettings(kSettings + line);
    REQUIRE(settings.value().unusable_values.size() == 1);
    CHECK(settings.value().unusable_values[0].find("bounds.drain_ms") !=
          std::string::npos);
  }
}

TEST_CASE("Settings without listen.front have no caller endpoint") {
  const auto settings = platform::ParseSettings(Without("listen.front"));
  REQUIRE(settings.has_value());
  CHECK_FALSE(settings.value().listen_callers.has_value());
}

TEST_CASE(
    "A missing or malformed setting is rejected and a missing key is named") {
  for (const char* key :
       {"node_name", "ip", "zone", "internal_ports", "platform.address"}) {
    const auto settings = platform::ParseSettings(Without(key));
    REQUIRE_FALSE(settings.has_value());
    CHECK(settings.error().message.find(key) != std::string::npos);
  }
  for (const char* line :
       {"listen.front=nowhere\n", "platform.address=1.2.3.4:99999\n",
        "internal_ports=9,1\n", "bounds.grace_s=soon\n", "no equals sign\n"}) {
    CHECK_FALSE(
        platform::ParseSettings(kSettings + std::string(line)).has_value());
  }
}

TEST_CASE("The bound of evacuations is optional, positive milliseconds") {
  CHECK_FALSE(
      platform::ParseSettings(kSettings).value().evacuate_within.has_value());
  const std::string key = std::string(kSettings) + "bounds.evacuate_ms=";
  const auto settings = platform::ParseSettings(key + "5000\n");
  REQUIRE(settings.has_value());
  CHECK(settings.value().evacuate_within == std::chrono::seconds(5));
  for (const char* bad : {"soon", "-1", "0", "nan", "1e300", "5 000"}) {
    const auto rejected = platform::ParseSettings(key + bad + "\n");
    REQUIRE_FALSE(rejected.has_value());
    CHECK(rejected.error().message.find("bounds.evacuate_ms") !=
          std::string::npos);
  }
}

TEST_CASE("Random text does not crash the settings parser") {
  rc::check([](const std::string& text) {
    static_cast<void>(platform::ParseSettings(text));
    static_cast<void>(platform::ParseSettings(kSettings + text));
  });
}

}  // namespace
}  // namespace cowslip
