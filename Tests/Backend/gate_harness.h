#ifndef TESTS_BACKEND_GATE_HARNESS_H_
#define TESTS_BACKEND_GATE_HARNESS_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "Backend/gate_core.h"

namespace cowslip {

/// \class GateHarness
/// \brief Runs a GateCore on a simulated clock and records its actions for each
/// exchange.
class GateHarness {
 public:
  explicit GateHarness(GateOptions options) : m_core(std::move(options)) {}

  /// The events and replies of one exchange.
  struct Record {
    int dispatches = 0;
    bool started = false;
    bool not_sent = false;
    std::vector<ExchangeFailed> failures;
    int ends = 0;
    int heads = 0;
    uint64_t chunks = 0;
    std::string body;
    int terminal_replies() const {
      return ends + static_cast<int>(failures.size());
    }
  };

  /// Feeds one event; returns the keys that were started.
  std::vector<ExchangeKey> Feed(GateEvent event);
  void Advance(Duration time) { m_now += time; }

  static ExchangeKey KeyOf(const std::string& entry, uint64_t exchange) {
    return {.entry = VmId(entry),
            .incarnation = Incarnation(1),
            .exchange = ExchangeId(exchange)};
  }
  static DispatchReceived Online(uint64_t exchange,
                                 int64_t deadline_ms = 60000);
  static DispatchReceived Batch(uint64_t exchange,
                                std::string resume_token = "");
  /// Server-sent events of the engine with the tokens `first` to `last`, and
  /// the final event if `done`.
  static std::string Events(int first, int last, bool done);
  void Head(const ExchangeKey& key);

  GateCore& core() { return m_core; }
  Record& record(const ExchangeKey& key) { return m_records[key]; }
  std::map<ExchangeKey, Record>& records() { return m_records; }
  /// Running calls to the engine, without those that are being closed.
  std::set<ExchangeKey>& calls() { return m_calls; }
  std::set<ExchangeKey>& closing() { return m_closing; }
  std::set<ExchangeKey>& paused() { return m_paused; }
  int drained() const { return m_drained; }
  std::vector<BackendStatus>& announced() { return m_announced; }
  MonotonicTime now() const { return m_now; }

 private:
  void RecordAction(const GateAction& action,
                    std::vector<ExchangeKey>& started);
  void RecordReply(const ReplyToEntry& reply);
  void RecordEngineEvent(const GateEvent& event);

  GateCore m_core;
  MonotonicTime m_now = MonotonicTime(std::chrono::seconds(1));
  std::map<ExchangeKey, Record> m_records;
  std::set<ExchangeKey> m_calls;
  std::set<ExchangeKey> m_closing;
  std::set<ExchangeKey> m_paused;
  std::vector<BackendStatus> m_announced;
  int m_drained = 0;
};

}  // namespace cowslip

#endif  // TESTS_BACKEND_GATE_HARNESS_H_
