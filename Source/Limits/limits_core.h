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
#include "Limits/demand_meter.h"
#include "Limits/limit_check_queue.h"
#include "Limits/limit_table.h"
#include "Limits/limits_constants.h"
#include "Limits/limits_events.h"
#include "Limits/shard_claim.h"
#include "Limits/shard_holder.h"
#include "Limits/shard_owner.h"
#include "Limits/witness.h"

namespace cowslip {

/// \class LimitsCoreOptions
/// \brief Identity of this entry and the number of shards, which must be the
/// same on every VM.
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
/// short leases. For a request that no such part covers, another entry sends
/// the owner a limit check, unless the owner has just refused one for the
/// organisation or too many checks wait.
class LimitsCore {
 public:
  LimitsCore(LimitsCoreOptions options, MonotonicTime started);

  std::vector<LimitsAction> Handle(const LimitsEvent& event, MonotonicTime now);

  /// True when a tick should follow within kLimitsTickInterval.
  bool NeedsTick() const {
    return m_limit_checks.HasUnsent() || m_maintenance_due;
  }
  /// After LimitsDrainRequested: whether this entry owns no shard and holds no
  /// share any more.
  bool IsDrained() const;
  size_t owned_shards() const { return m_owned_shards.size(); }
  size_t waiting() const { return m_limit_checks.size(); }

 private:
  /// \class KnownOwner
  /// \brief The VM that announced ownership of a shard last.
  struct KnownOwner {
    VmId vm;
    LimitsGeneration generation;
  };
  /// \class LastAnnouncement
  /// \brief The latest announcement of a VM; older ones that arrive late are
  /// ignored.
  struct LastAnnouncement {
    Incarnation incarnation;
    uint64_t sequence = 0;
  };

  /// \class RefusalBackoff
  /// \brief After a refusal, no limit checks are sent until `until`; tokens are
  /// expected at `retry_at`.
  struct RefusalBackoff {
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
  void Apply(const RecordWriteConflict& event);
  void Apply(const RecordWriteUncertain& event);
  void Apply(const LimitsDrainRequested&);

  // Messages from peers (limits_core_messages.cc).
  void Receive(const VmId& from, const Announcement& message);
  void Receive(const VmId& from, const PromiseReply& message);
  void Receive(const VmId& from, const ApprovalRequest& message);
  void Receive(const VmId& from, const ApprovalReply& message);
  void Receive(const VmId& from, const LimitCheckBatch& message);
  void Receive(const VmId& from, const LimitCheckReply& message);
  void Receive(const VmId& from, const ShareReport& message);
  void Receive(const VmId& from, const ShareLease& message);
  void UpdateKnownOwner(const VmId& from, const OwnedShard& shard);
  LimitCheckResult DecideForPeer(const VmId& from, const LimitCheck& check);
  void HandleReply(const VmId& from,
                   const LimitCheckResult& result,
                   const PendingLimitCheck& check);
  void Send(const VmId& to, LimitsMessage message);

  // Admission.
  void Admit(AdmissionId id);
  void Refuse(AdmissionId id, Duration retry_after, RefusalReason reason);
  /// Decides the request if this entry may admit for its shard; false if not.
  bool DecideAsOwner(const PendingLimitCheck& check,
                     const OrganisationLimit& limit);
  void SendLimitChecks();
  void ExpireLimitChecks();

  // Maintenance (limits_core_maintenance.cc).
  void RunMaintenance();
  void MaintainOwnedShard(LimitsShard shard, ShardOwner& owner);
  void AdvanceClaim(LimitsShard shard);
  void ApplyStep(const RequestApprovals& step);
  void ApplyStep(const ReadRecord& step) { m_actions.push_back(step); }
  void ApplyStep(const WriteRecord& step) { m_actions.push_back(step); }
  void TakeOwnership(LimitsShard shard, const WonClaim& won);
  /// Gives up a shard; this process never owns that generation again.
  void StepDown(LimitsShard shard);
  void Announce(const std::vector<LimitsShard>& released);
  void SendReports();
  void UpdatePreferredOwners();
  std::vector<ProcessRef> WitnessesFor(LimitsShard shard) const;
  bool IsPreferredOwner(LimitsShard shard) const;

  const LimitsCoreOptions m_options;
  std::mt19937_64 m_random;
  MonotonicTime m_now;
  std::vector<LimitsAction> m_actions;

  LimitTable m_limits;
  std::vector<VmId> m_entries;
  MonotonicTime m_entries_changed_at;
  /// VMs that have been entries, as long as their link is up.
  std::set<VmId> m_known_entries;
  std::map<VmId, Incarnation> m_linked_peers;
  bool m_draining = false;

  std::map<LimitsShard, ShardOwner> m_owned_shards;
  std::map<LimitsShard, ShardClaim> m_claims;
  std::map<LimitsShard, ShardHolder> m_holders;
  std::map<LimitsShard, LimitsGeneration> m_abandoned_generations;
  std::map<LimitsShard, KnownOwner> m_known_owners;
  /// By shard: the entry that rendezvous hashing selects as its owner, and the
  /// witnesses that its record should name.
  std::vector<VmId> m_preferred_owners;
  std::vector<std::vector<ProcessRef>> m_witnesses;
  Witness m_witness;
  std::map<VmId, LastAnnouncement> m_last_announcements;
  uint64_t m_announcement_sequence = 0;
  uint64_t m_report_sequence = 0;
  /// When the latest announcements were sent.
  std::map<uint64_t, MonotonicTime> m_announcement_send_times;

  LimitCheckQueue m_limit_checks;
  /// Organisations whose limit checks pause after a recent refusal.
  std::unordered_map<OrganisationId, RefusalBackoff> m_refusal_backoffs;
  DemandMeter m_demand;
  bool m_maintenance_due = true;
  MonotonicTime m_next_maintenance;
  MonotonicTime m_next_announcement;
  MonotonicTime m_next_report;
};

}  // namespace cowslip

#endif  // SOURCE_LIMITS_LIMITS_CORE_H_
