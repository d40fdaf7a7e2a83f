#include "Platform/document_watcher.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Net/sleep_for.h"

namespace cowslip {

using boost::asio::awaitable;

namespace {

// The shortest wait of a watch: it returns the changes that are available.
constexpr Duration kPollWait = std::chrono::milliseconds(1);

// The shortest time between two reads for CatchUp(). A fleet of 640 processes
// that all catch up stays within the calls that the store allows, and a caller
// who waits loses a sixth of a latency target of 300 ms.
constexpr Duration kCatchUpInterval = std::chrono::milliseconds(50);

// A connected watcher that cannot list three times in a row leaves it to the
// next poll.
constexpr uint32_t kMaxRefreshAttempts = 3;

/// \class ReadInProgress
/// \brief Tells a view when a read begins and when its response was applied.
class ReadInProgress {
 public:
  explicit ReadInProgress(DocumentView& view)
      : m_view(view), m_id(view.BeginRead()) {}
  ~ReadInProgress() { m_view.EndRead(m_id); }
  ReadInProgress(const ReadInProgress&) = delete;
  ReadInProgress& operator=(const ReadInProgress&) = delete;

 private:
  DocumentView& m_view;
  const DocumentView::ReadId m_id;
};

}  // namespace

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
      m_executor, [self, run = ++m_run] { return self->Run(run); },
      boost::asio::detached);
}

void DocumentWatcher::Stop() {
  m_stopped = true;
  m_timer.cancel();
}

void DocumentWatcher::Refresh() {
  const MonotonicTime now = MonotonicClock::now();
  if (m_stopped || (m_refresh_began.has_value() &&
                    now - *m_refresh_began < m_options.read_timeout)) {
    return;
  }
  m_refresh_began = now;
  const uint64_t refresh = ++m_refresh;
  const auto self = shared_from_this();
  boost::asio::co_spawn(
      m_executor, [self, refresh] { return self->ListOnce(refresh); },
      boost::asio::detached);
  boost::asio::co_spawn(
      m_executor, [self, refresh] { return self->RepeatLateRefresh(refresh); },
      boost::asio::detached);
}

awaitable<void> DocumentWatcher::RepeatLateRefresh(uint64_t refresh) {
  co_await SleepFor(m_options.read_timeout);
  // During an outage, ListOnce() tries again by itself.
  if (refresh == m_refresh && m_refresh_began.has_value() && m_connected) {
    Refresh();
  }
}

void DocumentWatcher::AssumeStale(const Error& why) {
  ++m_read_epoch;
  if (m_connected) {
    m_connected = false;
    m_events.lost(why);
  }
  Refresh();
}

void DocumentWatcher::Poll(PollEnded ended) {
  const MonotonicTime now = MonotonicClock::now();
  const bool is_polling =
      m_poll_began.has_value() && now - *m_poll_began < m_options.read_timeout;
  // During an outage, Run() tries again by itself.
  if (is_polling || m_stopped || !m_connected) {
    if (ended) {
      ended(false);
    }
    return;
  }
  m_poll_began = now;
  const auto self = shared_from_this();
  boost::asio::co_spawn(
      m_executor,
      [self, ended = std::move(ended)] { return self->PollOnce(ended); },
      boost::asio::detached);
}

awaitable<void> DocumentWatcher::PollOnce(PollEnded ended) {
  const uint64_t poll = ++m_poll;
  const Result<void> outcome = co_await ReadChanges();
  if (poll == m_poll) {
    m_poll_began.reset();
  }
  if (ended && !m_stopped) {
    ended(outcome.has_value());
  }
}

awaitable<Result<void>> DocumentWatcher::ReadChanges() {
  // A failure is only reported here: if it lasts, the pending watch or the next
  // poll meets it too.
  const Duration wait = kPollWait;
  Result<void> outcome = Ok();
  bool must_list = m_must_list || m_history_lost;
  if (!must_list) {
    outcome = co_await WatchOnce(wait);
    must_list = !outcome.has_value() &&
                outcome.error().kind() == ErrorKind::kHistoryLost;
  }
  if (must_list) {
    outcome = co_await ListAll();
  }
  if (!outcome.has_value()) {
    ReportError(outcome.error());
  }
  co_return outcome;
}

void DocumentWatcher::CatchUp(PollEnded ended) {
  // During an outage, Run() tries again by itself.
  if (m_stopped || !m_connected) {
    ended(false);
    return;
  }
  m_catch_ups.push_back(std::move(ended));
  // A read without a response must not hold up those that wait behind it.
  const MonotonicTime now = MonotonicClock::now();
  const bool is_stuck = m_catch_up_run_began.has_value() &&
                        now - *m_catch_up_run_began >= m_options.read_timeout;
  if (!m_catch_up_run_began.has_value() || is_stuck) {
    m_catch_up_run_began = now;
    boost::asio::co_spawn(
        m_executor,
        [self = shared_from_this(), run = ++m_catch_up_run] {
          return self->CatchUpWaiting(run);
        },
        boost::asio::detached);
  }
}

awaitable<void> DocumentWatcher::CatchUpWaiting(uint64_t run) {
  while (run == m_catch_up_run && !m_catch_ups.empty()) {
    if (m_catch_up_began.has_value()) {
      const Duration pause =
          *m_catch_up_began + kCatchUpInterval - MonotonicClock::now();
      co_await SleepFor(std::max(pause, Duration::zero()));
    }
    const std::vector<PollEnded> catch_ups = std::exchange(m_catch_ups, {});
    m_catch_up_began = MonotonicClock::now();
    if (run == m_catch_up_run) {
      m_catch_up_run_began = m_catch_up_began;
    }
    const Result<void> read = co_await ReadChanges();
    for (const PollEnded& ended : catch_ups) {
      ended(read.has_value() && !m_stopped);
    }
  }
  if (run == m_catch_up_run) {
    m_catch_up_run_began.reset();
  }
}

awaitable<void> DocumentWatcher::ListOnce(uint64_t refresh) {
  uint32_t failures = 0;
  bool done = false;
  while (!done && !m_stopped && refresh == m_refresh) {
    const uint32_t read_epoch = m_read_epoch;
    const uint64_t before = digest();
    const Result<void> listed = co_await ListAll();
    if (listed.has_value()) {
      if (digest() != before) {
        RenewSilentWatch();
      }
      done = read_epoch == m_read_epoch;
    } else {
      // Retries here because the pending watch may never get a response.
      ReportError(listed.error());
      ++failures;
      done = m_connected && failures >= kMaxRefreshAttempts;
      Duration pause = m_options.max_backoff;
      if (m_connected) {
        pause = m_options.initial_backoff;
      }
      if (!done) {
        co_await SleepFor(pause);
      }
    }
  }
  if (refresh == m_refresh) {
    m_refresh_began.reset();
  }
}

void DocumentWatcher::RenewSilentWatch() {
  const MonotonicTime now = MonotonicClock::now();
  if (!m_stopped && m_watch_began.has_value() &&
      now - *m_watch_began >= m_options.wait / 2) {
    Start();
  }
}

awaitable<void> DocumentWatcher::Run(uint64_t run) {
  while (!m_stopped && run == m_run) {
    Result<void> outcome = Ok();
    const bool listing = m_must_list;
    if (listing) {
      outcome = co_await ListAll();
    } else {
      m_watch_began = MonotonicClock::now();
      outcome = co_await WatchOnce(m_options.wait);
    }
    if (m_stopped || run != m_run) {
      co_return;
    }
    m_watch_began.reset();
    if (outcome.has_value()) {
      m_history_losses = listing ? m_history_losses : 0;
    } else if (outcome.error().kind() == ErrorKind::kHistoryLost) {
      // Lists at once, unless a listing has not helped.
      m_must_list = true;
      ++m_history_losses;
      const bool may_pause = m_options.max_history_backoff > Duration::zero();
      if (may_pause && m_history_losses > 1) {
        co_await BackOff(m_history_losses - 1, m_options.max_history_backoff);
      }
    } else {
      HandleFailure(outcome.error());
      co_await BackOff(m_failures, m_options.max_backoff);
    }
  }
}

awaitable<Result<void>> DocumentWatcher::ListAll() {
  const ReadInProgress reading(m_view);
  const uint32_t read_epoch = m_read_epoch;
  const MonotonicTime began = MonotonicClock::now();
  std::vector<DocumentPage> pages;
  size_t documents = 0;
  DocumentName after;
  bool has_more = true;
  while (has_more) {
    Result<DocumentPage> page = co_await m_store.List(m_options.kind, after);
    if (!page.has_value()) {
      co_return page.error();
    }
    pages.push_back(std::move(page.value()));
    const DocumentPage& read = pages.back();
    documents += read.documents.size();
    has_more = read.has_more && !read.documents.empty();
    if (has_more) {
      after = read.documents.back().name;
    }
  }
  if (m_stopped) {
    co_return Ok();
  }
  const ObjectVersion as_of = pages.front().as_of;
  const std::vector<DocumentChange> changes =
      m_view.ApplyListing(std::move(pages));
  ReportRead({.listing = true,
              .documents = documents,
              .changes = changes.size(),
              .as_of = as_of,
              .began = began,
              .took = MonotonicClock::now() - began});
  HandleSuccess(read_epoch);
  m_must_list = false;
  m_events.listed(changes);
  co_return Ok();
}

awaitable<Result<void>> DocumentWatcher::WatchOnce(Duration wait) {
  const ReadInProgress reading(m_view);
  const uint32_t read_epoch = m_read_epoch;
  const ObjectVersion since = m_view.as_of();
  const MonotonicTime began = MonotonicClock::now();
  const Result<DocumentChanges> changes =
      co_await m_store.Watch(m_options.kind, since, wait);
  if (m_stopped) {
    co_return Ok();
  }
  if (!changes.has_value()) {
    if (changes.error().kind() == ErrorKind::kHistoryLost) {
      ReportError(changes.error());
      m_history_lost = true;
    }
    co_return changes.error();
  }
  m_history_lost = false;
  ReportRead({.documents = changes.value().changes.size(),
              .as_of = changes.value().as_of,
              .began = began,
              .took = MonotonicClock::now() - began});
  HandleSuccess(read_epoch);
  m_view.AdvanceTo(changes.value().as_of);
  for (const DocumentChange& change : changes.value().changes) {
    if (m_view.ApplyChange(change)) {
      m_events.changed(change);
    }
  }
  co_return Ok();
}

void DocumentWatcher::HandleSuccess(uint32_t read_epoch) {
  m_failures = 0;
  if (!m_connected && read_epoch == m_read_epoch) {
    m_connected = true;
    m_events.regained();
  }
}

void DocumentWatcher::ReportError(const Error& error) {
  if (m_events.failed) {
    m_events.failed(error);
  }
}

void DocumentWatcher::ReportRead(const StoreReadEnded& read) {
  if (m_events.read_ended) {
    m_events.read_ended(read);
  }
}

void DocumentWatcher::HandleFailure(const Error& error) {
  ++m_failures;
  ReportError(error);
  // A single interrupted watch is normal; only two failures in a row count as
  // an outage.
  if (m_connected && m_failures > 1) {
    m_connected = false;
    // A listing returns at once, so the end of the outage is detected even if
    // no document changes.
    m_must_list = true;
    m_events.lost(error);
  }
}

awaitable<void> DocumentWatcher::BackOff(uint32_t failures, Duration longest) {
  const uint32_t doublings = std::clamp(failures, 1U, 6U) - 1;
  const Duration backoff =
      std::min(longest, m_options.initial_backoff * (1 << doublings));
  std::uniform_real_distribution<double> jitter(0.7, 1.0);
  m_timer.expires_after(
      std::chrono::duration_cast<Duration>(backoff * jitter(m_random)));
  boost::system::error_code ignored;
  co_await m_timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

}  // namespace cowslip
