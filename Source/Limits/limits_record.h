#ifndef SOURCE_LIMITS_LIMITS_RECORD_H_
#define SOURCE_LIMITS_LIMITS_RECORD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "Base/ids.h"
#include "Base/result.h"

namespace cowslip {

/// A group of organisations whose shares one entry owns.
using LimitsShard = StrongNumber<struct LimitsShardTag, uint32_t>;
/// Incremented with each owner of a shard; shares of an older generation are
/// invalid.
using LimitsGeneration = StrongNumber<struct LimitsGenerationTag, uint64_t>;

/// \class ProcessRef
/// \brief One process of a VM.
struct ProcessRef {
  VmId vm;
  Incarnation incarnation;

  friend bool operator==(const ProcessRef&, const ProcessRef&) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ProcessRef, vm, incarnation)

/// \class LimitsRecord
/// \brief The object `limits/SHARD`: the process that owns the shard's shares,
/// and the witnesses, a majority of which must approve before another process
/// may own them.
struct LimitsRecord {
  LimitsGeneration generation;
  ProcessRef owner;
  std::vector<ProcessRef> witnesses;
  /// Random for each write, so that a writer recognises its own write.
  uint64_t write_token = 0;
  /// The owner has stopped and holds all shares: any entry may claim the shard
  /// without approval.
  bool released = false;
  /// For a released shard: the remaining tokens of each organisation in the
  /// owner's ledger.
  std::map<std::string, double> tokens;
  /// For a released shard: how long the other organisations were idle.
  int64_t idle_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LimitsRecord,
                                   generation,
                                   owner,
                                   witnesses,
                                   write_token,
                                   released,
                                   tokens,
                                   idle_ms)

/// The shard of an organisation. `shard_count` is the same on every VM.
LimitsShard ShardOf(const OrganisationId& organisation, uint32_t shard_count);
std::string EncodeLimitsRecord(const LimitsRecord& record);
/// Errors: kInvalidArgument, kTooLarge, kMalformedMessage.
Result<LimitsRecord> DecodeLimitsRecord(const std::string& text);

}  // namespace cowslip

#endif  // SOURCE_LIMITS_LIMITS_RECORD_H_
