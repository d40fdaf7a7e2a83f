#ifndef UTILITIES_BENCH_BENCH_REPORT_H_
#define UTILITIES_BENCH_BENCH_REPORT_H_

#include <cstdint>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include "Utilities/Bench/sample_set.h"

namespace cowslip {

/// How one request ended for its caller.
enum class OutcomeClass {
  kOk,
  /// An answer with a problem document or another status than success.
  kRefused,
  /// The connection broke after the request was sent.
  kCut,
  kTimeout,
  /// The connection was refused: surely not run.
  kUnreachable,
  /// A whole answer with the wrong text: not its own, short, or crossed.
  kWrong,
};

const char* OutcomeClassName(OutcomeClass outcome);

/// \class RequestOutcome
/// \brief The end of one request, and why.
struct RequestOutcome {
  OutcomeClass outcome = OutcomeClass::kOk;
  /// For kRefused: the problem's type without its prefix, or the status.
  std::string problem;
  /// The refusal says that the request was not run.
  bool not_run = false;
};

/// \class BenchReport
/// \brief Counters and quantiles of one run.
class BenchReport {
 public:
  void Sent(const std::string& organisation);
  void Resent() { ++m_resent; }
  void Ended(const std::string& organisation, const RequestOutcome& outcome);

  SampleSet& first_token() { return m_first_token; }
  SampleSet& inter_token() { return m_inter_token; }
  SampleSet& whole_answer() { return m_whole_answer; }
  nlohmann::json& batch() { return m_batch; }

  uint64_t sent() const { return m_sent; }
  uint64_t ended() const { return m_ended; }

  nlohmann::json ToJson() const;
  /// One line for people while the run goes on.
  std::string ProgressLine() const;
  /// A short table for people.
  std::string Table() const;

 private:
  struct Counts {
    uint64_t sent = 0;
    std::map<std::string, uint64_t> outcomes;
  };

  uint64_t OutcomeCount(OutcomeClass outcome) const;

  uint64_t m_sent = 0;
  uint64_t m_ended = 0;
  uint64_t m_resent = 0;
  uint64_t m_refused_not_run = 0;
  std::map<std::string, uint64_t> m_outcomes;
  std::map<std::string, uint64_t> m_problems;
  std::map<std::string, Counts> m_organisations;
  SampleSet m_first_token;
  SampleSet m_inter_token;
  SampleSet m_whole_answer;
  nlohmann::json m_batch;
};

}  // namespace cowslip

#endif  // UTILITIES_BENCH_BENCH_REPORT_H_
