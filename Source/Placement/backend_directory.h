#ifndef SOURCE_PLACEMENT_BACKEND_DIRECTORY_H_
#define SOURCE_PLACEMENT_BACKEND_DIRECTORY_H_

#include <chrono>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "Base/time.h"
#include "Fleet/backend_record.h"

namespace cowslip {

/// \class BackendDirectoryOptions
/// \brief How long a missing entry may be due to an outage of the store.
struct BackendDirectoryOptions {
  /// Entries that lapsed in an outage are back about two seconds after it.
  Duration grace_period = std::chrono::milliseconds(2300);
};

/// All entries, after a listing.
struct BackendsListed {
  std::vector<BackendRecord> backends;
};
/// One entry was written.
struct BackendEntryWritten {
  BackendRecord backend;
};
/// One entry is no longer there, or names no backend server any more.
struct BackendEntryRemoved {
  BackendId id;
};
/// The store has stopped answering this process.
struct DirectoryStoreLost {};
/// It answers again.
struct DirectoryStoreRegained {};
/// Time has passed.
struct DirectoryTick {};
using DirectoryEvent = std::variant<BackendsListed,
                                    BackendEntryWritten,
                                    BackendEntryRemoved,
                                    DirectoryStoreLost,
                                    DirectoryStoreRegained,
                                    DirectoryTick>;

/// Use this record from now on.
struct BackendUsable {
  BackendRecord backend;
};
/// Send nothing more there.
struct BackendUnusable {
  BackendId id;
};
using DirectoryAction = std::variant<BackendUsable, BackendUnusable>;

/// \class BackendDirectory
/// \brief Decides which entries of service discovery are in force.
///
/// An entry that is missing after an outage of the store may have lapsed only
/// because its backend server could not renew it: it stays until
/// `grace_period` after the store's return. At any other time a removal counts
/// at once.
class BackendDirectory {
 public:
  explicit BackendDirectory(BackendDirectoryOptions options);

  std::vector<DirectoryAction> Handle(const DirectoryEvent& event,
                                      MonotonicTime now);

  size_t size() const { return m_backends.size(); }

 private:
  struct Entry {
    BackendRecord record;
    /// Missing in the store; unusable from `drop_at` on.
    bool missing = false;
  };

  void Apply(const BackendsListed& event, MonotonicTime now);
  void Apply(const BackendEntryWritten& event, MonotonicTime now);
  void Apply(const BackendEntryRemoved& event, MonotonicTime now);
  void Apply(const DirectoryStoreLost&, MonotonicTime now);
  void Apply(const DirectoryStoreRegained&, MonotonicTime now);
  void Apply(const DirectoryTick&, MonotonicTime now);
  void Upsert(const BackendRecord& record);
  void MarkMissingOrRemove(const BackendId& id, MonotonicTime now);
  bool InGracePeriod(MonotonicTime now) const;

  const BackendDirectoryOptions m_options;
  std::map<BackendId, Entry> m_backends;
  bool m_store_lost = false;
  std::optional<MonotonicTime> m_store_regained_at;
  std::vector<DirectoryAction> m_actions;
};

}  // namespace cowslip

#endif  // SOURCE_PLACEMENT_BACKEND_DIRECTORY_H_
