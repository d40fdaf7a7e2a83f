#include "Batch/batch_reader.h"

#include <algorithm>
#include <utility>

#include "Batch/batch_keys.h"
#include "Platform/object_store.h"

namespace cowslip {

using boost::asio::awaitable;

namespace {

// An attempt fails when the owner wraps around the journal during the read.
// This many failures in a row would take more writes than one partition ever
// makes.
constexpr int kReadAttempts = 5;

Error JobNotFoundError() {
  return {ErrorKind::kNotFound,
          "There is no such job. Check its id, and use the key of the "
          "organisation that created it."};
}

// Appends to `page` the outcomes at positions [after, after + limit); the first
// of `outcomes` has position `first`.
void CopyRange(std::vector<ItemOutcome> outcomes,
               uint64_t first,
               uint64_t after,
               size_t limit,
               std::vector<ItemOutcome>& page) {
  const uint64_t begin = after - first;
  const uint64_t end = std::min<uint64_t>(outcomes.size(), begin + limit);
  for (uint64_t i = begin; i < end; ++i) {
    page.push_back(std::move(outcomes[i]));
  }
}

}  // namespace

BatchReader::BatchReader(ObjectStore& store, uint32_t partitions)
    : m_store(store), m_partitions(partitions) {}

awaitable<Result<PartitionState>> BatchReader::ReadPartition(
    PartitionId partition) {
  for (int attempt = 0; attempt < kReadAttempts; ++attempt) {
    auto state = co_await TryReadPartition(partition);
    if (!state.has_value()) {
      co_return state.error();
    }
    if (state.value()) {
      co_return std::move(*state.value());
    }
  }
  co_return Error(ErrorKind::kUnavailable,
                  "The job's journal is changing quickly. Ask again.");
}

awaitable<Result<std::optional<PartitionState>>> BatchReader::TryReadPartition(
    PartitionId partition) {
  PartitionState state;
  const ObjectKey checkpoint_key(CheckpointKey(partition));
  const auto stored = co_await m_store.Get(checkpoint_key);
  if (stored.has_value()) {
    auto checkpoint = DecodeCheckpoint(stored.value().value);
    if (!checkpoint.has_value()) {
      co_return checkpoint.error();
    }
    state = std::move(checkpoint.value().state);
  } else if (stored.error().kind() != ErrorKind::kNotFound) {
    co_return stored.error();
  }
  while (true) {
    const ObjectKey key(JournalSlotKey(partition, state.next));
    const auto slot = co_await m_store.Get(key);
    if (!slot.has_value()) {
      if (slot.error().kind() == ErrorKind::kNotFound) {
        co_return std::move(state);
      }
      co_return slot.error();
    }
    const auto record = DecodeRecord(slot.value().value);
    if (!record.has_value()) {
      co_return record.error();
    }
    if (record.value().sequence > state.next) {
      co_return std::nullopt;
    }
    if (record.value().sequence < state.next) {
      co_return std::move(state);
    }
    state.Apply(record.value());
  }
}

awaitable<Result<JobState>> BatchReader::ReadEndedJob(JobId job) {
  const ObjectKey key(EndedJobKey(PartitionOf(job, m_partitions), job));
  const auto stored = co_await m_store.Get(key);
  if (!stored.has_value()) {
    if (stored.error().kind() == ErrorKind::kNotFound) {
      co_return JobNotFoundError();
    }
    co_return stored.error();
  }
  co_return DecodeJob(stored.value().value);
}

awaitable<Result<JobState>> BatchReader::ReadJob(JobId job) {
  auto ended = co_await ReadEndedJob(job);
  const bool found_or_failed =
      ended.has_value() || ended.error().kind() != ErrorKind::kNotFound;
  if (found_or_failed) {
    co_return ended;
  }
  auto partition = co_await ReadPartition(PartitionOf(job, m_partitions));
  if (!partition.has_value()) {
    co_return partition.error();
  }
  if (JobState* state = partition.value().Find(job)) {
    co_return std::move(*state);
  }
  // The job may have ended and been moved between the two reads.
  co_return co_await ReadEndedJob(job);
}

awaitable<Result<ResultsPage>> BatchReader::ReadResults(JobState job,
                                                        uint64_t after,
                                                        size_t limit) {
  ResultsPage page{.job = job.View()};
  const PartitionId partition = PartitionOf(job.header.job, m_partitions);
  uint64_t first = 0;
  bool found = false;
  for (const SegmentRef& segment : job.segments) {
    if (after < first + segment.count) {
      const ObjectKey key(OutputSegmentKey(partition, segment));
      const auto stored = co_await m_store.Get(key);
      if (!stored.has_value()) {
        co_return stored.error();
      }
      auto outcomes = DecodeSegment(stored.value().value, job.header.job);
      if (!outcomes.has_value()) {
        co_return outcomes.error();
      }
      CopyRange(std::move(outcomes.value()), first, after, limit,
                page.outcomes);
      found = true;
      break;
    }
    first += segment.count;
  }
  if (!found && after >= first && after < first + job.unflushed.size()) {
    CopyRange(std::move(job.unflushed), first, after, limit, page.outcomes);
  }
  page.next = after + page.outcomes.size();
  const uint64_t committed = uint64_t{job.succeeded} + job.failed;
  page.complete = !job.running() && page.next >= committed;
  co_return page;
}

awaitable<Result<std::vector<JobState>>> BatchReader::ListEnded(
    PartitionId partition,
    size_t limit) {
  const std::string prefix = EndedJobPrefix(partition);
  const auto listed = co_await m_store.List(prefix, ObjectKey(), limit);
  if (!listed.has_value()) {
    co_return listed.error();
  }
  std::vector<JobState> jobs;
  for (const ListedObject& object : listed.value()) {
    const auto stored = co_await m_store.Get(object.key);
    if (!stored.has_value()) {
      co_return stored.error();
    }
    auto job = DecodeJob(stored.value().value);
    if (job.has_value()) {
      jobs.push_back(std::move(job.value()));
    }
  }
  co_return jobs;
}

}  // namespace cowslip
