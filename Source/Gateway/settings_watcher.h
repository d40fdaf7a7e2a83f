#ifndef SOURCE_GATEWAY_SETTINGS_WATCHER_H_
#define SOURCE_GATEWAY_SETTINGS_WATCHER_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Base/result.h"
#include "Base/time.h"
#include "Fleet/gateway_settings.h"

namespace cowslip {

/// \class SettingsWatcherOptions
/// \brief The settings file to watch, and how often it is read.
struct SettingsWatcherOptions {
  std::string path;
  /// The text that is in force; nullopt for the file's at the start.
  std::optional<std::string> known_text{};
  /// The interval between checks for changes without a signal. No setting is
  /// urgent, and every check costs a few system calls.
  Duration interval = std::chrono::seconds(2);
};

/// \class SettingsWatcherEvents
/// \brief Callbacks of a SettingsWatcher.
struct SettingsWatcherEvents {
  std::function<void(const GatewaySettings&)> changed;
  /// The file can't be read or is invalid. The earlier settings stay in force.
  std::function<void(const Error&)> rejected;
};

/// \class SettingsWatcher
/// \brief Reports changes of the settings file, with or without a signal.
class SettingsWatcher {
 public:
  SettingsWatcher(boost::asio::io_context& context,
                  SettingsWatcherOptions options,
                  SettingsWatcherEvents events);

  /// Takes the current content as already known, and starts watching the file.
  void Start();
  /// Reads the file now and reports it even if it is unchanged, as on a signal.
  void Reload();

 private:
  void CheckFile();
  void Report(const Result<std::string>& text);
  void ScheduleCheck();

  const SettingsWatcherOptions m_options;
  const SettingsWatcherEvents m_events;
  boost::asio::steady_timer m_timer;
  // The text that was reported last, whether accepted or rejected.
  std::string m_last_text;
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_SETTINGS_WATCHER_H_
