#ifndef SOURCE_ENTRY_OPERATOR_JOBS_H_
#define SOURCE_ENTRY_OPERATOR_JOBS_H_

#include <optional>

#include <boost/asio/awaitable.hpp>

#include "Base/ids.h"
#include "Base/result.h"
#include "Batch/batch_messages.h"
#include "Net/http_message.h"

namespace cowslip {

class BatchDriver;

/// \class OperatorJobs
/// \brief Serves batch jobs of every organisation on the operators' port.
///
/// - `GET /jobs?organisation=O` lists `{"jobs": [JobView]}`
/// - `GET /jobs/ID` shows one
/// - `POST /jobs/ID/cancel` cancels one
class OperatorJobs {
 public:
  explicit OperatorJobs(BatchDriver& batch);

  boost::asio::awaitable<HttpResponse> Handle(const HttpRequest& request);

 private:
  boost::asio::awaitable<Result<JobView>> Find(JobId job);
  boost::asio::awaitable<HttpResponse> List(
      std::optional<OrganisationId> organisation);
  boost::asio::awaitable<HttpResponse> Cancel(JobId job);

  BatchDriver& m_batch;
};

}  // namespace cowslip

#endif  // SOURCE_ENTRY_OPERATOR_JOBS_H_
