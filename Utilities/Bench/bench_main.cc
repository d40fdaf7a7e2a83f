#include <cstdlib>
#include <iostream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Base/json.h"
#include "Base/log.h"
#include "Utilities/Bench/batch_load.h"
#include "Utilities/Bench/bench_options.h"
#include "Utilities/Bench/bench_report.h"
#include "Utilities/Bench/online_load.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;

constexpr Duration kProgressInterval = std::chrono::seconds(1);

awaitable<void> ShowProgress(boost::asio::io_context& context,
                             const BenchReport& report) {
  boost::asio::steady_timer timer(context);
  for (int second = 1;; ++second) {
    timer.expires_after(kProgressInterval);
    co_await timer.async_wait(boost::asio::use_awaitable);
    std::cerr << "bench: " << second << " s, " << report.ProgressLine() << "\n";
  }
}

int Run(const BenchOptions& options) {
  boost::asio::io_context context;
  BenchReport report;
  OnlineLoad online(context, options, report);
  BatchLoad batch(context, options, report);
  bool online_done = false;
  const auto run_online = [&]() -> awaitable<void> {
    co_await online.Run();
    online_done = true;
    batch.OnlineEnded();
  };
  const auto run_batch = [&]() -> awaitable<void> {
    co_await batch.Run();
    while (!online_done) {
      boost::asio::steady_timer timer(context, std::chrono::milliseconds(10));
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    context.stop();
  };
  boost::asio::co_spawn(context, run_online, boost::asio::detached);
  boost::asio::co_spawn(context, run_batch, boost::asio::detached);
  boost::asio::co_spawn(context, ShowProgress(context, report),
                        boost::asio::detached);
  context.run();
  std::cerr << report.Table();
  std::cout << DumpJson(report.ToJson(), 2) << "\n";
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace cowslip

int main(int argc, const char** argv) {
  cowslip::StartLogging("cowslip-bench");
  const auto options = cowslip::ParseBenchOptions(argc, argv);
  if (!options.has_value()) {
    std::cerr << "cowslip-bench: " << options.error().message << "\n";
    return 2;
  }
  return cowslip::Run(options.value());
}
