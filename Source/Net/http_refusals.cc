#include "Net/http_refusals.h"

#include "Net/beast.h"
#include "Net/http_message.h"

namespace cowslip {

namespace {

// Seconds until the next attempt of a request that a shutdown, the limit on
// connections or a lack of memory refuses. Other gateways take it at once.
constexpr char kRefusalRetryAfter[] = "0.30";

constexpr char kProblemType[] = "application/problem+json";

}  // namespace

HttpResponse MakeProblem(int status,
                         const std::string& type,
                         const std::string& detail,
                         bool not_run) {
  HttpResponse response{.status = status};
  response.headers.push_back({"Content-Type", kProblemType});
  response.body = R"({"type":"urn:cowslip:)" + type + R"(","title":")" + type +
                  R"(","status":)" + std::to_string(status) + R"(,"detail":")" +
                  detail + R"(.")" + (not_run ? R"(,"not_run":true})" : "}");
  return response;
}

HttpResponse ShutdownRefusal() {
  HttpResponse response = MakeProblem(
      503, "draining", "Send the request again: this gateway shuts down", true);
  response.headers.push_back({"Retry-After", kRefusalRetryAfter});
  return response;
}

HttpResponse SurplusRefusal() {
  HttpResponse response = MakeProblem(
      503, "too-many-connections",
      "Send the request again: this gateway has too many connections", true);
  response.headers.push_back({"Retry-After", kRefusalRetryAfter});
  return response;
}

HttpResponse MemoryRefusal() {
  HttpResponse response = MakeProblem(
      503, "out-of-memory",
      "Send the request again: this gateway has no room for it", true);
  response.headers.push_back({"Retry-After", kRefusalRetryAfter});
  return response;
}

HttpResponse RefusalOfUnreadRequest(const boost::system::error_code& error,
                                    size_t max_body_bytes,
                                    size_t max_header_bytes) {
  if (error == http::error::body_limit) {
    return MakeProblem(
        413, "body-too-large",
        "Send a body of at most " + std::to_string(max_body_bytes) + " bytes",
        true);
  }
  if (error == http::error::header_limit) {
    return MakeProblem(431, "header-too-large",
                       "Send header fields of at most " +
                           std::to_string(max_header_bytes) + " bytes in all",
                       true);
  }
  if (error == beast::error::timeout) {
    return MakeProblem(408, "request-timeout", "Send the whole request sooner",
                       true);
  }
  if (error == asio::error::no_memory) {
    return MemoryRefusal();
  }
  if (error == asio::error::shut_down) {
    return ShutdownRefusal();
  }
  return MakeProblem(400, "malformed-request",
                     "Send a valid HTTP/1.1 request: " + error.message(), true);
}

}  // namespace cowslip
