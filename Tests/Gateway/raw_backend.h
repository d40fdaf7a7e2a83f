#ifndef TESTS_GATEWAY_RAW_BACKEND_H_
#define TESTS_GATEWAY_RAW_BACKEND_H_

#include <cstdint>
#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "Base/time.h"
#include "Net/http_message.h"

namespace cowslip {

class GatewayFixture;

/// How a connection ends after an answer.
enum class ConnectionEnd { kKeptOpen, kClosed, kReset };

/// \class RawAnswer
/// \brief The bytes of an answer, its head included, exactly as sent.
struct RawAnswer {
  std::string bytes;
  ConnectionEnd end = ConnectionEnd::kClosed;
  /// When set, what it returns for 0, 1, 2, ... follows `bytes` without end,
  /// until the caller closes the connection.
  std::function<std::string(uint64_t number)> endless;
  /// Written on a connection that is kept open, this long after `bytes` and
  /// before the next request is read.
  std::string late_bytes;
  Duration late_by{0};
};

/// \class RawBackend
/// \brief A backend server whose answers are written byte by byte by the test,
/// so that they may be framed or truncated in any way.
class RawBackend {
 public:
  using Script = std::function<RawAnswer(const HttpRequest& request)>;

  RawBackend(boost::asio::io_context& context, Script script);

  uint16_t port() const { return m_acceptor.local_endpoint().port(); }
  /// Accepts no connection any more, as a process that has ended.
  void Stop();
  /// The endless answers that are being written.
  size_t endless_answers() const { return m_endless_answers; }
  /// The number of the connection, from 0 on, that brought the request for
  /// which the script is called.
  size_t connection() const { return m_connection; }

 private:
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket socket,
                                     size_t connection);

  boost::asio::io_context& m_context;
  const Script m_script;
  size_t m_endless_answers = 0;
  size_t m_connections = 0;
  size_t m_connection = 0;
  boost::asio::ip::tcp::acceptor m_acceptor;
};

/// Registers it as a backend server of the service `s` and version v1.
void RegisterRawBackend(GatewayFixture& f,
                        const std::string& id,
                        const RawBackend& backend);

}  // namespace cowslip

#endif  // TESTS_GATEWAY_RAW_BACKEND_H_
