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

/// About how many backend servers an entry keeps links to, over all services.
inline constexpr size_t kMaxBackendsPerEntry = 64;
/// With many services, the bound above gives way to this many of each.
inline constexpr size_t kMinBackendsPerService = 8;
/// Each backend server is kept by at least this many entries, so that the loss
/// of one entry leaves it in use.
inline constexpr size_t kMinEntriesPerBackend = 3;
/// A link that is no longer wanted is closed after this time, so that work in
/// flight on it can end.
inline constexpr Duration kUnwantedLinkGrace = std::chrono::minutes(15);

/// An entry is dialled by those with a smaller id. When it stays away for this
/// long, the others dial it too: one that restarts while the platform is down
/// has no VM list and can dial nobody.
inline constexpr Duration kReverseDialDelay = std::chrono::seconds(3);

/// \class MembershipCoreOptions
/// \brief Who this process is.
struct MembershipCoreOptions {
  VmId self;
  /// Backend server VMs dial nobody.
  VmRole role = VmRole::kEntry;
  size_t max_backends_per_entry = kMaxBackendsPerEntry;
};

/// \class MembershipCore
/// \brief Decides who is there, who is leaving and whom to dial.
///
/// A VM is given new work only while the VM list names it as staying, it has
/// said no goodbye and its link is up; the first of the three to end counts.
/// A VM list that cannot be read changes nothing, and an empty one after a
/// filled one is not believed: links tell who is there.
class MembershipCore {
 public:
  explicit MembershipCore(MembershipCoreOptions options);

  std::vector<MembershipAction> Handle(const MembershipEvent& event,
                                       MonotonicTime now);

  bool leaving() const { return m_leaving; }

 private:
  /// \class Peer
  /// \brief What the three sources say about one VM.
  struct Peer {
    std::optional<ListedVm> listed;
    std::optional<Incarnation> up;
    /// The incarnation that said goodbye.
    std::optional<Incarnation> goodbye;
    std::optional<MonotonicTime> down_since;
  };
  /// \class Dialled
  /// \brief A VM that PeerLink was told to dial.
  struct Dialled {
    Endpoint link;
    std::optional<MonotonicTime> unwanted_since;
  };

  using BackendsByService = std::map<ServiceId, std::vector<VmId>>;
  /// \class Kept
  /// \brief The last choice of backend servers, and what it was made for.
  struct Kept {
    std::vector<VmId> entries;
    BackendsByService by_service;
    std::vector<VmId> backends;
  };

  void Apply(const VmListRead& event);
  void Apply(const VmListFailed&) {}
  void Apply(const MemberPeerUp& event);
  void Apply(const MemberPeerDown& event);
  void Apply(const MemberGoodbye& event);
  void Apply(const LeaveRequested&);
  void Apply(const MembershipTick&) {}

  void ForgetLostPeers();
  bool TakesNewWork(const Peer& peer) const;
  /// The listed entries that stay, this one included.
  std::vector<VmId> StayingEntries() const;
  /// The listed backend servers that this entry keeps links to.
  const std::vector<VmId>& KeptBackends();
  std::vector<VmId> PickBackends(const BackendsByService& by_service,
                                 const std::vector<VmId>& entries) const;
  bool KeepsBackend(const VmId& backend,
                    size_t backends_of_service,
                    size_t most,
                    const std::vector<VmId>& entries) const;

  void UpdateDials(const std::vector<VmId>& backends, MonotonicTime now);
  bool DialsEntry(const VmId& entry) const;
  void DialWanted(const std::vector<VmId>& wanted);
  void HangUpUnwanted(const std::vector<VmId>& wanted, MonotonicTime now);
  void UpdateViews(const std::vector<VmId>& backends);

  const MembershipCoreOptions m_options;
  MonotonicTime m_now;
  Kept m_kept;
  bool m_leaving = false;
  bool m_self_listed_leaving = false;
  std::map<VmId, Peer> m_peers;
  std::map<VmId, Dialled> m_dialled;
  std::optional<std::vector<VmId>> m_last_entries;
  std::optional<std::vector<BackendMember>> m_last_backends;
  std::vector<MembershipAction> m_actions;
};

}  // namespace cowslip

#endif  // SOURCE_MEMBERSHIP_MEMBERSHIP_CORE_H_
