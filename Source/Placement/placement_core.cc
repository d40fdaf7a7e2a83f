#include "Placement/placement_core.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "Base/rendezvous.h"

namespace cowslip {

namespace {

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

uint32_t PlacementCore::Backend::Online() const {
  uint32_t sum = own.online;
  for (const auto& [vm, use] : peers) {
    sum += use.online;
  }
  return sum;
}

uint32_t PlacementCore::Backend::Batch() const {
  uint32_t sum = own.batch;
  for (const auto& [vm, use] : peers) {
    sum += use.batch;
  }
  return sum;
}

PlacementCore::PlacementCore(PlacementOptions options)
    : m_options(std::move(options)),
      m_rate_shares(m_options.self),
      m_cold_backends(ColdBackendOptions{.self = m_options.self,
                                         .bounds = m_options.cold_bounds}) {}

void PlacementCore::Handle(const PlacementEvent& event, MonotonicTime now) {
  std::visit([&](const auto& alternative) { Apply(alternative, now); }, event);
}

void PlacementCore::Apply(const BackendAdded& event, MonotonicTime) {
  Backend& backend = m_backends[event.backend.id];
  if (backend.record.started_at_ms != event.backend.started_at_ms) {
    // A new incarnation under the same id: the measurements and failures of the
    // earlier one do not apply to it.
    backend = Backend{.own = backend.own};
  }
  backend.record = event.backend;
}

void PlacementCore::Apply(const BackendRemoved& event, MonotonicTime) {
  m_backends.erase(event.id);
}

void PlacementCore::Apply(const BackendLeaving& event, MonotonicTime now) {
  std::erase_if(m_leaving, [&](const auto& left) {
    return now - left.second > m_options.leaving_memory;
  });
  m_leaving[{event.id, event.started_at_ms}] = now;
}

void PlacementCore::Apply(const BackendLimitHeard& event, MonotonicTime now) {
  std::erase_if(m_limits, [&](const auto& known) {
    return now - known.second.heard > m_options.limit_memory;
  });
  const BackendLimit& said = event.limit;
  const MonotonicTime heard = now - said.age;
  const auto found = m_limits.find({said.backend, said.started_at_ms});
  if (found == m_limits.end()) {
    if (said.limit.has_value() && said.age <= m_options.limit_memory) {
      m_limits[{said.backend, said.started_at_ms}] = {
          .limit = said.limit,
          .heard = heard,
          .interval = AttemptInterval(said.backend, *said.limit),
          .last_attempt = now};
    }
    return;
  }
  LimitState& state = found->second;
  // What is relayed seems newer with each process that it passes, so only news
  // counts from there.
  const bool is_relayed = said.age > Duration::zero();
  if (heard <= state.heard || (is_relayed && state.limit == said.limit)) {
    return;
  }
  if (!state.limit.has_value()) {
    state.last_attempt = now;
  }
  if (said.limit.has_value() && state.limit != said.limit) {
    state.interval = AttemptInterval(said.backend, *said.limit);
  }
  state.limit = said.limit;
  state.heard = heard;
}

void PlacementCore::Apply(const FleetMembersChanged& event, MonotonicTime now) {
  m_rate_shares.SetMembers(event.members);
  m_cold_backends.SetMembers(event.members, now);
  for (auto& [incarnation, state] : m_limits) {
    if (state.limit.has_value()) {
      state.interval = AttemptInterval(incarnation.first, *state.limit);
    }
  }
}

void PlacementCore::Apply(const BackendColdHeard& event, MonotonicTime now) {
  const BackendRecord* record = Find(event.coldness.backend);
  if (event.service.empty() && record == nullptr) {
    return;
  }
  m_cold_backends.Record(
      {.service = event.service.empty() ? record->service : event.service,
       .coldness = event.coldness,
       .source = event.source},
      now);
}

void PlacementCore::Apply(const ColdServicesChanged& event, MonotonicTime now) {
  m_cold_backends.SetServices(event.services, now);
}

std::vector<ColdAction> PlacementCore::TakeColdActions(MonotonicTime now) {
  return m_cold_backends.TakeActions(now);
}

bool PlacementCore::IsLimited(const BackendId& id,
                              uint64_t started_at_ms) const {
  const auto found = m_limits.find({id, started_at_ms});
  return found != m_limits.end() && found->second.limit.has_value();
}

std::vector<BackendLimit> PlacementCore::LimitsToReport(
    MonotonicTime now) const {
  std::vector<BackendLimit> limits;
  for (const auto& [incarnation, state] : m_limits) {
    const Duration age = now - state.heard;
    if (state.limit.has_value() || age <= m_options.limit_end_report) {
      limits.push_back({.backend = incarnation.first,
                        .started_at_ms = incarnation.second,
                        .limit = state.limit,
                        .age = age});
    }
  }
  std::sort(limits.begin(), limits.end(),
            [](const auto& a, const auto& b) { return a.age < b.age; });
  if (limits.size() > m_options.max_reported_limits) {
    limits.resize(m_options.max_reported_limits);
  }
  return limits;
}

std::optional<Duration> PlacementCore::AttemptInterval(
    const BackendId& id,
    RequestRate limit) const {
  const RequestRate rate = std::max(limit, m_options.min_limit);
  return m_rate_shares.AttemptInterval(
      id.value(), rate, 2 * rate.per_second + m_options.limit_sharers);
}

bool PlacementCore::IsWithinLimit(const BackendRecord& record,
                                  WorkClass work,
                                  MonotonicTime now) const {
  const auto found = m_limits.find({record.id, record.started_at_ms});
  if (found == m_limits.end() || !found->second.limit.has_value()) {
    return true;
  }
  // A batch item takes only what online requests have left unused.
  const int intervals = work == WorkClass::kOnline ? 1 : 2;
  const LimitState& state = found->second;
  return state.interval.has_value() &&
         now - state.last_attempt >= *state.interval * intervals;
}

bool PlacementCore::AcceptsRequests(const BackendRecord& record) const {
  return !record.draining && !IsEvacuated(record.zone) &&
         !m_leaving.contains({record.id, record.started_at_ms});
}

void PlacementCore::Apply(const AttemptStarted& event, MonotonicTime now) {
  const auto found = m_backends.find(event.backend);
  if (found != m_backends.end()) {
    InFlightCounts& own = found->second.own;
    ++(event.work == WorkClass::kOnline ? own.online : own.batch);
    const BackendRecord& record = found->second.record;
    const auto limit = m_limits.find({record.id, record.started_at_ms});
    if (limit != m_limits.end()) {
      limit->second.last_attempt = now;
    }
    m_cold_backends.RecordAttempt(record, event.work, now);
  }
}

void PlacementCore::Apply(const AttemptEnded& event, MonotonicTime now) {
  const auto found = m_backends.find(event.backend);
  if (found == m_backends.end()) {
    return;
  }
  Backend& backend = found->second;
  uint32_t& count =
      event.work == WorkClass::kOnline ? backend.own.online : backend.own.batch;
  count -= count > 0 ? 1 : 0;
  switch (event.outcome) {
    case AttemptOutcome::kCompleted:
      backend.failures = 0;
      backend.backoff_until = now;
      break;
    case AttemptOutcome::kCancelled:
      break;
    case AttemptOutcome::kFull:
      backend.backoff_until =
          std::max(backend.backoff_until, now + m_options.full_backoff);
      break;
    case AttemptOutcome::kFailed: {
      const uint32_t doublings = std::min(backend.failures, 8U);
      const Duration backoff = std::min(
          m_options.max_backoff, m_options.initial_backoff * (1 << doublings));
      ++backend.failures;
      backend.version_uncertain_until = now + m_options.restart_notice;
      // A single failure may be due to the request; two in a row are not.
      if (backend.failures > 1) {
        backend.backoff_until = std::max(backend.backoff_until, now + backoff);
      }
      break;
    }
  }
}

void PlacementCore::Apply(const BatchPreempted& event, MonotonicTime now) {
  const auto found = m_backends.find(event.backend);
  if (found != m_backends.end()) {
    found->second.batch_paused_until = now + m_options.preemption_pause;
  }
}

void PlacementCore::UpdateAverage(double& average, Duration sample) const {
  const double seconds = ToSeconds(sample);
  average = average == 0
                ? seconds
                : average + m_options.smoothing_factor * (seconds - average);
}

void PlacementCore::Apply(const FirstEventMeasured& event, MonotonicTime) {
  const auto found = m_backends.find(event.backend);
  if (found != m_backends.end()) {
    UpdateAverage(found->second.first_event, event.latency);
  }
}

void PlacementCore::Apply(const EventIntervalMeasured& event, MonotonicTime) {
  const auto found = m_backends.find(event.backend);
  if (found != m_backends.end()) {
    UpdateAverage(found->second.event_interval, event.interval);
  }
}

void PlacementCore::Apply(const SlotTimeMeasured& event, MonotonicTime) {
  const auto found = m_backends.find(event.backend);
  if (found != m_backends.end()) {
    UpdateAverage(found->second.slot_time, event.slot_time);
  }
}

void PlacementCore::Apply(const PeerInFlightReported& event, MonotonicTime) {
  for (auto& [id, backend] : m_backends) {
    backend.peers.erase(event.vm);
  }
  for (const BackendUse& use : event.in_flight) {
    const auto found = m_backends.find(use.backend);
    if (found != m_backends.end()) {
      found->second.peers[event.vm] = {use.online, use.batch};
    }
  }
}

void PlacementCore::Apply(const PeerInFlightCleared& event, MonotonicTime) {
  for (auto& [id, backend] : m_backends) {
    backend.peers.erase(event.vm);
  }
}

void PlacementCore::Apply(const EvacuatedZonesChanged& event, MonotonicTime) {
  m_evacuated_zones = event.zones;
}

bool PlacementCore::AcceptsAny(const ServiceId& service,
                               const HomeRegions& home_regions) const {
  return std::any_of(
      m_backends.begin(), m_backends.end(), [&](const auto& entry) {
        const BackendRecord& record = entry.second.record;
        return record.service == service && IsInRegions(record, home_regions) &&
               AcceptsRequests(record);
      });
}

std::vector<ServicePart> PlacementCore::PartsOf(
    const std::vector<TrafficShare>& split,
    const HomeRegions& home_regions) const {
  return cowslip::PartsOf(split, [&](const ServiceId& service) {
    return AcceptsAny(service, home_regions);
  });
}

size_t PlacementCore::CountInZone(const ZoneId& zone) const {
  return static_cast<size_t>(std::count_if(
      m_backends.begin(), m_backends.end(),
      [&](const auto& entry) { return entry.second.record.zone == zone; }));
}

bool PlacementCore::MayRun(const Backend& backend,
                           const PlacementQuery& query,
                           MonotonicTime now) const {
  const BackendRecord& record = backend.record;
  if (record.service != query.service || query.exclude.contains(record.id) ||
      !IsInRegions(record, query.home_regions)) {
    return false;
  }
  return !query.version.has_value() || (record.version == *query.version &&
                                        now >= backend.version_uncertain_until);
}

bool PlacementCore::IsInRegions(const BackendRecord& record,
                                const HomeRegions& home_regions) const {
  if (!home_regions.is_restricted()) {
    return true;
  }
  const auto region = m_options.zone_regions.find(record.zone);
  return region != m_options.zone_regions.end() &&
         home_regions.Allows(region->second);
}

bool PlacementCore::Serves(const ServiceId& service,
                           const SoftwareVersion& version,
                           const HomeRegions& home_regions) const {
  return std::any_of(
      m_backends.begin(), m_backends.end(), [&](const auto& entry) {
        const BackendRecord& record = entry.second.record;
        return record.service == service && record.version == version &&
               IsInRegions(record, home_regions) && AcceptsRequests(record);
      });
}

bool PlacementCore::IsUsable(const Backend& backend,
                             WorkClass work,
                             MonotonicTime now) const {
  const bool is_paused =
      work == WorkClass::kBatch && now < backend.batch_paused_until;
  return AcceptsRequests(backend.record) && now >= backend.backoff_until &&
         !is_paused && IsWithinLimit(backend.record, work, now) &&
         m_cold_backends.HasTurn(backend.record, work, now);
}

double PlacementCore::MedianEventInterval(const ServiceId& service) const {
  std::vector<double> intervals;
  for (const auto& [id, backend] : m_backends) {
    if (backend.record.service == service && backend.event_interval > 0) {
      intervals.push_back(backend.event_interval);
    }
  }
  if (intervals.empty()) {
    return 0;
  }
  const auto middle = intervals.begin() + intervals.size() / 2;
  std::nth_element(intervals.begin(), middle, intervals.end());
  return *middle;
}

bool PlacementCore::IsSlow(const Backend& backend, double median) const {
  return median > 0 && backend.event_interval > median * m_options.slow_factor;
}

template <class MaxLoad>
std::optional<BackendId> PlacementCore::PlaceBelowLoad(
    const PlacementQuery& query,
    WorkClass work,
    MonotonicTime now,
    const MaxLoad& max_load) const {
  // Compared lexicographically; lower is better.
  using Order = std::tuple<bool, bool, bool, double, uint64_t>;
  std::optional<std::pair<Order, BackendId>> best;
  const double median = MedianEventInterval(query.service);
  for (const auto& [id, backend] : m_backends) {
    const BackendRecord& record = backend.record;
    if (!MayRun(backend, query, now) || backend.Total() >= max_load(backend) ||
        !IsUsable(backend, work, now)) {
      continue;
    }
    const bool has_slot = backend.Total() < record.slots;
    const double load = static_cast<double>(backend.Total()) /
                        static_cast<double>(record.slots);
    const std::string& seed = query.shared_prompt.empty()
                                  ? m_options.self.value()
                                  : query.shared_prompt;
    const Order order(!has_slot, IsSlow(backend, median),
                      record.zone != m_options.zone, load,
                      ~RendezvousScore(seed, id.value()));
    // The share is looked up last: its first computation for a backend server
    // hashes all gateways.
    if ((!best.has_value() || order < best->first) &&
        m_cold_backends.MayAttempt(record, work, now)) {
      best = {order, id};
    }
  }
  if (!best.has_value()) {
    return std::nullopt;
  }
  return best->second;
}

std::optional<BackendId> PlacementCore::PlaceOnline(const PlacementQuery& query,
                                                    MonotonicTime now) const {
  const auto max_load = [&](const Backend& backend) {
    // Batch items there can be preempted to free their slots.
    const uint32_t preemptible =
        std::min(backend.Batch(), backend.record.slots);
    return backend.record.slots + std::max(query.queue_allowance, preemptible);
  };
  return PlaceBelowLoad(query, WorkClass::kOnline, now, max_load);
}

std::optional<BackendId> PlacementCore::PlaceBatch(const PlacementQuery& query,
                                                   MonotonicTime now) const {
  const auto max_load = [&](const Backend& backend) {
    return MaxLoadWithBatch(backend.record);
  };
  const std::optional<BackendId> placed =
      PlaceBelowLoad(query, WorkClass::kBatch, now, max_load);
  // Under a backlog there is seldom a free slot, and this looks at all backend
  // servers.
  if (placed.has_value() && !HasRoomForItem(query.service, now)) {
    return std::nullopt;
  }
  return placed;
}

bool PlacementCore::HasRoomForItem(const ServiceId& service,
                                   MonotonicTime now) const {
  if (!m_cold_backends.MayBeCold(service)) {
    return true;
  }
  std::vector<const BackendRecord*> backends;
  for (const auto& [id, backend] : m_backends) {
    if (backend.record.service == service && AcceptsRequests(backend.record)) {
      backends.push_back(&backend.record);
    }
  }
  return m_cold_backends.HasRoomForItem(backends, now);
}

uint32_t PlacementCore::MaxLoadWithBatch(const BackendRecord& record) const {
  const uint32_t slots = record.slots;
  return slots > m_options.batch_headroom ? slots - m_options.batch_headroom
                                          : 1;
}

uint32_t PlacementCore::BatchSlots(const ServiceId& service,
                                   MonotonicTime now) const {
  uint32_t slots = 0;
  for (const auto& [id, backend] : m_backends) {
    if (backend.record.service == service &&
        IsUsable(backend, WorkClass::kOnline, now)) {
      const uint32_t most = MaxLoadWithBatch(backend.record);
      slots += most - std::min(most, backend.Online());
    }
  }
  return slots;
}

bool PlacementCore::ShouldPreemptBatch(const BackendId& id) const {
  const auto found = m_backends.find(id);
  if (found == m_backends.end()) {
    return false;
  }
  const Backend& backend = found->second;
  if (backend.own.batch == 0 || backend.Total() < backend.record.slots) {
    return false;
  }
  for (const auto& [vm, use] : backend.peers) {
    if (use.batch > 0 && vm < m_options.self) {
      return false;
    }
  }
  return true;
}

ServiceLoad PlacementCore::Load(const PlacementQuery& query,
                                MonotonicTime now) const {
  ServiceLoad load;
  double first_event = 0;
  double slot_time = 0;
  uint32_t samples = 0;
  for (const auto& [id, backend] : m_backends) {
    if (!MayRun(backend, query, now) ||
        !IsUsable(backend, WorkClass::kOnline, now)) {
      continue;
    }
    ++load.backends;
    load.slots += backend.record.slots;
    load.online += backend.Online();
    load.batch += backend.Batch();
    if (backend.slot_time > 0) {
      first_event += backend.first_event;
      slot_time += backend.slot_time;
      ++samples;
    }
  }
  if (samples > 0) {
    load.first_event = FromSeconds(first_event / samples);
    load.slot_time = FromSeconds(slot_time / samples);
  }
  return load;
}

const BackendRecord* PlacementCore::Find(const BackendId& id) const {
  const auto found = m_backends.find(id);
  return found == m_backends.end() ? nullptr : &found->second.record;
}

std::vector<BackendUse> PlacementCore::InFlight() const {
  std::vector<BackendUse> in_flight;
  for (const auto& [id, backend] : m_backends) {
    if (backend.own.online > 0 || backend.own.batch > 0) {
      in_flight.push_back({id, backend.own.online, backend.own.batch});
    }
  }
  return in_flight;
}

}  // namespace cowslip
