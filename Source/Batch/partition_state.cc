#include "Batch/partition_state.h"

#include <utility>

#include "Base/json.h"
#include "Base/message_codec.h"
#include "Base/overloaded.h"

namespace cowslip {

namespace {

constexpr size_t kOutcomeOverheadBytes = 128;
// A record or a checkpoint is one object of up to a megabyte.
constexpr JsonLimits kObjectLimits{.max_bytes = 4 << 20, .max_depth = 16};

void CountOutcome(JobState& job, const ItemOutcome& outcome) {
  if (outcome.kind == OutcomeKind::kSucceeded) {
    ++job.succeeded;
  } else {
    ++job.failed;
  }
}

void ApplyOutcome(JobState& job, const ItemEnded& ended) {
  const uint32_t item = ended.outcome.item;
  const bool acceptable = job.running() && item < job.header.items;
  if (!acceptable || !job.done.Insert(item)) {
    return;
  }
  job.intents.erase(item);
  job.failed_attempts.erase(item);
  CountOutcome(job, ended.outcome);
  job.AddUnflushed(ended.outcome);
  if (job.remaining() == 0) {
    job.status = JobStatus::kCompleted;
    job.ended_ms = ended.at_ms;
  }
}

void ApplyStop(JobState& job, const JobStopped& stopped) {
  if (!job.running()) {
    return;
  }
  // Items that may be running when the job stops get an outcome that says so.
  for (const uint32_t item : std::exchange(job.intents, {})) {
    job.done.Insert(item);
    ++job.failed;
    job.AddUnflushed(
        {.item = item,
         .kind = OutcomeKind::kMayHaveRun,
         .detail = "The job was stopped while the item was running."});
  }
  job.failed_attempts.clear();
  job.status = stopped.status;
  job.ended_ms = stopped.at_ms;
}

void ApplyAttempt(JobState& job, const AttemptFailed& attempt) {
  if (job.running() && !job.done.Contains(attempt.item)) {
    ++job.failed_attempts[attempt.item];
  }
}

void ApplyIntent(JobState& job, const DispatchIntentRecorded& intent) {
  if (job.running() && !job.done.Contains(intent.item)) {
    job.intents.insert(intent.item);
  }
}

template <class T>
Result<T> Decode(const std::string& bytes) {
  const auto json = ParseCbor(bytes, kObjectLimits);
  if (!json.has_value()) {
    return json.error();
  }
  return DecodeStruct<T>(json.value());
}

}  // namespace

JobView JobState::View() const {
  return {.job = header.job,
          .organisation = header.organisation,
          .status = status,
          .items = header.items,
          .succeeded = succeeded,
          .failed = failed,
          .not_done = running() ? 0 : remaining(),
          .bulk = header.bulk,
          .created_ms = header.created_ms,
          .deadline_ms = header.deadline_ms,
          .ended_ms = ended_ms};
}

size_t ApproximateBytes(const ItemOutcome& outcome) {
  return kOutcomeOverheadBytes + outcome.body.size() + outcome.detail.size() +
         outcome.custom_id.value().size();
}

void JobState::AddUnflushed(ItemOutcome outcome) {
  unflushed_bytes += ApproximateBytes(outcome);
  unflushed.push_back(std::move(outcome));
}

void JobState::DropUnflushed(size_t count) {
  const auto end = unflushed.begin() + static_cast<std::ptrdiff_t>(count);
  for (auto outcome = unflushed.begin(); outcome != end; ++outcome) {
    unflushed_bytes -= ApproximateBytes(*outcome);
  }
  unflushed.erase(unflushed.begin(), end);
}

JobState* PartitionState::Find(const JobId& job) {
  const auto found = jobs.find(job);
  return found == jobs.end() ? nullptr : &found->second;
}

const JobState* PartitionState::Find(const JobId& job) const {
  const auto found = jobs.find(job);
  return found == jobs.end() ? nullptr : &found->second;
}

bool PartitionState::has_running_jobs() const {
  for (const auto& [id, job] : jobs) {
    if (job.running()) {
      return true;
    }
  }
  return false;
}

void PartitionState::Apply(const JournalRecord& record) {
  const auto with_job = [this](const JobId& id, auto apply) {
    if (JobState* job = Find(id)) {
      apply(*job);
    }
  };
  const Overloaded visitor{
      [&](const LeaseClaimed& claim) {
        owner = claim.owner;
        incarnation = claim.incarnation;
        epoch = claim.epoch;
        released = false;
      },
      [&](const LeaseReleased&) { released = true; },
      [&](const JobAccepted& accepted) {
        jobs.try_emplace(accepted.header.job,
                         JobState{.header = accepted.header});
      },
      [&](const DispatchIntentRecorded& intent) {
        with_job(intent.job, [&](JobState& job) { ApplyIntent(job, intent); });
      },
      [&](const AttemptFailed& attempt) {
        with_job(attempt.job,
                 [&](JobState& job) { ApplyAttempt(job, attempt); });
      },
      [&](const ItemEnded& ended) {
        with_job(ended.job, [&](JobState& job) { ApplyOutcome(job, ended); });
      },
      [&](const JobStopped& stopped) {
        with_job(stopped.job, [&](JobState& job) { ApplyStop(job, stopped); });
      }};
  for (const JournalEntry& entry : record.entries) {
    std::visit(visitor, entry);
  }
  next = record.sequence + JournalSequence(1);
}

void to_json(nlohmann::json& json, const JobState& state) {
  json = {{"header", state.header},
          {"status", state.status},
          {"done", state.done},
          {"intents", state.intents},
          {"failed_attempts", state.failed_attempts},
          {"succeeded", state.succeeded},
          {"failed", state.failed},
          {"ended_ms", state.ended_ms},
          {"segments", state.segments},
          {"unflushed", state.unflushed}};
}

void from_json(const nlohmann::json& json, JobState& state) {
  json.at("header").get_to(state.header);
  json.at("status").get_to(state.status);
  json.at("done").get_to(state.done);
  json.at("intents").get_to(state.intents);
  json.at("failed_attempts").get_to(state.failed_attempts);
  json.at("succeeded").get_to(state.succeeded);
  json.at("failed").get_to(state.failed);
  json.at("ended_ms").get_to(state.ended_ms);
  json.at("segments").get_to(state.segments);
  for (const nlohmann::json& outcome : json.at("unflushed")) {
    state.AddUnflushed(outcome.get<ItemOutcome>());
  }
}

void to_json(nlohmann::json& json, const Checkpoint& checkpoint) {
  const PartitionState& state = checkpoint.state;
  json = {{"token", checkpoint.token},      {"next", state.next},
          {"owner", state.owner},           {"incarnation", state.incarnation},
          {"epoch", state.epoch},           {"released", state.released},
          {"jobs", nlohmann::json::array()}};
  for (const auto& [id, job] : state.jobs) {
    json["jobs"].push_back(job);
  }
}

void from_json(const nlohmann::json& json, Checkpoint& checkpoint) {
  PartitionState& state = checkpoint.state;
  json.at("token").get_to(checkpoint.token);
  json.at("next").get_to(state.next);
  json.at("owner").get_to(state.owner);
  json.at("incarnation").get_to(state.incarnation);
  json.at("epoch").get_to(state.epoch);
  json.at("released").get_to(state.released);
  for (const nlohmann::json& job : json.at("jobs")) {
    JobState decoded = job.get<JobState>();
    const JobId id = decoded.header.job;
    state.jobs.emplace(id, std::move(decoded));
  }
}

void to_json(nlohmann::json& json, const JournalRecord& record) {
  json = {{"sequence", record.sequence},
          {"epoch", record.epoch},
          {"token", record.token},
          {"entries", nlohmann::json::array()}};
  for (const JournalEntry& entry : record.entries) {
    json["entries"].push_back(EncodeMessage(entry));
  }
}

std::string EncodeCheckpoint(const Checkpoint& checkpoint) {
  return ToCbor(checkpoint);
}

Result<Checkpoint> DecodeCheckpoint(const std::string& bytes) {
  return Decode<Checkpoint>(bytes);
}

std::string EncodeRecord(const JournalRecord& record) {
  return ToCbor(record);
}

Result<JournalRecord> DecodeRecord(const std::string& bytes) {
  const auto json = ParseCbor(bytes, kObjectLimits);
  if (!json.has_value()) {
    return json.error();
  }
  JournalRecord record;
  try {
    json.value().at("sequence").get_to(record.sequence);
    json.value().at("epoch").get_to(record.epoch);
    json.value().at("token").get_to(record.token);
    for (const nlohmann::json& encoded : json.value().at("entries")) {
      auto entry = DecodeMessage<JournalEntry>(encoded);
      if (!entry.has_value()) {
        return entry.error();
      }
      record.entries.push_back(std::move(entry.value()));
    }
  } catch (const nlohmann::json::exception& error) {
    return Error(
        ErrorKind::kMalformedMessage,
        std::string("A journal record cannot be read; upgrade this process: ") +
            error.what());
  }
  return record;
}

std::string EncodeJob(const JobState& job) {
  return ToCbor(job);
}

Result<JobState> DecodeJob(const std::string& bytes) {
  return Decode<JobState>(bytes);
}

std::string EncodeSegment(const std::vector<JobOutcomes>& segment) {
  return ToCbor(segment);
}

Result<std::vector<ItemOutcome>> DecodeSegment(const std::string& bytes,
                                               const JobId& job) {
  auto parts = Decode<std::vector<JobOutcomes>>(bytes);
  if (!parts.has_value()) {
    return parts.error();
  }
  std::vector<ItemOutcome> outcomes;
  for (JobOutcomes& part : parts.value()) {
    if (part.job == job) {
      outcomes = std::move(part.outcomes);
    }
  }
  return outcomes;
}

}  // namespace cowslip
