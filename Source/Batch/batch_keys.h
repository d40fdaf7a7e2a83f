#ifndef SOURCE_BATCH_BATCH_KEYS_H_
#define SOURCE_BATCH_BATCH_KEYS_H_

#include <cstdint>
#include <string>

#include "Base/ids.h"
#include "Batch/batch_messages.h"

namespace cowslip {

/// How many partitions a fleet has. Fixed: it decides where a job is found.
inline constexpr uint32_t kBatchPartitions = 64;
/// Journal records that a partition keeps; the slots are written in turn.
inline constexpr uint32_t kJournalSlots = 64;
/// The most bytes of one input or output segment or one journal record. The
/// platform holds a megabyte; the rest is for the encoding around it.
inline constexpr size_t kMaxSegmentBytes = 900 * 1024;

/// The partition that a job belongs to, on every VM.
PartitionId PartitionOf(const JobId& job, uint32_t partitions);

/// `batch/07/input/JOB/DIGEST/00003`. The digest keeps two bodies that race
/// under one idempotency key apart.
std::string InputSegmentKey(PartitionId partition,
                            const JobId& job,
                            const Digest& body_digest,
                            uint32_t segment);
/// `batch/07/journal/12`: the slot of that sequence.
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
