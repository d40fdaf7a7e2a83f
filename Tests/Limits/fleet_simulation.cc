#include "Tests/Limits/fleet_simulation.h"

#include <algorithm>
#include <utility>

#include "Base/json.h"
#include "Base/message_codec.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

constexpr Duration kLinkDownDelay = 2s;
constexpr Duration kShortTickDelay = 5ms;
constexpr Duration kIdleTickDelay = 50ms;
// Allows for rounding errors in the buckets.
constexpr double kTolerance = 1e-6;

}  // namespace

void FleetSimulation::Schedule(Duration delay, std::function<void()> action) {
  m_scheduled.emplace(std::pair(m_now + delay, ++m_last_scheduled),
                      std::move(action));
}

void FleetSimulation::Run(Duration time) {
  const MonotonicTime end = m_now + time;
  while (!m_scheduled.empty() && m_scheduled.begin()->first.first <= end) {
    auto next = m_scheduled.extract(m_scheduled.begin());
    m_now = next.key().first;
    next.mapped()();
  }
  m_now = end;
}

void FleetSimulation::AddVm(const std::string& vm) {
  Vm& added = m_vms[vm];
  added.incarnation = Incarnation(++m_last_incarnation);
  added.clock_offset = std::chrono::seconds(m_random() % 100000);
  added.core = std::make_unique<LimitsCore>(
      LimitsCoreOptions{.self = {VmId(vm), added.incarnation},
                        .shard_count = m_shards,
                        .seed = m_random()},
      m_now + added.clock_offset);
  added.paused = false;
  added.next_tick = MonotonicTime::max();
  added.queued_events.clear();
  Handle(vm, LimitsChanged{Limits()});
  ScheduleTick(vm, kShortTickDelay);
  Schedule(10ms, [this, vm] { ReportLinksUp(vm); });
}

void FleetSimulation::Tick(const std::string& vm, Incarnation incarnation) {
  const auto found = m_vms.find(vm);
  if (found == m_vms.end() || found->second.incarnation != incarnation) {
    return;
  }
  if (m_now < found->second.next_tick) {
    // An earlier tick has replaced this one.
    return;
  }
  found->second.next_tick = MonotonicTime::max();
  if (!found->second.paused) {
    Handle(vm, LimitsTick{});
  }
  ScheduleTick(vm, kIdleTickDelay);
}

void FleetSimulation::ScheduleTick(const std::string& vm, Duration delay) {
  Vm& state = m_vms.at(vm);
  if (m_now + delay < state.next_tick) {
    state.next_tick = m_now + delay;
    Schedule(delay, [this, vm, incarnation = state.incarnation] {
      Tick(vm, incarnation);
    });
  }
}

void FleetSimulation::ReportLinksUp(const std::string& vm) {
  if (m_vms.count(vm) == 0) {
    return;
  }
  for (const auto& [other, state] : m_vms) {
    if (other != vm && !IsDisconnected(vm, other)) {
      m_linked[other].insert(vm);
      m_linked[vm].insert(other);
      const Incarnation mine = m_vms.at(vm).incarnation;
      Deliver(other, state.incarnation, LimitsPeerUp{VmId(vm), mine});
      Deliver(vm, mine, LimitsPeerUp{VmId(other), state.incarnation});
    }
  }
  for (const auto& [other, state] : m_vms) {
    SendMembers(other);
  }
}

void FleetSimulation::ReportLinkDown(const std::string& vm,
                                     const std::string& lost) {
  const auto found = m_vms.find(vm);
  if (found != m_vms.end() && m_linked[vm].erase(lost) != 0) {
    Deliver(vm, found->second.incarnation, LimitsPeerDown{VmId(lost)});
    SendMembers(vm);
  }
}

void FleetSimulation::SendMembers(const std::string& vm) {
  std::vector<VmId> entries = {VmId(vm)};
  for (const std::string& up : m_linked[vm]) {
    entries.push_back(VmId(up));
  }
  std::sort(entries.begin(), entries.end());
  Deliver(vm, m_vms.at(vm).incarnation, LimitsMembersChanged{entries});
}

void FleetSimulation::Kill(const std::string& vm) {
  m_vms.erase(vm);
  m_linked.erase(vm);
  for (const auto& [other, state] : m_vms) {
    Schedule(kLinkDownDelay, [this, other = other, vm] {
      if (m_vms.count(vm) == 0) {
        ReportLinkDown(other, vm);
      }
    });
  }
}

void FleetSimulation::Pause(const std::string& vm) {
  m_vms.at(vm).paused = true;
  for (const auto& [other, state] : m_vms) {
    Schedule(kLinkDownDelay, [this, other = other, vm] {
      const auto found = m_vms.find(vm);
      if (found != m_vms.end() && found->second.paused) {
        ReportLinkDown(other, vm);
      }
    });
  }
}

void FleetSimulation::Resume(const std::string& vm) {
  Vm& resumed = m_vms.at(vm);
  resumed.paused = false;
  // Requests, replies and messages that arrived during the pause are handled
  // first.
  for (const LimitsEvent& event : std::exchange(resumed.queued_events, {})) {
    Handle(vm, event);
  }
  Schedule(100ms, [this, vm] { ReportLinksUp(vm); });
}

void FleetSimulation::Disconnect(const std::string& vm) {
  m_disconnected.insert(vm);
  for (const auto& [other, state] : m_vms) {
    Schedule(kLinkDownDelay, [this, other = other, vm] {
      if (IsDisconnected(other, vm)) {
        ReportLinkDown(other, vm);
        ReportLinkDown(vm, other);
      }
    });
  }
}

void FleetSimulation::Reconnect(const std::string& vm) {
  m_disconnected.erase(vm);
  ReportLinksUp(vm);
}

bool FleetSimulation::IsDisconnected(const std::string& a,
                                     const std::string& b) const {
  return a != b &&
         (m_disconnected.count(a) != 0 || m_disconnected.count(b) != 0);
}

void FleetSimulation::Drain(const std::string& vm) {
  Handle(vm, LimitsDrainRequested{});
  for (const auto& [other, state] : m_vms) {
    if (other != vm) {
      m_linked[other].erase(vm);
      SendMembers(other);
    }
  }
}

void FleetSimulation::SetLimit(const std::string& organisation,
                               double rate,
                               double burst) {
  Bucket& bucket = m_buckets[organisation];
  const bool is_new = bucket.burst == 0;
  // The bucket is refilled at the old rate until now, then capped at the new
  // burst.
  const double elapsed =
      std::chrono::duration<double>(m_now - bucket.updated).count();
  bucket.level = is_new ? burst : bucket.level + elapsed * bucket.rate;
  bucket.updated = m_now;
  bucket.rate = rate;
  bucket.burst = burst;
  bucket.level = std::min(bucket.level, burst);
  for (const auto& [vm, state] : m_vms) {
    Handle(vm, LimitsChanged{Limits()});
  }
}

std::vector<OrganisationLimit> FleetSimulation::Limits() const {
  std::vector<OrganisationLimit> limits;
  for (const auto& [name, bucket] : m_buckets) {
    limits.push_back({OrganisationId(name), bucket.rate, bucket.burst});
  }
  return limits;
}

void FleetSimulation::SendRequest(const std::string& organisation,
                                  const std::string& vm) {
  const auto found = m_vms.find(vm);
  if (found == m_vms.end()) {
    return;
  }
  const uint64_t id = ++m_last_request;
  m_requests[id] = organisation;
  Deliver(vm, found->second.incarnation,
          AdmitRequested{AdmissionId(id), OrganisationId(organisation), 1});
}

void FleetSimulation::StartTraffic(const std::string& organisation,
                                   double rate,
                                   std::function<std::string()> pick) {
  std::exponential_distribution<> gap(rate);
  const Duration wait = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(gap(m_random)));
  Schedule(wait, [this, organisation, rate, pick = std::move(pick)] {
    const std::string vm = pick();
    if (!vm.empty()) {
      SendRequest(organisation, vm);
      StartTraffic(organisation, rate, pick);
    }
  });
}

std::vector<std::string> FleetSimulation::Alive() const {
  std::vector<std::string> alive;
  for (const auto& [vm, state] : m_vms) {
    if (!state.paused) {
      alive.push_back(vm);
    }
  }
  return alive;
}

std::string FleetSimulation::PickMostly(const std::string& vm, double part) {
  const auto alive = Alive();
  const bool is_there =
      std::find(alive.begin(), alive.end(), vm) != alive.end();
  return is_there && Random() < part ? vm : alive[RandomBelow(alive.size())];
}

size_t FleetSimulation::TotalOverLimit() const {
  size_t over = 0;
  for (const auto& [organisation, tally] : tallies) {
    over += tally.over_limit;
  }
  return over;
}

void FleetSimulation::Deliver(const std::string& vm,
                              Incarnation incarnation,
                              const LimitsEvent& event) {
  const auto found = m_vms.find(vm);
  if (found == m_vms.end() || found->second.incarnation != incarnation) {
    return;
  }
  if (found->second.paused) {
    found->second.queued_events.push_back(event);
  } else {
    Handle(vm, event);
  }
}

void FleetSimulation::Handle(const std::string& vm, const LimitsEvent& event) {
  Vm& state = m_vms.at(vm);
  for (const auto& action :
       state.core->Handle(event, m_now + state.clock_offset)) {
    std::visit([&](const auto& alternative) { ApplyAction(vm, alternative); },
               action);
  }
  if (state.core->NeedsTick()) {
    ScheduleTick(vm, kShortTickDelay);
  }
}

void FleetSimulation::ApplyAction(const std::string&,
                                  const AdmitAction& action) {
  const std::string& organisation = m_requests.at(action.id.value());
  OrganisationTally& tally = tallies[organisation];
  Bucket& bucket = m_buckets.at(organisation);
  const double elapsed =
      std::chrono::duration<double>(m_now - bucket.updated).count();
  bucket.level =
      std::min(bucket.burst, bucket.level + elapsed * bucket.rate) - 1;
  bucket.updated = m_now;
  ++tally.admitted;
  if (bucket.level < -kTolerance) {
    ++tally.over_limit;
  }
}

void FleetSimulation::ApplyAction(const std::string&,
                                  const RefuseAction& action) {
  ++tallies[m_requests.at(action.id.value())].refused;
}

Duration FleetSimulation::MessageDelay() {
  if (Random() < faults.delay) {
    return Duration(m_random() % faults.max_delay.count());
  }
  return 500us + Duration(m_random() % Duration(2ms).count());
}

void FleetSimulation::ApplyAction(const std::string& vm,
                                  const SendLimitsMessage& action) {
  const std::string cbor = ToCbor(EncodeMessage(action.message));
  ++messages;
  bytes += cbor.size();
  const std::string to = action.to.value();
  const auto target = m_vms.find(to);
  if (target == m_vms.end() || IsDisconnected(vm, to) ||
      Random() < faults.lose) {
    return;
  }
  // Encoded and decoded, as between processes.
  const LimitsEvent event = LimitsPeerMessage{
      VmId(vm), DecodeMessage<LimitsMessage>(ParseCbor(cbor).value()).value()};
  const Incarnation incarnation = target->second.incarnation;
  const int copies = Random() < faults.duplicate ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    Schedule(MessageDelay(), [this, to, incarnation, event] {
      Deliver(to, incarnation, event);
    });
  }
}

void FleetSimulation::ApplyAction(const std::string& vm,
                                  const ReadRecord& action) {
  const Incarnation incarnation = m_vms.at(vm).incarnation;
  Schedule(MessageDelay(), [this, vm, incarnation, shard = action.shard] {
    const auto stored = m_store.find(shard);
    LimitsEvent event = RecordRead{shard, std::nullopt, ObjectVersion()};
    if (faults.store_down) {
      event = RecordReadFailed{shard};
    } else if (stored != m_store.end()) {
      event = RecordRead{shard, stored->second.record, stored->second.version};
    }
    Schedule(MessageDelay(), [this, vm, incarnation, event] {
      Deliver(vm, incarnation, event);
    });
  });
}

void FleetSimulation::ApplyAction(const std::string& vm,
                                  const WriteRecord& action) {
  ++store_writes;
  const Incarnation incarnation = m_vms.at(vm).incarnation;
  Schedule(MessageDelay(), [this, vm, incarnation, action] {
    LimitsEvent event = RecordWriteUncertain{action.shard};
    if (!faults.store_down) {
      event = Write(action);
    }
    if (Random() < faults.lose_store_reply) {
      event = RecordWriteUncertain{action.shard};
    }
    Schedule(MessageDelay(), [this, vm, incarnation, event] {
      Deliver(vm, incarnation, event);
    });
  });
}

LimitsEvent FleetSimulation::Write(const WriteRecord& write) {
  const auto stored = m_store.find(write.shard);
  std::optional<ObjectVersion> current;
  if (stored != m_store.end()) {
    current = stored->second.version;
  }
  if (current != write.expected_version) {
    return RecordWriteConflict{write.shard};
  }
  const ObjectVersion version(++m_last_version);
  const std::string text = EncodeLimitsRecord(write.record);
  m_store[write.shard] = {DecodeLimitsRecord(text).value(), version};
  return RecordWritten{write.shard, write.record.write_token, version};
}

}  // namespace cowslip
