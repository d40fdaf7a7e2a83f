#ifndef SOURCE_LINK_LINK_ENDPOINT_H_
#define SOURCE_LINK_LINK_ENDPOINT_H_

#include <cstddef>
#include <functional>
#include <string>
#include <variant>

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace cowslip {

using WebsocketServer = websocketpp::server<websocketpp::config::asio>;
using WebsocketClient = websocketpp::client<websocketpp::config::asio_client>;

/// A connection accepted by the server or opened by the client.
using WebsocketConnection = std::variant<WebsocketServer::connection_ptr,
                                         WebsocketClient::connection_ptr>;

/// \class LinkEndpoint
/// \brief The websocket server and client of one process, with their timeouts.
///
/// A connection keeps the handlers' captures alive until Asio releases it.
/// Handlers may therefore own the object that owns the endpoint; Stop() breaks
/// this reference cycle.
class LinkEndpoint {
 public:
  struct Handlers {
    /// Runs when a websocket handshake has succeeded. `dialled_vm` is empty for
    /// a connection that a peer opened.
    std::function<void(WebsocketConnection, const std::string& dialled_vm)>
        on_open;
    /// Runs when a dialled connection fails to open.
    std::function<void(const std::string& dialled_vm)> on_fail;
    std::function<void(const void* connection)> on_close;
    std::function<void(const void* connection, const std::string& bytes)>
        on_message;
  };

  LinkEndpoint(boost::asio::io_context& context, size_t max_frame_bytes);

  /// Call before Listen() and Dial().
  void SetHandlers(Handlers handlers);
  /// Returns an empty string on success, otherwise an error message.
  std::string Listen(const std::string& address, uint16_t port);
  uint16_t port() const { return m_port; }
  /// Starts to connect. Returns false if no attempt was started, in which case
  /// no handler runs.
  bool Dial(const std::string& vm, const std::string& address, uint16_t port);
  void Stop();

 private:
  template <class Endpoint>
  void ConfigureEndpoint(Endpoint& endpoint, size_t max_frame_bytes);
  template <class ConnectionPtr>
  void AttachHandlers(const ConnectionPtr& connection, const std::string& vm);

  WebsocketServer m_server;
  WebsocketClient m_client;
  Handlers m_handlers;
  size_t m_max_frame_bytes;
  uint16_t m_port = 0;
};

/// Returns the address of the connection object, as a map key.
const void* ConnectionKey(const WebsocketConnection& connection);
/// Queues one binary message; returns false on an error.
bool SendBytes(const WebsocketConnection& connection, const std::string& bytes);
/// Returns the bytes that are queued and not yet written to the socket.
size_t BufferedBytes(const WebsocketConnection& connection);
/// Starts the closing handshake, which the close timeout bounds.
void CloseConnection(const WebsocketConnection& connection,
                     const std::string& reason);

}  // namespace cowslip

#endif  // SOURCE_LINK_LINK_ENDPOINT_H_
