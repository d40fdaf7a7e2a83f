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
/// \brief Whose orders these are. The store and the engine's client outlive
/// the driver.
struct OrderDriverOptions {
  VmId vm;
  Incarnation incarnation;
  ObjectStore* store = nullptr;
  HttpClient* engine = nullptr;
};

/// \class OrderDriver
/// \brief Takes `POST /orders` from deciders and carries OrderCore's actions
/// out against the store and the engine.
class OrderDriver {
 public:
  OrderDriver(boost::asio::io_context& context, OrderDriverOptions options);
  ~OrderDriver();
  OrderDriver(const OrderDriver&) = delete;
  OrderDriver& operator=(const OrderDriver&) = delete;

  /// Takes `{"order": ..., "fencing": N}`. Answers with the engine's status,
  /// 409 for an old number, 503 when the store does not answer (not run), 502
  /// when the engine's answer was lost.
  boost::asio::awaitable<HttpResponse> HandleOrder(std::string body);

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslip

#endif  // SOURCE_BACKEND_ORDER_DRIVER_H_
