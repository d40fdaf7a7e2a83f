#include "Base/message_codec.h"

#include <catch2/catch.hpp>

#include "Base/json.h"
#include "Exchange/exchange_messages.h"

namespace cowslip {
namespace {

TEST_CASE("A message round-trips through CBOR") {
  const ExchangeRequestMessage sent = DispatchRequest{
      .exchange = ExchangeId(7),
      .work = WorkClass::kBatch,
      .organisation = OrganisationId("namu"),
      .headers = {{.name = "Accept", .value = "text/event-stream"}},
      .body = "{}"};
  const auto frame = ParseCbor(ToCbor(EncodeMessage(sent)));
  REQUIRE(frame.has_value());
  const auto got = DecodeMessage<ExchangeRequestMessage>(frame.value());
  REQUIRE(got.has_value());
  const auto& request = std::get<DispatchRequest>(got.value());
  CHECK(request.exchange == ExchangeId(7));
  CHECK(request.work == WorkClass::kBatch);
  CHECK(request.headers.at(0).name == "Accept");
}

TEST_CASE("DecodeMessage rejects malformed messages") {
  for (const char* text :
       {"3", "{}", R"({"type":"nonsense"})", R"({"type":"cancel"})",
        R"({"type":"cancel","exchange":"x"})"}) {
    const auto json = ParseJson(text);
    REQUIRE(json.has_value());
    const auto got = DecodeMessage<ExchangeRequestMessage>(json.value());
    REQUIRE_FALSE(got.has_value());
    CHECK(got.error().kind() == ErrorKind::kMalformedMessage);
  }
}

}  // namespace
}  // namespace cowslip
