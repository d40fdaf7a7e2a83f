#ifndef SOURCE_JOBS_JOB_TYPES_H_
#define SOURCE_JOBS_JOB_TYPES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Base/ids.h"
#include "Base/time.h"
#include "Net/http_message.h"

namespace cowslip {

/// A job's name in the store: its id and its organisation.
using JobKey = StrongId<struct JobKeyTag>;

/// \class JobItem
/// \brief One request of a batch job, as it was submitted.
struct JobItem {
  ItemId id;
  /// Path and query.
  std::string target;
  HttpHeaders headers;
  std::string body;
};

/// \class ItemProgress
/// \brief What an item that has not ended has come to.
struct ItemProgress {
  /// The last whole event received; 0 for none.
  uint64_t last_event = 0;
  /// The data of the events up to it, joined by line feeds.
  std::string output;
  /// Runs that the backend server has failed.
  uint32_t failed_runs = 0;
};

/// How an item has ended.
enum class ItemState { kCompleted, kDeadLettered };

/// \class ItemResult
/// \brief The one outcome of an item.
struct ItemResult {
  ItemId item;
  ItemState state = ItemState::kCompleted;
  std::string output;
};

/// \class JobDefinition
/// \brief What never changes of a batch job.
struct JobDefinition {
  JobId id;
  OrganisationId organisation;
  RouteId route;
  std::string host;
  /// Of the submitted body: a job that is sent again has the same one.
  Digest digest;
  WallTime submitted;
  /// Results are due by then.
  WallTime due;
  /// An item may be given up from then on.
  WallTime give_up;
  /// Failed runs after which an item is given up.
  uint32_t max_attempts = 1;
  /// Documents that hold the items.
  uint32_t input_segments = 0;
  std::vector<ItemId> items;
  /// The process that accepted it, its first owner.
  VmId accepted_by;
  Incarnation accepted_incarnation;
};

/// \class JobStatus
/// \brief What changes of a batch job, apart from its results.
struct JobStatus {
  /// The process that runs it; empty when it has been handed back.
  VmId owner;
  Incarnation incarnation;
  /// Its client has ended it.
  bool ended = false;
  /// Every item has a result.
  bool finished = false;
  /// What an owner that stopped had come to.
  std::map<ItemId, ItemProgress> progress;
};

/// \class JobRecord
/// \brief A batch job as the store has it.
struct JobRecord {
  JobKey key;
  ObjectVersion version;
  JobDefinition definition;
  JobStatus status;

  /// The version at which the store named the present owner, or a later one.
  FencingNumber fence() const { return FencingNumber(version.value()); }
};

/// \class ClockReadings
/// \brief The present, as a process's monotonic clock and as the wall clock
/// that all VMs share have it.
struct ClockReadings {
  MonotonicTime monotonic;
  WallTime wall;
};

}  // namespace cowslip

#endif  // SOURCE_JOBS_JOB_TYPES_H_
