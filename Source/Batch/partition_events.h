#ifndef SOURCE_BATCH_PARTITION_EVENTS_H_
#define SOURCE_BATCH_PARTITION_EVENTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Base/error.h"
#include "Base/ids.h"
#include "Batch/batch_messages.h"
#include "Batch/item_result.h"

namespace cowslip {

/// One call to the store, numbered by the core; answers to forgotten calls
/// are ignored.
using StoreCallId = StrongNumber<struct StoreCallIdTag, uint64_t>;
/// One request of a caller that waits for a reply.
using BatchRequestId = StrongNumber<struct BatchRequestIdTag, uint64_t>;
/// One dispatch of one item by one owner.
using DispatchId = StrongNumber<struct DispatchIdTag, uint64_t>;

// Answers of the store.

/// \class Written
/// \brief The write took effect and made this version.
struct Written {
  ObjectVersion version;
};
/// \class WriteConflict
/// \brief The object was not at the version named.
struct WriteConflict {};
/// \class WriteInDoubt
/// \brief The write may have taken effect, or may still do so.
struct WriteInDoubt {};
/// \class WriteFailed
/// \brief The write surely had no effect.
struct WriteFailed {};
using WriteResult =
    std::variant<Written, WriteConflict, WriteInDoubt, WriteFailed>;

// Events.

/// \class Tick
/// \brief Time has passed.
struct Tick {};
/// \class AssignmentChanged
/// \brief Whether this VM is the one to own the partition, by the members it
/// sees.
struct AssignmentChanged {
  bool assigned = false;
};
/// \class DrainRequested
/// \brief The process is about to end: finish what runs, then release.
struct DrainRequested {};
/// \class ReadCompleted
/// \brief The answer to ReadCheckpoint or ReadSlot.
struct ReadCompleted {
  StoreCallId call;
  /// False when the store did not answer.
  bool answered = false;
  /// Empty when there is no such object.
  std::optional<std::string> bytes;
  ObjectVersion version;
};
/// \class WriteCompleted
/// \brief The answer to AppendRecord, WriteObjects or WriteCheckpoint.
struct WriteCompleted {
  StoreCallId call;
  WriteResult answer;
};
/// \class EndedJobReadCompleted
/// \brief The answer to ReadEndedJob.
struct EndedJobReadCompleted {
  StoreCallId call;
  JobId job;
  bool answered = false;
  std::optional<std::string> bytes;
};
/// \class SubmitRequested
/// \brief A caller's job; its input segments are in the store.
struct SubmitRequested {
  BatchRequestId request;
  JobHeader header;
};
/// \class ViewRequested
/// \brief A caller asks how a job stands.
struct ViewRequested {
  BatchRequestId request;
  OrganisationId organisation;
  JobId job;
};
/// \class CancelRequested
/// \brief A caller cancels a job.
struct CancelRequested {
  BatchRequestId request;
  OrganisationId organisation;
  JobId job;
};
/// \class DispatchNext
/// \brief There is room for one more item, and it goes to this job.
struct DispatchNext {
  JobId job;
};
/// \class ItemResultReceived
/// \brief A dispatched item's result.
struct ItemResultReceived {
  DispatchId dispatch;
  ItemId custom_id;
  ItemResult result;
};

using PartitionEvent = std::variant<Tick,
                                    AssignmentChanged,
                                    DrainRequested,
                                    ReadCompleted,
                                    WriteCompleted,
                                    EndedJobReadCompleted,
                                    SubmitRequested,
                                    ViewRequested,
                                    CancelRequested,
                                    DispatchNext,
                                    ItemResultReceived>;

// Actions.

/// \class ReadCheckpoint
/// \brief Get the partition's checkpoint.
struct ReadCheckpoint {
  StoreCallId call;
};
/// \class ReadSlot
/// \brief Get the journal slot of a sequence.
struct ReadSlot {
  StoreCallId call;
  JournalSequence sequence;
};
/// \class AppendRecord
/// \brief Put a journal slot, over that version or if absent.
struct AppendRecord {
  StoreCallId call;
  JournalSequence sequence;
  std::string bytes;
  std::optional<ObjectVersion> expected_version;
};
/// \class ObjectWrite
/// \brief One unconditional put.
struct ObjectWrite {
  std::string key;
  std::string bytes;
};
/// \class WriteObjects
/// \brief Put all; answer Written only when every put took effect.
struct WriteObjects {
  StoreCallId call;
  std::vector<ObjectWrite> writes;
};
/// \class WriteCheckpoint
/// \brief Put the checkpoint, over that version or if absent.
struct WriteCheckpoint {
  StoreCallId call;
  std::string bytes;
  std::optional<ObjectVersion> expected_version;
};
/// \class ReadEndedJob
/// \brief Get a job that may have ended and left the partition's state.
struct ReadEndedJob {
  StoreCallId call;
  JobId job;
};
/// \class DispatchItem
/// \brief Run one item.
struct DispatchItem {
  DispatchId dispatch;
  JobHeader header;
  uint32_t item = 0;
  /// From 1.
  uint32_t attempt = 1;
  std::string resume_token;
};
/// \class CancelItem
/// \brief Stop a dispatched item; its result is no longer awaited.
struct CancelItem {
  DispatchId dispatch;
  JobId job;
  uint32_t item = 0;
};
/// \class ReplyWithJob
/// \brief Answer a request.
struct ReplyWithJob {
  BatchRequestId request;
  JobView view;
};
/// \class ReplyWithError
/// \brief Refuse a request.
struct ReplyWithError {
  BatchRequestId request;
  Error error;
};

using PartitionAction = std::variant<ReadCheckpoint,
                                     ReadSlot,
                                     AppendRecord,
                                     WriteObjects,
                                     WriteCheckpoint,
                                     ReadEndedJob,
                                     DispatchItem,
                                     CancelItem,
                                     ReplyWithJob,
                                     ReplyWithError>;

/// \class DispatchCandidate
/// \brief A job with an item that could be dispatched now.
struct DispatchCandidate {
  JobId job;
  OrganisationId organisation;
  bool bulk = false;
  uint32_t remaining = 0;
  MonotonicTime deadline;
};

}  // namespace cowslip

#endif  // SOURCE_BATCH_PARTITION_EVENTS_H_
