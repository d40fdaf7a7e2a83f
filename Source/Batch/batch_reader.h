#ifndef SOURCE_BATCH_BATCH_READER_H_
#define SOURCE_BATCH_BATCH_READER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "Base/ids.h"
#include "Base/result.h"
#include "Batch/batch_messages.h"
#include "Batch/partition_state.h"

namespace cowslip {

class ObjectStore;

/// \class ResultsPage
/// \brief A page of a job's outcomes, in commit order.
struct ResultsPage {
  JobView job;
  std::vector<ItemOutcome> outcomes;
  /// The start of the next page, which may be empty so far.
  uint64_t next = 0;
  /// True when no more outcomes will come after `next`.
  bool complete = false;
};

/// \class BatchReader
/// \brief Reads jobs and results directly from the store. Works on any VM and
/// without the owner of the partition.
///
/// Errors of all methods: those of ObjectStore; kNotFound for an unknown job.
class BatchReader {
 public:
  /// `store` must outlive the reader.
  BatchReader(ObjectStore& store, uint32_t partitions);

  /// Rebuilds a partition's state from its checkpoint and journal.
  boost::asio::awaitable<Result<PartitionState>> ReadPartition(
      PartitionId partition);
  /// Reads a job that has ended and was moved out of the partition's state.
  boost::asio::awaitable<Result<JobState>> ReadEndedJob(JobId job);
  /// Reads a job, running or ended.
  boost::asio::awaitable<Result<JobState>> ReadJob(JobId job);
  /// Reads up to `limit` outcomes from `after` on, from one segment at most.
  boost::asio::awaitable<Result<ResultsPage>> ReadResults(JobState job,
                                                          uint64_t after,
                                                          size_t limit);
  /// Reads up to `limit` ended jobs of a partition.
  boost::asio::awaitable<Result<std::vector<JobState>>> ListEnded(
      PartitionId partition,
      size_t limit);

 private:
  boost::asio::awaitable<Result<std::optional<PartitionState>>>
  TryReadPartition(PartitionId partition);

  ObjectStore& m_store;
  const uint32_t m_partitions;
};

}  // namespace cowslip

#endif  // SOURCE_BATCH_BATCH_READER_H_
