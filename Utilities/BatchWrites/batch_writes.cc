// Counts what batch work costs the platform's store: the partition journals
// against one object per item and one object per job, over the same run of the
// same cores on a simulated clock.

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Base/overloaded.h"
#include "Batch/partition_core.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

constexpr Duration kStep = 50ms;
constexpr Duration kWarmUp = 30s;
constexpr Duration kMeasured = 120s;
constexpr Duration kItemTime = 2s;
constexpr size_t kResultBytes = 1500;
constexpr uint32_t kItemsPerJob = 330'000;
constexpr uint32_t kItemsPerSegment = 1000;

struct Totals {
  uint64_t writes = 0;
  uint64_t bytes = 0;
  uint64_t outcomes = 0;
  /// One object per job: a write for each job in each commit interval in which
  /// it had outcomes.
  uint64_t job_writes = 0;
};

class Bench {
 public:
  Bench(double items_per_second, uint32_t jobs)
      : m_rate(items_per_second), m_jobs(jobs) {
    for (uint32_t number = 0; number < kBatchPartitions; ++number) {
      m_cores.emplace_back(PartitionOptions{.partition = PartitionId(number),
                                            .self = VmId("vm"),
                                            .incarnation = Incarnation(1)});
      Feed(number, AssignmentChanged{.assigned = true});
    }
    for (uint32_t job = 0; job < jobs; ++job) {
      Submit(job);
    }
  }

  void Print() {
    Run(kWarmUp);
    m_totals = Totals();
    Run(kMeasured);
    const auto seconds = static_cast<double>(kMeasured / 1s);
    size_t state = 0;
    for (const PartitionCore& core : m_cores) {
      state = std::max(state, core.StateBytes());
    }
    const auto per_second = [&](uint64_t count) {
      return static_cast<double>(count) / seconds;
    };
    std::printf(
        "%6.0f items/s %5u jobs: journal %6.1f writes/s %7.0f KB/s | "
        "per job %7.1f writes/s | per item %7.1f writes/s | memory %zu KB a "
        "partition at most\n",
        per_second(m_totals.outcomes), m_jobs, per_second(m_totals.writes),
        per_second(m_totals.bytes) / 1024, per_second(m_totals.job_writes),
        per_second(m_totals.outcomes), state / 1024);
  }

 private:
  void Submit(uint32_t number) {
    JobHeader header{.job = JobId("job-" + std::to_string(number)),
                     .organisation = OrganisationId("organisation"),
                     .body_digest = Digest("digest"),
                     .items = kItemsPerJob,
                     .deadline_ms = 8 * 3600 * 1000};
    for (uint32_t first = 0; first < kItemsPerJob; first += kItemsPerSegment) {
      header.segment_starts.push_back(first);
    }
    const PartitionId partition = PartitionOf(header.job, kBatchPartitions);
    Feed(partition.value(), SubmitRequested{.header = header});
  }

  void Run(Duration time) {
    const MonotonicTime end = m_now + time;
    double budget = 0;
    while (m_now < end) {
      m_now += kStep;
      while (!m_later.empty() && m_later.begin()->first <= m_now) {
        const auto due = std::move(m_later.begin()->second);
        m_later.erase(m_later.begin());
        due();
      }
      for (uint32_t number = 0; number < m_cores.size(); ++number) {
        Feed(number, Tick{});
      }
      const double step = std::chrono::duration<double>(kStep).count();
      for (budget += m_rate * step; budget >= 1; --budget) {
        DispatchOne();
      }
    }
  }

  void DispatchOne() {
    for (size_t tried = 0; tried < m_cores.size(); ++tried) {
      m_next = (m_next + 1) % m_cores.size();
      const auto candidates = m_cores[m_next].Candidates(m_now);
      if (!candidates.empty()) {
        const size_t pick = m_random() % candidates.size();
        Feed(static_cast<uint32_t>(m_next),
             DispatchNext{.job = candidates[pick].job});
        return;
      }
    }
  }

  void Feed(uint32_t number, PartitionEvent event) {
    for (auto& action : m_cores[number].Handle(std::move(event), m_now)) {
      std::visit([&](auto& each) { Do(number, each); }, action);
    }
  }
  void Later(uint32_t number, Duration delay, PartitionEvent event) {
    m_later.emplace(m_now + delay,
                    [this, number, event] { Feed(number, event); });
  }
  void CountWrite(size_t bytes) {
    ++m_totals.writes;
    m_totals.bytes += bytes;
  }
  void Written(uint32_t number, StoreCallId call) {
    const cowslip::Written written{.version = ObjectVersion(++m_version)};
    Later(number, 5ms, WriteCompleted{.call = call, .result = written});
  }

  void Do(uint32_t number, const ReadCheckpoint& action) {
    Later(number, 5ms, ReadCompleted{.call = action.call, .succeeded = true});
  }
  void Do(uint32_t number, const ReadSlot& action) {
    ReadCompleted answer{.call = action.call, .succeeded = true};
    const auto slot = m_slots.find(Key(number, action.sequence));
    if (slot != m_slots.end()) {
      answer.bytes = slot->second;
      answer.version = ObjectVersion(1);
    }
    Later(number, 5ms, answer);
  }
  void Do(uint32_t number, const AppendRecord& action) {
    CountWrite(action.bytes.size());
    m_slots[Key(number, action.sequence)] = action.bytes;
    CountJobWrites(action.bytes);
    Written(number, action.call);
  }
  void Do(uint32_t number, const WriteObjects& action) {
    for (const ObjectWrite& write : action.writes) {
      CountWrite(write.bytes.size());
    }
    Written(number, action.call);
  }
  void Do(uint32_t number, const WriteCheckpoint& action) {
    CountWrite(action.bytes.size());
    Written(number, action.call);
  }
  void Do(uint32_t number, const ReadEndedJob& action) {
    Later(number, 5ms,
          EndedJobReadCompleted{
              .call = action.call, .job = action.job, .succeeded = true});
  }
  void Do(uint32_t number, const DispatchItem& action) {
    const ItemCompleted completed{.status = 200,
                                  .body = std::string(kResultBytes, 'x')};
    Later(number, kItemTime,
          ItemResultReceived{.dispatch = action.dispatch,
                             .custom_id = ItemId("item"),
                             .result = completed});
  }
  void Do(uint32_t, const CancelItem&) {}
  void Do(uint32_t, const ReplyWithJob&) {}
  void Do(uint32_t, const ReplyWithError&) { std::puts("a job was refused"); }

  std::pair<uint32_t, uint64_t> Key(uint32_t number, JournalSequence at) {
    return {number, at.value() % kJournalSlots};
  }
  void CountJobWrites(const std::string& bytes) {
    std::set<JobId> jobs;
    const JournalRecord record = DecodeRecord(bytes).value();
    for (const JournalEntry& entry : record.entries) {
      if (const auto* ended = std::get_if<ItemEnded>(&entry)) {
        jobs.insert(ended->job);
        ++m_totals.outcomes;
      }
    }
    m_totals.job_writes += jobs.size();
  }

  const double m_rate;
  const uint32_t m_jobs;
  MonotonicTime m_now{1s};
  std::mt19937_64 m_random{7};
  std::vector<PartitionCore> m_cores;
  size_t m_next = 0;
  uint64_t m_version = 0;
  Totals m_totals;
  std::multimap<MonotonicTime, std::function<void()>> m_later;
  std::map<std::pair<uint32_t, uint64_t>, std::string> m_slots;
};

}  // namespace
}  // namespace cowslip

int main() {
  for (const double rate : {764.0, 2300.0}) {
    for (const uint32_t jobs : {8U, 200U, 2000U}) {
      cowslip::Bench(rate, jobs).Print();
    }
  }
  return 0;
}
