#include "Net/http_server.h"

#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <limits>
#include <set>
#include <sstream>
#include <utility>

#include "Base/log.h"
#include "Net/beast.h"
#include "Net/http_exchange.h"
#include "Net/http_head.h"
#include "Net/http_refusals.h"

namespace cowslip {

namespace {

// How long a connection without a request may still send its first one once
// the server drains: its client has most likely just connected to send it.
constexpr Duration kFirstRequestTime = std::chrono::milliseconds(300);

// How long, and up to how many bytes, a connection is read after its close.
struct DiscardLimits {
  Duration in_all;
  Duration between_bytes;
  size_t bytes;
};

// A closed idle connection is watched for a request that crosses the close.
constexpr DiscardLimits kAfterIdle = {
    .in_all = std::chrono::milliseconds(300),
    .between_bytes = std::chrono::milliseconds(300),
    .bytes = 1};

// What a client sends after the last answer, until it has noticed.
constexpr DiscardLimits kAfterLastAnswer = {
    .in_all = std::chrono::milliseconds(300),
    .between_bytes = std::chrono::milliseconds(300),
    .bytes = 1 << 20};

// The rest of a request that was answered before it was read in full.
constexpr DiscardLimits kAfterEarlyAnswer = {
    .in_all = std::chrono::seconds(5),
    .between_bytes = std::chrono::seconds(1),
    .bytes = 16 << 20};

// A cancelled read may be about to start its next step, which the
// cancellation does not reach, so it is cancelled again after this interval.
constexpr Duration kCancelInterval = std::chrono::milliseconds(100);

// Connections beyond max_connections that are open at a time to refuse their
// requests. Further ones wait to be accepted.
constexpr size_t kSurplusConnections = 64;

// How long a connection beyond max_connections may take to begin its request.
constexpr Duration kSurplusIdleTime = std::chrono::seconds(1);

// How long to wait after accepting a connection has failed. It stays queued.
constexpr Duration kAcceptRetryInterval = std::chrono::milliseconds(50);

// The connections that leave a quarter of the file descriptors to backend
// servers, peers and the store.
size_t ConnectionsAllowedByDescriptors() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return std::numeric_limits<size_t>::max();
  }
  return limit.rlim_cur / 4 * 3;
}

}  // namespace

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
 public:
  class Connection;

  Impl(asio::io_context& context, HttpServerOptions options, Handler handler)
      : m_context(context),
        m_options(std::move(options)),
        m_handler(std::move(handler)),
        m_acceptor(context),
        m_connection_ended(context) {}

  Result<void> Start();
  void Drain();
  void Close();
  void Serve(tcp::socket socket);
  void HandleConnectionEnd(Connection* connection);
  bool HasRoom() const {
    return m_connections.size() < m_options.max_connections;
  }

  asio::io_context& m_context;
  HttpServerOptions m_options;
  const Handler m_handler;
  tcp::acceptor m_acceptor;
  std::set<Connection*> m_connections;
  size_t m_active = 0;
  size_t m_requests_after_drain = 0;
  HttpIdleCloses m_idle_closes;
  size_t m_requests_over_limit = 0;
  size_t m_failed_accepts = 0;
  // Responses carry `Connection: close`.
  bool m_draining = false;
  // Drain() was called.
  bool m_drained = false;

 private:
  asio::awaitable<void> Accept();
  bool MayAccept() const {
    return m_connections.size() <
           m_options.max_connections + kSurplusConnections;
  }
  // Waits until a connection or the time ends.
  asio::awaitable<void> WaitForConnectionEnd(Duration at_most);
  void AcceptQueuedConnections();

  // Cancelled when a connection ends.
  asio::steady_timer m_connection_ended;
};

// One connection and its current exchange.
class HttpServer::Impl::Connection final
    : public HttpExchange,
      public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<Impl> server, tcp::socket socket)
      : m_server(std::move(server)),
        m_stream(std::move(socket)),
        m_timer(m_stream.get_executor()),
        m_surplus(!m_server->HasRoom()) {
    m_server->m_connections.insert(this);
  }
  ~Connection() override { m_server->HandleConnectionEnd(this); }

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
  // Copies the request's head and sets the limit on its body.
  boost::system::error_code ApplyRequestHead(
      http::request_parser<http::string_body>& parser);
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
  // The connection was beyond max_connections when it was accepted.
  bool m_surplus;
  size_t m_body_limit = 0;
  uint64_t m_requests = 0;
};

asio::awaitable<void> HttpServer::Impl::Connection::Run() {
  const auto self = shared_from_this();
  boost::system::error_code error;
  m_stream.socket().set_option(tcp::no_delay(true), error);
  const tcp::endpoint remote = m_stream.socket().remote_endpoint(error);
  m_address = remote.address().to_string();
  while (m_stream.socket().is_open()) {
    const bool readable = co_await ReadRequest();
    if (!readable) {
      break;
    }
    const bool refused = m_surplus && co_await RefuseSurplus();
    if (!refused) {
      co_await RunHandler();
    }
    if (m_state == State::kFinished && !m_keep_alive) {
      co_await CloseAndDiscard(kAfterLastAnswer);
      break;
    }
  }
  m_stream.socket().shutdown(tcp::socket::shutdown_send, error);
}

void HttpServer::Impl::Connection::StartTimer(Duration limit) {
  m_timer.expires_after(limit);
  m_timer.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self != nullptr) {
          self->HandleTimer();
        }
      });
}

void HttpServer::Impl::Connection::HandleTimer() {
  const bool restarted = std::chrono::steady_clock::now() < m_timer.expiry();
  if (restarted || m_phase == Phase::kHandling) {
    return;
  }
  if (m_phase == Phase::kIdle && !m_server->m_drained) {
    const Duration left = m_idle_since + m_idle_limit - MonotonicClock::now();
    if (left > Duration::zero()) {
      StartTimer(left);
      return;
    }
  }
  m_read_timed_out = m_phase == Phase::kReading;
  CancelReads();
  StartTimer(kCancelInterval);
}

void HttpServer::Impl::Connection::RaiseIdleLimit(Duration limit) {
  if (!m_surplus) {
    m_idle_limit = std::max(m_idle_limit, limit);
  }
}

void HttpServer::Impl::Connection::EndIdleWait() {
  if (m_phase != Phase::kIdle) {
    return;
  }
  if (m_requests == 0) {
    StartTimer(kFirstRequestTime);
  } else {
    CancelReads();
  }
}

void HttpServer::Impl::Connection::RefuseIfUnfinished() {
  if (m_phase == Phase::kReading) {
    m_read_refused = true;
    CancelReads();
  }
}

bool HttpServer::Impl::Connection::AnswerIfOpen() {
  const bool has_request =
      (m_phase == Phase::kHandling && m_state == State::kOpen) ||
      m_phase == Phase::kReading ||
      (m_phase == Phase::kIdle && HasUnreadBytes());
  if (!has_request || m_state == State::kBroken) {
    return false;
  }
  const HttpResponse answer =
      m_phase == Phase::kHandling
          ? MakeProblem(504, "deadline-passed",
                        "The request may have run, and this gateway shuts down",
                        false)
          : ShutdownRefusal();
  http::response<http::string_body> message(
      static_cast<http::status>(answer.status), 11);
  m_keep_alive = false;
  SetFields(message, answer.headers);
  message.body() = answer.body;
  message.prepare_payload();
  std::ostringstream bytes;
  bytes << message;
  boost::system::error_code ignored;
  m_stream.socket().non_blocking(true, ignored);
  m_stream.socket().send(asio::buffer(bytes.str()), 0, ignored);
  m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  DiscardArrivedBytes();
  m_state = State::kBroken;
  return true;
}

void HttpServer::Impl::Connection::DiscardArrivedBytes() {
  std::array<char, 16 * 1024> bytes{};
  boost::system::error_code error;
  size_t discarded = 0;
  while (!error && discarded < kAfterLastAnswer.bytes) {
    discarded += m_stream.socket().receive(asio::buffer(bytes), 0, error);
  }
}

asio::awaitable<bool> HttpServer::Impl::Connection::WaitForRequest() {
  m_idle_since = MonotonicClock::now();
  m_idle_limit = m_server->m_options.idle_timeout;
  if (m_surplus) {
    m_idle_limit = std::min(m_idle_limit, kSurplusIdleTime);
  }
  StartTimer(m_server->m_drained ? std::min(m_idle_limit, kFirstRequestTime)
                                 : m_idle_limit);
  boost::system::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  const auto space = m_buffer.prepare(4096);
  size_t got = co_await m_stream.socket().async_read_some(space, token);
  if (error == asio::error::operation_aborted && HasUnreadBytes()) {
    m_phase = Phase::kReading;
    got = co_await m_stream.socket().async_read_some(space, token);
  }
  if (error == asio::error::operation_aborted) {
    co_await CloseIdle();
    co_return false;
  }
  m_buffer.commit(got);
  co_return !error;
}

asio::awaitable<void> HttpServer::Impl::Connection::CloseIdle() {
  HttpIdleCloses& closes = m_server->m_idle_closes;
  const bool drained = m_server->m_drained;
  ++(drained ? closes.drained : closes.timeouts);
  const size_t got = co_await CloseAndDiscard(kAfterIdle);
  (drained ? closes.crossed_drained : closes.crossed_timeouts) +=
      got > 0 ? 1 : 0;
}

asio::awaitable<size_t> HttpServer::Impl::Connection::CloseAndDiscard(
    DiscardLimits limits) {
  m_phase = Phase::kClosing;
  boost::system::error_code error;
  m_stream.socket().shutdown(tcp::socket::shutdown_send, error);
  const MonotonicTime end = MonotonicClock::now() + limits.in_all;
  size_t discarded = 0;
  while (!error && discarded < limits.bytes) {
    const Duration left = end - MonotonicClock::now();
    if (left <= Duration::zero()) {
      break;
    }
    StartTimer(std::min(left, limits.between_bytes));
    m_buffer.clear();
    discarded += co_await m_stream.socket().async_read_some(
        m_buffer.prepare(16 * 1024),
        asio::redirect_error(asio::use_awaitable, error));
  }
  co_return discarded;
}

asio::awaitable<bool> HttpServer::Impl::Connection::ReadRequest() {
  m_phase = Phase::kIdle;
  m_read_timed_out = false;
  boost::system::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  http::request_parser<http::string_body> parser;
  if (m_buffer.size() == 0) {
    const bool arrived = co_await WaitForRequest();
    if (!arrived) {
      co_return false;
    }
  }
  m_phase = Phase::kReading;
  StartTimer(m_server->m_options.read_timeout);
  tcp::socket& socket = m_stream.socket();
  parser.header_limit(
      static_cast<uint32_t>(m_server->m_options.max_header_bytes));
  // ApplyRequestHead sets the limit on the body, which depends on the head.
  parser.body_limit(std::numeric_limits<uint64_t>::max());
  co_await http::async_read_header(socket, m_buffer, parser, token);
  if (!error) {
    error = ApplyRequestHead(parser);
  }
  const bool expects_continue =
      FindHeader(m_request.headers, "Expect").value_or("") == "100-continue";
  if (!error && expects_continue) {
    const std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(continue_response), token);
  }
  if (!error) {
    co_await http::async_read(socket, m_buffer, parser, token);
  }
  m_phase = Phase::kHandling;
  if (error) {
    if (m_read_refused && error == asio::error::operation_aborted) {
      error = asio::error::shut_down;
    } else if (m_read_timed_out && error == asio::error::operation_aborted) {
      error = beast::error::timeout;
    }
    co_await RejectRequest(error);
    co_return false;
  }
  m_server->m_requests_after_drain += m_server->m_drained ? 1 : 0;
  m_request.body = std::move(parser.get().body());
  co_return true;
}

boost::system::error_code HttpServer::Impl::Connection::ApplyRequestHead(
    http::request_parser<http::string_body>& parser) {
  const auto& message = parser.get();
  m_keep_alive = message.keep_alive();
  m_request.method = std::string(message.method_string());
  m_request.target = std::string(message.target());
  m_request.headers = ToHeaders(message);
  const HttpServerOptions& options = m_server->m_options;
  m_body_limit = options.max_body_bytes;
  if (options.body_limit) {
    m_body_limit = std::min(m_body_limit, options.body_limit(m_request));
  }
  const auto length = parser.content_length();
  if (length.has_value() && *length > m_body_limit) {
    return http::make_error_code(http::error::body_limit);
  }
  parser.body_limit(m_body_limit);
  return {};
}

asio::awaitable<void> HttpServer::Impl::Connection::RejectRequest(
    boost::system::error_code error) {
  const bool connection_lost = error == http::error::end_of_stream ||
                               error == http::error::partial_message ||
                               error == asio::error::connection_reset ||
                               error == asio::error::operation_aborted;
  if (connection_lost) {
    co_return;
  }
  m_keep_alive = false;
  m_state = State::kOpen;
  HttpResponse error_response = RefusalOfUnreadRequest(
      error, m_body_limit, m_server->m_options.max_header_bytes);
  const Result<void> ignored = co_await Respond(std::move(error_response));
  static_cast<void>(ignored);
  co_await CloseAndDiscard(kAfterEarlyAnswer);
}

asio::awaitable<bool> HttpServer::Impl::Connection::RefuseSurplus() {
  m_surplus =
      m_server->m_connections.size() > m_server->m_options.max_connections;
  if (!m_surplus) {
    co_return false;
  }
  ++m_server->m_requests_over_limit;
  m_state = State::kOpen;
  CloseAfterLastRequest();
  HttpResponse refusal = SurplusRefusal();
  const Result<void> ignored = co_await Respond(std::move(refusal));
  static_cast<void>(ignored);
  if (m_state != State::kFinished) {
    Abort();
  }
  co_return true;
}

asio::awaitable<void> HttpServer::Impl::Connection::RunHandler() {
  m_state = State::kOpen;
  m_on_disconnect = nullptr;
  ++m_requests;
  ++m_server->m_active;
  m_stream.expires_never();
  WatchForDisconnect();
  try {
    co_await m_server->m_handler(*this);
  } catch (const std::exception& thrown) {
    LOG(ERROR) << "http: A request handler threw an exception: "
               << thrown.what() << ".";
    m_state = m_state == State::kOpen ? State::kOpen : State::kBroken;
  }
  --m_server->m_active;
  m_on_disconnect = nullptr;
  boost::system::error_code ignored;
  m_stream.socket().cancel(ignored);
  if (m_state == State::kOpen && m_stream.socket().is_open()) {
    CloseAfterLastRequest();
    HttpResponse response = MakeProblem(
        500, "internal-error",
        "The request may have run, and its response is lost", false);
    const Result<void> written = co_await Respond(std::move(response));
    static_cast<void>(written);
  }
  if (m_state != State::kFinished) {
    Abort();
  }
}

void HttpServer::Impl::Connection::WatchForDisconnect() {
  const uint64_t request = m_requests;
  m_stream.socket().async_wait(
      tcp::socket::wait_read,
      [weak = weak_from_this(), request](boost::system::error_code error) {
        const auto self = weak.lock();
        const bool stale = self == nullptr || error ||
                           self->m_requests != request ||
                           self->m_phase != Phase::kHandling;
        if (stale || !self->m_stream.socket().is_open() ||
            !PeerHasClosed(self->m_stream.socket())) {
          return;
        }
        const auto callback = std::exchange(self->m_on_disconnect, nullptr);
        if (callback) {
          callback();
        }
      });
}

template <class Message>
void HttpServer::Impl::Connection::SetFields(Message& message,
                                             const HttpHeaders& headers) {
  for (const HttpHeader& header : headers) {
    // Beast writes what it is given.
    const Result<void> checked = CheckHeader(header);
    if (checked.has_value()) {
      message.insert(header.name, header.value);
    } else {
      LOG(ERROR) << "http: A header was left out of a response. "
                 << checked.error().message;
    }
  }
  if (m_server->m_draining) {
    CloseAfterLastRequest();
  }
  message.keep_alive(m_keep_alive);
}

Result<void> HttpServer::Impl::Connection::CheckWrite(
    const boost::system::error_code& error) {
  if (!error) {
    return Ok();
  }
  m_state = State::kBroken;
  return Error(ErrorKind::kUnavailable,
               "The client went away: " + error.message() + ".");
}

asio::awaitable<Result<void>> HttpServer::Impl::Connection::Respond(
    HttpResponse response) {
  http::response<http::string_body> message(
      static_cast<http::status>(response.status), 11);
  SetFields(message, response.headers);
  message.body() = std::move(response.body);
  message.prepare_payload();
  boost::system::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  m_state = State::kResponding;
  m_stream.expires_after(m_server->m_options.write_timeout);
  http::response_serializer<http::string_body> serializer(message);
  co_await http::async_write(m_stream, serializer, token);
  m_state = State::kFinished;
  co_return CheckWrite(error);
}

std::string HttpServer::Impl::Connection::StreamHead(
    int status,
    const HttpHeaders& headers) {
  http::response<http::empty_body> message(static_cast<http::status>(status),
                                           11);
  SetFields(message, headers);
  message.chunked(true);
  std::ostringstream head;
  head << message.base();
  m_state = State::kStreaming;
  return head.str();
}

template <class Buffers>
asio::awaitable<Result<void>> HttpServer::Impl::Connection::WriteStream(
    const Buffers& buffers) {
  boost::system::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  m_stream.expires_after(m_server->m_options.write_timeout);
  co_await asio::async_write(m_stream, buffers, token);
  co_return CheckWrite(error);
}

asio::awaitable<Result<void>> HttpServer::Impl::Connection::StartStream(
    int status,
    HttpHeaders headers) {
  const std::string head = StreamHead(status, headers);
  const auto buffers = asio::buffer(head);
  co_return co_await WriteStream(buffers);
}

asio::awaitable<Result<void>> HttpServer::Impl::Connection::StartStreamWith(
    int status,
    HttpHeaders headers,
    std::string data) {
  const std::string head = StreamHead(status, headers);
  const auto chunk = http::make_chunk(asio::buffer(data));
  const auto buffers =
      beast::buffers_cat(asio::const_buffer(asio::buffer(head)), chunk);
  co_return co_await WriteStream(buffers);
}

asio::awaitable<Result<void>> HttpServer::Impl::Connection::WriteChunk(
    std::string data) {
  if (data.empty()) {
    co_return Ok();
  }
  const auto chunk = http::make_chunk(asio::buffer(data));
  co_return co_await WriteStream(chunk);
}

asio::awaitable<Result<void>> HttpServer::Impl::Connection::FinishStream() {
  const auto last = http::make_chunk_last();
  Result<void> written = co_await WriteStream(last);
  m_state = State::kFinished;
  co_return written;
}

Result<void> HttpServer::Impl::Start() {
  boost::system::error_code error;
  const auto address = asio::ip::make_address(m_options.listen.address, error);
  if (!error) {
    const tcp::endpoint endpoint(address, m_options.listen.port);
    m_acceptor.open(endpoint.protocol(), error);
    if (!error) {
      m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
      m_acceptor.bind(endpoint, error);
    }
    if (!error) {
      m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
  }
  if (error) {
    return Error(ErrorKind::kUnavailable,
                 "Cannot listen on " + m_options.listen.ToString() + ": " +
                     error.message() + ". Choose a free address and port.");
  }
  m_options.max_connections =
      std::min(m_options.max_connections, ConnectionsAllowedByDescriptors());
  asio::co_spawn(
      m_context, [self = shared_from_this()] { return self->Accept(); },
      asio::detached);
  return Ok();
}

asio::awaitable<void> HttpServer::Impl::Accept() {
  const auto self = shared_from_this();
  while (m_acceptor.is_open()) {
    if (m_drained) {
      AcceptQueuedConnections();
      co_await WaitForConnectionEnd(kAcceptRetryInterval);
      continue;
    }
    if (!MayAccept()) {
      co_await WaitForConnectionEnd(Duration::max());
      continue;
    }
    boost::system::error_code error;
    tcp::socket socket = co_await m_acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) {
      continue;
    }
    if (error) {
      ++m_failed_accepts;
      LOG_EVERY_N(WARNING, 100)
          << "http: Accepting a connection failed: " << error.message() << ".";
      co_await WaitForConnectionEnd(kAcceptRetryInterval);
      continue;
    }
    Serve(std::move(socket));
  }
}

asio::awaitable<void> HttpServer::Impl::WaitForConnectionEnd(Duration at_most) {
  if (at_most == Duration::max()) {
    m_connection_ended.expires_at(asio::steady_timer::time_point::max());
  } else {
    m_connection_ended.expires_after(at_most);
  }
  boost::system::error_code ignored;
  co_await m_connection_ended.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
}

void HttpServer::Impl::HandleConnectionEnd(Connection* connection) {
  m_connections.erase(connection);
  m_connection_ended.cancel();
}

void HttpServer::Impl::Serve(tcp::socket socket) {
  const auto connection =
      std::make_shared<Connection>(shared_from_this(), std::move(socket));
  asio::co_spawn(
      m_context, [connection] { return connection->Run(); }, asio::detached);
}

// The close of the listener would reset the connections that wait to be
// accepted, and their clients may have sent requests. It is closed when none
// waits. Accept() calls this again if accepting fails.
void HttpServer::Impl::AcceptQueuedConnections() {
  boost::system::error_code error;
  m_acceptor.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(m_context);
    m_acceptor.accept(socket, error);
    if (!error) {
      Serve(std::move(socket));
    }
  }
  if (error == asio::error::would_block) {
    m_acceptor.close(error);
    m_connection_ended.cancel();
  }
}

void HttpServer::Impl::Drain() {
  m_draining = true;
  if (m_drained) {
    return;
  }
  m_drained = true;
  AcceptQueuedConnections();
  boost::system::error_code ignored;
  m_acceptor.cancel(ignored);
  for (Connection* connection : m_connections) {
    connection->EndIdleWait();
  }
}

void HttpServer::Impl::Close() {
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
  m_connection_ended.cancel();
  const std::set<Connection*> connections = m_connections;
  for (Connection* connection : connections) {
    connection->Abort();
  }
}

HttpServer::HttpServer(asio::io_context& context,
                       HttpServerOptions options,
                       Handler handler)
    : m_impl(std::make_shared<Impl>(context,
                                    std::move(options),
                                    std::move(handler))) {}

HttpServer::~HttpServer() {
  m_impl->Close();
}

Result<void> HttpServer::Start() {
  return m_impl->Start();
}

void HttpServer::RefuseUnfinishedRequests() {
  for (Impl::Connection* connection : m_impl->m_connections) {
    connection->RefuseIfUnfinished();
  }
}

size_t HttpServer::AnswerOpenRequests() {
  size_t answers = 0;
  for (Impl::Connection* connection : m_impl->m_connections) {
    answers += connection->AnswerIfOpen() ? 1 : 0;
  }
  return answers;
}

void HttpServer::DisableKeepAlive() {
  m_impl->m_draining = true;
}

void HttpServer::SetLimits(const HttpServerLimits& limits) {
  HttpServerOptions& options = m_impl->m_options;
  options.max_header_bytes = limits.max_header_bytes;
  options.max_body_bytes = limits.max_body_bytes;
  options.read_timeout = limits.read_timeout;
  options.idle_timeout = limits.idle_timeout;
  for (Impl::Connection* connection : m_impl->m_connections) {
    connection->RaiseIdleLimit(limits.idle_timeout);
  }
}

uint16_t HttpServer::port() const {
  boost::system::error_code ignored;
  return m_impl->m_acceptor.local_endpoint(ignored).port();
}

void HttpServer::Drain() {
  m_impl->Drain();
}

size_t HttpServer::active_requests() const {
  return m_impl->m_active;
}

size_t HttpServer::connections() const {
  return m_impl->m_connections.size();
}

HttpConnectionCounts HttpServer::CountConnections() const {
  HttpConnectionCounts counts;
  for (const Impl::Connection* connection : m_impl->m_connections) {
    connection->AddTo(counts);
  }
  return counts;
}

HttpIdleCloses HttpServer::idle_closes() const {
  return m_impl->m_idle_closes;
}

size_t HttpServer::requests_over_limit() const {
  return m_impl->m_requests_over_limit;
}

size_t HttpServer::failed_accepts() const {
  return m_impl->m_failed_accepts;
}

size_t HttpServer::requests_after_drain() const {
  return m_impl->m_requests_after_drain;
}

}  // namespace cowslip
