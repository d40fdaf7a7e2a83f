#ifndef SOURCE_PLATFORM_RELAYED_STORE_H_
#define SOURCE_PLATFORM_RELAYED_STORE_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include <boost/asio/any_io_executor.hpp>

#include "Base/endpoint.h"
#include "Platform/document_store.h"
#include "Platform/store_relay_messages.h"

namespace cowslip {

class HttpClient;
class HttpExchange;
class MemoryBudget;

/// \class RelayedStoreOptions
/// \brief When calls are relayed through a peer, and their timeout.
struct RelayedStoreOptions {
  /// After a direct call has failed, calls go to a peer for this long; then the
  /// store is called directly again.
  Duration avoid_time = std::chrono::seconds(1);
  /// Timeout of a call to a peer, in addition to the wait of a watch. It is a
  /// little longer than the peer's own calls to the store may take.
  Duration call_timeout = std::chrono::milliseconds(1800);
  /// See HttpClientOptions::memory.
  std::shared_ptr<MemoryBudget> memory{};
};

/// \class RelayedStore
/// \brief The platform's store, called through another process of the system
/// while the store rejects this VM's calls or is unreachable from it.
///
/// A write whose outcome is in doubt is not retried; the caller decides whether
/// to retry.
class RelayedStore final : public DocumentStore {
 public:
  /// Returns the endpoint of a process that reaches the store, or nullopt.
  /// Documents of the kind pass through that process.
  using PickPeer =
      std::function<std::optional<Endpoint>(const DocumentKind& kind)>;

  RelayedStore(boost::asio::any_io_executor executor,
               DocumentStore& direct,
               PickPeer pick_peer,
               RelayedStoreOptions options = {});
  ~RelayedStore() override;

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

  /// Whether this process's last direct call got a response from the store.
  bool reaches_store() const { return m_reaches_store; }
  /// Serves a peer's request, by direct calls only, so that requests are not
  /// relayed twice.
  boost::asio::awaitable<void> Serve(HttpExchange& exchange);

 private:
  boost::asio::awaitable<Result<StoreResponse>> Call(StoreRequest request);
  boost::asio::awaitable<Result<StoreResponse>> CallDirect(
      StoreRequest request);
  boost::asio::awaitable<Result<StoreResponse>> CallPeer(
      const StoreRequest& request,
      Endpoint peer);
  template <class Response>
  boost::asio::awaitable<Result<Response>> CallFor(StoreRequest request);
  boost::asio::awaitable<Result<void>> CallForDone(StoreRequest request);
  void RecordDirectCall(const Result<StoreResponse>& store_response);

  const boost::asio::any_io_executor m_executor;
  DocumentStore& m_direct;
  const PickPeer m_pick_peer;
  const RelayedStoreOptions m_options;
  std::map<Endpoint, std::shared_ptr<HttpClient>> m_clients;
  bool m_reaches_store = false;
  MonotonicTime m_avoid_until;
};

}  // namespace cowslip

#endif  // SOURCE_PLATFORM_RELAYED_STORE_H_
