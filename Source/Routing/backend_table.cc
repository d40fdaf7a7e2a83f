#include "Routing/backend_table.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace cowslip {

namespace {

uint64_t Rank(const std::string& key, const VmId& vm) {
  const std::string joined = key + '\0' + vm.value();
  return XXH3_64bits(joined.data(), joined.size());
}

}  // namespace

// Load relative to the slots. This entry's own count is always current; the
// reported one includes other entries but lags, so the larger of the two is
// used.
double BackendTable::Backend::Load() const {
  const uint32_t own = online + batch;
  const uint32_t reported =
      load.online + load.batch + load.waiting_online + load.waiting_batch;
  const double slots = std::max<uint32_t>(load.slots, 1);
  return std::max(own, reported) / slots;
}

BackendTable::BackendTable(RoutingOptions options)
    : m_options(std::move(options)), m_random(m_options.seed) {}

void BackendTable::LinkUp(const VmId& vm) {
  Backend& backend = m_backends[vm];
  backend.linked = true;
  // After a reconnect, the sidecar must report its status again before the
  // backend server gets work.
  backend.accepting = false;
}

void BackendTable::LinkDown(const VmId& vm) {
  const auto found = m_backends.find(vm);
  if (found == m_backends.end()) {
    return;
  }
  found->second.linked = false;
  found->second.accepting = false;
  found->second.load = {};
}

void BackendTable::SetLeaving(const VmId& vm, bool leaving) {
  m_backends[vm].leaving = leaving;
}

void BackendTable::StatusReceived(const VmId& vm, const BackendStatus& status) {
  Backend& backend = m_backends[vm];
  backend.service = status.service;
  backend.zone = status.zone;
  backend.accepting = status.accepting && !status.leaving;
  backend.load = status.load;
}

void BackendTable::LoadReceived(const VmId& vm, const LoadStatus& load) {
  m_backends[vm].load = load;
}

void BackendTable::AttemptStarted(const VmId& vm, WorkClass work) {
  Backend& backend = m_backends[vm];
  ++(work == WorkClass::kOnline ? backend.online : backend.batch);
}

void BackendTable::AttemptEnded(const VmId& vm, WorkClass work) {
  Backend& backend = m_backends[vm];
  uint32_t& count = work == WorkClass::kOnline ? backend.online : backend.batch;
  count -= count > 0 ? 1 : 0;
}

uint32_t BackendTable::RemainingBatchCapacity(const Backend& backend) const {
  if (!backend.usable()) {
    return 0;
  }
  // Slots in use by online work are not available for batch. A few items are
  // queued at the engine so that a free slot is filled at once.
  const uint32_t taken =
      std::max(backend.batch, backend.load.batch + backend.load.waiting_batch) +
      std::max(backend.online, backend.load.online);
  const uint32_t total = backend.load.slots + m_options.ready_batch_per_backend;
  return total > taken ? total - taken : 0;
}

uint32_t BackendTable::BatchCapacity() const {
  uint32_t capacity = 0;
  for (const auto& [vm, backend] : m_backends) {
    capacity += RemainingBatchCapacity(backend);
  }
  return capacity;
}

uint32_t BackendTable::BatchCapacity(const ServiceId& service) const {
  uint32_t capacity = 0;
  for (const auto& [vm, backend] : m_backends) {
    capacity +=
        backend.service == service ? RemainingBatchCapacity(backend) : 0;
  }
  return capacity;
}

uint32_t BackendTable::Outstanding(const VmId& vm) const {
  const auto found = m_backends.find(vm);
  return found == m_backends.end() ? 0
                                   : found->second.online + found->second.batch;
}

std::vector<VmId> BackendTable::AcceptingBackends(
    const ServiceId& service) const {
  std::vector<VmId> vms;
  for (const auto& [vm, backend] : m_backends) {
    if (backend.usable() && backend.service == service) {
      vms.push_back(vm);
    }
  }
  return vms;
}

BackendTable::Candidates BackendTable::FindCandidates(
    const RouteQuery& query,
    bool own_zone_only) const {
  Candidates candidates;
  for (const auto& entry : m_backends) {
    const Backend& backend = entry.second;
    const bool fits = backend.usable() && backend.service == query.service &&
                      !query.exclude.contains(entry.first);
    const bool near = !own_zone_only ||
                      (backend.zone == m_options.zone && backend.Load() < 1.0);
    const bool has_capacity =
        query.work == WorkClass::kOnline || RemainingBatchCapacity(backend) > 0;
    if (fits && near && has_capacity) {
      candidates.push_back(&entry);
    }
  }
  return candidates;
}

std::optional<VmId> BackendTable::Choose(const RouteQuery& query) {
  Candidates candidates = FindCandidates(query, true);
  if (candidates.empty()) {
    candidates = FindCandidates(query, false);
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  return Pick(candidates, query);
}

const VmId& BackendTable::Pick(const Candidates& candidates,
                               const RouteQuery& query) {
  if (query.affinity_key.empty()) {
    return PickLeastLoadedOfTwo(candidates);
  }
  double total = 0;
  for (const auto* candidate : candidates) {
    total += candidate->second.Load();
  }
  const double average = total / static_cast<double>(candidates.size());
  const auto* affine = *std::max_element(
      candidates.begin(), candidates.end(), [&](const auto* a, const auto* b) {
        return Rank(query.affinity_key, a->first) <
               Rank(query.affinity_key, b->first);
      });
  const double slots = std::max<uint32_t>(affine->second.load.slots, 1);
  const double bound = average * m_options.affinity_load_factor + 1.0 / slots;
  if (affine->second.Load() <= bound) {
    return affine->first;
  }
  return PickLeastLoadedOfTwo(candidates);
}

const VmId& BackendTable::PickLeastLoadedOfTwo(const Candidates& candidates) {
  std::uniform_int_distribution<size_t> index(0, candidates.size() - 1);
  const auto* first = candidates[index(m_random)];
  const auto* second = candidates[index(m_random)];
  return second->second.Load() < first->second.Load() ? second->first
                                                      : first->first;
}

}  // namespace cowslip
