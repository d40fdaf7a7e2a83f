#include "Operator/entry_client.h"

#include <chrono>
#include <utility>

#include <boost/asio/this_coro.hpp>

#include "Base/json.h"
#include "Net/http_client.h"

namespace cowslip {

namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(5);
constexpr size_t kMaxAnswerBytes = 16u << 20;
constexpr int kFirstErrorStatus = 400;
constexpr int kNotFoundStatus = 404;
constexpr int kUnavailableStatus = 503;

ErrorKind KindOf(int status) {
  if (status == kNotFoundStatus) {
    return ErrorKind::kNotFound;
  }
  return status == kUnavailableStatus ? ErrorKind::kUnavailable
                                      : ErrorKind::kInternal;
}

// The remedy in a problem document, or the whole body.
std::string DetailOf(const std::string& body) {
  const Result<nlohmann::json> parsed = ParseJson(body);
  const bool problem = parsed.has_value() && parsed.value().is_object();
  if (problem && parsed.value().contains("detail")) {
    return DumpJson(parsed.value()["detail"]);
  }
  return body;
}

}  // namespace

boost::asio::awaitable<Result<nlohmann::json>> CallEntry(Endpoint entry,
                                                         std::string method,
                                                         std::string target) {
  const auto executor = co_await boost::asio::this_coro::executor;
  HttpClient client(executor, entry);
  HttpRequest request;
  request.method = std::move(method);
  request.target = std::move(target);
  const Result<HttpResponse> sent =
      co_await client.Send(std::move(request), kCallTimeout);
  if (!sent.has_value()) {
    co_return sent.error();
  }
  const HttpResponse& response = sent.value();
  if (response.status >= kFirstErrorStatus) {
    co_return Error(KindOf(response.status), DetailOf(response.body));
  }
  co_return ParseJson(response.body, {.max_bytes = kMaxAnswerBytes});
}

}  // namespace cowslip
