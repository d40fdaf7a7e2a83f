#include <string>
#include <vector>

#include "gateway_fixture.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

/// The time within which a configuration must be in force everywhere, where
/// the settings name no other.
constexpr Duration kBound = 2000ms;
/// Ends the wait for a change that comes far too late.
constexpr Duration kGiveUp = 6s;

/// \class KeyRotation
/// \brief Replaces the key of an organisation again and again, and measures
/// when the earlier key is refused at every gateway.
class KeyRotation {
 public:
  KeyRotation(GatewayFixture& fixture, std::vector<size_t> gateways)
      : m_fixture(fixture), m_gateways(std::move(gateways)) {}

  /// Writes the next key; returns the time until it is in force everywhere.
  awaitable<Duration> Rotate() {
    const std::string withdrawn = m_key;
    ++m_version;
    m_key = "key1-" + std::to_string(m_version);
    m_fixture.configuration["version"] = m_version;
    m_fixture.configuration["tenants"][0]["api_keys"] = {m_key};
    m_fixture.Publish();
    const MonotonicTime written = MonotonicClock::now();
    for (const size_t gateway : m_gateways) {
      bool refused = false;
      while (!refused && MonotonicClock::now() < written + kGiveUp) {
        HttpRequest request = GatewayFixture::Request("GET", "/once/a", "a");
        request.headers[1].value = withdrawn;
        const Result<HttpResponse> response =
            co_await m_fixture.Send(gateway, std::move(request));
        refused = response.has_value() && response.value().status == 401;
        if (!refused) {
          co_await m_fixture.Sleep(10ms);
        }
      }
    }
    co_return MonotonicClock::now() - written;
  }

 private:
  GatewayFixture& m_fixture;
  const std::vector<size_t> m_gateways;
  std::string m_key = "key1";
  uint64_t m_version = 1;
};

// Waits until a process reads the configuration: what is written next is read
// a whole poll interval later.
awaitable<void> AwaitPoll(GatewayFixture& f) {
  const auto reads = [&] {
    size_t count = 0;
    for (const auto& [call, total] : f.server.calls()) {
      count += call == "watch config" || call == "list config" ? total : 0;
    }
    return count;
  };
  const size_t before = reads();
  while (reads() == before) {
    co_await f.Sleep(1ms);
  }
  co_await f.Sleep(20ms);
}

struct StoreTrouble {
  const char* name;
  ServerFault fault;
  Duration delay{0};
};

TEST_CASE("A withdrawn key is refused in time whatever becomes of watches") {
  const StoreTrouble trouble = GENERATE(
      StoreTrouble{"silent watches", ServerFault::kDeafWatches},
      StoreTrouble{"history forgotten", ServerFault::kNoHistory},
      StoreTrouble{"silent and forgotten", ServerFault::kDeafWithoutHistory},
      StoreTrouble{"slow", ServerFault::kNone, 300ms},
      StoreTrouble{"slow and silent", ServerFault::kDeafWatches, 300ms});
  INFO(trouble.name);
  GatewayFixture f(1);
  constexpr size_t kGateways = 5;
  std::vector<size_t> gateways;
  for (size_t i = 0; i < kGateways; ++i) {
    gateways.push_back(f.AddGateway());
  }
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    // The first polls come early.
    co_await f.Sleep(2s);
    f.server.SetFault(trouble.fault);
    f.server.SetDelay(trouble.delay);
    KeyRotation keys(f, gateways);
    for (int i = 0; i < 5; ++i) {
      co_await AwaitPoll(f);
      const Duration took = co_await keys.Rotate();
      INFO("in force after " << ToMillis(took) << " ms");
      CHECK(took <= kBound);
    }
  });
}

// A gateway that stands still counts as live for up to a second; its turn to
// poll must not delay what the others learn.
TEST_CASE("A gateway that stands still does not delay the others") {
  // One of three turns in a row is that of the gateway.
  const int polls = GENERATE(1, 2, 3);
  const Duration delay = GENERATE(0ms, 300ms);
  INFO("frozen after poll " << polls << ", answers after " << ToMillis(delay)
                            << " ms");
  GatewayFixture f(1);
  const std::vector<size_t> gateways = {f.AddGateway(), f.AddGateway()};
  f.AddKillableGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.Sleep(2s);
    f.server.SetFault(ServerFault::kDeafWatches);
    f.server.SetDelay(delay);
    for (int i = 0; i < polls; ++i) {
      co_await AwaitPoll(f);
    }
    KeyRotation keys(f, gateways);
    f.FreezeGateway();
    const Duration took = co_await keys.Rotate();
    INFO("in force after " << ToMillis(took) << " ms");
    CHECK(took <= kBound);
  });
}

}  // namespace
}  // namespace cowslip
