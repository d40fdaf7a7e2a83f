#include "Batch/partition_runner.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Base/log.h"
#include "Batch/batch_keys.h"
#include "Platform/object_store.h"

namespace cowslip {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

WriteResult ToWriteResult(const Result<ObjectVersion>& written) {
  if (written.has_value()) {
    return Written{.version = written.value()};
  }
  switch (written.error().kind()) {
    case ErrorKind::kConflict:
      return WriteConflict{};
    case ErrorKind::kUnavailable:
      return WriteFailed{};
    case ErrorKind::kTooLarge:
      LOG(ERROR) << "batch: a record is too large for the store: "
                 << written.error();
      return WriteFailed{};
    default:
      return WriteInDoubt{};
  }
}

Precondition ToPrecondition(std::optional<ObjectVersion> version) {
  if (version) {
    return IfVersion{.version = *version};
  }
  return IfAbsent{};
}

}  // namespace

PartitionRunner::PartitionRunner(asio::io_context& context,
                                 ObjectStore& store,
                                 PartitionOptions options,
                                 PartitionCallbacks callbacks)
    : m_context(context),
      m_store(store),
      m_partition(options.partition),
      m_callbacks(std::move(callbacks)),
      m_core(std::move(options)) {}

void PartitionRunner::Feed(PartitionEvent event) {
  if (m_stopped) {
    return;
  }
  auto actions = m_core.Handle(std::move(event), MonotonicClock::now());
  for (PartitionAction& action : actions) {
    std::visit([this](auto& alternative) { ApplyAction(alternative); }, action);
  }
}

void PartitionRunner::Spawn(awaitable<void> work) {
  // The handler keeps the runner alive until the store call has ended.
  asio::co_spawn(m_context, std::move(work),
                 [self = shared_from_this()](const std::exception_ptr& error) {
                   if (error) {
                     LOG(ERROR) << "batch: a store call threw an exception.";
                   }
                 });
}

void PartitionRunner::ApplyAction(const ReadCheckpoint& action) {
  Spawn(Read(action.call, CheckpointKey(m_partition)));
}

void PartitionRunner::ApplyAction(const ReadSlot& action) {
  Spawn(Read(action.call, JournalSlotKey(m_partition, action.sequence)));
}

void PartitionRunner::ApplyAction(AppendRecord& action) {
  Spawn(Write(action.call, JournalSlotKey(m_partition, action.sequence),
              std::move(action.bytes), action.expected_version));
}

void PartitionRunner::ApplyAction(WriteObjects& action) {
  Spawn(WriteAll(std::move(action)));
}

void PartitionRunner::ApplyAction(WriteCheckpoint& action) {
  Spawn(Write(action.call, CheckpointKey(m_partition), std::move(action.bytes),
              action.expected_version));
}

void PartitionRunner::ApplyAction(const ReadEndedJob& action) {
  Spawn(ReadEnded(action));
}

void PartitionRunner::ApplyAction(const DispatchItem& action) {
  m_callbacks.dispatch(action);
}

void PartitionRunner::ApplyAction(const CancelItem& action) {
  m_callbacks.cancel(action);
}

void PartitionRunner::ApplyAction(const ReplyWithJob& action) {
  m_callbacks.reply(action.request, action.view);
}

void PartitionRunner::ApplyAction(const ReplyWithError& action) {
  m_callbacks.reply(action.request, action.error);
}

awaitable<void> PartitionRunner::Read(StoreCallId call, std::string key) {
  const ObjectKey object_key(std::move(key));
  auto stored = co_await m_store.Get(object_key);
  ReadCompleted result{.call = call};
  if (stored.has_value()) {
    result.succeeded = true;
    result.bytes = std::move(stored.value().value);
    result.version = stored.value().version;
  } else {
    result.succeeded = stored.error().kind() == ErrorKind::kNotFound;
  }
  Feed(std::move(result));
}

awaitable<void> PartitionRunner::ReadEnded(ReadEndedJob action) {
  const ObjectKey key(EndedJobKey(m_partition, action.job));
  auto stored = co_await m_store.Get(key);
  EndedJobReadCompleted result{.call = action.call, .job = action.job};
  if (stored.has_value()) {
    result.succeeded = true;
    result.bytes = std::move(stored.value().value);
  } else {
    result.succeeded = stored.error().kind() == ErrorKind::kNotFound;
  }
  Feed(std::move(result));
}

awaitable<void> PartitionRunner::Write(
    StoreCallId call,
    std::string key,
    std::string bytes,
    std::optional<ObjectVersion> expected_version) {
  const ObjectKey object_key(std::move(key));
  const Precondition precondition = ToPrecondition(expected_version);
  const auto written =
      co_await m_store.Put(object_key, std::move(bytes), precondition);
  Feed(WriteCompleted{.call = call, .result = ToWriteResult(written)});
}

awaitable<void> PartitionRunner::WriteAll(WriteObjects action) {
  WriteResult last = Written{};
  for (ObjectWrite& write : action.writes) {
    const ObjectKey key(write.key);
    const Precondition precondition = Unconditional{};
    const auto written =
        co_await m_store.Put(key, std::move(write.bytes), precondition);
    if (!written.has_value()) {
      last = WriteFailed{};
      break;
    }
  }
  Feed(WriteCompleted{.call = action.call, .result = last});
}

}  // namespace cowslip
