#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "Platform/store_relay_messages.h"

namespace cowslip {
namespace {

const DocumentKind kKind("k");
const DocumentName kName("n");
const ObjectVersion kVersion(7);
const nlohmann::json kContent = {{"a", {1, 2}}};

TEST_CASE("Store requests round-trip through their encoding") {
  const std::vector<StoreRequest> requests = {
      GetDocument{kKind, kName},
      ListDocuments{kKind, kName},
      WatchDocuments{kKind, kVersion, std::chrono::seconds(10)},
      CreateDocument{kKind, kName, kContent},
      ReplaceDocument{kKind, kName, kContent, kVersion},
      ReplaceDocumentStatus{kKind, kName, kContent, kVersion},
      RemoveDocument{kKind, kName},
      RemoveDocumentAt{kKind, kName, ObjectVersion(7)}};
  for (const StoreRequest& request : requests) {
    const std::string bytes = EncodeStoreRequest(request);
    const auto decoded = DecodeStoreRequest(bytes);
    REQUIRE(decoded.has_value());
    CHECK(decoded.value().index() == request.index());
    CHECK(EncodeStoreRequest(decoded.value()) == bytes);
    for (size_t size = 0; size < bytes.size(); ++size) {
      CHECK_FALSE(DecodeStoreRequest(bytes.substr(0, size)).has_value());
    }
  }
}

TEST_CASE("Store responses and errors round-trip through their encoding") {
  const Document document{kName, kVersion, kVersion, kContent, nullptr};
  const std::vector<StoreResponse> responses = {
      Done{}, document, DocumentPage{{document, document}, true, kVersion},
      DocumentChanges{{{document, true}}, kVersion}};
  for (const StoreResponse& response : responses) {
    const std::string bytes = EncodeStoreResponse(response);
    const auto decoded = DecodeStoreResponse(bytes);
    REQUIRE(decoded.has_value());
    CHECK(EncodeStoreResponse(decoded.value()) == bytes);
  }
  const auto error = DecodeStoreResponse(
      EncodeStoreResponse(Error(ErrorKind::kConflict, "Another version.")));
  REQUIRE_FALSE(error.has_value());
  CHECK(error.error().kind() == ErrorKind::kConflict);
}

TEST_CASE("Bytes that are not a store relay message are rejected") {
  rc::check([](const std::string& bytes) {
    RC_ASSERT(!DecodeStoreRequest(bytes).has_value());
    RC_ASSERT(!DecodeStoreResponse(bytes).has_value());
  });
}

}  // namespace
}  // namespace cowslip
