#include "Backend/order_core.h"

#include <utility>

namespace cowslip {

namespace {

// After a conflict or a lost response the fence is read again, up to this many
// store calls for one order.
constexpr int kMaxStoreCalls = 8;

}  // namespace

OrderCore::OrderCore(std::string writer) : m_writer(std::move(writer)) {}

std::vector<OrderAction> OrderCore::Handle(OrderEvent event, MonotonicTime) {
  std::visit([this](auto&& alternative) { On(std::move(alternative)); },
             std::move(event));
  while (m_step == Step::kIdle && !m_orders.empty()) {
    Advance();
  }
  return std::exchange(m_actions, {});
}

void OrderCore::On(OrderReceived event) {
  m_orders.push_back(std::move(event));
}

void OrderCore::On(const FenceRead& event) {
  m_step = Step::kIdle;
  m_version.reset();
  m_current = FencingNumber(0);
  if (event.fence.has_value()) {
    m_version = event.version;
    m_current = event.fence->fencing;
  }
}

void OrderCore::On(const FenceWritten& event) {
  m_step = Step::kIdle;
  m_version = event.version;
  m_current = m_orders.front().fencing;
}

void OrderCore::On(const FenceStoreFailed& event) {
  const bool wrote = m_step == Step::kWriting;
  m_step = Step::kIdle;
  const bool read_again = wrote && event.kind != ErrorKind::kUnavailable;
  if (read_again && m_store_calls < kMaxStoreCalls) {
    // Another process wrote the fence, or the response to this write was lost.
    // Read it again to find out which number is current.
    m_current.reset();
    return;
  }
  if (wrote) {
    m_current.reset();
  }
  Respond(OrderOutcome::kStoreUnavailable, 0, "");
}

void OrderCore::On(EngineOrderDone event) {
  m_step = Step::kIdle;
  const OrderOutcome outcome =
      event.status > 0 ? OrderOutcome::kResponded : OrderOutcome::kInDoubt;
  Respond(outcome, event.status, std::move(event.body));
}

void OrderCore::Advance() {
  const OrderReceived& order = m_orders.front();
  if (!m_current.has_value()) {
    ++m_store_calls;
    m_step = Step::kReading;
    Emit(ReadFence());
    return;
  }
  if (order.fencing < *m_current) {
    Respond(OrderOutcome::kStale, 0, "");
    return;
  }
  if (order.fencing > *m_current) {
    ++m_store_calls;
    m_step = Step::kWriting;
    Emit(WriteFence{.fence = {.fencing = order.fencing, .writer = m_writer},
                    .expected_version = m_version});
    return;
  }
  m_step = Step::kSending;
  Emit(SendOrder{.order = order.order, .body = order.body});
}

void OrderCore::Respond(OrderOutcome outcome, int status, std::string body) {
  Emit(RespondToOrder{.order = m_orders.front().order,
                      .outcome = outcome,
                      .current = m_current.value_or(FencingNumber(0)),
                      .status = status,
                      .body = std::move(body)});
  m_orders.pop_front();
  m_store_calls = 0;
}

}  // namespace cowslip
