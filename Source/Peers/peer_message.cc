#include "Peers/peer_message.h"

#include <utility>

namespace cowslip {

namespace {

using nlohmann::json;

// Incremented when the layout below changes; messages of other layouts are
// rejected.
constexpr uint64_t kLayout = 7;

// Each crash is the incarnation, its age and the suspects in one list.
json EncodeCrashes(const std::vector<BackendCrash>& crashes) {
  json encoded = json::array();
  for (const BackendCrash& crash : crashes) {
    json entry = {crash.backend.value(), crash.started_at_ms,
                  ToMillis(crash.age)};
    for (const SuspectPart& suspect : crash.parts) {
      entry.push_back({suspect.part.value(), suspect.events, suspect.is_trial});
    }
    encoded.push_back(std::move(entry));
  }
  return encoded;
}

BackendCrash ReadCrash(const json& fields) {
  BackendCrash crash{
      .backend = fields.at(0).get<BackendId>(),
      .started_at_ms = fields.at(1).get<uint64_t>(),
      .age = std::chrono::milliseconds(fields.at(2).get<uint32_t>())};
  for (size_t i = 3; i < fields.size(); ++i) {
    const json& suspect = fields.at(i);
    crash.parts.push_back({.part = suspect.at(0).get<PromptPartId>(),
                           .events = suspect.at(1).get<uint32_t>(),
                           .is_trial = suspect.at(2).get<bool>()});
  }
  return crash;
}

// The observer follows unless it is the sender.
json EncodeAbortedRuns(const std::vector<AbortedRuns>& aborted_runs) {
  json encoded = json::array();
  for (const AbortedRuns& runs : aborted_runs) {
    json entry = {runs.fingerprint.value(), runs.count, ToMillis(runs.age)};
    if (!runs.vm.empty()) {
      entry.push_back(runs.vm.value());
      entry.push_back(runs.incarnation.value());
    }
    encoded.push_back(std::move(entry));
  }
  return encoded;
}

AbortedRuns ReadAbortedRuns(const json& fields) {
  AbortedRuns runs{
      .fingerprint = fields.at(0).get<Fingerprint>(),
      .count = fields.at(1).get<uint32_t>(),
      .age = std::chrono::milliseconds(fields.at(2).get<uint32_t>())};
  if (fields.size() > 3) {
    runs.vm = fields.at(3).get<VmId>();
    runs.incarnation = Incarnation(fields.at(4).get<uint64_t>());
  }
  return runs;
}

json EncodeLimits(const std::vector<BackendLimit>& limits) {
  json encoded = json::array();
  for (const BackendLimit& limit : limits) {
    json rate;
    if (limit.limit.has_value()) {
      rate = limit.limit->per_second;
    }
    encoded.push_back({limit.backend.value(), limit.started_at_ms,
                       std::move(rate), ToMillis(limit.age)});
  }
  return encoded;
}

BackendLimit ReadLimit(const json& fields) {
  BackendLimit limit{
      .backend = fields.at(0).get<BackendId>(),
      .started_at_ms = fields.at(1).get<uint64_t>(),
      .age = std::chrono::milliseconds(fields.at(3).get<uint32_t>())};
  if (!fields.at(2).is_null()) {
    limit.limit = RequestRate{fields.at(2).get<double>()};
  }
  return limit;
}

// The first element tells whether the sender knows the entries; the zones
// follow, since the depth of a message is limited.
json EncodeEvacuations(const PeerMessage& message) {
  json encoded = json::array({message.knows_evacuations});
  for (const EvacuatedZone& zone : message.evacuated_zones) {
    encoded.push_back({zone.zone.value(), zone.version.value(), zone.removed,
                       zone.in_flight});
  }
  return encoded;
}

json EncodeColdness(const std::vector<BackendColdness>& cold) {
  json encoded = json::array();
  for (const BackendColdness& coldness : cold) {
    encoded.push_back({coldness.backend.value(), coldness.started_at_ms,
                       ToMillis(coldness.remaining), coldness.entry_version});
  }
  return encoded;
}

void ReadEvacuations(const json& fields, PeerMessage& message) {
  message.knows_evacuations = fields.at(0).get<bool>();
  for (size_t i = 1; i < fields.size(); ++i) {
    const json& zone = fields.at(i);
    message.evacuated_zones.push_back(
        {.zone = zone.at(0).get<ZoneId>(),
         .version = ObjectVersion(zone.at(1).get<uint64_t>()),
         .removed = zone.at(2).get<bool>(),
         .in_flight = zone.at(3).get<uint32_t>()});
  }
}

BackendColdness ReadColdness(const json& fields) {
  return {.backend = fields.at(0).get<BackendId>(),
          .started_at_ms = fields.at(1).get<uint64_t>(),
          .remaining = std::chrono::milliseconds(fields.at(2).get<uint32_t>()),
          .entry_version = fields.at(3).get<uint64_t>()};
}

json EncodeAge(const std::optional<Duration>& age) {
  return age.has_value() ? json(ToMillis(*age)) : json();
}

std::optional<Duration> ReadAge(const json& field) {
  if (field.is_null()) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(field.get<uint32_t>());
}

PeerMessage ReadFields(const json& fields) {
  PeerMessage message;
  message.vm = VmId(fields.at(1).get<std::string>());
  message.incarnation = Incarnation(fields.at(2).get<uint64_t>());
  message.sequence = fields.at(3).get<uint64_t>();
  message.uptime = std::chrono::milliseconds(fields.at(4).get<int64_t>());
  message.configuration = ConfigVersion(fields.at(5).get<uint64_t>());
  message.draining = fields.at(6).get<bool>();
  message.reaches_store = fields.at(7).get<bool>();
  message.digests = fields.at(8).get<StoreDigests>();
  for (const json& usage : fields.at(9)) {
    message.usage.push_back({OrganisationId(usage.at(0).get<std::string>()),
                             usage.at(1).get<uint64_t>()});
  }
  for (const json& use : fields.at(10)) {
    message.in_flight.push_back({BackendId(use.at(0).get<std::string>()),
                                 use.at(1).get<uint32_t>(),
                                 use.at(2).get<uint32_t>()});
  }
  for (const json& runs : fields.at(11)) {
    message.aborted_runs.push_back(ReadAbortedRuns(runs));
  }
  for (const json& crash : fields.at(12)) {
    message.crash_evidence.crashes.push_back(ReadCrash(crash));
  }
  for (const json& cleared : fields.at(13)) {
    message.crash_evidence.cleared.push_back(
        {.part = cleared.at(0).get<PromptPartId>(),
         .age = std::chrono::milliseconds(cleared.at(1).get<uint32_t>()),
         .events = cleared.at(2).get<uint32_t>()});
  }
  for (const json& limit : fields.at(14)) {
    message.backend_limits.push_back(ReadLimit(limit));
  }
  for (const json& part : fields.at(15)) {
    message.crash_evidence.held_back.push_back(part.get<PromptPartId>());
  }
  for (const json& completed : fields.at(16)) {
    message.completed_requests.push_back(
        {completed.at(0).get<Fingerprint>(),
         std::chrono::milliseconds(completed.at(1).get<uint32_t>())});
  }
  for (const json& job : fields.at(17)) {
    message.ended_jobs.push_back(job.get<JobKey>());
  }
  // Processes of earlier releases end here.
  if (fields.size() > 18) {
    for (const json& progress : fields.at(18)) {
      message.job_progress.push_back(
          {.job = progress.at(0).get<JobKey>(),
           .items = progress.at(1).get<uint32_t>(),
           .tokens = progress.at(2).get<uint64_t>()});
    }
  }
  if (fields.size() > 19) {
    ReadEvacuations(fields.at(19), message);
    for (const json& coldness : fields.at(20)) {
      message.cold_backends.push_back(ReadColdness(coldness));
    }
  }
  if (fields.size() > 21) {
    const json& poll = fields.at(21);
    message.poll = {.completed_age = ReadAge(poll.at(0)),
                    .running_age = ReadAge(poll.at(1))};
  }
  return message;
}

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  json usage = json::array();
  for (const OrganisationUsage& entry : message.usage) {
    usage.push_back({entry.organisation.value(), entry.admitted});
  }
  json in_flight = json::array();
  for (const BackendUse& use : message.in_flight) {
    in_flight.push_back({use.backend.value(), use.online, use.batch});
  }
  json cleared = json::array();
  for (const ClearedPart& part : message.crash_evidence.cleared) {
    cleared.push_back({part.part.value(), ToMillis(part.age), part.events});
  }
  json held_back = json::array();
  for (const PromptPartId& part : message.crash_evidence.held_back) {
    held_back.push_back(part.value());
  }
  json completed_requests = json::array();
  for (const CompletedRequest& request : message.completed_requests) {
    completed_requests.push_back(
        {request.fingerprint.value(), ToMillis(request.age)});
  }
  json job_progress = json::array();
  for (const JobProgress& progress : message.job_progress) {
    job_progress.push_back(
        {progress.job.value(), progress.items, progress.tokens});
  }
  json fields = json::array(
      {kLayout, message.vm.value(), message.incarnation.value(),
       message.sequence, ToMillis(message.uptime),
       message.configuration.value(), message.draining, message.reaches_store,
       message.digests, std::move(usage), std::move(in_flight),
       EncodeAbortedRuns(message.aborted_runs),
       EncodeCrashes(message.crash_evidence.crashes), std::move(cleared),
       EncodeLimits(message.backend_limits), std::move(held_back),
       std::move(completed_requests), message.ended_jobs,
       std::move(job_progress)});
  fields.push_back(EncodeEvacuations(message));
  fields.push_back(EncodeColdness(message.cold_backends));
  fields.push_back(json::array({EncodeAge(message.poll.completed_age),
                                EncodeAge(message.poll.running_age)}));
  return ToCbor(fields);
}

Result<PeerMessage> DecodePeerMessage(std::string_view bytes) {
  const Result<json> fields = ParseCbor(bytes, kPeerMessageLimits);
  if (!fields.has_value()) {
    return fields.error();
  }
  return ReadPeerMessage(fields.value());
}

Result<PeerMessage> ReadPeerMessage(const json& fields) {
  try {
    if (fields.at(0).get<uint64_t>() == kLayout) {
      return ReadFields(fields);
    }
  } catch (const json::exception&) {
    // Falls through to the error below.
  }
  return Error(ErrorKind::kMalformedMessage,
               "The datagram is of another layout. Upgrade the older process.");
}

}  // namespace cowslip
