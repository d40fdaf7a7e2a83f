#include "Gateway/peer_documents.h"
#include "gateway_fixture.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

// Guards against a gateway that its peers have removed after a long silence:
// none of them sent it anything any more.
TEST_CASE("A gateway whose registration was removed registers again") {
  GatewayFixture f(0);
  f.AddGateway(f.server.port(), "vm-a");
  f.AddGateway(f.server.port(), "vm-b");
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.Sleep(300ms);
    REQUIRE(f.store.Find(kPeerKind, "vm-a") != nullptr);
    f.store.Erase(kPeerKind, "vm-a");
    for (int i = 0; i < 100 && !f.store.Find(kPeerKind, "vm-a"); ++i) {
      co_await f.Sleep(20ms);
    }
    REQUIRE(f.store.Find(kPeerKind, "vm-a") != nullptr);
    CHECK(DecodePeer(*f.store.Find(kPeerKind, "vm-a"))->incarnation ==
          Incarnation(100));
  });
}

// Guards against the removal of a silent peer that the store carries out after
// the peer has come back.
TEST_CASE("A late removal does not take away a later registration") {
  GatewayFixture f(0);
  f.remove_peers_after = 500ms;
  nlohmann::json lost = EncodePeer({.vm = VmId("lost"),
                                    .address = Endpoint{.port = 1},
                                    .incarnation = Incarnation(1)});
  f.store.Put(kPeerKind, "lost", lost);
  f.store.delays_removals = true;
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    const std::string removal = std::string("DELETE ") + kPeerKind;
    for (int i = 0; i < 100 && !f.server.calls().contains(removal); ++i) {
      co_await f.Sleep(50ms);
    }
    REQUIRE(f.server.calls().contains(removal));
    co_await f.Sleep(50ms);
    lost["incarnation"] = Incarnation(2);
    f.store.Put(kPeerKind, "lost", lost);
    f.store.DoLateWrites();
    CHECK(f.store.Find(kPeerKind, "lost") != nullptr);
  });
}

}  // namespace
}  // namespace cowslip
