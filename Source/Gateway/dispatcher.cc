#include "Gateway/dispatcher.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Base/overloaded.h"
#include "Net/http_client.h"

namespace cowslip {

using boost::asio::awaitable;

AttemptLease::AttemptLease(Dispatcher& dispatcher,
                           BackendId backend,
                           WorkClass work)
    : m_dispatcher(dispatcher),
      m_backend(std::move(backend)),
      m_work(work),
      m_client(dispatcher.ClientFor(m_backend)) {
  m_dispatcher.Tell(AttemptStarted{m_backend, m_work});
}

AttemptLease::~AttemptLease() {
  m_dispatcher.Tell(AttemptEnded{m_backend, m_work, m_outcome});
}

// One request that waits, and what has been decided for it.
struct Dispatcher::PendingWait {
  explicit PendingWait(boost::asio::io_context& context) : decided(context) {}
  boost::asio::steady_timer decided;
  std::unique_ptr<AttemptLease> lease;
};

Dispatcher::Dispatcher(boost::asio::io_context& context,
                       DispatcherOptions options,
                       std::function<void()> load_changed)
    : m_context(context),
      m_options(std::move(options)),
      m_load_changed(std::move(load_changed)),
      m_placing(m_options.placing),
      m_refusing(m_options.refusing),
      m_waiting(m_placing),
      m_tick(context) {}

Dispatcher::~Dispatcher() = default;

ServiceLoad Dispatcher::Load(const ServiceId& service) const {
  return m_placing.Load(service, MonotonicClock::now());
}

void Dispatcher::Tell(const PlacementEvent& event) {
  m_placing.Handle(event, MonotonicClock::now());
  std::visit(
      Overloaded{
          [&](const BackendAdded& added) { m_clients.erase(added.backend.id); },
          [&](const BackendRemoved& dropped) { m_clients.erase(dropped.id); },
          [&](const AttemptStarted&) { m_load_changed(); },
          [&](const AttemptEnded&) { m_load_changed(); }, [](const auto&) {}},
      event);
  LookAtWaiters();
}

std::shared_ptr<HttpClient> Dispatcher::ClientFor(const BackendId& backend) {
  const BackendRecord* record = m_placing.Find(backend);
  std::shared_ptr<HttpClient>& client = m_clients[backend];
  if (client == nullptr) {
    const Endpoint endpoint = record == nullptr ? Endpoint() : record->address;
    client = std::make_shared<HttpClient>(
        m_context.get_executor(), endpoint,
        HttpClientOptions{
            .max_idle_connections =
                record == nullptr ? 0 : MaxIdleConnections(record->service),
            .connect_timeout = m_options.connect_timeout,
            .dead_peer_timeout = m_options.dead_peer_timeout});
  }
  return client;
}

// Half of what a backend server takes, shared evenly: the other half is left
// for connections in use.
size_t Dispatcher::MaxIdleConnections(const ServiceId& service) const {
  const auto limit = m_max_connections.find(service);
  if (limit == m_max_connections.end()) {
    return m_options.max_idle_connections;
  }
  const size_t share = limit->second / 2 / std::max<uint32_t>(m_members, 1);
  return std::clamp<size_t>(share, 1, m_options.max_idle_connections);
}

awaitable<PlacementResult> Dispatcher::PlaceOnline(
    OnlinePlacement placement,
    std::shared_ptr<const bool> gone) {
  const MonotonicTime now = MonotonicClock::now();
  const ServiceLoad load = m_placing.Load(placement.service, now);
  const AdmissionDecision decision = m_refusing.Handle(
      AdmissionRequested{.load = load,
                         .target = placement.target,
                         .left = placement.left,
                         .members = m_members,
                         .waiting = static_cast<uint32_t>(m_waiting.size())});
  if (const auto* refusal = std::get_if<RejectRequest>(&decision)) {
    co_return PlacementRefused{.reason = refusal->reason,
                               .retry_after = refusal->retry_after,
                               .load = load};
  }
  const AdmitToQueue bounds = std::get<AdmitToQueue>(decision);
  PlacementQuery query{.service = placement.service,
                       .shared_prompt = placement.shared_prompt,
                       .exclude = placement.exclude,
                       .queue_allowance = bounds.queue_allowance};
  if (m_waiting.size() == 0) {
    const auto backend = m_placing.PlaceOnline(query, now);
    if (backend.has_value()) {
      co_return std::make_unique<AttemptLease>(*this, *backend,
                                               WorkClass::kOnline);
    }
  }
  co_return co_await Wait(std::move(placement), std::move(query), bounds,
                          std::move(gone));
}

awaitable<PlacementResult> Dispatcher::Wait(OnlinePlacement placement,
                                            PlacementQuery query,
                                            AdmitToQueue bounds,
                                            std::shared_ptr<const bool> gone) {
  const MonotonicTime now = MonotonicClock::now();
  const TicketId ticket(++m_last_ticket);
  const auto pending = std::make_shared<PendingWait>(m_context);
  m_pending[ticket] = pending;
  const WaitQueueEvent began =
      RequestEnqueued{WaitingRequest{.ticket = ticket,
                                     .query = std::move(query),
                                     .rank = placement.rank,
                                     .give_up_at = now + bounds.longest_wait}};
  CarryOut(m_waiting.Handle(began, now));
  ScheduleTick();
  if (pending->lease == nullptr) {
    pending->decided.expires_after(bounds.longest_wait);
    boost::system::error_code ignored;
    co_await pending->decided.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }
  m_pending.erase(ticket);
  m_waiting.Handle(RequestAbandoned{ticket}, MonotonicClock::now());
  if (pending->lease != nullptr && !*gone) {
    co_return std::move(pending->lease);
  }
  co_return PlacementRefused{
      .reason = *gone ? "the caller has gone" : "no slot became free",
      .retry_after = m_refusing.ReturnTime(placement.left),
      .load = m_placing.Load(placement.service, MonotonicClock::now())};
}

std::unique_ptr<AttemptLease> Dispatcher::PlaceBatch(
    const PlacementQuery& query) {
  const auto backend = m_placing.PlaceBatch(query, MonotonicClock::now());
  if (!backend.has_value()) {
    return nullptr;
  }
  return std::make_unique<AttemptLease>(*this, *backend, WorkClass::kBatch);
}

bool Dispatcher::CarryOut(const std::vector<WaitQueueAction>& actions) {
  bool placed_one = false;
  for (const WaitQueueAction& action : actions) {
    const TicketId ticket =
        std::visit([](const auto& decided) { return decided.ticket; }, action);
    const auto found = m_pending.find(ticket);
    if (found == m_pending.end()) {
      continue;
    }
    if (const auto* placed = std::get_if<RequestPlaced>(&action)) {
      found->second->lease = std::make_unique<AttemptLease>(
          *this, placed->backend, WorkClass::kOnline);
      placed_one = true;
    }
    found->second->decided.cancel();
  }
  return placed_one;
}

void Dispatcher::LookAtWaiters() {
  // A lease that is made here tells the placing core, which leads back here.
  if (m_looking || m_waiting.size() == 0) {
    return;
  }
  m_looking = true;
  while (CarryOut(m_waiting.Handle(QueuePollDue{}, MonotonicClock::now()))) {
  }
  m_looking = false;
}

void Dispatcher::ScheduleTick() {
  if (m_tick_is_set || m_waiting.size() == 0) {
    return;
  }
  m_tick_is_set = true;
  m_tick.expires_after(m_options.wait_tick);
  m_tick.async_wait([this](const boost::system::error_code& error) {
    m_tick_is_set = false;
    if (!error) {
      LookAtWaiters();
      ScheduleTick();
    }
  });
}

}  // namespace cowslip
