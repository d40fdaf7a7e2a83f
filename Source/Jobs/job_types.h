#ifndef SOURCE_JOBS_JOB_TYPES_H_
#define SOURCE_JOBS_JOB_TYPES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Base/ids.h"
#include "Base/time.h"
#include "Fleet/backend_record.h"
#include "Net/http_message.h"

namespace cowslip {

class MemoryShare;

/// \class JobItem
/// \brief One request of a batch job, as it was submitted.
struct JobItem {
  ItemId id;
  /// Path and query of the request.
  std::string target;
  HttpHeaders headers;
  std::string body;
  /// The tokens of the prompt and the maximum output, as the client states
  /// them; nullopt if it does not.
  std::optional<uint64_t> tokens;
};

/// \class ItemProgress
/// \brief How far an unfinished item has got.
struct ItemProgress {
  /// Number of the last event that was received completely; 0 for none.
  uint64_t last_event = 0;
  /// The data of all events up to `last_event`, joined by line feeds.
  std::string output;
  /// The software version of the backend servers that wrote the events; no
  /// other version can resume the item.
  SoftwareVersion version;
  /// The service of these backend servers; versions of different services have
  /// nothing in common but their names. Empty if an earlier release wrote it.
  ServiceId service;
  /// Number of runs that a backend server has failed.
  uint32_t failed_runs = 0;
  /// What the output has of the process's memory, also between two runs; null
  /// if it is not counted.
  std::shared_ptr<MemoryShare> memory;
};

/// The final state of an item.
enum class ItemState { kCompleted, kDeadLettered };

/// \class ItemResult
/// \brief The final result of an item.
struct ItemResult {
  ItemId item;
  ItemState state = ItemState::kCompleted;
  std::string output;
};

/// \class JobDefinition
/// \brief The immutable part of a batch job.
struct JobDefinition {
  JobId id;
  OrganisationId organisation;
  RouteId route;
  std::string host;
  /// The digest of the submitted body; a resubmitted job has the same one.
  Digest digest;
  WallTime submitted;
  /// When the results are due.
  WallTime due;
  /// When the items that have no result yet may be dead-lettered.
  WallTime give_up;
  /// Number of failed runs after which an item is dead-lettered.
  uint32_t max_attempts = 1;
  /// Number of documents that hold the items.
  uint32_t input_segments = 0;
  std::vector<ItemId> items;
  /// The tokens of each of `items`; 0 for those that stated none. Empty in jobs
  /// of earlier releases.
  std::vector<uint64_t> tokens;
  /// When the job was accepted, it could not be finished in time: its items run
  /// in slots that those which can be in time leave.
  bool spare_slots_only = false;
  /// The job's record was written before the job was accepted, see
  /// JobRecord::IsAccepted().
  bool offered = false;
  /// The process that accepted the job and is its first owner.
  VmId accepted_by;
  Incarnation accepted_incarnation;
};

/// \class JobStatus
/// \brief The mutable part of a batch job, apart from its results.
struct JobStatus {
  /// The process that runs the job; empty when the job has been handed back.
  VmId owner;
  Incarnation incarnation;
  /// The client has ended the job.
  bool ended = false;
  /// Every item has a result.
  bool finished = false;
  /// An offered job was accepted, and its items are stored. The process that
  /// offered the job may know so before the status does.
  bool accepted = false;
  /// The progress of the items when the last owner handed the job back.
  std::map<ItemId, ItemProgress> progress;
};

/// How long after its submission the process that offered a job may accept it
/// without a write that says so. Other processes remove an offer without items
/// only after twice that time, since clocks differ a little.
inline constexpr std::chrono::seconds kOfferTime{10};

/// \class JobRecord
/// \brief A batch job as it is stored, with the version of its document.
struct JobRecord {
  JobKey key;
  ObjectVersion version;
  /// The version at which the document was created; 0 if the store does not
  /// tell.
  ObjectVersion created;
  JobDefinition definition;
  JobStatus status;

  /// Whether the record says that the job was accepted.
  bool IsAccepted() const {
    return !definition.offered || status.accepted || status.ended ||
           status.finished;
  }
  /// The tokens of the item at this index of `definition.items`.
  uint64_t TokensOf(size_t index) const {
    return index < definition.tokens.size() ? definition.tokens[index] : 0;
  }
  /// The version of the document at which the current owner was set, or a later
  /// one.
  FencingNumber fence() const { return FencingNumber(version.value()); }
};

/// \class ClockReadings
/// \brief The current time on the monotonic clock of this process and on the
/// wall clock that all VMs share.
struct ClockReadings {
  MonotonicTime monotonic;
  WallTime wall;
};

}  // namespace cowslip

#endif  // SOURCE_JOBS_JOB_TYPES_H_
