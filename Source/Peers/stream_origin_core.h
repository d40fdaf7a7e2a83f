#ifndef SOURCE_PEERS_STREAM_ORIGIN_CORE_H_
#define SOURCE_PEERS_STREAM_ORIGIN_CORE_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "Base/ids.h"
#include "Base/time.h"
#include "Peers/stream_origin.h"

namespace cowslip {

class PeerTable;

/// \class StreamOriginOptions
/// \brief How many processes remember the origin of a stream, and for how long.
struct StreamOriginOptions {
  VmId self;
  /// Processes that remember an origin, besides the one that relays the stream.
  size_t copies = 3;
  /// Longer than any caller waits for a stream and its resumption.
  Duration lifetime = std::chrono::seconds(30);
  size_t max_origins = 65536;
  /// Origins of attempts with longer ids are not remembered.
  size_t max_attempt_bytes = 128;
};

/// This process is about to send the first event of a stream to its caller.
struct StreamBegan {
  StreamOrigin origin;
};
/// Another process has reported an origin, or was asked for it.
struct StreamOriginReceived {
  StreamOrigin origin;
};
using StreamOriginEvent = std::variant<StreamBegan, StreamOriginReceived>;

/// Send the origin to this process.
struct ReportStreamOrigin {
  VmId peer;
  StreamOrigin origin;
};
using StreamOriginAction = std::variant<ReportStreamOrigin>;

/// \class StreamOriginCore
/// \brief Remembers which software version began a stream, so that a caller can
/// resume it at another gateway after the loss of its own.
///
/// Rendezvous hashing of the attempt picks the processes that receive a copy,
/// and the same ones are asked by a process that has none: the cost of a stream
/// does not grow with the number of gateways.
class StreamOriginCore {
 public:
  StreamOriginCore(StreamOriginOptions options, const PeerTable& peers);

  std::vector<StreamOriginAction> Handle(const StreamOriginEvent& event,
                                         MonotonicTime now);

  std::optional<StreamOrigin> Find(const AttemptId& attempt,
                                   MonotonicTime now) const;
  /// The live processes that may remember the origin, the likeliest first.
  std::vector<VmId> Candidates(const AttemptId& attempt) const;
  size_t size() const { return m_origins.size(); }

 private:
  struct Record {
    StreamOrigin origin;
    MonotonicTime received;
  };

  void Remember(const StreamOrigin& origin, MonotonicTime now);
  std::vector<VmId> Pick(const AttemptId& attempt, size_t count) const;

  const StreamOriginOptions m_options;
  const PeerTable& m_peers;
  std::unordered_map<AttemptId, Record> m_origins;
  // In the order of their receipt.
  std::deque<AttemptId> m_order;
};

}  // namespace cowslip

#endif  // SOURCE_PEERS_STREAM_ORIGIN_CORE_H_
