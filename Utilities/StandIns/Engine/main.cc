#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>

#include <popt.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "Base/log.h"
#include "Utilities/StandIns/Engine/engine_server.h"

namespace {

// The command line as popt fills it in.
struct CommandLine {
  int port = 0;
  char* address = nullptr;
  int slots = 8;
  int prefill_us_per_token = 20;
  int token_us = 10000;
  int load_lag_ms = 500;
  int cache_entries = 4096;
  int ignore_fencing = 0;
};

bool Parse(int argc, const char** argv, CommandLine& line) {
  const poptOption table[] = {
      {"port", 'p', POPT_ARG_INT, &line.port, 0, "TCP port", "PORT"},
      {"address", 'a', POPT_ARG_STRING, static_cast<void*>(&line.address), 0,
       "Listen on this address (default 127.0.0.1)", "ADDRESS"},
      {"slots", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &line.slots, 0,
       "Streams that run at once", "N"},
      {"prefill-us-per-token", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT,
       &line.prefill_us_per_token, 0, "Time per prompt token", "US"},
      {"token-us", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &line.token_us,
       0, "Time of one step with one stream", "US"},
      {"load-lag-ms", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT,
       &line.load_lag_ms, 0, "Age of the reported load", "MS"},
      {"cache-entries", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT,
       &line.cache_entries, 0, "Prompt blocks in the prefix cache", "N"},
      {"ignore-fencing", 0, POPT_ARG_NONE, &line.ignore_fencing, 0,
       "Apply orders with an old fencing number too", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("standin-engine", argc, argv, table, 0);
  const int parsed = poptGetNextOpt(context);
  const bool good = parsed == -1 && poptGetArg(context) == nullptr &&
                    line.port >= 0 && line.port <= 65535 && line.slots > 0 &&
                    line.token_us > 0 && line.prefill_us_per_token >= 0 &&
                    line.load_lag_ms >= 0 && line.cache_entries >= 0;
  poptFreeContext(context);
  return good;
}

cowslip::EngineServerOptions ToOptions(const CommandLine& line) {
  using std::chrono::microseconds;
  cowslip::EngineServerOptions options;
  options.listen.port = static_cast<uint16_t>(line.port);
  if (line.address != nullptr) {
    options.listen.address = line.address;
  }
  options.model.slots = static_cast<size_t>(line.slots);
  options.model.prefill_per_token = microseconds(line.prefill_us_per_token);
  options.model.step_time = microseconds(line.token_us);
  options.model.cache_entries = static_cast<size_t>(line.cache_entries);
  options.load_lag = std::chrono::milliseconds(line.load_lag_ms);
  options.ignore_fencing = line.ignore_fencing != 0;
  return options;
}

}  // namespace

int main(int argc, const char** argv) {
  CommandLine line;
  if (!Parse(argc, argv, line)) {
    std::cerr << "standin-engine: bad options. See --help.\n";
    return 2;
  }
  cowslip::StartLogging("standin-engine");
  boost::asio::io_context context;
  cowslip::EngineServer engine(context, ToOptions(line));
  std::free(line.address);
  const cowslip::Result<void> started = engine.Start();
  if (!started.has_value()) {
    LOG(ERROR) << "engine: " << started.error();
    return 1;
  }
  LOG(INFO) << "engine: Listening on port " << engine.port() << ".";
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&](auto, auto) { context.stop(); });
  context.run();
  return 0;
}
