#ifndef SOURCE_BATCH_ITEM_RESULT_H_
#define SOURCE_BATCH_ITEM_RESULT_H_

#include <string>
#include <variant>

#include "Base/time.h"

namespace cowslip {

/// \class ItemCompleted
/// \brief The backend server answered in full.
struct ItemCompleted {
  int status = 0;
  std::string body;
};

/// \class ItemNotRun
/// \brief The item surely did not begin to run; no attempt is counted.
struct ItemNotRun {
  Duration retry_after{};
};

/// \class ItemPreempted
/// \brief Online work took the item's place; the next dispatch carries the
/// token. No attempt is counted.
struct ItemPreempted {
  std::string resume_token;
};

/// \class ItemFailed
/// \brief The attempt ended without a whole answer.
struct ItemFailed {
  bool may_have_run = true;
  std::string detail;
};

/// How one dispatch of an item ended.
using ItemResult =
    std::variant<ItemCompleted, ItemNotRun, ItemPreempted, ItemFailed>;

}  // namespace cowslip

#endif  // SOURCE_BATCH_ITEM_RESULT_H_
