#ifndef SOURCE_NET_HTTP_SERVER_H_
#define SOURCE_NET_HTTP_SERVER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Base/endpoint.h"
#include "Base/memory_budget.h"
#include "Base/result.h"
#include "Base/time.h"

namespace cowslip {

class HttpExchange;
struct HttpRequest;
struct HttpResponse;

/// \class HttpServerLimits
/// \brief Limits on requests that can be changed while the server runs.
struct HttpServerLimits {
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 1 << 20;
  Duration read_timeout = std::chrono::seconds(20);
  Duration idle_timeout = std::chrono::seconds(60);
};

/// \class HttpServerOptions
/// \brief Listen address, and limits that keep one client from affecting
/// others.
struct HttpServerOptions {
  Endpoint listen;
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 1 << 20;
  /// When set, returns the limit in bytes on one request's body. It is called
  /// with the head before the body is read; `max_body_bytes` still applies.
  std::function<size_t(const HttpRequest& head)> body_limit;
  /// When set, may answer a request whose body is over its limit with
  /// something better than 413, such as why the limit is so low.
  std::function<std::optional<HttpResponse>(const HttpRequest& head)>
      over_limit;
  /// How long a client may take to send one request, from its first byte.
  Duration read_timeout = std::chrono::seconds(20);
  /// How long a kept-alive connection may stay idle.
  Duration idle_timeout = std::chrono::seconds(60);
  /// How long one write may wait for a client that does not read.
  Duration write_timeout = std::chrono::seconds(30);
  /// A request over a connection beyond this is refused with 503. Start()
  /// lowers it to what the limit on file descriptors allows.
  size_t max_connections = 20000;
  /// Bounds the memory of all connections together; null for no bound. Requests
  /// and connections without room are refused with 503.
  std::shared_ptr<MemoryBudget> memory{};
  MemoryPriority memory_priority = MemoryPriority::kNormal;
};

/// \class HttpConnectionCounts
/// \brief The open connections of a server, by what they are used for.
struct HttpConnectionCounts {
  size_t open = 0;
  /// A request has begun to arrive, and its handler has not been called.
  size_t reading = 0;
  /// No request is being read or handled, and bytes lie in the socket's buffer.
  size_t unread = 0;
};

/// \class HttpIdleCloses
/// \brief The idle connections that a server has closed, by cause. A crossed
/// request is one that arrived after the close: the server does not read it.
struct HttpIdleCloses {
  size_t timeouts = 0;
  size_t drained = 0;
  size_t crossed_timeouts = 0;
  size_t crossed_drained = 0;

  bool operator==(const HttpIdleCloses&) const = default;
};

/// \class HttpServer
/// \brief Accepts HTTP/1.1 connections and runs one handler per request.
class HttpServer {
 public:
  using Handler =
      std::function<boost::asio::awaitable<void>(HttpExchange& exchange)>;

  HttpServer(boost::asio::io_context& context,
             HttpServerOptions options,
             Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds the listen address and accepts connections. Errors: kUnavailable.
  Result<void> Start();
  /// The port that the server listens on, after Start().
  uint16_t port() const;

  /// Serves the connections that wait to be accepted, stops listening, closes
  /// idle connections, and lets requests that have begun to arrive finish;
  /// responses from now on carry `Connection: close`. No connection is closed
  /// while bytes of a request are unread. The drain is complete when
  /// connections() is 0.
  void Drain();
  /// Refuses with 503 the requests that are still being read. A read that is
  /// about to start its next step is missed: call it again until none is left.
  void RefuseUnfinishedRequests();
  /// Writes an answer to each request that has none: 504 while its handler
  /// runs, 503 otherwise. The last call before the process exits; it waits for
  /// nothing. Returns the number of answers.
  size_t AnswerOpenRequests();
  /// Disables keep-alive: responses from now on carry `Connection: close`. New
  /// connections are still accepted.
  void DisableKeepAlive();
  /// Changes the limits for requests that begin from now on. A raised idle
  /// timeout also holds on connections that are idle already; a lowered one
  /// holds from their next request on.
  void SetLimits(const HttpServerLimits& limits);
  /// Number of requests whose handler is running.
  size_t active_requests() const;
  /// Number of open connections.
  size_t connections() const;
  /// Asks the kernel about each idle connection.
  HttpConnectionCounts CountConnections() const;
  HttpIdleCloses idle_closes() const;
  /// Number of requests refused because of `max_connections`.
  size_t requests_over_limit() const;
  /// Number of requests refused, and of responses replaced, for lack of memory.
  size_t requests_without_memory() const;
  /// Number of times that accepting a connection failed, most likely for lack
  /// of file descriptors.
  size_t failed_accepts() const;
  /// Number of requests that were read after Drain().
  size_t requests_after_drain() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslip

#endif  // SOURCE_NET_HTTP_SERVER_H_
