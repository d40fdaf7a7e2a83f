#ifndef SOURCE_BATCH_ITEM_RESULT_H_
#define SOURCE_BATCH_ITEM_RESULT_H_

#include <string>
#include <variant>

#include "Base/time.h"

namespace cowslip {

/// \class ItemCompleted
/// \brief The backend server sent a complete response.
struct ItemCompleted {
  int status = 0;
  std::string body;
};

/// \class ItemNotRun
/// \brief The item is known not to have started; no attempt is counted.
struct ItemNotRun {
  Duration retry_after{};
};

/// \class ItemPreempted
/// \brief Online work preempted the item; the next dispatch passes the resume
/// token. No attempt is counted.
struct ItemPreempted {
  std::string resume_token;
};

/// \class ItemBackendLost
/// \brief The backend server was lost while it ran the item. No attempt is
/// counted, because crashes are not the item's fault.
struct ItemBackendLost {
  std::string detail;
};

/// \class ItemFailed
/// \brief The attempt ended without a complete response.
struct ItemFailed {
  bool may_have_run = true;
  std::string detail;
};

/// How one dispatch of an item ended.
using ItemResult = std::variant<ItemCompleted,
                                ItemNotRun,
                                ItemPreempted,
                                ItemBackendLost,
                                ItemFailed>;

}  // namespace cowslip

#endif  // SOURCE_BATCH_ITEM_RESULT_H_
