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

/// What one document may hold, in bytes.
inline constexpr size_t kMaxDocumentBytes = 1 << 20;

/// \class Document
/// \brief A named JSON value with the version that a conditional update names.
struct Document {
  DocumentName name;
  ObjectVersion version;
  /// What the document's writer declares.
  nlohmann::json content;
  /// What is reported about it; written apart from the content.
  nlohmann::json status;
};

/// \class DocumentPage
/// \brief One part of a listing, in order of name.
struct DocumentPage {
  std::vector<Document> documents;
  /// Ask again after the last name.
  bool has_more = false;
  /// Watching from here misses nothing.
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
  /// Watch on from here.
  ObjectVersion as_of;
};

/// \class DocumentStore
/// \brief The platform's store of documents: linearizable reads, conditional
/// writes and watches.
///
/// Errors of every call: kUnavailable (surely no effect), kInDoubt (a write may
/// have taken effect, or may do so seconds later while its condition holds),
/// kConflict (the condition failed), kNotFound, kTooLarge, kHistoryLost (a
/// watch must begin with a new listing).
class DocumentStore {
 public:
  virtual ~DocumentStore() = default;

  virtual boost::asio::awaitable<Result<Document>> Get(DocumentKind kind,
                                                       DocumentName name) = 0;
  /// The documents whose names come after `after`.
  virtual boost::asio::awaitable<Result<DocumentPage>> List(
      DocumentKind kind,
      DocumentName after) = 0;
  /// Waits up to `wait` for changes after `since`.
  virtual boost::asio::awaitable<Result<DocumentChanges>>
  Watch(DocumentKind kind, ObjectVersion since, Duration wait) = 0;
  /// kConflict when a document of that name exists.
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
  /// Removes the document whatever its version.
  virtual boost::asio::awaitable<Result<void>> Remove(DocumentKind kind,
                                                      DocumentName name) = 0;
};

}  // namespace cowslip

#endif  // SOURCE_PLATFORM_DOCUMENT_STORE_H_
