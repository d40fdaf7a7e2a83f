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
/// \brief Some outcomes of a job, in the order of their commits.
struct ResultsPage {
  JobView job;
  std::vector<ItemOutcome> outcomes;
  /// Where the next page begins; it may still be empty.
  uint64_t next = 0;
  /// True when no more outcomes will come after `next`.
  bool complete = false;
};

/// \class BatchReader
/// \brief Reads jobs and results straight from the store, on any VM and
/// without the owner.
///
/// Errors of every call: those of ObjectStore; kNotFound for an unknown job.
class BatchReader {
 public:
  /// `store` must outlive the reader.
  BatchReader(ObjectStore& store, uint32_t partitions);

  /// Adds up a partition's checkpoint and journal.
  boost::asio::awaitable<Result<PartitionState>> ReadPartition(
      PartitionId partition);
  /// A job that has ended and left the partition's state.
  boost::asio::awaitable<Result<JobState>> ReadEndedJob(JobId job);
  /// A job, running or ended.
  boost::asio::awaitable<Result<JobState>> ReadJob(JobId job);
  /// Up to `limit` outcomes from `after` on; never more than one segment's.
  boost::asio::awaitable<Result<ResultsPage>> ReadResults(JobState job,
                                                          uint64_t after,
                                                          size_t limit);
  /// Up to `limit` ended jobs of a partition.
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
