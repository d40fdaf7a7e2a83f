#ifndef UTILITIES_STANDINS_METADATASTORE_FAKE_DOCUMENT_STORE_H_
#define UTILITIES_STANDINS_METADATASTORE_FAKE_DOCUMENT_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Platform/document_store.h"

namespace cowslip {

/// What happens to the calls of a FakeDocumentStore.
enum class StoreFault {
  kNone,
  /// Nothing is done, and the caller is told so.
  kRefuse,
  /// A write is done, and its answer is lost.
  kLoseAnswer,
  /// A write is not done yet, and there is no answer; DoLateWrites() does it.
  kDelayWrite,
};

/// \class FakeDocumentStore
/// \brief The platform's document store in memory, with faults on request.
class FakeDocumentStore final : public DocumentStore {
 public:
  boost::asio::awaitable<Result<Document>> Get(DocumentKind kind,
                                               DocumentName name) override;
  boost::asio::awaitable<Result<DocumentPage>> List(
      DocumentKind kind,
      DocumentName after) override;
  /// Answers at once with what there is.
  boost::asio::awaitable<Result<DocumentChanges>> Watch(DocumentKind kind,
                                                        ObjectVersion since,
                                                        Duration wait) override;
  boost::asio::awaitable<Result<Document>>
  Create(DocumentKind kind, DocumentName name, nlohmann::json content) override;
  boost::asio::awaitable<Result<Document>> Replace(
      DocumentKind kind,
      DocumentName name,
      nlohmann::json content,
      ObjectVersion expected) override;
  boost::asio::awaitable<Result<Document>> ReplaceStatus(
      DocumentKind kind,
      DocumentName name,
      nlohmann::json status,
      ObjectVersion expected) override;
  boost::asio::awaitable<Result<void>> Remove(DocumentKind kind,
                                              DocumentName name) override;
  boost::asio::awaitable<Result<void>> RemoveAt(
      DocumentKind kind,
      DocumentName name,
      ObjectVersion expected) override;

  /// The next `count` calls meet this fault.
  void FailNext(StoreFault fault, size_t count = 1);
  /// Carries out what was delayed, where its condition still holds.
  void DoLateWrites();
  /// Forgets the changes up to now: older watches must list again.
  void Compact() { m_compacted = m_version; }
  ObjectVersion version() const { return ObjectVersion(m_version); }
  /// The stored value, or null.
  const Document* Find(const std::string& kind, const std::string& name) const;
  /// Writes a document whatever its version, as the operator does.
  void Put(const std::string& kind,
           const std::string& name,
           nlohmann::json content);
  void Erase(const std::string& kind, const std::string& name);
  /// Watches report a removal with the version of the last change before it,
  /// not with that of the removal itself.
  bool removals_keep_version = false;
  /// Removals meet StoreFault::kDelayWrite.
  bool delays_removals = false;
  /// Called after each change.
  void OnChange(std::function<void()> callback) {
    m_on_change.push_back(std::move(callback));
  }

 private:
  using Key = std::pair<std::string, std::string>;
  struct Change {
    uint64_t version = 0;
    std::string kind;
    DocumentChange change;
  };
  using Write = std::function<Result<Document>()>;

  StoreFault TakeFault();
  bool RefusesRead();
  /// The stored document, if it is at that version. Errors: kNotFound and
  /// kConflict.
  Result<Document*> FindAt(const Key& key, ObjectVersion expected);
  Result<Document> Run(Write write);
  void Record(const Key& key, const Document& document, bool removed);

  std::map<Key, Document> m_documents;
  std::vector<Change> m_changes;
  std::vector<Write> m_late;
  std::vector<std::function<void()>> m_on_change;
  uint64_t m_version = 10;
  uint64_t m_compacted = 0;
  StoreFault m_fault = StoreFault::kNone;
  size_t m_fault_count = 0;
};

}  // namespace cowslip

#endif  // UTILITIES_STANDINS_METADATASTORE_FAKE_DOCUMENT_STORE_H_
