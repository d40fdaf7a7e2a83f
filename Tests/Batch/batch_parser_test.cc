#include "Batch/batch_parser.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "Base/json.h"
#include "Batch/batch_keys.h"
#include "Batch/item_set.h"

namespace cowslip {
namespace {

Error ErrorOf(const std::string& text, const BatchLimits& limits = {}) {
  const auto parsed = ParseBatch(text, limits);
  REQUIRE_FALSE(parsed.has_value());
  return parsed.error();
}

TEST_CASE(
    "A job with invalid lines is refused, and every invalid line is listed") {
  const Error error = ErrorOf(
      "{\"custom_id\":\"a\",\"body\":{}}\n"
      "{\"custom_id\":\"b\"}\n"
      "\n"
      "{\"custom_id\":\"a\",\"body\":{}}\n"
      "nonsense\n"
      "{\"custom_id\":\"c\",\"body\":{},\"url\":\"no path\"}\n"
      "{\"custom_id\":\"d\",\"body\":{},\"colour\":1}\n");
  CHECK(error.kind() == ErrorKind::kInvalidArgument);
  for (const char* line :
       {"Line 2:", "Line 4:", "Line 5:", "Line 6:", "Line 7:"}) {
    CHECK(error.message.find(line) != std::string::npos);
  }
  CHECK(error.message.find("Line 1:") == std::string::npos);
}

TEST_CASE("Jobs over a limit are refused") {
  const std::string line = "{\"custom_id\":\"a\",\"body\":\"0123456789\"}\n";
  CHECK(ErrorOf(line, {.max_bytes = 10}).kind() == ErrorKind::kTooLarge);
  CHECK(ErrorOf(line, {.max_item_bytes = 10}).kind() == ErrorKind::kTooLarge);
  const std::string two = line + "{\"custom_id\":\"b\",\"body\":1}\n";
  CHECK(ErrorOf(two, {.max_items = 1}).kind() == ErrorKind::kTooLarge);
  CHECK(ErrorOf("").kind() == ErrorKind::kInvalidArgument);
  const std::string deep =
      "{\"custom_id\":\"a\",\"body\":" + std::string(100'000, '[') + "}";
  CHECK(ErrorOf(deep).kind() == ErrorKind::kInvalidArgument);
}

TEST_CASE("The list of invalid lines is bounded") {
  std::string text;
  for (int i = 0; i < 10'000; ++i) {
    text += "x\n";
  }
  const Error error = ErrorOf(text);
  CHECK(error.message.size() < 4000);
  CHECK(error.message.find("And 9980 further lines") != std::string::npos);
}

TEST_CASE("Segments hold every line in order, within the store's limit") {
  std::string text;
  for (int i = 0; i < 5000; ++i) {
    text += "{\"custom_id\":\"" + std::to_string(i) + "\",\"body\":\"" +
            std::string(static_cast<size_t>(i % 1000), 'x') + "\"}\n";
  }
  const BatchInput input = ParseBatch(text).value();
  REQUIRE(input.segments.size() > 1);
  std::string joined;
  uint32_t items = 0;
  for (size_t i = 0; i < input.segments.size(); ++i) {
    CHECK(input.segments[i].size() <= kMaxSegmentBytes);
    CHECK(input.segment_starts[i] == items);
    items += static_cast<uint32_t>(SplitSegment(input.segments[i]).size());
    joined += input.segments[i] + "\n";
  }
  CHECK(items == 5000);
  CHECK(joined == text);
}

TEST_CASE("The parser refuses arbitrary bytes without crashing") {
  CHECK(rc::check([](const std::string& bytes) {
    const auto parsed = ParseBatch(bytes);
    RC_ASSERT(parsed.has_value() == false);
  }));
}

TEST_CASE("A truncated or altered text gives a job or an error message") {
  const std::string good =
      "{\"custom_id\":\"a\",\"body\":{\"n\":1}}\n"
      "{\"custom_id\":\"b\",\"route\":\"r\",\"url\":\"/p\",\"body\":[]}\n";
  CHECK(rc::check([&good](uint8_t byte, bool cut) {
    std::string text = good;
    const auto at = *rc::gen::inRange<size_t>(0, good.size());
    text[at] = static_cast<char>(byte);
    if (cut) {
      text.resize(at);
    }
    const auto parsed = ParseBatch(text);
    const bool fine = parsed.has_value() || !parsed.error().message.empty();
    RC_ASSERT(fine);
  }));
}

TEST_CASE("An ItemSet agrees with a std::set") {
  CHECK(rc::check([](const std::vector<uint8_t>& items) {
    ItemSet set;
    std::set<uint32_t> reference;
    for (const uint8_t item : items) {
      RC_ASSERT(set.Insert(item) == reference.insert(item).second);
      const nlohmann::json json = ParseCbor(ToCbor(set)).value();
      RC_ASSERT(json.get<ItemSet>() == set);
    }
    RC_ASSERT(set.size() == reference.size());
    for (uint32_t item = 0; item < 300; ++item) {
      RC_ASSERT(set.Contains(item) == (reference.count(item) != 0));
    }
  }));
}

}  // namespace
}  // namespace cowslip
