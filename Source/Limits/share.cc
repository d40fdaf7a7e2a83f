#include "Limits/share.h"

#include <algorithm>

namespace cowslip {
namespace {

/// The longest retry delay that a refusal contains.
constexpr Duration kMaxRetryAfter = std::chrono::minutes(1);

double FractionOfWhole(int64_t fraction) {
  return static_cast<double>(fraction) / static_cast<double>(kWholeShare);
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void Share::Refill(const OrganisationLimit& limit, MonotonicTime now) {
  const double part = FractionOfWhole(m_fraction);
  if (now > m_updated) {
    m_tokens += part * limit.rate * Seconds(now - m_updated);
    m_updated = now;
  }
  m_tokens = std::min(m_tokens, part * limit.burst);
}

bool Share::TryTake(double cost,
                    Duration delay,
                    const OrganisationLimit& limit,
                    MonotonicTime now) {
  Refill(limit, now);
  // A negative cost would create tokens, and NaN would make the count unusable.
  const bool is_valid = cost >= 0;
  if (!is_valid || m_tokens < cost) {
    return false;
  }
  // Otherwise a full share would be full again when the delayed admission
  // happens, and more than the burst could be admitted at once.
  const double part = FractionOfWhole(m_fraction);
  const double ceiling = part * (limit.burst - limit.rate * Seconds(delay));
  m_tokens = std::min(m_tokens, ceiling) - cost;
  return true;
}

Duration Share::TimeUntil(double cost, const OrganisationLimit& limit) const {
  const double rate = FractionOfWhole(m_fraction) * limit.rate;
  const double missing = cost - m_tokens;
  if (missing <= 0) {
    return Duration::zero();
  }
  if (rate <= 0 || missing / rate > Seconds(kMaxRetryAfter)) {
    return kMaxRetryAfter;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(missing / rate));
}

ShareAmount Share::Split(int64_t fraction,
                         const OrganisationLimit& limit,
                         MonotonicTime now) {
  Refill(limit, now);
  const int64_t taken = std::clamp<int64_t>(fraction, 0, m_fraction);
  ShareAmount amount{limit.organisation, taken, 0};
  if (taken == 0) {
    return amount;
  }
  amount.tokens =
      m_tokens * static_cast<double>(taken) / static_cast<double>(m_fraction);
  m_tokens -= amount.tokens;
  m_fraction -= taken;
  return amount;
}

void Share::Merge(const ShareAmount& amount,
                  const OrganisationLimit& limit,
                  MonotonicTime now) {
  Refill(limit, now);
  m_fraction += amount.fraction;
  m_tokens += amount.tokens;
  Refill(limit, now);
}

}  // namespace cowslip
