#include "silent_backends.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace cowslip {

using boost::asio::awaitable;
using namespace std::chrono_literals;

SilentBackends::SilentBackends(size_t backends, const Silences& silences)
    : GatewayFixture(backends), m_count(backends) {
  for (size_t i = 0; i < backends; ++i) {
    backend(i).behaviour().events = kEvents;
    backend(i).behaviour().silences = silences;
  }
  for (auto& route : configuration["routes"]) {
    route["timeout_ms"] = 9000;
  }
  Publish();
  AddGateway();
}

HttpRequest SilentBackends::SlowRequest(const std::string& target,
                                        const std::string& attempt,
                                        const std::string& deadline_ms) {
  HttpRequest request = Request("POST", target, attempt);
  for (HttpHeader& header : request.headers) {
    if (header.name == "Deadline-Ms") {
      header.value = deadline_ms;
    }
  }
  return request;
}

awaitable<void> SilentBackends::CheckServed(const std::string& target,
                                            const std::string& attempt) {
  HttpRequest request = SlowRequest(target, attempt);
  const auto response = co_await Send(0, std::move(request));
  INFO(target);
  if (!response.has_value()) {
    FAIL_CHECK(response.error().message);
    co_return;
  }
  CHECK(response.value().status == 200);
  CHECK(response.value().body == ModelServer::Body(attempt, 1, kEvents));
}

void SilentBackends::SetEntryField(size_t backend,
                                   const std::string& field,
                                   const nlohmann::json& value) {
  const std::string id = "i-" + std::to_string(backend);
  nlohmann::json entry = store.Find("servers", id)->content;
  entry[field] = value;
  store.Put("servers", id, entry);
}

void SilentBackends::SetMaxAttempts(int max_attempts) {
  for (auto& route : configuration["routes"]) {
    route["max_attempts"] = max_attempts;
  }
  Publish();
}

void SilentBackends::ChangeOthersOnceAsked(
    std::function<void(size_t other)> change) {
  boost::asio::co_spawn(
      context,
      [this, change = std::move(change)]() -> awaitable<void> {
        while (Asked().empty()) {
          co_await Sleep(10ms);
        }
        const std::set<size_t> asked = Asked();
        for (size_t i = 0; i < m_count; ++i) {
          if (!asked.contains(i)) {
            change(i);
          }
        }
      },
      boost::asio::detached);
}

void SilentBackends::MeasureOverlap(const bool& done, Duration& longest) {
  boost::asio::co_spawn(
      context,
      [this, &done, &longest]() -> awaitable<void> {
        std::optional<MonotonicTime> since;
        while (!done) {
          const MonotonicTime now = MonotonicClock::now();
          if (AtWork().size() > 1) {
            since = since.value_or(now);
            longest = std::max(longest, now - *since);
          } else {
            since.reset();
          }
          co_await Sleep(5ms);
        }
      },
      boost::asio::detached);
}

std::set<size_t> SilentBackends::Asked() {
  std::set<size_t> asked;
  for (size_t i = 0; i < m_count; ++i) {
    if (RequestsAt(i) > 0) {
      asked.insert(i);
    }
  }
  return asked;
}

std::set<size_t> SilentBackends::AtWork() {
  std::set<size_t> at_work;
  for (size_t i = 0; i < m_count; ++i) {
    if (backend(i).active() > 0) {
      at_work.insert(i);
    }
  }
  return at_work;
}

}  // namespace cowslip
