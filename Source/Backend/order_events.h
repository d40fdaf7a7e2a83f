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

/// One order on its way through this process.
using OrderId = StrongNumber<struct OrderIdTag, uint64_t>;

/// \class OrderFence
/// \brief The object `orders/VM`: the highest fencing number that was let
/// through to the engine, and a token that tells whose write it was.
struct OrderFence {
  FencingNumber fencing;
  std::string writer;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(OrderFence, fencing, writer)

// Events.

/// A decider sends an order.
struct OrderReceived {
  OrderId order;
  FencingNumber fencing;
  std::string body;
};

/// The fence as the store has it; no value when there is none yet.
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

/// The engine has answered an order, or the call has failed.
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

/// Writes the fence; only if absent where there is no version.
struct WriteFence {
  OrderFence fence;
  std::optional<ObjectVersion> expected_version;
};

/// Sends an order to the engine, once.
struct SendOrder {
  OrderId order;
  std::string body;
};

/// How an order ended.
enum class OrderOutcome {
  /// The engine has answered; its status and body are passed on.
  kAnswered,
  /// Surely not sent: its fencing number is old.
  kStale,
  /// Surely not sent: the store did not say which number is current.
  kStoreUnavailable,
  /// May have been applied: the call to the engine failed.
  kInDoubt,
};

/// Answers the decider.
struct AnswerOrder {
  OrderId order;
  OrderOutcome outcome = OrderOutcome::kAnswered;
  FencingNumber current;
  int status = 0;
  std::string body;
};

using OrderAction = std::variant<ReadFence, WriteFence, SendOrder, AnswerOrder>;

}  // namespace cowslip

#endif  // SOURCE_BACKEND_ORDER_EVENTS_H_
