#ifndef SOURCE_LIMITS_LIMITS_CORE_H_
#define SOURCE_LIMITS_LIMITS_CORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

#include "Base/time.h"
#include "Limits/ask_queue.h"
#include "Limits/demand_meter.h"
#include "Limits/limit_table.h"
#include "Limits/limits_constants.h"
#include "Limits/limits_events.h"
#include "Limits/shard_claim.h"
#include "Limits/shard_holder.h"
#include "Limits/shard_owner.h"
#include "Limits/witness.h"

namespace cowslip {

/// \class LimitsCoreOptions
/// \brief Who this entry is. `shard_count` is the same on every VM.
struct LimitsCoreOptions {
  ProcessRef self;
  uint32_t shard_count = kLimitsShardCount;
  /// Seeds the write tokens; differs between processes.
  uint64_t seed = 0;
};

/// \class LimitsCore
/// \brief Decides which requests an entry admits, so that an organisation never
/// gets more than its rate and burst over all entries together.
///
/// Each shard of organisations has one owner, which holds all shares of the
/// shard's generation and lends parts of large ones to other entries under
/// short leases. The other entries ask the owner for each admission.
class LimitsCore {
 public:
  LimitsCore(LimitsCoreOptions options, MonotonicTime started);

  std::vector<LimitsAction> Handle(const LimitsEvent& event, MonotonicTime now);

  /// True when a tick should follow within kLimitsTickInterval.
  bool WantsTickSoon() const { return m_asks.HasUnsent() || m_upkeep_due; }
  /// After LimitsDrainRequested: nothing is held here any more.
  bool IsDrained() const;
  size_t owned_shards() const { return m_owned.size(); }
  size_t waiting() const { return m_asks.size(); }

 private:
  /// \class KnownOwner
  /// \brief Who announced a shard last.
  struct KnownOwner {
    VmId vm;
    LimitsGeneration generation;
  };
  /// \class AnnouncementSeen
  /// \brief The latest announcement of a VM, to tell late ones.
  struct AnnouncementSeen {
    Incarnation incarnation;
    uint64_t sequence = 0;
  };

  /// \class AskPause
  /// \brief No asks until `until`; tokens are expected at `retry_at`.
  struct AskPause {
    MonotonicTime until;
    MonotonicTime retry_at;
  };

  void Apply(const AdmitRequested& event);
  void Apply(const LimitsTick&);
  void Apply(const LimitsPeerMessage& event);
  void Apply(const LimitsPeerUp& event);
  void Apply(const LimitsPeerDown& event);
  void Apply(const LimitsChanged& event);
  void Apply(const LimitsMembersChanged& event);
  void Apply(const RecordRead& event);
  void Apply(const RecordReadFailed& event);
  void Apply(const RecordWritten& event);
  void Apply(const RecordConflict& event);
  void Apply(const RecordFailed& event);
  void Apply(const LimitsDrainRequested&);

  // Messages from peers (limits_core_messages.cc).
  void Receive(const VmId& from, const Announcement& message);
  void Receive(const VmId& from, const PromiseReply& message);
  void Receive(const VmId& from, const ApprovalRequest& message);
  void Receive(const VmId& from, const ApprovalReply& message);
  void Receive(const VmId& from, const AskBatch& message);
  void Receive(const VmId& from, const AskReply& message);
  void Receive(const VmId& from, const ShareReport& message);
  void Receive(const VmId& from, const ShareLease& message);
  void LearnOwner(const VmId& from, const OwnedShard& shard);
  AskAnswer Answer(const VmId& from, const Ask& ask);
  void HandleAnswer(const VmId& from,
                    const AskAnswer& answer,
                    const WaitingAsk& ask);
  void Send(const VmId& to, LimitsMessage message);

  // Admission.
  void Admit(AdmissionId id);
  void Refuse(AdmissionId id, Duration retry_after, RefusalReason reason);
  /// True when the request was decided here.
  bool DecideAsOwner(const WaitingAsk& ask, const OrganisationLimit& limit);
  void SendAsks();
  void ExpireAsks();

  // Upkeep (limits_core_upkeep.cc).
  void RunUpkeep();
  void UpkeepOwned(LimitsShard shard, ShardOwner& owner);
  void UpkeepClaim(LimitsShard shard);
  void Perform(const RequestApprovals& step);
  void Perform(const ReadRecord& step) { m_actions.push_back(step); }
  void Perform(const WriteRecord& step) { m_actions.push_back(step); }
  void TakeOwnership(LimitsShard shard, const WonClaim& won);
  /// Gives up a shard; its generation is never owned here again.
  void StepDown(LimitsShard shard);
  void Announce(const std::vector<LimitsShard>& released);
  void SendReports();
  void UpdatePicks();
  std::vector<ProcessRef> WitnessesFor(LimitsShard shard) const;
  bool IsPick(LimitsShard shard) const;

  const LimitsCoreOptions m_options;
  std::mt19937_64 m_random;
  MonotonicTime m_now;
  std::vector<LimitsAction> m_actions;

  LimitTable m_limits;
  std::vector<VmId> m_entries;
  MonotonicTime m_entries_since;
  /// VMs that have been entries, as long as their link is up.
  std::set<VmId> m_known_entries;
  std::map<VmId, Incarnation> m_up;
  bool m_draining = false;

  std::map<LimitsShard, ShardOwner> m_owned;
  std::map<LimitsShard, ShardClaim> m_claims;
  std::map<LimitsShard, ShardHolder> m_holders;
  std::map<LimitsShard, LimitsGeneration> m_abandoned;
  std::map<LimitsShard, KnownOwner> m_owners;
  /// By shard: the entry that should own it, and who should witness.
  std::vector<VmId> m_picks;
  std::vector<std::vector<ProcessRef>> m_witnesses;
  Witness m_witness;
  std::map<VmId, AnnouncementSeen> m_announcements_seen;
  uint64_t m_announcement = 0;
  uint64_t m_report = 0;
  /// When the latest announcements were sent.
  std::map<uint64_t, MonotonicTime> m_announcements_sent;

  AskQueue m_asks;
  /// Organisations that were refused a moment ago.
  std::unordered_map<OrganisationId, AskPause> m_ask_pauses;
  DemandMeter m_demand;
  bool m_upkeep_due = true;
  MonotonicTime m_next_upkeep;
  MonotonicTime m_next_announcement;
  MonotonicTime m_next_report;
};

}  // namespace cowslip

#endif  // SOURCE_LIMITS_LIMITS_CORE_H_
