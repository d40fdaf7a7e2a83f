#ifndef SOURCE_JOBS_BACKLOG_SHARE_H_
#define SOURCE_JOBS_BACKLOG_SHARE_H_

#include <cstdint>
#include <vector>

#include "Base/ids.h"
#include "Base/time.h"
#include "Jobs/job_order.h"
#include "Jobs/job_work.h"

namespace cowslip {

/// \class BacklogShareRequest
/// \brief The unfinished work of a service, and the slots that it may use.
struct BacklogShareRequest {
  VmId self;
  /// The slots that batch items of all processes together may occupy.
  uint32_t slots = 0;
  WallTime now;
  /// How long an item takes altogether.
  Duration item_time{0};
  std::vector<JobWork> work;
};

/// The number of items that this process may run at the same time, when clients
/// submit more jobs through some processes than through others.
///
/// The backlog is one queue for the whole fleet: organisations take turns, the
/// job that is due first goes first within its organisation, and what can no
/// longer be finished in time comes last. Every process knows all jobs and
/// their owners, so each finds out by itself how many of the items at the head
/// of the queue are its own. Otherwise each process takes an equal part of the
/// slots, and the jobs of one with a long queue are late while another one is
/// idle.
uint32_t ItemsAtHead(BacklogShareRequest request);

/// The class of a job's items if they take this long from now.
ItemClass ClassOf(WallTime due,
                  bool spare_slots_only,
                  WallTime now,
                  Duration item_time);

}  // namespace cowslip

#endif  // SOURCE_JOBS_BACKLOG_SHARE_H_
