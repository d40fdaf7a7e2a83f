#include "Utilities/StandIns/Engine/engine_faults.h"

#include "Base/json.h"

namespace cowslip {

Result<EngineFaults> ParseEngineFaults(const std::string& body) {
  const Result<nlohmann::json> json = ParseJson(body);
  if (!json.has_value()) {
    return json.error();
  }
  try {
    EngineFaults faults;
    const nlohmann::json& from = json.value();
    faults.slow_ms = from.value("slow_ms", faults.slow_ms);
    faults.down = from.value("down", faults.down);
    faults.crash_marker = from.value("crash_marker", faults.crash_marker);
    faults.crash_mode = from.value("crash_mode", faults.crash_mode);
    faults.down_ms = from.value("down_ms", faults.down_ms);
    faults.fail_marker = from.value("fail_marker", faults.fail_marker);
    faults.cut_after_tokens =
        from.value("cut_after_tokens", faults.cut_after_tokens);
    return faults;
  } catch (const nlohmann::json::exception& error) {
    return Error(
        ErrorKind::kInvalidArgument,
        std::string("Send an object of faults: ") + error.what() + ".");
  }
}

}  // namespace cowslip
