#ifndef SOURCE_JOBS_WAITING_TOKEN_CORE_H_
#define SOURCE_JOBS_WAITING_TOKEN_CORE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <utility>
#include <variant>
#include <vector>

#include "Base/ids.h"
#include "Base/time.h"
#include "Jobs/job_work.h"

namespace cowslip {

/// \class WaitingTokenOptions
/// \brief How the time until a rejected job fits is estimated.
struct WaitingTokenOptions {
  /// Time constant of the rate at which an organisation's work finishes.
  Duration averaging_time = std::chrono::seconds(5);
  /// Bounds of Retry-After; the longest one is also given while nothing of the
  /// organisation's work finishes.
  Duration min_retry_delay = std::chrono::milliseconds(500);
  Duration max_retry_delay = std::chrono::seconds(30);
  /// How long an earlier limit of a route is remembered: longer than a job may
  /// be offered without being accepted or withdrawn.
  Duration limit_memory = std::chrono::seconds(60);
};

/// The limit on one organisation's waiting tokens on a route; 0 for none.
struct WaitingTokenLimit {
  RouteId route;
  uint64_t tokens = 0;
};

/// The configuration has changed; these limits replace all earlier ones.
struct WaitingTokenLimitsChanged {
  std::vector<WaitingTokenLimit> limits;
};
/// The unfinished work of all jobs at this moment.
struct WaitingWorkSampled {
  std::vector<JobWork> work;
};
/// A job is to be accepted.
struct WaitingTokensRequested {
  JobKey job;
  OrganisationId organisation;
  RouteId route;
  uint64_t tokens = 0;
  /// See JobRecord::created; 0 before the job has a record.
  ObjectVersion created;
  /// Limits that were in force since then count too, because another process
  /// may have accepted the job under one of them.
  MonotonicTime limits_since;
  /// Counts jobs that were created later too, because this job's limit was
  /// lowered after some of them were accepted.
  bool count_later_jobs = false;
  /// What is unfinished, as of the creation of the job's record or later.
  std::vector<JobWork> work;
};
using WaitingTokenEvent = std::variant<WaitingTokenLimitsChanged,
                                       WaitingWorkSampled,
                                       WaitingTokensRequested>;

/// The event requires no action.
struct WaitingTokenNoAction {};
/// The job is within the limit.
struct WaitingTokensFit {};
/// The job is not within the limit; one like it may be after `retry_after`,
/// which is zero if the job alone exceeds the limit.
struct WaitingTokensExceeded {
  Duration retry_after{0};
  uint64_t waiting = 0;
  uint64_t limit = 0;
};
using WaitingTokenAction =
    std::variant<WaitingTokenNoAction, WaitingTokensFit, WaitingTokensExceeded>;

/// \class WaitingTokenCore
/// \brief Decides whether an organisation's jobs stay within the limit on its
/// waiting tokens, when it submits many of them through all gateways at once.
///
/// The order in which the store created the records of jobs is the order in
/// which they are admitted. A job fits if it is within the limit together with
/// all unfinished jobs before it. Jobs before it only get fewer, so once a job
/// fits, it does so in every newer view, and of the jobs that are accepted the
/// last one has counted all others: the sum never exceeds the limit, whichever
/// gateways decide and however old their views are of what has finished.
class WaitingTokenCore {
 public:
  explicit WaitingTokenCore(WaitingTokenOptions options) : m_options(options) {}

  WaitingTokenAction Handle(const WaitingTokenEvent& event, MonotonicTime now);

  /// When the limit of the route was last lowered.
  MonotonicTime LoweredAt(const RouteId& route) const;

 private:
  using Owner = std::pair<OrganisationId, RouteId>;
  struct FormerLimit {
    RouteId route;
    uint64_t tokens = 0;
    MonotonicTime until;
  };
  struct Rate {
    double tokens_per_second = 0;
    double finished = 0;
  };

  WaitingTokenAction Apply(const WaitingTokenLimitsChanged& event,
                           MonotonicTime now);
  WaitingTokenAction Apply(const WaitingWorkSampled& event, MonotonicTime now);
  WaitingTokenAction Apply(const WaitingTokensRequested& event,
                           MonotonicTime now);
  /// The highest limit of the route since then; 0 if there was none.
  uint64_t LimitSince(const RouteId& route, MonotonicTime since) const;
  Duration RetryDelay(const Owner& owner, uint64_t excess) const;

  const WaitingTokenOptions m_options;
  std::map<RouteId, uint64_t> m_limits;
  std::vector<FormerLimit> m_former_limits;
  std::map<RouteId, MonotonicTime> m_lowered_at;
  std::map<JobKey, JobWork> m_last_sample;
  MonotonicTime m_sampled_at;
  std::map<Owner, Rate> m_rates;
};

}  // namespace cowslip

#endif  // SOURCE_JOBS_WAITING_TOKEN_CORE_H_
