#include "crashing_backends.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Utilities/StandIns/ModelServer/model_server.h"
#include "raw_request.h"

namespace cowslip {

namespace asio = boost::asio;
using asio::awaitable;
using asio::ip::tcp;

CrashingBackends::CrashingBackends(asio::io_context& context,
                                   FakeDocumentStore& store,
                                   CrashingBackendsOptions options)
    : m_context(context),
      m_store(store),
      m_options(std::move(options)),
      m_backends(m_options.count) {
  for (size_t i = 0; i < m_backends.size(); ++i) {
    Start(i);
  }
}

Duration CrashingBackends::IdleTime(const std::string& attempt) const {
  const auto found = m_runs.find(attempt);
  const AttemptRuns runs =
      found == m_runs.end() ? AttemptRuns() : found->second;
  return runs.running > 0 ? Duration::zero()
                          : MonotonicClock::now() - runs.last_end;
}

size_t CrashingBackends::running() const {
  return static_cast<size_t>(
      std::count_if(m_backends.begin(), m_backends.end(),
                    [](const Backend& backend) { return backend.running; }));
}

std::string CrashingBackends::IdOf(size_t index) const {
  return "raw-" + std::to_string(index) + "-" +
         std::to_string(m_backends[index].starts);
}

void CrashingBackends::Start(size_t index) {
  Backend& backend = m_backends[index];
  const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), backend.port);
  backend.acceptor = std::make_unique<tcp::acceptor>(m_context);
  backend.acceptor->open(endpoint.protocol());
  backend.acceptor->set_option(tcp::acceptor::reuse_address(true));
  backend.acceptor->bind(endpoint);
  backend.acceptor->listen();
  backend.port = backend.acceptor->local_endpoint().port();
  backend.running = true;
  ++backend.starts;
  m_store.Put("servers", IdOf(index),
              {{"service", "s"},
               {"address", "127.0.0.1:" + std::to_string(backend.port)},
               {"zone", "z"},
               {"slots", 8},
               {"state", "ready"},
               {"version", "v1"},
               {"born", StartOf(index)}});
  asio::co_spawn(
      m_context, [this, index] { return Accept(index); }, asio::detached);
}

awaitable<void> CrashingBackends::Accept(size_t index) {
  const uint64_t starts = m_backends[index].starts;
  while (m_backends[index].running && m_backends[index].starts == starts) {
    boost::system::error_code error;
    tcp::socket socket = co_await m_backends[index].acceptor->async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return;
    }
    const auto shared = std::make_shared<tcp::socket>(std::move(socket));
    m_backends[index].connections.insert(shared);
    asio::co_spawn(m_context, Serve(index, shared), asio::detached);
  }
}

awaitable<void> CrashingBackends::Serve(size_t index, Socket socket) {
  std::string received;
  while (true) {
    const std::optional<HttpRequest> request =
        co_await ReadRawRequest(*socket, received);
    if (!request.has_value()) {
      break;
    }
    if (request->target == "/report") {
      const bool reported = co_await Report(index, socket);
      if (!reported) {
        break;
      }
      continue;
    }
    HttpRequest answered = *request;
    AttemptRuns& runs =
        m_runs[FindHeader(request->headers, "Attempt-Id").value_or("")];
    ++runs.running;
    const bool kept = co_await Answer(index, socket, std::move(answered));
    --runs.running;
    runs.last_end = MonotonicClock::now();
    if (!kept) {
      break;
    }
  }
  boost::system::error_code ignored;
  socket->close(ignored);
  m_backends[index].connections.erase(socket);
}

awaitable<bool> CrashingBackends::Report(size_t index, Socket socket) {
  const std::string body = R"({"born":)" + std::to_string(StartOf(index)) + "}";
  std::string bytes =
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
      "Content-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  co_return co_await WriteRaw(*socket, std::move(bytes));
}

uint64_t CrashingBackends::StartOf(size_t index) const {
  return 1000 + m_backends[index].starts;
}

awaitable<bool> CrashingBackends::Answer(size_t index,
                                         Socket socket,
                                         HttpRequest request) {
  const std::string attempt =
      FindHeader(request.headers, "Attempt-Id").value_or("");
  const uint64_t last =
      std::stoull(FindHeader(request.headers, "Last-Event-Id").value_or("0"));
  const auto frame = [this](const std::string& data) {
    return m_options.chunked ? RawChunk(data) : data;
  };
  std::string head = RawStreamHead(
      attempt, m_options.chunked ? "Transfer-Encoding: chunked\r\n" : "");
  co_await Sleep(m_options.event_interval);
  if (HasCrashingPart(request)) {
    ++m_crashing_requests;
    const bool begun = co_await WriteRaw(*socket, head + frame("id: "));
    co_await Sleep(m_options.event_interval);
    if (begun && socket->is_open()) {
      Crash(index);
    }
    co_return false;
  }
  bool open = co_await WriteRaw(*socket, std::move(head));
  for (uint64_t event = last + 1; open && event <= m_options.events; ++event) {
    std::string bytes = frame(ModelServer::Body(attempt, event, event));
    open = co_await WriteRaw(*socket, std::move(bytes));
    co_await Sleep(m_options.event_interval);
  }
  if (!open || !m_options.chunked) {
    co_return false;
  }
  std::string end = "0\r\n\r\n";
  co_return co_await WriteRaw(*socket, std::move(end));
}

bool CrashingBackends::HasCrashingPart(const HttpRequest& request) const {
  const std::string parts =
      FindHeader(request.headers, "Prompt-Prefix").value_or("");
  return parts.find(m_options.crashing_part + ":") != std::string::npos;
}

void CrashingBackends::Crash(size_t index) {
  Backend& backend = m_backends[index];
  if (!backend.running) {
    return;
  }
  ++m_crashes;
  backend.running = false;
  boost::system::error_code ignored;
  backend.acceptor->close(ignored);
  for (const Socket& socket : backend.connections) {
    socket->close(ignored);
  }
  asio::co_spawn(
      m_context, [this, index] { return StartAgain(index); }, asio::detached);
}

awaitable<void> CrashingBackends::StartAgain(size_t index) {
  co_await Sleep(m_options.restart_time);
  m_store.Erase("servers", IdOf(index));
  Start(index);
}

awaitable<void> CrashingBackends::Sleep(Duration pause) {
  asio::steady_timer timer(m_context, pause);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace cowslip
