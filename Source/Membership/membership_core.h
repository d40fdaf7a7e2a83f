#ifndef SOURCE_MEMBERSHIP_MEMBERSHIP_CORE_H_
#define SOURCE_MEMBERSHIP_MEMBERSHIP_CORE_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "Base/time.h"
#include "Membership/membership_messages.h"

namespace cowslip {

/// Approximate number of backend servers that an entry keeps links to, over all
/// services.
inline constexpr size_t kMaxBackendsPerEntry = 64;
/// Lower bound for each service; with many services it takes precedence over
/// kMaxBackendsPerEntry.
inline constexpr size_t kMinBackendsPerService = 8;
/// At least this many entries keep a link to each backend server, so that it
/// stays in use when one entry is lost.
inline constexpr size_t kMinEntriesPerBackend = 3;
/// A link that is no longer wanted is closed after this time, so that work in
/// flight on it can end.
inline constexpr Duration kUnwantedLinkGrace = std::chrono::minutes(15);

/// An entry is dialled by those with a smaller id. When its link is down for
/// this long, the others dial it too: an entry that restarts while the platform
/// is down has no VM list and can dial no peer.
inline constexpr Duration kReverseDialDelay = std::chrono::seconds(3);

/// \class MembershipCoreOptions
/// \brief Identity and role of this process.
struct MembershipCoreOptions {
  VmId self;
  /// Backend server VMs dial no peers.
  VmRole role = VmRole::kEntry;
  size_t max_backends_per_entry = kMaxBackendsPerEntry;
};

/// \class MembershipCore
/// \brief Decides which VMs are members, which of them accept new work and
/// which to dial.
///
/// A VM is given new work only while the VM list contains it and does not mark
/// it as leaving, it has sent no drain announcement, and its link is up. A VM
/// list that cannot be read changes nothing, and an empty list after a
/// non-empty one is ignored; the links then show which VMs are available.
class MembershipCore {
 public:
  explicit MembershipCore(MembershipCoreOptions options);

  std::vector<MembershipAction> Handle(const MembershipEvent& event,
                                       MonotonicTime now);

  bool leaving() const { return m_leaving; }

 private:
  /// \class Peer
  /// \brief State of one VM from the VM list, its link and its drain
  /// announcement.
  struct Peer {
    std::optional<ListedVm> listed;
    std::optional<Incarnation> linked_incarnation;
    /// The incarnation that has announced its drain.
    std::optional<Incarnation> draining_incarnation;
    std::optional<MonotonicTime> down_since;
  };
  /// \class DialledPeer
  /// \brief A VM that PeerLink dials.
  struct DialledPeer {
    Endpoint link;
    std::optional<MonotonicTime> unwanted_since;
  };

  using BackendsByService = std::map<ServiceId, std::vector<VmId>>;
  /// \class BackendSelection
  /// \brief The current selection of backend servers and the inputs that it was
  /// computed from.
  struct BackendSelection {
    std::vector<VmId> entries;
    BackendsByService by_service;
    std::vector<VmId> backends;
  };

  void Apply(const VmListRead& event);
  void Apply(const VmListReadFailed&) {}
  void Apply(const MemberPeerUp& event);
  void Apply(const MemberPeerDown& event);
  void Apply(const DrainAnnouncementReceived& event);
  void Apply(const MembershipDrainRequested&);
  void Apply(const MembershipTick&) {}

  void ForgetLostPeers();
  bool AcceptsNewWork(const Peer& peer) const;
  /// The listed entries that are not leaving, and this process if it is an
  /// entry.
  std::vector<VmId> StayingEntries() const;
  /// The listed backend servers that this entry keeps links to.
  const std::vector<VmId>& SelectedBackends();
  std::vector<VmId> SelectBackends(const BackendsByService& by_service,
                                   const std::vector<VmId>& entries) const;
  bool SelectsBackend(const VmId& backend,
                      size_t backends_of_service,
                      size_t max_backends,
                      const std::vector<VmId>& entries) const;

  void UpdateLinks(const std::vector<VmId>& backends, MonotonicTime now);
  bool ShouldDialEntry(const VmId& entry) const;
  void DialWantedPeers(const std::vector<VmId>& wanted);
  void CloseUnwantedLinks(const std::vector<VmId>& wanted, MonotonicTime now);
  void UpdateViews(const std::vector<VmId>& backends);

  const MembershipCoreOptions m_options;
  MonotonicTime m_now;
  BackendSelection m_selection;
  bool m_leaving = false;
  bool m_self_listed_leaving = false;
  std::map<VmId, Peer> m_peers;
  std::map<VmId, DialledPeer> m_dialled;
  std::optional<std::vector<VmId>> m_last_entries;
  std::optional<std::vector<BackendMember>> m_last_backends;
  std::vector<MembershipAction> m_actions;
};

}  // namespace cowslip

#endif  // SOURCE_MEMBERSHIP_MEMBERSHIP_CORE_H_
