#ifndef UTILITIES_STANDINS_PLATFORM_PLATFORM_SERVER_H_
#define UTILITIES_STANDINS_PLATFORM_PLATFORM_SERVER_H_

#include <random>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>

#include "Net/http_server.h"
#include "Platform/store_call_counts.h"
#include "Utilities/StandIns/Platform/fake_platform.h"
#include "Utilities/StandIns/Platform/platform_faults.h"

namespace cowslip {

class ChangeWait;
class HttpExchange;
struct HttpRequest;
struct HttpResponse;

/// \class PlatformServer
/// \brief Serves a FakePlatform over HTTP, with faults on request.
class PlatformServer {
 public:
  PlatformServer(boost::asio::io_context& context,
                 Endpoint listen,
                 FakePlatformOptions options = {});
  ~PlatformServer();

  /// Opens the port. Errors: kUnavailable.
  Result<void> Start();
  uint16_t port() const { return m_server.port(); }
  /// Ends waiting watches and lets running calls finish.
  void Drain();
  bool IsIdle() const { return m_server.active_requests() == 0; }

  FakePlatform& platform() { return m_platform; }

 private:
  boost::asio::awaitable<void> Handle(HttpExchange& exchange);
  boost::asio::awaitable<void> HandleCall(HttpExchange& exchange,
                                          StoreCall call);
  boost::asio::awaitable<HttpResponse> Watch(HttpExchange& exchange);
  HttpResponse Run(const HttpRequest& request, StoreCall call);
  HttpResponse Get(const ObjectKey& key) const;
  HttpResponse Put(const HttpRequest& request, const ObjectKey& key);
  HttpResponse Delete(const HttpRequest& request, const ObjectKey& key);
  HttpResponse List(const HttpRequest& request) const;
  /// Calls for tests and operators of the stand-in; faults spare them.
  HttpResponse Control(const HttpRequest& request);
  HttpResponse SetFaults(const std::string& body);
  HttpResponse SetVms(const std::string& body);
  bool Happens(uint32_t per_mille);
  void EndWatches();

  FakePlatform m_platform;
  HttpServer m_server;
  PlatformFaults m_faults;
  std::mt19937_64 m_random;
  StoreCallCounts m_calls;
  std::set<ChangeWait*> m_watches;
};

}  // namespace cowslip

#endif  // UTILITIES_STANDINS_PLATFORM_PLATFORM_SERVER_H_
