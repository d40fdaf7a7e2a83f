#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "Platform/store_relay_messages.h"
#include "Tests/PlatformAdapter/odd_content.h"
#include "platform/backend_entry.h"
#include "platform/backend_report.h"
#include "platform/completed_status.h"
#include "platform/configuration_entry.h"
#include "platform/json_extents.h"
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
  for (const auto& silent : {Report(400, ""), Report(404, ""), Report(405, ""),
                             Report(501, ""), Report(200, "{}")}) {
    const auto start = platform::DecodeReportedStart(silent);
    REQUIRE(start.has_value());
    CHECK_FALSE(start.value().has_value());
  }
}

TEST_CASE("A response that is no report is an error") {
  const std::string deep = std::string(100, '[') + std::string(100, ']');
  const std::string start = R"({"born":1700000000000})";
  for (const auto& response :
       {Report(408, start), Report(421, start), Report(429, start),
        Report(500, start), Report(503, start), Report(200, ""),
        Report(200, "[1]"), Report(200, R"({"born":"x"})"),
        Report(200, R"({"born":-1})"), Report(200, R"({"born":1.5})"),
        Report(200, R"({"a":)" + deep + "}"),
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
      static_cast<void>(platform::DecodePage(page.dump()));
    }
  }
}

TEST_CASE("A store document decodes to what was encoded") {
  const std::string body =
      platform::EncodeContent(DocumentName("n"), ObjectVersion(12), {{"a", 1}});
  const auto document = platform::DecodeDocument(body);
  REQUIRE(document.has_value());
  CHECK(document.value().name == DocumentName("n"));
  CHECK(document.value().version == ObjectVersion(12));
  CHECK(document.value().content == json{{"a", 1}});
  CHECK_FALSE(platform::DecodeChanges("{}").has_value());
}

TEST_CASE("A VM is retired once its status reports completion") {
  Document entry;
  CHECK_FALSE(platform::IsCompleted(entry));
  entry.status = {{"state", "running"}};
  CHECK_FALSE(platform::IsCompleted(entry));
  entry.status = platform::EncodeCompletedStatus();
  CHECK(platform::IsCompleted(entry));
}

std::string ObjectText(const std::string& metadata, const std::string& spec) {
  return R"({"metadata":)" + metadata + R"(,"spec":)" + spec +
         R"(,"status":{"y":2}})";
}

std::string Metadata(const std::string& name, uint64_t revision) {
  return R"({"name":")" + name + R"(","revision":)" + std::to_string(revision) +
         R"(,"created":1,"finalizers":[],"deleting":false})";
}

std::string PageText(const std::vector<std::string>& objects,
                     const std::string& has_more = "false") {
  std::string text;
  for (const std::string& object : objects) {
    text += (text.empty() ? "" : ", ") + object;
  }
  return R"({"items": [)" + text + R"(], "has_more": )" + has_more +
         R"(, "as_of":100})";
}

std::string EventText(const std::string& object, bool removed) {
  return R"({"object":)" + object + R"(,"removed":)" +
         (removed ? "true" : "false") + "}";
}

std::string ChangesText(const std::vector<std::string>& events) {
  std::string text;
  for (const std::string& event : events) {
    text += (text.empty() ? "" : ",") + event;
  }
  return R"({"events":[)" + text + R"(],"as_of":100})";
}

std::vector<std::string> NamesOf(const DocumentPage& page) {
  std::vector<std::string> names;
  for (const Document& document : page.documents) {
    names.push_back(document.name.value());
  }
  return names;
}

// One such document made the whole response unusable.
TEST_CASE("A document that cannot be read names no backend server") {
  const std::string sound = BackendEntry().dump();
  for (const std::string& odd : OddContents()) {
    INFO(odd.substr(0, 200));
    const std::vector<std::string> objects = {
        ObjectText(Metadata("a", 5), sound), ObjectText(Metadata("b", 6), odd),
        ObjectText(Metadata("c", 7), sound)};
    const auto page = platform::DecodePage(PageText(objects));
    REQUIRE(page.has_value());
    CHECK(page.value().as_of == ObjectVersion(100));
    CHECK(NamesOf(page.value()) == std::vector<std::string>{"a", "b", "c"});
    for (const Document& document : page.value().documents) {
      const bool is_odd = document.name.value() == "b";
      CHECK(platform::DecodeBackend(document).has_value() == !is_odd);
      CHECK(document.status == json{{"y", 2}});
    }
    const auto changes = platform::DecodeChanges(ChangesText(
        {EventText(objects[0], false), EventText(objects[1], false),
         EventText(objects[1], true), EventText(objects[2], false)}));
    REQUIRE(changes.has_value());
    REQUIRE(changes.value().changes.size() == 4);
    CHECK_FALSE(platform::DecodeBackend(changes.value().changes[1].document)
                    .has_value());
    CHECK(changes.value().changes[2].removed);
    CHECK(changes.value().changes[2].document.version == ObjectVersion(6));
    CHECK(platform::DecodeBackend(changes.value().changes[3].document)
              .has_value());
  }
}

TEST_CASE("Random content leaves the documents beside it as they are") {
  rc::check([](const std::string& bytes) {
    // A store closes strings and brackets; within them are any bytes.
    std::string odd = "{\"a\":\"";
    for (const char c : bytes) {
      odd += c == '"' || c == '\\' ? std::string("\\") + c : std::string(1, c);
    }
    odd += "\"}";
    const std::vector<std::string> objects = {
        ObjectText(Metadata("a", 5), odd),
        ObjectText(Metadata("b", 6), R"({"x":1})")};
    const auto page = platform::DecodePage(PageText(objects));
    RC_ASSERT(page.has_value());
    RC_ASSERT(NamesOf(page.value()) == (std::vector<std::string>{"a", "b"}));
    RC_ASSERT((page.value().documents[1].content == json{{"x", 1}}));
  });
}

TEST_CASE("A random response of the store is decoded or rejected") {
  const std::string sound = PageText(
      {ObjectText(Metadata("a", 5), "{}"), ObjectText(Metadata("b", 6), "[]")});
  rc::check([&](const std::string& bytes) {
    static_cast<void>(platform::DecodePage(bytes));
    static_cast<void>(platform::DecodeChanges(bytes));
    static_cast<void>(platform::DecodeDocument(bytes));
    const auto at = *rc::gen::inRange<size_t>(0, sound.size());
    std::string changed = sound;
    changed.replace(at, 1, bytes);
    static_cast<void>(platform::DecodePage(changed));
    RC_ASSERT(!platform::DecodePage(sound.substr(0, at)).has_value());
  });
}

TEST_CASE("A document with unreadable metadata is left out of a listing") {
  for (const char* metadata :
       {"null", "{}", "[]", "7", R"({"name":"b"})", R"({"revision":6})",
        R"({"name":7,"revision":6})", R"({"name":"","revision":6})",
        R"({"name":"\ud800","revision":6})", R"({"name":"b","revision":-6})",
        R"({"name":"b","revision":1e400})", R"({"name":"b","revision":6.5})",
        R"({"name":"b","revision":18446744073709551615})",
        R"({"name":"b","revision":99999999999999999999999})"}) {
    INFO(metadata);
    const auto page = platform::DecodePage(PageText(
        {ObjectText(Metadata("a", 5), "{}"), ObjectText(metadata, "{}"), "17",
         ObjectText(Metadata("c", 7), "{}")},
        "true"));
    REQUIRE(page.has_value());
    CHECK(NamesOf(page.value()) == std::vector<std::string>{"a", "c"});
    CHECK(page.value().has_more);
    // The names of what follows are not known.
    CHECK_FALSE(
        platform::DecodePage(PageText({ObjectText(metadata, "{}")}, "true"))
            .has_value());
  }
}

TEST_CASE("An unreadable field of the metadata leaves the others") {
  const auto document = platform::DecodeDocument(ObjectText(
      "{\"finalizers\":[\"\xff\",1e400],\"created\":-1,\"revision\":6,"
      "\"name\":\"x\",\"name\":\"b\"}",
      "{}"));
  REQUIRE(document.has_value());
  CHECK(document.value().name == DocumentName("b"));
  CHECK(document.value().version == ObjectVersion(6));
  CHECK(document.value().created == ObjectVersion());
}

// The document's earlier state must not stay in force.
TEST_CASE("A change to an unreadable revision removes the document") {
  const std::string odd = R"({"name":"b","revision":1e400})";
  const auto changes = platform::DecodeChanges(ChangesText(
      {EventText(ObjectText(Metadata("a", 40), "{}"), false),
       EventText(ObjectText(odd, "{}"), false), "null", R"({"removed":true})",
       EventText(ObjectText(Metadata("b", 50), "{}"), false),
       EventText(ObjectText(odd, "{}"), false)}));
  REQUIRE(changes.has_value());
  const std::vector<DocumentChange>& list = changes.value().changes;
  REQUIRE(list.size() == 4);
  CHECK(list[0].document.name == DocumentName("a"));
  CHECK(list[1].removed);
  CHECK(list[1].document.version == ObjectVersion(49));
  CHECK_FALSE(list[2].removed);
  CHECK(list[3].removed);
  CHECK(list[3].document.version == ObjectVersion(100));
}

// Such an id would end the header that names the backend server.
TEST_CASE("An id that no header can carry names no backend server") {
  for (const std::string& id :
       {std::string(), std::string("i\r\nTenant: other"), std::string("i 1"),
        std::string("i\0x", 3), std::string("\xff"), std::string("\x7f")}) {
    Document entry = Entry(BackendEntry());
    entry.name = DocumentName(id);
    CHECK_FALSE(platform::DecodeBackend(entry).has_value());
  }
}

std::string ReencodedResponse(const StoreResponse& response) {
  const auto decoded = DecodeStoreResponse(EncodeStoreResponse(response));
  REQUIRE(decoded.has_value());
  return EncodeStoreResponse(decoded.value());
}

// The messages between gateways have limits of their own.
TEST_CASE("What is decoded can be relayed to another gateway") {
  std::vector<std::string> contents = OddContents();
  for (size_t depth = 1; depth < 70; ++depth) {
    contents.push_back(std::string(depth, '[') + std::string(depth, ']'));
  }
  for (const std::string& content : contents) {
    INFO(content.substr(0, 200));
    const std::string object = ObjectText(Metadata("a\xff", 5), content);
    const auto page = platform::DecodePage(PageText({object}));
    const auto changes =
        platform::DecodeChanges(ChangesText({EventText(object, false)}));
    const auto document = platform::DecodeDocument(object);
    REQUIRE(page.has_value());
    REQUIRE(changes.has_value());
    REQUIRE(document.has_value());
    for (const StoreResponse& response :
         {StoreResponse(page.value()), StoreResponse(changes.value()),
          StoreResponse(document.value())}) {
      CHECK(ReencodedResponse(response) == EncodeStoreResponse(response));
    }
  }
}

TEST_CASE("A name that is no UTF-8 is kept as it is") {
  const auto page = platform::DecodePage(
      PageText({ObjectText(Metadata("a\xff", 5), BackendEntry().dump())}));
  REQUIRE(page.has_value());
  CHECK(NamesOf(page.value()) == std::vector<std::string>{"a\xff"});
  CHECK_FALSE(
      platform::DecodeBackend(page.value().documents.at(0)).has_value());
}

TEST_CASE("JSON texts are split without looking into their parts") {
  const auto members = platform::SplitObject(
      " { \"a\" : [1, {\"x\":\"}]\\\"\"}] , \"b\":tru, \"a\":\"\xff\" } ");
  REQUIRE(members.has_value());
  REQUIRE(members->size() == 3);
  CHECK(platform::FindMember(*members, "a") == "\"\xff\"");
  CHECK(platform::FindMember(*members, "b") == "tru");
  CHECK_FALSE(platform::FindMember(*members, "c").has_value());
  CHECK(platform::SplitObject("{}")->empty());
  CHECK(platform::SplitArray("[ ]")->empty());
  CHECK(platform::SplitArray("[1,[2,3],\"]\"]")->size() == 3);
  for (const char* text :
       {"", "{", "{\"a\"}", "{\"a\":}", "{\"a\":1,}", "{a:1}", "{}x", "[]",
        "{\"a\":\"}", "{\"a\":\"\\\"}", "{\"a\":[}"}) {
    INFO(text);
    CHECK_FALSE(platform::SplitObject(text).has_value());
  }
  for (const char* text :
       {"", "[", "[1", "[1,]", "[,1]", "[1]]", "{}", "[\"]"}) {
    INFO(text);
    CHECK_FALSE(platform::SplitArray(text).has_value());
  }
  const std::string deep(4'000'000, '[');
  CHECK_FALSE(platform::SplitArray(deep).has_value());
  CHECK(platform::SplitArray(deep + std::string(4'000'000, ']')).has_value());
}

}  // namespace
}  // namespace cowslip
