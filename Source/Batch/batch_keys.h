#ifndef SOURCE_BATCH_BATCH_KEYS_H_
#define SOURCE_BATCH_BATCH_KEYS_H_

#include <cstdint>
#include <string>

#include "Base/ids.h"
#include "Batch/batch_messages.h"

namespace cowslip {

/// The number of partitions of a fleet. It must not change, because it
/// determines the partition, and with it the store keys, of every job.
inline constexpr uint32_t kBatchPartitions = 64;
/// The number of journal slots of a partition. Records are written to them in
/// turn, as a ring.
inline constexpr uint32_t kJournalSlots = 64;
/// The most bytes of one input or output segment or one journal record. The
/// platform stores at most a megabyte per object; the difference leaves room
/// for the encoding.
inline constexpr size_t kMaxSegmentBytes = 900 * 1024;

/// Returns the partition of a job. The result is the same on every VM.
PartitionId PartitionOf(const JobId& job, uint32_t partitions);

/// `batch/07/input/JOB/DIGEST/00003`. The digest separates concurrent
/// submissions of different bodies under one idempotency key.
std::string InputSegmentKey(PartitionId partition,
                            const JobId& job,
                            const Digest& body_digest,
                            uint32_t segment);
/// `batch/07/journal/12`: the slot of the record with that sequence number.
std::string JournalSlotKey(PartitionId partition, JournalSequence sequence);
/// `batch/07/checkpoint`.
std::string CheckpointKey(PartitionId partition);
/// `batch/07/output/5-00012`: epoch and number.
std::string OutputSegmentKey(PartitionId partition, const SegmentRef& segment);
/// `batch/07/ended/JOB`: the state of a job that has ended.
std::string EndedJobKey(PartitionId partition, const JobId& job);
/// The prefix of all ended jobs of a partition.
std::string EndedJobPrefix(PartitionId partition);

}  // namespace cowslip

#endif  // SOURCE_BATCH_BATCH_KEYS_H_
