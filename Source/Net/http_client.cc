#include "Net/http_client.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <functional>
#include <utility>
#include <vector>

#include "Base/memory_share.h"
#include "Net/beast.h"
#include "Net/connection_check.h"
#include "Net/growing_body.h"
#include "Net/http_head.h"
#include "Net/sleep_for.h"

namespace cowslip {

namespace {

constexpr size_t kReadBytes = 16 * 1024;

// Bounds what is buffered before the parser can consume it. The parser limits
// heads itself, to 8 KB, but neither chunk extensions nor trailers.
constexpr size_t kMaxBufferedBytes = 32 * 1024;

// The buffer of an idle connection. A larger one is freed.
constexpr size_t kMaxIdleBufferBytes = 4 * 1024;

// A connection that has carried this many tagged requests is not reused. Their
// hashes take 4 KB; with one connection to each of 4,900 backend servers, 20 MB
// of the 32 MB that a node has for control (docs/developers.md).
constexpr size_t kMaxTaggedRequests = 512;

// How many new connections are checked for one request: a server closes one
// now and then after a complete response.
constexpr int kMaxNewChecked = 2;

// How often the rest of a request is looked at that the server has not received
// when its response ends with the connection. Most servers receive it within a
// round trip.
constexpr Duration kDeliveryCheckInterval = std::chrono::milliseconds(5);

struct ClientConnection {
  explicit ClientConnection(const asio::any_io_executor& executor)
      : stream(executor), buffer(kMaxBufferedBytes) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  /// True when it was idle before and has carried an earlier response.
  bool reused = false;
  /// True when it has passed HttpClientOptions::check.
  bool checked = false;
  /// Set on release: the connection is not reused from this time on.
  MonotonicTime idle_until;
  /// Why the last request could not be sent whole. The operating system reports
  /// the reset of a connection once: after this error, a read sees the end of
  /// the connection instead.
  boost::system::error_code send_error;
  /// The hashes of the tags of all requests that it has carried. Tags whose
  /// hashes are equal count as equal, which costs a connection at most.
  std::vector<size_t> carried;

  bool HasCarried(const RequestTag& tag) const {
    return std::find(carried.begin(), carried.end(),
                     std::hash<RequestTag>()(tag)) != carried.end();
  }
};

using ConnectionPtr = std::unique_ptr<ClientConnection>;

Error CallError(const boost::system::error_code& error, const char* step) {
  const ErrorKind kind = error == beast::error::timeout ? ErrorKind::kTimeout
                                                        : ErrorKind::kInDoubt;
  return Error(kind,
               std::string("The call failed while ") + step + ": " +
                   error.message() +
                   ". Check the server, and retry only what is idempotent.");
}

// The server may close an idle connection at the moment its announced timeout
// passes, so the client stops reusing the connection this much earlier.
constexpr Duration kKeepAliveMargin = std::chrono::milliseconds(500);

// Parses the timeout of `Keep-Alive: timeout=N`; nullopt when there is none.
std::optional<Duration> KeepAliveTimeout(const HttpHeaders& headers) {
  const std::string value = FindHeader(headers, "Keep-Alive").value_or("");
  const std::string_view field = "timeout=";
  const size_t at = value.find(field);
  if (at == std::string::npos) {
    return std::nullopt;
  }
  int seconds = 0;
  const char* begin = value.data() + at + field.size();
  if (std::from_chars(begin, value.data() + value.size(), seconds).ec !=
      std::errc()) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

// Returns false when the connection is closed or holds unread bytes. Unread
// bytes on an idle connection are a delayed response to an earlier request or
// no HTTP response at all.
bool IsOpenAndIdle(tcp::socket& socket) {
  char byte = 0;
  boost::system::error_code error;
  socket.non_blocking(true, error);
  socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

// Whether the server's system has not acknowledged all bytes of the request.
bool HasUndelivered(tcp::socket& socket) {
  int bytes = 0;
  return ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

// A server that ends its response while the request is still on its way may be
// about to reset the connection, which would show that the response is not
// whole. Returns once the request is delivered, or with the reason why not.
asio::awaitable<boost::system::error_code> AwaitDelivery(tcp::socket& socket,
                                                         MonotonicTime end) {
  while (true) {
    const bool is_delivered = !HasUndelivered(socket);
    // After the bytes: a reset discards them.
    int failure = 0;
    socklen_t size = sizeof(failure);
    if (::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &failure,
                     &size) != 0) {
      failure = errno;
    }
    if (failure != 0) {
      co_return boost::system::error_code(failure,
                                          boost::system::system_category());
    }
    if (is_delivered) {
      co_return boost::system::error_code();
    }
    if (MonotonicClock::now() >= end) {
      co_return beast::error::timeout;
    }
    co_await SleepFor(kDeliveryCheckInterval);
  }
}

void SetDeadPeerTimeout(tcp::socket& socket, Duration timeout) {
  const int on = 1;
  const int seconds = std::max<int>(
      1, std::chrono::duration_cast<std::chrono::seconds>(timeout).count());
  const int millis = seconds * 1000;
  const int fd = socket.native_handle();
  ::setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &on, sizeof(on));
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &on, sizeof(on));
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &seconds, sizeof(seconds));
  ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &millis, sizeof(millis));
}

// Makes an HttpAbort close the connection while this object exists.
class AbortBinding {
 public:
  AbortBinding(std::shared_ptr<HttpAbort> abort, ClientConnection& connection)
      : m_abort(std::move(abort)) {
    if (m_abort != nullptr) {
      m_abort->SetCloseCallback([&connection] {
        boost::system::error_code ignored;
        connection.stream.socket().close(ignored);
      });
    }
  }
  ~AbortBinding() {
    if (m_abort != nullptr) {
      m_abort->SetCloseCallback(nullptr);
    }
  }
  AbortBinding(const AbortBinding&) = delete;
  AbortBinding& operator=(const AbortBinding&) = delete;

 private:
  const std::shared_ptr<HttpAbort> m_abort;
};

// What the status of a response says about it (RFC 9110, section 15).
enum class StatusMeaning {
  /// The final response follows.
  kInterim,
  kFinal,
  /// No status at all, or one that answers no request of this client: it never
  /// asks for another protocol (101).
  kInvalid,
};

StatusMeaning MeaningOf(unsigned status) {
  if (status >= 200 && status <= 599) {
    return StatusMeaning::kFinal;
  }
  const bool is_interim = status >= 100 && status <= 199 && status != 101;
  return is_interim ? StatusMeaning::kInterim : StatusMeaning::kInvalid;
}

Error StatusError(unsigned status) {
  return Error(ErrorKind::kInDoubt,
               "The server sent the status " + std::to_string(status) +
                   ", which no response to the request has. Check the server, "
                   "and retry only what is idempotent.");
}

Error MemoryError() {
  return Error(ErrorKind::kInDoubt,
               "There is no room in memory for the response. Give the process "
               "more memory, or check why the server sends so much.");
}

Error WithdrawnError() {
  return Error(ErrorKind::kUnavailable,
               "The request was withdrawn before anything was sent.");
}

Error GivenUpError() {
  return Error(ErrorKind::kUnavailable,
               "The call was given up before the request was sent.");
}

// Beast writes what it is given, so the head must have been checked.
http::request<http::string_body> ToBeast(HttpRequest request,
                                         const Endpoint& endpoint) {
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  if (!FindHeader(request.headers, "Host").has_value()) {
    message.set(http::field::host, endpoint.ToString());
  }
  for (const HttpHeader& header : request.headers) {
    message.insert(header.name, header.value);
  }
  message.body() = std::move(request.body);
  message.prepare_payload();
  return message;
}

}  // namespace

class HttpClient::Impl {
 public:
  Impl(asio::any_io_executor executor,
       Endpoint endpoint,
       HttpClientOptions options)
      : m_executor(std::move(executor)),
        m_endpoint(std::move(endpoint)),
        m_options(options) {}

  const HttpClientOptions& options() const { return m_options; }
  const Endpoint& endpoint() const { return m_endpoint; }

  // Returns a connection that has not carried a request of this tag.
  asio::awaitable<Result<ConnectionPtr>> Acquire(RequestTag tag);
  // As above, and the connection has passed the check. Errors: kUnavailable.
  asio::awaitable<Result<ConnectionPtr>> AcquireChecked(
      RequestTag tag,
      std::shared_ptr<HttpAbort> abort);
  // Returns the connection to the idle pool. It is closed instead when the pool
  // is full, when it has carried too many requests or when it holds bytes
  // beyond the response, which belong to no request.
  void Release(ConnectionPtr connection, const HttpHeaders& headers) {
    if (m_idle.size() >= m_options.max_idle_connections ||
        connection->carried.size() >= kMaxTaggedRequests ||
        connection->buffer.size() > 0) {
      return;
    }
    Duration idle = m_options.max_idle_time;
    const std::optional<Duration> server_timeout = KeepAliveTimeout(headers);
    if (server_timeout.has_value()) {
      idle = std::min(idle, *server_timeout - kKeepAliveMargin);
    }
    if (connection->buffer.capacity() > kMaxIdleBufferBytes) {
      connection->buffer.shrink_to_fit();
    }
    connection->reused = true;
    connection->idle_until = MonotonicClock::now() + idle;
    m_idle.push_back(std::move(connection));
  }

 private:
  asio::awaitable<Result<ConnectionPtr>> Connect();
  // Returns null when there is no idle connection.
  ConnectionPtr TakeIdle(const RequestTag& tag);
  // Returns false when the check has passed and the server closes the
  // connection.
  asio::awaitable<Result<bool>> RunCheck(ClientConnection& connection,
                                         Duration timeout,
                                         std::shared_ptr<HttpAbort> abort);

  const asio::any_io_executor m_executor;
  const Endpoint m_endpoint;
  const HttpClientOptions m_options;
  std::vector<ConnectionPtr> m_idle;
};

ConnectionPtr HttpClient::Impl::TakeIdle(const RequestTag& tag) {
  for (size_t i = m_idle.size(); i > 0; --i) {
    const auto at = m_idle.begin() + static_cast<std::ptrdiff_t>(i - 1);
    if (!tag.empty() && (*at)->HasCarried(tag)) {
      continue;
    }
    ConnectionPtr connection = std::move(*at);
    m_idle.erase(at);
    if (MonotonicClock::now() < connection->idle_until &&
        IsOpenAndIdle(connection->stream.socket())) {
      return connection;
    }
  }
  return nullptr;
}

asio::awaitable<Result<ConnectionPtr>> HttpClient::Impl::Acquire(
    RequestTag tag) {
  if (ConnectionPtr connection = TakeIdle(tag)) {
    co_return connection;
  }
  co_return co_await Connect();
}

asio::awaitable<Result<ConnectionPtr>> HttpClient::Impl::AcquireChecked(
    RequestTag tag,
    std::shared_ptr<HttpAbort> abort) {
  std::stable_partition(
      m_idle.begin(), m_idle.end(),
      [](const ConnectionPtr& idle) { return !idle->checked; });
  std::optional<MonotonicTime> deadline;
  int new_connections = 0;
  while (true) {
    RequestTag wanted = tag;
    Result<ConnectionPtr> acquired = co_await Acquire(std::move(wanted));
    if (!acquired.has_value()) {
      co_return acquired.error();
    }
    ConnectionPtr connection = std::move(acquired.value());
    if (connection->checked) {
      co_return connection;
    }
    if (abort != nullptr && abort->aborted()) {
      co_return GivenUpError();
    }
    if (abort != nullptr && !abort->MaySend()) {
      co_return WithdrawnError();
    }
    const MonotonicTime now = MonotonicClock::now();
    deadline = deadline.value_or(now + m_options.check->timeout);
    const Duration timeout = *deadline - now;
    Result<bool> passed = co_await RunCheck(*connection, timeout, abort);
    if (abort != nullptr && abort->aborted()) {
      co_return GivenUpError();
    }
    if (passed.has_value() && passed.value()) {
      connection->checked = true;
      co_return connection;
    }
    const bool is_new = !connection->reused;
    new_connections += is_new ? 1 : 0;
    const bool may_repeat =
        passed.has_value()
            ? new_connections < kMaxNewChecked
            : !is_new && passed.error().kind() != ErrorKind::kConflict &&
                  passed.error().kind() != ErrorKind::kTimeout;
    if (!may_repeat) {
      if (abort != nullptr) {
        abort->ReportFailedCheck();
      }
      co_return Error(
          ErrorKind::kUnavailable,
          "The request was not sent, because the check of the "
          "connection failed: " +
              (passed.has_value() ? std::string("The server closes it.")
                                  : passed.error().message));
    }
  }
}

asio::awaitable<Result<bool>> HttpClient::Impl::RunCheck(
    ClientConnection& connection,
    Duration timeout,
    std::shared_ptr<HttpAbort> abort) {
  const ConnectionCheck& check = *m_options.check;
  const AbortBinding binding(abort, connection);
  boost::system::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  const Result<void> checked = CheckRequestHead(check.request);
  if (!checked.has_value()) {
    co_return checked.error();
  }
  const auto message = ToBeast(check.request, m_endpoint);
  connection.stream.expires_after(timeout);
  http::request_serializer<http::string_body> serializer(message);
  co_await http::async_write(connection.stream, serializer, token);
  if (error) {
    co_return CallError(error, "sending the check");
  }
  MemoryShare memory(m_options.memory, m_options.memory_priority);
  std::unique_ptr<http::response_parser<GrowingBody>> parser;
  do {
    parser = std::make_unique<http::response_parser<GrowingBody>>();
    parser->body_limit(check.max_response_bytes);
    parser->eager(true);
    while (!error && !parser->is_done()) {
      co_await http::async_read_some(connection.stream, connection.buffer,
                                     *parser, token);
      if (!memory.Resize(parser->get().body().capacity())) {
        co_return MemoryError();
      }
    }
  } while (!error &&
           MeaningOf(parser->get().result_int()) == StatusMeaning::kInterim);
  if (error) {
    co_return CallError(error, "waiting for the response to the check");
  }
  if (MeaningOf(parser->get().result_int()) == StatusMeaning::kInvalid) {
    co_return StatusError(parser->get().result_int());
  }
  connection.stream.expires_never();
  HttpResponse response;
  response.status = parser->get().result_int();
  response.headers = ToHeaders(parser->get());
  response.body = std::move(parser->get().body());
  const Result<void> judged = check.judge(response);
  if (!judged.has_value()) {
    co_return judged.error();
  }
  if (connection.buffer.size() > 0) {
    co_return Error(ErrorKind::kMalformedMessage,
                    "Bytes follow the response to the check. Use another "
                    "connection.");
  }
  co_return parser->keep_alive();
}

asio::awaitable<Result<ConnectionPtr>> HttpClient::Impl::Connect() {
  boost::system::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  const auto address = asio::ip::make_address(m_endpoint.address, error);
  auto connection = std::make_unique<ClientConnection>(m_executor);
  if (!error) {
    connection->stream.expires_after(m_options.connect_timeout);
    const tcp::endpoint target(address, m_endpoint.port);
    boost::system::error_code ignored;
    connection->stream.socket().open(target.protocol(), ignored);
    connection->stream.socket().set_option(
        asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
    co_await connection->stream.async_connect(target, token);
  }
  if (error) {
    co_return Error(ErrorKind::kUnavailable,
                    "Cannot connect to " + m_endpoint.ToString() + ": " +
                        error.message() +
                        ". Check that the server runs there.");
  }
  connection->stream.socket().set_option(tcp::no_delay(true), error);
  if (m_options.dead_peer_timeout > Duration::zero()) {
    SetDeadPeerTimeout(connection->stream.socket(),
                       m_options.dead_peer_timeout);
  }
  co_return connection;
}

namespace {

class ResponseStream final : public HttpResponseStream {
 public:
  ResponseStream(
      std::shared_ptr<HttpClient::Impl> client,
      ConnectionPtr connection,
      std::unique_ptr<http::response_parser<http::buffer_body>> parser)
      : m_client(std::move(client)),
        m_connection(std::move(connection)),
        m_parser(std::move(parser)),
        m_reused(m_connection->reused),
        m_ends_with_connection(m_parser->need_eof()),
        m_headers(ToHeaders(m_parser->get())) {}

  bool on_reused_connection() const override { return m_reused; }
  bool ends_with_connection() const override { return m_ends_with_connection; }

  int status() const override { return m_parser->get().result_int(); }
  const HttpHeaders& headers() const override { return m_headers; }

  asio::awaitable<Result<std::optional<std::string>>> ReadSome(
      Duration timeout) override {
    while (m_connection != nullptr && !m_parser->is_done()) {
      boost::system::error_code error;
      auto token = asio::redirect_error(asio::use_awaitable, error);
      auto& body = m_parser->get().body();
      body.data = m_read_buffer.data();
      body.size = m_read_buffer.size();
      body.more = true;
      const MonotonicTime end = MonotonicClock::now() + timeout;
      m_connection->stream.expires_after(timeout);
      co_await http::async_read_some(m_connection->stream, m_connection->buffer,
                                     *m_parser, token);
      if (error == http::error::need_buffer) {
        error = {};
      }
      const bool has_ended = !error && m_parser->is_done();
      if (has_ended && m_ends_with_connection) {
        error = m_connection->send_error;
        if (!error) {
          error = co_await AwaitDelivery(m_connection->stream.socket(), end);
        }
      }
      if (error) {
        m_connection.reset();
        co_return CallError(error, "reading the body");
      }
      const size_t got = m_read_buffer.size() - body.size;
      if (got > 0) {
        co_return std::optional<std::string>(
            std::string(m_read_buffer.data(), got));
      }
    }
    Finish();
    co_return std::optional<std::string>();
  }

  void Abort() override {
    if (m_connection != nullptr) {
      boost::system::error_code ignored;
      m_connection->stream.socket().close(ignored);
    }
  }

 private:
  void Finish() {
    if (m_connection == nullptr) {
      return;
    }
    m_connection->stream.expires_never();
    if (m_parser->keep_alive() && !m_connection->send_error) {
      m_client->Release(std::move(m_connection), m_headers);
    }
    m_connection.reset();
  }

  const std::shared_ptr<HttpClient::Impl> m_client;
  ConnectionPtr m_connection;
  const std::unique_ptr<http::response_parser<http::buffer_body>> m_parser;
  const bool m_reused;
  const bool m_ends_with_connection;
  const HttpHeaders m_headers;
  std::array<char, kReadBytes> m_read_buffer;
};

}  // namespace

HttpClient::HttpClient(asio::any_io_executor executor,
                       Endpoint endpoint,
                       HttpClientOptions options)
    : m_impl(std::make_shared<Impl>(std::move(executor),
                                    std::move(endpoint),
                                    options)) {}

HttpClient::~HttpClient() = default;

asio::awaitable<Result<std::unique_ptr<HttpResponseStream>>> HttpClient::Open(
    HttpRequest request,
    Duration timeout,
    std::shared_ptr<HttpAbort> abort,
    RequestTag tag,
    PeerCheck check) {
  const auto impl = m_impl;
  const Result<void> head = CheckRequestHead(request);
  if (!head.has_value()) {
    co_return head.error();
  }
  const bool is_checked =
      check == PeerCheck::kNeeded && impl->options().check != nullptr;
  const MonotonicTime began = MonotonicClock::now();
  RequestTag wanted = tag;
  ConnectionPtr connection;
  if (is_checked) {
    Result<ConnectionPtr> acquired =
        co_await impl->AcquireChecked(std::move(wanted), abort);
    if (!acquired.has_value()) {
      co_return acquired.error();
    }
    connection = std::move(acquired.value());
    timeout -= MonotonicClock::now() - began;
  } else {
    Result<ConnectionPtr> acquired = co_await impl->Acquire(std::move(wanted));
    if (!acquired.has_value()) {
      co_return acquired.error();
    }
    connection = std::move(acquired.value());
  }
  if (abort != nullptr && abort->aborted()) {
    co_return GivenUpError();
  }
  if (abort != nullptr && !abort->MaySend()) {
    co_return WithdrawnError();
  }
  if (!tag.empty()) {
    connection->carried.push_back(std::hash<RequestTag>()(tag));
  }
  const AbortBinding binding(abort, *connection);
  if (abort != nullptr) {
    abort->ReportSend();
  }
  boost::system::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  const auto message = ToBeast(std::move(request), impl->endpoint());
  connection->stream.expires_after(timeout);
  http::request_serializer<http::string_body> serializer(message);
  co_await http::async_write(connection->stream, serializer, token);
  // A server may respond and close before it has read a long body, so the
  // response is read even when sending failed. A body that ends with the
  // connection is then an error, see ReadSome().
  const boost::system::error_code send_error = error;
  connection->send_error = send_error;
  if (send_error == beast::error::timeout ||
      send_error == asio::error::operation_aborted) {
    co_return CallError(send_error, "sending");
  }
  error = {};
  std::unique_ptr<http::response_parser<http::buffer_body>> parser;
  do {
    // Interim responses are skipped; the final response follows them.
    parser = std::make_unique<http::response_parser<http::buffer_body>>();
    parser->body_limit(impl->options().max_response_bytes);
    co_await http::async_read_header(connection->stream, connection->buffer,
                                     *parser, token);
  } while (!error &&
           MeaningOf(parser->get().result_int()) == StatusMeaning::kInterim);
  if (error) {
    co_return CallError(send_error ? send_error : error,
                        "waiting for the response");
  }
  if (MeaningOf(parser->get().result_int()) == StatusMeaning::kInvalid) {
    co_return StatusError(parser->get().result_int());
  }
  std::unique_ptr<HttpResponseStream> stream = std::make_unique<ResponseStream>(
      impl, std::move(connection), std::move(parser));
  co_return stream;
}

asio::awaitable<Result<HttpResponse>> HttpClient::Send(HttpRequest request,
                                                       Duration timeout) {
  const auto impl = m_impl;
  const MonotonicTime deadline = MonotonicClock::now() + timeout;
  Result<std::unique_ptr<HttpResponseStream>> opened =
      co_await Open(std::move(request), timeout);
  if (!opened.has_value()) {
    co_return opened.error();
  }
  const std::unique_ptr<HttpResponseStream> stream = std::move(opened.value());
  HttpResponse response;
  response.status = stream->status();
  response.headers = stream->headers();
  MemoryShare memory(impl->options().memory, impl->options().memory_priority);
  while (true) {
    const Duration remaining = deadline - MonotonicClock::now();
    Result<std::optional<std::string>> chunk =
        co_await stream->ReadSome(remaining);
    if (!chunk.has_value()) {
      co_return chunk.error();
    }
    if (!chunk.value().has_value()) {
      co_return response;
    }
    response.body += *chunk.value();
    if (!memory.Resize(response.body.capacity())) {
      co_return MemoryError();
    }
  }
}

}  // namespace cowslip
