#ifndef SOURCE_JOBS_JOB_ORDER_H_
#define SOURCE_JOBS_JOB_ORDER_H_

#include <cstddef>

namespace cowslip {

/// Number of items that an organisation starts before the next organisation's
/// turn: about the slots of one backend server, so that due times determine the
/// order within an organisation.
inline constexpr size_t kItemsPerTurn = 8;

/// What a backlog is ordered by first.
enum class ItemClass {
  /// Can be finished in time, as was expected when its job was accepted.
  kInTime,
  /// Can be finished in time, but its job was accepted to run in spare slots.
  kSpare,
  kLate,
};

}  // namespace cowslip

#endif  // SOURCE_JOBS_JOB_ORDER_H_
