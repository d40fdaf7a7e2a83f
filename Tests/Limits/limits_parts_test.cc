#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <deque>

#include "Limits/ownership_lease.h"
#include "Limits/shard_claim.h"
#include "Limits/shard_holder.h"
#include "Limits/share_ledger.h"
#include "Limits/witness.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

const MonotonicTime kStart{1000s};
const OwnedShard kFirst{LimitsShard(1), LimitsGeneration(1)};
const OrganisationId kOrganisation("o");
const ProcessRef kA{VmId("a"), Incarnation(1)};
const ProcessRef kB{VmId("b"), Incarnation(2)};
const ProcessRef kC{VmId("c"), Incarnation(3)};

TEST_CASE("A witness approves only when none of its promises is outstanding") {
  Witness witness(kStart);
  // The previous process of this VM may have given a promise.
  CHECK_FALSE(witness.Approve(kFirst, kStart + kPromiseDuration));
  const MonotonicTime later = kStart + 1min;
  REQUIRE(witness.Promise(kFirst, later));
  CHECK_FALSE(witness.Approve(kFirst, later + kPromiseDuration));
  REQUIRE(witness.Approve(kFirst, later + 2 * kPromiseDuration));
  CHECK_FALSE(witness.Promise(kFirst, later + 1h));
  CHECK(witness.Promise({kFirst.shard, LimitsGeneration(2)}, later + 1h));
}

TEST_CASE("An owner needs a majority of each witness set that may be stored") {
  OwnershipLease lease;
  lease.Confirm({kA, kB, kC}, kStart);
  lease.AddPromise(kA, kStart);
  CHECK(lease.expiry() < kStart);
  lease.AddPromise(kB, kStart + 1s);
  CHECK(lease.expiry() == kStart + kPromiseDuration);
  lease.AddUncertainWrite({kC});
  CHECK(lease.expiry() < kStart);
  lease.AddPromise(kC, kStart + 2s);
  CHECK(lease.expiry() == kStart + 1s + kPromiseDuration);
  // A restarted witness counts only once the record names its new process.
  lease.Confirm({kC}, kStart);
  lease.AddPromise({kC.vm, Incarnation(9)}, kStart + 3s);
  CHECK(lease.expiry() < kStart);
  // The lease also ends kRecordLease after the record was written.
  lease.Confirm({kB}, kStart);
  lease.AddPromise(kB, kStart + 10h);
  CHECK(lease.expiry() == kStart + kRecordLease);
}

LimitsRecord RecordOfA() {
  return {.generation = LimitsGeneration(4),
          .owner = kA,
          .witnesses = {kA, kB, kC},
          .write_token = 1};
}

// Passes a read of `record` and the approvals to a claim. Returns its write, if
// it may write.
std::optional<WriteRecord> WriteAfter(ShardClaim& claim,
                                      const LimitsRecord& record,
                                      const std::vector<ProcessRef>& approving,
                                      MonotonicTime now = kStart) {
  const ObjectVersion version(7);
  claim.NextStep({kB}, 5, now);
  CHECK_FALSE(claim.HandleRead(record, version, now));
  auto step = claim.NextStep({kB}, 5, now);
  for (const ProcessRef& witness : approving) {
    claim.HandleApproval(witness.vm, record.generation, version);
    step = claim.NextStep({kB}, 5, now);
  }
  const auto* write = step ? std::get_if<WriteRecord>(&*step) : nullptr;
  return write != nullptr ? std::optional(*write) : std::nullopt;
}

TEST_CASE("A claim needs a majority, and waits for the holders' leases") {
  ShardClaim claim(LimitsShard(1), kB, LimitsGeneration(0));
  SECTION("one of three approvals is too few") {
    CHECK_FALSE(WriteAfter(claim, RecordOfA(), {kB}));
  }
  SECTION("two of three are enough") {
    const auto write = WriteAfter(claim, RecordOfA(), {kB, kC});
    REQUIRE(write);
    CHECK(write->expected_version == ObjectVersion(7));
    CHECK(write->record.generation == LimitsGeneration(5));
    const auto won = claim.HandleWritten(5, ObjectVersion(8), kStart);
    REQUIRE(won);
    CHECK(won->usable_from > kStart + kShareLease);
    CHECK(won->record.tokens.empty());
  }
  SECTION("a write whose reply was lost is recognised by reading") {
    const auto write = WriteAfter(claim, RecordOfA(), {kB, kC});
    REQUIRE(write);
    claim.HandleStoreFailure(kStart);
    const auto won =
        claim.HandleRead(write->record, ObjectVersion(8), kStart + 1s);
    REQUIRE(won);
    CHECK(won->usable_from > kStart + 1s + kShareLease);
  }
  SECTION("approvals for a version that has changed are not counted") {
    const auto write = WriteAfter(claim, RecordOfA(), {kB});
    claim.NextStep({kB}, 5, kStart + 1min);
    claim.HandleRead(RecordOfA(), ObjectVersion(8), kStart + 1min);
    claim.HandleApproval(kC.vm, LimitsGeneration(4), ObjectVersion(8));
    const auto step = claim.NextStep({kB}, 5, kStart + 2min);
    CHECK_FALSE((step && std::holds_alternative<WriteRecord>(*step)));
  }
  SECTION("a released shard continues with its remaining tokens") {
    LimitsRecord released = RecordOfA();
    released.released = true;
    released.tokens["o"] = 3;
    const auto write = WriteAfter(claim, released, {});
    REQUIRE(write);
    const auto won = claim.HandleWritten(5, ObjectVersion(8), kStart);
    REQUIRE(won);
    CHECK(won->usable_from == kStart);
    CHECK(won->record.tokens.at("o") == 3);
  }
}

LimitTable TableOf(double rate, double burst) {
  LimitTable table;
  table.Replace({{kOrganisation, rate, burst}});
  return table;
}

// An owner and one holder; the test passes the messages between them.
struct LentShares {
  LimitTable limits = TableOf(100, 100);
  ShareLedger ledger{{{{"o", 100.0}}, 0s}, kStart};
  ShardHolder holder{kFirst};
  uint64_t sequence = 0;

  ShareReport Report(double demand, MonotonicTime now) {
    std::vector<OrganisationDemand> rates;
    if (demand > 0) {
      rates.push_back({kOrganisation, demand});
    }
    return holder.MakeReport(kB.incarnation, ++sequence, rates, now);
  }
  std::optional<ShareLease> Exchange(double demand, MonotonicTime now) {
    const auto lease =
        ledger.HandleReport(kB.vm, Report(demand, now), limits, now);
    if (lease) {
      holder.HandleLease(*lease, limits, now);
    }
    return lease;
  }
  int TakeAll(MonotonicTime now) {
    int taken = 0;
    while (holder.TryTake(*limits.Find(kOrganisation), 1, now)) {
      ++taken;
    }
    while (!ledger.TryTake(*limits.Find(kOrganisation), 1, Requester::kSelf,
                           now)) {
      ++taken;
    }
    return taken;
  }
};

TEST_CASE(
    "Lent shares carry their tokens exactly once and are returned on recall") {
  LentShares lent;
  lent.Exchange(50, kStart);
  const ShareReport before_grant = lent.Report(50, kStart);
  const auto grant =
      lent.ledger.HandleReport(kB.vm, before_grant, lent.limits, kStart);
  REQUIRE(grant);
  REQUIRE(grant->grant.number == 1);
  for (int copy = 0; copy < 3; ++copy) {
    lent.holder.HandleLease(*grant, lent.limits, kStart);
  }
  // A duplicate of the report arrives later.
  lent.ledger.HandleReport(kB.vm, before_grant, lent.limits, kStart);
  SECTION("the sum is the burst") {
    CHECK(lent.TakeAll(kStart) == 100);
    CHECK(lent.TakeAll(kStart + 100ms) == 10);
  }
  SECTION("after a recall the owner holds all shares") {
    for (int round = 0; round < 4; ++round) {
      lent.Exchange(0, kStart);
    }
    CHECK(lent.ledger.HoldsAllShares());
    CHECK_FALSE(lent.holder.HasShares());
    CHECK(lent.TakeAll(kStart) == 100);
  }
  SECTION(
      "a holder stops by its own clock before the owner reclaims its shares") {
    const MonotonicTime end = kStart + kShareLease;
    lent.TakeAll(end);
    lent.ledger.ExpireSessions(lent.limits, end);
    CHECK_FALSE(lent.ledger.HoldsAllShares());
    CHECK_FALSE(
        lent.holder.TryTake(*lent.limits.Find(kOrganisation), 1, end + 10s));
    lent.ledger.ExpireSessions(lent.limits, end + 10s);
    CHECK(lent.ledger.HoldsAllShares());
    // The fraction is reclaimed without tokens: only the owner's own share was
    // refilled.
    CHECK(lent.TakeAll(end + 10s) < 100);
  }
}

TEST_CASE("A raised limit does not apply to the time before it") {
  LentShares lent;
  lent.Exchange(50, kStart);
  lent.Exchange(50, kStart);
  lent.limits = TableOf(1, 100);
  lent.TakeAll(kStart);
  const MonotonicTime raised = kStart + 2s;
  lent.ledger.RefillOwnShare(*lent.limits.Find(kOrganisation), raised);
  lent.holder.RefillShare(*lent.limits.Find(kOrganisation), raised);
  lent.limits = TableOf(1000, 1000);
  CHECK(lent.TakeAll(raised) <= 2);
}

TEST_CASE("A share with delayed admissions never exceeds an exact bucket") {
  CHECK(rc::check([] {
    const double rate = *rc::gen::inRange(1, 200);
    const double burst = *rc::gen::inRange(1, 50);
    const OrganisationLimit limit{kOrganisation, rate, burst};
    Share share(kWholeShare, burst, kStart);
    std::multimap<MonotonicTime, double> admissions;
    MonotonicTime now = kStart;
    for (int i = 0; i < 200; ++i) {
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 60));
      const bool is_delayed = *rc::gen::arbitrary<bool>();
      const Duration delay =
          is_delayed
              ? Duration(std::chrono::milliseconds(*rc::gen::inRange(0, 50)))
              : Duration::zero();
      const Duration bound =
          is_delayed ? kMaxLimitCheckReplyAge : Duration::zero();
      if (share.TryTake(1, bound, limit, now)) {
        admissions.emplace(now + delay, 1);
      }
    }
    Share exact(kWholeShare, burst, kStart);
    for (const auto& [time, cost] : admissions) {
      exact.Refill(limit, time);
      RC_ASSERT(exact.TryTake(cost - 1e-6, Duration::zero(), limit, time));
    }
  }));
}

}  // namespace
}  // namespace cowslip
