#include "Gateway/settings_watcher.h"

#include <utility>

#include "platform/settings_file.h"

namespace cowslip {

SettingsWatcher::SettingsWatcher(boost::asio::io_context& context,
                                 SettingsWatcherOptions options,
                                 SettingsWatcherEvents events)
    : m_options(std::move(options)),
      m_events(std::move(events)),
      m_timer(context) {}

void SettingsWatcher::Start() {
  const Result<std::string> text = platform::ReadSettingsText(m_options.path);
  if (m_options.known_text.has_value()) {
    m_last_text = *m_options.known_text;
  } else if (text.has_value()) {
    m_last_text = text.value();
  }
  ScheduleCheck();
}

void SettingsWatcher::ScheduleCheck() {
  m_timer.expires_after(m_options.interval);
  m_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      CheckFile();
      ScheduleCheck();
    }
  });
}

void SettingsWatcher::Reload() {
  Report(platform::ReadSettingsText(m_options.path));
}

void SettingsWatcher::CheckFile() {
  const Result<std::string> text = platform::ReadSettingsText(m_options.path);
  // An absent file is reported once, like an invalid one.
  const std::string now = text.has_value() ? text.value() : std::string();
  if (now != m_last_text) {
    Report(text);
  }
}

void SettingsWatcher::Report(const Result<std::string>& text) {
  m_last_text = text.has_value() ? text.value() : std::string();
  if (!text.has_value()) {
    m_events.rejected(text.error());
    return;
  }
  const Result<GatewaySettings> settings = platform::ParseSettings(m_last_text);
  if (settings.has_value()) {
    m_events.changed(settings.value());
  } else {
    m_events.rejected(settings.error());
  }
}

}  // namespace cowslip
