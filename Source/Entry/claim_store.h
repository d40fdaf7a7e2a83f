#ifndef SOURCE_ENTRY_CLAIM_STORE_H_
#define SOURCE_ENTRY_CLAIM_STORE_H_

#include <string>

#include <boost/asio/awaitable.hpp>

#include "Base/ids.h"

namespace cowslip {

class ObjectStore;

/// Who holds an idempotency key after an attempt to claim it.
enum class ClaimOutcome { kWon, kLost, kUnavailable };

/// \class ClaimStore
/// \brief Records in the platform's store which request holds an idempotency
/// key, so that a resend to any VM finds it.
///
/// The object `claims/ORGANISATION/DIGEST` is created only if absent and holds
/// the writer's token. An answer that was lost is settled by reading the token
/// back.
class ClaimStore {
 public:
  explicit ClaimStore(ObjectStore& store);

  /// Claims the key for the request that `token` names.
  boost::asio::awaitable<ClaimOutcome> Claim(OrganisationId organisation,
                                             std::string idempotency_key,
                                             std::string token);
  /// Frees the key if that token still holds it.
  boost::asio::awaitable<void> Release(OrganisationId organisation,
                                       std::string idempotency_key,
                                       std::string token);

 private:
  ObjectStore& m_store;
};

}  // namespace cowslip

#endif  // SOURCE_ENTRY_CLAIM_STORE_H_
