#ifndef SOURCE_BATCH_JOB_INGEST_H_
#define SOURCE_BATCH_JOB_INGEST_H_

#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Base/ids.h"
#include "Base/result.h"
#include "Batch/batch_input.h"
#include "Batch/batch_messages.h"

namespace cowslip {

class ItemDispatcher;
class ObjectStore;
struct SubmitOptions;

/// Returns the id of an organisation's job under an idempotency key. The result
/// is the same on every VM.
JobId MakeJobId(const OrganisationId& organisation,
                const std::string& idempotency_key);

/// \class JobIngest
/// \brief Validates a job's text and writes its input segments, before the job
/// is submitted to the owner.
class JobIngest {
 public:
  JobIngest(boost::asio::io_context& context,
            ObjectStore& store,
            ItemDispatcher& dispatcher,
            uint32_t partitions,
            BatchLimits limits);

  /// Parses and validates a job; writes nothing to the store. Errors:
  /// kInvalidArgument, kTooLarge, kNotFound, kPermissionDenied.
  boost::asio::awaitable<Result<JobHeader>> Validate(
      const OrganisationId& organisation,
      const std::string& idempotency_key,
      const std::string& jsonl,
      const SubmitOptions& options,
      BatchInput& input);
  /// Writes the input segments. Errors: kUnavailable.
  boost::asio::awaitable<Result<void>> Upload(const JobHeader& header,
                                              BatchInput input);

 private:
  Result<bool> IsIdempotent(const OrganisationId& organisation,
                            const RouteId& route,
                            const BatchInput& input);
  boost::asio::awaitable<Digest> ComputeDigest(const BatchInput& input,
                                               const SubmitOptions& options);
  boost::asio::awaitable<void> Yield();
  boost::asio::awaitable<Result<void>> PutSegment(const std::string& key,
                                                  std::string segment);

  boost::asio::io_context& m_context;
  ObjectStore& m_store;
  ItemDispatcher& m_dispatcher;
  const uint32_t m_partitions;
  const BatchLimits m_limits;
};

}  // namespace cowslip

#endif  // SOURCE_BATCH_JOB_INGEST_H_
