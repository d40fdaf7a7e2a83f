#ifndef SOURCE_PLATFORM_STORE_CALL_COUNTS_H_
#define SOURCE_PLATFORM_STORE_CALL_COUNTS_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include <nlohmann/json_fwd.hpp>

namespace cowslip {

/// The kinds of call that the platform counts. A waiting watch is one call.
enum class StoreCall { kGet, kPut, kDelete, kList, kWatch, kListVms };

inline constexpr std::array<StoreCall, 6> kAllStoreCalls = {
    StoreCall::kGet,  StoreCall::kPut,   StoreCall::kDelete,
    StoreCall::kList, StoreCall::kWatch, StoreCall::kListVms};

/// The name of a kind of call in metrics and reports.
const char* StoreCallName(StoreCall call);

/// \class StoreCallCounts
/// \brief How many calls of each kind were made.
class StoreCallCounts {
 public:
  void Count(StoreCall call) { ++m_counts[static_cast<size_t>(call)]; }
  uint64_t count(StoreCall call) const {
    return m_counts[static_cast<size_t>(call)];
  }

 private:
  std::array<uint64_t, kAllStoreCalls.size()> m_counts = {};
};

/// Writes `{"get": 3, "put": 1, ...}`.
void to_json(nlohmann::json& json, const StoreCallCounts& counts);

}  // namespace cowslip

#endif  // SOURCE_PLATFORM_STORE_CALL_COUNTS_H_
