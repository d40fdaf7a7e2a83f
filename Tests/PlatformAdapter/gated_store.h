#ifndef TESTS_PLATFORMADAPTER_GATED_STORE_H_
#define TESTS_PLATFORMADAPTER_GATED_STORE_H_

#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Platform/document_store.h"

namespace cowslip {

/// \class GatedStore
/// \brief A store whose listings and watches are read, and whose responses
/// arrive, when the test says so.
class GatedStore final : public DocumentStore {
 public:
  GatedStore(boost::asio::io_context& context, DocumentStore& store)
      : m_context(context), m_store(store) {}

  /// Calls that wait to be read, or for their response to arrive.
  size_t pending() const { return m_pending.size(); }
  /// Takes the pending call with this index one step further and runs what
  /// follows from it. Calls are in the order in which they were made.
  void Advance(size_t index);
  /// Advances a call from before its read to after its response.
  void Complete(size_t index);
  void RunReady();
  /// The next watch that is read loses its changes, as a watch that the store
  /// has dropped silently does.
  void LoseNextChanges() { m_lose_next = true; }

  boost::asio::awaitable<Result<Document>> Get(DocumentKind kind,
                                               DocumentName name) override;
  boost::asio::awaitable<Result<DocumentPage>> List(
      DocumentKind kind,
      DocumentName after) override;
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

 private:
  struct PendingCall {
    uint64_t id;
    boost::asio::steady_timer* gate;
  };

  boost::asio::awaitable<void> PassGate(uint64_t id);

  boost::asio::io_context& m_context;
  DocumentStore& m_store;
  std::vector<PendingCall> m_pending;
  uint64_t m_calls = 0;
  bool m_lose_next = false;
};

}  // namespace cowslip

#endif  // TESTS_PLATFORMADAPTER_GATED_STORE_H_
