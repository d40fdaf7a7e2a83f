#include "Backend/order_driver.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Backend/order_core.h"
#include "Base/json.h"
#include "Base/log.h"
#include "Base/message_codec.h"
#include "Net/http_client.h"
#include "Platform/object_store.h"

namespace cowslip {

namespace asio = boost::asio;

namespace {

constexpr Duration kEngineTimeout = std::chrono::seconds(60);
constexpr char kOrdersPrefix[] = "orders/";

HttpResponse Problem(int status, const std::string& type, nlohmann::json rest) {
  rest["type"] = "urn:cowslip:" + type;
  rest["title"] = type;
  rest["status"] = status;
  return {.status = status,
          .headers = {{"Content-Type", "application/problem+json"}},
          .body = DumpJson(rest)};
}

HttpResponse ToResponse(const RespondToOrder& response) {
  switch (response.outcome) {
    case OrderOutcome::kResponded:
      return {.status = response.status,
              .headers = {{"Content-Type", "application/json"}},
              .body = response.body};
    case OrderOutcome::kStale:
      return Problem(409, "stale-fencing-number",
                     {{"detail", "Take the lease again before giving orders."},
                      {"current", response.current},
                      {"not_run", true}});
    case OrderOutcome::kStoreUnavailable:
      return Problem(
          503, "store-unavailable",
          {{"detail",
            "Send the order again once the platform's store answers."},
           {"not_run", true}});
    case OrderOutcome::kInDoubt:
      return Problem(
          502, "order-in-doubt",
          {{"detail",
            "Ask the engine what it runs before sending the order again."},
           {"not_run", false}});
  }
  return Problem(500, "internal", {});
}

struct PendingOrder {
  explicit PendingOrder(asio::io_context& context)
      : wake(context, asio::steady_timer::time_point::max()) {}
  asio::steady_timer wake;
  std::optional<RespondToOrder> response;
};

}  // namespace

class OrderDriver::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, OrderDriverOptions options)
      : m_context(context),
        m_options(std::move(options)),
        m_key(kOrdersPrefix + m_options.vm.value()),
        m_core(m_options.vm.value() + "/" +
               std::to_string(m_options.incarnation.value())) {}

  asio::awaitable<HttpResponse> HandleOrder(std::string body);

 private:
  void Feed(OrderEvent event);
  void ApplyAction(const ReadFence& action);
  void ApplyAction(const WriteFence& action);
  void ApplyAction(const SendOrder& action);
  void ApplyAction(const RespondToOrder& action);
  asio::awaitable<void> Read();
  asio::awaitable<void> Write(WriteFence action);
  asio::awaitable<void> Send(SendOrder action);

  asio::io_context& m_context;
  const OrderDriverOptions m_options;
  const ObjectKey m_key;
  OrderCore m_core;
  uint64_t m_last_order = 0;
  std::map<OrderId, std::shared_ptr<PendingOrder>> m_waiting;
};

asio::awaitable<HttpResponse> OrderDriver::Impl::HandleOrder(std::string body) {
  const auto self = shared_from_this();
  const Result<nlohmann::json> json = ParseJson(body);
  const bool readable = json.has_value() && json.value().is_object() &&
                        json.value().contains("fencing") &&
                        json.value()["fencing"].is_number_unsigned();
  if (!readable) {
    co_return Problem(400, "malformed-order",
                      {{"detail", "Send {\"order\": ..., \"fencing\": N}."},
                       {"not_run", true}});
  }
  const OrderId order(++m_last_order);
  const auto waiting = std::make_shared<PendingOrder>(m_context);
  m_waiting[order] = waiting;
  OrderReceived received{
      .order = order,
      .fencing = FencingNumber(json.value()["fencing"].get<uint64_t>()),
      .body = std::move(body)};
  Feed(std::move(received));
  while (!waiting->response.has_value()) {
    boost::system::error_code ignored;
    auto token = asio::redirect_error(asio::use_awaitable, ignored);
    co_await waiting->wake.async_wait(token);
  }
  co_return ToResponse(*waiting->response);
}

void OrderDriver::Impl::Feed(OrderEvent event) {
  for (const OrderAction& action :
       m_core.Handle(std::move(event), MonotonicClock::now())) {
    std::visit([this](const auto& alternative) { ApplyAction(alternative); },
               action);
  }
}

void OrderDriver::Impl::ApplyAction(const ReadFence&) {
  asio::co_spawn(
      m_context, [self = shared_from_this()] { return self->Read(); },
      asio::detached);
}

void OrderDriver::Impl::ApplyAction(const WriteFence& action) {
  asio::co_spawn(
      m_context,
      [self = shared_from_this(), action] { return self->Write(action); },
      asio::detached);
}

void OrderDriver::Impl::ApplyAction(const SendOrder& action) {
  asio::co_spawn(
      m_context,
      [self = shared_from_this(), action] { return self->Send(action); },
      asio::detached);
}

void OrderDriver::Impl::ApplyAction(const RespondToOrder& action) {
  const auto found = m_waiting.find(action.order);
  if (found == m_waiting.end()) {
    return;
  }
  LOG(INFO) << "orders: Order " << action.order << " ended with outcome "
            << static_cast<int>(action.outcome) << ".";
  found->second->response = action;
  found->second->wake.cancel();
  m_waiting.erase(found);
}

asio::awaitable<void> OrderDriver::Impl::Read() {
  const Result<StoredObject> got = co_await m_options.store->Get(m_key);
  if (!got.has_value()) {
    const ErrorKind kind = got.error().kind();
    if (kind == ErrorKind::kNotFound) {
      Feed(FenceRead());
    } else {
      Feed(FenceStoreFailed{kind});
    }
    co_return;
  }
  const Result<nlohmann::json> json = ParseJson(got.value().value);
  if (!json.has_value()) {
    LOG(ERROR) << "orders: " << m_key << " is malformed. Repair the object.";
    Feed(FenceStoreFailed{ErrorKind::kMalformedMessage});
    co_return;
  }
  const Result<OrderFence> fence = DecodeStruct<OrderFence>(json.value());
  if (!fence.has_value()) {
    LOG(ERROR) << "orders: " << m_key << " is malformed. Repair the object.";
    Feed(FenceStoreFailed{ErrorKind::kMalformedMessage});
    co_return;
  }
  Feed(FenceRead{.fence = fence.value(), .version = got.value().version});
}

asio::awaitable<void> OrderDriver::Impl::Write(WriteFence action) {
  Precondition precondition = IfAbsent();
  if (action.expected_version.has_value()) {
    precondition = IfVersion{*action.expected_version};
  }
  std::string value = DumpJson(nlohmann::json(action.fence));
  const Result<ObjectVersion> put =
      co_await m_options.store->Put(m_key, std::move(value), precondition);
  if (put.has_value()) {
    Feed(FenceWritten{put.value()});
  } else {
    Feed(FenceStoreFailed{put.error().kind()});
  }
}

asio::awaitable<void> OrderDriver::Impl::Send(SendOrder action) {
  HttpRequest request{.method = "POST",
                      .target = "/orders",
                      .headers = {{"Content-Type", "application/json"}},
                      .body = std::move(action.body)};
  Result<HttpResponse> got =
      co_await m_options.engine->Send(std::move(request), kEngineTimeout);
  EngineOrderDone done{.order = action.order};
  if (got.has_value()) {
    done.status = got.value().status;
    done.body = std::move(got.value().body);
  }
  Feed(std::move(done));
}

OrderDriver::OrderDriver(asio::io_context& context, OrderDriverOptions options)
    : m_impl(std::make_shared<Impl>(context, std::move(options))) {}

OrderDriver::~OrderDriver() = default;

asio::awaitable<HttpResponse> OrderDriver::HandleOrder(std::string body) {
  return m_impl->HandleOrder(std::move(body));
}

}  // namespace cowslip
