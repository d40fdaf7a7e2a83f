#include <algorithm>
#include <deque>
#include <vector>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "Jobs/waiting_token_core.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

const RouteId kRoute("r");
const OrganisationId kMill("mill");

JobWork Work(const std::string& job, uint64_t created, uint64_t tokens) {
  return {.job = JobKey(job),
          .organisation = kMill,
          .route = kRoute,
          .created = ObjectVersion(created),
          .items = 1,
          .tokens = tokens};
}

/// The core of one gateway.
struct Fixture {
  explicit Fixture(uint64_t limit) { SetLimit(limit, MonotonicTime(100s)); }

  void SetLimit(uint64_t limit, MonotonicTime now) {
    core.Handle(WaitingTokenLimitsChanged{{{kRoute, limit}}}, now);
  }
  WaitingTokenAction Request(const JobWork& job,
                             std::vector<JobWork> work,
                             MonotonicTime now = MonotonicTime(100s)) {
    return core.Handle(WaitingTokensRequested{.job = job.job,
                                              .organisation = job.organisation,
                                              .route = job.route,
                                              .tokens = job.tokens,
                                              .created = job.created,
                                              .limits_since = now,
                                              .work = std::move(work)},
                       now);
  }
  bool Fits(const JobWork& job, std::vector<JobWork> work) {
    return std::holds_alternative<WaitingTokensFit>(
        Request(job, std::move(work)));
  }

  WaitingTokenCore core{WaitingTokenOptions{}};
};

TEST_CASE("A job fits up to the limit, not beyond it") {
  Fixture f(100);
  CHECK(f.Fits(Work("a", 2, 60), {Work("b", 1, 40)}));
  CHECK_FALSE(f.Fits(Work("a", 2, 61), {Work("b", 1, 40)}));
  Fixture unlimited(0);
  CHECK(unlimited.Fits(Work("a", 2, 61), {Work("b", 1, 1'000'000)}));
}

TEST_CASE("Other organisations, other routes and the job itself do not count") {
  Fixture f(100);
  JobWork studio = Work("b", 1, 80);
  studio.organisation = OrganisationId("studio");
  JobWork other_route = Work("c", 1, 80);
  other_route.route = RouteId("other");
  CHECK(f.Fits(Work("a", 2, 60), {studio, other_route, Work("a", 2, 60)}));
}

TEST_CASE(
    "Of two jobs that two gateways admit at once, one exceeds the limit") {
  Fixture f(100);
  const JobWork first = Work("a", 5, 60);
  const JobWork second = Work("b", 6, 60);
  CHECK(f.Fits(first, {first, second}));
  CHECK_FALSE(f.Fits(second, {first, second}));
}

TEST_CASE("All other jobs count while the order of creation is not known") {
  Fixture f(100);
  CHECK_FALSE(f.Fits(Work("a", 0, 60), {Work("b", 6, 60)}));
  CHECK_FALSE(f.Fits(Work("a", 5, 60), {Work("b", 0, 60)}));
}

TEST_CASE("A lowered limit counts at once, and for jobs created later too") {
  Fixture f(100);
  f.SetLimit(50, MonotonicTime(101s));
  const auto later = f.Request(Work("a", 2, 51), {}, MonotonicTime(101s));
  CHECK(std::holds_alternative<WaitingTokensExceeded>(later));
  CHECK(f.core.LoweredAt(kRoute) == MonotonicTime(101s));
  const auto action =
      f.core.Handle(WaitingTokensRequested{.job = JobKey("a"),
                                           .organisation = kMill,
                                           .route = kRoute,
                                           .tokens = 30,
                                           .created = ObjectVersion(2),
                                           .limits_since = MonotonicTime(101s),
                                           .count_later_jobs = true,
                                           .work = {Work("b", 3, 30)}},
                    MonotonicTime(101s));
  CHECK(std::holds_alternative<WaitingTokensExceeded>(action));
}

TEST_CASE("A job that was offered under a higher limit may be confirmed") {
  Fixture f(100);
  f.SetLimit(50, MonotonicTime(101s));
  const auto confirm = [&](MonotonicTime offered) {
    return f.core.Handle(WaitingTokensRequested{.job = JobKey("a"),
                                                .organisation = kMill,
                                                .route = kRoute,
                                                .tokens = 90,
                                                .created = ObjectVersion(2),
                                                .limits_since = offered},
                         MonotonicTime(102s));
  };
  CHECK(std::holds_alternative<WaitingTokensFit>(confirm(MonotonicTime(100s))));
  CHECK(std::holds_alternative<WaitingTokensExceeded>(
      confirm(MonotonicTime(102s))));
}

TEST_CASE("Retry-After follows from the rate at which the work finishes") {
  Fixture f(1000);
  MonotonicTime now(100s);
  // Ten tokens a second finish.
  for (uint64_t left = 1000; left > 700; left -= 5) {
    now += 500ms;
    f.core.Handle(WaitingWorkSampled{{Work("b", 1, left)}}, now);
  }
  const auto action = f.Request(Work("a", 2, 350), {Work("b", 1, 700)}, now);
  const auto* exceeded = std::get_if<WaitingTokensExceeded>(&action);
  REQUIRE(exceeded != nullptr);
  CHECK(exceeded->waiting == 700);
  CHECK(exceeded->limit == 1000);
  CHECK(exceeded->retry_after > 4s);
  CHECK(exceeded->retry_after < 6s);
}

TEST_CASE("A job that alone exceeds the limit is not told to come back") {
  Fixture f(100);
  const auto action = f.Request(Work("a", 2, 101), {});
  CHECK(std::get<WaitingTokensExceeded>(action).retry_after ==
        Duration::zero());
}

// Gateways see what has finished late, and decide in any order; what they see
// of the creation of jobs reaches up to the job that they decide on.
TEST_CASE("The limit holds whatever gateways see of finished work") {
  rc::check([] {
    const uint64_t limit = *rc::gen::inRange<uint64_t>(50, 200);
    Fixture f(limit);
    struct Job {
      JobWork work;
      uint64_t left = 0;
      bool decided = false;
      bool accepted = false;
    };
    std::deque<Job> jobs;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, 1000)));
    for (const auto& [kind, number] : steps) {
      if (kind == 0 || jobs.empty()) {
        const auto created = static_cast<uint64_t>(jobs.size() + 1);
        const uint64_t tokens = 1 + number % 80;
        jobs.push_back(
            {Work(std::to_string(created), created, tokens), tokens});
        continue;
      }
      Job& job = jobs[number % jobs.size()];
      if (kind == 1) {
        job.left = job.accepted ? job.left / 2 : job.left;
        continue;
      }
      if (job.decided) {
        continue;
      }
      std::vector<JobWork> view;
      uint64_t waiting = job.work.tokens;
      for (const Job& other : jobs) {
        if (&other != &job && (!other.decided || other.accepted)) {
          JobWork seen = other.work;
          seen.tokens = number % 2 == 0 ? other.left : seen.tokens;
          view.push_back(seen);
        }
        waiting += other.accepted ? other.left : 0;
      }
      job.decided = true;
      job.accepted = f.Fits(job.work, view);
      if (job.accepted) {
        RC_ASSERT(waiting <= limit);
      }
    }
  });
}

}  // namespace
}  // namespace cowslip
