#include "Access/key_stripping.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "Access/key_text.h"

namespace cowslip {
namespace {

std::string RandomCase(std::string text) {
  for (char& c : text) {
    if (*rc::gen::arbitrary<bool>()) {
      c = static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    }
  }
  return text;
}

std::string Escape(const std::string& text, int passes) {
  std::string out = text;
  for (int pass = 0; pass < passes; ++pass) {
    std::string next;
    for (const char c : out) {
      const bool escape = c == '%' || *rc::gen::arbitrary<bool>();
      char digits[4];
      std::snprintf(digits, sizeof(digits), "%%%02x", c);
      next += escape ? std::string(digits) : std::string(1, c);
    }
    out = next;
  }
  return out;
}

std::string Unescape(std::string text) {
  for (int pass = 0; pass < 3; ++pass) {
    std::string next;
    for (size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        next +=
            static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        next += text[i];
      }
    }
    text = next;
  }
  return text;
}

TEST_CASE("No position of a key reaches the forwarded request") {
  REQUIRE(rc::check([] {
    const std::string key = GenerateKey().value();
    const std::vector<std::string> names = {
        "Authorization", "Proxy-Authorization", "X-Api-Key", "Cookie",
        "User-Agent",    "Idempotency-Key",     "X-Other",   "Accept"};
    HttpHeaders headers = {{"Content-Type", "application/json"}};
    const int count = *rc::gen::inRange(0, 6);
    for (int i = 0; i < count; ++i) {
      const std::string prefix = *rc::gen::element<std::string>(
          "", "Bearer ", "bEARER  ", "Basic ", "session=");
      headers.push_back({RandomCase(*rc::gen::elementOf(names)), prefix + key});
    }
    std::string target = "/v1/species";
    if (*rc::gen::arbitrary<bool>()) {
      target += "/" + Escape(key, *rc::gen::inRange(0, 3));
    }
    target += "?cut=quarter";
    const int parameters = *rc::gen::inRange(0, 4);
    for (int i = 0; i < parameters; ++i) {
      const std::string name = RandomCase(*rc::gen::element<std::string>(
          "api_key", "key", "access_token", "other"));
      target += *rc::gen::element<std::string>("&", ";") + name + "=" +
                Escape(key, *rc::gen::inRange(0, 3));
    }
    const ForwardableRequest kept = StripKeys(headers, target);
    for (const ForwardedHeader& header : kept.headers) {
      RC_ASSERT(header.value.find(key) == std::string::npos);
      RC_ASSERT(!HeaderNameEquals(header.name, "cookie"));
      RC_ASSERT(!HeaderNameEquals(header.name, "authorization"));
    }
    RC_ASSERT(Unescape(kept.target).find(key) == std::string::npos);
    RC_ASSERT(kept.target.find("cut=quarter") != std::string::npos);
    RC_ASSERT(kept.headers.front().value == "application/json");
  }));
}

TEST_CASE("Query parameters named as keys go whatever they hold") {
  const ForwardableRequest kept =
      StripKeys({}, "/a?API_KEY=1&key=2&x=3&%6bey=4;access_token=5&keys=6#k");
  CHECK(kept.target == "/a?x=3&keys=6");
  CHECK(StripKeys({}, "/a?key=1").target == "/a");
}

TEST_CASE("A key is found in each place, and two different ones are none") {
  CHECK(ExtractKey({{"AUTHORIZATION", "bearer  k "}}, "/") == "k");
  CHECK(ExtractKey({{"x-api-key", "k"}}, "/") == "k");
  CHECK(ExtractKey({}, "/a?b=c&access_token=%6b") == "k");
  CHECK(ExtractKey({{"X-Api-Key", "k"}, {"Authorization", "Bearer k"}},
                   "/?key=k") == "k");
  CHECK(ExtractKey({{"X-Api-Key", "k"}, {"X-Api-Key", "l"}}, "/") == "");
  CHECK_FALSE(ExtractKey({{"Authorization", "Basic k"}}, "/a?b=k"));
}

TEST_CASE("Keys are redacted in any text, without changing its length") {
  const std::string key = GenerateKey().value();
  CHECK(key.size() == 36);
  CHECK(GenerateKey().value() != key);
  const std::string text = R"({"note":"my key is )" + key + R"("})";
  const std::string redacted = RedactKeys(text);
  CHECK(redacted.size() == text.size());
  CHECK_FALSE(ContainsKey(redacted));
  CHECK(RedactKeys("chk_short") == "chk_short");
}

}  // namespace
}  // namespace cowslip
