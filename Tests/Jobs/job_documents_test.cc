#include <algorithm>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "Jobs/job_documents.h"

namespace cowslip {
namespace {

JobDefinition Definition() {
  return {.id = JobId("j1"),
          .organisation = OrganisationId("mill"),
          .route = RouteId("r"),
          .host = "h.example",
          .digest = Digest("0123456789abcdef0123"),
          .submitted = WallTime(std::chrono::milliseconds(1000)),
          .due = WallTime(std::chrono::milliseconds(19000)),
          .give_up = WallTime(std::chrono::milliseconds(61000)),
          .max_attempts = 3,
          .input_segments = 1,
          .items = {ItemId("a"), ItemId("b")},
          .accepted_by = VmId("vm1"),
          .accepted_incarnation = Incarnation(77)};
}

// Guards against clients that read, end or replace jobs of another organisation
// under an id of their choice.
TEST_CASE("Jobs of different clients never have the same key") {
  CHECK(JobKeyFor(JobId("7c41e09b52d6a3f8"), OrganisationId("mill")) ==
        JobKey("7c41e09b52d6a3f8.mill"));
  CHECK(JobKeyFor(JobId("a.b"), OrganisationId("c")) !=
        JobKeyFor(JobId("a"), OrganisationId("b.c")));
  rc::check([](const std::string& id, const std::string& organisation,
               const std::string& other_id,
               const std::string& other_organisation) {
    const JobKey key = JobKeyFor(JobId(id), OrganisationId(organisation));
    RC_ASSERT((key == JobKeyFor(JobId(other_id),
                                OrganisationId(other_organisation))) ==
              (id == other_id && organisation == other_organisation));
    // Only the organisation's name comes from the operators.
    const std::string of_client = key.value().substr(0, key.value().find('.'));
    RC_ASSERT(std::all_of(of_client.begin(), of_client.end(), [](char c) {
      return c > ' ' && c <= '~' && c != '/';
    }));
  });
}

TEST_CASE("A job without a status belongs to the process that accepted it") {
  const Document document{.name = DocumentName("j1.mill"),
                          .version = ObjectVersion(5),
                          .content = EncodeDefinition(Definition())};
  const auto record = DecodeJob(document);
  REQUIRE(record.has_value());
  CHECK(record->status.owner == VmId("vm1"));
  CHECK(record->status.incarnation == Incarnation(77));
  CHECK(record->definition.items.size() == 2);
  CHECK(record->definition.give_up == Definition().give_up);
  CHECK(record->definition.input_segments == 1);
}

TEST_CASE("A job status with progress survives encoding and decoding") {
  JobStatus status{.owner = VmId("vm2"), .incarnation = Incarnation(3)};
  status.progress[ItemId("a")] = {.last_event = 12,
                                  .output = "x\ny",
                                  .version = SoftwareVersion("v1"),
                                  .failed_runs = 1};
  const Document document{.name = DocumentName("j1.mill"),
                          .content = EncodeDefinition(Definition()),
                          .status = EncodeStatus(status)};
  const auto record = DecodeJob(document);
  REQUIRE(record.has_value());
  const ItemProgress& progress = record->status.progress.at(ItemId("a"));
  CHECK(progress.last_event == 12);
  CHECK(progress.output == "x\ny");
  CHECK(progress.version == SoftwareVersion("v1"));
  CHECK(progress.failed_runs == 1);
}

TEST_CASE("Progress written by an earlier release has no version") {
  const auto progress = DecodeProgress(
      {{"progress", nlohmann::json::array({{"a", 12, "x\ny", 1}})}});
  REQUIRE(progress.has_value());
  CHECK(progress.value().at(ItemId("a")).last_event == 12);
  CHECK(progress.value().at(ItemId("a")).version.empty());
}

TEST_CASE("Items survive being split into documents and decoded") {
  rc::check([](const std::vector<std::string>& bodies) {
    std::vector<JobItem> items;
    for (const std::string& body : bodies) {
      items.push_back({.id = ItemId(std::to_string(items.size())),
                       .target = "/p",
                       .headers = {{"Model", "m"}},
                       .body = body});
    }
    std::vector<JobItem> back;
    for (const nlohmann::json& segment : EncodeInputs(items)) {
      RC_ASSERT(segment.is_object());
      const auto decoded = DecodeInputs(segment);
      RC_ASSERT(decoded.has_value());
      back.insert(back.end(), decoded.value().begin(), decoded.value().end());
    }
    RC_ASSERT(back.size() == items.size());
    for (size_t i = 0; i < items.size(); ++i) {
      RC_ASSERT(back[i].body == items[i].body);
      RC_ASSERT(back[i].headers.size() == 1U);
    }
  });
}

TEST_CASE("Large items are split into several documents") {
  std::vector<JobItem> items(5);
  for (JobItem& item : items) {
    item.body = std::string(300 * 1024, 'x');
  }
  const auto segments = EncodeInputs(items);
  CHECK(segments.size() == 5);
  for (const nlohmann::json& segment : segments) {
    CHECK(segment.dump().size() < kMaxDocumentBytes);
  }
}

TEST_CASE("Malformed documents are rejected") {
  CHECK_FALSE(DecodeJob(Document{}).has_value());
  CHECK_FALSE(DecodeInputs(nlohmann::json::array()).has_value());
  CHECK_FALSE(DecodeResults(nlohmann::json()).has_value());
  CHECK_FALSE(DecodeResults({{"sealed", 1}, {"results", 2}}).has_value());
}

}  // namespace
}  // namespace cowslip
