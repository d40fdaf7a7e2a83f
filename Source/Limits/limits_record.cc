#include "Limits/limits_record.h"

#include "Base/json.h"
#include "Base/message_codec.h"
#include "Base/rendezvous.h"

namespace cowslip {

LimitsShard ShardOf(const OrganisationId& organisation, uint32_t shard_count) {
  const uint64_t hash = RendezvousScore(organisation.value(), "limits");
  return LimitsShard(static_cast<uint32_t>(hash % shard_count));
}

std::string EncodeLimitsRecord(const LimitsRecord& record) {
  return DumpJson(record);
}

Result<LimitsRecord> DecodeLimitsRecord(const std::string& text) {
  const Result<nlohmann::json> json = ParseJson(text);
  if (!json.has_value()) {
    return json.error();
  }
  return DecodeStruct<LimitsRecord>(json.value());
}

}  // namespace cowslip
