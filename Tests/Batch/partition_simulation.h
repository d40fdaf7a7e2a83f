#ifndef TESTS_BATCH_PARTITION_SIMULATION_H_
#define TESTS_BATCH_PARTITION_SIMULATION_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Base/overloaded.h"
#include "Batch/partition_core.h"

namespace cowslip {

/// \class PartitionSimulation
/// \brief Simulates one partition: several VMs with a core each, a store with
/// faults, backend servers, and a clock that only the test advances.
class PartitionSimulation {
 public:
  static constexpr Duration kWriteDelay = std::chrono::seconds(16);

  struct Faults {
    /// The number of writes in 1000 whose response is lost. Such a write takes
    /// effect at the usual time, takes effect later, or never does.
    int lost_responses = 0;
    bool store_down = false;
    /// The writes of this VM reach the store only after kWriteDelay.
    std::optional<size_t> delayed_writer;
  };
  /// Returns the result of running an item on a backend server. Called once for
  /// each run.
  using Backend = std::function<ItemResult(const DispatchItem& item)>;

  struct Vm {
    std::unique_ptr<PartitionCore> core;
    uint64_t incarnation = 0;
    bool paused = false;
    std::deque<PartitionEvent> inbox;
    std::set<DispatchId> cancelled;
  };
  struct Reply {
    std::optional<JobView> view;
    std::optional<Error> error;
  };

  explicit PartitionSimulation(uint64_t seed, size_t vms = 3) : m_random(seed) {
    m_vms.resize(vms);
    for (size_t vm = 0; vm < vms; ++vm) {
      Restart(vm);
    }
    Assign(0);
  }

  void Restart(size_t vm) {
    PartitionOptions options = m_options;
    options.partition = PartitionId(7);
    options.self = VmId("vm" + std::to_string(vm));
    options.incarnation = Incarnation(++m_last_incarnation);
    m_vms[vm] = Vm();
    m_vms[vm].core = std::make_unique<PartitionCore>(options);
    m_vms[vm].incarnation = m_last_incarnation;
    if (m_assigned == vm) {
      Feed(vm, AssignmentChanged{.assigned = true});
    }
  }
  void Assign(size_t vm) {
    m_assigned = vm;
    for (size_t other = 0; other < m_vms.size(); ++other) {
      Feed(other, AssignmentChanged{.assigned = other == vm});
    }
  }
  void Pause(size_t vm) { m_vms[vm].paused = true; }
  void Resume(size_t vm) {
    m_vms[vm].paused = false;
    for (PartitionEvent& event : std::exchange(m_vms[vm].inbox, {})) {
      Feed(vm, std::move(event));
    }
  }

  BatchRequestId Submit(size_t vm, const JobHeader& header) {
    const BatchRequestId request(++m_last_request);
    Feed(vm, SubmitRequested{.request = request, .header = header});
    return request;
  }
  BatchRequestId Cancel(size_t vm, const JobHeader& header) {
    const BatchRequestId request(++m_last_request);
    Feed(vm, CancelRequested{.request = request,
                             .organisation = header.organisation,
                             .job = header.job});
    return request;
  }

  /// Advances the clock by `time` in steps of 50 ms.
  void Run(Duration time) {
    const MonotonicTime end = m_now + time;
    while (m_now < end) {
      m_now += std::chrono::milliseconds(50);
      while (!m_scheduled.empty() && m_scheduled.begin()->first <= m_now) {
        auto due = std::move(m_scheduled.begin()->second);
        m_scheduled.erase(m_scheduled.begin());
        due();
      }
      for (size_t vm = 0; vm < m_vms.size(); ++vm) {
        Feed(vm, Tick{});
        DispatchItems(vm);
      }
    }
  }

  /// Returns the partition's state as a reader finds it in the store.
  PartitionState ReadState() const {
    PartitionState state;
    const PartitionId partition(7);
    if (const auto* bytes = Find(CheckpointKey(partition))) {
      state = DecodeCheckpoint(*bytes).value().state;
    }
    while (const auto* bytes = Find(JournalSlotKey(partition, state.next))) {
      const JournalRecord record = DecodeRecord(*bytes).value();
      if (record.sequence != state.next) {
        break;
      }
      state.Apply(record);
    }
    for (const auto& [key, object] : m_objects) {
      if (key.rfind(EndedJobPrefix(partition), 0) == 0) {
        const JobState job = DecodeJob(object.bytes).value();
        state.jobs[job.header.job] = job;
      }
    }
    return state;
  }
  /// Returns all committed outcomes of a job, in commit order.
  std::vector<ItemOutcome> ReadOutcomes(const JobState& job) const {
    std::vector<ItemOutcome> outcomes;
    for (const SegmentRef& segment : job.segments) {
      const auto part = DecodeSegment(
          *Find(OutputSegmentKey(PartitionId(7), segment)), job.header.job);
      outcomes.insert(outcomes.end(), part.value().begin(), part.value().end());
    }
    outcomes.insert(outcomes.end(), job.unflushed.begin(), job.unflushed.end());
    return outcomes;
  }

  std::mt19937_64& random() { return m_random; }
  int RandomBelow(int bound) { return static_cast<int>(m_random() % bound); }
  MonotonicTime now() const { return m_now; }
  PartitionCore& core(size_t vm) { return *m_vms[vm].core; }
  size_t assigned() const { return m_assigned; }
  size_t store_writes() const { return m_store_writes; }

  Faults faults;
  Backend backend = [](const DispatchItem&) {
    return ItemCompleted{.status = 200, .body = "ok"};
  };
  /// The number of items that one VM runs at a time.
  size_t capacity = 8;
  Duration item_time = std::chrono::milliseconds(200);
  std::map<BatchRequestId, Reply> replies;

 private:
  struct Object {
    std::string bytes;
    ObjectVersion version;
  };

  const std::string* Find(const std::string& key) const {
    const auto found = m_objects.find(key);
    return found == m_objects.end() ? nullptr : &found->second.bytes;
  }

  void Feed(size_t vm, PartitionEvent event) {
    Vm& process = m_vms[vm];
    if (process.paused) {
      if (!std::holds_alternative<Tick>(event)) {
        process.inbox.push_back(std::move(event));
      }
      return;
    }
    for (PartitionAction& action : process.core->Handle(event, m_now)) {
      std::visit([&](const auto& each) { ApplyAction(vm, each); }, action);
    }
  }
  // Delivers an event after a delay, unless the VM has restarted by then.
  void DeliverLater(size_t vm, Duration delay, PartitionEvent event) {
    const uint64_t incarnation = m_vms[vm].incarnation;
    m_scheduled.emplace(m_now + delay, [this, vm, incarnation, event] {
      if (m_vms[vm].incarnation == incarnation) {
        Feed(vm, event);
      }
    });
  }
  Duration StoreDelay() { return std::chrono::milliseconds(RandomBelow(30)); }

  void DispatchItems(size_t vm) {
    Vm& process = m_vms[vm];
    while (!process.paused && process.core->running_items() < capacity) {
      const auto candidates = process.core->Candidates(m_now);
      if (candidates.empty()) {
        return;
      }
      const size_t pick = RandomBelow(static_cast<int>(candidates.size()));
      const size_t before = process.core->running_items();
      Feed(vm, DispatchNext{.job = candidates[pick].job});
      if (process.core->running_items() == before) {
        return;
      }
    }
  }

  WriteResult Put(const std::string& key,
                  const std::string& bytes,
                  bool conditional,
                  std::optional<ObjectVersion> expected_version) {
    const auto found = m_objects.find(key);
    const bool exists = found != m_objects.end();
    const bool matches =
        expected_version ? exists && found->second.version == *expected_version
                         : !exists;
    if (conditional && !matches) {
      return WriteConflict{};
    }
    m_objects[key] = {bytes, ObjectVersion(++m_last_version)};
    return Written{.version = ObjectVersion(m_last_version)};
  }

  void Write(size_t vm, StoreCallId call, std::function<WriteResult()> put) {
    ++m_store_writes;
    const Duration delay = StoreDelay();
    const auto respond = [this, vm, call](WriteResult written) {
      DeliverLater(vm, StoreDelay(),
                   WriteCompleted{.call = call, .result = written});
    };
    if (faults.store_down) {
      respond(WriteFailed{});
      return;
    }
    if (faults.delayed_writer == vm) {
      m_scheduled.emplace(m_now + kWriteDelay,
                          [put, respond] { respond(put()); });
      return;
    }
    if (RandomBelow(1000) >= faults.lost_responses) {
      m_scheduled.emplace(m_now + delay, [put, respond] { respond(put()); });
      return;
    }
    const int outcome = RandomBelow(3);
    if (outcome < 2) {
      const auto extra_delay =
          std::chrono::milliseconds(outcome * RandomBelow(8000));
      m_scheduled.emplace(m_now + delay + extra_delay, [put] { put(); });
    }
    respond(WriteInDoubt{});
  }

  std::optional<std::string> ReadObject(const std::string& key) const {
    const std::string* bytes = Find(key);
    return bytes ? std::optional(*bytes) : std::nullopt;
  }
  void Read(size_t vm, StoreCallId call, const std::string& key) {
    if (faults.store_down) {
      DeliverLater(vm, StoreDelay(), ReadCompleted{.call = call});
      return;
    }
    m_scheduled.emplace(m_now + StoreDelay(), [this, vm, call, key] {
      ReadCompleted result{
          .call = call, .succeeded = true, .bytes = ReadObject(key)};
      if (result.bytes) {
        result.version = m_objects.at(key).version;
      }
      DeliverLater(vm, StoreDelay(), result);
    });
  }

  void ApplyAction(size_t vm, const ReadCheckpoint& action) {
    Read(vm, action.call, CheckpointKey(PartitionId(7)));
  }
  void ApplyAction(size_t vm, const ReadSlot& action) {
    Read(vm, action.call, JournalSlotKey(PartitionId(7), action.sequence));
  }
  void ApplyAction(size_t vm, const AppendRecord& action) {
    const std::string key = JournalSlotKey(PartitionId(7), action.sequence);
    Write(vm, action.call, [this, key, action] {
      return Put(key, action.bytes, true, action.expected_version);
    });
  }
  void ApplyAction(size_t vm, const WriteCheckpoint& action) {
    Write(vm, action.call, [this, action] {
      return Put(CheckpointKey(PartitionId(7)), action.bytes, true,
                 action.expected_version);
    });
  }
  void ApplyAction(size_t vm, const WriteObjects& action) {
    m_store_writes += action.writes.size() - 1;
    Write(vm, action.call, [this, action] {
      WriteResult last;
      for (const ObjectWrite& write : action.writes) {
        last = Put(write.key, write.bytes, false, std::nullopt);
      }
      return last;
    });
  }
  void ApplyAction(size_t vm, const ReadEndedJob& action) {
    const bool succeeded = !faults.store_down;
    m_scheduled.emplace(m_now + StoreDelay(), [this, vm, action, succeeded] {
      EndedJobReadCompleted read{
          .call = action.call, .job = action.job, .succeeded = succeeded};
      if (succeeded) {
        read.bytes = ReadObject(EndedJobKey(PartitionId(7), action.job));
      }
      DeliverLater(vm, StoreDelay(), read);
    });
  }
  void ApplyAction(size_t vm, const DispatchItem& action) {
    ItemResultReceived result{
        .dispatch = action.dispatch,
        .custom_id = ItemId("item-" + std::to_string(action.item)),
        .result = backend(action)};
    const Duration time =
        item_time + std::chrono::milliseconds(RandomBelow(200));
    DeliverLater(vm, time, result);
  }
  void ApplyAction(size_t vm, const CancelItem& action) {
    m_vms[vm].cancelled.insert(action.dispatch);
  }
  void ApplyAction(size_t, const ReplyWithJob& action) {
    replies[action.request].view = action.view;
  }
  void ApplyAction(size_t, const ReplyWithError& action) {
    replies[action.request].error = action.error;
  }

  PartitionOptions m_options;
  std::mt19937_64 m_random;
  MonotonicTime m_now{std::chrono::seconds(1)};
  std::vector<Vm> m_vms;
  size_t m_assigned = 0;
  uint64_t m_last_incarnation = 0;
  uint64_t m_last_request = 0;
  uint64_t m_last_version = 0;
  size_t m_store_writes = 0;
  std::multimap<MonotonicTime, std::function<void()>> m_scheduled;
  std::map<std::string, Object> m_objects;
};

}  // namespace cowslip

#endif  // TESTS_BATCH_PARTITION_SIMULATION_H_
