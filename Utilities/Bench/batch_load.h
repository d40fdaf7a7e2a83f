#ifndef UTILITIES_BENCH_BATCH_LOAD_H_
#define UTILITIES_BENCH_BATCH_LOAD_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Net/http_client.h"
#include "Utilities/Bench/bench_options.h"
#include "Utilities/Bench/bench_report.h"

namespace cowslip {

/// \class BatchLoad
/// \brief Sends batch jobs at the start of the run, waits for them, and checks
/// that every item has one result, and its own.
class BatchLoad {
 public:
  BatchLoad(boost::asio::io_context& context,
            const BenchOptions& options,
            BenchReport& report);

  /// Returns when every job has ended, or after the wait.
  boost::asio::awaitable<void> Run();
  /// The online part of the run is over.
  void OnlineEnded();

 private:
  struct Job {
    size_t number = 0;
    const BenchCaller* caller = nullptr;
    std::string id;
    std::string status;
    uint64_t completed = 0;
    uint64_t succeeded = 0;
  };
  /// What reading all results of the jobs has shown.
  struct Findings {
    uint64_t results = 0;
    uint64_t doubled = 0;
    uint64_t wrong = 0;
    uint64_t missing = 0;
  };

  boost::asio::awaitable<void> Submit(Job& job);
  boost::asio::awaitable<void> Poll(Job& job);
  boost::asio::awaitable<void> Cancel(Job& job);
  boost::asio::awaitable<void> WaitForJobs();
  boost::asio::awaitable<void> ReadResults(const Job& job, Findings& findings);
  /// Sends until there is an answer below 500, at most kMaxAttempts times;
  /// null JSON then.
  boost::asio::awaitable<nlohmann::json> Call(const Job& job,
                                              HttpRequest request);
  std::string ItemsOf(const Job& job) const;
  std::string MarkerOf(const Job& job, size_t item) const;
  void CheckResult(const Job& job,
                   const nlohmann::json& result,
                   std::map<std::string, uint64_t>& seen,
                   Findings& findings) const;
  bool AllEnded() const;
  void UpdateReport();

  boost::asio::io_context& m_context;
  const BenchOptions& m_options;
  BenchReport& m_report;
  std::vector<std::unique_ptr<HttpClient>> m_clients;
  std::vector<Job> m_jobs;
  /// Tells the jobs of two runs with one seed apart.
  const std::string m_run;
  MonotonicTime m_start;
  MonotonicTime m_give_up = MonotonicTime::max();
  bool m_online_ended = false;
  size_t m_next_client = 0;
};

}  // namespace cowslip

#endif  // UTILITIES_BENCH_BATCH_LOAD_H_
