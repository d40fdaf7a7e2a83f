#include <popt.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "Base/heap_bytes.h"
#include "Base/log.h"
#include "Gateway/gateway_daemon.h"
#include "Gateway/settings_watcher.h"
#include "Gateway/storage_daemon.h"
#include "Settings/daemon_options.h"
#include "platform/settings_file.h"

namespace {

using cowslip::GatewaySettings;
using cowslip::Result;

/// \class Arguments
/// \brief What the command line asks for.
struct Arguments {
  std::string role;
  std::string settings_path;
  bool check_only = false;
  bool show_version = false;
};

// Returns the arguments, or the message to print before exiting.
Result<Arguments> ParseArguments(int argc, const char** argv) {
  char* settings = nullptr;
  int check = 0;
  int version = 0;
  const poptOption options[] = {
      {"settings", 's', POPT_ARG_STRING, &settings, 0,
       "Settings file (default: the one that the platform names)", "FILE"},
      {"check", 0, POPT_ARG_NONE, &check, 0, "Check the settings file and exit",
       nullptr},
      {"version", 0, POPT_ARG_NONE, &version, 0, "Print the version and exit",
       nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext("cowslip-gateway", argc, argv, options, 0),
      &poptFreeContext);
  poptSetOtherOptionHelp(context.get(), "entry|storage [OPTION...]");
  const int parsed = poptGetNextOpt(context.get());
  if (parsed < -1) {
    return cowslip::Error(
        cowslip::ErrorKind::kInvalidArgument,
        std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) +
            ": " + poptStrerror(parsed) + ". See --help.");
  }
  const char* role = poptGetArg(context.get());
  Arguments arguments{.role = role == nullptr ? "" : role,
                      .settings_path = settings == nullptr
                                           ? cowslip::platform::SettingsPath()
                                           : settings,
                      .check_only = check != 0,
                      .show_version = version != 0};
  std::free(settings);
  if (!arguments.show_version && arguments.role != "entry" &&
      arguments.role != "storage") {
    return cowslip::Error(cowslip::ErrorKind::kInvalidArgument,
                          "Name the role to run: entry or storage.");
  }
  return arguments;
}

// Calls `shutdown` on the first signal to stop, and `reload` on SIGHUP.
class Signals {
 public:
  Signals(boost::asio::io_context& context,
          std::function<void()> shutdown,
          std::function<void()> reload)
      : m_stop(context, SIGTERM, SIGINT), m_hangup(context, SIGHUP) {
    m_stop.async_wait([shutdown = std::move(shutdown)](
                          const boost::system::error_code& error, int) {
      if (!error) {
        shutdown();
      }
    });
    WaitForHangup(std::move(reload));
  }

 private:
  void WaitForHangup(std::function<void()> reload) {
    m_hangup.async_wait([this, reload = std::move(reload)](
                            const boost::system::error_code& error, int) {
      if (!error) {
        reload();
        WaitForHangup(reload);
      }
    });
  }

  boost::asio::signal_set m_stop;
  boost::asio::signal_set m_hangup;
};

template <class Daemon, class Options>
int RunDaemon(const Arguments& arguments,
              std::string settings_text,
              GatewaySettings settings) {
  boost::asio::io_context context(1);
  std::random_device random;
  const uint64_t incarnation =
      (static_cast<uint64_t>(random()) << 31) ^ random();
  Daemon daemon(context,
                Options{.settings = std::move(settings),
                        .incarnation = cowslip::Incarnation(incarnation),
                        .on_stopped = [&context] { context.stop(); }});
  const Result<void> started = daemon.Start();
  if (!started.has_value()) {
    LOG(ERROR) << "gateway: " << started.error();
    return cowslip::kExitFailure;
  }
  cowslip::SettingsWatcher watcher(
      context,
      {.path = arguments.settings_path, .known_text = std::move(settings_text)},
      {.changed =
           [&](const GatewaySettings& changed) { daemon.Reload(changed); },
       .rejected =
           [&](const cowslip::Error& why) { daemon.RejectSettings(why); }});
  watcher.Start();
  const Signals signals(
      context, [&] { daemon.Shutdown(); }, [&] { watcher.Reload(); });
  context.run();
  // Calls that still wait at the store hold on to parts of the daemon.
  std::_Exit(cowslip::kExitSuccess);
}

int Run(int argc, const char** argv) {
  cowslip::ReturnLargeBlocks();
  const Result<Arguments> arguments = ParseArguments(argc, argv);
  if (!arguments.has_value()) {
    std::fprintf(stderr, "%s\n", arguments.error().message.c_str());
    return cowslip::kExitUsage;
  }
  if (arguments.value().show_version) {
    std::puts("cowslip-gateway " COWSLIP_VERSION);
    return cowslip::kExitSuccess;
  }
  cowslip::StartLogging(argv[0]);
  // Until the daemon runs, a request to reload the settings must not end the
  // process. A change in that time is found by SettingsWatcher.
  std::signal(SIGHUP, SIG_IGN);
  const Result<std::string> text =
      cowslip::platform::ReadSettingsText(arguments.value().settings_path);
  Result<GatewaySettings> settings =
      text.has_value() ? cowslip::platform::ParseSettings(text.value())
                       : text.error();
  if (!settings.has_value()) {
    LOG(ERROR) << "gateway: " << settings.error();
    return cowslip::kExitUsage;
  }
  if (arguments.value().check_only) {
    std::puts("The settings are valid.");
    return cowslip::kExitSuccess;
  }
  if (arguments.value().role == "storage") {
    return RunDaemon<cowslip::StorageDaemon, cowslip::StorageDaemonOptions>(
        arguments.value(), text.value(), std::move(settings.value()));
  }
  return RunDaemon<cowslip::GatewayDaemon, cowslip::GatewayDaemonOptions>(
      arguments.value(), text.value(), std::move(settings.value()));
}

}  // namespace

int main(int argc, const char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& thrown) {
    LOG(ERROR) << "gateway: The process ends after an exception: "
               << thrown.what()
               << ". Check its limits on file descriptors and memory.";
  }
  return cowslip::kExitFailure;
}
