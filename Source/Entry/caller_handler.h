#ifndef SOURCE_ENTRY_CALLER_HANDLER_H_
#define SOURCE_ENTRY_CALLER_HANDLER_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include <boost/asio/awaitable.hpp>

#include "Access/access.h"
#include "Base/ids.h"
#include "Entry/request_driver.h"
#include "Net/http_message.h"

namespace cowslip {

class HttpExchange;
class ResponseQueue;
class Snapshot;

/// Answers a request on `/v1/batches` for an authenticated organisation.
using BatchHandler =
    std::function<boost::asio::awaitable<HttpResponse>(const HttpRequest&,
                                                       OrganisationId)>;

/// \class CallerHandler
/// \brief Serves callers: finds the route, checks the key on every request,
/// and passes the response on as it comes.
class CallerHandler {
 public:
  /// `keys_trusted` says whether keyed routes may be served now; it is asked
  /// for each request.
  CallerHandler(RequestDriver& requests,
                BatchHandler batches,
                std::function<bool()> keys_trusted);

  /// Puts a new configuration in force and cuts the requests that it no longer
  /// allows.
  void SetSnapshot(std::shared_ptr<const Snapshot> snapshot);
  /// Cuts the running requests of keyed routes when keys are not trusted; call
  /// it now and then.
  void CutUntrusted();

  boost::asio::awaitable<void> Handle(HttpExchange& exchange);

  /// How long a body may be, decided from the request's head: only a caller
  /// with a good key may send a batch job.
  size_t BodyLimit(const HttpRequest& head) const;
  /// Why a long body was not read, when its key is the reason.
  std::optional<HttpResponse> ExplainLimit(const HttpRequest& head) const;

  /// Online requests that are running.
  size_t running() const { return m_running.size(); }

 private:
  struct Running {
    RouteId route;
    /// Empty on routes open to all.
    std::optional<Allowed> allowed;
  };

  boost::asio::awaitable<void> HandleBatch(HttpExchange& exchange);
  boost::asio::awaitable<void> HandleRoute(HttpExchange& exchange,
                                           const RouteDeclaration& route);
  boost::asio::awaitable<void> Serve(HttpExchange& exchange,
                                     RequestArrived arrival,
                                     Running running);
  boost::asio::awaitable<void> WriteResponse(HttpExchange& exchange,
                                             RequestId request,
                                             ResponseQueue& queue);
  boost::asio::awaitable<bool> WriteEvent(HttpExchange& exchange,
                                          RequestId request,
                                          const ResponseEvent& event);
  std::optional<Problem> Check(const HttpRequest& request,
                               const RouteDeclaration& route,
                               std::optional<Allowed>& allowed) const;

  RequestDriver& m_requests;
  const BatchHandler m_batches;
  const std::function<bool()> m_keys_trusted;
  std::shared_ptr<const Snapshot> m_snapshot;
  std::unordered_map<RequestId, Running> m_running;
};

/// Writes a problem as a whole HTTP response.
HttpResponse ToHttpResponse(const Problem& problem);

}  // namespace cowslip

#endif  // SOURCE_ENTRY_CALLER_HANDLER_H_
