#ifndef SOURCE_BASE_WORK_CLASS_H_
#define SOURCE_BASE_WORK_CLASS_H_

#include <nlohmann/json.hpp>

namespace cowslip {

/// Whether a caller waits for the response (online) or not (batch). Online
/// work has priority over batch work.
enum class WorkClass { kOnline, kBatch };
NLOHMANN_JSON_SERIALIZE_ENUM(WorkClass,
                             {{WorkClass::kOnline, "online"},
                              {WorkClass::kBatch, "batch"}})

}  // namespace cowslip

#endif  // SOURCE_BASE_WORK_CLASS_H_
