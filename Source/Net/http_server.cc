#include "Net/http_server.h"

#include <sys/resource.h>

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "Base/log.h"
#include "Net/http_server_connection.h"
#include "Net/http_server_impl.h"

namespace cowslip {

namespace {

// Connections beyond max_connections, or beyond the memory, that are open at a
// time to refuse their requests. Further ones wait to be accepted.
constexpr size_t kSurplusConnections = 64;

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

bool HttpServer::Impl::MayAccept() const {
  return m_connections.size() <
             m_options.max_connections + kSurplusConnections &&
         m_surplus_connections < kSurplusConnections;
}

Result<void> HttpServer::Impl::Start() {
  boost::system::error_code error;
  const auto address = asio::ip::make_address(m_options.listen.address, error);
  if (!error) {
    const tcp::endpoint endpoint(address, m_options.listen.port);
    m_acceptor.open(endpoint.protocol(), error);
    if (!error) {
      m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
      boost::system::error_code ignored;
      m_acceptor.set_option(
          asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
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

size_t HttpServer::requests_without_memory() const {
  return m_impl->m_requests_without_memory;
}

size_t HttpServer::failed_accepts() const {
  return m_impl->m_failed_accepts;
}

size_t HttpServer::requests_after_drain() const {
  return m_impl->m_requests_after_drain;
}

}  // namespace cowslip
