#include <csignal>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "Backend/sidecar_daemon.h"
#include "Backend/sidecar_settings.h"
#include "Base/log.h"
#include "Settings/daemon_options.h"

int main(int argc, const char** argv) {
  int exit_code = 0;
  const auto options = cowslip::ParseDaemonOptions(
      argc, argv, cowslip::SidecarSettingsSchema(), exit_code);
  if (!options.has_value()) {
    return exit_code;
  }
  cowslip::StartLogging("cowslip-side");
  boost::asio::io_context context;
  cowslip::SidecarDaemon daemon(
      context, cowslip::ReadSidecarSettings(options->settings));
  const cowslip::Result<void> started = daemon.Start();
  if (!started.has_value()) {
    LOG(ERROR) << "side: " << started.error();
    return cowslip::kExitFailure;
  }
  LOG(INFO) << "side: Links are taken on port " << daemon.link_port()
            << ", operators on port " << daemon.admin_port() << ".";
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&](auto, auto) { daemon.Drain(); });
  context.run();
  return cowslip::kExitSuccess;
}
