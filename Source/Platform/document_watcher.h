#ifndef SOURCE_PLATFORM_DOCUMENT_WATCHER_H_
#define SOURCE_PLATFORM_DOCUMENT_WATCHER_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Platform/document_store.h"

namespace cowslip {

/// \class DocumentWatcherOptions
/// \brief How a kind is followed.
struct DocumentWatcherOptions {
  DocumentKind kind;
  /// How long one watch waits. Every call is charged; but a watch that the
  /// store has dropped silently hears nothing until it is renewed, see Poll().
  Duration wait = std::chrono::seconds(10);
  /// The pause after a first failure; it doubles up to `max_backoff`.
  Duration initial_backoff = std::chrono::milliseconds(150);
  /// Refused calls are charged too, yet a return of the store must be seen
  /// within the second.
  Duration max_backoff = std::chrono::milliseconds(800);
  uint64_t seed = 1;
};

/// \class DocumentWatcherEvents
/// \brief What a watcher tells; all on the executor of the watcher.
struct DocumentWatcherEvents {
  /// All documents of the kind, after a listing.
  std::function<void(std::vector<Document> documents)> listed;
  std::function<void(const DocumentChange& change)> changed;
  /// A call has failed, or the history that it asked for is gone; not yet an
  /// outage.
  std::function<void(const Error& error)> failed;
  /// The store stopped answering, with the reason.
  std::function<void(const Error& error)> lost;
  /// It answers again; comes before what that answer brings.
  std::function<void()> regained;
};

/// \class DocumentWatcher
/// \brief Follows all documents of one kind: lists them, then watches, and
/// lists again when changes may have been missed.
class DocumentWatcher : public std::enable_shared_from_this<DocumentWatcher> {
 public:
  DocumentWatcher(boost::asio::any_io_executor executor,
                  DocumentStore& store,
                  DocumentWatcherOptions options,
                  DocumentWatcherEvents events);

  void Start();
  /// Nothing is told any more.
  void Stop();
  /// Asks now for changes, beside the watch that waits.
  void Poll();
  /// Lists again now, because there is reason to believe that a change has been
  /// missed.
  void Refresh();
  /// Takes what is known for outdated until the store has been read again.
  void AssumeStale(const Error& why);
  /// Names the documents and versions that are known: equal for two watchers of
  /// a kind if, and as far as can be told only if, they know the same.
  uint64_t digest() const { return m_digest; }

 private:
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<Result<void>> ListAll();
  boost::asio::awaitable<Result<void>> WatchOnce(Duration wait);
  boost::asio::awaitable<void> PollOnce();
  boost::asio::awaitable<void> ListOnce();
  boost::asio::awaitable<void> BackOff();
  /// A call that was begun in that read epoch was answered.
  void HandleSuccess(uint32_t read_epoch);
  void ApplyListing(const std::vector<Document>& documents);
  /// Returns false for a change that is older than what is known.
  bool ApplyChange(const DocumentChange& change);
  void HandleFailure(const Error& error);
  void ReportError(const Error& error);

  DocumentStore& m_store;
  const DocumentWatcherOptions m_options;
  const DocumentWatcherEvents m_events;
  boost::asio::any_io_executor m_executor;
  boost::asio::steady_timer m_timer;
  std::mt19937_64 m_random;
  ObjectVersion m_as_of;
  std::map<DocumentName, ObjectVersion> m_versions;
  uint64_t m_digest = 0;
  bool m_stopped = false;
  bool m_connected = false;
  bool m_must_list = true;
  bool m_refreshing = false;
  uint32_t m_failures = 0;
  // Counts AssumeStale(): answers to earlier calls may be as old as they are.
  uint32_t m_read_epoch = 0;
};

}  // namespace cowslip

#endif  // SOURCE_PLATFORM_DOCUMENT_WATCHER_H_
