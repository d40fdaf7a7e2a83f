#ifndef SOURCE_NET_HTTP_EXCHANGE_H_
#define SOURCE_NET_HTTP_EXCHANGE_H_

#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "Base/result.h"
#include "Net/http_message.h"

namespace cowslip {

/// \class HttpExchange
/// \brief One request and its response, as the server's handler sees them.
///
/// The handler calls either `Respond` once, or `StartStream`, any number of
/// `WriteChunk` and `FinishStream`. Leaving a started stream unfinished closes
/// the connection, so that the client sees a truncated response and cannot take
/// it for a complete one. Writes wait while the client reads slowly
/// (back-pressure).
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& request() const = 0;
  /// The client's IP address.
  virtual const std::string& client_address() const = 0;

  virtual boost::asio::awaitable<Result<void>> Respond(
      HttpResponse response) = 0;
  virtual boost::asio::awaitable<Result<void>> StartStream(
      int status,
      HttpHeaders headers) = 0;
  /// Starts a stream and sends its head together with the first chunk in one
  /// write.
  virtual boost::asio::awaitable<Result<void>>
  StartStreamWith(int status, HttpHeaders headers, std::string data) = 0;
  virtual boost::asio::awaitable<Result<void>> WriteChunk(std::string data) = 0;
  virtual boost::asio::awaitable<Result<void>> FinishStream() = 0;

  /// Sets the callback for a client that disconnects before the response ends.
  /// It is called at most once, on the connection's executor.
  virtual void OnClientDisconnected(std::function<void()> callback) = 0;
  /// Closes the connection at once; the response stays truncated.
  virtual void Abort() = 0;
};

}  // namespace cowslip

#endif  // SOURCE_NET_HTTP_EXCHANGE_H_
