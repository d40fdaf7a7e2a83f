#include "Base/json.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

namespace cowslip {
namespace {

TEST_CASE("Deep nesting is refused without building the value") {
  const std::string deep(100000, '[');
  const auto parsed = ParseJson(deep);
  REQUIRE_FALSE(parsed.has_value());
  CHECK(parsed.error().kind() == ErrorKind::kInvalidArgument);
}

TEST_CASE("A document over the limit is refused") {
  const auto parsed = ParseJson("[1, 2, 3]", {.max_bytes = 4});
  REQUIRE_FALSE(parsed.has_value());
  CHECK(parsed.error().kind() == ErrorKind::kTooLarge);
}

TEST_CASE("CBOR carries arbitrary bytes in strings") {
  CHECK(rc::check([](const std::string& bytes) {
    const auto parsed = ParseCbor(ToCbor({{"data", bytes}}));
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(parsed.value()["data"] == bytes);
  }));
}

TEST_CASE("The CBOR decoder survives any bytes") {
  CHECK(rc::check([](const std::string& bytes) {
    const auto parsed = ParseCbor(bytes);
    if (!parsed.has_value()) {
      RC_ASSERT(parsed.error().kind() == ErrorKind::kMalformedMessage);
    }
  }));
}

}  // namespace
}  // namespace cowslip
