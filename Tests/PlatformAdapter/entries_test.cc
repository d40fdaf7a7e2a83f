#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "platform/backend_entry.h"
#include "platform/backend_report.h"
#include "platform/completed_status.h"
#include "platform/configuration_entry.h"
#include "platform/store_documents.h"

namespace cowslip {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

json BackendEntry() {
  return {{"service", "s"},
          {"address", "10.0.0.9:8080"},
          {"zone", "z"},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"sequence", 4},
          {"born", 1700000000000},
          {"cold_remaining_ms", 0}};
}

Document Entry(json content) {
  return Document{.name = DocumentName("i-1"), .content = std::move(content)};
}

HttpResponse Report(int status, std::string body) {
  return HttpResponse{.status = status, .body = std::move(body)};
}

TEST_CASE("The start of a backend server is decoded from its report") {
  const auto told = platform::DecodeReportedStart(
      Report(200, R"({"stage":"both","born":1700000000000})"));
  REQUIRE(told.has_value());
  CHECK(told.value() == 1700000000000);
  const auto other_notation =
      platform::DecodeReportedStart(Report(200, R"({"born":1.7e12})"));
  REQUIRE(other_notation.has_value());
  CHECK(other_notation.value() == 1700000000000);
  // Such a backend server does not tell.
  for (const auto& silent : {Report(404, ""), Report(200, "{}")}) {
    const auto start = platform::DecodeReportedStart(silent);
    REQUIRE(start.has_value());
    CHECK_FALSE(start.value().has_value());
  }
}

TEST_CASE("A response that is no report is an error") {
  const std::string deep = std::string(100, '[') + std::string(100, ']');
  const std::string start = R"({"born":1700000000000})";
  for (const auto& response :
       {Report(503, start), Report(200, ""), Report(200, "[1]"),
        Report(200, R"({"born":"x"})"), Report(200, R"({"born":-1})"),
        Report(200, R"({"born":1.5})"), Report(200, R"({"a":)" + deep + "}"),
        Report(200, start + std::string(platform::kMaxReportBytes, ' '))}) {
    CHECK_FALSE(platform::DecodeReportedStart(response).has_value());
  }
  // A delayed response to an earlier request.
  HttpResponse delayed = Report(404, "");
  delayed.headers = {{"Attempt-Id", "a"}};
  CHECK_FALSE(platform::DecodeReportedStart(delayed).has_value());
}

TEST_CASE("A service discovery entry of a backend server is decoded") {
  const auto backend = platform::DecodeBackend(Entry(BackendEntry()));
  REQUIRE(backend.has_value());
  CHECK(backend->id == BackendId("i-1"));
  CHECK(backend->address.ToString() == "10.0.0.9:8080");
  CHECK(backend->version == SoftwareVersion("v1"));
  CHECK(backend->slots == 8);
  CHECK(backend->started_at_ms == 1700000000000);
  CHECK_FALSE(backend->draining);
  json draining = BackendEntry();
  draining["state"] = "draining";
  CHECK(platform::DecodeBackend(Entry(draining))->draining);
}

TEST_CASE(
    "A service discovery entry with a missing or invalid field is rejected") {
  for (const char* field :
       {"service", "address", "zone", "version", "slots", "state"}) {
    json missing = BackendEntry();
    missing.erase(field);
    CHECK_FALSE(platform::DecodeBackend(Entry(missing)).has_value());
    for (const json& other : {json(nullptr), json::array(), json(-1), json("?"),
                              json(1.5), json(true)}) {
      json invalid = BackendEntry();
      invalid[field] = other;
      const std::string name(field);
      const bool is_text =
          other == "?" &&
          (name == "service" || name == "zone" || name == "version");
      CHECK(platform::DecodeBackend(Entry(invalid)).has_value() == is_text);
    }
  }
  CHECK_FALSE(platform::DecodeBackend(Entry("text")).has_value());
  CHECK_FALSE(platform::DecodeBackend(Entry(nullptr)).has_value());
}

json Configuration() {
  return json::parse(R"({"version":7,
    "routes":[
      {"name":"r1","host":"a.example","path_prefix":"/p/","kind":"streaming",
       "timeout_ms":5000,"target_latency_ms":300,"priority":1,
       "traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
       "max_attempts":2,"public":false,"sticky":true,"resumable":true,
       "gap_target_ms":400},
      {"name":"r2","host":"a.example","path_prefix":"/p/q/","kind":"batch",
       "service":"s1","max_attempts":3,"completion_target_ms":18000,
       "retention_s":60},
      {"name":"r3","host":"b.example","path_prefix":"/","kind":"unknown",
       "service":"s1"}],
    "services":[{"name":"s1","health_path":"/health","max_connections":370}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
              "header_timeout_ms":3000,"idle_timeout_ms":15000},
    "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1,
                "rate_per_s":35,"burst":36}]})");
}

TEST_CASE("A configuration is decoded") {
  auto parts = platform::DecodeConfiguration(Configuration());
  REQUIRE(parts.has_value());
  const FleetConfiguration configuration(std::move(parts.value()));
  CHECK(configuration.version() == ConfigVersion(7));
  const FleetRoute* route = configuration.FindRoute("A.example:80", "/p/x");
  REQUIRE(route != nullptr);
  CHECK(route->id == RouteId("r1"));
  CHECK(route->idempotent());
  CHECK(route->target_event_interval == 400ms);
  CHECK(route->split.size() == 2);
  const FleetRoute* batch = configuration.FindRoute("a.example", "/p/q/z");
  REQUIRE(batch != nullptr);
  CHECK(batch->kind == RequestKind::kBatch);
  CHECK(batch->completion_target == 18s);
  CHECK(batch->retention == 60s);
  CHECK(configuration.FindRoute("a.example", "/other") == nullptr);
  CHECK(configuration.FindRoute("b.example", "/x") == nullptr);
  CHECK(configuration.FindOrganisationByKey("k2")->id == OrganisationId("t1"));
  CHECK(configuration.FindOrganisationByKey("k3") == nullptr);
  CHECK(configuration.FindOrganisation(OrganisationId("t1"))->burst == 36);
  CHECK(configuration.limits().idle_timeout == 15s);
  CHECK(configuration.keys_required());
}

TEST_CASE("The cold time of an entry is a whole number of milliseconds") {
  const auto decode = [](const json& value) {
    json entry = BackendEntry();
    entry["cold_remaining_ms"] = value;
    return platform::DecodeColdRemaining(Entry(entry));
  };
  CHECK(decode(2500).value() == Duration(2500ms));
  CHECK(decode(0).value() == Duration(0s));
  CHECK(platform::DecodeColdRemaining(Entry(json::object())).value() ==
        Duration(0s));
  for (const json& invalid :
       {json(-1), json(1.5), json("1"), json(nullptr), json(1e15)}) {
    CHECK_FALSE(decode(invalid).has_value());
  }
}

TEST_CASE("The cold rate and the cold start of a service are numbers from 0") {
  const auto decode = [](const char* field, const json& value) {
    json spec = Configuration();
    spec["services"] = {{{"name", "s"}, {field, value}}};
    return platform::DecodeConfiguration(spec);
  };
  const auto rate = decode("cold_per_s", 10);
  REQUIRE(rate.has_value());
  CHECK(rate.value().services[0].cold_rate == RequestRate{10});
  CHECK(decode("cold_start_s", 1.5).value().services[0].cold_start == 1500ms);
  for (const char* field : {"cold_per_s", "cold_start_s"}) {
    for (const json& invalid :
         {json(-1), json("1"), json(nullptr), json(true), json(1e9)}) {
      const auto parts = decode(field, invalid);
      REQUIRE_FALSE(parts.has_value());
      CHECK(parts.error().message.find(field) != std::string::npos);
    }
  }
}

TEST_CASE("A limit on waiting tokens is a whole number up to 2^53") {
  const auto decode = [](const json& value) {
    json spec = Configuration();
    spec["routes"][1]["max_count"] = value;
    return platform::DecodeConfiguration(spec);
  };
  for (const uint64_t tokens :
       {uint64_t{0}, uint64_t{1'200'000}, uint64_t{1} << 53}) {
    const auto parts = decode(tokens);
    REQUIRE(parts.has_value());
    CHECK(parts.value().routes[1].max_waiting_tokens == tokens);
  }
  for (const json& invalid :
       {json(-1), json(1.5), json((uint64_t{1} << 53) + 2), json("100"),
        json(nullptr), json(true)}) {
    const auto parts = decode(invalid);
    REQUIRE_FALSE(parts.has_value());
    CHECK(parts.error().message.find("max_count") != std::string::npos);
  }
  const auto none = platform::DecodeConfiguration(Configuration());
  CHECK_FALSE(none.value().routes[1].max_waiting_tokens.has_value());
}

TEST_CASE("Home regions are decoded, and both restrict a request") {
  json spec = Configuration();
  spec["routes"][0]["allowed_regions"] = {"north", "south"};
  spec["tenants"][0]["allowed_regions"] = {"south", "west"};
  auto parts = platform::DecodeConfiguration(spec);
  REQUIRE(parts.has_value());
  const FleetConfiguration configuration(std::move(parts.value()));
  CHECK(configuration.declares_home_regions());
  const HomeRegions both =
      configuration.HomeRegionsFor(RouteId("r1"), OrganisationId("t1"));
  CHECK(both == HomeRegions(std::set<RegionId>{RegionId("south")}));
  CHECK_FALSE(configuration.HomeRegionsFor(RouteId("r2"), OrganisationId())
                  .is_restricted());
  const FleetConfiguration without(
      platform::DecodeConfiguration(Configuration()).value());
  CHECK_FALSE(without.declares_home_regions());
}

TEST_CASE("Home regions without a common one allow none") {
  const HomeRegions north(std::set<RegionId>{RegionId("north")});
  const HomeRegions south(std::set<RegionId>{RegionId("south")});
  const HomeRegions none = north.Intersect(south);
  CHECK(none.is_restricted());
  CHECK_FALSE(none.Allows(RegionId("north")));
  CHECK_FALSE(none.Allows(RegionId()));
  CHECK_FALSE(north.Allows(RegionId()));
  CHECK(HomeRegions().Allows(RegionId()));
}

// Guards against a malformed list that lifts the restriction.
TEST_CASE("Malformed home regions are rejected and their owner is named") {
  for (const json& invalid :
       {json("north"), json(nullptr), json::object(), json(1),
        json({"north", 1}), json({"north", ""}), json({json::array()})}) {
    json route = Configuration();
    route["routes"][1]["allowed_regions"] = invalid;
    const auto of_route = platform::DecodeConfiguration(route);
    REQUIRE_FALSE(of_route.has_value());
    CHECK(of_route.error().message.find("allowed_regions") !=
          std::string::npos);
    CHECK(of_route.error().message.find("route r2") != std::string::npos);
    json tenant = Configuration();
    tenant["tenants"][0]["allowed_regions"] = invalid;
    const auto of_tenant = platform::DecodeConfiguration(tenant);
    REQUIRE_FALSE(of_tenant.has_value());
    CHECK(of_tenant.error().message.find("tenant t1") != std::string::npos);
  }
}

TEST_CASE("A configuration without organisations requires no API key") {
  json spec = Configuration();
  spec.erase("tenants");
  CHECK_FALSE(platform::DecodeConfiguration(spec).value().keys_required);
}

TEST_CASE(
    "A configuration without version or routes is rejected and the error "
    "names the field") {
  for (const char* field : {"version", "routes"}) {
    json spec = Configuration();
    spec.erase(field);
    const auto parts = platform::DecodeConfiguration(spec);
    REQUIRE_FALSE(parts.has_value());
    CHECK(parts.error().message.find(field) != std::string::npos);
  }
}

// Replaces the value that comes `steps` values after the root in pre-order.
// Sets `steps` to ~0U once the value is replaced.
void ReplaceValue(json& value, uint32_t& steps, const json& with) {
  if (steps == 0) {
    value = with;
    steps = ~0U;
    return;
  }
  --steps;
  if (value.is_structured()) {
    for (json& child : value) {
      if (steps == ~0U) {
        return;
      }
      ReplaceValue(child, steps, with);
    }
  }
}

TEST_CASE(
    "Replacing any single value of a document does not crash the decoders") {
  const std::vector<json> replacements = {nullptr,
                                          true,
                                          -5,
                                          1e300,
                                          "text",
                                          json::array(),
                                          json::object(),
                                          json::array({1, "x"})};
  for (uint32_t step = 0; step < 80; ++step) {
    for (const json& with : replacements) {
      uint32_t steps = step;
      json spec = Configuration();
      ReplaceValue(spec, steps, with);
      static_cast<void>(platform::DecodeConfiguration(spec));
      steps = step;
      json entry = BackendEntry();
      ReplaceValue(entry, steps, with);
      static_cast<void>(platform::DecodeBackend(Entry(entry)));
      steps = step;
      json page = {{"items",
                    {{{"metadata", {{"name", "a"}, {"revision", 1}}},
                      {"spec", json::object()}}}},
                   {"has_more", false},
                   {"as_of", 5}};
      ReplaceValue(page, steps, with);
      static_cast<void>(platform::DecodePage(page));
    }
  }
}

TEST_CASE("A store document decodes to what was encoded") {
  const std::string body =
      platform::EncodeContent(DocumentName("n"), ObjectVersion(12), {{"a", 1}});
  const auto document = platform::DecodeDocument(json::parse(body));
  REQUIRE(document.has_value());
  CHECK(document.value().name == DocumentName("n"));
  CHECK(document.value().version == ObjectVersion(12));
  CHECK(document.value().content == json{{"a", 1}});
  CHECK_FALSE(platform::DecodeChanges(json::object()).has_value());
}

TEST_CASE("A VM is retired once its status reports completion") {
  Document entry;
  CHECK_FALSE(platform::IsCompleted(entry));
  entry.status = {{"state", "running"}};
  CHECK_FALSE(platform::IsCompleted(entry));
  entry.status = platform::EncodeCompletedStatus();
  CHECK(platform::IsCompleted(entry));
}

}  // namespace
}  // namespace cowslip
