#include "Utilities/Soak/stream_history.h"

#include <catch2/catch.hpp>

#include "Utilities/Soak/backend.h"
#include "Utilities/Soak/run_log.h"

namespace soak {
namespace {

constexpr char kPath[] = "/stream/r1";

// A stream that was broken after half of its events and then resumed.
StreamHistory WholeHistory() {
  StreamHistory history{.path = kPath, .may_resume = true, .is_complete = true};
  const uint64_t count = EventCount(kPath);
  history.attempts = {{.id = "a", .gateway = "g1"},
                      {.id = "b", .gateway = "g2", .last_event = count / 2}};
  for (uint64_t number = 1; number <= count; ++number) {
    const bool is_first = number <= count / 2;
    history.events.push_back({.number = number,
                              .path = kPath,
                              .version = "v1",
                              .backend = is_first ? "i-1.1" : "i-2.1",
                              .attempt = is_first ? size_t{0} : size_t{1}});
  }
  return history;
}

std::vector<std::string> Only(const std::string& name) {
  return {name};
}

TEST_CASE("A resumption at the same version breaks nothing") {
  RunLog runs;
  CHECK(WholeHistory().Broken(runs).empty());
}

TEST_CASE("Events of two versions are reported") {
  RunLog runs;
  StreamHistory history = WholeHistory();
  for (StreamEvent& event : history.events) {
    event.version = event.attempt == 0 ? "v2" : "v1";
  }
  CHECK(history.Broken(runs) == Only("joined-at-resumption"));
  for (StreamEvent& event : history.events) {
    event.attempt = 0;
  }
  CHECK(history.Broken(runs) == Only("joined-in-response"));
}

TEST_CASE("An event that is missing or comes twice is reported") {
  RunLog runs;
  StreamHistory history = WholeHistory();
  history.events.insert(history.events.begin() + 4, history.events[3]);
  CHECK(history.Broken(runs) == Only("repeated"));
  history = WholeHistory();
  history.is_complete = false;
  history.events.erase(history.events.begin() + 4);
  CHECK(history.Broken(runs) == Only("missing"));
}

TEST_CASE("A stream that is complete before its last event is reported") {
  RunLog runs;
  StreamHistory history = WholeHistory();
  history.events.pop_back();
  CHECK(history.Broken(runs) == Only("truncated"));
  runs.Add("b", {.backend = "i-2",
                 .version = "v1",
                 .incarnation = 1,
                 .last = history.events.back().number,
                 .framing = "ends with its connection",
                 .end = "killed, FIN between events"});
  CHECK(history.Broken(runs) == Only("truncated-after-FIN-without-length"));
}

TEST_CASE("Two runs in a stream that may not be resumed are reported") {
  RunLog runs;
  StreamHistory history = WholeHistory();
  history.may_resume = false;
  CHECK(history.Broken(runs) == Only("two-runs"));
}

TEST_CASE("Events of another request are reported") {
  RunLog runs;
  StreamHistory history = WholeHistory();
  history.events[2].path = "/stream/r2";
  CHECK(history.Broken(runs) == Only("other-request"));
}

TEST_CASE("The output of an item is checked alike") {
  const std::string path = "/job/3/1";
  const auto output = [&](uint64_t count, const char* late_version) {
    std::string text;
    for (uint64_t number = 1; number <= count; ++number) {
      text += (number > 1 ? "\n" : "") + path + "|" +
              (number > 9 ? late_version : "v1") + "|i-1.1|" +
              std::to_string(number);
    }
    return text;
  };
  const uint64_t count = EventCount(path);
  CHECK(BrokenOutput(path, output(count, "v1")).empty());
  CHECK(BrokenOutput(path, output(count, "v2")) == Only("joined"));
  CHECK(BrokenOutput(path, output(count - 1, "v1")) == Only("truncated"));
}

}  // namespace
}  // namespace soak
