#include <csignal>
#include <cstdlib>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "Base/log.h"
#include "Entry/entry_daemon.h"
#include "Entry/entry_settings.h"
#include "Settings/daemon_options.h"

int main(int argc, const char** argv) {
  int exit_code = cowslip::kExitSuccess;
  const auto options = cowslip::ParseDaemonOptions(
      argc, argv, cowslip::EntrySettingsSchema(), exit_code);
  if (!options.has_value()) {
    return exit_code;
  }
  cowslip::StartLogging(argv[0]);
  boost::asio::io_context context(1);
  cowslip::EntryDaemon daemon(context,
                              cowslip::ReadEntrySettings(options->settings));
  const cowslip::Result<void> started = daemon.Start();
  if (!started.has_value()) {
    LOG(ERROR) << "entry: " << started.error();
    return cowslip::kExitFailure;
  }
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) {
      daemon.Shutdown();
    }
  });
  context.run();
  LOG(INFO) << "entry: Stopped.";
  // Calls that still wait at the platform hold on to parts of the daemon, and
  // the daemon's sockets to the context: neither may be destroyed first.
  std::_Exit(cowslip::kExitSuccess);
}
