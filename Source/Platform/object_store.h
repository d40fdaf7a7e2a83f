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

/// The largest value the platform holds, in bytes.
inline constexpr size_t kMaxObjectBytes = 1 << 20;

/// \class StoredObject
/// \brief A value with the version that a conditional update names.
struct StoredObject {
  std::string value;
  ObjectVersion version;
};

/// Writes whatever is there.
struct Unconditional {};
/// Writes only if no such object exists.
struct IfAbsent {};
/// Writes only over that version.
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
/// \brief One change that a watch reports; no version for a deletion.
struct ObjectChange {
  ObjectKey key;
  std::optional<ObjectVersion> version;
};

/// \class WatchResult
/// \brief Changes after a revision of the whole store. `compacted` says that
/// older changes are gone and the watcher must list again.
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
  /// For a backend server, the service that it runs.
  ServiceId service;
  /// Where the process of the system listens for peer links.
  std::string link_address;
  uint16_t link_port = 0;
  bool leaving = false;
};

/// \class ObjectStore
/// \brief The platform's object API and VM list.
///
/// Errors of every call: kUnavailable (surely no effect), kInDoubt and
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
  /// Lists in key order what begins with `prefix`, after `after`.
  virtual boost::asio::awaitable<Result<std::vector<ListedObject>>>
  List(std::string prefix, ObjectKey after, size_t limit) = 0;
  /// Waits up to `timeout` for changes after `since`. One waiting call.
  virtual boost::asio::awaitable<Result<WatchResult>>
  Watch(std::string prefix, ObjectVersion since, Duration timeout) = 0;

  virtual boost::asio::awaitable<Result<std::vector<VmRecord>>> ListVms() = 0;
};

}  // namespace cowslip

#endif  // SOURCE_PLATFORM_OBJECT_STORE_H_
