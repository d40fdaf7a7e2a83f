#include "Link/link_endpoint.h"

#include <utility>

#include <boost/asio/ip/tcp.hpp>

namespace cowslip {
namespace {

namespace ws = websocketpp;

constexpr long kOpenTimeoutMs = 2000;
constexpr long kCloseTimeoutMs = 500;

}  // namespace

LinkEndpoint::LinkEndpoint(boost::asio::io_context& context,
                           size_t max_frame_bytes)
    : m_max_frame_bytes(max_frame_bytes) {
  m_server.init_asio(&context);
  m_client.init_asio(&context);
  ConfigureEndpoint(m_server, max_frame_bytes);
  ConfigureEndpoint(m_client, max_frame_bytes);
  m_server.set_reuse_addr(true);
}

template <class Endpoint>
void LinkEndpoint::ConfigureEndpoint(Endpoint& endpoint,
                                     size_t max_frame_bytes) {
  endpoint.clear_access_channels(ws::log::alevel::all);
  endpoint.clear_error_channels(ws::log::elevel::all);
  endpoint.set_max_message_size(max_frame_bytes);
  endpoint.set_open_handshake_timeout(kOpenTimeoutMs);
  endpoint.set_close_handshake_timeout(kCloseTimeoutMs);
  endpoint.set_tcp_post_init_handler([&endpoint](ws::connection_hdl hdl) {
    ws::lib::error_code error;
    auto connection = endpoint.get_con_from_hdl(hdl, error);
    if (error) {
      return;
    }
    // Disables Nagle's algorithm: small messages must not wait for the
    // acknowledgement of earlier ones.
    boost::system::error_code ignored;
    connection->get_raw_socket().set_option(
        boost::asio::ip::tcp::no_delay(true), ignored);
  });
}

template <class ConnectionPtr>
void LinkEndpoint::AttachHandlers(const ConnectionPtr& connection,
                                  const std::string& vm) {
  const void* key = connection.get();
  const Handlers handlers = m_handlers;
  connection->set_close_handler(
      [handlers, key](ws::connection_hdl) { handlers.on_close(key); });
  connection->set_message_handler(
      [handlers, key](ws::connection_hdl, auto message) {
        handlers.on_message(key, message->get_payload());
      });
  connection->set_fail_handler(
      [handlers, vm](ws::connection_hdl) { handlers.on_fail(vm); });
}

void LinkEndpoint::SetHandlers(Handlers handlers) {
  m_handlers = std::move(handlers);
  // Only the open handler is set on the server. It runs before any message is
  // read, so it can attach the other handlers to the connection.
  m_server.set_open_handler(
      [this, handlers = m_handlers](ws::connection_hdl hdl) {
        ws::lib::error_code error;
        auto connection = m_server.get_con_from_hdl(hdl, error);
        if (error) {
          return;
        }
        AttachHandlers(connection, {});
        handlers.on_open(connection, {});
      });
}

std::string LinkEndpoint::Listen(const std::string& address, uint16_t port) {
  boost::system::error_code parse_error;
  const auto ip = boost::asio::ip::make_address(address, parse_error);
  if (parse_error) {
    return "The listen address of peer links is not an IP address: " +
           parse_error.message() + ".";
  }
  ws::lib::error_code error;
  m_server.listen(boost::asio::ip::tcp::endpoint(ip, port), error);
  if (error) {
    return "Cannot listen for peer links on port " + std::to_string(port) +
           " (free it or set another): " + error.message() + ".";
  }
  boost::system::error_code endpoint_error;
  m_port = m_server.get_local_endpoint(endpoint_error).port();
  m_server.start_accept(error);
  if (error) {
    return "Cannot accept connections of peer links: " + error.message() + ".";
  }
  return {};
}

bool LinkEndpoint::Dial(const std::string& vm,
                        const std::string& address,
                        uint16_t port) {
  const bool is_v6 = address.find(':') != std::string::npos;
  const std::string host = is_v6 ? "[" + address + "]" : address;
  ws::lib::error_code error;
  const auto connection = m_client.get_connection(
      "ws://" + host + ":" + std::to_string(port) + "/", error);
  if (error) {
    return false;
  }
  AttachHandlers(connection, vm);
  connection->set_open_handler(
      [this, handlers = m_handlers, vm](ws::connection_hdl hdl) {
        ws::lib::error_code open_error;
        auto opened = m_client.get_con_from_hdl(hdl, open_error);
        if (!open_error) {
          handlers.on_open(opened, vm);
        }
      });
  m_client.connect(connection);
  return true;
}

void LinkEndpoint::Stop() {
  ws::lib::error_code ignored;
  if (m_server.is_listening()) {
    m_server.stop_listening(ignored);
  }
  m_server.set_open_handler(nullptr);
  m_handlers = {};
}

const void* ConnectionKey(const WebsocketConnection& connection) {
  return std::visit(
      [](const auto& pointer) -> const void* { return pointer.get(); },
      connection);
}

bool SendBytes(const WebsocketConnection& connection,
               const std::string& bytes) {
  return std::visit(
      [&bytes](const auto& pointer) {
        return !pointer->send(bytes, ws::frame::opcode::binary);
      },
      connection);
}

size_t BufferedBytes(const WebsocketConnection& connection) {
  return std::visit(
      [](const auto& pointer) { return pointer->get_buffered_amount(); },
      connection);
}

void CloseConnection(const WebsocketConnection& connection,
                     const std::string& reason) {
  std::visit(
      [&reason](const auto& pointer) {
        ws::lib::error_code ignored;
        pointer->close(ws::close::status::going_away, reason, ignored);
      },
      connection);
}

}  // namespace cowslip
