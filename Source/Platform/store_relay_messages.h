#ifndef SOURCE_PLATFORM_STORE_RELAY_MESSAGES_H_
#define SOURCE_PLATFORM_STORE_RELAY_MESSAGES_H_

#include <string>
#include <string_view>
#include <variant>

#include "Platform/document_store.h"

namespace cowslip {

// Store calls that a process relays through a peer, encoded in CBOR.

struct GetDocument {
  DocumentKind kind;
  DocumentName name;
};
struct ListDocuments {
  DocumentKind kind;
  DocumentName after;
};
struct WatchDocuments {
  DocumentKind kind;
  ObjectVersion since;
  Duration wait{0};
};
struct CreateDocument {
  DocumentKind kind;
  DocumentName name;
  nlohmann::json content;
};
struct ReplaceDocument {
  DocumentKind kind;
  DocumentName name;
  nlohmann::json content;
  ObjectVersion expected;
};
struct ReplaceDocumentStatus {
  DocumentKind kind;
  DocumentName name;
  nlohmann::json status;
  ObjectVersion expected;
};
struct RemoveDocument {
  DocumentKind kind;
  DocumentName name;
};
struct RemoveDocumentAt {
  DocumentKind kind;
  DocumentName name;
  ObjectVersion expected;
};
using StoreRequest = std::variant<GetDocument,
                                  ListDocuments,
                                  WatchDocuments,
                                  CreateDocument,
                                  ReplaceDocument,
                                  ReplaceDocumentStatus,
                                  RemoveDocument,
                                  RemoveDocumentAt>;

/// Success without a value.
struct Done {};
using StoreResponse =
    std::variant<Done, Document, DocumentPage, DocumentChanges>;

std::string EncodeStoreRequest(const StoreRequest& request);
/// Errors: kMalformedMessage, kTooLarge.
Result<StoreRequest> DecodeStoreRequest(std::string_view bytes);

std::string EncodeStoreResponse(const Result<StoreResponse>& response);
/// Returns the response or the error that the peer received from the store.
/// Errors of the decoding: kMalformedMessage, kTooLarge.
Result<StoreResponse> DecodeStoreResponse(std::string_view bytes);

}  // namespace cowslip

#endif  // SOURCE_PLATFORM_STORE_RELAY_MESSAGES_H_
