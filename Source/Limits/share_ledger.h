#ifndef SOURCE_LIMITS_SHARE_LEDGER_H_
#define SOURCE_LIMITS_SHARE_LEDGER_H_

#include <map>
#include <optional>
#include <unordered_map>

#include "Base/time.h"
#include "Limits/demand_meter.h"
#include "Limits/limit_table.h"
#include "Limits/limits_messages.h"
#include "Limits/share.h"

namespace cowslip {

/// \class InitialTokens
/// \brief The tokens that an owner starts with: none, or those that the
/// previous owner stored in a released record.
struct InitialTokens {
  std::map<std::string, double> tokens;
  Duration idle{};
};

/// Who takes tokens from the owner's own share.
enum class Requester {
  /// The owner itself, which admits at once.
  kSelf,
  /// An entry with a session, which reports its own demand.
  kHolder,
  kOther,
};

/// \class ShareLedger
/// \brief Records how the owner of one shard divides each organisation's limit
/// between its own share and the holders.
///
/// For each organisation, the owner's share and the holders' shares always add
/// up to kWholeShare, including transfers in flight.
class ShareLedger {
 public:
  ShareLedger(InitialTokens initial, MonotonicTime usable_from);

  /// Takes tokens from the owner's own share. Returns nullopt on success, else
  /// the time until enough tokens could be available.
  std::optional<Duration> TryTake(const OrganisationLimit& limit,
                                  double cost,
                                  Requester requester,
                                  MonotonicTime now);

  /// Refills the owner's own share up to `now`; to be called before `limit` is
  /// replaced.
  void RefillOwnShare(const OrganisationLimit& limit, MonotonicTime now) {
    OwnShare(limit).Refill(limit, now);
  }

  /// Returns the lease that answers a holder's report. Nullopt while an older
  /// session of that holder may still admit, and for a new session during a
  /// recall.
  std::optional<ShareLease> HandleReport(const VmId& holder,
                                         const ShareReport& report,
                                         const LimitTable& limits,
                                         MonotonicTime now);
  bool HasSession(const VmId& holder) const {
    return m_sessions.count(holder) != 0;
  }

  /// Reclaims, without tokens, the shares of holders whose lease has expired.
  void ExpireSessions(const LimitTable& limits, MonotonicTime now);
  void EndDemandInterval(Duration interval) {
    m_own_demand.EndInterval(interval);
  }

  /// From now on all shares are recalled and none is granted.
  void StartRecall() { m_recalling = true; }
  bool HoldsAllShares() const;
  /// Returns the tokens that the next owner starts with.
  InitialTokens Close(const LimitTable& limits, MonotonicTime now);

 private:
  /// \class Session
  /// \brief The leases and transfers of one holder process.
  struct Session {
    uint64_t id = 0;
    Incarnation incarnation;
    MonotonicTime last_lease_sent;
    uint64_t applied_return = 0;
    uint64_t last_grant = 0;
    /// Not acknowledged yet if its number is not 0.
    Transfer grant;
    /// Fractions of kWholeShare that the holder has, including transfers in
    /// flight to and from it.
    std::map<OrganisationId, int64_t> outstanding;
    std::map<OrganisationId, double> demand;
  };

  Share& OwnShare(const OrganisationLimit& limit);
  /// The holder's session, which is opened if there is none. Null while an
  /// older one may still admit, and for a new one during a recall.
  Session* FindOrOpenSession(const VmId& holder,
                             const ShareReport& report,
                             const LimitTable& limits,
                             MonotonicTime now);
  void ApplyReport(Session& session,
                   const ShareReport& report,
                   const LimitTable& limits,
                   MonotonicTime now);
  void ApplyReturn(Session& session,
                   const Transfer& returned,
                   const LimitTable& limits,
                   MonotonicTime now);
  void Reclaim(const Session& session,
               const LimitTable& limits,
               MonotonicTime now);
  void MergeIntoOwnShare(const ShareAmount& amount,
                         const LimitTable& limits,
                         MonotonicTime now);
  /// The fraction that the holder should have of an organisation.
  int64_t TargetFraction(const Session& session,
                         const OrganisationId& organisation) const;
  double TotalDemand(const OrganisationId& organisation) const;
  void PlanTransfers(Session& session,
                     ShareLease& lease,
                     const LimitTable& limits,
                     MonotonicTime now);

  const InitialTokens m_initial;
  const MonotonicTime m_usable_from;
  bool m_recalling = false;
  uint64_t m_last_session = 0;
  std::unordered_map<OrganisationId, Share> m_own_shares;
  std::map<VmId, Session> m_sessions;
  DemandMeter m_own_demand;
};

}  // namespace cowslip

#endif  // SOURCE_LIMITS_SHARE_LEDGER_H_
