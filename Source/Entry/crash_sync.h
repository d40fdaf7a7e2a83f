#ifndef SOURCE_ENTRY_CRASH_SYNC_H_
#define SOURCE_ENTRY_CRASH_SYNC_H_

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Base/ids.h"
#include "Routing/crash_registry.h"

namespace cowslip {

class ObjectStore;

/// \class CrashSync
/// \brief Tells the fleet which requests crash backend servers.
///
/// Reports go to every linked entry at once. A quarantine is also kept as the
/// object `crash/FINGERPRINT`, from which an entry that starts learns it.
class CrashSync {
 public:
  using SendToEntries = std::function<void(const std::string& cbor)>;
  using Learn = std::function<void(const CrashReport&)>;

  CrashSync(boost::asio::io_context& context,
            ObjectStore& store,
            SendToEntries send,
            Learn learn);

  /// Reads the quarantines in force.
  void Start();
  /// This entry found out something.
  void Broadcast(const CrashReport& report);
  /// Another entry sent a frame.
  void OnPeerFrame(const std::string& cbor);
  /// Lifts a quarantine, on every entry that can be reached and in the store.
  /// False when the store could not be written: repeat it.
  boost::asio::awaitable<bool> Release(Fingerprint fingerprint);

 private:
  boost::asio::awaitable<void> ReadAll();
  boost::asio::awaitable<void> Keep(Fingerprint fingerprint);

  boost::asio::io_context& m_context;
  ObjectStore& m_store;
  const SendToEntries m_send;
  const Learn m_learn;
};

}  // namespace cowslip

#endif  // SOURCE_ENTRY_CRASH_SYNC_H_
