#ifndef UTILITIES_BENCH_BENCH_OPTIONS_H_
#define UTILITIES_BENCH_BENCH_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "Base/endpoint.h"
#include "Base/result.h"
#include "Base/time.h"
#include "Utilities/Bench/arrival_schedule.h"

namespace cowslip {

/// \class BenchCaller
/// \brief One organisation that sends requests.
struct BenchCaller {
  std::string organisation;
  /// Empty for routes that are open to all.
  std::string key;
  double weight = 1;
};

/// \class BenchOptions
/// \brief What the command line asks for.
struct BenchOptions {
  /// Used in turn, as a balancer does.
  std::vector<Endpoint> targets;
  std::vector<BenchCaller> callers;
  /// No online requests while it is 0.
  double rate = 10;
  Duration length = std::chrono::seconds(10);
  /// Arrivals of this first part are sent and not counted.
  Duration warm_up = Duration(0);
  Duration timeout = std::chrono::seconds(30);
  uint64_t seed = 1;
  BurstOptions bursts;
  std::string route = "/v1/chat/completions";
  bool stream = false;
  uint64_t max_tokens = 16;
  /// Bytes of a system message that the requests of one organisation share.
  size_t prompt_bytes = 0;
  bool idempotency_keys = false;
  /// How often a request is sent again that was refused as not run, or cut.
  uint64_t resends = 0;
  /// If set, each arrival is noted there: seconds, organisation, target.
  std::string arrivals_file;

  size_t batch_items = 0;
  size_t batch_jobs = 1;
  uint64_t batch_max_tokens = 16;
  std::string batch_route;
  /// How long the tool waits for its batch jobs after the last arrival.
  Duration batch_wait = std::chrono::seconds(120);
  /// Cancels the batch jobs at the end in place of waiting for them.
  bool batch_cancel = false;
};

/// Reads the command line. An empty error message means that help was shown.
/// Errors: kInvalidArgument.
Result<BenchOptions> ParseBenchOptions(int argc, const char** argv);

}  // namespace cowslip

#endif  // UTILITIES_BENCH_BENCH_OPTIONS_H_
