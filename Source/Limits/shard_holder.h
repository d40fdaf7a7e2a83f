#ifndef SOURCE_LIMITS_SHARD_HOLDER_H_
#define SOURCE_LIMITS_SHARD_HOLDER_H_

#include <map>
#include <unordered_map>
#include <vector>

#include "Base/time.h"
#include "Limits/limit_table.h"
#include "Limits/limits_messages.h"
#include "Limits/share.h"

namespace cowslip {

/// \class ShardHolder
/// \brief The shares of one shard that another entry, the owner, has lent to
/// this one.
class ShardHolder {
 public:
  explicit ShardHolder(OwnedShard shard) : m_shard(shard) {}

  const OwnedShard& shard() const { return m_shard; }
  /// Takes tokens from this entry's share while its lease lasts by this entry's
  /// clock.
  bool TryTake(const OrganisationLimit& limit, double cost, MonotonicTime now);
  /// Refills the share up to `now`; to be called before `limit` is replaced.
  void RefillShare(const OrganisationLimit& limit, MonotonicTime now);
  /// Also true while a return of shares is not acknowledged.
  bool HasShares() const;

  /// This process must not use `sequence` twice.
  ShareReport MakeReport(Incarnation self,
                         uint64_t sequence,
                         std::vector<OrganisationDemand> demand,
                         MonotonicTime now);
  void HandleLease(const ShareLease& lease,
                   const LimitTable& limits,
                   MonotonicTime now);
  /// Starts to return all shares to the owner.
  void ReturnAll(const LimitTable& limits, MonotonicTime now);

 private:
  void BeginSession(uint64_t session);
  void Return(const std::vector<ShareAmount>& wanted,
              const LimitTable& limits,
              MonotonicTime now);

  const OwnedShard m_shard;
  uint64_t m_session = 0;
  uint64_t m_applied_grant = 0;
  uint64_t m_last_return = 0;
  /// Deducted and not acknowledged yet if its number is not 0.
  Transfer m_returned;
  std::unordered_map<OrganisationId, Share> m_shares;
  MonotonicTime m_lease_deadline = MonotonicTime::min();
  /// When the latest reports were sent.
  std::map<uint64_t, MonotonicTime> m_report_send_times;
};

}  // namespace cowslip

#endif  // SOURCE_LIMITS_SHARD_HOLDER_H_
