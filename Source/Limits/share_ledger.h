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
/// \brief What an owner starts with: nothing, or what the owner before it left
/// in a released record.
struct InitialTokens {
  std::map<std::string, double> tokens;
  Duration idle{};
};

/// Who wants to take from the owner's own part.
enum class Asker {
  /// The owner itself, which admits at once.
  kSelf,
  /// An entry that reports its demand itself.
  kHolder,
  kOther,
};

/// \class ShareLedger
/// \brief The owner's book of one shard: its own part of each organisation's
/// limit and what each holder has.
///
/// An own part and the holders' parts of an organisation always add up to
/// kWholeShare, transfers on their way included.
class ShareLedger {
 public:
  ShareLedger(InitialTokens initial, MonotonicTime usable_from);

  /// Takes from the owner's own part. Returns nothing, or the time after which
  /// the cost could be there.
  std::optional<Duration> TryTake(const OrganisationLimit& limit,
                                  double cost,
                                  Asker asker,
                                  MonotonicTime now);

  /// Grows the owner's own part up to now, before this limit is replaced.
  void Settle(const OrganisationLimit& limit, MonotonicTime now) {
    OwnShare(limit).Refill(limit, now);
  }

  /// Answers a holder's report, or nothing while an older session of that
  /// holder may still admit.
  std::optional<ShareLease> Handle(const VmId& holder,
                                   const ShareReport& report,
                                   const LimitTable& limits,
                                   MonotonicTime now);
  bool HasSession(const VmId& holder) const {
    return m_sessions.count(holder) != 0;
  }

  /// Takes back, without tokens, the shares of holders whose lease has ended.
  void ExpireSessions(const LimitTable& limits, MonotonicTime now);
  void RollDemand(Duration interval) { m_own_demand.Roll(interval); }

  /// From now on everything is recalled and nothing granted.
  void StartRecall() { m_recalling = true; }
  bool HoldsEverything() const;
  /// What the next owner starts with.
  InitialTokens Close(const LimitTable& limits, MonotonicTime now);

 private:
  /// \class Session
  /// \brief The leases and transfers of one holder process.
  struct Session {
    uint64_t id = 0;
    Incarnation incarnation;
    MonotonicTime last_answer;
    uint64_t applied_return = 0;
    uint64_t last_grant = 0;
    /// Not acknowledged yet when its number is not 0.
    Transfer grant;
    /// What the holder has, or had on its way; of kWholeShare.
    std::map<OrganisationId, int64_t> outstanding;
    std::map<OrganisationId, double> demand;
  };

  Share& OwnShare(const OrganisationLimit& limit);
  /// The holder's session, or null while an older one must run out.
  Session* FindSession(const VmId& holder,
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
  void MergeOwn(const ShareAmount& amount,
                const LimitTable& limits,
                MonotonicTime now);
  /// The fraction that the holder should have of an organisation.
  int64_t Target(const Session& session,
                 const OrganisationId& organisation) const;
  double TotalDemand(const OrganisationId& organisation) const;
  void PlanMoves(Session& session,
                 ShareLease& lease,
                 const LimitTable& limits,
                 MonotonicTime now);

  const InitialTokens m_initial;
  const MonotonicTime m_usable_from;
  bool m_recalling = false;
  uint64_t m_last_session = 0;
  std::unordered_map<OrganisationId, Share> m_own;
  std::map<VmId, Session> m_sessions;
  DemandMeter m_own_demand;
};

}  // namespace cowslip

#endif  // SOURCE_LIMITS_SHARE_LEDGER_H_
