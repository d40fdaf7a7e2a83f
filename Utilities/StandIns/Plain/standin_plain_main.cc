#include <cstdlib>
#include <iostream>
#include <string>

#include <popt.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "Base/log.h"
#include "Utilities/StandIns/Plain/plain_server.h"

namespace cowslip {
namespace {

bool ParseListen(int argc, const char** argv, Endpoint& listen) {
  int port = 7200;
  char* address = nullptr;
  const poptOption table[] = {
      {"port", 'p', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &port, 0,
       "Listen on this port", "PORT"},
      {"address", 'a', POPT_ARG_STRING, static_cast<void*>(&address), 0,
       "Listen on this address (default 127.0.0.1)", "IP"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext(argv[0], argc, argv, table, 0);
  const int parsed = poptGetNextOpt(context);
  const bool good = parsed == -1 && poptGetArg(context) == nullptr &&
                    port >= 0 && port <= UINT16_MAX;
  poptFreeContext(context);
  listen.port = static_cast<uint16_t>(port);
  listen.address = address != nullptr ? address : listen.address;
  std::free(address);
  if (!good) {
    std::cerr << argv[0] << ": bad option. See --help.\n";
  }
  return good;
}

int RunProgram(const Endpoint& listen) {
  boost::asio::io_context context;
  PlainServer server(context, listen);
  const Result<void> started = server.Start();
  if (!started.has_value()) {
    LOG(ERROR) << "standin-plain: " << started.error().message;
    return EXIT_FAILURE;
  }
  LOG(INFO) << "standin-plain: Listens on " << listen << ".";
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code, int) { server.Drain(); });
  context.run();
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace cowslip

int main(int argc, const char** argv) {
  cowslip::StartLogging("standin-plain");
  cowslip::Endpoint listen;
  if (!cowslip::ParseListen(argc, argv, listen)) {
    return 2;
  }
  return cowslip::RunProgram(listen);
}
