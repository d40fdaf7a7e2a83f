#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "platform/job_messages.h"
#include "platform/request_headers.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

HttpRequest Request() {
  return HttpRequest{.method = "POST",
                     .target = "/p/x?y=1",
                     .headers = {{"Host", "h.example"},
                                 {"Attempt-Id", "a1"},
                                 {"Deadline-Ms", "5000"},
                                 {"Key", "secret"},
                                 {"Tenant", "forged"},
                                 {"Expect-Instance", "forged"},
                                 {"Connection", "keep-alive, X-Hop"},
                                 {"X-Hop", "1"},
                                 {"Transfer-Encoding", "chunked"},
                                 {"Prompt-Prefix", "5c1:800,91b:410,e44:250"},
                                 {"X-Other", "kept"}}};
}

TEST_CASE("The headers of a caller's request are decoded") {
  const auto caller = platform::DecodeCallerRequest(Request());
  REQUIRE(caller.has_value());
  CHECK(caller.value().attempt == AttemptId("a1"));
  CHECK(caller.value().deadline == 5000ms);
  CHECK(caller.value().key == "secret");
  // The last part is not shared with other requests.
  CHECK(caller.value().shared_prompt == "5c1:800,91b:410");
  CHECK(caller.value().shared_parts ==
        std::vector{PromptPartId("5c1"), PromptPartId("91b")});
}

TEST_CASE("Repeated or malformed request headers are rejected") {
  for (const char* name : {"Key", "Attempt-Id", "Host", "Deadline-Ms"}) {
    HttpRequest request = Request();
    request.headers.push_back({name, "1"});
    CHECK_FALSE(platform::DecodeCallerRequest(request).has_value());
  }
  HttpRequest request = Request();
  request.headers.push_back({"Last-Event-Id", "-1"});
  CHECK_FALSE(platform::DecodeCallerRequest(request).has_value());
}

TEST_CASE("The limit of a backend server is a decimal number") {
  const auto limit = [](const char* text) {
    return platform::DecodeBackendResponse(200, {{"Server-Limit", text}}).limit;
  };
  CHECK(limit("2.5") == RequestRate{2.5});
  CHECK(limit("12") == RequestRate{12});
  CHECK(limit("0") == RequestRate{0});
  for (const char* text : {"", "-1", "nan", "inf", "2.5x", "1e400", " 3"}) {
    CHECK_FALSE(limit(text).has_value());
  }
  CHECK_FALSE(platform::DecodeBackendResponse(200, {}).limit.has_value());
}

TEST_CASE("The cold time of a backend server is a whole number") {
  const auto cold = [](const char* text, int status = 200) {
    return platform::DecodeBackendResponse(status, {{"Cold-Ms", text}})
        .cold_remaining;
  };
  CHECK(cold("2500") == Duration(2500ms));
  CHECK(cold("0") == Duration(0s));
  for (const char* text : {"", "-1", "1.5", "x", "99999999999999999999"}) {
    CHECK_FALSE(cold(text).has_value());
  }
  CHECK_FALSE(cold("2500", 421).has_value());
}

TEST_CASE("A backend server receives neither the API key nor forged headers") {
  const BackendCall call{.organisation = OrganisationId("mill"),
                         .backend = BackendId("i-1"),
                         .deadline = 1234ms,
                         .last_event = 7};
  const HttpHeaders sent =
      platform::EncodeBackendHeaders(Request().headers, call);
  CHECK_FALSE(FindHeader(sent, "Key").has_value());
  CHECK_FALSE(FindHeader(sent, "X-Hop").has_value());
  CHECK_FALSE(FindHeader(sent, "Transfer-Encoding").has_value());
  CHECK(FindHeader(sent, "Tenant") == "mill");
  CHECK(FindHeader(sent, "Expect-Instance") == "i-1");
  CHECK(FindHeader(sent, "Deadline-Ms") == "1234");
  CHECK(FindHeader(sent, "Last-Event-Id") == "7");
  CHECK(FindHeader(sent, "Host") == "h.example");
  CHECK(FindHeader(sent, "X-Other") == "kept");
  for (const HttpHeader& header : sent) {
    CHECK(header.value != "forged");
  }
}

TEST_CASE("A batch item is sent with its own id and the host of its job") {
  const HttpHeaders submitted = {{"Model", "m"}, {"host", "other"}};
  const HttpHeaders sent = platform::EncodeItemHeaders(
      submitted, "h.example", AttemptId("item1"),
      BackendCall{.organisation = OrganisationId("mill"),
                  .backend = BackendId("i-1"),
                  .deadline = 60s});
  CHECK(FindHeader(sent, "Host") == "h.example");
  CHECK(FindHeader(sent, "Attempt-Id") == "item1");
  CHECK(FindHeader(sent, "Model") == "m");
  CHECK_FALSE(FindHeader(sent, "Last-Event-Id").has_value());
}

TEST_CASE("The headers of a backend server's response are decoded") {
  const auto response =
      platform::DecodeBackendResponse(200, {{"attempt-id", "a1"},
                                            {"response-signature", "s"},
                                            {"Server-Load", "3,1,8"}});
  CHECK(response.attempt == AttemptId("a1"));
  CHECK(response.has_signature);
  CHECK_FALSE(response.not_executed);
  CHECK(platform::DecodeBackendResponse(421, {}).not_executed);
  CHECK(platform::DecodeBackendResponse(503, {{"Not-Executed", "1"}})
            .not_executed);
  CHECK_FALSE(platform::DecodeBackendResponse(503, {}).not_executed);
}

template <class Call>
Call DecodeAs(const char* method, const char* target) {
  const auto call =
      platform::DecodeJobCall(HttpRequest{.method = method, .target = target});
  REQUIRE(call.has_value());
  REQUIRE(std::holds_alternative<Call>(*call));
  return std::get<Call>(*call);
}

TEST_CASE("Requests that read or end a batch job are decoded") {
  CHECK(DecodeAs<ReadResultsCall>("GET", "/lots/j1?after=12").from == 12);
  CHECK(DecodeAs<ReadResultsCall>("GET", "/lots/j1").from == 0);
  CHECK(DecodeAs<ReadItemCall>("GET", "/items/j1?id=i7").item == ItemId("i7"));
  CHECK(DecodeAs<EndJobCall>("DELETE", "/lots/j1").job == JobId("j1"));
  DecodeAs<MalformedJobCall>("GET", "/lots/j1?after=-1");
  DecodeAs<MalformedJobCall>("GET", "/lots/");
  DecodeAs<MalformedJobCall>("GET", "/lots/a/b");
  DecodeAs<MalformedJobCall>("PUT", "/lots/j1");
  DecodeAs<MalformedJobCall>("GET", "/items/j1");
  CHECK_FALSE(platform::DecodeJobCall(HttpRequest{.target = "/p"}).has_value());
}

TEST_CASE("A job submission is decoded") {
  const auto items = platform::DecodeSubmission(
      R"({"items":[{"id":"i1","path":"/p","headers":{"Model":"m"},)"
      R"("body":"q83vEjRWeJA=","tokens":940}]})");
  REQUIRE(items.has_value());
  REQUIRE(items.value().size() == 1);
  CHECK(items.value()[0].body == "\xab\xcd\xef\x12\x34\x56\x78\x90");
  CHECK(items.value()[0].headers[0].value == "m");
}

TEST_CASE(
    "An invalid job submission is rejected and the error names the field") {
  const std::pair<const char*, const char*> cases[] = {
      {R"({"items":[]})", "items"},
      {R"({"items":{}})", "items"},
      {R"([])", "items"},
      {R"({"items":[{"path":"/p"}]})", "id"},
      {R"({"items":[{"id":"a","path":"p"}]})", "path"},
      {R"({"items":[{"id":"a","path":"/p","body":"*"}]})", "base64"},
      {R"({"items":[{"id":"a","path":"/p","headers":[]}]})", "headers"},
      {R"({"items":[{"id":"a","path":"/p"},{"id":"a","path":"/p"}]})", "same"}};
  for (const auto& [body, word] : cases) {
    const auto items = platform::DecodeSubmission(body);
    REQUIRE_FALSE(items.has_value());
    INFO(items.error().message);
    CHECK(items.error().message.find(word) != std::string::npos);
  }
}

// Guards against items that smuggle requests to a backend server: JSON strings
// may hold line breaks, which end a header or a request line.
TEST_CASE("An item whose text no request head can carry is rejected") {
  const std::pair<const char*, const char*> cases[] = {
      {R"({"id":"a\r\nTenant: x","path":"/p"})", "id"},
      {R"({"id":"a","path":"/p HTTP/1.1\r\nTenant: x"})", "path"},
      {R"({"id":"a","path":"/p q"})", "path"},
      {R"({"id":"a","path":"/p\u0000"})", "path"},
      {R"({"id":"a","path":"/p","headers":{"X":"1\r\nTenant: x"}})", "`X`"},
      {R"({"id":"a","path":"/p","headers":{"X":"1\nTenant: x"}})", "`X`"},
      {R"({"id":"a","path":"/p","headers":{"X: 1\r\nTenant":"x"}})", "name"},
      {R"({"id":"a","path":"/p","headers":{"Tenant ":"x"}})", "name"},
      {R"({"id":"a","path":"/p","headers":{"":"x"}})", "name"}};
  for (const auto& [item, word] : cases) {
    const auto items = platform::DecodeSubmission(
        R"({"items":[{"id":"first","path":"/p"},)" + std::string(item) + "]}");
    REQUIRE_FALSE(items.has_value());
    INFO(items.error().message);
    CHECK(items.error().message.find("Item 1") != std::string::npos);
    CHECK(items.error().message.find(word) != std::string::npos);
  }
}

TEST_CASE("The tokens of an item are a whole number, or not stated") {
  const auto decode = [](const std::string& tokens) {
    return platform::DecodeSubmission(
        R"({"items":[{"id":"a","path":"/p","body":"")" + tokens + "}]}");
  };
  CHECK(decode(R"(,"tokens":940)").value()[0].tokens == 940);
  CHECK_FALSE(decode("").value()[0].tokens.has_value());
  for (const char* invalid : {"-1", "1.5", "\"940\"", "null", "1e300"}) {
    const auto items = decode(std::string(",\"tokens\":") + invalid);
    REQUIRE_FALSE(items.has_value());
    CHECK(items.error().message.find("tokens") != std::string::npos);
  }
}

TEST_CASE("A random body is rejected as a job submission") {
  rc::check([](const std::string& body) {
    RC_ASSERT(!platform::DecodeSubmission(body).has_value());
  });
}

TEST_CASE(
    "A page of results is limited to 1 MiB but contains at least one result") {
  const std::vector<ItemResult> results(
      5, {.item = ItemId("i"), .output = std::string(400 * 1024, 'x')});
  auto page = nlohmann::json::parse(platform::EncodeResultPage(7, 0, results));
  CHECK(page["total"] == 7);
  CHECK(page["results"].size() == 2);
  CHECK(page["next_token"] == 2);
  const std::vector<ItemResult> huge = {
      {.item = ItemId("i"), .output = std::string(3 << 20, 'x')}};
  page = nlohmann::json::parse(platform::EncodeResultPage(1, 0, huge));
  CHECK(page["results"].size() == 1);
  page = nlohmann::json::parse(platform::EncodeResultPage(7, 9, results));
  CHECK(page["results"].empty());
  CHECK(page["next_token"] == 9);
}

}  // namespace
}  // namespace cowslip
