#include "Batch/batch_driver_impl.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include "Base/json.h"
#include "Base/log.h"
#include "Base/message_codec.h"
#include "Base/rendezvous.h"

namespace cowslip {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

// The cores identify requests of peers and of this VM's callers in one id
// space; requests of peers have the top bit set.
constexpr uint64_t kPeerRequestBit = uint64_t{1} << 63;
constexpr size_t kMaxPeerRequests = 10'000;
// The most dispatches in one call of DispatchItems().
constexpr int kDispatchesPerTurn = 32;
constexpr Duration kReadRetry = std::chrono::seconds(1);

Error NoOwnerError() {
  return {
      ErrorKind::kUnavailable,
      "The VM that owns the job's partition cannot be reached just now. Send "
      "the request again in a few seconds, with the same Idempotency-Key."};
}

}  // namespace

BatchDriver::Impl::Impl(asio::io_context& context,
                        ObjectStore& store,
                        BatchDriverOptions options,
                        SendPeer send_peer,
                        ItemDispatcher& dispatcher)
    : m_context(context),
      m_options(std::move(options)),
      m_send_peer(std::move(send_peer)),
      m_dispatcher(dispatcher),
      m_store(store),
      m_ingest(context,
               store,
               dispatcher,
               m_options.partitions,
               m_options.limits),
      m_reader(store, m_options.partitions),
      m_inputs(context, store, m_options.partitions, m_options.input_segments),
      m_scheduler(m_options.fair_share),
      m_pending(context),
      m_timer(context) {}

void BatchDriver::Impl::Start() {
  for (uint32_t number = 0; number < m_options.partitions; ++number) {
    MakeRunner(PartitionId(number));
  }
  OnMembers(m_members);
  ScheduleTick();
}

void BatchDriver::Impl::MakeRunner(PartitionId partition) {
  PartitionOptions options = m_options.partition;
  options.partition = partition;
  options.self = m_options.self;
  options.incarnation = m_options.incarnation;
  const auto monotonic = std::chrono::duration_cast<std::chrono::milliseconds>(
      MonotonicClock::now().time_since_epoch());
  options.wall_clock_offset_ms =
      WallNow().time_since_epoch().count() - monotonic.count();
  const std::weak_ptr<Impl> weak = weak_from_this();
  PartitionCallbacks callbacks{
      .dispatch =
          [weak, partition](const DispatchItem& action) {
            if (const auto self = weak.lock()) {
              self->OnDispatch(partition, action);
            }
          },
      .cancel =
          [weak, partition](const CancelItem& action) {
            if (const auto self = weak.lock()) {
              self->OnCancelItem(partition, action);
            }
          },
      .reply =
          [weak](BatchRequestId request, Result<JobView> reply) {
            if (const auto self = weak.lock()) {
              self->OnReply(request, std::move(reply));
            }
          }};
  m_runners.push_back(std::make_shared<PartitionRunner>(
      m_context, m_store, std::move(options), std::move(callbacks)));
}

void BatchDriver::Impl::Stop() {
  m_stopped = true;
  m_timer.cancel();
  for (const auto& runner : m_runners) {
    runner->Stop();
  }
}

void BatchDriver::Impl::BeginDrain() {
  m_draining = true;
  for (const auto& runner : m_runners) {
    runner->Feed(DrainRequested{});
  }
}

bool BatchDriver::Impl::drained() const {
  return m_stopped ||
         std::all_of(m_runners.begin(), m_runners.end(),
                     [](const auto& each) { return each->core().drained(); });
}

void BatchDriver::Impl::ScheduleTick() {
  m_timer.expires_after(m_options.tick);
  m_timer.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self && !self->m_stopped) {
          self->OnTick();
          self->ScheduleTick();
        }
      });
}

void BatchDriver::Impl::OnTick() {
  for (const auto& runner : m_runners) {
    runner->Feed(Tick{});
  }
  FailOverdueItems();
  DispatchItems();
}

VmId BatchDriver::Impl::OwnerOf(PartitionId partition) const {
  const std::string key = "batch/" + std::to_string(partition.value());
  const auto picked = RendezvousPick(key, m_members, 1);
  return picked.empty() ? VmId() : picked.front();
}

void BatchDriver::Impl::OnMembers(std::vector<VmId> members) {
  m_members = std::move(members);
  for (uint32_t number = 0; number < m_runners.size(); ++number) {
    const bool assigned = OwnerOf(PartitionId(number)) == m_options.self;
    m_runners[number]->Feed(AssignmentChanged{.assigned = assigned});
  }
}

awaitable<Result<PartitionState>> BatchDriver::Impl::ReadState(
    PartitionId partition) {
  if (partition.value() < m_runners.size()) {
    const PartitionCore& core = m_runners[partition.value()]->core();
    if (core.IsOwner(MonotonicClock::now())) {
      co_return core.state();
    }
  }
  co_return co_await m_reader.ReadPartition(partition);
}

awaitable<Result<JobView>> BatchDriver::Impl::SendOwnerRequest(
    JobId job,
    OwnerRequestFactory make_request) {
  const std::shared_ptr<Impl> self = shared_from_this();
  const PartitionId partition = PartitionOf(job, m_options.partitions);
  const VmId owner = OwnerOf(partition);
  if (owner.empty() || m_runners.empty()) {
    co_return NoOwnerError();
  }
  const BatchRequestId request = m_pending.Add(owner);
  OwnerRequest owner_request = make_request(request);
  if (owner == m_options.self) {
    m_runners[partition.value()]->Feed(std::move(owner_request.event));
  } else {
    ++m_requests_forwarded;
    const std::string frame = ToCbor(EncodeMessage(owner_request.message));
    if (!m_send_peer(owner, frame)) {
      m_pending.Complete(request, NoOwnerError());
    }
  }
  const Duration timeout = m_options.request_timeout;
  co_return co_await m_pending.Wait(request, timeout);
}

void BatchDriver::Impl::OnReply(BatchRequestId request, Result<JobView> reply) {
  if ((request.value() & kPeerRequestBit) == 0) {
    m_pending.Complete(request, std::move(reply));
    return;
  }
  const auto found = m_peer_requests.find(request);
  if (found == m_peer_requests.end()) {
    return;
  }
  const PeerRequest peer_request = found->second;
  m_peer_requests.erase(found);
  if (reply.has_value()) {
    SendTo(peer_request.peer, PeerJobReply{.request = peer_request.request,
                                           .view = reply.value()});
    return;
  }
  SendTo(peer_request.peer,
         PeerErrorReply{.request = peer_request.request,
                        .kind = static_cast<int>(reply.error().kind()),
                        .message = reply.error().message});
}

void BatchDriver::Impl::SendTo(const VmId& peer,
                               const BatchPeerMessage& message) {
  m_send_peer(peer, ToCbor(EncodeMessage(message)));
}

BatchRequestId BatchDriver::Impl::AddPeerRequest(const VmId& peer,
                                                 uint64_t request) {
  if (m_peer_requests.size() >= kMaxPeerRequests) {
    m_peer_requests.erase(m_peer_requests.begin());
  }
  const BatchRequestId local_id(kPeerRequestBit | ++m_last_peer_request);
  m_peer_requests[local_id] = {.peer = peer, .request = request};
  return local_id;
}

void BatchDriver::Impl::OnPeerFrame(const VmId& peer, const std::string& cbor) {
  const auto json = ParseCbor(cbor);
  if (!json.has_value()) {
    LOG(WARNING) << "batch: dropped a frame that cannot be decoded, from "
                 << peer << ": " << json.error();
    return;
  }
  const auto message = DecodeMessage<BatchPeerMessage>(json.value());
  if (!message.has_value()) {
    LOG(WARNING) << "batch: dropped an invalid message from " << peer << ": "
                 << message.error();
    return;
  }
  if (m_stopped || m_runners.empty()) {
    return;
  }
  std::visit([&](const auto& alternative) { On(peer, alternative); },
             message.value());
}

void BatchDriver::Impl::On(const VmId& peer, const PeerSubmit& message) {
  const BatchRequestId request = AddPeerRequest(peer, message.request);
  const PartitionId partition =
      PartitionOf(message.header.job, m_options.partitions);
  m_runners[partition.value()]->Feed(
      SubmitRequested{.request = request, .header = message.header});
}

void BatchDriver::Impl::On(const VmId& peer, const PeerView& message) {
  const BatchRequestId request = AddPeerRequest(peer, message.request);
  const PartitionId partition = PartitionOf(message.job, m_options.partitions);
  m_runners[partition.value()]->Feed(
      ViewRequested{.request = request,
                    .organisation = message.organisation,
                    .job = message.job});
}

void BatchDriver::Impl::On(const VmId& peer, const PeerCancel& message) {
  const BatchRequestId request = AddPeerRequest(peer, message.request);
  const PartitionId partition = PartitionOf(message.job, m_options.partitions);
  m_runners[partition.value()]->Feed(
      CancelRequested{.request = request,
                      .organisation = message.organisation,
                      .job = message.job});
}

void BatchDriver::Impl::On(const VmId&, const PeerJobReply& message) {
  m_pending.Complete(BatchRequestId(message.request), message.view);
}

void BatchDriver::Impl::On(const VmId&, const PeerErrorReply& message) {
  m_pending.Complete(
      BatchRequestId(message.request),
      Error(static_cast<ErrorKind>(message.kind), message.message));
}

void BatchDriver::Impl::OnPeerDown(const VmId& peer) {
  m_pending.OnOwnerLost(peer);
}

BatchCounters BatchDriver::Impl::counters() const {
  BatchCounters sum;
  const MonotonicTime now = MonotonicClock::now();
  for (const auto& runner : m_runners) {
    const PartitionCounters& each = runner->core().counters();
    sum.partitions.appends += each.appends;
    sum.partitions.checkpoints += each.checkpoints;
    sum.partitions.object_writes += each.object_writes;
    sum.partitions.claims += each.claims;
    sum.partitions.leases_lost += each.leases_lost;
    sum.partitions.dispatches += each.dispatches;
    sum.partitions.attempts_failed += each.attempts_failed;
    sum.partitions.preemptions += each.preemptions;
    sum.partitions.outcomes += each.outcomes;
    sum.owned_partitions += runner->core().IsOwner(now) ? 1 : 0;
    sum.running_items += runner->core().running_items();
  }
  sum.jobs_submitted = jobs_submitted;
  sum.requests_forwarded = m_requests_forwarded;
  sum.reads_without_owner = reads_without_owner;
  return sum;
}

// Items.

size_t BatchDriver::Impl::items_awaiting_dispatch() const {
  size_t items = 0;
  for (const auto& [key, active] : m_active) {
    items += active.dispatched ? 0 : 1;
  }
  for (const auto& runner : m_runners) {
    items += runner->core().uncommitted_intents();
  }
  return items;
}

void BatchDriver::Impl::DispatchItems() {
  if (m_stopped || m_draining || m_dispatching) {
    return;
  }
  m_dispatching = true;
  for (int i = 0; i < kDispatchesPerTurn; ++i) {
    if (!DispatchOne()) {
      break;
    }
  }
  m_dispatching = false;
}

bool BatchDriver::Impl::DispatchOne() {
  if (m_dispatcher.Capacity() <= items_awaiting_dispatch()) {
    return false;
  }
  const MonotonicTime now = MonotonicClock::now();
  std::vector<DispatchCandidate> candidates;
  std::vector<size_t> runners;
  for (size_t number = 0; number < m_runners.size(); ++number) {
    for (auto& candidate : m_runners[number]->core().Candidates(now)) {
      candidates.push_back(std::move(candidate));
      runners.push_back(number);
    }
  }
  const auto picked = m_scheduler.Pick(candidates, now);
  if (!picked) {
    return false;
  }
  m_runners[runners[*picked]]->Feed(
      DispatchNext{.job = candidates[*picked].job});
  return true;
}

void BatchDriver::Impl::OnDispatch(PartitionId partition,
                                   const DispatchItem& action) {
  const DispatchKey key(partition, action.dispatch);
  m_active[key] = {.job = action.header.job,
                   .item = action.item,
                   .deadline = MonotonicClock::now() + m_options.item_timeout};
  asio::co_spawn(m_context, RunItem(key, action),
                 [self = shared_from_this()](const std::exception_ptr& error) {
                   if (error) {
                     LOG(ERROR)
                         << "batch: dispatching an item threw an exception.";
                   }
                 });
}

awaitable<void> BatchDriver::Impl::RunItem(DispatchKey key,
                                           DispatchItem action) {
  auto read = co_await m_inputs.Read(action.header, action.item);
  const auto found = m_active.find(key);
  if (found == m_active.end() || m_stopped) {
    co_return;
  }
  if (!read.has_value()) {
    const ErrorKind kind = read.error().kind();
    const bool unreadable =
        kind == ErrorKind::kNotFound || kind == ErrorKind::kMalformedMessage;
    if (unreadable) {
      OnItemResult(key, ItemFailed{.may_have_run = false,
                                   .detail = read.error().message});
    } else {
      OnItemResult(key, ItemNotRun{.retry_after = kReadRetry});
    }
    co_return;
  }
  BatchItem& item = read.value();
  found->second.custom_id = item.custom_id;
  found->second.dispatched = true;
  ItemDispatch dispatch{.job = action.header.job,
                        .item = action.item,
                        .attempt = action.attempt,
                        .organisation = action.header.organisation,
                        .route = item.target.route.empty() ? action.header.route
                                                           : item.target.route,
                        .method = item.target.method,
                        .path = item.target.url,
                        .body = std::move(item.body),
                        .idempotent = action.header.idempotent,
                        .deadline = found->second.deadline,
                        .resume_token = action.resume_token};
  const auto done = [weak = weak_from_this(), key,
                     &context = m_context](ItemResult result) {
    asio::post(context, [weak, key, result = std::move(result)]() mutable {
      if (const auto self = weak.lock()) {
        self->OnItemResult(key, std::move(result));
      }
    });
  };
  m_dispatcher.Dispatch(std::move(dispatch), done);
}

void BatchDriver::Impl::OnItemResult(DispatchKey key, ItemResult result) {
  const auto found = m_active.find(key);
  if (found == m_active.end() || m_stopped) {
    return;
  }
  const ItemId custom_id = found->second.custom_id;
  m_active.erase(found);
  m_runners[key.first.value()]->Feed(
      ItemResultReceived{.dispatch = key.second,
                         .custom_id = custom_id,
                         .result = std::move(result)});
  DispatchItems();
}

void BatchDriver::Impl::OnCancelItem(PartitionId partition,
                                     const CancelItem& action) {
  const auto found = m_active.find(DispatchKey(partition, action.dispatch));
  if (found == m_active.end()) {
    return;
  }
  const bool dispatched = found->second.dispatched;
  m_active.erase(found);
  if (dispatched) {
    m_dispatcher.Cancel(action.job, action.item);
  }
}

void BatchDriver::Impl::FailOverdueItems() {
  const MonotonicTime now = MonotonicClock::now();
  std::vector<DispatchKey> overdue;
  for (const auto& [key, active] : m_active) {
    if (active.dispatched &&
        now >= active.deadline + m_options.item_grace_period) {
      overdue.push_back(key);
    }
  }
  for (const DispatchKey& key : overdue) {
    const ActiveItem active = m_active.at(key);
    m_dispatcher.Cancel(active.job, active.item);
    OnItemResult(key, ItemFailed{.may_have_run = true,
                                 .detail = "The item did not end in time."});
  }
}

}  // namespace cowslip
