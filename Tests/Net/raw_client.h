#ifndef TESTS_NET_RAW_CLIENT_H_
#define TESTS_NET_RAW_CLIENT_H_

#include <cstdint>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "Base/time.h"

namespace cowslip {

/// \class RawClient
/// \brief A client that blocks on its own context, so that a test decides when
/// the server's context runs.
class RawClient {
 public:
  static constexpr char kRequest[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

  explicit RawClient(uint16_t port);

  void Send(const std::string& bytes);
  /// Runs the server until the client has an answer or the connection ends, for
  /// at most 2 s. Returns the status line; empty when there is none.
  std::string Read(boost::asio::io_context& server);
  /// As above, until the connection ends or 2 s have passed. Returns all that
  /// was received.
  std::string ReadAll(boost::asio::io_context& server);
  /// Sends without a wait for space in the socket's buffer while the server
  /// runs, in pieces with a pause after each. Returns whether all was sent.
  bool SendPieces(boost::asio::io_context& server,
                  const std::string& bytes,
                  size_t piece,
                  Duration pause);
  /// Whether the server has closed its side without an answer.
  bool HasEnded();

 private:
  boost::asio::io_context m_context;
  boost::asio::ip::tcp::socket m_socket;
};

}  // namespace cowslip

#endif  // TESTS_NET_RAW_CLIENT_H_
