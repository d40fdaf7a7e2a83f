#ifndef UTILITIES_BENCH_ONLINE_LOAD_H_
#define UTILITIES_BENCH_ONLINE_LOAD_H_

#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Net/http_client.h"
#include "Utilities/Bench/arrival_schedule.h"
#include "Utilities/Bench/bench_options.h"
#include "Utilities/Bench/bench_report.h"

namespace cowslip {

/// \class OnlineLoad
/// \brief Sends online requests at their scheduled times, whether or not
/// earlier ones were answered. Latency counts from the scheduled time.
class OnlineLoad {
 public:
  OnlineLoad(boost::asio::io_context& context,
             const BenchOptions& options,
             BenchReport& report);

  /// Returns when the last request has ended.
  boost::asio::awaitable<void> Run();

 private:
  struct Request {
    uint64_t number = 0;
    const BenchCaller* caller = nullptr;
    MonotonicTime scheduled;
    bool counted = true;
    std::string marker;
  };

  boost::asio::awaitable<void> RunRequest(Request request);
  boost::asio::awaitable<RequestOutcome> SendOnce(const Request& request,
                                                  uint64_t attempt);
  boost::asio::awaitable<RequestOutcome> ReadAnswer(
      const Request& request,
      std::unique_ptr<HttpResponseStream> response);
  boost::asio::awaitable<RequestOutcome> ReadStream(
      const Request& request,
      HttpResponseStream& response);
  HttpRequest MakeRequest(const Request& request) const;
  void NoteArrival(const Request& request, const Arrival& arrival);

  boost::asio::io_context& m_context;
  const BenchOptions& m_options;
  BenchReport& m_report;
  std::vector<std::unique_ptr<HttpClient>> m_clients;
  std::ofstream m_arrivals;
  /// Tells the requests of two runs with one seed apart.
  const std::string m_run;
  uint64_t m_running = 0;
};

}  // namespace cowslip

#endif  // UTILITIES_BENCH_ONLINE_LOAD_H_
