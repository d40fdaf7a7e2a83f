#ifndef TESTS_LIMITS_FLEET_SIMULATION_H_
#define TESTS_LIMITS_FLEET_SIMULATION_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Limits/limits_core.h"

namespace cowslip {

/// \class FleetFaults
/// \brief Faults that the simulated network and store inject.
struct FleetFaults {
  double lose = 0;
  double duplicate = 0;
  /// Probability that a message is delayed by up to `max_delay`, so that later
  /// ones overtake it.
  double delay = 0;
  Duration max_delay = std::chrono::seconds(8);
  bool store_down = false;
  /// Probability that a write takes effect and its reply is lost.
  double lose_store_reply = 0;
};

/// \class OrganisationTally
/// \brief Decisions on one organisation's requests.
struct OrganisationTally {
  uint64_t admitted = 0;
  uint64_t refused = 0;
  /// Admissions that an exact token bucket would have refused.
  uint64_t over_limit = 0;
};

/// \class FleetSimulation
/// \brief LimitsCores on a simulated network, store and clock. Each VM's own
/// clock has a different origin.
class FleetSimulation {
 public:
  FleetSimulation(uint64_t seed, uint32_t shards)
      : m_random(seed), m_shards(shards) {}

  void AddVm(const std::string& vm);
  /// Ends the process; the others detect it after a delay.
  void Kill(const std::string& vm);
  /// Pauses the process until Resume(). Events that arrive meanwhile are
  /// queued.
  void Pause(const std::string& vm);
  void Resume(const std::string& vm);
  /// Disconnects a VM from its peers; it still reaches the store and receives
  /// requests.
  void Disconnect(const std::string& vm);
  void Reconnect(const std::string& vm);
  void Drain(const std::string& vm);
  void SetLimit(const std::string& organisation, double rate, double burst);
  /// Sends one request now.
  void SendRequest(const std::string& organisation, const std::string& vm);
  /// Starts Poisson traffic, each request to the VM that `pick` returns. Ends
  /// when `pick` returns an empty name.
  void StartTraffic(const std::string& organisation,
                    double rate,
                    std::function<std::string()> pick);
  void Run(Duration time);

  std::vector<std::string> Alive() const;
  /// Returns `vm`, if it is alive, with probability `part`, else any VM that is
  /// alive.
  std::string PickMostly(const std::string& vm, double part);
  LimitsCore& core(const std::string& vm) { return *m_vms.at(vm).core; }
  size_t TotalOverLimit() const;
  double Random() { return std::uniform_real_distribution<>(0, 1)(m_random); }
  size_t RandomBelow(size_t bound) { return m_random() % bound; }

  FleetFaults faults;
  std::map<std::string, OrganisationTally> tallies;
  uint64_t messages = 0;
  uint64_t bytes = 0;
  uint64_t store_writes = 0;

 private:
  struct Vm {
    std::unique_ptr<LimitsCore> core;
    Incarnation incarnation;
    Duration clock_offset{};
    bool paused = false;
    MonotonicTime next_tick = MonotonicTime::max();
    std::vector<LimitsEvent> queued_events;
  };
  struct Bucket {
    double rate = 0;
    double burst = 0;
    double level = 0;
    MonotonicTime updated;
  };
  struct Stored {
    LimitsRecord record;
    ObjectVersion version;
  };

  void Schedule(Duration delay, std::function<void()> action);
  void Deliver(const std::string& vm,
               Incarnation incarnation,
               const LimitsEvent& event);
  void Handle(const std::string& vm, const LimitsEvent& event);
  void ScheduleTick(const std::string& vm, Duration delay);
  void Tick(const std::string& vm, Incarnation incarnation);
  bool IsDisconnected(const std::string& a, const std::string& b) const;
  void ReportLinksUp(const std::string& vm);
  void ReportLinkDown(const std::string& vm, const std::string& lost);
  void SendMembers(const std::string& vm);
  void ApplyAction(const std::string& vm, const AdmitAction& action);
  void ApplyAction(const std::string& vm, const RefuseAction& action);
  void ApplyAction(const std::string& vm, const SendLimitsMessage& action);
  void ApplyAction(const std::string& vm, const ReadRecord& action);
  void ApplyAction(const std::string& vm, const WriteRecord& action);
  LimitsEvent Write(const WriteRecord& write);
  std::vector<OrganisationLimit> Limits() const;
  Duration MessageDelay();

  std::mt19937_64 m_random;
  const uint32_t m_shards;
  MonotonicTime m_now{std::chrono::hours(100)};
  MonotonicTime m_traffic_end;
  uint64_t m_last_scheduled = 0;
  std::map<std::pair<MonotonicTime, uint64_t>, std::function<void()>>
      m_scheduled;
  std::map<std::string, Vm> m_vms;
  std::map<std::string, std::set<std::string>> m_linked;
  std::set<std::string> m_disconnected;
  std::map<std::string, Bucket> m_buckets;
  std::map<uint64_t, std::string> m_requests;
  uint64_t m_last_request = 0;
  uint64_t m_last_incarnation = 0;
  std::map<LimitsShard, Stored> m_store;
  uint64_t m_last_version = 0;
};

}  // namespace cowslip

#endif  // TESTS_LIMITS_FLEET_SIMULATION_H_
