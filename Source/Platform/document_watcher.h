#ifndef SOURCE_PLATFORM_DOCUMENT_WATCHER_H_
#define SOURCE_PLATFORM_DOCUMENT_WATCHER_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Platform/document_store.h"
#include "Platform/document_view.h"

namespace cowslip {

/// \class DocumentWatcherOptions
/// \brief Which kind of documents to watch, and the timing of the calls.
struct DocumentWatcherOptions {
  DocumentKind kind;
  /// How long one watch waits for changes. Every call is charged, which favours
  /// long waits; but a watch that the store has dropped silently reports no
  /// changes until it is renewed, see Poll().
  Duration wait = std::chrono::seconds(20);
  /// The backoff after the first failure; it doubles up to `max_backoff`.
  Duration initial_backoff = std::chrono::milliseconds(150);
  /// Refused calls are charged too, but the end of an outage must be detected
  /// within one second.
  Duration max_backoff = std::chrono::milliseconds(800);
  /// The longest pause between watches whose history the store has forgotten
  /// again; no pause if zero. The polls of the processes report changes
  /// meanwhile. Without a pause, a store that keeps no history gets a listing
  /// and a watch in every round trip.
  Duration max_history_backoff{0};
  /// A poll or a refresh without a response is repeated after this time, over
  /// another connection; the late response counts too.
  Duration read_timeout = std::chrono::milliseconds(1500);
  uint64_t seed = 1;
};

/// \class StoreReadEnded
/// \brief A listing, or a watch, has got its response.
struct StoreReadEnded {
  bool listing = false;
  /// Documents of the listing, or changes that the watch reports.
  size_t documents = 0;
  /// Changes that were not known before the listing; zero for a watch.
  size_t changes = 0;
  ObjectVersion as_of;
  /// What was written before is known now.
  MonotonicTime began;
  Duration took{0};
};

/// \class DocumentWatcherEvents
/// \brief Callbacks of a watcher; all run on the watcher's executor. Together
/// `listed` and `changed` report each change once, and no document goes back
/// to an older version.
struct DocumentWatcherEvents {
  /// A listing has completed. These are all documents for the first one, then
  /// the changes that were not known before the listing.
  std::function<void(const std::vector<DocumentChange>& changes)> listed;
  /// A watch has reported a change; digest() is that of the contents after it.
  /// A removal may be reported again, or of a document that was never
  /// reported.
  std::function<void(const DocumentChange& change)> changed;
  /// A call has failed, or the requested history is no longer available. This
  /// alone does not mean an outage.
  std::function<void(const Error& error)> failed;
  /// The store has become unreachable or the known state is assumed stale, with
  /// the reason.
  std::function<void(const Error& error)> lost;
  /// The store has been read for the first time, or again after `lost`; called
  /// before the callback that delivers the result of that read.
  std::function<void()> regained;
  /// A call has succeeded; called before the callbacks that deliver its result.
  /// digest() already includes the result of a listing.
  std::function<void(const StoreReadEnded& read)> read_ended;
};

/// \class DocumentWatcher
/// \brief Tracks all documents of one kind: lists them, then watches, and
/// lists again when changes may have been missed.
class DocumentWatcher : public std::enable_shared_from_this<DocumentWatcher> {
 public:
  DocumentWatcher(boost::asio::any_io_executor executor,
                  DocumentStore& store,
                  DocumentWatcherOptions options,
                  DocumentWatcherEvents events);

  void Start();
  /// Stops the watcher; results of pending calls are discarded.
  void Stop();
  /// Fetches changes now, in parallel with the pending watch.
  /// `ended` is told whether everything was read that was written before the
  /// call; null if nobody asks.
  using PollEnded = std::function<void(bool has_read_everything)>;
  void Poll(PollEnded ended = nullptr);
  /// Reads what was written before this call; `ended` is told whether that is
  /// known then. Calls that come while a read is under way share the next one.
  void CatchUp(PollEnded ended);
  /// Lists again now. Call it when a change may have been missed.
  void Refresh();
  /// Treats the known state as stale until the store has been read again.
  void AssumeStale(const Error& why);
  /// A digest of the known documents and versions. Two watchers of a kind with
  /// the same state have equal digests; different states have different digests
  /// except for hash collisions.
  uint64_t digest() const { return m_view.digest(); }
  const DocumentKind& kind() const { return m_options.kind; }
  /// All documents were listed at least once.
  bool has_listed() const { return m_view.as_of() != ObjectVersion(); }
  /// The version of the store that the next watch begins from.
  ObjectVersion as_of() const { return m_view.as_of(); }

 private:
  /// Ends when another run has begun.
  boost::asio::awaitable<void> Run(uint64_t run);
  boost::asio::awaitable<Result<void>> ListAll();
  boost::asio::awaitable<Result<void>> WatchOnce(Duration wait);
  boost::asio::awaitable<void> PollOnce(PollEnded ended);
  /// Reads the changes that are available, or lists if there is no history.
  boost::asio::awaitable<Result<void>> ReadChanges();
  /// Reads for the calls of CatchUp() until none waits or another run has begun
  /// because a read of this one got no response.
  boost::asio::awaitable<void> CatchUpWaiting(uint64_t run);
  boost::asio::awaitable<void> ListOnce(uint64_t refresh);
  /// Repeats a refresh that gets no response.
  boost::asio::awaitable<void> RepeatLateRefresh(uint64_t refresh);
  /// Replaces the pending watch if it has waited for long: it has missed a
  /// change.
  void RenewSilentWatch();
  boost::asio::awaitable<void> BackOff(uint32_t failures, Duration longest);
  /// A call that was started in `read_epoch` has succeeded.
  void HandleSuccess(uint32_t read_epoch);
  void ReportRead(const StoreReadEnded& read);
  void HandleFailure(const Error& error);
  void ReportError(const Error& error);

  DocumentStore& m_store;
  const DocumentWatcherOptions m_options;
  const DocumentWatcherEvents m_events;
  boost::asio::any_io_executor m_executor;
  boost::asio::steady_timer m_timer;
  std::mt19937_64 m_random;
  DocumentView m_view;
  bool m_stopped = false;
  bool m_connected = false;
  bool m_must_list = true;
  // The run, refresh and poll in progress, each counted from 1.
  uint64_t m_run = 0;
  uint64_t m_refresh = 0;
  uint64_t m_poll = 0;
  // The watch of the newest run that is pending.
  std::optional<MonotonicTime> m_watch_began;
  std::optional<MonotonicTime> m_refresh_began;
  std::optional<MonotonicTime> m_poll_began;
  // The calls of CatchUp() that no read answers yet.
  std::vector<PollEnded> m_catch_ups;
  // The newest read for CatchUp(), also when it has ended.
  std::optional<MonotonicTime> m_catch_up_began;
  // The newest run of CatchUpWaiting(), counted from 1, and when it or its last
  // read began; nullopt while none is under way.
  uint64_t m_catch_up_run = 0;
  std::optional<MonotonicTime> m_catch_up_run_began;
  // The newest watch or poll was told that its history is gone: polls list.
  bool m_history_lost = false;
  uint32_t m_failures = 0;
  // Watches in a row whose history was gone.
  uint32_t m_history_losses = 0;
  // Incremented by AssumeStale(): responses to calls that were started earlier
  // may be stale too.
  uint32_t m_read_epoch = 0;
};

}  // namespace cowslip

#endif  // SOURCE_PLATFORM_DOCUMENT_WATCHER_H_
