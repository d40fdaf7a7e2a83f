#include <algorithm>
#include <vector>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "Utilities/Bench/answer_check.h"
#include "Utilities/Bench/arrival_schedule.h"
#include "Utilities/Bench/bench_options.h"
#include "Utilities/Bench/sample_set.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

std::vector<Arrival> Until(ArrivalSchedule& schedule, Duration end) {
  std::vector<Arrival> arrivals;
  for (Arrival next = schedule.Next(); next.at < end; next = schedule.Next()) {
    arrivals.push_back(next);
  }
  return arrivals;
}

TEST_CASE("Arrivals come at the rate, in shares, and more in bursts") {
  const ArrivalScheduleOptions options{
      .rate = 100, .seed = 7, .bursts = {10s, 2s, 3}, .weights = {3, 1}};
  ArrivalSchedule schedule(options);
  ArrivalSchedule same(options);
  const auto arrivals = Until(schedule, 100s);
  const auto again = Until(same, 100s);
  REQUIRE(arrivals.size() == again.size());
  size_t in_burst = 0;
  size_t first = 0;
  for (size_t i = 0; i < arrivals.size(); ++i) {
    CHECK(arrivals[i].at == again[i].at);
    in_burst += arrivals[i].at % 10s < 2s ? 1 : 0;
    first += arrivals[i].organisation == 0 ? 1 : 0;
  }
  // 20 s at 300 and 80 s at 100 requests a second, within five deviations.
  CHECK(std::abs(static_cast<double>(in_burst) - 6000) < 5 * 78);
  CHECK(std::abs(static_cast<double>(arrivals.size()) - 14000) < 5 * 119);
  CHECK(std::abs(static_cast<double>(first) - 10500) < 5 * 113);
}

std::string Delta(const std::string& text) {
  return R"({"choices":[{"delta":{"content":")" + text + R"("}}]})";
}

TEST_CASE("Only the whole answer to the own request passes") {
  const auto check = [](const std::vector<std::string>& events) {
    AnswerCheck answer("m1", 2);
    for (const std::string& event : events) {
      answer.TakeEvent(event);
    }
    return answer.IsWhole();
  };
  const std::string own = Delta("m1 ");
  CHECK(check({own, Delta("t1"), Delta(" t2"), "[DONE]"}));
  CHECK_FALSE(check({own, Delta("t1"), Delta(" t2")}));
  CHECK_FALSE(check({own, Delta("t1"), "[DONE]"}));
  CHECK_FALSE(check({own, Delta(" t2"), Delta("t1"), "[DONE]"}));
  CHECK_FALSE(check({Delta("m2 "), Delta("t1"), Delta(" t2"), "[DONE]"}));
  CHECK_FALSE(check({own, Delta("t1"), "junk", Delta(" t2"), "[DONE]"}));
  CHECK_FALSE(check({own, Delta("t1"), Delta(" t2"), "[DONE]", "[DONE]"}));
  const AnswerCheck answer("m1", 2);
  const auto body = [](const std::string& text, int tokens) {
    return R"({"choices":[{"message":{"content":")" + text +
           R"("}}],"usage":{"completion_tokens":)" + std::to_string(tokens) +
           "}}";
  };
  CHECK(answer.IsWholeBody(body("m1 t1 t2", 2)));
  CHECK_FALSE(answer.IsWholeBody(body("m1 t1 t2", 1)));
  CHECK_FALSE(answer.IsWholeBody(body("m2 t1 t2", 2)));
  CHECK_FALSE(answer.IsWholeBody("{}"));
}

TEST_CASE("Quantiles agree with a sorted list") {
  const bool passed = rc::check([](std::vector<uint16_t> samples) {
    RC_PRE(!samples.empty());
    SampleSet set;
    for (const uint16_t sample : samples) {
      set.Add(std::chrono::milliseconds(sample));
    }
    std::sort(samples.begin(), samples.end());
    for (const double probability : {0.5, 0.95, 0.99}) {
      const double got = set.QuantileMs(probability);
      const auto below = static_cast<double>(
          std::lower_bound(samples.begin(), samples.end(), got) -
          samples.begin());
      const auto up_to = static_cast<double>(
          std::upper_bound(samples.begin(), samples.end(), got) -
          samples.begin());
      const double rank = probability * static_cast<double>(samples.size());
      RC_ASSERT(below <= rank + 1);
      RC_ASSERT(up_to >= rank - 1);
    }
  });
  CHECK(passed);
}

TEST_CASE("The command line is read, and its faults are named") {
  const char* good[] = {"bench", "-t",       "127.0.0.1:80", "--key",
                        "a=k1",  "--weight", "a=2.5",        "--bursts",
                        "5:1:4", "--stream"};
  const auto options = ParseBenchOptions(std::size(good), good);
  REQUIRE(options.has_value());
  CHECK(options.value().callers.at(0).key == "k1");
  CHECK(options.value().callers.at(0).weight == 2.5);
  CHECK(options.value().bursts.factor == 4);
  CHECK(options.value().stream);
  const char* no_target[] = {"bench", "--rate", "5"};
  CHECK_FALSE(ParseBenchOptions(std::size(no_target), no_target).has_value());
  const char* bad_port[] = {"bench", "-t", "127.0.0.1:99999"};
  CHECK_FALSE(ParseBenchOptions(std::size(bad_port), bad_port).has_value());
}

}  // namespace
}  // namespace cowslip
