#ifndef SOURCE_PEERS_POLL_TURN_CORE_H_
#define SOURCE_PEERS_POLL_TURN_CORE_H_

#include <chrono>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "Base/ids.h"
#include "Base/time.h"
#include "Peers/poll_report.h"

namespace cowslip {

/// \class PollTurnOptions
/// \brief Timing of the polls of a fleet.
struct PollTurnOptions {
  VmId self;
  /// From the begin of one poll to that of the next one.
  Duration interval = std::chrono::milliseconds(800);
  /// A poll that has not completed after this time counts as lost.
  Duration run_time = std::chrono::milliseconds(500);
};

/// The live processes, this one included, sorted by name.
struct PollersChanged {
  std::vector<VmId> live;
};
/// A datagram of a peer that reaches the store.
struct PeerPollReported {
  VmId vm;
  PollReport report;
};
/// The poll that BeginPoll began at this time has ended.
struct OwnPollEnded {
  MonotonicTime began;
  bool has_read_everything = false;
};
/// Time has passed.
struct PollTurnTick {};
using PollTurnEvent =
    std::variant<PollersChanged, PeerPollReported, OwnPollEnded, PollTurnTick>;

/// Read all kinds now.
struct BeginPoll {
  MonotonicTime began;
};
using PollTurnAction = std::variant<BeginPoll>;

/// \class PollTurnCore
/// \brief Decides which process of a fleet polls the store next, so that every
/// process has heard of a complete poll that is younger than a bound, at the
/// cost of one poll an interval.
///
/// The live processes take turns in the order of their names. A turn is not
/// relied upon: if no peer is heard to poll, the next process does so after a
/// pause in which a datagram would have arrived. A process that stands still,
/// but still counts as live, thus costs that pause and not an interval, and
/// one that hears nobody polls by itself.
class PollTurnCore {
 public:
  PollTurnCore(PollTurnOptions options, MonotonicTime start);

  std::vector<PollTurnAction> Handle(const PollTurnEvent& event,
                                     MonotonicTime now);

  /// When this process polls if nothing else is heard until then.
  MonotonicTime NextTurn() const;
  PollReport Report(MonotonicTime now) const;
  /// When the newest complete poll began that is known, of any process; or the
  /// start of this process.
  MonotonicTime LastCompletePoll() const { return m_last_poll; }

 private:
  void Apply(const PollersChanged& event, MonotonicTime now);
  void Apply(const PeerPollReported& event, MonotonicTime now);
  void Apply(const OwnPollEnded& event, MonotonicTime now);
  void Apply(const PollTurnTick&, MonotonicTime) {}
  void RecordPoll(const VmId& vm, MonotonicTime began);
  /// The pause after which the next process takes a turn.
  Duration Pause() const;
  /// How many processes come before this one in the current turn.
  int64_t Rank() const;

  const PollTurnOptions m_options;
  std::vector<VmId> m_live;
  // The newest complete poll that is known, and who made it.
  VmId m_last_poller;
  MonotonicTime m_last_poll;
  std::map<VmId, MonotonicTime> m_running;
  std::optional<MonotonicTime> m_own_completed;
  MonotonicTime m_retry_at;
  uint32_t m_failures = 0;
};

}  // namespace cowslip

#endif  // SOURCE_PEERS_POLL_TURN_CORE_H_
