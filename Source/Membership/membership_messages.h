#ifndef SOURCE_MEMBERSHIP_MEMBERSHIP_MESSAGES_H_
#define SOURCE_MEMBERSHIP_MEMBERSHIP_MESSAGES_H_

#include <compare>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

#include "Base/endpoint.h"
#include "Base/ids.h"

namespace cowslip {

/// The peer link channel of membership messages.
inline constexpr char kMemberChannel[] = "member";

/// \class DrainAnnouncement
/// \brief The sender is shutting down and accepts no new work.
struct DrainAnnouncement {
  static constexpr char kType[] = "goodbye";
  Incarnation incarnation;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DrainAnnouncement, incarnation)

using MemberMessage = std::variant<DrainAnnouncement>;

enum class VmRole { kEntry, kBackend };

/// \class ListedVm
/// \brief One VM in the platform's VM list.
struct ListedVm {
  VmId vm;
  VmRole role = VmRole::kEntry;
  ZoneId zone;
  ServiceId service;
  Endpoint link;
  bool leaving = false;
};

/// \class BackendMember
/// \brief A backend server that may be given new work.
struct BackendMember {
  VmId vm;
  ServiceId service;
  ZoneId zone;

  friend bool operator==(const BackendMember&, const BackendMember&) = default;
};

// Events of the membership core.

struct VmListRead {
  std::vector<ListedVm> vms;
};
struct VmListReadFailed {};
struct MemberPeerUp {
  VmId vm;
  Incarnation incarnation;
};
struct MemberPeerDown {
  VmId vm;
};
struct DrainAnnouncementReceived {
  VmId vm;
  Incarnation incarnation;
};
/// This process begins a graceful shutdown.
struct MembershipDrainRequested {};
struct MembershipTick {};

using MembershipEvent = std::variant<VmListRead,
                                     VmListReadFailed,
                                     MemberPeerUp,
                                     MemberPeerDown,
                                     DrainAnnouncementReceived,
                                     MembershipDrainRequested,
                                     MembershipTick>;

// Actions of the membership core.

struct DialPeer {
  VmId vm;
  Endpoint link;
};
struct HangupPeer {
  VmId vm;
};
/// The entries that take part in limits and batch ownership, including this one
/// unless it is leaving. Sorted.
struct MembersChanged {
  std::vector<VmId> entries;
};
/// The backend servers that this entry may give new work. Sorted by VM.
struct BackendsChanged {
  std::vector<BackendMember> backends;
};
struct SendDrainAnnouncement {
  VmId vm;
};

using MembershipAction = std::variant<DialPeer,
                                      HangupPeer,
                                      MembersChanged,
                                      BackendsChanged,
                                      SendDrainAnnouncement>;

}  // namespace cowslip

#endif  // SOURCE_MEMBERSHIP_MEMBERSHIP_MESSAGES_H_
