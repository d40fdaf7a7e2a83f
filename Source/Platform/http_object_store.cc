#include "Platform/http_object_store.h"

#include <utility>

#include "Base/json.h"
#include "Base/overloaded.h"
#include "Base/whole_number.h"
#include "Net/percent_encoding.h"
#include "Platform/platform_json.h"

namespace cowslip {

namespace {

using boost::asio::awaitable;

bool IsWrite(StoreCall call) {
  return call == StoreCall::kPut || call == StoreCall::kDelete;
}

std::string ObjectTarget(const ObjectKey& key) {
  return "/objects/" + PercentEncode(key.value());
}

void AddPrecondition(HttpRequest& request, const Precondition& precondition) {
  std::visit(
      Overloaded{
          [](const Unconditional&) {},
          [&](const IfAbsent&) {
            request.headers.push_back({"If-None-Match", "*"});
          },
          [&](const IfVersion& expected) {
            const uint64_t version = expected.version.value();
            request.headers.push_back({"If-Match", std::to_string(version)});
          }},
      precondition);
}

// A write that failed without a response may have taken effect. A read has no
// effect and may always be repeated.
Error ClassifyCallError(StoreCall call, const Error& error) {
  if (error.kind() == ErrorKind::kInDoubt && !IsWrite(call)) {
    return Error(ErrorKind::kUnavailable, error.message);
  }
  return error;
}

bool IsMarkedNotApplied(const std::string& body) {
  const Result<nlohmann::json> problem = ParseJson(body);
  if (!problem.has_value() || !problem.value().is_object()) {
    return false;
  }
  const auto applied = problem.value().find("applied");
  return applied != problem.value().end() && *applied == false;
}

Error ServerError(StoreCall call, const HttpResponse& response) {
  const std::string message = "The platform answered status " +
                              std::to_string(response.status) + " to a " +
                              StoreCallName(call) +
                              " call. Wait for the platform, then try again.";
  const bool no_effect = !IsWrite(call) || IsMarkedNotApplied(response.body);
  return Error(no_effect ? ErrorKind::kUnavailable : ErrorKind::kInDoubt,
               message);
}

Error ClientError(StoreCall call, const HttpResponse& response) {
  switch (response.status) {
    case 404:
      return Error(ErrorKind::kNotFound,
                   "No such object. Check its name, or write it first.");
    case 412:
      return Error(ErrorKind::kConflict,
                   "Another writer changed the object first. Read it again, "
                   "then decide whether the change still applies.");
    case 413:
      return Error(ErrorKind::kTooLarge,
                   "The value is too large for the platform. Split it.");
    case 408:
    case 429:
      return Error(ErrorKind::kUnavailable,
                   "The platform turned the call away. Call it less often.");
    default:
      return Error(ErrorKind::kInvalidArgument,
                   "The platform refused a " +
                       std::string(StoreCallName(call)) + " call with status " +
                       std::to_string(response.status) + ": " +
                       response.body.substr(0, 200));
  }
}

Result<ObjectVersion> VersionOf(const HttpResponse& response) {
  std::string tag = FindHeader(response.headers, "ETag").value_or("");
  if (tag.size() >= 2 && tag.front() == '"' && tag.back() == '"') {
    tag = tag.substr(1, tag.size() - 2);
  }
  const std::optional<uint64_t> version = ParseWholeNumber(tag);
  if (!version.has_value()) {
    return Error(ErrorKind::kMalformedMessage,
                 "The platform's answer has no version in its ETag. Check "
                 "that the settings name the platform's port.");
  }
  return ObjectVersion(*version);
}

}  // namespace

HttpObjectStore::HttpObjectStore(boost::asio::any_io_executor executor,
                                 Endpoint platform,
                                 HttpObjectStoreOptions options)
    : m_options(options),
      m_client(std::move(executor), std::move(platform), options.http) {}

awaitable<Result<HttpResponse>> HttpObjectStore::Send(StoreCall call,
                                                      HttpRequest request,
                                                      Duration timeout) {
  m_calls.Count(call);
  Result<HttpResponse> sent =
      co_await m_client.Send(std::move(request), timeout);
  if (!sent.has_value()) {
    co_return ClassifyCallError(call, sent.error());
  }
  const int status = sent.value().status;
  if (status >= 500) {
    co_return ServerError(call, sent.value());
  }
  if (status < 200 || status >= 300) {
    co_return ClientError(call, sent.value());
  }
  co_return sent;
}

awaitable<Result<StoredObject>> HttpObjectStore::Get(ObjectKey key) {
  HttpRequest request{.target = ObjectTarget(key)};
  Result<HttpResponse> sent = co_await Send(StoreCall::kGet, std::move(request),
                                            m_options.call_timeout);
  if (!sent.has_value()) {
    co_return sent.error();
  }
  const Result<ObjectVersion> version = VersionOf(sent.value());
  if (!version.has_value()) {
    co_return version.error();
  }
  co_return StoredObject{.value = std::move(sent.value().body),
                         .version = version.value()};
}

awaitable<Result<ObjectVersion>> HttpObjectStore::Put(
    ObjectKey key,
    std::string value,
    Precondition precondition) {
  if (value.size() > kMaxObjectBytes) {
    co_return Error(ErrorKind::kTooLarge,
                    "The value of " + key.value() + " has " +
                        std::to_string(value.size()) +
                        " bytes. Split it into values of at most " +
                        std::to_string(kMaxObjectBytes) + " bytes.");
  }
  HttpRequest request{.method = "PUT", .target = ObjectTarget(key)};
  request.body = std::move(value);
  AddPrecondition(request, precondition);
  const Result<HttpResponse> sent = co_await Send(
      StoreCall::kPut, std::move(request), m_options.call_timeout);
  if (!sent.has_value()) {
    co_return sent.error();
  }
  Result<ObjectVersion> version = VersionOf(sent.value());
  if (!version.has_value()) {
    // The write succeeded, but its version is unknown.
    co_return Error(ErrorKind::kInDoubt, version.error().message);
  }
  co_return version;
}

awaitable<Result<void>> HttpObjectStore::Delete(ObjectKey key,
                                                Precondition precondition) {
  HttpRequest request{.method = "DELETE", .target = ObjectTarget(key)};
  AddPrecondition(request, precondition);
  const Result<HttpResponse> sent = co_await Send(
      StoreCall::kDelete, std::move(request), m_options.call_timeout);
  if (!sent.has_value()) {
    co_return sent.error();
  }
  co_return Ok();
}

awaitable<Result<std::vector<ListedObject>>>
HttpObjectStore::List(std::string prefix, ObjectKey after, size_t limit) {
  HttpRequest request;
  request.target = "/objects?prefix=" + PercentEncode(prefix) +
                   "&after=" + PercentEncode(after.value()) +
                   "&limit=" + std::to_string(limit);
  const Result<HttpResponse> sent = co_await Send(
      StoreCall::kList, std::move(request), m_options.call_timeout);
  if (!sent.has_value()) {
    co_return sent.error();
  }
  co_return DecodeListing(sent.value().body);
}

awaitable<Result<WatchResult>> HttpObjectStore::Watch(std::string prefix,
                                                      ObjectVersion since,
                                                      Duration timeout) {
  const auto wait =
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
  HttpRequest request;
  request.target = "/watch?prefix=" + PercentEncode(prefix) +
                   "&since=" + std::to_string(since.value()) +
                   "&timeout_ms=" + std::to_string(wait.count());
  const Duration call_timeout = timeout + m_options.call_timeout;
  const Result<HttpResponse> sent =
      co_await Send(StoreCall::kWatch, std::move(request), call_timeout);
  if (!sent.has_value()) {
    co_return sent.error();
  }
  co_return DecodeWatchResult(sent.value().body);
}

awaitable<Result<std::vector<VmRecord>>> HttpObjectStore::ListVms() {
  HttpRequest request{.target = "/vms"};
  const Result<HttpResponse> sent = co_await Send(
      StoreCall::kListVms, std::move(request), m_options.call_timeout);
  if (!sent.has_value()) {
    co_return sent.error();
  }
  co_return DecodeVmList(sent.value().body);
}

}  // namespace cowslip
