#include "Gateway/aborted_run_documents.h"

#include <algorithm>
#include <chrono>

namespace cowslip {

namespace {

constexpr char kRunsField[] = "runs";

}  // namespace

// Each entry is the request, the observer, the count and the time of the last
// run.
nlohmann::json EncodeAbortedRunRecord(const std::vector<AbortedRuns>& runs,
                                      WallTime now) {
  nlohmann::json entries = nlohmann::json::array();
  for (const AbortedRuns& entry : runs) {
    const WallTime last = now - std::chrono::milliseconds(ToMillis(entry.age));
    entries.push_back({entry.fingerprint.value(), entry.vm.value(),
                       entry.incarnation.value(), entry.count,
                       last.time_since_epoch().count()});
  }
  return {{kRunsField, std::move(entries)}};
}

Result<std::vector<AbortedRuns>> DecodeAbortedRunRecord(
    const Document& document,
    WallTime now) {
  try {
    std::vector<AbortedRuns> runs;
    for (const nlohmann::json& entry : document.content.at(kRunsField)) {
      const WallTime last(
          std::chrono::milliseconds(entry.at(4).get<int64_t>()));
      runs.push_back({.fingerprint = entry.at(0).get<Fingerprint>(),
                      .count = entry.at(3).get<uint32_t>(),
                      .age = std::max<Duration>(now - last, Duration::zero()),
                      .vm = entry.at(1).get<VmId>(),
                      .incarnation = Incarnation(entry.at(2).get<uint64_t>())});
    }
    return runs;
  } catch (const nlohmann::json::exception& error) {
    return Error(ErrorKind::kMalformedMessage,
                 "The record of aborted runs by VM " + document.name.value() +
                     " is not readable (" + error.what() +
                     "). Delete it; it is written again.");
  }
}

}  // namespace cowslip
