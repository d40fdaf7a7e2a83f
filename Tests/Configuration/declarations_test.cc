#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "Configuration/declaration_json.h"
#include "Configuration/declaration_loader.h"
#include "Configuration/snapshot.h"

namespace cowslip {
namespace {

std::string Joined(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) {
    text += line + "\n";
  }
  return text;
}

std::string ErrorsOf(const std::vector<std::string>& texts) {
  DeclarationLoader loader;
  for (size_t i = 0; i < texts.size(); ++i) {
    loader.AddText("f" + std::to_string(i) + ".json", texts[i]);
  }
  loader.CheckAll(loader.Finish());
  return Joined(loader.errors());
}

constexpr char kService[] =
    R"({"kind":"service","service":"s","routes":[
        {"name":"a","path":"/a","methods":["POST"],"allow":["o"],
         "idempotent":true}]})";
constexpr char kOrganisations[] =
    R"({"kind":"organisations","set":"x","organisations":[
        {"id":"o","rate":0.5,"burst":2}]})";

TEST_CASE("The declarations of both deployments are valid") {
  for (const std::string name : {"namu-grain-labs", "apav"}) {
    DeclarationLoader loader;
    loader.AddPath(std::string(COWSLIP_EXAMPLES) + "/" + name);
    const Declarations declarations = loader.Finish();
    loader.CheckAll(declarations);
    INFO(Joined(loader.errors()));
    CHECK(loader.errors().empty());
    CHECK(declarations.organisations.size() == 8);
    CHECK(declarations.services.size() == 2);
    const auto snapshot =
        Snapshot::FromDeclarations(ConfigVersion(1), declarations.services,
                                   declarations.organisations, {});
    CHECK(snapshot->FindRoute("POST", "/v1/chat/completions")->batchable);
    CHECK(snapshot->FindRoute("GET", "/v1/chat/completions") == nullptr);
  }
}

TEST_CASE("Good declarations give no error") {
  CHECK(ErrorsOf({kService, kOrganisations}).empty());
}

TEST_CASE("Every error is reported at once, with file, pointer and remedy") {
  const std::string errors =
      ErrorsOf({R"({"kind":"service","service":"s","routes":[
           {"name":"a","path":"/a","methods":["POST"],"allow":["gone"],
            "idempotent":true,"retries":3},
           {"name":"b","path":"a/../b","methods":["FETCH"],"allow":"open",
            "idempotent":true,"batchable":true}]})",
                R"({"kind":"service","service":"t","routes":[
           {"name":"c","path":"/a","methods":["POST","GET"],
            "allow":"everyone","idempotent":true},
           {"name":"d","path":"/a","methods":["POST"],
            "allow":"open","idempotent":true},
           {"name":"e","path":"/v1/batches/all","methods":["GET"],
            "allow":"open","idempotent":true}]})",
                R"({"kind":"organisations","set":"x","organisations":[
           {"id":"o","rate":0,"burst":2},{"id":"O!","rate":1,"burst":0.5},
           {"id":"o","rate":1,"burst":1,"weight":-1}]})",
                R"({"kind":"batch","service":"u","classes":[{"name":"n"}]})",
                R"({"kind":"bathc"})", R"({"kind":)",
                R"({"kind":"organisations","set":"y","organisations":[
           {"id":"p","rate":"fast","burst":2}]})"});
  INFO(errors);
  for (const char* expected :
       {"f0.json: /routes/0/retries: unknown field; remove it or use one of",
        "f0.json: /routes/0/allow: organisation gone is not declared",
        "f0.json: /routes/1/path: begin with /",
        "f0.json: /routes/1/methods: use GET",
        "f0.json: /routes/1/batchable: a route that is open",
        "f1.json: /routes/0/allow: use \"open\"",
        "f1.json: /routes/1/path: POST on this path is taken by route s.a",
        "f1.json: /routes/2/path: /v1/batches is kept for batch jobs",
        "f2.json: /organisations/2/rate: set requests per second above 0",
        "f2.json: /organisations/2/id: is declared twice",
        "f2.json: /organisations/1/id: use 1 to 63 lower-case",
        "f2.json: /organisations/1/burst: set at least 1",
        "f2.json: /organisations/2/weight: set a weight above 0",
        "f3.json: /service: service u is not declared",
        "f4.json: /kind: use \"service\"", "f5.json: /: Correct the document",
        "f6.json: /organisations/0/rate: "}) {
    CHECK_THAT(errors, Catch::Contains(expected));
  }
}

TEST_CASE("A missing field and an empty directory are named") {
  CHECK_THAT(
      ErrorsOf({R"({"kind":"service","service":"s","routes":[{"name":"a"}]})"}),
      Catch::Contains("f0.json: /routes/0: ") && Catch::Contains("path"));
  DeclarationLoader loader;
  loader.AddPath("/nonexistent/directory");
  CHECK_THAT(Joined(loader.errors()), Catch::Contains("cannot be read"));
}

TEST_CASE("Contents survive encoding, and equal ones have equal bytes") {
  REQUIRE(rc::check([] {
    OrganisationShard shard;
    OrganisationShard same;
    const int count = *rc::gen::inRange(0, 20);
    for (int i = 0; i < count; ++i) {
      const int from = i * 7919 % 101;
      OrganisationDeclaration organisation{
          .id = OrganisationId("o" + std::to_string(from)),
          .set = OrganisationSetId("x"),
          .rate = *rc::gen::inRange(1, 1000) / 8.0};
      shard.emplace(organisation.id, organisation);
    }
    std::vector<OrganisationDeclaration> order;
    for (const auto& [id, each] : shard) {
      order.insert(order.begin(), each);
    }
    for (const auto& each : order) {
      same.emplace(each.id, each);
    }
    RC_ASSERT(EncodeShard(shard) == EncodeShard(same));
    RC_ASSERT(DecodeOrganisationShard(EncodeShard(shard)).value() == shard);
  }));
  DeclarationLoader loader;
  loader.AddPath(std::string(COWSLIP_EXAMPLES) + "/namu-grain-labs");
  for (const ServiceDeclaration& service : loader.Finish().services) {
    CHECK(DecodeService(EncodeService(service)).value() == service);
  }
  const KeyRecord key{.digest = Digest("d"),
                      .organisation = OrganisationId("o"),
                      .label = "desk",
                      .created = WallTime(std::chrono::milliseconds(5)),
                      .withdrawn = WallTime(std::chrono::milliseconds(9))};
  const KeyShard keys = {{key.digest, key}};
  CHECK(DecodeKeyShard(EncodeShard(keys)).value() == keys);
}

TEST_CASE("No bytes crash the readers of contents") {
  REQUIRE(rc::check([] {
    std::string bytes = EncodeShard(KeyShard{{Digest("d"), KeyRecord()}});
    const auto at = *rc::gen::inRange<size_t>(0, bytes.size());
    bytes[at] = *rc::gen::arbitrary<char>();
    (void)DecodeKeyShard(bytes);
    (void)DecodeService(bytes);
    (void)DecodeOrganisationShard(bytes);
  }));
}

}  // namespace
}  // namespace cowslip
