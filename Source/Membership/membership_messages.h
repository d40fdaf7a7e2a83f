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

/// \class GoodbyeMessage
/// \brief The sending process is shutting down: give it no new work.
struct GoodbyeMessage {
  static constexpr char kType[] = "goodbye";
  Incarnation incarnation;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(GoodbyeMessage, incarnation)

using MemberMessage = std::variant<GoodbyeMessage>;

enum class VmRole { kEntry, kBackend };

/// \class ListedVm
/// \brief One entry of the platform's VM list.
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
struct VmListFailed {};
struct MemberPeerUp {
  VmId vm;
  Incarnation incarnation;
};
struct MemberPeerDown {
  VmId vm;
};
struct MemberGoodbye {
  VmId vm;
  Incarnation incarnation;
};
/// This process begins a graceful shutdown.
struct LeaveRequested {};
struct MembershipTick {};

using MembershipEvent = std::variant<VmListRead,
                                     VmListFailed,
                                     MemberPeerUp,
                                     MemberPeerDown,
                                     MemberGoodbye,
                                     LeaveRequested,
                                     MembershipTick>;

// Actions of the membership core.

struct DialPeer {
  VmId vm;
  Endpoint link;
};
struct HangupPeer {
  VmId vm;
};
/// The entries that take part in limits and batch ownership, this one
/// included while it is not leaving. Sorted.
struct MembersChanged {
  std::vector<VmId> entries;
};
/// The backend servers that this entry may give new work. Sorted by VM.
struct BackendsChanged {
  std::vector<BackendMember> backends;
};
struct SendGoodbye {
  VmId vm;
};

using MembershipAction = std::
    variant<DialPeer, HangupPeer, MembersChanged, BackendsChanged, SendGoodbye>;

}  // namespace cowslip

#endif  // SOURCE_MEMBERSHIP_MEMBERSHIP_MESSAGES_H_
