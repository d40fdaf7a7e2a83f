#ifndef SOURCE_QUOTA_QUOTA_CORE_H_
#define SOURCE_QUOTA_QUOTA_CORE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "Base/ids.h"
#include "Base/time.h"

namespace cowslip {

/// \class QuotaOptions
/// \brief How far this VM's view of the other processes may lag behind.
struct QuotaOptions {
  /// Time until this process learns of an admission by another one: one gossip
  /// interval plus the transit time of a datagram.
  Duration report_delay = std::chrono::milliseconds(100);
  /// Time until a process is detected as silent, see PeerTableOptions: from
  /// then on its equal part of the rate is reserved for it.
  Duration failure_detection_time = std::chrono::milliseconds(1000);
};

/// \class OrganisationQuota
/// \brief The parameters of a token bucket that the whole fleet shares.
struct OrganisationQuota {
  OrganisationId organisation;
  /// Requests per second; 0 means no quota.
  double rate = 0;
  /// Requests that may be admitted at once: the capacity of the bucket.
  double burst = 0;
};

/// \class OrganisationUsage
/// \brief Requests of one organisation that one process has admitted since it
/// started.
struct OrganisationUsage {
  OrganisationId organisation;
  uint64_t admitted = 0;
};

/// A request needs to be checked against its organisation's quota.
struct QuotaCheckRequested {
  OrganisationId organisation;
};
/// Another process reported its admission counts.
struct PeerUsageReported {
  VmId vm;
  Incarnation incarnation;
  /// How long that incarnation has been running.
  Duration uptime{0};
  std::vector<OrganisationUsage> usage;
};
/// The number of processes that share the quotas, this one included, or the
/// number of silent ones among them is known for the first time or has changed.
struct FleetSizeChanged {
  uint32_t members = 1;
  uint32_t silent = 0;
};
/// The configuration has changed; these quotas replace all earlier ones.
struct QuotasChanged {
  std::vector<OrganisationQuota> quotas;
};
using QuotaEvent = std::variant<QuotaCheckRequested,
                                PeerUsageReported,
                                FleetSizeChanged,
                                QuotasChanged>;

/// The event requires no action by the caller.
struct QuotaNoAction {};
/// The request is admitted.
struct QuotaAdmitted {
  double level = 0;
};
/// The organisation has exceeded its quota; a request can be admitted again
/// after about `retry_after`.
struct QuotaExceeded {
  Duration retry_after{0};
  /// The values behind the decision, for the log: the tokens in the bucket, the
  /// estimated admissions of other processes since their last reports, and the
  /// parameters of the bucket.
  double level = 0;
  double unseen = 0;
  double rate = 0;
  double burst = 0;
};
using QuotaAction = std::variant<QuotaNoAction, QuotaAdmitted, QuotaExceeded>;

/// \class QuotaCore
/// \brief Decides which requests are within an organisation's fleet-wide quota,
/// also when one organisation sends many times its usual rate through all VMs
/// at once.
///
/// Every process keeps a full copy of the bucket. Its own admissions are
/// deducted at once, those of other processes when they are reported. The
/// reported counters only grow, so lost or repeated reports do no harm.
/// Unreported admissions can overdraw the bucket by the demand of one report
/// interval; the bucket must refill from that debt before requests are admitted
/// again. A silent process is assumed to use its equal part of the rate, and
/// itself uses no more than that, so that both sides of a network partition
/// together stay within the quota. When the partition heals, each side is
/// charged only for what the other admitted before the silence was detected. A
/// process that joins is not charged for admissions before its start, and has
/// its equal part of the burst once it knows how many processes there are.
class QuotaCore {
 public:
  explicit QuotaCore(QuotaOptions options);

  QuotaAction Handle(const QuotaEvent& event, MonotonicTime now);

  /// The admission counts of this process, for reports to the others.
  std::vector<OrganisationUsage> Usage() const;

 private:
  struct Bucket {
    double rate = 0;
    double burst = 0;
    double level = 0;
    MonotonicTime updated_at;
    // Admissions per second of the other processes, averaged over about a
    // second.
    double peer_rate = 0;
    MonotonicTime peer_updated_at;
  };
  struct PeerUsage {
    Incarnation incarnation;
    MonotonicTime last_report;
    std::unordered_map<OrganisationId, uint64_t> admitted;
  };

  QuotaAction Apply(const QuotaCheckRequested& event, MonotonicTime now);
  QuotaAction Apply(const PeerUsageReported& event, MonotonicTime now);
  QuotaAction Apply(const FleetSizeChanged& event, MonotonicTime now);
  QuotaAction Apply(const QuotasChanged& event, MonotonicTime now);
  void Refill(Bucket& bucket, MonotonicTime now) const;
  void ChargePeerUsage(Bucket& bucket, double count, MonotonicTime now) const;
  double SilentFraction() const;
  /// What this process may take of the burst when a quota is new to it.
  double InitialLevel(double burst) const;
  /// The fraction of what a process admitted during `silence` that is charged
  /// to this bucket: the bucket was refilled with that process's part of the
  /// rate only while this process ran and had not yet detected the silence.
  double ChargedFraction(Duration silence, MonotonicTime now) const;

  const QuotaOptions m_options;
  std::map<OrganisationId, Bucket> m_buckets;
  // The counts that the other processes know. They outlive the buckets, since a
  // count that began anew would be taken for an old report.
  std::map<OrganisationId, uint64_t> m_admitted;
  std::map<VmId, PeerUsage> m_peers;
  FleetSizeChanged m_fleet;
  bool m_fleet_is_known = false;
  // When this process began to refill its buckets.
  std::optional<MonotonicTime> m_started_at;
};

}  // namespace cowslip

#endif  // SOURCE_QUOTA_QUOTA_CORE_H_
