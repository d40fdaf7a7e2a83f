#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include <popt.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "Base/log.h"
#include "Platform/platform_json.h"
#include "Utilities/StandIns/Platform/platform_server.h"

namespace cowslip {
namespace {

struct ProgramOptions {
  int port = 7000;
  std::string address = "127.0.0.1";
  std::string vms_file;
  int vm_list_lag_ms = 0;
};

bool ParseOptions(int argc, const char** argv, ProgramOptions& options) {
  char* address = nullptr;
  char* vms_file = nullptr;
  const poptOption table[] = {
      {"port", 'p', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.port, 0,
       "Listen on this port", "PORT"},
      {"address", 'a', POPT_ARG_STRING, static_cast<void*>(&address), 0,
       "Listen on this address (default 127.0.0.1)", "IP"},
      {"vms", 0, POPT_ARG_STRING, static_cast<void*>(&vms_file), 0,
       "Start with the VM list in this file", "FILE"},
      {"vm-list-lag-ms", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT,
       &options.vm_list_lag_ms, 0, "Show a changed VM list only after this",
       "MS"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext(argv[0], argc, argv, table, 0);
  const int parsed = poptGetNextOpt(context);
  const bool good = parsed == -1 && poptGetArg(context) == nullptr;
  poptFreeContext(context);
  options.address = address != nullptr ? address : options.address;
  options.vms_file = vms_file != nullptr ? vms_file : "";
  std::free(address);
  std::free(vms_file);
  if (!good) {
    std::cerr << argv[0] << ": bad option. See --help.\n";
  }
  return good;
}

Result<void> LoadVms(const std::string& path, FakePlatform& platform) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  Result<std::vector<VmRecord>> vms = DecodeVmList(text.str());
  if (!vms.has_value()) {
    return Error(ErrorKind::kInvalidArgument,
                 path + ": " + vms.error().message);
  }
  // The list at the start is not a change, so that it shows no lag.
  const MonotonicTime long_ago = MonotonicClock::now() - std::chrono::hours(1);
  platform.SetVms(std::move(vms.value()), long_ago);
  return Ok();
}

int RunProgram(const ProgramOptions& options) {
  boost::asio::io_context context;
  const Endpoint listen{options.address, static_cast<uint16_t>(options.port)};
  const FakePlatformOptions platform_options{
      .vm_list_lag = std::chrono::milliseconds(options.vm_list_lag_ms)};
  PlatformServer server(context, listen, platform_options);
  if (!options.vms_file.empty()) {
    const Result<void> loaded = LoadVms(options.vms_file, server.platform());
    if (!loaded.has_value()) {
      LOG(ERROR) << "standin-platform: " << loaded.error().message;
      return EXIT_FAILURE;
    }
  }
  const Result<void> started = server.Start();
  if (!started.has_value()) {
    LOG(ERROR) << "standin-platform: " << started.error().message;
    return EXIT_FAILURE;
  }
  LOG(INFO) << "standin-platform: Listens on " << listen << ".";
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code, int) { server.Drain(); });
  context.run();
  LOG(INFO) << "standin-platform: Stopped.";
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace cowslip

int main(int argc, const char** argv) {
  cowslip::StartLogging("standin-platform");
  cowslip::ProgramOptions options;
  if (!cowslip::ParseOptions(argc, argv, options)) {
    return 2;
  }
  return cowslip::RunProgram(options);
}
