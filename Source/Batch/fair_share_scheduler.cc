#include "Batch/fair_share_scheduler.h"

#include <algorithm>
#include <tuple>

namespace cowslip {

namespace {

constexpr int kSmoothingFactor = 16;
// Longer gaps between picks are idle time and count as this much.
constexpr Duration kMaxPickInterval = std::chrono::milliseconds(500);
constexpr double kMinWeight = 0.01;

}  // namespace

FairShareScheduler::FairShareScheduler(FairShareOptions options)
    : m_options(options) {}

void FairShareScheduler::SetWeight(const OrganisationId& organisation,
                                   double weight) {
  m_weights[organisation] = std::max(weight, kMinWeight);
}

Duration FairShareScheduler::Slack(const DispatchCandidate& candidate,
                                   MonotonicTime now) const {
  return candidate.deadline - now - m_pick_interval * candidate.remaining;
}

bool FairShareScheduler::RanksBefore(const DispatchCandidate& a,
                                     const DispatchCandidate& b,
                                     MonotonicTime now) const {
  const auto rank = [&](const DispatchCandidate& candidate) {
    const Duration slack = Slack(candidate, now);
    const bool waits = candidate.bulk && slack >= m_options.urgent_slack;
    return std::tuple(waits, slack, candidate.job);
  };
  return rank(a) < rank(b);
}

double FairShareScheduler::StartTag(const OrganisationId& organisation) const {
  const auto finish_tag = m_finish_tags.find(organisation);
  // Idle time gives an organisation no credit over the others.
  return finish_tag == m_finish_tags.end()
             ? m_virtual_time
             : std::max(finish_tag->second, m_virtual_time);
}

void FairShareScheduler::RecordPick(const OrganisationId& organisation,
                                    MonotonicTime now) {
  const auto found = m_weights.find(organisation);
  const double weight = found == m_weights.end() ? 1 : found->second;
  m_finish_tags[organisation] = StartTag(organisation) + 1 / weight;
  if (m_last_pick) {
    const Duration since = std::min(now - *m_last_pick, kMaxPickInterval);
    m_pick_interval += (since - m_pick_interval) / kSmoothingFactor;
  }
  m_last_pick = now;
  ++m_picks;
}

std::optional<size_t> FairShareScheduler::Pick(
    const std::vector<DispatchCandidate>& candidates,
    MonotonicTime now) {
  if (candidates.empty()) {
    return std::nullopt;
  }
  size_t most_urgent = 0;
  size_t fairest = 0;
  for (size_t i = 1; i < candidates.size(); ++i) {
    const DispatchCandidate& candidate = candidates[i];
    if (Slack(candidate, now) < Slack(candidates[most_urgent], now)) {
      most_urgent = i;
    }
    const double candidate_tag = StartTag(candidate.organisation);
    const double best_tag = StartTag(candidates[fairest].organisation);
    const bool same_organisation =
        candidate.organisation == candidates[fairest].organisation;
    const bool ranks_before =
        candidate_tag == best_tag || same_organisation
            ? RanksBefore(candidate, candidates[fairest], now)
            : candidate_tag < best_tag;
    if (ranks_before) {
      fairest = i;
    }
  }
  const bool urgent =
      m_picks % m_options.urgent_period == 0 &&
      Slack(candidates[most_urgent], now) < m_options.urgent_slack;
  const size_t picked = urgent ? most_urgent : fairest;
  if (!urgent) {
    m_virtual_time = StartTag(candidates[picked].organisation);
  }
  RecordPick(candidates[picked].organisation, now);
  return picked;
}

}  // namespace cowslip
