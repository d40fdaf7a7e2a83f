#include "Platform/document_watcher.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cowslip {

using boost::asio::awaitable;

DocumentWatcher::DocumentWatcher(boost::asio::any_io_executor executor,
                                 DocumentStore& store,
                                 DocumentWatcherOptions options,
                                 DocumentWatcherEvents events)
    : m_store(store),
      m_options(std::move(options)),
      m_events(std::move(events)),
      m_executor(executor),
      m_timer(executor),
      m_random(m_options.seed) {}

void DocumentWatcher::Start() {
  const auto self = shared_from_this();
  boost::asio::co_spawn(
      m_executor, [self] { return self->Run(); }, boost::asio::detached);
}

void DocumentWatcher::Stop() {
  m_stopped = true;
  m_timer.cancel();
}

void DocumentWatcher::Refresh() {
  if (m_refreshing || m_stopped) {
    return;
  }
  m_refreshing = true;
  const auto self = shared_from_this();
  boost::asio::co_spawn(
      m_executor, [self] { return self->ListOnce(); }, boost::asio::detached);
}

awaitable<void> DocumentWatcher::ListOnce() {
  const Result<void> listed = co_await ListAll();
  static_cast<void>(listed);
  m_refreshing = false;
}

awaitable<void> DocumentWatcher::Run() {
  while (!m_stopped) {
    Result<void> outcome = Ok();
    if (m_must_list) {
      outcome = co_await ListAll();
    } else {
      outcome = co_await WatchOnce();
    }
    if (m_stopped) {
      co_return;
    }
    if (!outcome.has_value()) {
      Failed(outcome.error());
      co_await Pause();
    }
  }
}

awaitable<Result<void>> DocumentWatcher::ListAll() {
  std::vector<Document> documents;
  DocumentName after;
  ObjectVersion as_of;
  bool has_more = true;
  while (has_more) {
    Result<DocumentPage> page = co_await m_store.List(m_options.kind, after);
    if (!page.has_value()) {
      co_return page.error();
    }
    // The first page's version: changes during the listing are watched then.
    if (documents.empty()) {
      as_of = page.value().as_of;
    }
    has_more = page.value().has_more && !page.value().documents.empty();
    for (Document& document : page.value().documents) {
      documents.push_back(std::move(document));
    }
    if (has_more) {
      after = documents.back().name;
    }
  }
  if (m_stopped) {
    co_return Ok();
  }
  Succeeded();
  m_as_of = std::max(m_as_of, as_of);
  m_must_list = false;
  m_events.listed(std::move(documents));
  co_return Ok();
}

awaitable<Result<void>> DocumentWatcher::WatchOnce() {
  const ObjectVersion since = m_as_of;
  const Result<DocumentChanges> changes =
      co_await m_store.Watch(m_options.kind, since, m_options.wait);
  if (m_stopped) {
    co_return Ok();
  }
  if (!changes.has_value()) {
    if (changes.error().kind() == ErrorKind::kHistoryLost) {
      m_must_list = true;
      co_return Ok();
    }
    co_return changes.error();
  }
  Succeeded();
  m_as_of = std::max(m_as_of, changes.value().as_of);
  for (const DocumentChange& change : changes.value().changes) {
    m_events.changed(change);
  }
  co_return Ok();
}

void DocumentWatcher::Succeeded() {
  m_failures = 0;
  if (!m_connected) {
    m_connected = true;
    m_events.regained();
  }
}

void DocumentWatcher::Failed(const Error& error) {
  ++m_failures;
  // One cut watch is usual; only a second failure in a row is an outage.
  if (m_connected && m_failures > 1) {
    m_connected = false;
    // A listing is answered at once, so that the end of the outage is seen
    // although nothing changes.
    m_must_list = true;
    m_events.lost(error);
  }
}

awaitable<void> DocumentWatcher::Pause() {
  const uint32_t doublings = std::min(m_failures, 6U) - 1;
  const Duration pause = std::min(m_options.longest_pause,
                                  m_options.first_pause * (1 << doublings));
  std::uniform_real_distribution<double> jitter(0.7, 1.0);
  m_timer.expires_after(
      std::chrono::duration_cast<Duration>(pause * jitter(m_random)));
  boost::system::error_code ignored;
  co_await m_timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

}  // namespace cowslip
