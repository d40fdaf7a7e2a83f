#include "Routing/crash_registry.h"

#include <catch2/catch.hpp>

namespace cowslip {
namespace {

using namespace std::chrono_literals;
using Verdict = CrashRegistry::Verdict;

const Fingerprint kPrint("f");
constexpr MonotonicTime kStart{1h};

TEST_CASE("A crash beside others makes a suspect, alone a quarantine") {
  CrashRegistry registry({});
  registry.Crashed(kPrint, false, kStart);
  CHECK(registry.Judge(kPrint, kStart) == Verdict::kSuspect);
  registry.Crashed(kPrint, false, kStart);
  CHECK(registry.Judge(kPrint, kStart) == Verdict::kSuspect);
  registry.Crashed(kPrint, true, kStart);
  CHECK(registry.Judge(kPrint, kStart) == Verdict::kQuarantined);
}

TEST_CASE("A late clearance does not lift a quarantine") {
  CrashRegistry registry({});
  registry.Learn({.fingerprint = kPrint, .quarantined = true}, kStart);
  registry.Learn({.fingerprint = kPrint, .cleared = true}, kStart);
  CHECK(registry.Judge(kPrint, kStart) == Verdict::kQuarantined);
  registry.Release(kPrint);
  CHECK(registry.Judge(kPrint, kStart) == Verdict::kUnknown);
}

TEST_CASE("Records expire and stay bounded") {
  CrashRegistry registry({.suspicion_lifetime = 1min, .max_records = 2});
  registry.Crashed(kPrint, false, kStart);
  CHECK(registry.Judge(kPrint, kStart + 2min) == Verdict::kUnknown);
  registry.Crashed(Fingerprint("g"), false, kStart + 1s);
  registry.Crashed(Fingerprint("h"), false, kStart + 2s);
  CHECK(registry.Judge(kPrint, kStart) == Verdict::kUnknown);
  CHECK(registry.Judge(Fingerprint("h"), kStart) == Verdict::kSuspect);
}

TEST_CASE("Fingerprints differ by organisation, route and body") {
  const auto print = [](const char* org, const char* route, const char* body) {
    return FingerprintOf(OrganisationId(org), route, body);
  };
  CHECK(print("a", "b", "c") == print("a", "b", "c"));
  CHECK(print("ab", "", "c") != print("a", "b", "c"));
  CHECK(print("a", "b", "c") != print("a", "b", "d"));
}

}  // namespace
}  // namespace cowslip
