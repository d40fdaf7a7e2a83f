#include "Gateway/storage_daemon.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Net/sleep_for.h"
#include "platform/completed_status.h"
#include "platform/wire_names.h"

namespace cowslip {

namespace {

using boost::asio::awaitable;

// Limits how long a watch that the store has dropped silently can delay the
// report of a retirement: to less than the seconds within which the report is
// due.
constexpr Duration kWatchTimeout = std::chrono::seconds(5);
constexpr Duration kFlushInterval = std::chrono::seconds(1);
// The interval between attempts to report while the store is unavailable.
constexpr Duration kReportRetryInterval = std::chrono::milliseconds(300);

}  // namespace

StorageDaemon::StorageDaemon(boost::asio::io_context& context,
                             StorageDaemonOptions options)
    : m_context(context),
      m_options(std::move(options)),
      m_log(EventLogOptions{.descriptor = m_options.log_descriptor}),
      m_memory_monitor(m_log, m_options.settings.memory_bytes),
      m_store(
          context.get_executor(),
          m_options.settings.store,
          platform::StoreClientOptions{.memory = m_memory_monitor.budget()}),
      m_flush_timer(context) {}

Result<void> StorageDaemon::Start() {
  m_log.Write("started", {{"vm", m_options.settings.vm.value()},
                          {"role", "storage"},
                          {"version", COWSLIP_VERSION}});
  m_watcher = std::make_shared<DocumentWatcher>(
      m_context.get_executor(), m_store,
      DocumentWatcherOptions{.kind = DocumentKind(platform::kRetirementKind),
                             .wait = kWatchTimeout,
                             .seed = m_options.incarnation.value()},
      DocumentWatcherEvents{
          .listed =
              [this](const std::vector<DocumentChange>& changes) {
                for (const DocumentChange& change : changes) {
                  HandleRetirement(change);
                }
              },
          .changed =
              [this](const DocumentChange& change) {
                HandleRetirement(change);
              },
          .lost =
              [this](const Error& error) {
                m_log.Write("store_lost", {{"why", error.message}});
              },
          .regained = [this] { m_log.Write("store_regained", {}); }});
  m_watcher->Start();
  ScheduleFlush();
  return Ok();
}

void StorageDaemon::HandleRetirement(const DocumentChange& change) {
  const Document& document = change.document;
  const bool is_ours = document.name.value() == m_options.settings.vm.value();
  if (change.removed || !is_ours || m_reporting ||
      platform::IsCompleted(document)) {
    return;
  }
  m_reporting = true;
  m_log.Write("retirement_asked", {{"vm", document.name.value()}});
  boost::asio::co_spawn(
      m_context, [this, document] { return ReportEmpty(document); },
      boost::asio::detached);
}

awaitable<void> StorageDaemon::ReportEmpty(Document document) {
  const DocumentKind kind(platform::kRetirementKind);
  while (!platform::IsCompleted(document)) {
    const DocumentName name = document.name;
    nlohmann::json status = platform::EncodeCompletedStatus();
    const ObjectVersion version = document.version;
    const Result<Document> reported =
        co_await m_store.ReplaceStatus(kind, name, std::move(status), version);
    if (reported.has_value()) {
      break;
    }
    m_log.Write("retirement_report_failed",
                {{"why", reported.error().message}});
    co_await SleepFor(kReportRetryInterval);
    Result<Document> known = co_await m_store.Get(kind, name);
    if (known.has_value()) {
      document = std::move(known.value());
    } else if (known.error().kind() == ErrorKind::kNotFound) {
      break;
    }
  }
  m_reporting = false;
  m_log.Write("retirement_reported", {{"vm", document.name.value()}});
}

void StorageDaemon::ScheduleFlush() {
  m_flush_timer.expires_after(kFlushInterval);
  m_flush_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      m_memory_monitor.Tick(MonotonicClock::now());
      m_log.Flush();
      ScheduleFlush();
    }
  });
}

void StorageDaemon::Shutdown() {
  m_log.Write("stopped", {});
  m_log.Flush();
  m_watcher->Stop();
  m_options.on_stopped();
}

void StorageDaemon::Reload(const GatewaySettings&) {
  m_log.Write("settings_reloaded", {});
}

void StorageDaemon::RejectSettings(const Error& why) {
  m_log.Write("settings_rejected", {{"why", why.message}});
}

}  // namespace cowslip
