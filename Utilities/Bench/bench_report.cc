#include "Utilities/Bench/bench_report.h"

#include <cstdio>

namespace cowslip {

namespace {

/// The longest row of the table.
constexpr size_t kRowBytes = 128;

std::string QuantileRow(const char* name, const SampleSet& samples) {
  char row[kRowBytes];
  std::snprintf(row, sizeof(row), "%-14s %9zu %10.2f %10.2f %10.2f\n", name,
                samples.count(), samples.QuantileMs(0.5),
                samples.QuantileMs(0.95), samples.QuantileMs(0.99));
  return row;
}

}  // namespace

const char* OutcomeClassName(OutcomeClass outcome) {
  switch (outcome) {
    case OutcomeClass::kOk:
      return "ok";
    case OutcomeClass::kRefused:
      return "refused";
    case OutcomeClass::kCut:
      return "cut";
    case OutcomeClass::kTimeout:
      return "timeout";
    case OutcomeClass::kUnreachable:
      return "unreachable";
    case OutcomeClass::kWrong:
      return "wrong";
  }
  return "unknown";
}

void BenchReport::Sent(const std::string& organisation) {
  ++m_sent;
  ++m_organisations[organisation].sent;
}

void BenchReport::Ended(const std::string& organisation,
                        const RequestOutcome& outcome) {
  const char* name = OutcomeClassName(outcome.outcome);
  ++m_ended;
  ++m_outcomes[name];
  ++m_organisations[organisation].outcomes[name];
  if (outcome.outcome == OutcomeClass::kRefused) {
    ++m_problems[outcome.problem];
    m_refused_not_run += outcome.not_run ? 1 : 0;
  }
}

uint64_t BenchReport::OutcomeCount(OutcomeClass outcome) const {
  const auto found = m_outcomes.find(OutcomeClassName(outcome));
  return found != m_outcomes.end() ? found->second : 0;
}

nlohmann::json BenchReport::ToJson() const {
  nlohmann::json organisations = nlohmann::json::object();
  for (const auto& [organisation, counts] : m_organisations) {
    organisations[organisation] = {{"sent", counts.sent},
                                   {"outcomes", counts.outcomes}};
  }
  return {{"sent", m_sent},
          {"resent", m_resent},
          {"outcomes", m_outcomes},
          {"problems", m_problems},
          {"refused_not_run", m_refused_not_run},
          {"organisations", std::move(organisations)},
          {"first_token", m_first_token.ToJson()},
          {"inter_token", m_inter_token.ToJson()},
          {"whole_answer", m_whole_answer.ToJson()},
          {"batch", m_batch}};
}

std::string BenchReport::ProgressLine() const {
  std::string line = "sent " + std::to_string(m_sent) + ", running " +
                     std::to_string(m_sent - m_ended);
  for (const auto& [name, count] : m_outcomes) {
    line += ", " + name + " " + std::to_string(count);
  }
  if (m_batch.is_object()) {
    line += ", batch items done " +
            std::to_string(m_batch.value("completed", uint64_t{0}));
  }
  return line;
}

std::string BenchReport::Table() const {
  std::string table = "bench: " + ProgressLine() + "\n";
  for (const auto& [problem, count] : m_problems) {
    table += "  refused " + problem + ": " + std::to_string(count) + "\n";
  }
  table += "                   count     p50 ms     p95 ms     p99 ms\n";
  table += QuantileRow("first token", m_first_token);
  table += QuantileRow("between tokens", m_inter_token);
  table += QuantileRow("whole answer", m_whole_answer);
  if (m_batch.is_object()) {
    table += "batch: " + m_batch.dump() + "\n";
  }
  const uint64_t wrong = OutcomeCount(OutcomeClass::kWrong);
  if (wrong > 0) {
    table += "WRONG ANSWERS: " + std::to_string(wrong) + "\n";
  }
  return table;
}

}  // namespace cowslip
