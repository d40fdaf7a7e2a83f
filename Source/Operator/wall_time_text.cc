#include "Operator/wall_time_text.h"

#include <ctime>

namespace cowslip {

std::string WallTimeText(WallTime time) {
  const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[32];
  const size_t length =
      std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return std::string(text, length);
}

}  // namespace cowslip
