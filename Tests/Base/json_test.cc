#include "Base/json.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

namespace cowslip {
namespace {

TEST_CASE("ParseJson rejects a deeply nested document without building it") {
  const std::string deep(100000, '[');
  const auto parsed = ParseJson(deep);
  REQUIRE_FALSE(parsed.has_value());
  CHECK(parsed.error().kind() == ErrorKind::kInvalidArgument);
}

TEST_CASE("ParseJson rejects a document larger than max_bytes") {
  const auto parsed = ParseJson("[1, 2, 3]", {.max_bytes = 4});
  REQUIRE_FALSE(parsed.has_value());
  CHECK(parsed.error().kind() == ErrorKind::kTooLarge);
}

TEST_CASE("CBOR strings preserve arbitrary bytes") {
  CHECK(rc::check([](const std::string& bytes) {
    const auto parsed = ParseCbor(ToCbor({{"data", bytes}}));
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(parsed.value()["data"] == bytes);
  }));
}

TEST_CASE("ParseCbor reports arbitrary malformed input as kMalformedMessage") {
  CHECK(rc::check([](const std::string& bytes) {
    const auto parsed = ParseCbor(bytes);
    if (!parsed.has_value()) {
      RC_ASSERT(parsed.error().kind() == ErrorKind::kMalformedMessage);
    }
  }));
}

}  // namespace
}  // namespace cowslip
