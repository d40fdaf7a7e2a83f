#ifndef SOURCE_GATEWAY_STREAM_MOVE_H_
#define SOURCE_GATEWAY_STREAM_MOVE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Base/time.h"
#include "Fleet/caller_request.h"
#include "Net/http_message.h"

namespace cowslip {

class BackendAttempt;

/// The other backend server has the request: it has sent the event that the
/// caller needs next, or it has kept the request for the longest overlap.
struct MoveTaken {
  bool has_answered = false;
};
/// The other backend server did not run the request.
struct MoveTurnedAway {
  std::string why;
  bool refused_connection = false;
};
/// The request may have run at the other backend server, but its answer is of
/// no use.
struct MoveFailed {
  std::string why;
  /// Whether the connection failed or the response is malformed.
  bool broke_off = false;
};
using MoveOutcome = std::variant<MoveTaken, MoveTurnedAway, MoveFailed>;

/// \class StreamMoveOptions
/// \brief What a stream needs to go on elsewhere.
struct StreamMoveOptions {
  AttemptId attempt;
  /// The last event that the caller has.
  uint64_t last_event = 0;
  /// How long the request may be at work at both backend servers. A refusal
  /// comes within a round trip; a backend server that has sent none by then
  /// runs the request or has queued it.
  Duration max_overlap = std::chrono::milliseconds(250);
};

/// \class StreamMove
/// \brief Offers a stream to another backend server while the silent one still
/// has it, and decides whether the other one has taken it over.
class StreamMove {
 public:
  using Callback = std::function<void(const MoveOutcome&)>;

  /// `on_decided` is called once, on the context, and may destroy the move. It
  /// is not called after Take() or the destruction.
  StreamMove(boost::asio::io_context& context,
             std::shared_ptr<BackendAttempt> attempt,
             StreamMoveOptions options,
             Callback on_decided);
  /// Ends the attempt unless it was taken.
  ~StreamMove();
  StreamMove(const StreamMove&) = delete;
  StreamMove& operator=(const StreamMove&) = delete;

  void Start(HttpRequest request, Duration timeout);
  const BackendAttempt& attempt() const { return *m_attempt; }
  /// Whether the request may have reached the other backend server.
  bool was_sent() const { return m_was_sent; }
  /// Hands over the attempt, also before the decision.
  std::shared_ptr<BackendAttempt> Take();

 private:
  /// Limits the overlap from now on.
  void HandleSent();
  MoveOutcome Judge() const;
  /// Judges what was read ahead of a successful response.
  MoveOutcome JudgeBody() const;
  void Decide(const MoveOutcome& outcome);

  std::shared_ptr<BackendAttempt> m_attempt;
  const StreamMoveOptions m_options;
  Callback m_on_decided;
  boost::asio::steady_timer m_overlap_timer;
  bool m_was_sent = false;
  // Reset by the destructor, so that the timer's handler does nothing.
  const std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_STREAM_MOVE_H_
