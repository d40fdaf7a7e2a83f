#ifndef SOURCE_PLATFORM_HTTP_OBJECT_STORE_H_
#define SOURCE_PLATFORM_HTTP_OBJECT_STORE_H_

#include <chrono>
#include <string>
#include <vector>

#include "Net/http_client.h"
#include "Platform/object_store.h"
#include "Platform/store_call_counts.h"

namespace cowslip {

/// \class HttpObjectStoreOptions
/// \brief Time limits and HTTP options of calls to the platform.
struct HttpObjectStoreOptions {
  /// Timeout of one call; for a watch it is added to the watch's own timeout.
  Duration call_timeout = std::chrono::seconds(2);
  HttpClientOptions http;
};

/// \class HttpObjectStore
/// \brief A client of the platform's object API over HTTP.
///
/// It does not retry: only its callers know whether a retry is safe. An
/// interrupted read fails with kUnavailable, because a read has no effect; an
/// interrupted write fails with kInDoubt.
class HttpObjectStore final : public ObjectStore {
 public:
  HttpObjectStore(boost::asio::any_io_executor executor,
                  Endpoint platform,
                  HttpObjectStoreOptions options = {});

  boost::asio::awaitable<Result<StoredObject>> Get(ObjectKey key) override;
  boost::asio::awaitable<Result<ObjectVersion>>
  Put(ObjectKey key, std::string value, Precondition precondition) override;
  boost::asio::awaitable<Result<void>> Delete(
      ObjectKey key,
      Precondition precondition) override;
  boost::asio::awaitable<Result<std::vector<ListedObject>>>
  List(std::string prefix, ObjectKey after, size_t limit) override;
  boost::asio::awaitable<Result<WatchResult>> Watch(std::string prefix,
                                                    ObjectVersion since,
                                                    Duration timeout) override;
  boost::asio::awaitable<Result<std::vector<VmRecord>>> ListVms() override;

  /// Calls made since construction, for metrics.
  const StoreCallCounts& calls() const { return m_calls; }

 private:
  boost::asio::awaitable<Result<HttpResponse>> Send(StoreCall call,
                                                    HttpRequest request,
                                                    Duration timeout);

  const HttpObjectStoreOptions m_options;
  HttpClient m_client;
  StoreCallCounts m_calls;
};

}  // namespace cowslip

#endif  // SOURCE_PLATFORM_HTTP_OBJECT_STORE_H_
