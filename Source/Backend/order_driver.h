#ifndef SOURCE_BACKEND_ORDER_DRIVER_H_
#define SOURCE_BACKEND_ORDER_DRIVER_H_

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Base/ids.h"
#include "Net/http_message.h"

namespace cowslip {

class HttpClient;
class ObjectStore;

/// \class OrderDriverOptions
/// \brief The identity of this process and its clients. The store and the
/// engine's client must outlive the driver.
struct OrderDriverOptions {
  VmId vm;
  Incarnation incarnation;
  ObjectStore* store = nullptr;
  HttpClient* engine = nullptr;
};

/// \class OrderDriver
/// \brief Handles `POST /orders` of controllers and executes OrderCore's
/// actions against the store and the engine.
class OrderDriver {
 public:
  OrderDriver(boost::asio::io_context& context, OrderDriverOptions options);
  ~OrderDriver();
  OrderDriver(const OrderDriver&) = delete;
  OrderDriver& operator=(const OrderDriver&) = delete;

  /// Handles the body `{"order": ..., "fencing": N}`. Responds with the
  /// engine's status, 409 for an old fencing number, 503 if the store is
  /// unavailable (the order was not sent), or 502 if the engine's response was
  /// lost (the order may have been applied).
  boost::asio::awaitable<HttpResponse> HandleOrder(std::string body);

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslip

#endif  // SOURCE_BACKEND_ORDER_DRIVER_H_
