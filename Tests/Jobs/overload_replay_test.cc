#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Jobs/backlog_share.h"
#include "Jobs/job_deadline_core.h"
#include "Jobs/job_scheduler.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

constexpr Duration kTick = 100ms;
constexpr Duration kItemTime = 5s;
constexpr uint64_t kEvents = 150;
constexpr size_t kItems = 10;
constexpr Duration kTarget = 18s;
constexpr Duration kRetention = 60s;
const ServiceId kService("assistant");
const BackendId kBackend("all");

/// The load of one replay.
struct Load {
  /// Jobs per second at a time, and the organisation of the next one.
  std::function<double(Duration)> jobs_per_second;
  std::function<std::string(std::mt19937&)> organisation;
  /// Slots that online requests leave at a time.
  std::function<uint32_t(Duration)> slots;
  Duration length = 60s;
};

struct Outcome {
  size_t submitted = 0;
  size_t rejected = 0;
  size_t in_time = 0;
  size_t late = 0;
  /// By organisation.
  std::map<std::string, size_t> submitted_by;
  std::map<std::string, size_t> in_time_by;
  /// What one exact queue, which knows all items and all slots, finishes in
  /// time.
  size_t bound = 0;
};

/// Replays batch load on several gateways that share the slots of one service.
class Replay {
 public:
  explicit Replay(Load load) : m_load(std::move(load)) {
    for (int i = 0; i < kGateways; ++i) {
      m_gateways.push_back(std::make_unique<Gateway>(Name(i)));
      PeerListRead listed;
      for (int peer = 0; peer < kGateways; ++peer) {
        listed.peers.push_back({.vm = Name(peer), .incarnation = kIncarnation});
      }
      m_gateways[i]->peers.Handle(listed, At(0s).monotonic);
    }
  }

  Outcome Run() {
    double owed = 0;
    for (Duration now{0}; now < m_load.length; now += kTick) {
      const uint32_t slots = m_load.slots(now);
      for (auto& gateway : m_gateways) {
        gateway->deadlines.Handle(
            BatchSlotsSampled{kService, slots, slots + kOnlineSlots},
            At(now).monotonic);
        Apply(*gateway, gateway->scheduler.Handle(SchedulerTick{}, At(now)),
              now);
      }
      owed += m_load.jobs_per_second(now) * Seconds(kTick);
      for (; owed >= 1; owed -= 1) {
        Submit(now);
      }
      Report(now);
      Advance(now);
      Preempt(slots, now);
      Start(slots, now);
      AdvanceExactQueue(slots, now);
    }
    return m_outcome;
  }

 private:
  static constexpr int kGateways = 4;
  static constexpr uint32_t kOnlineSlots = 40;
  static constexpr Incarnation kIncarnation{1};

  struct RunningItem {
    JobKey job;
    ItemId item;
    ItemProgress progress;
    Duration due{0};
  };
  struct Gateway {
    explicit Gateway(const VmId& vm)
        : peers(PeerTableOptions{.self = vm}),
          scheduler({.self = vm, .incarnation = kIncarnation}, peers) {}
    PeerTable peers;
    JobScheduler scheduler;
    JobDeadlineCore deadlines{JobDeadlineOptions{}};
    std::vector<RunningItem> running;
  };

  static VmId Name(int number) { return VmId("g" + std::to_string(number)); }
  static double Seconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
  }
  static ClockReadings At(Duration now) {
    return {.monotonic = MonotonicTime(100s + now),
            .wall = WallTime(1000s) +
                    std::chrono::duration_cast<std::chrono::milliseconds>(now)};
  }

  void Submit(Duration now) {
    // Most clients reach the same gateway.
    const size_t index = m_random() % 10 < 6 ? 0 : m_random() % kGateways;
    Gateway& gateway = *m_gateways[index];
    const std::string organisation = m_load.organisation(m_random);
    const std::string id = "j" + std::to_string(++m_jobs);
    m_outcome.submitted += kItems;
    m_outcome.submitted_by[organisation] += kItems;
    m_exact_queue.insert(m_exact_queue.end(), kItems, now);
    const auto action = gateway.deadlines.Handle(
        JobDeadlineRequested{.services = {kService},
                             .organisation = OrganisationId(organisation),
                             .items = kItems,
                             .time_to_due = kTarget,
                             .time_left = kRetention,
                             .item_time = gateway.scheduler.item_time(),
                             .item_span = gateway.scheduler.item_span(),
                             .now = At(now).wall,
                             .work = gateway.scheduler.UnfinishedWork()},
        At(now).monotonic);
    const auto* fits = std::get_if<JobFits>(&action);
    if (fits == nullptr) {
      m_outcome.rejected += kItems;
      return;
    }
    JobRecord record{.key = JobKey(id), .version = ObjectVersion(++m_version)};
    record.definition = {.id = JobId(id),
                         .organisation = OrganisationId(organisation),
                         .submitted = At(now).wall,
                         .due = At(now + kTarget).wall,
                         .give_up = At(now + kRetention).wall,
                         .max_attempts = 3,
                         .spare_slots_only = !fits->in_time};
    for (size_t i = 0; i < kItems; ++i) {
      record.definition.items.push_back(ItemId(id + "-" + std::to_string(i)));
    }
    record.status = {.owner = Name(static_cast<int>(index)),
                     .incarnation = kIncarnation};
    m_due[record.key] = now + kTarget;
    Tell(JobUpdated{record}, now);
    gateway.scheduler.Handle(JobOpened{record.key, {}, {}}, At(now));
  }

  // All items have the same time until they are due, so the best order is that
  // of their arrival, without those that would be late.
  void AdvanceExactQueue(uint32_t slots, Duration now) {
    m_exact_starts += slots * Seconds(kTick) / Seconds(kItemTime);
    while (!m_exact_queue.empty() &&
           m_exact_queue.front() + kTarget - kItemTime < now) {
      m_exact_queue.pop_front();
    }
    while (m_exact_starts >= 1 && !m_exact_queue.empty()) {
      m_exact_queue.pop_front();
      m_exact_starts -= 1;
      ++m_outcome.bound;
    }
    m_exact_starts = std::min(m_exact_starts, 1.0);
  }

  void Tell(const JobSchedulerEvent& event, Duration now) {
    for (auto& gateway : m_gateways) {
      gateway->scheduler.Handle(event, At(now));
    }
  }

  // Every process hears the progress of the others' jobs.
  void Report(Duration now) {
    for (auto& from : m_gateways) {
      const JobProgressReported report{from->scheduler.ProgressToReport()};
      for (auto& to : m_gateways) {
        if (to != from) {
          to->scheduler.Handle(report, At(now));
        }
      }
    }
  }

  void Apply(Gateway& gateway,
             const std::vector<JobSchedulerAction>& actions,
             Duration now) {
    for (const JobSchedulerAction& action : actions) {
      if (const auto* write = std::get_if<WriteResults>(&action)) {
        std::set<ItemId>& recorded = m_recorded[write->job];
        for (const ItemResult& result : write->results) {
          recorded.insert(result.item);
        }
        Apply(gateway,
              gateway.scheduler.Handle(ResultsWritten{write->job, recorded},
                                       At(now)),
              now);
      } else if (const auto* finish = std::get_if<FinishJob>(&action)) {
        JobRecord record = *gateway.scheduler.Find(finish->job);
        record.status.finished = true;
        record.version = ObjectVersion(++m_version);
        Tell(JobUpdated{record}, now);
      }
    }
  }

  void End(Gateway& gateway,
           const RunningItem& run,
           ItemRunOutcome outcome,
           Duration now) {
    Apply(gateway,
          gateway.scheduler.Handle(
              ItemRunEnded{run.job, run.item, outcome, run.progress}, At(now)),
          now);
  }

  void Advance(Duration now) {
    for (auto& gateway : m_gateways) {
      std::vector<RunningItem> before;
      std::swap(before, gateway->running);
      for (RunningItem& run : before) {
        run.progress.last_event += kEvents * kTick / kItemTime;
        if (run.progress.last_event < kEvents) {
          gateway->running.push_back(run);
          continue;
        }
        const bool in_time = now <= m_due[run.job];
        ++(in_time ? m_outcome.in_time : m_outcome.late);
        const JobRecord* record = gateway->scheduler.Find(run.job);
        m_outcome.in_time_by[record->definition.organisation.value()] +=
            in_time ? 1 : 0;
        End(*gateway, run, ItemRunOutcome::kCompleted, now);
      }
    }
  }

  size_t Running() const {
    size_t running = 0;
    for (const auto& gateway : m_gateways) {
      running += gateway->running.size();
    }
    return running;
  }

  void Preempt(uint32_t slots, Duration now) {
    for (size_t turn = 0; Running() > slots; ++turn) {
      Gateway& gateway = *m_gateways[turn % kGateways];
      const auto order = gateway.scheduler.RunningItemsAt(kBackend, At(now));
      if (order.empty()) {
        continue;
      }
      const auto run =
          std::find_if(gateway.running.begin(), gateway.running.end(),
                       [&](const RunningItem& candidate) {
                         return candidate.job == order.front().first &&
                                candidate.item == order.front().second;
                       });
      const RunningItem stopped = *run;
      gateway.running.erase(run);
      End(gateway, stopped, ItemRunOutcome::kInterrupted, now);
    }
  }

  void Start(uint32_t slots, Duration now) {
    for (auto& gateway : m_gateways) {
      const uint32_t allowed =
          ItemsAtHead({.self = gateway->scheduler.self(),
                       .slots = slots + slots / 4,
                       .now = At(now).wall,
                       .item_time = gateway->scheduler.item_span(),
                       .work = gateway->scheduler.UnfinishedWork()});
      for (const RunnableItem& item :
           gateway->scheduler.RunnableItems(At(now))) {
        if (gateway->running.size() >= allowed || Running() >= slots) {
          break;
        }
        gateway->running.push_back({item.job, item.item, *item.progress});
        gateway->scheduler.Handle(ItemStarted{item.job, item.item, kBackend},
                                  At(now));
      }
    }
  }

  const Load m_load;
  std::vector<std::unique_ptr<Gateway>> m_gateways;
  std::mt19937 m_random{20261203};
  std::map<JobKey, Duration> m_due;
  std::map<JobKey, std::set<ItemId>> m_recorded;
  // When the items that wait in the exact queue were submitted.
  std::deque<Duration> m_exact_queue;
  double m_exact_starts = 0;
  uint64_t m_version = 0;
  int m_jobs = 0;
  Outcome m_outcome;
};

std::string AnyOf(std::mt19937& random, int organisations) {
  return "o" + std::to_string(random() % organisations);
}

// Jobs arrive at `rate` for twelve seconds, and at a tenth of it afterwards.
std::function<double(Duration)> Burst(double rate) {
  return [rate](Duration now) { return now < 12s ? rate : rate / 10; };
}

TEST_CASE("Many items of a burst over capacity are in time, not all late") {
  // Ten items a second are worked off, forty arrive.
  const Outcome outcome =
      Replay({.jobs_per_second = Burst(4),
              .organisation = [](auto& random) { return AnyOf(random, 8); },
              .slots = [](Duration) { return 50U; }})
          .Run();
  INFO("in time " << outcome.in_time << " late " << outcome.late << " bound "
                  << outcome.bound);
  CHECK(outcome.in_time * 10 >= outcome.bound * 7);
}

TEST_CASE("Items are in time beside waves of online traffic") {
  const Outcome outcome =
      Replay(
          {.jobs_per_second = Burst(4),
           .organisation = [](auto& random) { return AnyOf(random, 8); },
           .slots =
               [](Duration now) { return now % 6600ms < 3800ms ? 83U : 6U; }})
          .Run();
  INFO("in time " << outcome.in_time << " late " << outcome.late << " bound "
                  << outcome.bound);
  CHECK(outcome.in_time * 10 >= outcome.bound * 6);
}

TEST_CASE("A large organisation does not make the jobs of small ones late") {
  const Outcome outcome = Replay({.jobs_per_second = Burst(4),
                                  .organisation =
                                      [](auto& random) {
                                        return random() % 10 < 8
                                                   ? std::string("large")
                                                   : AnyOf(random, 7);
                                      },
                                  .slots = [](Duration) { return 50U; }})
                              .Run();
  size_t submitted = 0;
  size_t in_time = 0;
  for (const auto& [organisation, items] : outcome.submitted_by) {
    if (organisation != "large") {
      submitted += items;
      in_time += outcome.in_time_by.at(organisation);
    }
  }
  INFO("small ones: " << in_time << " of " << submitted);
  CHECK(in_time >= submitted * 9 / 10);
  CHECK(outcome.in_time_by.at("large") > 0);
}

TEST_CASE("The loss of a third of the slots delays some items, not all") {
  const Outcome outcome =
      Replay(
          {.jobs_per_second = Burst(3),
           .organisation = [](auto& random) { return AnyOf(random, 8); },
           .slots =
               [](Duration now) { return now > 6s && now < 16s ? 33U : 50U; }})
          .Run();
  INFO("in time " << outcome.in_time << " late " << outcome.late << " bound "
                  << outcome.bound);
  CHECK(outcome.in_time * 10 >= outcome.bound * 6);
}

TEST_CASE("What is accepted from a flood is finished before its retention") {
  const Outcome outcome =
      Replay({.jobs_per_second =
                  [](Duration now) { return now < 12s ? 60.0 : 0.0; },
              .organisation = [](auto& random) { return AnyOf(random, 8); },
              .slots = [](Duration now) { return now < 34s ? 50U : 90U; },
              .length = 80s})
          .Run();
  INFO("rejected " << outcome.rejected << " of " << outcome.submitted);
  CHECK(outcome.rejected > outcome.submitted / 2);
  CHECK(outcome.in_time + outcome.late >=
        (outcome.submitted - outcome.rejected) * 7 / 10);
}

}  // namespace
}  // namespace cowslip
