#ifndef UTILITIES_STANDINS_PLATFORM_FAKE_OBJECT_STORE_H_
#define UTILITIES_STANDINS_PLATFORM_FAKE_OBJECT_STORE_H_

#include <memory>
#include <string>
#include <vector>

#include "Platform/object_store.h"
#include "Platform/store_call_counts.h"
#include "Utilities/StandIns/Platform/fake_platform.h"

namespace cowslip {

/// \class FakeObjectStoreFaults
/// \brief Switches that a test sets at any time.
struct FakeObjectStoreFaults {
  /// Every call is kUnavailable; a waiting watch ends at its timeout.
  bool down = false;
  /// The next write takes effect and its answer is kInDoubt.
  bool lose_next_answer = false;
  /// The next write has no effect and its answer is kInDoubt.
  bool lose_next_request = false;
  /// Every call waits this long first.
  Duration slow = Duration(0);
};

/// \class FakeObjectStore
/// \brief An ObjectStore in the process of a test. Several stores, one for
/// each process that the test imitates, may share one platform; each has its
/// own faults, so that one of them can be cut off alone.
class FakeObjectStore final : public ObjectStore {
 public:
  explicit FakeObjectStore(std::shared_ptr<FakePlatform> platform =
                               std::make_shared<FakePlatform>());

  FakePlatform& platform() { return *m_platform; }
  FakeObjectStoreFaults& faults() { return m_faults; }
  const StoreCallCounts& calls() const { return m_calls; }

  boost::asio::awaitable<Result<StoredObject>> Get(ObjectKey key) override;
  boost::asio::awaitable<Result<ObjectVersion>>
  Put(ObjectKey key, std::string value, Precondition precondition) override;
  boost::asio::awaitable<Result<void>> Delete(
      ObjectKey key,
      Precondition precondition) override;
  boost::asio::awaitable<Result<std::vector<ListedObject>>>
  List(std::string prefix, ObjectKey after, size_t limit) override;
  boost::asio::awaitable<Result<WatchResult>> Watch(std::string prefix,
                                                    ObjectVersion since,
                                                    Duration timeout) override;
  boost::asio::awaitable<Result<std::vector<VmRecord>>> ListVms() override;

 private:
  /// Counts the call and applies `slow` and `down`.
  boost::asio::awaitable<Result<void>> Begin(StoreCall call);

  const std::shared_ptr<FakePlatform> m_platform;
  FakeObjectStoreFaults m_faults;
  StoreCallCounts m_calls;
};

}  // namespace cowslip

#endif  // UTILITIES_STANDINS_PLATFORM_FAKE_OBJECT_STORE_H_
