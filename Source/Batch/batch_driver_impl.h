#ifndef SOURCE_BATCH_BATCH_DRIVER_IMPL_H_
#define SOURCE_BATCH_BATCH_DRIVER_IMPL_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Batch/batch_driver.h"
#include "Batch/batch_peer_messages.h"
#include "Batch/input_reader.h"
#include "Batch/item_dispatcher.h"
#include "Batch/job_ingest.h"
#include "Batch/partition_runner.h"
#include "Batch/pending_requests.h"

namespace cowslip {

/// \class OwnerRequest
/// \brief A request to the owner of a partition, as an event for an owner on
/// this VM and as a message for one on a peer.
struct OwnerRequest {
  PartitionEvent event;
  BatchPeerMessage message;
};

/// \class BatchDriver::Impl
/// \brief The driver's state; lives until its last coroutine has ended.
class BatchDriver::Impl : public std::enable_shared_from_this<Impl> {
 public:
  using OwnerRequestFactory =
      std::function<OwnerRequest(BatchRequestId request)>;

  Impl(boost::asio::io_context& context,
       ObjectStore& store,
       BatchDriverOptions options,
       SendPeer send_peer,
       ItemDispatcher& dispatcher);

  void Start();
  void Stop();
  void BeginDrain();
  bool drained() const;

  /// Returns a partition's state: from memory when this VM owns it, else from
  /// the store.
  boost::asio::awaitable<Result<PartitionState>> ReadState(
      PartitionId partition);
  /// Sends a request to the assigned owner of the job's partition and waits for
  /// the reply.
  boost::asio::awaitable<Result<JobView>> SendOwnerRequest(
      JobId job,
      OwnerRequestFactory make_request);

  void OnPeerFrame(const VmId& peer, const std::string& cbor);
  void OnPeerDown(const VmId& peer);
  void OnMembers(std::vector<VmId> members);
  /// Dispatches items while the dispatcher has capacity.
  void DispatchItems();

  BatchCounters counters() const;
  const BatchDriverOptions& options() const { return m_options; }
  boost::asio::io_context& context() { return m_context; }
  JobIngest& ingest() { return m_ingest; }
  BatchReader& reader() { return m_reader; }
  InputReader& inputs() { return m_inputs; }
  FairShareScheduler& scheduler() { return m_scheduler; }

  size_t uploads = 0;
  uint64_t jobs_submitted = 0;
  uint64_t reads_without_owner = 0;

 private:
  // One dispatch by the owner of one partition.
  using DispatchKey = std::pair<PartitionId, DispatchId>;
  struct ActiveItem {
    JobId job;
    uint32_t item = 0;
    ItemId custom_id;
    // False while the item is read from the store.
    bool dispatched = false;
    MonotonicTime deadline;
  };
  struct PeerRequest {
    VmId peer;
    uint64_t request = 0;
  };

  void MakeRunner(PartitionId partition);
  VmId OwnerOf(PartitionId partition) const;
  void ScheduleTick();
  void OnTick();
  void FailOverdueItems();

  bool DispatchOne();
  size_t items_awaiting_dispatch() const;
  void OnDispatch(PartitionId partition, const DispatchItem& action);
  boost::asio::awaitable<void> RunItem(DispatchKey key, DispatchItem action);
  void OnItemResult(DispatchKey key, ItemResult result);
  void OnCancelItem(PartitionId partition, const CancelItem& action);

  void OnReply(BatchRequestId request, Result<JobView> reply);
  void On(const VmId& peer, const PeerSubmit& message);
  void On(const VmId& peer, const PeerView& message);
  void On(const VmId& peer, const PeerCancel& message);
  void On(const VmId& peer, const PeerJobReply& message);
  void On(const VmId& peer, const PeerErrorReply& message);
  BatchRequestId AddPeerRequest(const VmId& peer, uint64_t request);
  void SendTo(const VmId& peer, const BatchPeerMessage& message);

  boost::asio::io_context& m_context;
  const BatchDriverOptions m_options;
  const SendPeer m_send_peer;
  ItemDispatcher& m_dispatcher;
  ObjectStore& m_store;
  JobIngest m_ingest;
  BatchReader m_reader;
  InputReader m_inputs;
  FairShareScheduler m_scheduler;
  PendingRequests m_pending;
  boost::asio::steady_timer m_timer;
  bool m_stopped = false;
  bool m_draining = false;
  bool m_dispatching = false;

  std::vector<std::shared_ptr<PartitionRunner>> m_runners;
  std::vector<VmId> m_members;
  std::map<DispatchKey, ActiveItem> m_active;
  // Requests received from peers, by the id that this VM assigned to each.
  std::map<BatchRequestId, PeerRequest> m_peer_requests;
  uint64_t m_last_peer_request = 0;
  uint64_t m_requests_forwarded = 0;
};

}  // namespace cowslip

#endif  // SOURCE_BATCH_BATCH_DRIVER_IMPL_H_
