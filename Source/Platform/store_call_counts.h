#ifndef SOURCE_PLATFORM_STORE_CALL_COUNTS_H_
#define SOURCE_PLATFORM_STORE_CALL_COUNTS_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include <nlohmann/json_fwd.hpp>

namespace cowslip {

/// The kinds of calls that the platform counts. A watch counts as one call,
/// however long it waits.
enum class StoreCall { kGet, kPut, kDelete, kList, kWatch, kListVms };

inline constexpr std::array<StoreCall, 6> kAllStoreCalls = {
    StoreCall::kGet,  StoreCall::kPut,   StoreCall::kDelete,
    StoreCall::kList, StoreCall::kWatch, StoreCall::kListVms};

/// Returns the name of the kind of call in metrics and reports.
const char* StoreCallName(StoreCall call);

/// \class StoreCallCounts
/// \brief Counts the calls of each kind.
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
