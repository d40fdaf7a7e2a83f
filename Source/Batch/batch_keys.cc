#include "Batch/batch_keys.h"

#include <cstdio>

namespace cowslip {

namespace {

std::string ZeroPadded(uint64_t number, int width) {
  char text[24];
  std::snprintf(text, sizeof(text), "%0*llu", width,
                static_cast<unsigned long long>(number));
  return text;
}

std::string PartitionPrefix(PartitionId partition) {
  return "batch/" + ZeroPadded(partition.value(), 2) + "/";
}

}  // namespace

PartitionId PartitionOf(const JobId& job, uint32_t partitions) {
  // FNV-1a, because the result must be the same on every VM and in every
  // version.
  uint64_t hash = 14695981039346656037ULL;
  for (const char c : job.value()) {
    hash = (hash ^ static_cast<uint8_t>(c)) * 1099511628211ULL;
  }
  return PartitionId(static_cast<uint32_t>((hash >> 16) % partitions));
}

std::string InputSegmentKey(PartitionId partition,
                            const JobId& job,
                            const Digest& body_digest,
                            uint32_t segment) {
  return PartitionPrefix(partition) + "input/" + job.value() + "/" +
         body_digest.value().substr(0, 16) + "/" + ZeroPadded(segment, 5);
}

std::string JournalSlotKey(PartitionId partition, JournalSequence sequence) {
  return PartitionPrefix(partition) + "journal/" +
         ZeroPadded(sequence.value() % kJournalSlots, 2);
}

std::string CheckpointKey(PartitionId partition) {
  return PartitionPrefix(partition) + "checkpoint";
}

std::string OutputSegmentKey(PartitionId partition, const SegmentRef& segment) {
  return PartitionPrefix(partition) + "output/" +
         std::to_string(segment.epoch.value()) + "-" +
         ZeroPadded(segment.number, 5);
}

std::string EndedJobPrefix(PartitionId partition) {
  return PartitionPrefix(partition) + "ended/";
}

std::string EndedJobKey(PartitionId partition, const JobId& job) {
  return EndedJobPrefix(partition) + job.value();
}

}  // namespace cowslip
