#ifndef SOURCE_METRICS_GAUGE_H_
#define SOURCE_METRICS_GAUGE_H_

namespace cowslip {

/// \class Gauge
/// \brief A value that can increase and decrease.
class Gauge {
 public:
  void Set(double value) { m_value = value; }
  double value() const { return m_value; }

 private:
  double m_value = 0;
};

}  // namespace cowslip

#endif  // SOURCE_METRICS_GAUGE_H_
