#ifndef SOURCE_BATCH_FAIR_SHARE_SCHEDULER_H_
#define SOURCE_BATCH_FAIR_SHARE_SCHEDULER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "Base/ids.h"
#include "Base/time.h"
#include "Batch/partition_events.h"

namespace cowslip {

/// \class FairShareOptions
/// \brief The balance between urgency and fairness.
struct FairShareOptions {
  /// A job with less slack than this is urgent.
  Duration urgent_slack = std::chrono::minutes(10);
  /// One pick in this many goes to the most urgent job of any organisation; the
  /// others are shared between organisations by weight.
  uint32_t urgent_period = 2;
};

/// \class FairShareScheduler
/// \brief Picks the job whose item is dispatched next, by start-time fair
/// queuing between organisations.
///
/// Organisations share picks by weight: the one with the fewest picks for its
/// weight is next, and one that was idle gets no credit for that time. Within
/// an organisation the job with the least slack is next; bulk jobs wait for the
/// others while they are not urgent. Beyond these shares, urgent jobs of any
/// organisation take at most one pick in `urgent_period`, so that no
/// organisation is starved.
class FairShareScheduler {
 public:
  explicit FairShareScheduler(FairShareOptions options = {});

  /// Organisations without a weight have 1.
  void SetWeight(const OrganisationId& organisation, double weight);

  /// Returns the index of the candidate to dispatch; nullopt without
  /// candidates.
  std::optional<size_t> Pick(const std::vector<DispatchCandidate>& candidates,
                             MonotonicTime now);

 private:
  Duration Slack(const DispatchCandidate& candidate, MonotonicTime now) const;
  bool RanksBefore(const DispatchCandidate& a,
                   const DispatchCandidate& b,
                   MonotonicTime now) const;
  void RecordPick(const OrganisationId& organisation, MonotonicTime now);
  double StartTag(const OrganisationId& organisation) const;

  const FairShareOptions m_options;
  std::map<OrganisationId, double> m_weights;
  // Each pick of an organisation adds 1 / weight to its tag.
  std::map<OrganisationId, double> m_finish_tags;
  double m_virtual_time = 0;
  uint64_t m_picks = 0;
  // The smoothed time between picks: an estimate of the time that one item
  // takes on this VM.
  std::optional<MonotonicTime> m_last_pick;
  Duration m_pick_interval{};
};

}  // namespace cowslip

#endif  // SOURCE_BATCH_FAIR_SHARE_SCHEDULER_H_
