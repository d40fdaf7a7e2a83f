#ifndef SOURCE_GATEWAY_VERSION_HISTORY_H_
#define SOURCE_GATEWAY_VERSION_HISTORY_H_

#include <functional>
#include <map>
#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Placement/version_history_core.h"
#include "Platform/document_store.h"

namespace cowslip {

class EventLog;

/// \class VersionHistory
/// \brief Drives VersionHistoryCore: reads and writes the records of software
/// versions in the store.
class VersionHistory {
 public:
  /// Reads the entries of the backend servers from the store, and is told
  /// whether everything is known that was written before the call.
  using CatchUp =
      std::function<void(std::function<void(bool is_current)> ended)>;

  VersionHistory(boost::asio::io_context& context,
                 DocumentStore& store,
                 const PeerTable& peers,
                 EventLog& log,
                 CatchUp catch_up,
                 VersionHistoryOptions options);
  ~VersionHistory();

  void Handle(const VersionHistoryEvent& event);

  /// What is known about the versions of the service. Reads the record and the
  /// entries first if they are needed; gives up after a time that leaves the
  /// caller enough of its own to start the stream anew.
  boost::asio::awaitable<VersionHistoryCore::Verdict> Judge(ServiceId service);

 private:
  /// Reads the entries. Returns false if that failed or the time has passed.
  boost::asio::awaitable<bool> ReadEntries(MonotonicTime give_up);
  /// Reads the record. Returns when that has ended or the time has passed.
  boost::asio::awaitable<void> WaitForRecord(ServiceId service,
                                             MonotonicTime give_up);
  boost::asio::awaitable<void> Read(ServiceId service);
  boost::asio::awaitable<void> Write(ServiceId service, ServiceVersions record);
  /// `began` is when the read began.
  void HandleRecord(const ServiceId& service,
                    const Document& document,
                    MonotonicTime began);
  void Fail(const ServiceId& service, const char* call, const Error& why);
  /// Ends the waits for the record of the service.
  void WakeWaiting(const ServiceId& service);

  boost::asio::io_context& m_context;
  DocumentStore& m_store;
  EventLog& m_log;
  const CatchUp m_catch_up;
  VersionHistoryCore m_core;
  // The timers of WaitForRecord(), by service.
  std::multimap<ServiceId, boost::asio::steady_timer*> m_waiting;
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_VERSION_HISTORY_H_
