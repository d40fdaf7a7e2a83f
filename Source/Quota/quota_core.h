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
/// \brief How far this VM's view of the others may be behind.
struct QuotaOptions {
  /// Time until an admission elsewhere is known here: one gossip interval and
  /// the way of a datagram.
  Duration report_lag = std::chrono::milliseconds(100);
  /// Time until the silence of a process is noticed, see PeerTableOptions: from
  /// then on its part of the rate is left to it.
  Duration silence_notice = std::chrono::milliseconds(1000);
};

/// \class OrganisationQuota
/// \brief A token bucket that the whole fleet shares.
struct OrganisationQuota {
  OrganisationId organisation;
  /// Requests per second; 0 means no quota.
  double rate = 0;
  /// Requests that may come at once.
  double burst = 0;
};

/// \class OrganisationUsage
/// \brief Requests of one organisation that one process has admitted since it
/// started.
struct OrganisationUsage {
  OrganisationId organisation;
  uint64_t admitted = 0;
};

/// A request asks to be admitted.
struct QuotaCheckRequested {
  OrganisationId organisation;
};
/// Another process told what it has admitted.
struct PeerUsageReported {
  VmId vm;
  Incarnation incarnation;
  /// How long that incarnation has run.
  Duration uptime{0};
  std::vector<OrganisationUsage> usage;
};
/// How many processes share the quotas, this one included, and how many of them
/// are silent.
struct FleetSizeChanged {
  uint32_t members = 1;
  uint32_t silent = 0;
};
/// The quotas in force from now on.
struct QuotasChanged {
  std::vector<OrganisationQuota> quotas;
};
using QuotaEvent = std::variant<QuotaCheckRequested,
                                PeerUsageReported,
                                FleetSizeChanged,
                                QuotasChanged>;

/// Nothing to do.
struct QuotaNoAction {};
/// The request may go on.
struct QuotaAdmitted {
  double level = 0;
};
/// The organisation is over its quota until about `retry_after` from now.
struct QuotaExceeded {
  Duration retry_after{0};
  /// What decided: the bucket, and the admissions that other processes are
  /// taken to have made since their last report.
  double level = 0;
  double unseen = 0;
  double rate = 0;
  double burst = 0;
};
using QuotaAction = std::variant<QuotaNoAction, QuotaAdmitted, QuotaExceeded>;

/// \class QuotaCore
/// \brief Decides which requests are within an organisation's fleet-wide quota,
/// for load in which one organisation sends many times its usual rate through
/// every VM at once.
///
/// Every process keeps the whole bucket. Its own admissions are taken out at
/// once, those of the others when they are reported; counts only grow, so a
/// lost or repeated report does no harm. What is not yet reported can overdraw
/// the bucket by the demand of one report interval; the debt is paid back
/// before anybody admits again. A process that is silent is taken to use its
/// equal part of the rate, and it leaves the other parts alone, so that both
/// sides of a partition together stay within the quota. When the two sides hear
/// of each other again, each pays only for what the other admitted before the
/// silence was noticed, and a process that joins does not pay for the past.
class QuotaCore {
 public:
  explicit QuotaCore(QuotaOptions options);

  QuotaAction Handle(const QuotaEvent& event, MonotonicTime now);

  /// What this process has admitted, for the other ones.
  std::vector<OrganisationUsage> Usage() const;

 private:
  struct Bucket {
    double rate = 0;
    double burst = 0;
    double level = 0;
    MonotonicTime as_of;
    uint64_t admitted = 0;
    // Admissions per second of the other processes, over about a second.
    double peer_rate = 0;
    MonotonicTime peer_as_of;
  };
  struct PeerUsage {
    Incarnation incarnation;
    MonotonicTime heard;
    std::unordered_map<OrganisationId, uint64_t> admitted;
  };

  QuotaAction Apply(const QuotaCheckRequested& event, MonotonicTime now);
  QuotaAction Apply(const PeerUsageReported& event, MonotonicTime now);
  QuotaAction Apply(const FleetSizeChanged& event, MonotonicTime now);
  QuotaAction Apply(const QuotasChanged& event, MonotonicTime now);
  void Refill(Bucket& bucket, MonotonicTime now) const;
  void TakePeerUsage(Bucket& bucket, double count, MonotonicTime now) const;
  double SilentPart() const;
  /// The share of what a process admitted during `unheard` that this one has to
  /// pay for: the bucket was filled with that process's part, too, only while
  /// its silence was not noticed and this process ran.
  double ChargedShare(Duration unheard, MonotonicTime now) const;

  const QuotaOptions m_options;
  std::map<OrganisationId, Bucket> m_buckets;
  std::map<VmId, PeerUsage> m_peers;
  FleetSizeChanged m_fleet;
  // When this process began to fill its buckets.
  std::optional<MonotonicTime> m_began;
};

}  // namespace cowslip

#endif  // SOURCE_QUOTA_QUOTA_CORE_H_
