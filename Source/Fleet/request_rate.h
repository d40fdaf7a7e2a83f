#ifndef SOURCE_FLEET_REQUEST_RATE_H_
#define SOURCE_FLEET_REQUEST_RATE_H_

#include <compare>

namespace cowslip {

/// \class RequestRate
/// \brief A number of requests per second.
struct RequestRate {
  double per_second = 0;

  friend auto operator<=>(const RequestRate&, const RequestRate&) = default;
};

}  // namespace cowslip

#endif  // SOURCE_FLEET_REQUEST_RATE_H_
