#ifndef SOURCE_BATCH_PENDING_REQUESTS_H_
#define SOURCE_BATCH_PENDING_REQUESTS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Base/ids.h"
#include "Base/result.h"
#include "Base/time.h"
#include "Batch/batch_messages.h"
#include "Batch/partition_events.h"

namespace cowslip {

/// \class PendingRequests
/// \brief Requests to a partition's owner, on this VM or a peer, that wait for
/// their reply.
class PendingRequests {
 public:
  explicit PendingRequests(boost::asio::io_context& context);

  /// Registers a request that is sent to `owner`.
  BatchRequestId Add(VmId owner);
  /// Waits for the reply. Errors: those of the reply; kInDoubt when the timeout
  /// passes or the link to the owner fails first.
  boost::asio::awaitable<Result<JobView>> Wait(BatchRequestId request,
                                               Duration timeout);
  /// Returns false when the request is unknown or already has a reply.
  bool Complete(BatchRequestId request, Result<JobView> reply);
  /// Fails every request that waits for a reply of that VM.
  void OnOwnerLost(const VmId& owner);

 private:
  struct Entry {
    explicit Entry(boost::asio::io_context& context) : timer(context) {}
    VmId owner;
    std::optional<Result<JobView>> reply;
    boost::asio::steady_timer timer;
  };

  boost::asio::io_context& m_context;
  uint64_t m_last_request = 0;
  std::map<BatchRequestId, std::shared_ptr<Entry>> m_entries;
};

}  // namespace cowslip

#endif  // SOURCE_BATCH_PENDING_REQUESTS_H_
