#include "Jobs/job_documents.h"

#include <utility>

#include "Base/base64.h"
#include "Net/percent_encoding.h"

namespace cowslip {

namespace {

using nlohmann::json;

// The store accepts only JSON objects as document contents.
constexpr char kItemsField[] = "items";

// Number of hex digits of the digest in a document name: enough to distinguish
// different submissions under one job id.
constexpr size_t kDigestDigits = 16;

Error Malformed(const char* what) {
  return Error(
      ErrorKind::kMalformedMessage,
      std::string("A document of ") + what +
          " is not of this version's form. Upgrade the older process.");
}

json EncodeTime(WallTime time) {
  return time.time_since_epoch().count();
}

WallTime DecodeTime(const json& value) {
  return WallTime(std::chrono::milliseconds(value.get<int64_t>()));
}

json EncodeItem(const JobItem& item) {
  json headers = json::array();
  for (const HttpHeader& header : item.headers) {
    headers.push_back({header.name, header.value});
  }
  return json::array({item.id.value(), item.target, std::move(headers),
                      EncodeBase64(item.body)});
}

JobItem DecodeItem(const json& entry) {
  JobItem item{.id = ItemId(entry.at(0).get<std::string>()),
               .target = entry.at(1).get<std::string>()};
  for (const json& header : entry.at(2)) {
    item.headers.push_back(
        {header.at(0).get<std::string>(), header.at(1).get<std::string>()});
  }
  item.body =
      DecodeBase64(entry.at(3).get_ref<const std::string&>()).value_or("");
  return item;
}

size_t SizeOf(const JobItem& item) {
  size_t size = item.target.size() + item.body.size() * 4 / 3;
  for (const HttpHeader& header : item.headers) {
    size += header.name.size() + header.value.size();
  }
  return size;
}

JobDefinition ReadDefinition(const json& content) {
  JobDefinition definition;
  definition.id = content.at("id").get<JobId>();
  definition.organisation = content.at("organisation").get<OrganisationId>();
  definition.route = content.at("route").get<RouteId>();
  definition.host = content.at("host").get<std::string>();
  definition.digest = content.at("digest").get<Digest>();
  definition.submitted = DecodeTime(content.at("submitted_ms"));
  definition.due = DecodeTime(content.at("due_ms"));
  definition.give_up = DecodeTime(content.at("give_up_ms"));
  definition.max_attempts = content.at("max_attempts").get<uint32_t>();
  definition.input_segments = content.at("input_segments").get<uint32_t>();
  definition.items = content.at("items").get<std::vector<ItemId>>();
  definition.accepted_by = content.at("accepted_by").get<VmId>();
  definition.accepted_incarnation =
      content.at("accepted_incarnation").get<Incarnation>();
  // Processes of earlier releases write none of these.
  definition.tokens = content.value("tokens", std::vector<uint64_t>());
  definition.offered = content.value("offered", false);
  definition.spare_slots_only = content.value("spare_slots_only", false);
  return definition;
}

std::map<ItemId, ItemProgress> ReadProgress(const json& entries) {
  std::map<ItemId, ItemProgress> progress;
  for (const json& entry : entries) {
    // Processes of earlier releases write neither version nor service.
    const SoftwareVersion version = entry.size() > 4
                                        ? entry.at(4).get<SoftwareVersion>()
                                        : SoftwareVersion();
    const ServiceId service =
        entry.size() > 5 ? entry.at(5).get<ServiceId>() : ServiceId();
    progress[entry.at(0).get<ItemId>()] =
        ItemProgress{.last_event = entry.at(1).get<uint64_t>(),
                     .output = entry.at(2).get<std::string>(),
                     .version = version,
                     .service = service,
                     .failed_runs = entry.at(3).get<uint32_t>()};
  }
  return progress;
}

json WriteProgress(const std::map<ItemId, ItemProgress>& progress) {
  json entries = json::array();
  for (const auto& [item, done] : progress) {
    entries.push_back({item.value(), done.last_event, done.output,
                       done.failed_runs, done.version.value(),
                       done.service.value()});
  }
  return entries;
}

JobStatus ReadStatus(const json& status, const JobDefinition& definition) {
  // A job without a status still belongs to the process that accepted it.
  if (!status.is_object() || !status.contains("owner")) {
    return JobStatus{.owner = definition.accepted_by,
                     .incarnation = definition.accepted_incarnation};
  }
  JobStatus read;
  read.owner = status.at("owner").get<VmId>();
  read.incarnation = status.at("incarnation").get<Incarnation>();
  read.ended = status.at("ended").get<bool>();
  read.finished = status.at("finished").get<bool>();
  read.accepted = status.value("accepted", false);
  read.progress = ReadProgress(status.at("progress"));
  return read;
}

}  // namespace

// The first dot ends the id, so that no two clients' jobs have the same key,
// whatever ids they choose.
JobKey JobKeyFor(const JobId& id, const OrganisationId& organisation) {
  std::string key;
  for (const char c : PercentEncodeSegment(id.value())) {
    if (c == '.') {
      key += "%2E";
    } else {
      key += c;
    }
  }
  return JobKey(key + "." + organisation.value());
}

DocumentName JobName(const JobKey& key) {
  return DocumentName(key.value());
}

DocumentName InputName(const JobKey& key,
                       const Digest& digest,
                       uint32_t segment) {
  return DocumentName(key.value() + "." +
                      digest.value().substr(0, kDigestDigits) + "." +
                      std::to_string(segment));
}

DocumentName ResultName(const JobKey& key, uint32_t segment) {
  return DocumentName(key.value() + "." + std::to_string(segment));
}

DocumentName ProgressName(const JobKey& key) {
  return DocumentName(key.value());
}

std::vector<json> EncodeInputs(const std::vector<JobItem>& items) {
  std::vector<json> segments;
  size_t size = kSegmentBytes;
  for (const JobItem& item : items) {
    if (size >= kSegmentBytes) {
      segments.push_back(json::object({{kItemsField, json::array()}}));
      size = 0;
    }
    size += SizeOf(item);
    segments.back()[kItemsField].push_back(EncodeItem(item));
  }
  return segments;
}

Result<std::vector<JobItem>> DecodeInputs(const json& content) {
  try {
    std::vector<JobItem> items;
    for (const json& entry : content.at(kItemsField)) {
      items.push_back(DecodeItem(entry));
    }
    return items;
  } catch (const json::exception&) {
    return Malformed("items");
  }
}

json EncodeDefinition(const JobDefinition& definition) {
  return {{"id", definition.id},
          {"organisation", definition.organisation},
          {"route", definition.route},
          {"host", definition.host},
          {"digest", definition.digest},
          {"submitted_ms", EncodeTime(definition.submitted)},
          {"due_ms", EncodeTime(definition.due)},
          {"give_up_ms", EncodeTime(definition.give_up)},
          {"max_attempts", definition.max_attempts},
          {"input_segments", definition.input_segments},
          {"items", definition.items},
          {"tokens", definition.tokens},
          {"offered", definition.offered},
          {"spare_slots_only", definition.spare_slots_only},
          {"accepted_by", definition.accepted_by},
          {"accepted_incarnation", definition.accepted_incarnation}};
}

json EncodeStatus(const JobStatus& status) {
  return {{"owner", status.owner},
          {"incarnation", status.incarnation},
          {"ended", status.ended},
          {"finished", status.finished},
          {"accepted", status.accepted},
          {"progress", WriteProgress(status.progress)}};
}

std::optional<JobRecord> DecodeJob(const Document& document) {
  try {
    JobRecord record{.key = JobKey(document.name.value()),
                     .version = document.version,
                     .created = document.created,
                     .definition = ReadDefinition(document.content)};
    record.status = ReadStatus(document.status, record.definition);
    return record;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

json EncodeProgress(const std::map<ItemId, ItemProgress>& progress) {
  return {{"progress", WriteProgress(progress)}};
}

Result<std::map<ItemId, ItemProgress>> DecodeProgress(const json& content) {
  try {
    return ReadProgress(content.at("progress"));
  } catch (const json::exception& error) {
    return Error(ErrorKind::kMalformedMessage,
                 std::string("Malformed document of job progress: ") +
                     error.what() + ". Delete the document.");
  }
}

json EncodeResults(const ResultSegment& segment) {
  json results = json::array();
  for (const ItemResult& result : segment.results) {
    results.push_back({result.item.value(),
                       result.state == ItemState::kCompleted, result.output});
  }
  return {{"results", std::move(results)},
          {"fence", segment.fence},
          {"sealed", segment.sealed}};
}

Result<ResultSegment> DecodeResults(const json& content) {
  try {
    ResultSegment segment{.fence = content.at("fence").get<FencingNumber>(),
                          .sealed = content.at("sealed").get<bool>()};
    for (const json& entry : content.at("results")) {
      segment.results.push_back({.item = entry.at(0).get<ItemId>(),
                                 .state = entry.at(1).get<bool>()
                                              ? ItemState::kCompleted
                                              : ItemState::kDeadLettered,
                                 .output = entry.at(2).get<std::string>()});
    }
    return segment;
  } catch (const json::exception&) {
    return Malformed("results");
  }
}

}  // namespace cowslip
