#ifndef UTILITIES_STANDINS_PLAIN_PLAIN_SERVER_H_
#define UTILITIES_STANDINS_PLAIN_PLAIN_SERVER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include <boost/asio/io_context.hpp>

#include "Net/http_message.h"
#include "Net/http_server.h"
#include "Utilities/StandIns/Plain/plain_faults.h"

namespace cowslip {

class HttpExchange;

/// \class PlainServer
/// \brief A plain service that counts how often it ran each request body.
///
/// Any path answers `{"count":N,"echo":BODY}`. For tests: `GET /received`
/// returns the requests and the runs of each body, `PUT /faults` sets faults.
class PlainServer {
 public:
  PlainServer(boost::asio::io_context& context, Endpoint listen);

  /// Opens the port. Errors: kUnavailable.
  Result<void> Start();
  uint16_t port() const { return m_server.port(); }
  /// Lets running requests finish.
  void Drain();

 private:
  boost::asio::awaitable<void> Handle(HttpExchange& exchange);
  boost::asio::awaitable<void> Serve(HttpExchange& exchange);
  /// Counts the request as run; returns how often its body has run.
  uint64_t TakeEffect(const HttpRequest& request);
  /// True when the answer to this request is to be lost.
  bool CutsAnswer(const std::string& body);
  HttpResponse Received() const;
  HttpResponse SetFaults(const std::string& body);

  HttpServer m_server;
  PlainFaults m_faults;
  std::map<std::string, uint64_t> m_runs;
  std::deque<HttpRequest> m_received;
};

}  // namespace cowslip

#endif  // UTILITIES_STANDINS_PLAIN_PLAIN_SERVER_H_
