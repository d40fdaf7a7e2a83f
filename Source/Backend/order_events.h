#ifndef SOURCE_BACKEND_ORDER_EVENTS_H_
#define SOURCE_BACKEND_ORDER_EVENTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include <nlohmann/json.hpp>

#include "Base/error.h"
#include "Base/ids.h"

namespace cowslip {

/// Identifies an order within this process.
using OrderId = StrongNumber<struct OrderIdTag, uint64_t>;

/// \class OrderFence
/// \brief The object `orders/VM`: the highest fencing number for which orders
/// may have been sent to the engine, and the token of the process that wrote
/// it.
struct OrderFence {
  FencingNumber fencing;
  std::string writer;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(OrderFence, fencing, writer)

// Events.

/// A controller has sent an order.
struct OrderReceived {
  OrderId order;
  FencingNumber fencing;
  std::string body;
};

/// The fence has been read from the store; no value if none exists yet.
struct FenceRead {
  std::optional<OrderFence> fence;
  ObjectVersion version;
};

/// The fence has been written.
struct FenceWritten {
  ObjectVersion version;
};

/// A call to the store has failed.
struct FenceStoreFailed {
  ErrorKind kind = ErrorKind::kUnavailable;
};

/// The engine has responded to an order, or the call has failed.
struct EngineOrderDone {
  OrderId order;
  /// The engine's HTTP status; 0 when the call failed.
  int status = 0;
  std::string body;
};

using OrderEvent = std::variant<OrderReceived,
                                FenceRead,
                                FenceWritten,
                                FenceStoreFailed,
                                EngineOrderDone>;

// Actions.

/// Reads the fence from the store.
struct ReadFence {};

/// Writes the fence on condition that it still has `expected_version`, or that
/// it is absent if there is no expected version.
struct WriteFence {
  OrderFence fence;
  std::optional<ObjectVersion> expected_version;
};

/// Sends an order to the engine, without retries.
struct SendOrder {
  OrderId order;
  std::string body;
};

/// How an order ended.
enum class OrderOutcome {
  /// The engine has responded; its status and body are passed on.
  kResponded,
  /// Not sent, because its fencing number is lower than the current one.
  kStale,
  /// Not sent, because the current fencing number could not be read from the
  /// store or raised in it.
  kStoreUnavailable,
  /// May have been applied: the call to the engine failed.
  kInDoubt,
};

/// Responds to the controller.
struct RespondToOrder {
  OrderId order;
  OrderOutcome outcome = OrderOutcome::kResponded;
  FencingNumber current;
  int status = 0;
  std::string body;
};

using OrderAction =
    std::variant<ReadFence, WriteFence, SendOrder, RespondToOrder>;

}  // namespace cowslip

#endif  // SOURCE_BACKEND_ORDER_EVENTS_H_
