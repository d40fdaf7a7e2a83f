#include "Backend/engine_response.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "Backend/engine_request.h"
#include "Base/json.h"

namespace cowslip {
namespace {

constexpr char kStream[] =
    ": a comment\r\n"
    "data: {\"id\":\"c1\",\"model\":\"m\",\"choices\":[{\"delta\":"
    "{\"role\":\"assistant\",\"content\":\"oak \"}}]}\r\n\r\n"
    "data: {\"choices\":[{\"delta\":{\"content\":\"t1\"}}]}\n\n"
    "data: {\"choices\":[{\"delta\":{\"content\":\" t2\"},"
    "\"finish_reason\":\"stop\"}]}\n\n"
    "data: [DONE]\n\n";

TEST_CASE(
    "AssembledResponse is complete for any split of the stream into chunks") {
  CHECK(rc::check([](const std::vector<uint8_t>& sizes) {
    AssembledResponse response({}, 1 << 20);
    std::string rest = kStream;
    for (const uint8_t size : sizes) {
      RC_ASSERT(response.Feed(rest.substr(0, size)).has_value());
      rest.erase(0, size);
    }
    RC_ASSERT(response.Feed(rest).has_value());
    const auto whole = response.Finish();
    RC_ASSERT(whole.has_value());
    const auto json = ParseJson(whole.value());
    const auto& choice = json.value()["choices"][0];
    RC_ASSERT(choice["message"]["content"] == "oak t1 t2");
    RC_ASSERT(choice["finish_reason"] == "stop");
    RC_ASSERT(json.value()["id"] == "c1");
    RC_ASSERT(json.value()["usage"]["completion_tokens"] == 2);
  }));
}

TEST_CASE("AssembledResponse rejects a stream truncated at any byte") {
  const std::string whole = kStream;
  for (size_t size = 0; size + 1 < whole.size(); ++size) {
    AssembledResponse response({}, 1 << 20);
    REQUIRE(response.Feed(whole.substr(0, size)).has_value());
    CHECK_FALSE(response.Finish().has_value());
  }
}

TEST_CASE("StreamedResponse rejects a stream truncated at any byte") {
  const std::string whole = kStream;
  for (size_t size = 0; size < whole.size(); ++size) {
    StreamedResponse response;
    REQUIRE(response.Feed(whole.substr(0, size)).has_value());
    CHECK_FALSE(response.Finish().has_value());
  }
  StreamedResponse response;
  REQUIRE(response.Feed(whole).has_value());
  CHECK(response.Finish().has_value());
}

TEST_CASE("Response text that contains [DONE] does not complete a stream") {
  StreamedResponse response;
  REQUIRE(response.Feed("data: {\"content\":\"data: [DONE]\"}\n").has_value());
  CHECK_FALSE(response.Finish().has_value());
  REQUIRE(response.Feed("\ndata: [DO").has_value());
  CHECK_FALSE(response.Finish().has_value());
  REQUIRE(response.Feed("NE]\n\n").has_value());
  CHECK(response.Finish().has_value());
}

TEST_CASE("AssembledResponse handles arbitrary event data") {
  CHECK(rc::check([](const std::vector<std::string>& pieces) {
    AssembledResponse response({}, 1 << 10);
    for (const std::string& piece : pieces) {
      const auto fed = response.Feed("data: " + piece + "\n\n");
      if (!fed.has_value()) {
        return;
      }
    }
    RC_ASSERT(!response.Finish().has_value());
  }));
}

TEST_CASE("AssembledResponse rejects a response over the size limit") {
  AssembledResponse response({.tokens = 1, .text = std::string(100, 'x')}, 100);
  const auto fed = response.Feed(
      "data: {\"choices\":[{\"delta\":{\"content\":\"y\"}}]}\n\n");
  REQUIRE_FALSE(fed.has_value());
  CHECK(fed.error().kind() == ErrorKind::kTooLarge);
}

TEST_CASE(
    "Resume tokens round-trip, and malformed ones do not crash the decoder") {
  CHECK(rc::check([](uint32_t tokens, const std::string& nonsense) {
    const ResumeToken token{.tokens = tokens + 1ull, .text = "\"\\\n\xc3\xa9"};
    const auto decoded = DecodeResumeToken(EncodeResumeToken(token));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded.value().text == token.text);
    RC_ASSERT(decoded.value().tokens == token.tokens);
    (void)DecodeResumeToken(nonsense);
  }));
}

TEST_CASE("Only chat completions with a single text are resumable") {
  DispatchRequest request{.method = "POST",
                          .target = "/v1/chat/completions?x=1",
                          .body = R"({"messages":[]})"};
  CHECK(IsResumable(request));
  request.body = R"({"messages":[],"tools":[]})";
  CHECK_FALSE(IsResumable(request));
  request.body = "[";
  CHECK_FALSE(IsResumable(request));
}

TEST_CASE("Headers that may contain credentials are not forwarded") {
  const DispatchRequest request{
      .organisation = OrganisationId("namu"),
      .headers = {{.name = "AUTHORIZATION", .value = "Bearer k"},
                  {.name = "cOOkie", .value = "k"},
                  {.name = "X-Api-Key", .value = "k"},
                  {.name = "Cowslip-Organisation", .value = "forged"},
                  {.name = "Accept", .value = "*/*"}}};
  const EngineRequest forwarded = MakeForwardedRequest(request);
  REQUIRE(forwarded.headers.size() == 2);
  CHECK(forwarded.headers[0].name == "Accept");
  CHECK(forwarded.headers[1].value == "namu");
}

}  // namespace
}  // namespace cowslip
