#ifndef SOURCE_SETTINGS_DAEMON_OPTIONS_H_
#define SOURCE_SETTINGS_DAEMON_OPTIONS_H_

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace cowslip {

/// \class DaemonOptions
/// \brief What the command line of a daemon asks for.
struct DaemonOptions {
  /// The settings file, already checked against the daemon's schema.
  nlohmann::json settings;
};

/// Exit codes that all programs share.
enum ExitCode : int {
  kExitSuccess = 0,
  kExitFailure = 1,
  kExitUsage = 2,
};

/// Parses `--settings FILE`, `--check`, `--version` and `--help`. Returns the
/// options when the daemon is to run; otherwise the message is printed and
/// `exit_code` is set.
std::optional<DaemonOptions> ParseDaemonOptions(int argc,
                                                const char** argv,
                                                const nlohmann::json& schema,
                                                int& exit_code);

}  // namespace cowslip

#endif  // SOURCE_SETTINGS_DAEMON_OPTIONS_H_
