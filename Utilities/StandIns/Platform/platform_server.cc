#include "Utilities/StandIns/Platform/platform_server.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Base/json.h"
#include "Net/http_exchange.h"
#include "Net/percent_encoding.h"
#include "Platform/platform_json.h"
#include "Utilities/StandIns/Platform/change_wait.h"

namespace cowslip {

namespace {

using boost::asio::awaitable;

constexpr char kObjectsPath[] = "/objects/";
constexpr size_t kMaxListed = 10'000;
constexpr uint64_t kMaxWatchMs = 60'000;

HttpResponse JsonResponse(int status, std::string body) {
  return HttpResponse{.status = status,
                      .headers = {{"Content-Type", "application/json"}},
                      .body = std::move(body)};
}

HttpResponse Failure(int status, const std::string& detail) {
  return JsonResponse(status,
                      DumpJson({{"applied", false}, {"detail", detail}}));
}

HttpResponse FailureFor(const Error& error) {
  switch (error.kind()) {
    case ErrorKind::kNotFound:
      return Failure(404, error.message);
    case ErrorKind::kConflict:
      return Failure(412, error.message);
    case ErrorKind::kTooLarge:
      return Failure(413, error.message);
    default:
      return Failure(400, error.message);
  }
}

uint64_t QueryNumber(const HttpRequest& request,
                     const char* name,
                     uint64_t otherwise) {
  const std::string text = request.Query(name).value_or("");
  uint64_t number = otherwise;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

Result<Precondition> PreconditionOf(const HttpRequest& request) {
  if (FindHeader(request.headers, "If-None-Match") == "*") {
    return Precondition(IfAbsent{});
  }
  std::string match = FindHeader(request.headers, "If-Match").value_or("");
  if (match.empty()) {
    return Precondition(Unconditional{});
  }
  std::erase(match, '"');
  uint64_t version = 0;
  const auto parsed =
      std::from_chars(match.data(), match.data() + match.size(), version);
  if (parsed.ec != std::errc()) {
    return Error(ErrorKind::kInvalidArgument,
                 "Give If-Match the number from an ETag.");
  }
  return Precondition(IfVersion{ObjectVersion(version)});
}

HttpHeader ETag(ObjectVersion version) {
  return {"ETag", '"' + std::to_string(version.value()) + '"'};
}

ObjectKey KeyOf(const HttpRequest& request) {
  return ObjectKey(
      PercentDecode(request.Path().substr(std::size(kObjectsPath) - 1)));
}

// nullopt for the stand-in's own calls.
std::optional<StoreCall> CallOf(const HttpRequest& request) {
  const std::string path = request.Path();
  if (path.rfind(kObjectsPath, 0) == 0) {
    if (request.method == "PUT") {
      return StoreCall::kPut;
    }
    return request.method == "DELETE" ? StoreCall::kDelete : StoreCall::kGet;
  }
  if (path == "/objects") {
    return StoreCall::kList;
  }
  if (path == "/watch") {
    return StoreCall::kWatch;
  }
  if (path == "/vms" && request.method == "GET") {
    return StoreCall::kListVms;
  }
  return std::nullopt;
}

bool IsWrite(StoreCall call) {
  return call == StoreCall::kPut || call == StoreCall::kDelete;
}

}  // namespace

PlatformServer::PlatformServer(boost::asio::io_context& context,
                               Endpoint listen,
                               FakePlatformOptions options)
    : m_platform(options),
      m_server(context,
               HttpServerOptions{.listen = std::move(listen),
                                 .max_body_bytes = 2 * kMaxObjectBytes},
               [this](HttpExchange& exchange) { return Handle(exchange); }),
      m_random(m_faults.seed) {}

PlatformServer::~PlatformServer() = default;

Result<void> PlatformServer::Start() {
  return m_server.Start();
}

void PlatformServer::Drain() {
  m_server.Drain();
  EndWatches();
}

void PlatformServer::EndWatches() {
  for (ChangeWait* watch : m_watches) {
    watch->Cancel();
  }
}

bool PlatformServer::Happens(uint32_t per_mille) {
  return m_random() % 1000 < per_mille;
}

awaitable<void> PlatformServer::Handle(HttpExchange& exchange) {
  const std::optional<StoreCall> call = CallOf(exchange.request());
  if (call.has_value()) {
    co_await HandleCall(exchange, *call);
    co_return;
  }
  HttpResponse response = Control(exchange.request());
  (void)co_await exchange.Respond(std::move(response));
}

awaitable<void> PlatformServer::HandleCall(HttpExchange& exchange,
                                           StoreCall call) {
  m_calls.Count(call);
  if (m_faults.slow_ms > 0) {
    const auto executor = co_await boost::asio::this_coro::executor;
    boost::asio::steady_timer timer(
        executor, std::chrono::milliseconds(m_faults.slow_ms));
    boost::system::error_code error;
    auto token = boost::asio::redirect_error(boost::asio::use_awaitable, error);
    co_await timer.async_wait(token);
  }
  HttpResponse response;
  if (m_faults.down) {
    response = Failure(503, "The platform is down.");
  } else if (Happens(m_faults.fail_per_mille)) {
    response = JsonResponse(500, "{}");
  } else if (call == StoreCall::kWatch) {
    response = co_await Watch(exchange);
  } else {
    response = Run(exchange.request(), call);
  }
  if (IsWrite(call) && Happens(m_faults.lose_answer_per_mille)) {
    exchange.Abort();
    co_return;
  }
  (void)co_await exchange.Respond(std::move(response));
}

awaitable<HttpResponse> PlatformServer::Watch(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  const auto executor = co_await boost::asio::this_coro::executor;
  const uint64_t timeout_ms =
      std::min(QueryNumber(request, "timeout_ms", 0), kMaxWatchMs);
  ChangeWait wait(executor, m_platform, request.Query("prefix").value_or(""),
                  ObjectVersion(QueryNumber(request, "since", 0)));
  exchange.OnClientDisconnected([&wait] { wait.Cancel(); });
  m_watches.insert(&wait);
  const WatchResult result =
      co_await wait.Run(std::chrono::milliseconds(timeout_ms));
  m_watches.erase(&wait);
  exchange.OnClientDisconnected(nullptr);
  if (m_faults.down) {
    co_return Failure(503, "The platform is down.");
  }
  co_return JsonResponse(200, EncodeWatchResult(result));
}

HttpResponse PlatformServer::Run(const HttpRequest& request, StoreCall call) {
  switch (call) {
    case StoreCall::kGet:
      return Get(KeyOf(request));
    case StoreCall::kPut:
      return Put(request, KeyOf(request));
    case StoreCall::kDelete:
      return Delete(request, KeyOf(request));
    case StoreCall::kList:
      return List(request);
    case StoreCall::kListVms:
      return JsonResponse(
          200, EncodeVmList(m_platform.ListVms(MonotonicClock::now())));
    case StoreCall::kWatch:
      break;
  }
  return Failure(400, "A watch is not answered at once.");
}

HttpResponse PlatformServer::Get(const ObjectKey& key) const {
  Result<StoredObject> object = m_platform.Get(key);
  if (!object.has_value()) {
    return FailureFor(object.error());
  }
  return HttpResponse{.headers = {ETag(object.value().version)},
                      .body = std::move(object.value().value)};
}

HttpResponse PlatformServer::Put(const HttpRequest& request,
                                 const ObjectKey& key) {
  const Result<Precondition> precondition = PreconditionOf(request);
  if (!precondition.has_value()) {
    return FailureFor(precondition.error());
  }
  const Result<ObjectVersion> put =
      m_platform.Put(key, request.body, precondition.value());
  if (!put.has_value()) {
    return FailureFor(put.error());
  }
  return HttpResponse{.headers = {ETag(put.value())}};
}

HttpResponse PlatformServer::Delete(const HttpRequest& request,
                                    const ObjectKey& key) {
  const Result<Precondition> precondition = PreconditionOf(request);
  if (!precondition.has_value()) {
    return FailureFor(precondition.error());
  }
  const Result<void> deleted = m_platform.Delete(key, precondition.value());
  return deleted.has_value() ? HttpResponse{} : FailureFor(deleted.error());
}

HttpResponse PlatformServer::List(const HttpRequest& request) const {
  const size_t limit =
      std::min<uint64_t>(QueryNumber(request, "limit", kMaxListed), kMaxListed);
  const std::vector<ListedObject> listed =
      m_platform.List(request.Query("prefix").value_or(""),
                      ObjectKey(request.Query("after").value_or("")), limit);
  return JsonResponse(200, EncodeListing(listed));
}

HttpResponse PlatformServer::Control(const HttpRequest& request) {
  const std::string path = request.Path();
  if (path == "/faults" && request.method == "PUT") {
    return SetFaults(request.body);
  }
  if (path == "/vms" && request.method == "PUT") {
    return SetVms(request.body);
  }
  if (path == "/stats") {
    return JsonResponse(200,
                        DumpJson({{"calls", m_calls},
                                  {"waiting_watches", m_watches.size()},
                                  {"revision", m_platform.revision()},
                                  {"objects", m_platform.object_count()}}));
  }
  return Failure(404, "Call /objects, /watch, /vms, /faults or /stats.");
}

HttpResponse PlatformServer::SetFaults(const std::string& body) {
  const Result<nlohmann::json> parsed = ParseJson(body);
  if (!parsed.has_value()) {
    return FailureFor(parsed.error());
  }
  try {
    parsed.value().get_to(m_faults);
  } catch (const nlohmann::json::exception& thrown) {
    return Failure(400, thrown.what());
  }
  m_random.seed(m_faults.seed);
  if (m_faults.down) {
    EndWatches();
  }
  return JsonResponse(200, DumpJson(m_faults));
}

HttpResponse PlatformServer::SetVms(const std::string& body) {
  Result<std::vector<VmRecord>> vms = DecodeVmList(body);
  if (!vms.has_value()) {
    return Failure(400, vms.error().message);
  }
  m_platform.SetVms(std::move(vms.value()), MonotonicClock::now());
  return JsonResponse(200, "{}");
}

}  // namespace cowslip
