#include "Link/peer_link.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <vector>

namespace cowslip {
namespace {

using namespace std::chrono_literals;

// One process with its own io_context. A test simulates a process that does not
// respond by not running the io_context.
struct Peer {
  explicit Peer(const std::string& vm, uint64_t incarnation = 1) {
    PeerLinkOptions options;
    options.self_vm = vm;
    options.self_incarnation = incarnation;
    options.heartbeat_ms = 20;
    options.silence_timeout_ms = 200;
    options.redial_min_ms = 5;
    options.redial_max_ms = 20;
    options.max_queued_bytes = 8 << 20;
    link = std::make_unique<PeerLink>(context, options);
    link->OnUp([this](const std::string& peer, uint64_t seen) {
      events.push_back("up " + peer + " " + std::to_string(seen));
    });
    link->OnDown(
        [this](const std::string& peer) { events.push_back("down " + peer); });
    link->OnFrame("test", [this](const std::string&, const std::string& cbor) {
      frames.push_back(cbor);
    });
    REQUIRE(link->Start() == "");
  }

  void Dial(const Peer& other, const std::string& vm) {
    link->Dial(vm, "127.0.0.1", other.link->port());
  }

  boost::asio::io_context context;
  std::vector<std::string> events;
  std::vector<std::string> frames;
  std::unique_ptr<PeerLink> link;
};

// Runs the peers in turn until `done` returns true. Returns false after 20 s,
// so that a failing test ends.
template <class Done>
bool RunUntil(const std::vector<Peer*>& peers, Done done) {
  const auto end = std::chrono::steady_clock::now() + 20s;
  while (!done()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    for (Peer* peer : peers) {
      peer->context.restart();
      peer->context.run_for(1ms);
    }
  }
  return true;
}

TEST_CASE(
    "Frames arrive in order in both directions, even around a large one") {
  Peer a("a", 7);
  Peer b("b", 8);
  a.Dial(b, "b");
  REQUIRE(RunUntil({&a, &b},
                   [&] { return a.link->IsUp("b") && b.link->IsUp("a"); }));
  CHECK(a.events == std::vector<std::string>{"up b 8"});
  CHECK(b.events == std::vector<std::string>{"up a 7"});

  std::vector<std::string> sent;
  for (int i = 0; i < 50; ++i) {
    sent.push_back(std::string(i == 25 ? 3 << 20 : i, 'x') + std::to_string(i));
    REQUIRE(a.link->Send("b", "test", sent.back()));
    REQUIRE(b.link->Send("a", "test", std::to_string(i)));
  }
  REQUIRE(RunUntil({&a, &b}, [&] {
    return a.frames.size() == 50 && b.frames.size() == 50;
  }));
  CHECK(b.frames == sent);
  CHECK(a.frames.back() == "49");
  CHECK(a.link->bytes_sent() > (3u << 20));
  CHECK(b.link->bytes_received() > (3u << 20));
  CHECK_FALSE(a.link->Send("c", "test", "x"));
}

TEST_CASE(
    "A link to a peer that stops responding goes down and is restored later") {
  Peer a("a");
  Peer b("b");
  a.Dial(b, "b");
  REQUIRE(RunUntil({&a, &b}, [&] { return a.link->IsUp("b"); }));
  REQUIRE(RunUntil({&a}, [&] { return !a.link->IsUp("b"); }));
  REQUIRE(RunUntil({&a}, [&] { return a.events.back() == "down b"; }));
  CHECK_FALSE(a.link->Send("b", "test", "lost"));
  REQUIRE(RunUntil({&a, &b}, [&] { return a.link->IsUp("b"); }));
  REQUIRE(a.link->Send("b", "test", "after"));
  REQUIRE(RunUntil({&a, &b}, [&] { return !b.frames.empty(); }));
  CHECK(b.frames == std::vector<std::string>{"after"});
}

TEST_CASE(
    "A restarted peer is dialled again and its new incarnation is reported") {
  Peer a("a");
  auto b = std::make_unique<Peer>("b", 1);
  a.Dial(*b, "b");
  REQUIRE(RunUntil({&a, b.get()}, [&] { return a.link->IsUp("b"); }));
  b->link->Stop();
  REQUIRE(RunUntil({&a, b.get()}, [&] { return !a.link->IsUp("b"); }));
  const size_t events_of_stopped = b->events.size();
  Peer restarted("b", 2);
  a.Dial(restarted, "b");
  REQUIRE(
      RunUntil({&a, b.get(), &restarted}, [&] { return a.link->IsUp("b"); }));
  CHECK(a.events == std::vector<std::string>{"up b 1", "down b", "up b 2"});
  CHECK(b->events.size() == events_of_stopped);
}

TEST_CASE("Two VMs that dial each other keep one link, none reported down") {
  Peer a("a");
  Peer b("b");
  a.Dial(b, "b");
  b.Dial(a, "a");
  const auto both_up = [&] { return a.link->IsUp("b") && b.link->IsUp("a"); };
  REQUIRE(RunUntil({&a, &b}, both_up));
  for (int i = 0; i < 100; ++i) {
    REQUIRE(RunUntil({&a, &b}, both_up));
    a.link->Send("b", "test", std::to_string(i));
    b.link->Send("a", "test", std::to_string(i));
    a.context.restart();
    a.context.run_for(1ms);
    b.context.restart();
    b.context.run_for(1ms);
  }
  REQUIRE(RunUntil({&a, &b}, [&] {
    return !a.frames.empty() && a.frames.back() == "99" && !b.frames.empty() &&
           b.frames.back() == "99";
  }));
  for (const Peer* peer : {&a, &b}) {
    for (const std::string& event : peer->events) {
      CHECK(event.rfind("up", 0) == 0);
    }
  }
}

TEST_CASE(
    "A connection of a new incarnation of a VM replaces the earlier one") {
  Peer a("a");
  Peer old_b("b", 1);
  Peer new_b("b", 2);
  old_b.Dial(a, "a");
  REQUIRE(RunUntil({&a, &old_b}, [&] { return a.link->IsUp("b"); }));
  new_b.Dial(a, "a");
  REQUIRE(RunUntil({&a, &new_b}, [&] { return a.events.size() == 2; }));
  REQUIRE(a.link->Send("b", "test", "x"));
  REQUIRE(RunUntil({&a, &new_b}, [&] { return !new_b.frames.empty(); }));
  CHECK(a.events == std::vector<std::string>{"up b 1", "up b 2"});
  CHECK(old_b.frames.empty());
}

TEST_CASE("Malformed input closes only the connection that sent it") {
  Peer a("a");
  Peer b("b");
  a.Dial(b, "b");
  REQUIRE(RunUntil({&a, &b}, [&] { return a.link->IsUp("b"); }));
  const std::string handshake =
      "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
      "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
      "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
  const std::vector<std::string> attacks = {
      "\x00\xff\x13garbage\r\n\r\n", handshake + "\xff\xff\xff\xff",
      // A masked binary frame that is too short for its channel name.
      handshake + std::string("\x82\x81\0\0\0\0\x7f", 7),
      // A frame on another channel before any hello.
      handshake + std::string("\x82\x83\0\0\0\0\x01tx", 9)};
  for (const std::string& attack : attacks) {
    boost::asio::ip::tcp::socket socket(b.context);
    socket.connect(
        {boost::asio::ip::make_address("127.0.0.1"), b.link->port()});
    boost::asio::write(socket, boost::asio::buffer(attack));
    socket.non_blocking(true);
    REQUIRE(RunUntil({&a, &b}, [&] {
      char bytes[512];
      boost::system::error_code error;
      socket.read_some(boost::asio::buffer(bytes), error);
      return error && error != boost::asio::error::would_block;
    }));
  }
  CHECK(a.events.size() == 1);
  CHECK(b.events.size() == 1);
  CHECK(a.link->Send("b", "test", "still here"));
}

TEST_CASE("A link whose send queue exceeds its limit is closed") {
  Peer a("a");
  Peer b("b");
  a.Dial(b, "b");
  REQUIRE(RunUntil({&a, &b}, [&] { return a.link->IsUp("b"); }));
  const std::string frame(1 << 20, 'x');
  int sent = 0;
  while (a.link->Send("b", "test", frame)) {
    ++sent;
    REQUIRE(sent < 20);
  }
  CHECK(sent >= 7);
  CHECK_FALSE(a.link->IsUp("b"));
  REQUIRE(RunUntil({&a, &b}, [&] { return a.events.back() == "down b"; }));
}

TEST_CASE("No handler runs after Stop, even if a handler calls it") {
  Peer a("a");
  Peer b("b");
  int calls = 0;
  a.link->OnFrame("stop", [&](const std::string&, const std::string&) {
    ++calls;
    a.link->Stop();
  });
  a.Dial(b, "b");
  REQUIRE(RunUntil({&a, &b}, [&] { return b.link->IsUp("a"); }));
  for (int i = 0; i < 10; ++i) {
    b.link->Send("a", "stop", "x");
  }
  REQUIRE(RunUntil({&a, &b}, [&] { return b.events.back() == "down a"; }));
  CHECK(calls == 1);
  CHECK(a.events.size() == 1);
}

}  // namespace
}  // namespace cowslip
