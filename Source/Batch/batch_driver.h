#ifndef SOURCE_BATCH_BATCH_DRIVER_H_
#define SOURCE_BATCH_BATCH_DRIVER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Base/ids.h"
#include "Base/result.h"
#include "Base/time.h"
#include "Batch/batch_input.h"
#include "Batch/batch_keys.h"
#include "Batch/batch_messages.h"
#include "Batch/batch_reader.h"
#include "Batch/fair_share_scheduler.h"
#include "Batch/partition_core.h"

namespace cowslip {

class ItemDispatcher;
class ObjectStore;

/// \class BatchDriverOptions
/// \brief The identity of this process and the limits on batch work.
struct BatchDriverOptions {
  VmId self;
  Incarnation incarnation;
  /// Must be the same on every VM, and must never change.
  uint32_t partitions = kBatchPartitions;
  BatchLimits limits;
  /// Options of every partition; the driver sets the fields `partition`,
  /// `self`, `incarnation` and `wall_clock_offset_ms`.
  PartitionOptions partition;
  FairShareOptions fair_share;
  Duration tick = std::chrono::milliseconds(50);
  /// How long a request waits for a partition's owner.
  Duration request_timeout = std::chrono::seconds(25);
  /// How long one attempt of an item may take.
  Duration item_timeout = std::chrono::minutes(10);
  /// How much longer the driver waits for the dispatcher to report that an
  /// attempt has ended.
  Duration item_grace_period = std::chrono::seconds(30);
  /// A job's deadline when the caller gives none.
  Duration default_deadline = std::chrono::hours(24);
  /// Input segments kept in memory, up to a megabyte each.
  size_t input_segments = 32;
  /// Jobs that may be uploaded at a time; further ones are refused with
  /// kRateLimited.
  size_t max_uploads = 4;
};

/// \class SubmitOptions
/// \brief The caller's options for a job.
struct SubmitOptions {
  /// Route of the items that specify none.
  RouteId route;
  /// Time from now until the results are due.
  std::optional<Duration> deadline;
  /// Runs after the organisation's other jobs while its deadline is far.
  bool bulk = false;
};

/// \class BatchCounters
/// \brief Values for metrics; counts are since the start of the process.
struct BatchCounters {
  PartitionCounters partitions;
  uint64_t owned_partitions = 0;
  uint64_t running_items = 0;
  uint64_t jobs_submitted = 0;
  uint64_t requests_forwarded = 0;
  uint64_t reads_without_owner = 0;
};

/// \class BatchDriver
/// \brief Accepts batch jobs on this VM, owns some partitions, and runs their
/// items through an ItemDispatcher.
///
/// All methods must be called on the io_context's thread. `store` and
/// `dispatcher` must outlive the last handler that the io_context runs.
class BatchDriver {
 public:
  /// Sends a frame on kBatchChannel. Returns false when it is known that
  /// nothing was sent.
  using SendPeer = std::function<bool(const VmId& peer, const std::string&)>;

  BatchDriver(boost::asio::io_context& context,
              ObjectStore& store,
              BatchDriverOptions options,
              SendPeer send_peer,
              ItemDispatcher& dispatcher);
  ~BatchDriver();
  BatchDriver(const BatchDriver&) = delete;
  BatchDriver& operator=(const BatchDriver&) = delete;

  void Start();

  /// Accepts a job, or finds the one that was accepted earlier under this key.
  /// Completes once the job is in the store. Errors: kInvalidArgument,
  /// kTooLarge (nothing is stored), kConflict (the key belongs to another
  /// body), kNotFound and kPermissionDenied (route), kRateLimited,
  /// kUnavailable, kInDoubt (send it again under the same key). `jsonl` must
  /// outlive the call.
  boost::asio::awaitable<Result<JobView>> Submit(OrganisationId organisation,
                                                 std::string idempotency_key,
                                                 const std::string& jsonl,
                                                 SubmitOptions options);
  /// Errors: kNotFound, kUnavailable.
  boost::asio::awaitable<Result<JobView>> Get(OrganisationId organisation,
                                              JobId job);
  /// Outcomes from the `after`th on. Errors: kNotFound, kUnavailable.
  boost::asio::awaitable<Result<ResultsPage>>
  Results(OrganisationId organisation, JobId job, uint64_t after, size_t limit);
  /// Cancels a job permanently. Completes once the cancellation is in the
  /// store. A job that has already ended is left unchanged. Errors: kNotFound,
  /// kUnavailable, kInDoubt.
  boost::asio::awaitable<Result<JobView>> Cancel(OrganisationId organisation,
                                                 JobId job);
  /// Lists jobs of one or of all organisations, running ones first.
  boost::asio::awaitable<Result<std::vector<JobView>>> List(
      std::optional<OrganisationId> organisation,
      size_t limit);

  void OnPeerFrame(const VmId& peer, const std::string& cbor);
  void OnPeerDown(const VmId& peer);
  /// The live entries that are not leaving, this one included.
  void OnMembers(std::vector<VmId> members);
  void SetWeight(const OrganisationId& organisation, double weight);
  /// Must be called when the dispatcher may have capacity again.
  void OnCapacityAvailable();

  /// Lets running items finish and releases every partition.
  boost::asio::awaitable<void> Drain();
  void Stop();

  BatchCounters counters() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslip

#endif  // SOURCE_BATCH_BATCH_DRIVER_H_
