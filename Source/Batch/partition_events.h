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

/// One call to the store, numbered by the core. Results of calls that the core
/// no longer waits for are ignored.
using StoreCallId = StrongNumber<struct StoreCallIdTag, uint64_t>;
/// One request of a caller, which waits for a reply.
using BatchRequestId = StrongNumber<struct BatchRequestIdTag, uint64_t>;
/// One dispatch of one item by one owner.
using DispatchId = StrongNumber<struct DispatchIdTag, uint64_t>;

// Results of store writes.

/// \class Written
/// \brief The write took effect and made this version.
struct Written {
  ObjectVersion version;
};
/// \class WriteConflict
/// \brief The object did not have the expected version.
struct WriteConflict {};
/// \class WriteInDoubt
/// \brief The write may have taken effect, or may still do so.
struct WriteInDoubt {};
/// \class WriteFailed
/// \brief The write is known to have had no effect.
struct WriteFailed {};
using WriteResult =
    std::variant<Written, WriteConflict, WriteInDoubt, WriteFailed>;

// Events.

/// \class Tick
/// \brief The periodic timer has fired.
struct Tick {};
/// \class AssignmentChanged
/// \brief Whether this VM should own the partition, according to the membership
/// that it sees.
struct AssignmentChanged {
  bool assigned = false;
};
/// \class DrainRequested
/// \brief The process is shutting down: finish running items, then release the
/// partition.
struct DrainRequested {};
/// \class ReadCompleted
/// \brief The result of ReadCheckpoint or ReadSlot.
struct ReadCompleted {
  StoreCallId call;
  /// False when the read failed. A missing object does not count as a failure.
  bool succeeded = false;
  /// Empty when the object does not exist.
  std::optional<std::string> bytes;
  ObjectVersion version;
};
/// \class WriteCompleted
/// \brief The result of AppendRecord, WriteObjects or WriteCheckpoint.
struct WriteCompleted {
  StoreCallId call;
  WriteResult result;
};
/// \class EndedJobReadCompleted
/// \brief The result of ReadEndedJob.
struct EndedJobReadCompleted {
  StoreCallId call;
  JobId job;
  bool succeeded = false;
  std::optional<std::string> bytes;
};
/// \class SubmitRequested
/// \brief A caller submits a job; its input segments are in the store.
struct SubmitRequested {
  BatchRequestId request;
  JobHeader header;
};
/// \class ViewRequested
/// \brief A caller asks for the state of a job.
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
/// \brief There is capacity for one more item, and the scheduler picked this
/// job.
struct DispatchNext {
  JobId job;
};
/// \class ItemResultReceived
/// \brief The result of a dispatched item.
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
/// \brief Read the partition's checkpoint.
struct ReadCheckpoint {
  StoreCallId call;
};
/// \class ReadSlot
/// \brief Read the journal slot of a sequence number.
struct ReadSlot {
  StoreCallId call;
  JournalSequence sequence;
};
/// \class AppendRecord
/// \brief Write a journal slot if it has the expected version; without one, if
/// it is absent.
struct AppendRecord {
  StoreCallId call;
  JournalSequence sequence;
  std::string bytes;
  std::optional<ObjectVersion> expected_version;
};
/// \class ObjectWrite
/// \brief One unconditional write.
struct ObjectWrite {
  std::string key;
  std::string bytes;
};
/// \class WriteObjects
/// \brief Write all objects; the result is Written only when every write took
/// effect.
struct WriteObjects {
  StoreCallId call;
  std::vector<ObjectWrite> writes;
};
/// \class WriteCheckpoint
/// \brief Write the checkpoint if it has the expected version; without one, if
/// it is absent.
struct WriteCheckpoint {
  StoreCallId call;
  std::string bytes;
  std::optional<ObjectVersion> expected_version;
};
/// \class ReadEndedJob
/// \brief Read a job that may have ended and been moved out of the partition's
/// state.
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
/// \brief Stop a dispatched item; its result is ignored.
struct CancelItem {
  DispatchId dispatch;
  JobId job;
  uint32_t item = 0;
};
/// \class ReplyWithJob
/// \brief Reply to a request with the state of a job.
struct ReplyWithJob {
  BatchRequestId request;
  JobView view;
};
/// \class ReplyWithError
/// \brief Reply to a request with an error.
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
