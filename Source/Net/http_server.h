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
#include "Base/result.h"
#include "Base/time.h"

namespace cowslip {

class HttpExchange;
struct HttpRequest;
struct HttpResponse;

/// \class HttpServerLimits
/// \brief The bounds on requests that may change while the server runs.
struct HttpServerLimits {
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 1 << 20;
  Duration read_timeout = std::chrono::seconds(20);
  Duration idle_timeout = std::chrono::seconds(60);
};

/// \class HttpServerOptions
/// \brief Bounds that keep one client from harming others.
struct HttpServerOptions {
  Endpoint listen;
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 1 << 20;
  /// When set, the limit for one request, decided from its head before any of
  /// its body is read; `max_body_bytes` still bounds it.
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
  size_t max_connections = 20000;
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

  /// Opens the port. Errors: kUnavailable.
  Result<void> Start();
  /// The bound port, once started.
  uint16_t port() const;

  /// Stops accepting, closes idle connections and lets running requests
  /// finish; responses from now on carry `Connection: close`.
  void Drain();
  /// Lets connections go: responses from now on carry `Connection: close`, but
  /// new connections are still taken.
  void DisableKeepAlive();
  /// Changes the bounds on requests; for those that begin from now on.
  void SetLimits(const HttpServerLimits& limits);
  /// Requests whose response has not ended.
  size_t active_requests() const;
  /// Open connections.
  size_t connections() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslip

#endif  // SOURCE_NET_HTTP_SERVER_H_
