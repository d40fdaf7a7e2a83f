#include "Settings/schema.h"

#include <catch2/catch.hpp>

namespace cowslip {
namespace {

using nlohmann::json;

TEST_CASE("A schema violation reports the file and the JSON pointer") {
  const json schema = json::parse(
      R"({"type":"object","additionalProperties":false,
          "properties":{"port":{"type":"integer","maximum":65535}}})");
  CHECK(CheckSchema(schema, {{"port", 80}}, "a.json").has_value());
  const auto bad = CheckSchema(schema, {{"port", 70000}}, "a.json");
  REQUIRE_FALSE(bad.has_value());
  CHECK_THAT(bad.error().message, Catch::Contains("a.json: /port: "));
  CHECK_FALSE(CheckSchema(schema, {{"prot", 80}}, "a.json").has_value());
}

}  // namespace
}  // namespace cowslip
