#ifndef SOURCE_NET_HTTP_CLIENT_H_
#define SOURCE_NET_HTTP_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "Base/endpoint.h"
#include "Base/result.h"
#include "Base/time.h"
#include "Net/http_message.h"

namespace cowslip {

/// \class HttpClientOptions
/// \brief Bounds on calls and on kept connections.
struct HttpClientOptions {
  size_t max_idle_connections = 16;
  size_t max_response_bytes = 64 << 20;
  Duration connect_timeout = std::chrono::seconds(2);
  /// How long a kept connection may lie idle before it is closed instead of
  /// used, unless the server's Keep-Alive header names a shorter time.
  Duration max_idle_time = std::chrono::seconds(30);
  /// When set, the kernel probes a silent peer and gives up on sent data after
  /// this long. Whole seconds; a silent cut shows in no other way.
  Duration dead_peer_timeout = Duration::zero();
};

/// \class HttpAbort
/// \brief Lets the caller of Open() give up while it waits for the response's
/// header.
class HttpAbort {
 public:
  /// Closes the connection at once, if there is one; the call fails.
  void Abort() {
    m_aborted = true;
    if (m_close) {
      m_close();
    }
  }
  bool aborted() const { return m_aborted; }
  /// For the client: how to close the connection; null when it has none.
  void SetCloseCallback(std::function<void()> close) {
    m_close = std::move(close);
  }

 private:
  std::function<void()> m_close;
  bool m_aborted = false;
};

/// \class HttpResponseStream
/// \brief A response whose body is read piece by piece. Destroying it before
/// its end closes the connection, which cancels the request at the server.
class HttpResponseStream {
 public:
  virtual ~HttpResponseStream() = default;
  virtual int status() const = 0;
  virtual const HttpHeaders& headers() const = 0;
  /// Whether the connection had carried an earlier response: then a late answer
  /// to that one might have been read here.
  virtual bool on_reused_connection() const = 0;
  /// The next piece; nullopt at the proper end. A truncated body is
  /// kInDoubt, a passed timeout kTimeout.
  virtual boost::asio::awaitable<Result<std::optional<std::string>>> ReadSome(
      Duration timeout) = 0;
  /// Closes the connection at once; a pending ReadSome fails.
  virtual void Abort() = 0;
};

/// \class HttpClient
/// \brief Sends HTTP/1.1 requests to one endpoint over kept connections.
///
/// Errors: kUnavailable when no byte of the request can have reached the
/// server; kInDoubt when it may have; kTimeout when the time passed after
/// sending began. A request is never sent twice by the client itself, except
/// that a kept connection found closed before anything was written is
/// replaced.
class HttpClient {
 public:
  HttpClient(boost::asio::any_io_executor executor,
             Endpoint endpoint,
             HttpClientOptions options = {});
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  class Impl;

  /// Sends a request and reads the whole response.
  boost::asio::awaitable<Result<HttpResponse>> Send(HttpRequest request,
                                                    Duration timeout);
  /// Sends a request and returns once the response's header has come. An abort
  /// before anything was sent is kUnavailable, a later one kInDoubt.
  boost::asio::awaitable<Result<std::unique_ptr<HttpResponseStream>>> Open(
      HttpRequest request,
      Duration timeout,
      std::shared_ptr<HttpAbort> abort = nullptr);

 private:
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslip

#endif  // SOURCE_NET_HTTP_CLIENT_H_
