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
/// \brief Bounds on the calls to the platform.
struct HttpObjectStoreOptions {
  /// How long one call may take; a watch gets this on top of its own timeout.
  Duration call_timeout = std::chrono::seconds(2);
  HttpClientOptions http;
};

/// \class HttpObjectStore
/// \brief The platform's object API over HTTP.
///
/// It repeats nothing by itself: its callers know whether a repetition is
/// safe. A read that was cut is kUnavailable, because a read has no effect; a
/// write that was cut is kInDoubt.
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

  /// Calls made since the start, for metrics.
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
