#ifndef SOURCE_GATEWAY_BACKEND_ATTEMPT_H_
#define SOURCE_GATEWAY_BACKEND_ATTEMPT_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Base/memory_share.h"
#include "Base/result.h"
#include "Base/time.h"
#include "Fleet/caller_request.h"
#include "Net/http_client.h"
#include "Net/http_message.h"

namespace cowslip {

class AttemptLease;

/// \class BackendAttempt
/// \brief One attempt of an online request at one backend server: its slot, its
/// call and its response.
///
/// An attempt that is opened ahead runs beside another one. It reads its
/// response up to the first whole event, so that its answer can be judged
/// before anything of it is relayed.
class BackendAttempt : public std::enable_shared_from_this<BackendAttempt> {
 public:
  using ReadResult = Result<std::optional<std::string>>;

  /// \class AheadCallbacks
  /// \brief Called while the attempt runs ahead, until StopReporting() or an
  /// abort.
  struct AheadCallbacks {
    /// There is a connection, and the request is about to be sent.
    std::function<void()> on_sent;
    /// The call has failed, or the response has been read ahead.
    std::function<void()> on_ready;
  };

  /// `memory` bounds what is held of the response; null for no bound.
  BackendAttempt(boost::asio::io_context& context,
                 std::unique_ptr<AttemptLease> lease,
                 AttemptId attempt,
                 PeerCheck check = PeerCheck::kNotNeeded,
                 std::shared_ptr<MemoryBudget> memory = nullptr);
  ~BackendAttempt();
  BackendAttempt(const BackendAttempt&) = delete;
  BackendAttempt& operator=(const BackendAttempt&) = delete;

  AttemptLease& lease() const { return *m_lease; }
  MonotonicTime start() const { return m_start; }
  /// Null until the response's header is read.
  HttpResponseStream* response() const { return m_response.get(); }

  /// Sends the request, and returns once the response's header is read.
  boost::asio::awaitable<Result<void>> Open(HttpRequest request,
                                            Duration timeout);
  /// Sends the request while the caller does something else.
  void OpenAhead(HttpRequest request,
                 Duration timeout,
                 AheadCallbacks callbacks);
  bool is_opened_ahead() const { return m_is_opened_ahead; }
  void StopReporting();
  /// Returns once the response has been read ahead, with the error of the call
  /// if it has failed.
  boost::asio::awaitable<Result<void>> WaitUntilReady();
  const std::optional<Error>& open_error() const { return m_open_error; }
  /// What was read ahead and is not taken by ReadSome() yet.
  const std::deque<ReadResult>& read_ahead() const { return m_read_ahead; }

  /// Reads the next chunk of the body, see HttpResponseStream.
  boost::asio::awaitable<ReadResult> ReadSome(Duration timeout);
  /// Closes the connection; what is under way fails.
  void Abort();
  /// Aborts the attempt and releases its slot. It is not used after that.
  void Discard();

 private:
  /// Keeps the attempt alive until its call has ended.
  static boost::asio::awaitable<void> RunAhead(
      std::shared_ptr<BackendAttempt> self,
      HttpRequest request,
      Duration timeout);
  boost::asio::awaitable<void> ReadFirstEvent(Duration timeout);
  void SetReady();

  boost::asio::io_context& m_context;
  std::unique_ptr<AttemptLease> m_lease;
  const AttemptId m_attempt_id;
  const PeerCheck m_check;
  const MonotonicTime m_start;
  const std::shared_ptr<HttpAbort> m_abort;
  std::unique_ptr<HttpResponseStream> m_response;
  std::optional<Error> m_open_error;
  AheadCallbacks m_callbacks;
  bool m_is_opened_ahead = false;
  bool m_is_ready = false;
  std::deque<ReadResult> m_read_ahead;
  // What is held in `m_read_ahead`.
  MemoryShare m_memory;
  // Cancelled when the attempt is ready.
  boost::asio::steady_timer m_ready_timer;
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_BACKEND_ATTEMPT_H_
