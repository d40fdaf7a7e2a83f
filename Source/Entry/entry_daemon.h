#ifndef SOURCE_ENTRY_ENTRY_DAEMON_H_
#define SOURCE_ENTRY_ENTRY_DAEMON_H_

#include <memory>

#include <boost/asio/io_context.hpp>

#include "Base/result.h"
#include "Entry/entry_settings.h"

namespace cowslip {

/// \class EntryDaemon
/// \brief The whole of `cowslip-entry`: joins the slices and their sockets.
class EntryDaemon {
 public:
  EntryDaemon(boost::asio::io_context& context, EntrySettings settings);
  ~EntryDaemon();
  EntryDaemon(const EntryDaemon&) = delete;
  EntryDaemon& operator=(const EntryDaemon&) = delete;

  /// Opens the ports. Errors: kUnavailable.
  Result<void> Start();
  /// Takes no new work, finishes what it has, then stops the io_context.
  void Shutdown();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace cowslip

#endif  // SOURCE_ENTRY_ENTRY_DAEMON_H_
