#ifndef SOURCE_METRICS_COUNTER_H_
#define SOURCE_METRICS_COUNTER_H_

#include <cstdint>

namespace cowslip {

/// \class Counter
/// \brief A monotonically increasing count.
class Counter {
 public:
  void Increment(uint64_t by = 1) { m_value += by; }
  uint64_t value() const { return m_value; }

 private:
  uint64_t m_value = 0;
};

}  // namespace cowslip

#endif  // SOURCE_METRICS_COUNTER_H_
