#ifndef SOURCE_ENTRY_ADMIN_HANDLER_H_
#define SOURCE_ENTRY_ADMIN_HANDLER_H_

#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <nlohmann/json.hpp>

#include "Net/http_message.h"
#include "Routing/crash_registry.h"

namespace cowslip {

class HttpExchange;

/// \class AdminHooks
/// \brief What the operators' port shows and does.
struct AdminHooks {
  /// Empty when callers may be sent here; else why not.
  std::function<std::string()> why_not_ready;
  std::function<nlohmann::json()> status;
  std::function<std::string()> metrics;
  /// Serves `/jobs` and below.
  std::function<boost::asio::awaitable<HttpResponse>(const HttpRequest&)> jobs;
  std::function<boost::asio::awaitable<bool>(Fingerprint)> release;
};

/// \class AdminHandler
/// \brief Serves operators and scrapers: `/healthz`, `/readyz`, `/metrics`,
/// `/status`, `/jobs` and `DELETE /quarantine/FINGERPRINT`.
class AdminHandler {
 public:
  explicit AdminHandler(AdminHooks hooks);

  boost::asio::awaitable<void> Handle(HttpExchange& exchange);

 private:
  boost::asio::awaitable<HttpResponse> Answer(const HttpRequest& request);
  HttpResponse Readiness() const;
  boost::asio::awaitable<HttpResponse> Release(const std::string& path);

  const AdminHooks m_hooks;
};

}  // namespace cowslip

#endif  // SOURCE_ENTRY_ADMIN_HANDLER_H_
