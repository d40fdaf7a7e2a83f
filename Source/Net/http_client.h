#ifndef SOURCE_NET_HTTP_CLIENT_H_
#define SOURCE_NET_HTTP_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "Base/endpoint.h"
#include "Base/memory_budget.h"
#include "Base/result.h"
#include "Base/strong_id.h"
#include "Base/time.h"
#include "Net/http_message.h"

namespace cowslip {

/// Names what a request is about, as far as its response may name it. The
/// client compares tags and does not interpret them.
using RequestTag = StrongId<struct RequestTagTag>;

struct ConnectionCheck;

/// \class HttpClientOptions
/// \brief Limits on calls and on idle persistent connections.
struct HttpClientOptions {
  size_t max_idle_connections = 16;
  size_t max_response_bytes = 64 << 20;
  Duration connect_timeout = std::chrono::seconds(2);
  /// How long a persistent connection may stay idle and still be reused; after
  /// that it is closed. A shorter timeout in the server's Keep-Alive header
  /// takes precedence.
  Duration max_idle_time = std::chrono::seconds(30);
  /// When set, the kernel sends TCP keep-alive probes to a silent peer and
  /// fails the connection when probes or data stay unacknowledged for this
  /// time. Rounded down to whole seconds, at least one. A network failure that
  /// drops packets without closing the connection is detected in no other way.
  Duration dead_peer_timeout = Duration::zero();
  /// Requests with PeerCheck::kNeeded are sent only over connections that have
  /// passed this check; null for none.
  std::shared_ptr<const ConnectionCheck> check{};
  /// Bounds the memory of whole responses and of checks, together with other
  /// holders; null for no bound. A call without room fails.
  std::shared_ptr<MemoryBudget> memory{};
  MemoryPriority memory_priority = MemoryPriority::kNormal;
};

/// Whether a request is bound to the peer that HttpClientOptions::check looks
/// for.
enum class PeerCheck { kNotNeeded, kNeeded };

/// \class HttpAbort
/// \brief Cancels a call of HttpClient::Open() that still waits for the
/// response's header.
class HttpAbort {
 public:
  /// Closes the connection at once, if there is one, and the call fails. A call
  /// that is still connecting fails when the connection attempt has ended.
  void Abort() {
    m_aborted = true;
    if (m_close) {
      m_close();
    }
  }
  bool aborted() const { return m_aborted; }
  /// `on_send` is called when there is a connection and the request is about to
  /// be sent.
  void SetSendCallback(std::function<void()> on_send) {
    m_on_send = std::move(on_send);
  }
  /// `may_send` is called right before the request, or a check, is sent. If it
  /// returns false, nothing is sent and the call fails with kUnavailable.
  void SetSendCondition(std::function<bool()> may_send) {
    m_may_send = std::move(may_send);
  }
  /// Whether the request was not sent because the connection failed its check.
  bool check_failed() const { return m_check_failed; }
  /// Called by HttpClient.
  void ReportFailedCheck() { m_check_failed = true; }
  /// Called by HttpClient.
  bool MaySend() const { return !m_may_send || m_may_send(); }
  /// Called by HttpClient.
  void ReportSend() const {
    if (m_on_send) {
      m_on_send();
    }
  }
  /// Called by HttpClient: sets the function that closes the connection, or
  /// null when there is no connection.
  void SetCloseCallback(std::function<void()> close) {
    m_close = std::move(close);
  }

 private:
  std::function<void()> m_close;
  std::function<void()> m_on_send;
  std::function<bool()> m_may_send;
  bool m_aborted = false;
  bool m_check_failed = false;
};

/// \class HttpResponseStream
/// \brief A response whose body is read in chunks. Destroying it before the end
/// of the body closes the connection, which cancels the request at the server.
class HttpResponseStream {
 public:
  virtual ~HttpResponseStream() = default;
  virtual int status() const = 0;
  virtual const HttpHeaders& headers() const = 0;
  /// Whether the connection had carried an earlier response. In that case this
  /// response may be a delayed one to an earlier request.
  virtual bool on_reused_connection() const = 0;
  /// Whether the body has neither a length nor chunks. Such a body ends with
  /// its connection, so an early end cannot be told from the regular one unless
  /// the connection was reset.
  virtual bool ends_with_connection() const = 0;
  /// Returns the next chunk, or nullopt at the regular end of the body. Errors:
  /// kInDoubt when the body is truncated, or ends with its connection although
  /// the request could not be sent whole or did not reach the server; kTimeout.
  /// The end of a body that ends with its connection is returned once the
  /// server has received the request.
  virtual boost::asio::awaitable<Result<std::optional<std::string>>> ReadSome(
      Duration timeout) = 0;
  /// Closes the connection at once; a pending ReadSome fails.
  virtual void Abort() = 0;
};

/// \class HttpClient
/// \brief Sends HTTP/1.1 requests to one endpoint over persistent connections.
///
/// Errors: kInvalidArgument when no head can carry the request, see
/// CheckRequestHead(); kUnavailable when no byte of it can have reached the
/// server; kInDoubt when some may have, also when the status of the response is
/// not one of 200 to 599; kTimeout when the timeout passed after
/// sending began. The client never sends a request twice. An idle connection
/// that is found closed before anything was written is replaced by another.
///
/// A server may write an earlier response once more. So that such a copy cannot
/// name the request that is under way, no connection carries two requests of
/// one tag.
class HttpClient {
 public:
  HttpClient(boost::asio::any_io_executor executor,
             Endpoint endpoint,
             HttpClientOptions options = {});
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  class Impl;

  /// Sends a request and reads the whole response.
  boost::asio::awaitable<Result<HttpResponse>> Send(HttpRequest request,
                                                    Duration timeout);
  /// Sends a request and returns once the response's header is read. An abort
  /// before the request was sent is kUnavailable, a later one kInDoubt. A
  /// failed check of the connection is kUnavailable, too. An empty `tag` is
  /// equal to no other one.
  boost::asio::awaitable<Result<std::unique_ptr<HttpResponseStream>>> Open(
      HttpRequest request,
      Duration timeout,
      std::shared_ptr<HttpAbort> abort = nullptr,
      RequestTag tag = RequestTag(),
      PeerCheck check = PeerCheck::kNotNeeded);

 private:
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslip

#endif  // SOURCE_NET_HTTP_CLIENT_H_
