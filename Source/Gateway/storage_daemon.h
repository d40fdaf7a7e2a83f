#ifndef SOURCE_GATEWAY_STORAGE_DAEMON_H_
#define SOURCE_GATEWAY_STORAGE_DAEMON_H_

#include <functional>
#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Base/event_log.h"
#include "Fleet/gateway_settings.h"
#include "Gateway/memory_monitor.h"
#include "Platform/document_watcher.h"
#include "platform/store_client.h"

namespace cowslip {

/// \class StorageDaemonOptions
/// \brief The settings of a storage process and the environment it runs in.
struct StorageDaemonOptions {
  GatewaySettings settings;
  Incarnation incarnation;
  int log_descriptor = 1;
  std::function<void()> on_stopped;
};

/// \class StorageDaemon
/// \brief The process on a VM with a disk. All durable state is in the
/// platform's store, so this process stores nothing: it only confirms requests
/// to retire the VM, which never holds any data.
class StorageDaemon {
 public:
  StorageDaemon(boost::asio::io_context& context, StorageDaemonOptions options);

  Result<void> Start();
  void Shutdown();
  void Reload(const GatewaySettings& settings);
  void RejectSettings(const Error& why);

 private:
  void HandleRetirement(const DocumentChange& change);
  boost::asio::awaitable<void> ReportEmpty(Document document);
  void ScheduleFlush();

  boost::asio::io_context& m_context;
  const StorageDaemonOptions m_options;
  EventLog m_log;
  MemoryMonitor m_memory_monitor;
  platform::StoreClient m_store;
  std::shared_ptr<DocumentWatcher> m_watcher;
  boost::asio::steady_timer m_flush_timer;
  bool m_reporting = false;
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_STORAGE_DAEMON_H_
