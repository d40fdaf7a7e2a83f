#include "port_range.h"

#include <sys/wait.h>
#include <unistd.h>

#include <set>

#include <catch2/catch.hpp>

namespace cowslip {
namespace {

// Otherwise both could find a port free before either of them uses it.
TEST_CASE("Test programs with the same first range do not share ports") {
  PortRange here(42);
  REQUIRE(here.number() >= 0);
  const pid_t other = ::fork();
  if (other == 0) {
    PortRange there(42);
    ::_exit(there.number());
  }
  int status = 0;
  ::waitpid(other, &status, 0);
  REQUIRE(WIFEXITED(status));
  CHECK(WEXITSTATUS(status) != here.number());
  CHECK(WEXITSTATUS(status) < PortRange::kRanges);
  std::set<uint16_t> ports;
  for (int i = 0; i < 20; ++i) {
    ports.insert(here.Next());
  }
  CHECK(ports.size() == 20);
  CHECK(!ports.contains(0));
}

}  // namespace
}  // namespace cowslip
