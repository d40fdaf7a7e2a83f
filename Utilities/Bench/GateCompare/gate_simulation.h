#ifndef UTILITIES_BENCH_GATECOMPARE_GATE_SIMULATION_H_
#define UTILITIES_BENCH_GATECOMPARE_GATE_SIMULATION_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "Backend/gate_core.h"
#include "Utilities/StandIns/Engine/engine_model.h"

namespace cowslip {

/// \class GateLoad
/// \brief The work that the measurement offers to one backend server.
struct GateLoad {
  Duration time = std::chrono::seconds(600);
  uint64_t seed = 1;
  /// Poisson arrivals.
  double online_per_second = 4;
  /// Every so often that many online requests come within a tenth of a second.
  Duration burst_interval = std::chrono::seconds(10);
  int burst_size = 12;
  uint64_t online_tokens = 64;
  uint64_t batch_tokens = 400;
  size_t prompt_bytes = 2000;
  /// How long the engine takes to notice a closed connection.
  Duration close_time = std::chrono::milliseconds(1);
  /// Batch items kept dispatched, running and ready ones together; 0 for none.
  size_t batch_outstanding = 16;
};

/// \class GateFigures
/// \brief What one run gave.
struct GateFigures {
  /// Sorted times from an online request's dispatch to its first token.
  std::vector<Duration> first_token;
  uint64_t online_refused = 0;
  uint64_t batch_items = 0;
  uint64_t preempted = 0;

  Duration Quantile(double quantile) const;
};

/// \class GateSimulation
/// \brief Drives GateCore against EngineModel on a virtual clock.
class GateSimulation {
 public:
  GateSimulation(GateOptions gate, EngineModelOptions engine, GateLoad load);

  GateFigures Run();

 private:
  struct Call {
    WorkClass work = WorkClass::kOnline;
    MonotonicTime dispatched;
    bool first_token_seen = false;
    std::string body;
  };

  void At(MonotonicTime time, std::function<void()> what);
  void ScheduleArrivals();
  void Tick();
  void DispatchOnline();
  void FillBatch();
  void DispatchBatch(std::string body, std::string resume_token);
  void Feed(GateEvent event);
  void Take(const GateAction& action);
  void Start(const StartEngineCall& start);
  void Abort(const AbortEngineCall& abort);
  void TakeReply(const ReplyToEntry& reply);
  void TakeFailure(const ExchangeFailed& failed);
  void TakeToken(const EngineModelToken& token);
  std::string NewBody(uint64_t tokens);

  const GateLoad m_load;
  GateCore m_core;
  EngineModel m_engine;
  std::mt19937_64 m_random;
  MonotonicTime m_now = MonotonicTime(std::chrono::seconds(1));
  MonotonicTime m_end;
  std::multimap<MonotonicTime, std::function<void()>> m_agenda;
  std::map<ExchangeId, Call> m_calls;
  std::map<ExchangeKey, EngineStreamId> m_streams;
  std::map<EngineStreamId, ExchangeKey> m_keys;
  uint64_t m_last_exchange = 0;
  size_t m_batch_out = 0;
  GateFigures m_figures;
};

}  // namespace cowslip

#endif  // UTILITIES_BENCH_GATECOMPARE_GATE_SIMULATION_H_
