#include "Tests/Limits/fleet.h"

#include <algorithm>
#include <utility>

#include "Base/json.h"
#include "Base/message_codec.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

constexpr Duration kNoticeDownAfter = 2s;
constexpr Duration kSoonTick = 5ms;
constexpr Duration kIdleTick = 50ms;
// Rounding in the buckets.
constexpr double kTolerance = 1e-6;

}  // namespace

void Fleet::At(Duration delay, std::function<void()> job) {
  m_jobs.emplace(std::pair(m_now + delay, ++m_last_job), std::move(job));
}

void Fleet::Run(Duration time) {
  const MonotonicTime end = m_now + time;
  while (!m_jobs.empty() && m_jobs.begin()->first.first <= end) {
    auto next = m_jobs.extract(m_jobs.begin());
    m_now = next.key().first;
    next.mapped()();
  }
  m_now = end;
}

void Fleet::AddVm(const std::string& vm) {
  Vm& added = m_vms[vm];
  added.incarnation = Incarnation(++m_last_incarnation);
  added.clock_offset = std::chrono::seconds(m_random() % 100000);
  added.core = std::make_unique<LimitsCore>(
      LimitsCoreOptions{.self = {VmId(vm), added.incarnation},
                        .shard_count = m_shards,
                        .seed = m_random()},
      m_now + added.clock_offset);
  added.paused = false;
  added.tick_at = MonotonicTime::max();
  added.waiting.clear();
  Handle(vm, LimitsChanged{Limits()});
  TickWithin(vm, kSoonTick);
  At(10ms, [this, vm] { NoticeUp(vm); });
}

void Fleet::Tick(const std::string& vm, Incarnation incarnation) {
  const auto found = m_vms.find(vm);
  if (found == m_vms.end() || found->second.incarnation != incarnation) {
    return;
  }
  if (m_now < found->second.tick_at) {
    // A sooner one took its place.
    return;
  }
  found->second.tick_at = MonotonicTime::max();
  if (!found->second.paused) {
    Handle(vm, LimitsTick{});
  }
  TickWithin(vm, kIdleTick);
}

void Fleet::TickWithin(const std::string& vm, Duration delay) {
  Vm& state = m_vms.at(vm);
  if (m_now + delay < state.tick_at) {
    state.tick_at = m_now + delay;
    At(delay,
       [this, vm, incarnation = state.incarnation] { Tick(vm, incarnation); });
  }
}

void Fleet::NoticeUp(const std::string& vm) {
  if (m_vms.count(vm) == 0) {
    return;
  }
  for (const auto& [other, state] : m_vms) {
    if (other != vm && !IsCut(vm, other)) {
      m_seen_up[other].insert(vm);
      m_seen_up[vm].insert(other);
      const Incarnation mine = m_vms.at(vm).incarnation;
      Deliver(other, state.incarnation, LimitsPeerUp{VmId(vm), mine});
      Deliver(vm, mine, LimitsPeerUp{VmId(other), state.incarnation});
    }
  }
  for (const auto& [other, state] : m_vms) {
    SendMembers(other);
  }
}

void Fleet::NoticeDown(const std::string& vm, const std::string& gone) {
  const auto found = m_vms.find(vm);
  if (found != m_vms.end() && m_seen_up[vm].erase(gone) != 0) {
    Deliver(vm, found->second.incarnation, LimitsPeerDown{VmId(gone)});
    SendMembers(vm);
  }
}

void Fleet::SendMembers(const std::string& vm) {
  std::vector<VmId> entries = {VmId(vm)};
  for (const std::string& up : m_seen_up[vm]) {
    entries.push_back(VmId(up));
  }
  std::sort(entries.begin(), entries.end());
  Deliver(vm, m_vms.at(vm).incarnation, LimitsMembersChanged{entries});
}

void Fleet::Kill(const std::string& vm) {
  m_vms.erase(vm);
  m_seen_up.erase(vm);
  for (const auto& [other, state] : m_vms) {
    At(kNoticeDownAfter, [this, other = other, vm] {
      if (m_vms.count(vm) == 0) {
        NoticeDown(other, vm);
      }
    });
  }
}

void Fleet::Pause(const std::string& vm) {
  m_vms.at(vm).paused = true;
  for (const auto& [other, state] : m_vms) {
    At(kNoticeDownAfter, [this, other = other, vm] {
      const auto found = m_vms.find(vm);
      if (found != m_vms.end() && found->second.paused) {
        NoticeDown(other, vm);
      }
    });
  }
}

void Fleet::Resume(const std::string& vm) {
  Vm& resumed = m_vms.at(vm);
  resumed.paused = false;
  // Requests, answers and messages that came meanwhile are handled first.
  for (const LimitsEvent& event : std::exchange(resumed.waiting, {})) {
    Handle(vm, event);
  }
  At(100ms, [this, vm] { NoticeUp(vm); });
}

void Fleet::CutOff(const std::string& vm) {
  m_cut_off.insert(vm);
  for (const auto& [other, state] : m_vms) {
    At(kNoticeDownAfter, [this, other = other, vm] {
      if (IsCut(other, vm)) {
        NoticeDown(other, vm);
        NoticeDown(vm, other);
      }
    });
  }
}

void Fleet::Reconnect(const std::string& vm) {
  m_cut_off.erase(vm);
  NoticeUp(vm);
}

bool Fleet::IsCut(const std::string& a, const std::string& b) const {
  return a != b && (m_cut_off.count(a) != 0 || m_cut_off.count(b) != 0);
}

void Fleet::Drain(const std::string& vm) {
  Handle(vm, LimitsDrainRequested{});
  for (const auto& [other, state] : m_vms) {
    if (other != vm) {
      m_seen_up[other].erase(vm);
      SendMembers(other);
    }
  }
}

void Fleet::SetLimit(const std::string& organisation,
                     double rate,
                     double burst) {
  Bucket& bucket = m_buckets[organisation];
  const bool is_new = bucket.burst == 0;
  // While VMs may have either limit, the larger one bounds the fleet.
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

std::vector<OrganisationLimit> Fleet::Limits() const {
  std::vector<OrganisationLimit> limits;
  for (const auto& [name, bucket] : m_buckets) {
    limits.push_back({OrganisationId(name), bucket.rate, bucket.burst});
  }
  return limits;
}

void Fleet::Request(const std::string& organisation, const std::string& vm) {
  const auto found = m_vms.find(vm);
  if (found == m_vms.end()) {
    return;
  }
  const uint64_t id = ++m_last_request;
  m_requests[id] = organisation;
  Deliver(vm, found->second.incarnation,
          AdmitRequested{AdmissionId(id), OrganisationId(organisation), 1});
}

void Fleet::Traffic(const std::string& organisation,
                    double rate,
                    std::function<std::string()> pick) {
  std::exponential_distribution<> gap(rate);
  const Duration wait = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(gap(m_random)));
  At(wait, [this, organisation, rate, pick = std::move(pick)] {
    const std::string vm = pick();
    if (!vm.empty()) {
      Request(organisation, vm);
      Traffic(organisation, rate, pick);
    }
  });
}

std::vector<std::string> Fleet::Alive() const {
  std::vector<std::string> alive;
  for (const auto& [vm, state] : m_vms) {
    if (!state.paused) {
      alive.push_back(vm);
    }
  }
  return alive;
}

std::string Fleet::MostlyAt(const std::string& vm, double part) {
  const auto alive = Alive();
  const bool is_there =
      std::find(alive.begin(), alive.end(), vm) != alive.end();
  return is_there && Random() < part ? vm : alive[Below(alive.size())];
}

size_t Fleet::TotalOver() const {
  size_t over = 0;
  for (const auto& [organisation, tally] : tallies) {
    over += tally.over_limit;
  }
  return over;
}

void Fleet::Deliver(const std::string& vm,
                    Incarnation incarnation,
                    const LimitsEvent& event) {
  const auto found = m_vms.find(vm);
  if (found == m_vms.end() || found->second.incarnation != incarnation) {
    return;
  }
  if (found->second.paused) {
    found->second.waiting.push_back(event);
  } else {
    Handle(vm, event);
  }
}

void Fleet::Handle(const std::string& vm, const LimitsEvent& event) {
  Vm& state = m_vms.at(vm);
  for (const auto& action :
       state.core->Handle(event, m_now + state.clock_offset)) {
    std::visit([&](const auto& alternative) { Perform(vm, alternative); },
               action);
  }
  if (state.core->WantsTickSoon()) {
    TickWithin(vm, kSoonTick);
  }
}

void Fleet::Perform(const std::string&, const AdmitAction& action) {
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

void Fleet::Perform(const std::string&, const RefuseAction& action) {
  ++tallies[m_requests.at(action.id.value())].refused;
}

Duration Fleet::MessageDelay() {
  if (Random() < faults.delay) {
    return Duration(m_random() % faults.late.count());
  }
  return 500us + Duration(m_random() % Duration(2ms).count());
}

void Fleet::Perform(const std::string& vm, const SendLimitsMessage& action) {
  const std::string cbor = ToCbor(EncodeMessage(action.message));
  ++messages;
  bytes += cbor.size();
  const std::string to = action.to.value();
  const auto target = m_vms.find(to);
  if (target == m_vms.end() || IsCut(vm, to) || Random() < faults.lose) {
    return;
  }
  // Through the codec, as between processes.
  const LimitsEvent event = LimitsPeerMessage{
      VmId(vm), DecodeMessage<LimitsMessage>(ParseCbor(cbor).value()).value()};
  const Incarnation incarnation = target->second.incarnation;
  const int copies = Random() < faults.duplicate ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    At(MessageDelay(),
       [this, to, incarnation, event] { Deliver(to, incarnation, event); });
  }
}

void Fleet::Perform(const std::string& vm, const ReadRecord& action) {
  const Incarnation incarnation = m_vms.at(vm).incarnation;
  At(MessageDelay(), [this, vm, incarnation, shard = action.shard] {
    const auto stored = m_store.find(shard);
    LimitsEvent event = RecordRead{shard, std::nullopt, ObjectVersion()};
    if (faults.store_down) {
      event = RecordReadFailed{shard};
    } else if (stored != m_store.end()) {
      event = RecordRead{shard, stored->second.record, stored->second.version};
    }
    At(MessageDelay(),
       [this, vm, incarnation, event] { Deliver(vm, incarnation, event); });
  });
}

void Fleet::Perform(const std::string& vm, const WriteRecord& action) {
  ++store_writes;
  const Incarnation incarnation = m_vms.at(vm).incarnation;
  At(MessageDelay(), [this, vm, incarnation, action] {
    LimitsEvent event = RecordFailed{action.shard};
    if (!faults.store_down) {
      event = Write(action);
    }
    if (Random() < faults.lose_store_answer) {
      event = RecordFailed{action.shard};
    }
    At(MessageDelay(),
       [this, vm, incarnation, event] { Deliver(vm, incarnation, event); });
  });
}

LimitsEvent Fleet::Write(const WriteRecord& write) {
  const auto stored = m_store.find(write.shard);
  std::optional<ObjectVersion> current;
  if (stored != m_store.end()) {
    current = stored->second.version;
  }
  if (current != write.over) {
    return RecordConflict{write.shard};
  }
  const ObjectVersion version(++m_last_version);
  const std::string text = EncodeLimitsRecord(write.record);
  m_store[write.shard] = {DecodeLimitsRecord(text).value(), version};
  return RecordWritten{write.shard, write.record.write_token, version};
}

}  // namespace cowslip
