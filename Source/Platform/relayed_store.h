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

/// \class RelayedStoreOptions
/// \brief When another process is asked, and for how long.
struct RelayedStoreOptions {
  /// After a call has failed, the next ones go to another process for this
  /// long; then the store is tried again.
  Duration avoid_time = std::chrono::seconds(1);
  /// How long the other process may take beyond the time that it is asked to
  /// wait: a little longer than its own calls to the store.
  Duration call_timeout = std::chrono::milliseconds(1800);
};

/// \class RelayedStore
/// \brief The platform's store, reached through another process of the system
/// while it turns this VM away or the path to it is cut.
///
/// A write whose outcome is in doubt is not repeated; its caller decides.
class RelayedStore final : public DocumentStore {
 public:
  /// Where a process listens that reaches the store, or nullopt.
  using PickPeer = std::function<std::optional<Endpoint>()>;

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

  /// Whether this process's own last call to the store was answered.
  bool reaches_store() const { return m_reaches_store; }
  /// Answers another process's request, by this process's own calls only.
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
