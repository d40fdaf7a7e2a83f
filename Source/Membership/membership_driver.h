#ifndef SOURCE_MEMBERSHIP_MEMBERSHIP_DRIVER_H_
#define SOURCE_MEMBERSHIP_MEMBERSHIP_DRIVER_H_

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "Base/time.h"
#include "Membership/membership_core.h"

namespace cowslip {

class ObjectStore;
class PeerLink;

/// \class MembershipDriverOptions
/// \brief Identity of this process and the interval at which it reads the VM
/// list.
struct MembershipDriverOptions {
  MembershipCoreOptions core;
  Incarnation incarnation;
  Duration poll_interval = std::chrono::seconds(1);
};

/// \class MembershipCallbacks
/// \brief Called on the io_context's thread whenever a view changes.
struct MembershipCallbacks {
  std::function<void(const std::vector<VmId>& entries)> on_entries;
  std::function<void(const std::vector<BackendMember>& backends)> on_backends;
};

/// \class MembershipDriver
/// \brief Reads the VM list, watches the peer links and executes the actions of
/// MembershipCore.
///
/// Construct it before `link.Start()`. The store and the link must outlive the
/// last handler that the io_context runs.
class MembershipDriver {
 public:
  MembershipDriver(boost::asio::io_context& context,
                   ObjectStore& store,
                   PeerLink& link,
                   MembershipDriverOptions options,
                   MembershipCallbacks callbacks);
  ~MembershipDriver();
  MembershipDriver(const MembershipDriver&) = delete;
  MembershipDriver& operator=(const MembershipDriver&) = delete;

  /// Starts to read the VM list.
  void Start();
  /// Announces to every peer that this process accepts no new work.
  void AnnounceDrain();
  /// No callback runs after this.
  void Stop();

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslip

#endif  // SOURCE_MEMBERSHIP_MEMBERSHIP_DRIVER_H_
