#include "Backend/order_core.h"

#include <random>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

namespace cowslip {
namespace {

// The object `orders/VM` in the store, with conditional writes.
struct FenceStore {
  std::optional<OrderFence> fence;
  ObjectVersion version;

  bool Write(const WriteFence& write) {
    const bool holds =
        write.expected_version.has_value()
            ? fence.has_value() && *write.expected_version == version
            : !fence.has_value();
    if (holds) {
      fence = write.fence;
      ++version;
    }
    return holds;
  }
};

// One incarnation of a sidecar whose engine ignores fencing numbers. Its store
// calls fail at random.
class Sidecar {
 public:
  Sidecar(FenceStore& store, std::mt19937& random, std::string writer)
      : m_store(store), m_random(random), m_core(std::move(writer)) {}

  // Returns the response; appends the fencing number to `applied` if the order
  // was sent to the engine.
  RespondToOrder Order(uint64_t fencing, std::vector<uint64_t>& applied) {
    ++m_last;
    OrderEvent event = OrderReceived{.order = OrderId(m_last),
                                     .fencing = FencingNumber(fencing)};
    while (true) {
      const auto actions = m_core.Handle(event, MonotonicTime());
      REQUIRE(actions.size() == 1);
      if (const auto* response = std::get_if<RespondToOrder>(&actions[0])) {
        return *response;
      }
      if (std::holds_alternative<SendOrder>(actions[0])) {
        applied.push_back(fencing);
        event = EngineOrderDone{.order = OrderId(m_last), .status = 200};
      } else if (std::holds_alternative<ReadFence>(actions[0])) {
        event = Read();
      } else {
        event = Write(std::get<WriteFence>(actions[0]));
      }
    }
  }

 private:
  OrderEvent Read() {
    if (m_random() % 8 == 0) {
      return FenceStoreFailed{ErrorKind::kUnavailable};
    }
    return FenceRead{.fence = m_store.fence, .version = m_store.version};
  }
  OrderEvent Write(const WriteFence& write) {
    switch (m_random() % 6) {
      case 0:  // The request was lost.
        return FenceStoreFailed{ErrorKind::kInDoubt};
      case 1:  // The response was lost.
        m_store.Write(write);
        return FenceStoreFailed{ErrorKind::kTimeout};
      case 2:
        return FenceStoreFailed{ErrorKind::kUnavailable};
      default:
        break;
    }
    if (!m_store.Write(write)) {
      return FenceStoreFailed{ErrorKind::kConflict};
    }
    return FenceWritten{m_store.version};
  }

  FenceStore& m_store;
  std::mt19937& m_random;
  OrderCore m_core;
  uint64_t m_last = 0;
};

TEST_CASE(
    "The engine never gets an order with a lower fencing number than before") {
  CHECK(rc::check([](const std::vector<uint8_t>& steps, uint32_t seed) {
    std::mt19937 random(seed);
    FenceStore store;
    auto sidecar = std::make_unique<Sidecar>(store, random, "b1/0");
    std::vector<uint64_t> applied;
    int restarts = 0;
    for (const uint8_t step : steps) {
      if (step % 8 == 0) {
        sidecar = std::make_unique<Sidecar>(store, random,
                                            "b1/" + std::to_string(++restarts));
        continue;
      }
      const size_t before = applied.size();
      const RespondToOrder response = sidecar->Order(step / 8, applied);
      const bool ran = applied.size() > before;
      RC_ASSERT(ran == (response.outcome == OrderOutcome::kResponded));
    }
    RC_ASSERT(std::is_sorted(applied.begin(), applied.end()));
  }));
}

TEST_CASE(
    "Without the store, orders with the current fencing number are sent") {
  std::mt19937 random(1);
  OrderCore core("b1/1");
  const auto now = MonotonicTime();
  core.Handle(OrderReceived{.order = OrderId(1), .fencing = FencingNumber(3)},
              now);
  core.Handle(FenceRead{}, now);
  core.Handle(FenceWritten{ObjectVersion(1)}, now);
  core.Handle(EngineOrderDone{.order = OrderId(1), .status = 200}, now);
  const auto same = core.Handle(
      OrderReceived{.order = OrderId(2), .fencing = FencingNumber(3)}, now);
  CHECK(std::holds_alternative<SendOrder>(same.at(0)));
  core.Handle(EngineOrderDone{.order = OrderId(2), .status = 0}, now);
  const auto newer = core.Handle(
      OrderReceived{.order = OrderId(3), .fencing = FencingNumber(4)}, now);
  REQUIRE(std::holds_alternative<WriteFence>(newer.at(0)));
  const auto refused =
      core.Handle(FenceStoreFailed{ErrorKind::kUnavailable}, now);
  CHECK(std::get<RespondToOrder>(refused.at(0)).outcome ==
        OrderOutcome::kStoreUnavailable);
}

}  // namespace
}  // namespace cowslip
