#include "Utilities/StandIns/MetadataStore/fake_document_store.h"

namespace cowslip {

using boost::asio::awaitable;

namespace {

// Small pages, so that tests meet several.
constexpr size_t kPage = 3;

Error Refused() {
  return Error(ErrorKind::kUnavailable, "The stand-in refuses the call.");
}

Error NoAnswer() {
  return Error(ErrorKind::kInDoubt, "The stand-in's answer is lost.");
}

}  // namespace

void FakeDocumentStore::FailNext(StoreFault fault, size_t count) {
  m_fault = fault;
  m_fault_count = count;
}

bool FakeDocumentStore::RefusesRead() {
  // The other faults wait for a write.
  return m_fault == StoreFault::kRefuse && TakeFault() != StoreFault::kNone;
}

StoreFault FakeDocumentStore::TakeFault() {
  if (m_fault_count == 0) {
    return StoreFault::kNone;
  }
  --m_fault_count;
  return m_fault;
}

Result<Document> FakeDocumentStore::Run(Write write) {
  switch (TakeFault()) {
    case StoreFault::kRefuse:
      return Refused();
    case StoreFault::kLoseAnswer:
      static_cast<void>(write());
      return NoAnswer();
    case StoreFault::kDelayWrite:
      m_late.push_back(std::move(write));
      return NoAnswer();
    case StoreFault::kNone:
      break;
  }
  return write();
}

void FakeDocumentStore::DoLateWrites() {
  for (const Write& write : std::exchange(m_late, {})) {
    static_cast<void>(write());
  }
}

void FakeDocumentStore::Record(const Key& key,
                               const Document& document,
                               bool removed) {
  m_changes.push_back({m_version, key.first, {document, removed}});
  for (const auto& callback : m_on_change) {
    callback();
  }
}

const Document* FakeDocumentStore::Find(const std::string& kind,
                                        const std::string& name) const {
  const auto found = m_documents.find({kind, name});
  return found == m_documents.end() ? nullptr : &found->second;
}

void FakeDocumentStore::Put(const std::string& kind,
                            const std::string& name,
                            nlohmann::json content) {
  Document& document = m_documents[{kind, name}];
  document.name = DocumentName(name);
  document.version = ObjectVersion(++m_version);
  if (document.created == ObjectVersion()) {
    document.created = document.version;
  }
  document.content = std::move(content);
  Record({kind, name}, document, false);
}

void FakeDocumentStore::Erase(const std::string& kind,
                              const std::string& name) {
  const auto found = m_documents.find({kind, name});
  if (found == m_documents.end()) {
    return;
  }
  Document document = found->second;
  m_documents.erase(found);
  ++m_version;
  if (!removals_keep_version) {
    document.version = ObjectVersion(m_version);
  }
  Record({kind, name}, document, true);
}

awaitable<Result<Document>> FakeDocumentStore::Get(DocumentKind kind,
                                                   DocumentName name) {
  if (RefusesRead()) {
    co_return Refused();
  }
  const Document* document = Find(kind.value(), name.value());
  if (document == nullptr) {
    co_return Error(ErrorKind::kNotFound, "No such document.");
  }
  co_return *document;
}

awaitable<Result<DocumentPage>> FakeDocumentStore::List(DocumentKind kind,
                                                        DocumentName after) {
  if (RefusesRead()) {
    co_return Refused();
  }
  DocumentPage page{.as_of = version()};
  for (auto at = m_documents.upper_bound({kind.value(), after.value()});
       at != m_documents.end() && at->first.first == kind.value(); ++at) {
    if (page.documents.size() == kPage) {
      page.has_more = true;
      break;
    }
    page.documents.push_back(at->second);
  }
  co_return page;
}

awaitable<Result<DocumentChanges>> FakeDocumentStore::Watch(DocumentKind kind,
                                                            ObjectVersion since,
                                                            Duration) {
  if (RefusesRead()) {
    co_return Refused();
  }
  if (since.value() < m_compacted) {
    co_return Error(ErrorKind::kHistoryLost, "The history is gone.");
  }
  DocumentChanges changes{.as_of = version()};
  for (const Change& change : m_changes) {
    if (change.version > since.value() && change.kind == kind.value()) {
      changes.changes.push_back(change.change);
    }
  }
  co_return changes;
}

awaitable<Result<Document>> FakeDocumentStore::Create(DocumentKind kind,
                                                      DocumentName name,
                                                      nlohmann::json content) {
  co_return Run([=, this]() -> Result<Document> {
    const Key key(kind.value(), name.value());
    if (m_documents.contains(key)) {
      return Error(ErrorKind::kConflict, "The document exists.");
    }
    Put(key.first, key.second, content);
    return m_documents[key];
  });
}

Result<Document*> FakeDocumentStore::FindAt(const Key& key,
                                            ObjectVersion expected) {
  const auto found = m_documents.find(key);
  if (found == m_documents.end()) {
    return Error(ErrorKind::kNotFound, "No such document.");
  }
  if (found->second.version != expected) {
    return Error(ErrorKind::kConflict, "Another version.");
  }
  return &found->second;
}

awaitable<Result<Document>> FakeDocumentStore::Replace(DocumentKind kind,
                                                       DocumentName name,
                                                       nlohmann::json content,
                                                       ObjectVersion expected) {
  co_return Run([=, this]() -> Result<Document> {
    const Key key(kind.value(), name.value());
    const Result<Document*> found = FindAt(key, expected);
    if (!found.has_value()) {
      return found.error();
    }
    Put(key.first, key.second, content);
    return m_documents[key];
  });
}

awaitable<Result<Document>> FakeDocumentStore::ReplaceStatus(
    DocumentKind kind,
    DocumentName name,
    nlohmann::json status,
    ObjectVersion expected) {
  co_return Run([=, this]() -> Result<Document> {
    const Key key(kind.value(), name.value());
    const Result<Document*> found = FindAt(key, expected);
    if (!found.has_value()) {
      return found.error();
    }
    Document& document = *found.value();
    document.status = status;
    document.version = ObjectVersion(++m_version);
    Record(key, document, false);
    return document;
  });
}

awaitable<Result<void>> FakeDocumentStore::RemoveAt(DocumentKind kind,
                                                    DocumentName name,
                                                    ObjectVersion expected) {
  if (delays_removals) {
    FailNext(StoreFault::kDelayWrite);
  }
  const Result<Document> removed = Run([=, this]() -> Result<Document> {
    const Key key(kind.value(), name.value());
    const Result<Document*> found = FindAt(key, expected);
    if (!found.has_value()) {
      return found.error();
    }
    Document document = *found.value();
    Erase(key.first, key.second);
    return document;
  });
  if (!removed.has_value()) {
    co_return removed.error();
  }
  co_return Ok();
}

awaitable<Result<void>> FakeDocumentStore::Remove(DocumentKind kind,
                                                  DocumentName name) {
  if (TakeFault() != StoreFault::kNone) {
    co_return Refused();
  }
  if (delays_removals) {
    m_late.push_back([=, this]() -> Result<Document> {
      Erase(kind.value(), name.value());
      return Document{.name = name};
    });
    co_return NoAnswer();
  }
  if (Find(kind.value(), name.value()) == nullptr) {
    co_return Error(ErrorKind::kNotFound, "No such document.");
  }
  Erase(kind.value(), name.value());
  co_return Ok();
}

}  // namespace cowslip
