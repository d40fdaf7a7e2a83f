#ifndef SOURCE_PLACEMENT_RATE_SHARES_H_
#define SOURCE_PLACEMENT_RATE_SHARES_H_

#include <optional>
#include <string_view>
#include <vector>

#include "Base/ids.h"
#include "Base/time.h"
#include "Fleet/request_rate.h"

namespace cowslip {

/// \class RateShares
/// \brief Divides a rate of requests equally among some of the registered
/// processes, which rendezvous hashing picks, so that all together stay within
/// it whatever they know of each other.
class RateShares {
 public:
  explicit RateShares(VmId self);

  /// Sets the registered processes, this one included.
  void SetMembers(std::vector<VmId> members);

  /// The time between two requests of this process under the key, when at most
  /// `max_sharers` processes share the rate; nullopt if this process is not one
  /// of them.
  std::optional<Duration> AttemptInterval(std::string_view key,
                                          RequestRate rate,
                                          double max_sharers) const;

 private:
  const VmId m_self;
  std::vector<VmId> m_members;
};

}  // namespace cowslip

#endif  // SOURCE_PLACEMENT_RATE_SHARES_H_
