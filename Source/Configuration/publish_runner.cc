#include "Configuration/publish_runner.h"

#include <deque>
#include <optional>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Base/overloaded.h"
#include "Platform/object_store.h"

namespace cowslip {

namespace {

using boost::asio::awaitable;

awaitable<PublishEvent> Run(ObjectStore& store, ReadHeadObject) {
  ObjectKey key(kHeadKey);
  Result<StoredObject> read = co_await store.Get(std::move(key));
  if (read.has_value()) {
    co_return HeadObjectRead{.text = std::move(read.value().value),
                             .version = read.value().version};
  }
  if (read.error().kind() == ErrorKind::kNotFound) {
    co_return HeadObjectMissing{};
  }
  co_return ReadFailed{};
}

awaitable<PublishEvent> Run(ObjectStore& store, ReadObject action) {
  ObjectKey key(action.key);
  Result<StoredObject> read = co_await store.Get(std::move(key));
  if (!read.has_value()) {
    co_return ReadFailed{};
  }
  co_return ObjectRead{.digest = std::move(action.digest),
                       .bytes = std::move(read.value().value)};
}

awaitable<PublishEvent> Run(ObjectStore& store, WriteObject action) {
  ObjectKey key(action.key);
  const Precondition absent = IfAbsent{};
  const auto put =
      co_await store.Put(std::move(key), std::move(action.bytes), absent);
  // Objects are named by their digest: one that exists is the same.
  const bool there =
      put.has_value() || put.error().kind() == ErrorKind::kConflict;
  if (!there) {
    co_return ObjectWriteFailed{};
  }
  co_return ObjectWritten{.key = std::move(action.key)};
}

awaitable<PublishEvent> Run(ObjectStore& store, WriteHead action) {
  ObjectKey key(kHeadKey);
  Precondition precondition = IfAbsent{};
  if (action.over) {
    precondition = IfVersion{.version = *action.over};
  }
  const auto put =
      co_await store.Put(std::move(key), std::move(action.text), precondition);
  if (put.has_value()) {
    co_return HeadWritten{};
  }
  switch (put.error().kind()) {
    case ErrorKind::kConflict:
      co_return HeadConflict{};
    case ErrorKind::kUnavailable:
      co_return HeadNotWritten{};
    default:
      co_return HeadInDoubt{};
  }
}

awaitable<PublishEvent> Run(ObjectStore&, WaitForRetry action) {
  auto executor = co_await boost::asio::this_coro::executor;
  boost::asio::steady_timer timer(executor, action.wait);
  boost::system::error_code ignored;
  auto token = boost::asio::redirect_error(boost::asio::use_awaitable, ignored);
  co_await timer.async_wait(token);
  co_return RetryDue{};
}

awaitable<PublishEvent> Perform(ObjectStore& store, PublishAction action) {
  if (auto* read = std::get_if<ReadObject>(&action)) {
    co_return co_await Run(store, std::move(*read));
  }
  if (auto* write = std::get_if<WriteObject>(&action)) {
    co_return co_await Run(store, std::move(*write));
  }
  if (auto* write = std::get_if<WriteHead>(&action)) {
    co_return co_await Run(store, std::move(*write));
  }
  if (const auto* wait = std::get_if<WaitForRetry>(&action)) {
    co_return co_await Run(store, *wait);
  }
  const ReadHeadObject read_head;
  co_return co_await Run(store, read_head);
}

std::optional<PublishOutcome> OutcomeOf(const PublishAction& action) {
  if (const auto* published = std::get_if<Published>(&action)) {
    return *published;
  }
  if (const auto* failed = std::get_if<PublishFailed>(&action)) {
    return *failed;
  }
  return std::nullopt;
}

}  // namespace

awaitable<PublishOutcome> RunPublish(ObjectStore& store,
                                     PublishCoreOptions options) {
  PublishCore core(std::move(options));
  PublishEvent event = PublishStarted{};
  std::deque<PublishAction> actions;
  while (true) {
    for (PublishAction& action : core.Handle(event, MonotonicClock::now())) {
      actions.push_back(std::move(action));
    }
    // Every action but the last has an answer, so that one is always left.
    PublishAction next = std::move(actions.front());
    actions.pop_front();
    if (std::optional<PublishOutcome> outcome = OutcomeOf(next)) {
      co_return std::move(*outcome);
    }
    event = co_await Perform(store, std::move(next));
  }
}

}  // namespace cowslip
