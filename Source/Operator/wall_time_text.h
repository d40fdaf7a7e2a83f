#ifndef SOURCE_OPERATOR_WALL_TIME_TEXT_H_
#define SOURCE_OPERATOR_WALL_TIME_TEXT_H_

#include <string>

#include "Base/time.h"

namespace cowslip {

/// The time in UTC, as `2026-12-03T22:18:52Z`.
std::string WallTimeText(WallTime time);

}  // namespace cowslip

#endif  // SOURCE_OPERATOR_WALL_TIME_TEXT_H_
