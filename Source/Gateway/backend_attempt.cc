#include "Gateway/backend_attempt.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Gateway/dispatcher.h"
#include "Net/sse_reader.h"

namespace cowslip {

namespace asio = boost::asio;
using asio::awaitable;

BackendAttempt::BackendAttempt(asio::io_context& context,
                               std::unique_ptr<AttemptLease> lease,
                               AttemptId attempt,
                               PeerCheck check,
                               std::shared_ptr<MemoryBudget> memory)
    : m_context(context),
      m_lease(std::move(lease)),
      m_attempt_id(std::move(attempt)),
      m_check(check),
      m_start(MonotonicClock::now()),
      m_abort(std::make_shared<HttpAbort>()),
      m_memory(std::move(memory)),
      m_ready_timer(context) {}

BackendAttempt::~BackendAttempt() = default;

awaitable<Result<void>> BackendAttempt::Open(HttpRequest request,
                                             Duration timeout) {
  // The slot may be released while the call is under way.
  const auto client = m_lease->client();
  m_abort->SetSendCondition(
      [this] { return m_lease == nullptr || m_lease->BeginSend(); });
  RequestTag tag(m_attempt_id.value());
  Result<std::unique_ptr<HttpResponseStream>> opened = co_await client->Open(
      std::move(request), timeout, m_abort, std::move(tag), m_check);
  if (!opened.has_value()) {
    if (m_abort->check_failed() && m_lease != nullptr) {
      m_lease->MarkUnverified();
    }
    co_return opened.error();
  }
  m_response = std::move(opened.value());
  co_return Ok();
}

void BackendAttempt::OpenAhead(HttpRequest request,
                               Duration timeout,
                               AheadCallbacks callbacks) {
  m_is_opened_ahead = true;
  m_callbacks = std::move(callbacks);
  m_abort->SetSendCallback([this] {
    if (m_callbacks.on_sent) {
      m_callbacks.on_sent();
    }
  });
  asio::co_spawn(m_context,
                 RunAhead(shared_from_this(), std::move(request), timeout),
                 asio::detached);
}

awaitable<void> BackendAttempt::RunAhead(std::shared_ptr<BackendAttempt> self,
                                         HttpRequest request,
                                         Duration timeout) {
  // A coroutine begins later than it is spawned.
  if (self->m_abort->aborted()) {
    co_return;
  }
  const Result<void> opened = co_await self->Open(std::move(request), timeout);
  if (!opened.has_value()) {
    self->m_open_error = opened.error();
  } else if (self->m_response->status() / 100 == 2) {
    co_await self->ReadFirstEvent(timeout);
  }
  self->SetReady();
}

awaitable<void> BackendAttempt::ReadFirstEvent(Duration timeout) {
  SseReader reader;
  bool has_event = false;
  while (!has_event && !m_abort->aborted()) {
    ReadResult chunk = co_await m_response->ReadSome(timeout);
    const bool has_ended = !chunk.has_value() || !chunk.value().has_value();
    if (!has_ended) {
      const size_t held = m_memory.bytes() + chunk.value()->size();
      if (!m_memory.Resize(held)) {
        m_read_ahead.emplace_back(
            Error(ErrorKind::kInDoubt, "There is no room for the response."));
        co_return;
      }
      const auto events = reader.FeedEvents(*chunk.value());
      has_event = !events.has_value() || !events.value().empty();
    }
    m_read_ahead.push_back(std::move(chunk));
    if (has_ended) {
      co_return;
    }
  }
}

void BackendAttempt::SetReady() {
  m_is_ready = true;
  m_ready_timer.cancel();
  const AheadCallbacks callbacks = std::exchange(m_callbacks, {});
  if (callbacks.on_ready) {
    callbacks.on_ready();
  }
}

void BackendAttempt::StopReporting() {
  m_callbacks = {};
}

awaitable<Result<void>> BackendAttempt::WaitUntilReady() {
  while (!m_is_ready && !m_abort->aborted()) {
    m_ready_timer.expires_at(asio::steady_timer::time_point::max());
    boost::system::error_code ignored;
    co_await m_ready_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (m_open_error.has_value()) {
    co_return *m_open_error;
  }
  if (!m_is_ready) {
    co_return Error(ErrorKind::kInDoubt, "The call was given up.");
  }
  co_return Ok();
}

awaitable<BackendAttempt::ReadResult> BackendAttempt::ReadSome(
    Duration timeout) {
  if (!m_read_ahead.empty()) {
    ReadResult chunk = std::move(m_read_ahead.front());
    m_read_ahead.pop_front();
    if (m_read_ahead.empty()) {
      m_memory.Shrink(0);
    }
    co_return chunk;
  }
  co_return co_await m_response->ReadSome(timeout);
}

void BackendAttempt::Abort() {
  StopReporting();
  m_abort->Abort();
  if (m_response != nullptr) {
    m_response->Abort();
  }
  m_ready_timer.cancel();
}

void BackendAttempt::Discard() {
  Abort();
  m_lease.reset();
}

}  // namespace cowslip
