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
/// \brief How long a missing entry is kept after an outage of the store.
struct BackendDirectoryOptions {
  /// Entries that expired during an outage are registered again about two
  /// seconds after it.
  Duration grace_period = std::chrono::milliseconds(2300);
};

/// An entry was created or updated.
struct BackendEntryWritten {
  BackendRecord backend;
};
/// An entry was deleted, or no longer describes a backend server.
struct BackendEntryRemoved {
  BackendId id;
};
/// This process has lost contact with the store.
struct DirectoryStoreLost {};
/// This process has contact with the store again.
struct DirectoryStoreRegained {};
/// Periodic timer event.
struct DirectoryTick {};
using DirectoryEvent = std::variant<BackendEntryWritten,
                                    BackendEntryRemoved,
                                    DirectoryStoreLost,
                                    DirectoryStoreRegained,
                                    DirectoryTick>;

/// Adds the backend server or replaces its record.
struct BackendUsable {
  BackendRecord backend;
};
/// Removes the backend server: no new requests are sent to it.
struct BackendUnusable {
  BackendId id;
};
using DirectoryAction = std::variant<BackendUsable, BackendUnusable>;

/// \class BackendDirectory
/// \brief Tracks which backend servers in service discovery are usable.
///
/// An entry may be missing after an outage of the store only because its
/// backend server could not renew it, so it is kept until `grace_period` after
/// contact with the store is restored. At any other time a removal takes effect
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
    /// Missing in the store; removed once the grace period has ended.
    bool missing = false;
  };

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
