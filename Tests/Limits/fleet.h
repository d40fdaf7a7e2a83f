#ifndef TESTS_LIMITS_FLEET_H_
#define TESTS_LIMITS_FLEET_H_

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
/// \brief What the hand-written network and store do to messages.
struct FleetFaults {
  double lose = 0;
  double duplicate = 0;
  /// Chance that a message comes up to `late` late, so that others overtake it.
  double delay = 0;
  Duration late = std::chrono::seconds(8);
  bool store_down = false;
  /// Chance that a write takes effect and its answer is lost.
  double lose_store_answer = 0;
};

/// \class OrganisationTally
/// \brief What happened to one organisation's requests.
struct OrganisationTally {
  uint64_t admitted = 0;
  uint64_t refused = 0;
  /// Admissions that an exact token bucket would not have made.
  uint64_t over_limit = 0;
};

/// \class Fleet
/// \brief LimitsCores on a network, a store and a clock that only the test
/// moves. Each VM's own clock has another origin.
class Fleet {
 public:
  Fleet(uint64_t seed, uint32_t shards) : m_random(seed), m_shards(shards) {}

  void AddVm(const std::string& vm);
  /// Ends the process; the others notice after a while.
  void Kill(const std::string& vm);
  /// Stops its events and its clock reads until Resume(). What comes meanwhile
  /// waits.
  void Pause(const std::string& vm);
  void Resume(const std::string& vm);
  /// Cuts a VM off from its peers; it still sees the store and requests.
  void CutOff(const std::string& vm);
  void Reconnect(const std::string& vm);
  void Drain(const std::string& vm);
  void SetLimit(const std::string& organisation, double rate, double burst);
  /// One request now.
  void Request(const std::string& organisation, const std::string& vm);
  /// Poisson traffic to an entry that `pick` names, until Run() returns.
  void Traffic(const std::string& organisation,
               double rate,
               std::function<std::string()> pick);
  void Run(Duration time);

  std::vector<std::string> Alive() const;
  /// Where most requests of an organisation come in, and the rest anywhere.
  std::string MostlyAt(const std::string& vm, double part);
  LimitsCore& core(const std::string& vm) { return *m_vms.at(vm).core; }
  size_t TotalOver() const;
  double Random() { return std::uniform_real_distribution<>(0, 1)(m_random); }
  size_t Below(size_t bound) { return m_random() % bound; }

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
    MonotonicTime tick_at = MonotonicTime::max();
    std::vector<LimitsEvent> waiting;
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

  void At(Duration delay, std::function<void()> job);
  void Deliver(const std::string& vm,
               Incarnation incarnation,
               const LimitsEvent& event);
  void Handle(const std::string& vm, const LimitsEvent& event);
  void TickWithin(const std::string& vm, Duration delay);
  void Tick(const std::string& vm, Incarnation incarnation);
  bool IsCut(const std::string& a, const std::string& b) const;
  void NoticeUp(const std::string& vm);
  void NoticeDown(const std::string& vm, const std::string& gone);
  void SendMembers(const std::string& vm);
  void Perform(const std::string& vm, const AdmitAction& action);
  void Perform(const std::string& vm, const RefuseAction& action);
  void Perform(const std::string& vm, const SendLimitsMessage& action);
  void Perform(const std::string& vm, const ReadRecord& action);
  void Perform(const std::string& vm, const WriteRecord& action);
  LimitsEvent Write(const WriteRecord& write);
  std::vector<OrganisationLimit> Limits() const;
  Duration MessageDelay();

  std::mt19937_64 m_random;
  const uint32_t m_shards;
  MonotonicTime m_now{std::chrono::hours(100)};
  MonotonicTime m_traffic_end;
  uint64_t m_last_job = 0;
  std::map<std::pair<MonotonicTime, uint64_t>, std::function<void()>> m_jobs;
  std::map<std::string, Vm> m_vms;
  std::map<std::string, std::set<std::string>> m_seen_up;
  std::set<std::string> m_cut_off;
  std::map<std::string, Bucket> m_buckets;
  std::map<uint64_t, std::string> m_requests;
  uint64_t m_last_request = 0;
  uint64_t m_last_incarnation = 0;
  std::map<LimitsShard, Stored> m_store;
  uint64_t m_last_version = 0;
};

}  // namespace cowslip

#endif  // TESTS_LIMITS_FLEET_H_
