#include "Platform/store_relay_messages.h"

#include <utility>

#include "Base/json.h"
#include "Base/overloaded.h"

namespace cowslip {

namespace {

using nlohmann::json;

// Allows a listing of a megabyte of documents plus the overhead of CBOR.
constexpr JsonLimits kLimits{.max_bytes = 8 << 20, .max_depth = 64};

Error Malformed() {
  return Error(ErrorKind::kMalformedMessage,
               "The message about the store has another form. Upgrade the "
               "older process.");
}

json EncodeDocumentFields(const Document& document) {
  return json::array({document.name, document.version, document.content,
                      document.status, document.created});
}

Document ReadDocument(const json& fields) {
  // Processes of earlier releases do not tell the creation.
  const auto created =
      fields.size() > 4 ? fields.at(4).get<ObjectVersion>() : ObjectVersion();
  return Document{.name = fields.at(0).get<DocumentName>(),
                  .version = fields.at(1).get<ObjectVersion>(),
                  .created = created,
                  .content = fields.at(2),
                  .status = fields.at(3)};
}

json EncodeFields(const GetDocument& r) {
  return {r.kind, r.name};
}
json EncodeFields(const ListDocuments& r) {
  return {r.kind, r.after};
}
json EncodeFields(const WatchDocuments& r) {
  return json::array({r.kind, r.since, r.wait.count()});
}
json EncodeFields(const CreateDocument& r) {
  return json::array({r.kind, r.name, r.content});
}
json EncodeFields(const ReplaceDocument& r) {
  return json::array({r.kind, r.name, r.content, r.expected});
}
json EncodeFields(const ReplaceDocumentStatus& r) {
  return json::array({r.kind, r.name, r.status, r.expected});
}
json EncodeFields(const RemoveDocument& r) {
  return {r.kind, r.name};
}
json EncodeFields(const RemoveDocumentAt& r) {
  return json::array({r.kind, r.name, r.expected});
}

StoreRequest ReadRequest(size_t index, const json& f) {
  const auto kind = f.at(0).get<DocumentKind>();
  const auto name = [&] { return f.at(1).get<DocumentName>(); };
  switch (index) {
    case 0:
      return GetDocument{kind, name()};
    case 1:
      return ListDocuments{kind, name()};
    case 2:
      return WatchDocuments{kind, f.at(1).get<ObjectVersion>(),
                            Duration(f.at(2).get<int64_t>())};
    case 3:
      return CreateDocument{kind, name(), f.at(2)};
    case 4:
      return ReplaceDocument{kind, name(), f.at(2),
                             f.at(3).get<ObjectVersion>()};
    case 5:
      return ReplaceDocumentStatus{kind, name(), f.at(2),
                                   f.at(3).get<ObjectVersion>()};
    case 6:
      return RemoveDocument{kind, name()};
    default:
      return RemoveDocumentAt{kind, name(), f.at(2).get<ObjectVersion>()};
  }
}

json EncodeResponseFields(const Done&) {
  return json::array();
}
json EncodeResponseFields(const Document& document) {
  return EncodeDocumentFields(document);
}
json EncodeResponseFields(const DocumentPage& page) {
  json documents = json::array();
  for (const Document& document : page.documents) {
    documents.push_back(EncodeDocumentFields(document));
  }
  return json::array({std::move(documents), page.has_more, page.as_of});
}
json EncodeResponseFields(const DocumentChanges& changes) {
  json list = json::array();
  for (const DocumentChange& change : changes.changes) {
    list.push_back(
        json::array({EncodeDocumentFields(change.document), change.removed}));
  }
  return json::array({std::move(list), changes.as_of});
}

DocumentPage ReadPage(const json& f) {
  DocumentPage page{.has_more = f.at(1).get<bool>(),
                    .as_of = f.at(2).get<ObjectVersion>()};
  for (const json& document : f.at(0)) {
    page.documents.push_back(ReadDocument(document));
  }
  return page;
}

DocumentChanges ReadChanges(const json& f) {
  DocumentChanges changes{.as_of = f.at(1).get<ObjectVersion>()};
  for (const json& change : f.at(0)) {
    changes.changes.push_back(
        {ReadDocument(change.at(0)), change.at(1).get<bool>()});
  }
  return changes;
}

StoreResponse ReadResponse(size_t index, const json& f) {
  switch (index) {
    case 0:
      return Done{};
    case 1:
      return ReadDocument(f);
    case 2:
      return ReadPage(f);
    default:
      return ReadChanges(f);
  }
}

}  // namespace

std::string EncodeStoreRequest(const StoreRequest& request) {
  json fields =
      std::visit([](const auto& r) { return EncodeFields(r); }, request);
  return ToCbor(json::array({request.index(), std::move(fields)}));
}

Result<StoreRequest> DecodeStoreRequest(std::string_view bytes) {
  const Result<json> message = ParseCbor(bytes, kLimits);
  if (!message.has_value()) {
    return message.error();
  }
  try {
    const size_t index = message.value().at(0).get<size_t>();
    if (index < std::variant_size_v<StoreRequest>) {
      return ReadRequest(index, message.value().at(1));
    }
  } catch (const json::exception&) {
    // Falls through to the error below.
  }
  return Malformed();
}

std::string EncodeStoreResponse(const Result<StoreResponse>& response) {
  if (!response.has_value()) {
    const Error& error = response.error();
    return ToCbor(json::array({"error", error.code.value(), error.message}));
  }
  json fields = std::visit(
      [](const auto& a) { return EncodeResponseFields(a); }, response.value());
  return ToCbor(
      json::array({"answer", response.value().index(), std::move(fields)}));
}

Result<StoreResponse> DecodeStoreResponse(std::string_view bytes) {
  const Result<json> message = ParseCbor(bytes, kLimits);
  if (!message.has_value()) {
    return message.error();
  }
  try {
    const json& fields = message.value();
    if (fields.at(0) == "error") {
      return Error(static_cast<ErrorKind>(fields.at(1).get<int>()),
                   fields.at(2).get<std::string>());
    }
    const size_t index = fields.at(1).get<size_t>();
    if (fields.at(0) == "answer" &&
        index < std::variant_size_v<StoreResponse>) {
      return ReadResponse(index, fields.at(2));
    }
  } catch (const json::exception&) {
    // Falls through to the error below.
  }
  return Malformed();
}

}  // namespace cowslip
