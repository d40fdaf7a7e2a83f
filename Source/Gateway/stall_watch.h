#ifndef SOURCE_GATEWAY_STALL_WATCH_H_
#define SOURCE_GATEWAY_STALL_WATCH_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Base/time.h"

namespace cowslip {

/// \class StallWatchOptions
/// \brief When a silence counts as a stall.
struct StallWatchOptions {
  Duration limit = std::chrono::milliseconds(1200);
  /// How often the callback is called while a stall lasts.
  Duration repeat = std::chrono::milliseconds(200);
};

/// \class StallWatch
/// \brief Calls back while a peer sends nothing, so that its silence can be
/// judged without the end of the read that waits for it.
class StallWatch {
 public:
  using Callback = std::function<void(Duration silent)>;

  /// `on_stall` is called on the context, never after Stop() or the
  /// destruction.
  StallWatch(boost::asio::io_context& context,
             StallWatchOptions options,
             Callback on_stall);
  ~StallWatch();
  StallWatch(const StallWatch&) = delete;
  StallWatch& operator=(const StallWatch&) = delete;

  /// A read begins: the peer is silent from now on.
  void BeginRead();
  /// The read has ended. Returns how long the peer was silent if the callback
  /// was called meanwhile.
  std::optional<Duration> EndRead();
  void Stop();

 private:
  struct State;

  static void Wait(const std::shared_ptr<State>& state, Duration time);

  std::shared_ptr<State> m_state;
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_STALL_WATCH_H_
