#ifndef SOURCE_NET_HTTP_SERVER_CONNECTION_H_
#define SOURCE_NET_HTTP_SERVER_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Base/memory_share.h"
#include "Net/beast.h"
#include "Net/growing_body.h"
#include "Net/http_exchange.h"
#include "Net/http_server_impl.h"

namespace cowslip {

/// \class HttpServer::Impl::Connection
/// \brief One connection and its current exchange.
class HttpServer::Impl::Connection final
    : public HttpExchange,
      public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<Impl> server, tcp::socket socket)
      : m_server(std::move(server)),
        m_stream(std::move(socket)),
        m_timer(m_stream.get_executor()),
        m_memory(m_server->m_options.memory,
                 m_server->m_options.memory_priority) {
    SetSurplus(!m_server->HasRoom() || !m_memory.Resize(kIdleBytes));
    m_server->m_connections.insert(this);
  }
  ~Connection() override {
    SetSurplus(false);
    m_server->HandleConnectionEnd(this);
  }

  asio::awaitable<void> Run();
  // Ends the wait for the next request. The connection's coroutine closes the
  // connection if no bytes have arrived.
  void EndIdleWait();
  // Extends the wait for the next request to at least this limit. A lower limit
  // changes nothing: the caller may not have heard of it.
  void RaiseIdleLimit(Duration limit);
  void RefuseIfUnfinished();
  // Answers a request that has not got the head of an answer, without waiting.
  // Returns whether there was one.
  bool AnswerIfOpen();
  void AddTo(HttpConnectionCounts& counts) const {
    ++counts.open;
    counts.reading += m_phase == Phase::kReading ? 1 : 0;
    counts.unread += m_phase == Phase::kIdle && HasUnreadBytes() ? 1 : 0;
  }

  const HttpRequest& request() const override { return m_request; }
  const std::string& client_address() const override { return m_address; }
  asio::awaitable<Result<void>> Respond(HttpResponse response) override;
  asio::awaitable<Result<void>> StartStream(int status,
                                            HttpHeaders headers) override;
  asio::awaitable<Result<void>> StartStreamWith(int status,
                                                HttpHeaders headers,
                                                std::string data) override;
  asio::awaitable<Result<void>> WriteChunk(std::string data) override;
  asio::awaitable<Result<void>> FinishStream() override;
  void OnClientDisconnected(std::function<void()> callback) override {
    m_on_disconnect = std::move(callback);
  }
  void Abort() override {
    boost::system::error_code ignored;
    m_stream.socket().close(ignored);
  }

 private:
  /// How long, and up to how many bytes, a connection is read after its close.
  struct DiscardLimits {
    Duration in_all;
    Duration between_bytes;
    size_t bytes;
  };
  // A closed idle connection is watched for a request that crosses the close.
  static const DiscardLimits kAfterIdle;
  // What a client sends after the last answer, until it has noticed.
  static const DiscardLimits kAfterLastAnswer;
  // The rest of a request that was answered before it was read in full.
  static const DiscardLimits kAfterEarlyAnswer;

  // What a connection takes while it waits for a request: its coroutine, its
  // timers and the buffer of its next read.
  static constexpr uint64_t kIdleBytes = 12 * 1024;
  // What a request takes besides its own bytes while it is handled: the
  // handler, a call to a backend server, and what its client sends ahead.
  static constexpr uint64_t kHandlingBytes = 64 * 1024;

  enum class Phase { kIdle, kReading, kHandling, kClosing };
  enum class State { kOpen, kResponding, kStreaming, kFinished, kBroken };

  // Waits for the first bytes of a request. Returns false when the connection
  // must be closed.
  asio::awaitable<bool> WaitForRequest();
  // Closes the connection, and counts a request that its client sent before it
  // had noticed.
  asio::awaitable<void> CloseIdle();
  // Sends the end of the connection, then reads and discards what the client
  // still sends: the close of a socket with unread bytes resets the connection,
  // and the reset may reach the client before the answer. Returns how much was
  // read.
  asio::awaitable<size_t> CloseAndDiscard(DiscardLimits limits);
  // As above for what has arrived already, on a socket that does not block.
  void DiscardArrivedBytes();
  // Limits the current phase. Only reads are cancelled: closing the connection
  // would lose a request that has just arrived.
  void StartTimer(Duration limit);
  void HandleTimer();
  void CancelReads() {
    boost::system::error_code ignored;
    m_stream.socket().cancel(ignored);
  }
  // Reads the next request. Returns false when the connection must be closed.
  asio::awaitable<bool> ReadRequest();
  // Reads the rest of a request whose head has been read. Returns no_memory
  // when there is no room for it.
  asio::awaitable<boost::system::error_code> ReadBody(
      http::request_parser<GrowingBody>& parser);
  void SetSurplus(bool surplus);
  // Whether there is room for a connection that had none when it was accepted.
  bool HasIdleMemory() {
    return m_memory.bytes() >= kIdleBytes || m_memory.Resize(kIdleBytes);
  }
  // Refuses a request that was read but that there is no room to handle.
  asio::awaitable<bool> RefuseWithoutMemory();
  // Frees the request that has been handled.
  void ReleaseRequest();
  // Replaces a response for which there is no room.
  void FitIntoMemory(HttpResponse& response);
  // Copies the request's head and sets the limit on its body.
  boost::system::error_code ApplyRequestHead(
      http::request_parser<GrowingBody>& parser);
  asio::awaitable<void> RejectRequest(boost::system::error_code error);
  // Refuses the request of a connection that is still beyond the limit.
  asio::awaitable<bool> RefuseSurplus();
  asio::awaitable<void> RunHandler();
  void WatchForDisconnect();
  // Makes this exchange the last one unless a further request has begun to
  // arrive, which is owed an answer too.
  void CloseAfterLastRequest() {
    m_keep_alive = m_keep_alive && (m_buffer.size() > 0 || HasUnreadBytes());
  }
  bool HasUnreadBytes() const {
    boost::system::error_code error;
    return m_stream.socket().available(error) > 0 && !error;
  }
  // Returns the result of a write, and marks the connection as broken when the
  // write failed.
  Result<void> CheckWrite(const boost::system::error_code& error);
  template <class Message>
  void SetFields(Message& message, const HttpHeaders& headers);
  // Serializes the head of a chunked response.
  std::string StreamHead(int status, const HttpHeaders& headers);
  template <class Buffers>
  asio::awaitable<Result<void>> WriteStream(const Buffers& buffers);

  const std::shared_ptr<Impl> m_server;
  beast::tcp_stream m_stream;
  asio::steady_timer m_timer;
  beast::flat_buffer m_buffer;
  HttpRequest m_request;
  std::string m_address;
  std::function<void()> m_on_disconnect;
  State m_state = State::kOpen;
  bool m_keep_alive = true;
  Phase m_phase = Phase::kIdle;
  MonotonicTime m_idle_since;
  Duration m_idle_limit = Duration::zero();
  bool m_read_timed_out = false;
  bool m_read_refused = false;
  MemoryShare m_memory;
  // There was no room for the connection when it was accepted.
  bool m_surplus = false;
  size_t m_body_limit = 0;
  uint64_t m_requests = 0;
};

}  // namespace cowslip

#endif  // SOURCE_NET_HTTP_SERVER_CONNECTION_H_
