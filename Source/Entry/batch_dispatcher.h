#ifndef SOURCE_ENTRY_BATCH_DISPATCHER_H_
#define SOURCE_ENTRY_BATCH_DISPATCHER_H_

#include <map>
#include <memory>
#include <utility>

#include "Batch/item_dispatcher.h"
#include "Entry/request_driver.h"

namespace cowslip {

class Snapshot;
struct RouteDeclaration;

/// \class BatchDispatcher
/// \brief Runs batch items as requests of the batch class through the same
/// request core that serves callers.
class BatchDispatcher final : public ItemDispatcher {
 public:
  BatchDispatcher(RequestDriver& requests, std::function<void()> on_capacity);

  void SetSnapshot(std::shared_ptr<const Snapshot> snapshot);

  size_t Capacity() override;
  void Dispatch(ItemDispatch item,
                std::function<void(ItemResult)> done) override;
  void Cancel(const JobId& job, uint32_t item) override;
  Result<bool> IsIdempotent(const OrganisationId& organisation,
                            const ItemTarget& target) override;

 private:
  using ItemKey = std::pair<JobId, uint32_t>;
  struct Running;

  const RouteDeclaration* FindRoute(const RouteId& route,
                                    const std::string& method,
                                    const std::string& target) const;
  void OnResponse(const std::shared_ptr<Running>& running,
                  const ResponseEvent& event);
  void Gather(const std::shared_ptr<Running>& running, const std::string& data);
  void Finish(const std::shared_ptr<Running>& running, ItemResult result);

  RequestDriver& m_requests;
  const std::function<void()> m_on_capacity;
  std::shared_ptr<const Snapshot> m_snapshot;
  std::map<ItemKey, RequestId> m_running;
};

}  // namespace cowslip

#endif  // SOURCE_ENTRY_BATCH_DISPATCHER_H_
