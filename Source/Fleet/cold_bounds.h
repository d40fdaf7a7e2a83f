#ifndef SOURCE_FLEET_COLD_BOUNDS_H_
#define SOURCE_FLEET_COLD_BOUNDS_H_

namespace cowslip {

/// \class ColdBounds
/// \brief What cold backend servers tolerate above their declared rate. In any
/// window of one second they may get rate x overage + slack requests.
struct ColdBounds {
  double overage = 1;
  double slack = 0;

  friend bool operator==(const ColdBounds&, const ColdBounds&) = default;
};

}  // namespace cowslip

#endif  // SOURCE_FLEET_COLD_BOUNDS_H_
