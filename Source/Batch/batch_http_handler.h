#ifndef SOURCE_BATCH_BATCH_HTTP_HANDLER_H_
#define SOURCE_BATCH_BATCH_HTTP_HANDLER_H_

#include <string>

#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "Base/ids.h"
#include "Base/result.h"
#include "Net/http_message.h"

namespace cowslip {

class BatchDriver;
struct SubmitOptions;

/// \class BatchHttpHandler
/// \brief Maps `/v1/batches` to a BatchDriver, for an authenticated caller.
///
/// - `POST /v1/batches`: JSONL body; headers `Idempotency-Key` (required),
///   `X-Batch-Deadline` (seconds from now), `X-Batch-Class` (`standard`,
///   `bulk`, or one that the route's service declares), `X-Batch-Route`. 201
///   for a new job, 200 for a resubmitted one.
/// - `GET /v1/batches/ID`
/// - `GET /v1/batches/ID/results?after=N&limit=M`
/// - `POST /v1/batches/ID/cancel`
///
/// Errors are RFC 9457 problem details.
class BatchHttpHandler {
 public:
  /// Validates a job against the class that its service declares, and sets the
  /// options that the caller omitted. Errors: kInvalidArgument, kTooLarge.
  using JobClassValidator =
      std::function<Result<void>(const HttpRequest& request,
                                 const std::string& job_class,
                                 SubmitOptions& options)>;

  /// `driver` must outlive the handler.
  BatchHttpHandler(BatchDriver& driver, JobClassValidator validate_class);

  boost::asio::awaitable<HttpResponse> Handle(const HttpRequest& request,
                                              OrganisationId organisation);

 private:
  boost::asio::awaitable<HttpResponse> Submit(const HttpRequest& request,
                                              OrganisationId organisation);
  boost::asio::awaitable<HttpResponse> Get(OrganisationId organisation,
                                           JobId job);
  boost::asio::awaitable<HttpResponse> Results(const HttpRequest& request,
                                               OrganisationId organisation,
                                               JobId job);
  boost::asio::awaitable<HttpResponse> Cancel(OrganisationId organisation,
                                              JobId job);

  BatchDriver& m_driver;
  const JobClassValidator m_validate_class;
};

}  // namespace cowslip

#endif  // SOURCE_BATCH_BATCH_HTTP_HANDLER_H_
