#ifndef SOURCE_BATCH_PARTITION_RUNNER_H_
#define SOURCE_BATCH_PARTITION_RUNNER_H_

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Base/result.h"
#include "Batch/partition_core.h"

namespace cowslip {

class ObjectStore;

/// \class PartitionCallbacks
/// \brief Receivers of a partition's actions that are not store calls.
struct PartitionCallbacks {
  std::function<void(const DispatchItem&)> dispatch;
  std::function<void(const CancelItem&)> cancel;
  std::function<void(BatchRequestId, Result<JobView>)> reply;
};

/// \class PartitionRunner
/// \brief Executes the actions of one PartitionCore and feeds the results of
/// store calls back to it.
class PartitionRunner : public std::enable_shared_from_this<PartitionRunner> {
 public:
  PartitionRunner(boost::asio::io_context& context,
                  ObjectStore& store,
                  PartitionOptions options,
                  PartitionCallbacks callbacks);

  void Feed(PartitionEvent event);
  /// After this, events are ignored and no callback is called.
  void Stop() { m_stopped = true; }

  PartitionCore& core() { return m_core; }

 private:
  void ApplyAction(const ReadCheckpoint& action);
  void ApplyAction(const ReadSlot& action);
  void ApplyAction(AppendRecord& action);
  void ApplyAction(WriteObjects& action);
  void ApplyAction(WriteCheckpoint& action);
  void ApplyAction(const ReadEndedJob& action);
  void ApplyAction(const DispatchItem& action);
  void ApplyAction(const CancelItem& action);
  void ApplyAction(const ReplyWithJob& action);
  void ApplyAction(const ReplyWithError& action);

  boost::asio::awaitable<void> Read(StoreCallId call, std::string key);
  boost::asio::awaitable<void> ReadEnded(ReadEndedJob action);
  boost::asio::awaitable<void> Write(
      StoreCallId call,
      std::string key,
      std::string bytes,
      std::optional<ObjectVersion> expected_version);
  boost::asio::awaitable<void> WriteAll(WriteObjects action);
  void Spawn(boost::asio::awaitable<void> work);

  boost::asio::io_context& m_context;
  ObjectStore& m_store;
  const PartitionId m_partition;
  const PartitionCallbacks m_callbacks;
  PartitionCore m_core;
  bool m_stopped = false;
};

}  // namespace cowslip

#endif  // SOURCE_BATCH_PARTITION_RUNNER_H_
