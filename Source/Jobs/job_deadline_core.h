#ifndef SOURCE_JOBS_JOB_DEADLINE_CORE_H_
#define SOURCE_JOBS_JOB_DEADLINE_CORE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <variant>
#include <vector>

#include "Base/ids.h"
#include "Base/time.h"
#include "Jobs/job_work.h"

namespace cowslip {

/// \class JobDeadlineOptions
/// \brief How the rate at which items are worked off is estimated.
struct JobDeadlineOptions {
  /// Time constants of the average of the slots that online requests leave:
  /// longer than a wave of online traffic and the trough after it while the
  /// slots get more, shorter while they get fewer.
  Duration rise_time = std::chrono::seconds(10);
  Duration fall_time = std::chrono::seconds(4);
  /// How much an organisation may hold for each free place.
  double share_factor = 2;
  /// How long the highest number of slots counts after some were lost: crashed
  /// backend servers come back.
  Duration slot_memory = std::chrono::seconds(60);
  /// Bounds of Retry-After.
  Duration min_retry_delay = std::chrono::milliseconds(500);
  Duration max_retry_delay = std::chrono::seconds(60);
};

/// The slots of a service that batch items may occupy at this moment, and all
/// its slots.
struct BatchSlotsSampled {
  ServiceId service;
  uint32_t slots = 0;
  uint32_t all_slots = 0;
};
/// A job was submitted.
struct JobDeadlineRequested {
  /// The services that may run its items.
  std::vector<ServiceId> services;
  OrganisationId organisation;
  uint32_t items = 0;
  /// Time until its results are due, and until its unfinished items may be
  /// abandoned.
  Duration time_to_due{0};
  Duration time_left{0};
  /// How long an item occupies a slot, and how long it takes altogether.
  Duration item_time{0};
  Duration item_span{0};
  WallTime now;
  /// The unfinished jobs of these services.
  std::vector<JobWork> work;
};
using JobDeadlineEvent = std::variant<BatchSlotsSampled, JobDeadlineRequested>;

/// The event requires no action.
struct JobDeadlineNoAction {};
/// The job can be finished before its items may be abandoned, and `in_time` if
/// it can be finished before it is due.
struct JobFits {
  bool in_time = true;
};
/// The job can't be finished before its items may be abandoned, but one that is
/// submitted after `retry_after` can be.
struct JobDoesNotFit {
  Duration retry_after{0};
  /// The values behind the decision, for the log.
  uint64_t items_ahead = 0;
  uint64_t room = 0;
};
using JobDeadlineAction =
    std::variant<JobDeadlineNoAction, JobFits, JobDoesNotFit>;

/// \class JobDeadlineCore
/// \brief Decides whether a new batch job can be finished in time, or at all,
/// when jobs arrive for seconds at many times the rate at which they are worked
/// off.
///
/// A job is finished in time if everything that is to be in time and was
/// accepted before it can be finished by its due time at the average rate, and
/// an item's time before that. Under overload some jobs are in time and the
/// others late, instead of each a little late: a job that would be late is
/// accepted to run in the slots that the others leave, since its client values
/// late results. One that could not be finished before its items may be
/// abandoned, even if online requests left all slots, is rejected at once.
///
/// An organisation may hold at most a multiple of what is still free, so that
/// one which submits many jobs leaves room for others.
class JobDeadlineCore {
 public:
  explicit JobDeadlineCore(JobDeadlineOptions options) : m_options(options) {}

  JobDeadlineAction Handle(const JobDeadlineEvent& event, MonotonicTime now);

 private:
  struct Backlog {
    uint64_t items = 0;
    /// Those of the new job's organisation.
    uint64_t own = 0;
  };
  struct SlotAverage {
    double slots = 0;
    MonotonicTime updated_at;
    /// The highest number of all slots, and when there were so many.
    uint32_t all_slots = 0;
    MonotonicTime all_slots_at;
  };

  JobDeadlineAction Apply(const BatchSlotsSampled& event, MonotonicTime now);
  JobDeadlineAction Apply(const JobDeadlineRequested& event, MonotonicTime now);

  static Backlog BacklogOf(const JobDeadlineRequested& job, bool only_in_time);
  /// How many items must be finished before a job of `items` fits; 0 or less if
  /// it does.
  double Excess(double room, const Backlog& before, uint32_t items) const;

  const JobDeadlineOptions m_options;
  std::map<ServiceId, SlotAverage> m_slots;
};

}  // namespace cowslip

#endif  // SOURCE_JOBS_JOB_DEADLINE_CORE_H_
