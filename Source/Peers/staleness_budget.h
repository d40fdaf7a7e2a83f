#ifndef SOURCE_PEERS_STALENESS_BUDGET_H_
#define SOURCE_PEERS_STALENESS_BUDGET_H_

#include <algorithm>
#include <chrono>

#include "Base/time.h"

namespace cowslip {

/// \class StalenessBudget
/// \brief How the time within which a change must be in force at every process
/// is divided among the steps that get it there without a watch.
///
/// For 2,000 ms: 800 ms until the next poll begins, 250 ms if its process
/// stands still, 300 ms for its answer, 100 ms for the datagrams, 150 ms of
/// grace and 100 ms until the next tick, and 300 ms for the listing.
struct StalenessBudget {
  /// The time that is divided.
  Duration bound{0};
  /// From the begin of one process's poll to that of the next one's.
  Duration poll_interval{0};
  /// A read without an answer is repeated after this time. The store answers
  /// within 300 ms at its slowest.
  Duration read_timeout{0};
  /// How long a peer may report contents that are unknown here.
  Duration grace_period{0};

  friend bool operator==(const StalenessBudget&,
                         const StalenessBudget&) = default;
};

/// Divides a bound. Bounds outside of 500 to 3,000 ms count as the nearest one
/// of these: a shorter one is below the time of a slow store's answers, and
/// with a longer one polls would be too rare to end differences that have no
/// bound.
inline StalenessBudget DivideBound(Duration bound) {
  using std::chrono::milliseconds;
  const Duration total =
      std::clamp<Duration>(bound, milliseconds(500), milliseconds(3000));
  return {.bound = total,
          .poll_interval = total * 2 / 5,
          .read_timeout = total / 4,
          .grace_period = total * 3 / 40};
}

}  // namespace cowslip

#endif  // SOURCE_PEERS_STALENESS_BUDGET_H_
