#include "Quota/quota_core.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cowslip {

namespace {

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

QuotaCore::QuotaCore(QuotaOptions options) : m_options(options) {}

QuotaAction QuotaCore::Handle(const QuotaEvent& event, MonotonicTime now) {
  if (!m_started_at.has_value()) {
    m_started_at = now;
  }
  return std::visit(
      [&](const auto& alternative) { return Apply(alternative, now); }, event);
}

double QuotaCore::SilentFraction() const {
  return static_cast<double>(m_fleet.silent) /
         static_cast<double>(std::max<uint32_t>(m_fleet.members, 1));
}

void QuotaCore::Refill(Bucket& bucket, MonotonicTime now) const {
  const double seconds = ToSeconds(now - bucket.updated_at);
  bucket.updated_at = now;
  const double own_rate = bucket.rate * (1 - SilentFraction());
  bucket.level = std::min(bucket.burst, bucket.level + own_rate * seconds);
  const double since_report = ToSeconds(now - bucket.peer_updated_at);
  bucket.peer_rate *= std::exp(-since_report);
  bucket.peer_updated_at = now;
}

QuotaAction QuotaCore::Apply(const QuotaCheckRequested& event,
                             MonotonicTime now) {
  const auto found = m_buckets.find(event.organisation);
  if (found == m_buckets.end()) {
    return QuotaAdmitted{};
  }
  Bucket& bucket = found->second;
  Refill(bucket, now);
  const double unseen = bucket.peer_rate * ToSeconds(m_options.report_delay);
  const double missing = 1 + unseen - bucket.level;
  if (missing <= 0) {
    bucket.level -= 1;
    ++m_admitted[event.organisation];
    return QuotaAdmitted{.level = bucket.level};
  }
  return QuotaExceeded{
      .retry_after = std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(missing / bucket.rate)),
      .level = bucket.level,
      .unseen = unseen,
      .rate = bucket.rate,
      .burst = bucket.burst};
}

void QuotaCore::ChargePeerUsage(Bucket& bucket,
                                double count,
                                MonotonicTime now) const {
  Refill(bucket, now);
  bucket.level -= count;
  bucket.peer_rate += count;
}

double QuotaCore::ChargedFraction(Duration silence, MonotonicTime now) const {
  if (silence <= Duration::zero()) {
    return 1;
  }
  const Duration undetected =
      std::min(m_options.failure_detection_time, now - *m_started_at);
  return std::min(1.0, ToSeconds(undetected) / ToSeconds(silence));
}

QuotaAction QuotaCore::Apply(const PeerUsageReported& event,
                             MonotonicTime now) {
  PeerUsage& peer = m_peers[event.vm];
  const bool restarted = peer.incarnation != event.incarnation;
  if (restarted) {
    peer = PeerUsage{.incarnation = event.incarnation,
                     .last_report = now - event.uptime};
  }
  const double charged = ChargedFraction(now - peer.last_report, now);
  peer.last_report = now;
  for (const OrganisationUsage& usage : event.usage) {
    uint64_t& known = peer.admitted[usage.organisation];
    if (usage.admitted <= known) {
      continue;
    }
    const uint64_t increase = usage.admitted - known;
    known = usage.admitted;
    const auto bucket = m_buckets.find(usage.organisation);
    if (bucket != m_buckets.end()) {
      // More than a full bucket and one second's refill in one report can only
      // stem from admissions long ago.
      const double count = std::min(charged * static_cast<double>(increase),
                                    bucket->second.burst + bucket->second.rate);
      ChargePeerUsage(bucket->second, count, now);
    }
  }
  return QuotaNoAction{};
}

double QuotaCore::InitialLevel(double burst) const {
  return burst / std::max<uint32_t>(m_fleet.members, 1);
}

QuotaAction QuotaCore::Apply(const FleetSizeChanged& event, MonotonicTime now) {
  const double before = SilentFraction();
  for (auto& [id, bucket] : m_buckets) {
    Refill(bucket, now);
  }
  m_fleet = event;
  if (!std::exchange(m_fleet_is_known, true)) {
    for (auto& [id, bucket] : m_buckets) {
      bucket.level =
          std::min(bucket.burst, bucket.level + InitialLevel(bucket.burst));
    }
  }
  const double newly_silent = SilentFraction() - before;
  if (newly_silent > 0) {
    for (auto& [id, bucket] : m_buckets) {
      bucket.level -= std::max(bucket.level, 0.0) * newly_silent;
    }
  }
  return QuotaNoAction{};
}

QuotaAction QuotaCore::Apply(const QuotasChanged& event, MonotonicTime now) {
  std::map<OrganisationId, Bucket> buckets;
  for (const OrganisationQuota& quota : event.quotas) {
    if (quota.rate <= 0) {
      continue;
    }
    const double burst = std::max(quota.burst, 1.0);
    Bucket bucket{.level = m_fleet_is_known ? InitialLevel(burst) : 0,
                  .updated_at = now,
                  .peer_updated_at = now};
    const auto known = m_buckets.find(quota.organisation);
    if (known != m_buckets.end()) {
      bucket = known->second;
      Refill(bucket, now);
    }
    bucket.rate = quota.rate;
    bucket.burst = burst;
    bucket.level = std::min(bucket.level, burst);
    buckets.emplace(quota.organisation, bucket);
  }
  m_buckets = std::move(buckets);
  return QuotaNoAction{};
}

std::vector<OrganisationUsage> QuotaCore::Usage() const {
  std::vector<OrganisationUsage> usage;
  for (const auto& [organisation, admitted] : m_admitted) {
    if (m_buckets.contains(organisation)) {
      usage.push_back({organisation, admitted});
    }
  }
  return usage;
}

}  // namespace cowslip
