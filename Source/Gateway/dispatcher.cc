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

namespace {

BackendRecord RecordOf(const PlacementCore& placement,
                       const BackendId& backend) {
  const BackendRecord* record = placement.Find(backend);
  return record == nullptr ? BackendRecord{.id = backend} : *record;
}

}  // namespace

AttemptLease::AttemptLease(Dispatcher& dispatcher,
                           const BackendId& backend,
                           WorkClass work)
    : m_dispatcher(dispatcher),
      m_record(RecordOf(dispatcher.placement_core(), backend)),
      m_work_class(work),
      m_client(dispatcher.ClientFor(backend)) {
  ++m_dispatcher.m_zone_use[m_record.zone].in_flight;
  m_dispatcher.HandleEvent(AttemptStarted{backend, m_work_class});
}

AttemptLease::~AttemptLease() {
  --m_dispatcher.m_zone_use[m_record.zone].in_flight;
  m_dispatcher.HandleEvent(AttemptEnded{m_record.id, m_work_class, m_outcome});
}

// A waiting request. `decided` is cancelled when a decision is made; `lease` is
// set when the request was placed.
struct Dispatcher::PendingWait {
  PendingWait(boost::asio::io_context& context,
              ServiceId wanted_service,
              std::shared_ptr<const bool> is_cancelled)
      : decided(context),
        service(std::move(wanted_service)),
        cancelled(std::move(is_cancelled)) {}
  boost::asio::steady_timer decided;
  const ServiceId service;
  const std::shared_ptr<const bool> cancelled;
  std::unique_ptr<AttemptLease> lease;
};

void AttemptLease::MarkBackendLeaving() {
  m_dispatcher.HandleEvent(BackendLeaving{m_record.id, m_record.started_at_ms});
}

bool AttemptLease::BeginSend() {
  m_withheld = m_dispatcher.placement_core().IsEvacuated(m_record.zone);
  if (!m_withheld) {
    ZoneUse& use = m_dispatcher.m_zone_use[m_record.zone];
    use.last_backend = m_record.id;
    use.last_sent = MonotonicClock::now();
  }
  return !m_withheld;
}

void AttemptLease::RecordLimit(const std::optional<RequestRate>& limit) {
  const bool was_limited = m_dispatcher.placement_core().IsLimited(
      m_record.id, m_record.started_at_ms);
  if (limit.has_value() || was_limited) {
    m_dispatcher.HandleEvent(
        BackendLimitHeard{{.backend = m_record.id,
                           .started_at_ms = m_record.started_at_ms,
                           .limit = limit}});
  }
}

void AttemptLease::RecordColdness(const std::optional<Duration>& remaining) {
  if (remaining.has_value()) {
    m_dispatcher.HandleEvent(
        BackendColdHeard{.coldness = {.backend = m_record.id,
                                      .started_at_ms = m_record.started_at_ms,
                                      .remaining = *remaining},
                         .source = ColdSource::kResponse,
                         .service = m_record.service});
  }
}

std::vector<ColdAction> Dispatcher::TakeColdActions() {
  return m_placement.TakeColdActions(MonotonicClock::now());
}

Dispatcher::Dispatcher(boost::asio::io_context& context,
                       DispatcherOptions options,
                       std::function<void()> load_changed)
    : m_context(context),
      m_options(std::move(options)),
      m_load_changed(std::move(load_changed)),
      m_placement(m_options.placement),
      m_admission(m_options.admission),
      m_wait_queue(m_placement),
      m_tick_timer(context) {}

Dispatcher::~Dispatcher() = default;

void Dispatcher::HandleEvent(const PlacementEvent& event) {
  m_placement.Handle(event, MonotonicClock::now());
  std::visit(
      Overloaded{
          [&](const BackendAdded& added) { m_clients.erase(added.backend.id); },
          [&](const BackendRemoved& removed) { m_clients.erase(removed.id); },
          [&](const AttemptStarted&) { m_load_changed(); },
          [&](const AttemptEnded&) { m_load_changed(); }, [](const auto&) {}},
      event);
  PlaceWaitingRequests();
  if (std::holds_alternative<EvacuatedZonesChanged>(event)) {
    EndHopelessWaits();
    m_load_changed();
  }
}

std::shared_ptr<HttpClient> Dispatcher::ClientFor(const BackendId& backend) {
  const BackendRecord* record = m_placement.Find(backend);
  std::shared_ptr<HttpClient>& client = m_clients[backend];
  if (client == nullptr) {
    const Endpoint endpoint = record == nullptr ? Endpoint() : record->address;
    const bool has_check =
        record != nullptr && m_options.connection_check != nullptr;
    client = std::make_shared<HttpClient>(
        m_context.get_executor(), endpoint,
        HttpClientOptions{
            .max_idle_connections =
                record == nullptr ? 0 : MaxIdleConnections(record->service),
            .connect_timeout = m_options.connect_timeout,
            .dead_peer_timeout = m_options.dead_peer_timeout,
            .check = has_check ? m_options.connection_check(*record) : nullptr,
            .memory = m_options.memory});
  }
  return client;
}

// Half of the connections that a backend server accepts are divided evenly
// among the processes; the other half is left for connections in use.
size_t Dispatcher::MaxIdleConnections(const ServiceId& service) const {
  const auto limit = m_max_connections.find(service);
  if (limit == m_max_connections.end()) {
    return m_options.max_idle_connections;
  }
  const size_t share =
      limit->second / 2 / std::max<uint32_t>(m_member_count, 1);
  return std::clamp<size_t>(share, 1, m_options.max_idle_connections);
}

awaitable<PlacementResult> Dispatcher::PlaceOnline(
    OnlinePlacementRequest placement,
    std::shared_ptr<const bool> cancelled) {
  const MonotonicTime now = MonotonicClock::now();
  PlacementQuery query{.service = placement.service,
                       .shared_prompt = placement.shared_prompt,
                       .exclude = placement.exclude,
                       .version = placement.version,
                       .home_regions = placement.home_regions};
  const ServiceLoad load = m_placement.Load(query, now);
  const AdmissionDecision decision = m_admission.Handle(AdmissionRequested{
      .load = load,
      .latency_target = placement.latency_target,
      .remaining = placement.remaining,
      .members = m_member_count,
      .waiting = static_cast<uint32_t>(m_wait_queue.size())});
  if (const auto* refusal = std::get_if<RejectRequest>(&decision)) {
    co_return PlacementRefused{.reason = refusal->reason,
                               .retry_after = refusal->retry_after,
                               .load = load};
  }
  const AdmitRequest bounds = std::get<AdmitRequest>(decision);
  query.queue_allowance = bounds.queue_allowance;
  if (m_wait_queue.size() == 0) {
    const auto backend = m_placement.PlaceOnline(query, now);
    if (backend.has_value()) {
      co_return std::make_unique<AttemptLease>(*this, *backend,
                                               WorkClass::kOnline);
    }
  }
  co_return co_await Wait(std::move(placement), std::move(query), bounds,
                          std::move(cancelled));
}

awaitable<PlacementResult> Dispatcher::Wait(
    OnlinePlacementRequest placement,
    PlacementQuery query,
    AdmitRequest bounds,
    std::shared_ptr<const bool> cancelled) {
  const MonotonicTime now = MonotonicClock::now();
  const PlacementQuery wanted = query;
  const TicketId ticket(++m_last_ticket);
  const auto pending =
      std::make_shared<PendingWait>(m_context, placement.service, cancelled);
  m_pending_waits[ticket] = pending;
  const WaitQueueEvent enqueued =
      RequestEnqueued{WaitingRequest{.ticket = ticket,
                                     .query = std::move(query),
                                     .priority = placement.priority,
                                     .expires_at = now + bounds.max_wait}};
  ApplyActions(m_wait_queue.Handle(enqueued, now));
  ScheduleTick();
  if (pending->lease == nullptr) {
    pending->decided.expires_after(bounds.max_wait);
    boost::system::error_code ignored;
    co_await pending->decided.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }
  m_pending_waits.erase(ticket);
  m_wait_queue.Handle(RequestAbandoned{ticket}, MonotonicClock::now());
  if (pending->lease != nullptr && !*cancelled) {
    co_return std::move(pending->lease);
  }
  co_return PlacementRefused{
      .reason = *cancelled ? "the wait was cancelled" : "no slot became free",
      .retry_after = m_admission.RetryDelay(placement.remaining),
      .load = m_placement.Load(wanted, MonotonicClock::now())};
}

void Dispatcher::EndHopelessWaits() {
  for (const auto& [ticket, pending] : m_pending_waits) {
    if (!m_placement.AcceptsAny(pending->service)) {
      pending->decided.cancel();
    }
  }
}

void Dispatcher::EndCancelledWaits() {
  for (const auto& [ticket, pending] : m_pending_waits) {
    if (*pending->cancelled) {
      pending->decided.cancel();
    }
  }
}

std::unique_ptr<AttemptLease> Dispatcher::TryPlaceOnline(
    const PlacementQuery& query) {
  const auto backend = m_placement.PlaceOnline(query, MonotonicClock::now());
  if (!backend.has_value()) {
    return nullptr;
  }
  return std::make_unique<AttemptLease>(*this, *backend, WorkClass::kOnline);
}

std::unique_ptr<AttemptLease> Dispatcher::PlaceBatch(
    const PlacementQuery& query) {
  const auto backend = m_placement.PlaceBatch(query, MonotonicClock::now());
  if (!backend.has_value()) {
    return nullptr;
  }
  return std::make_unique<AttemptLease>(*this, *backend, WorkClass::kBatch);
}

bool Dispatcher::ApplyActions(const std::vector<WaitQueueAction>& actions) {
  bool placed_one = false;
  for (const WaitQueueAction& action : actions) {
    const TicketId ticket =
        std::visit([](const auto& decided) { return decided.ticket; }, action);
    const auto found = m_pending_waits.find(ticket);
    if (found == m_pending_waits.end()) {
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

void Dispatcher::PlaceWaitingRequests() {
  // Creating a lease below sends an event to the placement core, which calls
  // this function again.
  if (m_placing_waiters || m_wait_queue.size() == 0) {
    return;
  }
  m_placing_waiters = true;
  while (ApplyActions(
      m_wait_queue.Handle(QueuePollDue{}, MonotonicClock::now()))) {
  }
  m_placing_waiters = false;
}

void Dispatcher::ScheduleTick() {
  if (m_tick_scheduled || m_wait_queue.size() == 0) {
    return;
  }
  m_tick_scheduled = true;
  m_tick_timer.expires_after(m_options.wait_poll_interval);
  m_tick_timer.async_wait([this](const boost::system::error_code& error) {
    m_tick_scheduled = false;
    if (!error) {
      PlaceWaitingRequests();
      ScheduleTick();
    }
  });
}

}  // namespace cowslip
