#ifndef SOURCE_BATCH_ITEM_DISPATCHER_H_
#define SOURCE_BATCH_ITEM_DISPATCHER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "Base/ids.h"
#include "Base/result.h"
#include "Base/time.h"
#include "Batch/batch_input.h"
#include "Batch/item_result.h"

namespace cowslip {

/// \class ItemDispatch
/// \brief One item to run on a backend server.
struct ItemDispatch {
  JobId job;
  uint32_t item = 0;
  /// From 1.
  uint32_t attempt = 1;
  OrganisationId organisation;
  RouteId route;
  std::string method;
  /// Path and query; empty for the route's own path.
  std::string path;
  /// JSON text.
  std::string body;
  bool idempotent = true;
  MonotonicTime deadline;
  std::string resume_token;
};

/// \class ItemDispatcher
/// \brief Runs items on backend servers. The entry implements it on top of its
/// routing.
class ItemDispatcher {
 public:
  virtual ~ItemDispatcher() = default;

  /// The number of further items that may be dispatched now.
  virtual size_t Capacity() = 0;
  /// Runs an item; `done` is called at most once, on the io_context's thread.
  virtual void Dispatch(ItemDispatch item,
                        std::function<void(ItemResult)> done) = 0;
  /// Stops an item; calling its `done` is then optional.
  virtual void Cancel(const JobId& job, uint32_t item) = 0;
  /// Whether requests to that target may be repeated. Errors: kNotFound for a
  /// route that does not exist, kPermissionDenied for one that the
  /// organisation may not use; the message says how to correct the request.
  virtual Result<bool> IsIdempotent(const OrganisationId& organisation,
                                    const ItemTarget& target) = 0;
};

}  // namespace cowslip

#endif  // SOURCE_BATCH_ITEM_DISPATCHER_H_
