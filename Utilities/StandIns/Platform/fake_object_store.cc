#include "Utilities/StandIns/Platform/fake_object_store.h"

#include <utility>

#include "Net/sleep_for.h"
#include "Utilities/StandIns/Platform/change_wait.h"

namespace cowslip {

namespace {

using boost::asio::awaitable;

Error Down() {
  return Error(ErrorKind::kUnavailable,
               "The platform is down. Try again once it is back.");
}

Error AnswerLost() {
  return Error(ErrorKind::kInDoubt,
               "The platform's answer was lost. Read the object back.");
}

}  // namespace

FakeObjectStore::FakeObjectStore(std::shared_ptr<FakePlatform> platform)
    : m_platform(std::move(platform)) {}

awaitable<Result<void>> FakeObjectStore::Begin(StoreCall call) {
  m_calls.Count(call);
  if (m_faults.slow > Duration(0)) {
    co_await SleepFor(m_faults.slow);
  }
  if (m_faults.down) {
    co_return Down();
  }
  co_return Ok();
}

awaitable<Result<StoredObject>> FakeObjectStore::Get(ObjectKey key) {
  const Result<void> begun = co_await Begin(StoreCall::kGet);
  if (!begun.has_value()) {
    co_return begun.error();
  }
  co_return m_platform->Get(key);
}

awaitable<Result<ObjectVersion>> FakeObjectStore::Put(
    ObjectKey key,
    std::string value,
    Precondition precondition) {
  const Result<void> begun = co_await Begin(StoreCall::kPut);
  if (!begun.has_value()) {
    co_return begun.error();
  }
  if (std::exchange(m_faults.lose_next_request, false)) {
    co_return AnswerLost();
  }
  Result<ObjectVersion> put =
      m_platform->Put(key, std::move(value), precondition);
  if (std::exchange(m_faults.lose_next_answer, false)) {
    co_return AnswerLost();
  }
  co_return put;
}

awaitable<Result<void>> FakeObjectStore::Delete(ObjectKey key,
                                                Precondition precondition) {
  const Result<void> begun = co_await Begin(StoreCall::kDelete);
  if (!begun.has_value()) {
    co_return begun.error();
  }
  if (std::exchange(m_faults.lose_next_request, false)) {
    co_return AnswerLost();
  }
  Result<void> deleted = m_platform->Delete(key, precondition);
  if (std::exchange(m_faults.lose_next_answer, false)) {
    co_return AnswerLost();
  }
  co_return deleted;
}

awaitable<Result<std::vector<ListedObject>>>
FakeObjectStore::List(std::string prefix, ObjectKey after, size_t limit) {
  const Result<void> begun = co_await Begin(StoreCall::kList);
  if (!begun.has_value()) {
    co_return begun.error();
  }
  co_return m_platform->List(prefix, after, limit);
}

awaitable<Result<WatchResult>> FakeObjectStore::Watch(std::string prefix,
                                                      ObjectVersion since,
                                                      Duration timeout) {
  const Result<void> begun = co_await Begin(StoreCall::kWatch);
  if (!begun.has_value()) {
    co_return begun.error();
  }
  const auto executor = co_await boost::asio::this_coro::executor;
  ChangeWait wait(executor, *m_platform, prefix, since);
  WatchResult result = co_await wait.Run(timeout);
  if (m_faults.down) {
    co_return Down();
  }
  co_return result;
}

awaitable<Result<std::vector<VmRecord>>> FakeObjectStore::ListVms() {
  const Result<void> begun = co_await Begin(StoreCall::kListVms);
  if (!begun.has_value()) {
    co_return begun.error();
  }
  co_return m_platform->ListVms(MonotonicClock::now());
}

}  // namespace cowslip
