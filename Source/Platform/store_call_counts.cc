#include "Platform/store_call_counts.h"

#include <nlohmann/json.hpp>

namespace cowslip {

const char* StoreCallName(StoreCall call) {
  switch (call) {
    case StoreCall::kGet:
      return "get";
    case StoreCall::kPut:
      return "put";
    case StoreCall::kDelete:
      return "delete";
    case StoreCall::kList:
      return "list";
    case StoreCall::kWatch:
      return "watch";
    case StoreCall::kListVms:
      return "vms";
  }
  return "unknown";
}

void to_json(nlohmann::json& json, const StoreCallCounts& counts) {
  json = nlohmann::json::object();
  for (const StoreCall call : kAllStoreCalls) {
    json[StoreCallName(call)] = counts.count(call);
  }
}

}  // namespace cowslip
