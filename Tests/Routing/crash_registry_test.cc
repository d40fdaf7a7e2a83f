#include "Routing/crash_registry.h"

#include <catch2/catch.hpp>

namespace cowslip {
namespace {

using namespace std::chrono_literals;
using Status = CrashRegistry::Status;

const Fingerprint kPrint("f");
constexpr MonotonicTime kStart{1h};

TEST_CASE(
    "A crash while other requests run makes a suspect, a crash alone a "
    "quarantine") {
  CrashRegistry registry({});
  registry.RecordCrash(kPrint, false, kStart);
  CHECK(registry.Classify(kPrint, kStart) == Status::kSuspect);
  registry.RecordCrash(kPrint, false, kStart);
  CHECK(registry.Classify(kPrint, kStart) == Status::kSuspect);
  registry.RecordCrash(kPrint, true, kStart);
  CHECK(registry.Classify(kPrint, kStart) == Status::kQuarantined);
}

TEST_CASE("A clearance that arrives late does not lift a quarantine") {
  CrashRegistry registry({});
  registry.ApplyReport({.fingerprint = kPrint, .quarantined = true}, kStart);
  registry.ApplyReport({.fingerprint = kPrint, .cleared = true}, kStart);
  CHECK(registry.Classify(kPrint, kStart) == Status::kQuarantined);
  registry.Release(kPrint);
  CHECK(registry.Classify(kPrint, kStart) == Status::kUnknown);
}

TEST_CASE("Records expire and stay bounded") {
  CrashRegistry registry({.suspicion_lifetime = 1min, .max_records = 2});
  registry.RecordCrash(kPrint, false, kStart);
  CHECK(registry.Classify(kPrint, kStart + 2min) == Status::kUnknown);
  registry.RecordCrash(Fingerprint("g"), false, kStart + 1s);
  registry.RecordCrash(Fingerprint("h"), false, kStart + 2s);
  CHECK(registry.Classify(kPrint, kStart) == Status::kUnknown);
  CHECK(registry.Classify(Fingerprint("h"), kStart) == Status::kSuspect);
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
