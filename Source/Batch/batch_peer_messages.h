#ifndef SOURCE_BATCH_BATCH_PEER_MESSAGES_H_
#define SOURCE_BATCH_BATCH_PEER_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>

#include "Batch/batch_messages.h"

namespace cowslip {

/// The peer link channel for batch messages between entries.
inline constexpr char kBatchChannel[] = "batch";

/// \class PeerSubmit
/// \brief Asks the owner to accept a job whose input is in the store.
struct PeerSubmit {
  static constexpr char kType[] = "submit";
  uint64_t request = 0;
  JobHeader header;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PeerSubmit, request, header)

/// \class PeerView
/// \brief Asks the owner for the state of a job.
struct PeerView {
  static constexpr char kType[] = "view";
  uint64_t request = 0;
  OrganisationId organisation;
  JobId job;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PeerView, request, organisation, job)

/// \class PeerCancel
/// \brief Asks the owner to cancel a job.
struct PeerCancel {
  static constexpr char kType[] = "cancel";
  uint64_t request = 0;
  OrganisationId organisation;
  JobId job;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PeerCancel, request, organisation, job)

/// \class PeerJobReply
/// \brief The owner's reply with the state of the job.
struct PeerJobReply {
  static constexpr char kType[] = "job";
  uint64_t request = 0;
  JobView view;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PeerJobReply, request, view)

/// \class PeerErrorReply
/// \brief The owner's reply with an error.
struct PeerErrorReply {
  static constexpr char kType[] = "error";
  uint64_t request = 0;
  int kind = 0;
  std::string message;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PeerErrorReply, request, kind, message)

using BatchPeerMessage = std::
    variant<PeerSubmit, PeerView, PeerCancel, PeerJobReply, PeerErrorReply>;

}  // namespace cowslip

#endif  // SOURCE_BATCH_BATCH_PEER_MESSAGES_H_
