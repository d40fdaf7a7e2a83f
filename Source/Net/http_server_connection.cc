#include "Net/http_server_connection.h"

#include <algorithm>
#include <array>
#include <limits>
#include <sstream>
#include <utility>

#include "Base/log.h"
#include "Net/http_head.h"
#include "Net/http_refusals.h"

namespace cowslip {

namespace {

// How long a connection without a request may still send its first one once
// the server drains: its client has most likely just connected to send it.
constexpr Duration kFirstRequestTime = std::chrono::milliseconds(300);

// A cancelled read may be about to start its next step, which the
// cancellation does not reach, so it is cancelled again after this interval.
constexpr Duration kCancelInterval = std::chrono::milliseconds(100);

// How long a connection beyond max_connections may take to begin its request.
constexpr Duration kSurplusIdleTime = std::chrono::seconds(1);

}  // namespace

const HttpServer::Impl::Connection::DiscardLimits
    HttpServer::Impl::Connection::kAfterIdle = {
        .in_all = std::chrono::milliseconds(300),
        .between_bytes = std::chrono::milliseconds(300),
        .bytes = 1};

const HttpServer::Impl::Connection::DiscardLimits
    HttpServer::Impl::Connection::kAfterLastAnswer = {
        .in_all = std::chrono::milliseconds(300),
        .between_bytes = std::chrono::milliseconds(300),
        .bytes = 1 << 20};

const HttpServer::Impl::Connection::DiscardLimits
    HttpServer::Impl::Connection::kAfterEarlyAnswer = {
        .in_all = std::chrono::seconds(5),
        .between_bytes = std::chrono::seconds(1),
        .bytes = 16 << 20};

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
    bool refused = m_surplus && co_await RefuseSurplus();
    refused = refused || co_await RefuseWithoutMemory();
    if (!refused) {
      co_await RunHandler();
    }
    ReleaseRequest();
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
  m_buffer.clear();
  m_buffer.shrink_to_fit();
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
    discarded += co_await m_stream.socket().async_read_some(
        asio::buffer(m_server->m_discarded),
        asio::redirect_error(asio::use_awaitable, error));
  }
  co_return discarded;
}

asio::awaitable<bool> HttpServer::Impl::Connection::ReadRequest() {
  m_phase = Phase::kIdle;
  m_read_timed_out = false;
  boost::system::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  http::request_parser<GrowingBody> parser;
  if (m_buffer.size() == 0) {
    const bool arrived = co_await WaitForRequest();
    if (!arrived) {
      co_return false;
    }
  }
  m_phase = Phase::kReading;
  StartTimer(m_server->m_options.read_timeout);
  tcp::socket& socket = m_stream.socket();
  m_buffer.max_size(m_server->m_options.max_header_bytes + kReceiveBufferBytes);
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
    error = co_await ReadBody(parser);
  }
  m_phase = Phase::kHandling;
  if (error) {
    // The assignment of an empty string would keep the memory.
    std::string().swap(parser.get().body());
    m_memory.Shrink(kIdleBytes);
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

asio::awaitable<boost::system::error_code>
HttpServer::Impl::Connection::ReadBody(
    http::request_parser<GrowingBody>& parser) {
  boost::system::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  parser.eager(true);
  while (!error && !parser.is_done()) {
    co_await http::async_read_some(m_stream.socket(), m_buffer, parser, token);
    const uint64_t held = parser.get().body().capacity() + m_buffer.capacity();
    if (!error && !m_memory.Resize(kIdleBytes + held)) {
      error = asio::error::no_memory;
    }
  }
  co_return error;
}

boost::system::error_code HttpServer::Impl::Connection::ApplyRequestHead(
    http::request_parser<GrowingBody>& parser) {
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
  if (error == asio::error::no_memory) {
    ++m_server->m_requests_without_memory;
  }
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
  SetSurplus(m_server->m_connections.size() >
                 m_server->m_options.max_connections ||
             !HasIdleMemory());
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

void HttpServer::Impl::Connection::SetSurplus(bool surplus) {
  if (surplus != m_surplus) {
    m_surplus = surplus;
    m_server->m_surplus_connections += surplus ? 1 : -1;
  }
}

asio::awaitable<bool> HttpServer::Impl::Connection::RefuseWithoutMemory() {
  // A handler copies the request to send it on.
  const uint64_t needed =
      m_memory.bytes() + m_request.body.size() + kHandlingBytes;
  if (m_memory.Resize(needed)) {
    co_return false;
  }
  ++m_server->m_requests_without_memory;
  m_state = State::kOpen;
  CloseAfterLastRequest();
  std::string().swap(m_request.body);
  HttpResponse refusal = MemoryRefusal();
  const Result<void> ignored = co_await Respond(std::move(refusal));
  static_cast<void>(ignored);
  if (m_state != State::kFinished) {
    Abort();
  }
  co_return true;
}

void HttpServer::Impl::Connection::ReleaseRequest() {
  std::string().swap(m_request.body);
  m_memory.Shrink(kIdleBytes + m_buffer.capacity());
}

void HttpServer::Impl::Connection::FitIntoMemory(HttpResponse& response) {
  const uint64_t size = response.body.size();
  if (size <= kHandlingBytes || m_memory.Resize(m_memory.bytes() + size)) {
    return;
  }
  ++m_server->m_requests_without_memory;
  response = MakeProblem(500, "out-of-memory",
                         "The request may have run, and there is no room for "
                         "its response",
                         false);
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
  FitIntoMemory(response);
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

}  // namespace cowslip
