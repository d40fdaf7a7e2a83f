#include "Entry/claim_store.h"

#include "Base/sha256.h"
#include "Platform/object_store.h"

namespace cowslip {

namespace {

constexpr int kMaxTries = 3;

ObjectKey KeyOf(const OrganisationId& organisation,
                const std::string& idempotency_key) {
  const Digest digest = Sha256(organisation.value() + '\0' + idempotency_key);
  return ObjectKey("claims/" + organisation.value() + "/" + digest.value());
}

}  // namespace

ClaimStore::ClaimStore(ObjectStore& store) : m_store(store) {}

boost::asio::awaitable<ClaimOutcome> ClaimStore::Claim(
    OrganisationId organisation,
    std::string idempotency_key,
    std::string token) {
  const ObjectKey key = KeyOf(organisation, idempotency_key);
  for (int tries = 0; tries < kMaxTries; ++tries) {
    const Precondition absent = IfAbsent{};
    const Result<ObjectVersion> written =
        co_await m_store.Put(key, token, absent);
    if (written.has_value()) {
      co_return ClaimOutcome::kWon;
    }
    if (written.error().kind() != ErrorKind::kConflict) {
      continue;
    }
    // The object may be our own, from a try whose answer was lost.
    const Result<StoredObject> holder = co_await m_store.Get(key);
    if (holder.has_value()) {
      co_return holder.value().value == token ? ClaimOutcome::kWon
                                              : ClaimOutcome::kLost;
    }
  }
  co_return ClaimOutcome::kUnavailable;
}

boost::asio::awaitable<void> ClaimStore::Release(OrganisationId organisation,
                                                 std::string idempotency_key,
                                                 std::string token) {
  const ObjectKey key = KeyOf(organisation, idempotency_key);
  const Result<StoredObject> holder = co_await m_store.Get(key);
  if (!holder.has_value() || holder.value().value != token) {
    co_return;
  }
  const Precondition same = IfVersion{holder.value().version};
  const Result<void> deleted = co_await m_store.Delete(key, same);
  static_cast<void>(deleted);
}

}  // namespace cowslip
