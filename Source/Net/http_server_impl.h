#ifndef SOURCE_NET_HTTP_SERVER_IMPL_H_
#define SOURCE_NET_HTTP_SERVER_IMPL_H_

#include <array>
#include <cstddef>
#include <memory>
#include <set>
#include <utility>

#include "Net/beast.h"
#include "Net/http_server.h"

namespace cowslip {

/// \class HttpServer::Impl
/// \brief The listener and the open connections of an HttpServer.
class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
 public:
  class Connection;

  Impl(asio::io_context& context, HttpServerOptions options, Handler handler)
      : m_context(context),
        m_options(std::move(options)),
        m_handler(std::move(handler)),
        m_acceptor(context),
        m_connection_ended(context) {}

  Result<void> Start();
  void Drain();
  void Close();
  void Serve(tcp::socket socket);
  void HandleConnectionEnd(Connection* connection);
  bool HasRoom() const {
    return m_connections.size() < m_options.max_connections;
  }

  asio::io_context& m_context;
  HttpServerOptions m_options;
  const Handler m_handler;
  tcp::acceptor m_acceptor;
  std::set<Connection*> m_connections;
  size_t m_active = 0;
  size_t m_requests_after_drain = 0;
  HttpIdleCloses m_idle_closes;
  // Where all closed connections read what nobody needs.
  std::array<char, 16 * 1024> m_discarded;
  size_t m_requests_over_limit = 0;
  size_t m_requests_without_memory = 0;
  // Connections for which there was no room when they were accepted.
  size_t m_surplus_connections = 0;
  size_t m_failed_accepts = 0;
  // Responses carry `Connection: close`.
  bool m_draining = false;
  // Drain() was called.
  bool m_drained = false;

 private:
  asio::awaitable<void> Accept();
  bool MayAccept() const;
  // Waits until a connection or the time ends.
  asio::awaitable<void> WaitForConnectionEnd(Duration at_most);
  void AcceptQueuedConnections();

  // Cancelled when a connection ends.
  asio::steady_timer m_connection_ended;
};

}  // namespace cowslip

#endif  // SOURCE_NET_HTTP_SERVER_IMPL_H_
