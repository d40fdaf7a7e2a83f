#ifndef SOURCE_PLATFORM_DOCUMENT_STORE_H_
#define SOURCE_PLATFORM_DOCUMENT_STORE_H_

#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <nlohmann/json.hpp>

#include "Base/ids.h"
#include "Base/result.h"
#include "Base/time.h"

namespace cowslip {

/// A set of documents that are listed and watched together.
using DocumentKind = StrongId<struct DocumentKindTag>;
/// A document's name, unique in its kind.
using DocumentName = StrongId<struct DocumentNameTag>;

/// The maximum size of one document, in bytes.
inline constexpr size_t kMaxDocumentBytes = 1 << 20;

/// \class Document
/// \brief A named JSON value with the version for conditional updates.
struct Document {
  DocumentName name;
  ObjectVersion version;
  /// The version at which it was created; 0 if the store does not tell. Of two
  /// documents, the one with the lower value was created first.
  ObjectVersion created;
  /// The state that the document's writer declares.
  nlohmann::json content;
  /// The state that is reported about it; updated separately from the content.
  nlohmann::json status;
};

/// \class DocumentPage
/// \brief One page of a listing, sorted by name.
struct DocumentPage {
  std::vector<Document> documents;
  /// More documents follow: list again after the last name of this page.
  bool has_more = false;
  /// A watch from this version reports every change since the listing.
  ObjectVersion as_of;
};

/// \class DocumentChange
/// \brief One change that a watch reports.
struct DocumentChange {
  Document document;
  bool removed = false;
};

/// \class DocumentChanges
/// \brief Changes after a version of the whole store, oldest first.
struct DocumentChanges {
  std::vector<DocumentChange> changes;
  /// The version to continue the watch from.
  ObjectVersion as_of;
};

/// \class DocumentStore
/// \brief The platform's store of documents: linearizable reads, conditional
/// writes and watches.
///
/// Errors of every call: kUnavailable (the call had no effect), kInDoubt (a
/// write may have taken effect, or may still do so seconds later while its
/// condition holds), kConflict (the condition failed), kNotFound, kTooLarge,
/// kHistoryLost (the watched version is no longer in the history; list again
/// before watching).
class DocumentStore {
 public:
  virtual ~DocumentStore() = default;

  virtual boost::asio::awaitable<Result<Document>> Get(DocumentKind kind,
                                                       DocumentName name) = 0;
  /// Lists the documents whose names sort after `after`.
  virtual boost::asio::awaitable<Result<DocumentPage>> List(
      DocumentKind kind,
      DocumentName after) = 0;
  /// Waits up to `wait` for changes after `since`.
  virtual boost::asio::awaitable<Result<DocumentChanges>>
  Watch(DocumentKind kind, ObjectVersion since, Duration wait) = 0;
  /// Fails with kConflict if a document of that name exists.
  virtual boost::asio::awaitable<Result<Document>>
  Create(DocumentKind kind, DocumentName name, nlohmann::json content) = 0;
  /// Replaces the content if the document is still at `expected`.
  virtual boost::asio::awaitable<Result<Document>> Replace(
      DocumentKind kind,
      DocumentName name,
      nlohmann::json content,
      ObjectVersion expected) = 0;
  /// Replaces the status if the document is still at `expected`.
  virtual boost::asio::awaitable<Result<Document>> ReplaceStatus(
      DocumentKind kind,
      DocumentName name,
      nlohmann::json status,
      ObjectVersion expected) = 0;
  /// Removes the document regardless of its version.
  virtual boost::asio::awaitable<Result<void>> Remove(DocumentKind kind,
                                                      DocumentName name) = 0;
  /// Removes the document if it is still at `expected`.
  virtual boost::asio::awaitable<Result<void>>
  RemoveAt(DocumentKind kind, DocumentName name, ObjectVersion expected) = 0;
};

}  // namespace cowslip

#endif  // SOURCE_PLATFORM_DOCUMENT_STORE_H_
