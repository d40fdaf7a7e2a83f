#ifndef SOURCE_LIMITS_SHARE_H_
#define SOURCE_LIMITS_SHARE_H_

#include <cstdint>

#include "Base/time.h"
#include "Limits/limits_constants.h"
#include "Limits/limits_events.h"

namespace cowslip {

/// \class Share
/// \brief A fraction of one organisation's rate and burst: a token bucket of
/// that fraction's size.
///
/// Fractions are conserved, and tokens move only together with a fraction, so
/// the tokens of all shares together never exceed the burst and grow no faster
/// than the rate.
class Share {
 public:
  /// Tokens are refilled from `since` on.
  Share(int64_t fraction, double tokens, MonotonicTime since)
      : m_fraction(fraction), m_tokens(tokens), m_updated(since) {}

  /// Takes `cost` tokens if they are available. The admission may happen up to
  /// `delay` later; until then, the tokens taken must not be refilled.
  bool TryTake(double cost,
               Duration delay,
               const OrganisationLimit& limit,
               MonotonicTime now);
  /// The time until `cost` tokens could be available.
  Duration TimeUntil(double cost, const OrganisationLimit& limit) const;

  /// Deducts a fraction and its part of the tokens.
  ShareAmount Split(int64_t fraction,
                    const OrganisationLimit& limit,
                    MonotonicTime now);
  void Merge(const ShareAmount& amount,
             const OrganisationLimit& limit,
             MonotonicTime now);

  /// Adds the tokens accrued up to `now` and caps them at the burst.
  void Refill(const OrganisationLimit& limit, MonotonicTime now);
  int64_t fraction() const { return m_fraction; }
  double tokens() const { return m_tokens; }

 private:
  int64_t m_fraction;
  double m_tokens;
  MonotonicTime m_updated;
};

}  // namespace cowslip

#endif  // SOURCE_LIMITS_SHARE_H_
