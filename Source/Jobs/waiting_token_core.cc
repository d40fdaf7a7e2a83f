#include "Jobs/waiting_token_core.h"

#include <algorithm>
#include <cmath>

namespace cowslip {

namespace {

// Tokens per second below which nothing finishes.
constexpr double kMinRate = 0.01;

// Whether a limit allows more than another one; 0 is no limit.
bool IsHigher(uint64_t limit, uint64_t than) {
  return than != 0 && (limit == 0 || limit > than);
}

// Whether `work` was created after the job, so that its own process counts the
// job instead.
bool IsLater(const JobWork& work, const WaitingTokensRequested& job) {
  return job.created != ObjectVersion() && work.created > job.created;
}

}  // namespace

WaitingTokenAction WaitingTokenCore::Handle(const WaitingTokenEvent& event,
                                            MonotonicTime now) {
  return std::visit(
      [&](const auto& alternative) { return Apply(alternative, now); }, event);
}

WaitingTokenAction WaitingTokenCore::Apply(
    const WaitingTokenLimitsChanged& event,
    MonotonicTime now) {
  std::erase_if(m_former_limits, [&](const FormerLimit& former) {
    return now - former.until > m_options.limit_memory;
  });
  std::map<RouteId, uint64_t> limits;
  for (const WaitingTokenLimit& limit : event.limits) {
    limits[limit.route] = limit.tokens;
    const auto before = m_limits.find(limit.route);
    if (before != m_limits.end() && before->second != limit.tokens) {
      m_former_limits.push_back({limit.route, before->second, now});
      if (IsHigher(before->second, limit.tokens)) {
        m_lowered_at[limit.route] = now;
      }
    }
  }
  m_limits = std::move(limits);
  return WaitingTokenNoAction{};
}

MonotonicTime WaitingTokenCore::LoweredAt(const RouteId& route) const {
  const auto found = m_lowered_at.find(route);
  return found == m_lowered_at.end() ? MonotonicTime() : found->second;
}

uint64_t WaitingTokenCore::LimitSince(const RouteId& route,
                                      MonotonicTime since) const {
  const auto found = m_limits.find(route);
  uint64_t limit = found == m_limits.end() ? 0 : found->second;
  for (const FormerLimit& former : m_former_limits) {
    if (former.route == route && former.until > since &&
        IsHigher(former.tokens, limit)) {
      limit = former.tokens;
    }
  }
  return limit;
}

WaitingTokenAction WaitingTokenCore::Apply(const WaitingWorkSampled& event,
                                           MonotonicTime now) {
  if (now <= m_sampled_at) {
    return WaitingTokenNoAction{};
  }
  std::map<JobKey, JobWork> sample;
  for (const JobWork& work : event.work) {
    sample[work.job] = work;
  }
  for (const auto& [job, before] : m_last_sample) {
    const auto found = sample.find(job);
    const uint64_t left = found == sample.end() ? 0 : found->second.tokens;
    if (left < before.tokens) {
      m_rates[{before.organisation, before.route}].finished +=
          static_cast<double>(before.tokens - left);
    }
  }
  const double elapsed =
      std::chrono::duration<double>(now - m_sampled_at).count();
  const double weight =
      1 -
      std::exp(-elapsed /
               std::chrono::duration<double>(m_options.averaging_time).count());
  for (auto& [owner, rate] : m_rates) {
    rate.tokens_per_second +=
        weight * (rate.finished / elapsed - rate.tokens_per_second);
    rate.finished = 0;
  }
  std::erase_if(m_rates, [](const auto& entry) {
    return entry.second.tokens_per_second < kMinRate;
  });
  m_last_sample = std::move(sample);
  m_sampled_at = now;
  return WaitingTokenNoAction{};
}

Duration WaitingTokenCore::RetryDelay(const Owner& owner,
                                      uint64_t excess) const {
  const auto found = m_rates.find(owner);
  if (found == m_rates.end()) {
    return m_options.max_retry_delay;
  }
  const auto delay = std::chrono::duration<double>(
      static_cast<double>(excess) / found->second.tokens_per_second);
  if (delay > m_options.max_retry_delay) {
    return m_options.max_retry_delay;
  }
  return std::max(m_options.min_retry_delay,
                  std::chrono::duration_cast<Duration>(delay));
}

WaitingTokenAction WaitingTokenCore::Apply(const WaitingTokensRequested& event,
                                           MonotonicTime) {
  const uint64_t limit = LimitSince(event.route, event.limits_since);
  if (limit == 0) {
    return WaitingTokensFit{};
  }
  uint64_t waiting = 0;
  for (const JobWork& work : event.work) {
    if (work.organisation == event.organisation && work.route == event.route &&
        work.job != event.job &&
        (event.count_later_jobs || !IsLater(work, event))) {
      waiting += work.tokens;
    }
  }
  if (waiting + event.tokens <= limit) {
    return WaitingTokensFit{};
  }
  WaitingTokensExceeded exceeded{.waiting = waiting, .limit = limit};
  if (event.tokens <= limit) {
    exceeded.retry_after = RetryDelay({event.organisation, event.route},
                                      waiting + event.tokens - limit);
  }
  return exceeded;
}

}  // namespace cowslip
