#ifndef UTILITIES_STANDINS_PLATFORM_FAKE_PLATFORM_H_
#define UTILITIES_STANDINS_PLATFORM_FAKE_PLATFORM_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Base/result.h"
#include "Base/time.h"
#include "Platform/object_store.h"

namespace cowslip {

/// \class FakePlatformOptions
/// \brief How the platform behaves when nothing fails.
struct FakePlatformOptions {
  /// A VM list that was set shows only after this time.
  Duration vm_list_lag = Duration(0);
  /// How many changes a watch can look back over.
  size_t max_history = 10'000;
};

/// \class FakePlatform
/// \brief The state of the platform's stand-in: objects under one revision
/// that counts every write, their history, and the VM list. No I/O, no clock.
class FakePlatform {
 public:
  using ChangeCallback = std::function<void(const ObjectKey& key)>;

  explicit FakePlatform(FakePlatformOptions options = {});

  /// Errors: kNotFound.
  Result<StoredObject> Get(const ObjectKey& key) const;
  /// Errors: kConflict, kTooLarge, kInvalidArgument for an empty key.
  Result<ObjectVersion> Put(const ObjectKey& key,
                            std::string value,
                            const Precondition& precondition);
  /// Errors: kConflict, kNotFound.
  Result<void> Delete(const ObjectKey& key, const Precondition& precondition);
  std::vector<ListedObject> List(const std::string& prefix,
                                 const ObjectKey& after,
                                 size_t limit) const;
  /// The changes after `since`, empty if there are none as yet.
  WatchResult ChangesSince(const std::string& prefix,
                           ObjectVersion since) const;

  /// Calls back after every write; returns a number for Unsubscribe.
  uint64_t Subscribe(ChangeCallback callback);
  void Unsubscribe(uint64_t subscription);

  void SetVms(std::vector<VmRecord> vms, MonotonicTime now);
  std::vector<VmRecord> ListVms(MonotonicTime now) const;

  ObjectVersion revision() const { return m_revision; }
  size_t object_count() const { return m_objects.size(); }

 private:
  struct VmListVersion {
    MonotonicTime visible_from;
    std::vector<VmRecord> vms;
  };
  struct HistoryEntry {
    ObjectVersion revision;
    ObjectChange change;
  };

  Result<void> CheckPrecondition(const ObjectKey& key,
                                 const Precondition& precondition) const;
  void Record(ObjectChange change);

  const FakePlatformOptions m_options;
  ObjectVersion m_revision;
  /// The revision of the newest change that the history has dropped.
  ObjectVersion m_compacted_to;
  std::map<ObjectKey, StoredObject> m_objects;
  std::deque<HistoryEntry> m_history;
  std::map<uint64_t, ChangeCallback> m_subscriptions;
  uint64_t m_next_subscription = 1;
  std::deque<VmListVersion> m_vm_lists;
};

}  // namespace cowslip

#endif  // UTILITIES_STANDINS_PLATFORM_FAKE_PLATFORM_H_
