#ifndef SOURCE_LIMITS_LIMITS_DRIVER_H_
#define SOURCE_LIMITS_LIMITS_DRIVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "Limits/limits_constants.h"
#include "Limits/limits_events.h"

namespace cowslip {

class ObjectStore;

/// The request may run.
struct Admitted {};
/// The request has not run and must not run.
struct Refused {
  Duration retry_after{};
  RefusalReason reason = RefusalReason::kOverLimit;
};
using LimitDecision = std::variant<Admitted, Refused>;

/// \class LimitsDriverOptions
/// \brief Identity of this entry and the number of shards, which must be the
/// same on every VM.
struct LimitsDriverOptions {
  VmId self;
  Incarnation incarnation;
  uint32_t shard_count = kLimitsShardCount;
};

/// \class LimitsCounters
/// \brief Counts since the start, for metrics.
struct LimitsCounters {
  uint64_t admitted = 0;
  uint64_t refused_over_limit = 0;
  uint64_t refused_unknown_organisation = 0;
  uint64_t refused_no_owner = 0;
  uint64_t messages_sent = 0;
  uint64_t bytes_sent = 0;
  uint64_t store_reads = 0;
  uint64_t store_writes = 0;
  /// Current values: shards owned here, and requests that wait for an owner's
  /// reply.
  uint64_t owned_shards = 0;
  uint64_t waiting = 0;
};

/// \class LimitsDriver
/// \brief Runs LimitsCore and executes its actions: timers, store calls,
/// messages.
///
/// All calls and callbacks are on the io_context's thread. The store must
/// outlive the last handler that the io_context runs.
class LimitsDriver {
 public:
  /// Sends CBOR bytes on kLimitsChannel; a VM without a link is skipped.
  using SendPeer = std::function<void(const VmId& to, const std::string& cbor)>;
  using DecisionCallback = std::function<void(LimitDecision)>;

  LimitsDriver(boost::asio::io_context& context,
               ObjectStore& store,
               LimitsDriverOptions options,
               SendPeer send_peer);
  ~LimitsDriver();
  LimitsDriver(const LimitsDriver&) = delete;
  LimitsDriver& operator=(const LimitsDriver&) = delete;

  void Start();
  /// Calls back exactly once, possibly before it returns, within
  /// kMaxLimitCheckWait and a tick.
  void Admit(const OrganisationId& organisation,
             double cost,
             DecisionCallback callback);
  void OnPeerFrame(const VmId& from, const std::string& cbor);
  void OnPeerUp(const VmId& vm, Incarnation incarnation);
  void OnPeerDown(const VmId& vm);
  /// The live entries, including this one unless it is leaving.
  void OnMembers(const std::vector<VmId>& entries);
  /// Replaces all limits; the new ones take effect at once.
  void SetLimits(const std::vector<OrganisationLimit>& limits);
  /// Hands all shares to other entries, then calls `done`. Requests are still
  /// admitted, by limit checks at the new owners.
  void Drain(std::function<void()> done);
  LimitsCounters counters() const;
  /// Refuses the requests that wait; no callback runs after this.
  void Stop();

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslip

#endif  // SOURCE_LIMITS_LIMITS_DRIVER_H_
