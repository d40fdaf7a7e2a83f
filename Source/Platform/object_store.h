#ifndef SOURCE_PLATFORM_OBJECT_STORE_H_
#define SOURCE_PLATFORM_OBJECT_STORE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "Base/ids.h"
#include "Base/result.h"
#include "Base/time.h"

namespace cowslip {

/// The name of an object: path segments joined by `/`.
using ObjectKey = StrongId<struct ObjectKeyTag>;

/// The maximum size of a value, in bytes.
inline constexpr size_t kMaxObjectBytes = 1 << 20;

/// \class StoredObject
/// \brief A value with the version for conditional updates.
struct StoredObject {
  std::string value;
  ObjectVersion version;
};

/// Writes regardless of the current state.
struct Unconditional {};
/// Writes only if the object does not exist.
struct IfAbsent {};
/// Writes only if the object is still at `version`.
struct IfVersion {
  ObjectVersion version;
};
using Precondition = std::variant<Unconditional, IfAbsent, IfVersion>;

/// \class ListedObject
/// \brief One entry of a listing.
struct ListedObject {
  ObjectKey key;
  ObjectVersion version;
};

/// \class ObjectChange
/// \brief One change reported by a watch; it has no version for a deletion.
struct ObjectChange {
  ObjectKey key;
  std::optional<ObjectVersion> version;
};

/// \class WatchResult
/// \brief Changes after a revision of the whole store. If `compacted` is set,
/// older changes are no longer available and the watcher must list again.
struct WatchResult {
  ObjectVersion revision;
  bool compacted = false;
  std::vector<ObjectChange> changes;
};

/// \class VmRecord
/// \brief One entry of the platform's VM list.
struct VmRecord {
  VmId vm;
  /// `entry` or `backend`.
  std::string role;
  RegionId region;
  ZoneId zone;
  /// The service that a backend server runs.
  ServiceId service;
  /// The address at which the VM's process accepts peer links.
  std::string link_address;
  uint16_t link_port = 0;
  bool leaving = false;
};

/// \class ObjectStore
/// \brief The platform's object API and VM list.
///
/// Errors of every call: kUnavailable (the call had no effect), kInDoubt and
/// kTimeout (a write may have taken effect: read back the writer's token),
/// kConflict (the precondition failed), kNotFound, kTooLarge.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  virtual boost::asio::awaitable<Result<StoredObject>> Get(ObjectKey key) = 0;
  virtual boost::asio::awaitable<Result<ObjectVersion>>
  Put(ObjectKey key, std::string value, Precondition precondition) = 0;
  virtual boost::asio::awaitable<Result<void>> Delete(
      ObjectKey key,
      Precondition precondition) = 0;
  /// Lists the keys that begin with `prefix` and sort after `after`, in order.
  virtual boost::asio::awaitable<Result<std::vector<ListedObject>>>
  List(std::string prefix, ObjectKey after, size_t limit) = 0;
  /// Waits up to `timeout` for changes after `since`, as one call.
  virtual boost::asio::awaitable<Result<WatchResult>>
  Watch(std::string prefix, ObjectVersion since, Duration timeout) = 0;

  virtual boost::asio::awaitable<Result<std::vector<VmRecord>>> ListVms() = 0;
};

}  // namespace cowslip

#endif  // SOURCE_PLATFORM_OBJECT_STORE_H_
