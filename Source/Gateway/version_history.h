#ifndef SOURCE_GATEWAY_VERSION_HISTORY_H_
#define SOURCE_GATEWAY_VERSION_HISTORY_H_

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
  VersionHistory(boost::asio::io_context& context,
                 DocumentStore& store,
                 const PeerTable& peers,
                 EventLog& log,
                 VersionHistoryOptions options);
  ~VersionHistory();

  void Handle(const VersionHistoryEvent& event);

  /// What is known about the versions of the service. Reads the record first
  /// if it is needed; gives up after a time that leaves the caller enough of
  /// its own to start the stream anew.
  boost::asio::awaitable<VersionHistoryCore::Verdict> Judge(ServiceId service);

 private:
  boost::asio::awaitable<void> Read(ServiceId service);
  boost::asio::awaitable<void> Write(ServiceId service, ServiceVersions record);
  /// `began` is when the read began.
  void HandleRecord(const ServiceId& service,
                    const Document& document,
                    MonotonicTime began);
  void Fail(const ServiceId& service, const char* call, const Error& why);
  /// Ends the waits of Judge() for the service.
  void WakeWaiting(const ServiceId& service);

  boost::asio::io_context& m_context;
  DocumentStore& m_store;
  EventLog& m_log;
  VersionHistoryCore m_core;
  // The timers of Judge(), by service.
  std::multimap<ServiceId, boost::asio::steady_timer*> m_waiting;
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_VERSION_HISTORY_H_
