#ifndef SOURCE_GATEWAY_SETTINGS_WATCHER_H_
#define SOURCE_GATEWAY_SETTINGS_WATCHER_H_

#include <chrono>
#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Base/result.h"
#include "Base/time.h"
#include "Fleet/gateway_settings.h"

namespace cowslip {

/// \class SettingsWatcherOptions
/// \brief Which file is followed, and how closely.
struct SettingsWatcherOptions {
  std::string path;
  /// Pause between looks at a file that changes without a signal. Nothing in
  /// it is urgent, and every look costs a few system calls.
  Duration interval = std::chrono::seconds(2);
};

/// \class SettingsWatcherEvents
/// \brief What the owner is told.
struct SettingsWatcherEvents {
  std::function<void(const GatewaySettings&)> changed;
  /// The file can't be read or is invalid. The earlier settings stay in force.
  std::function<void(const Error&)> rejected;
};

/// \class SettingsWatcher
/// \brief Takes over changes of the settings file, with or without a signal.
class SettingsWatcher {
 public:
  SettingsWatcher(boost::asio::io_context& context,
                  SettingsWatcherOptions options,
                  SettingsWatcherEvents events);

  /// Takes the file as it is for known, and follows it from now on.
  void Start();
  /// Reads the file now, as a signal asks for, and reports it even if it is
  /// unchanged.
  void Reload();

 private:
  void CheckFile();
  void Report(const Result<std::string>& text);
  void ScheduleCheck();

  const SettingsWatcherOptions m_options;
  const SettingsWatcherEvents m_events;
  boost::asio::steady_timer m_timer;
  // The text that was last taken or rejected.
  std::string m_last_text;
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_SETTINGS_WATCHER_H_
