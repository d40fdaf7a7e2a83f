#include "Utilities/StandIns/MetadataStore/metadata_server.h"

#include <string>
#include <utility>
#include <vector>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Base/json.h"
#include "Net/http_exchange.h"
#include "Net/percent_encoding.h"

namespace cowslip {

namespace {

using boost::asio::awaitable;
using nlohmann::json;

constexpr char kRawContentField[] = "raw content";

std::string ContentText(const json& content) {
  return content.is_object() && content.contains(kRawContentField)
             ? content[kRawContentField].get<std::string>()
             : DumpJson(content);
}

std::string ObjectText(const Document& document) {
  const json metadata = {{"name", document.name.value()},
                         {"revision", document.version.value()},
                         {"created", document.created.value()},
                         {"finalizers", json::array()},
                         {"deleting", false}};
  return R"({"metadata":)" + DumpJson(metadata) + R"(,"spec":)" +
         ContentText(document.content) + R"(,"status":)" +
         ContentText(document.status) + "}";
}

std::string ArrayText(const std::vector<std::string>& elements) {
  std::string text;
  for (const std::string& element : elements) {
    text += (text.empty() ? "[" : ",") + element;
  }
  return text.empty() ? "[]" : text + "]";
}

HttpResponse FromText(int status, std::string body) {
  return HttpResponse{.status = status,
                      .headers = {{"Content-Type", "application/json"}},
                      .body = std::move(body)};
}

// The connection is closed instead.
constexpr int kNoResponse = 0;

HttpResponse FromError(const Error& error) {
  switch (error.kind()) {
    case ErrorKind::kNotFound:
      return HttpResponse{.status = 404};
    case ErrorKind::kConflict:
      return FromText(409, "{}");
    case ErrorKind::kHistoryLost:
      return HttpResponse{.status = 410};
    case ErrorKind::kInDoubt:
      return HttpResponse{.status = kNoResponse};
    default:
      return HttpResponse{.status = 503};
  }
}

HttpResponse FromDocument(const Result<Document>& document) {
  return document.has_value() ? FromText(200, ObjectText(document.value()))
                              : FromError(document.error());
}

constexpr std::string_view kPrefix = "/objects/";
constexpr std::string_view kStatus = "/status";
constexpr auto kNever = std::chrono::steady_clock::time_point::max();

// A listing or a watch.
bool NamesNoDocument(const HttpRequest& request) {
  return request.Path().find('/', kPrefix.size()) == std::string::npos;
}

uint64_t Number(const HttpRequest& request, const char* name) {
  return std::stoull(request.Query(name).value_or("0"));
}

}  // namespace

json RawContent(std::string text) {
  return {{kRawContentField, std::move(text)}};
}

MetadataServer::MetadataServer(boost::asio::io_context& context,
                               FakeDocumentStore& store)
    : m_store(store),
      m_server(context,
               HttpServerOptions{.max_body_bytes = 4 << 20},
               [this](HttpExchange& exchange) { return Handle(exchange); }),
      m_context(context) {
  m_store.OnChange([this] { WakeWatches(); });
}

void MetadataServer::SetFault(ServerFault fault, std::string kind) {
  m_fault = fault;
  m_fault_kind = std::move(kind);
  WakeWatches();
}

void MetadataServer::WakeWatches() {
  for (boost::asio::steady_timer* timer : m_waiting) {
    timer->cancel();
  }
}

void MetadataServer::Count(const HttpRequest& request) {
  const std::string path = request.Path().substr(kPrefix.size());
  const size_t slash = path.find('/');
  std::string call = request.method;
  if (call == "GET") {
    const bool is_watch = request.Query("watch").has_value();
    const bool is_list = slash == std::string::npos;
    call = is_watch ? "watch" : is_list ? "list" : "get";
  }
  ++m_calls[call + " " + PercentDecode(path.substr(0, slash))];
}

ServerFault MetadataServer::FaultFor(const HttpRequest& request) const {
  const bool applies = request.target.find(m_fault_kind) != std::string::npos;
  return applies ? m_fault : ServerFault::kNone;
}

awaitable<void> MetadataServer::Handle(HttpExchange& exchange) {
  const HttpRequest request = exchange.request();
  Count(request);
  if (FaultFor(request) == ServerFault::kSlow) {
    boost::asio::steady_timer pause(m_context, kSlowAnswer);
    co_await pause.async_wait(boost::asio::use_awaitable);
  }
  if (FaultFor(request) == ServerFault::kReset) {
    exchange.Abort();
    co_return;
  }
  HttpResponse response{.status = 503};
  const bool is_write = request.method != "GET";
  const bool is_listing = !is_write && NamesNoDocument(request);
  const bool is_busy =
      FaultFor(request) == ServerFault::kBusy ||
      (FaultFor(request) == ServerFault::kListingsBusy && is_listing) ||
      (FaultFor(request) == ServerFault::kReadsBusy && !is_write);
  if (!is_busy) {
    response = co_await Answer(request);
  }
  const ServerFault fault = FaultFor(request);
  if (fault == ServerFault::kReset || response.status == kNoResponse ||
      (fault == ServerFault::kLoseAnswers && is_write)) {
    exchange.Abort();
    co_return;
  }
  if (m_delay > Duration::zero()) {
    boost::asio::steady_timer pause(m_context, m_delay);
    co_await pause.async_wait(boost::asio::use_awaitable);
  }
  (void)co_await exchange.Respond(std::move(response));
}

awaitable<HttpResponse> MetadataServer::Answer(const HttpRequest& request) {
  std::string path = request.Path();
  if (!path.starts_with(kPrefix)) {
    co_return HttpResponse{.status = 404};
  }
  path.erase(0, kPrefix.size());
  const size_t slash = path.find('/');
  const DocumentKind kind(PercentDecode(path.substr(0, slash)));
  std::string segment =
      slash == std::string::npos ? "" : path.substr(slash + 1);
  // Before decoding, since a name may contain a slash.
  const bool is_status = segment.ends_with(kStatus);
  if (is_status) {
    segment.resize(segment.size() - kStatus.size());
  }
  const std::string name = PercentDecode(segment);
  if (request.method == "GET") {
    co_return co_await Read(request, kind, name);
  }
  co_return co_await Write(request, kind, name, is_status);
}

awaitable<HttpResponse> MetadataServer::Read(const HttpRequest& request,
                                             DocumentKind kind,
                                             std::string name) {
  if (!name.empty()) {
    const Result<Document> document =
        co_await m_store.Get(kind, DocumentName(name));
    co_return FromDocument(document);
  }
  if (request.Query("watch").has_value()) {
    co_return co_await WatchKind(request, kind);
  }
  const DocumentName after(request.Query("after").value_or(""));
  const Result<DocumentPage> page = co_await m_store.List(kind, after);
  if (!page.has_value()) {
    co_return FromError(page.error());
  }
  std::vector<std::string> items;
  for (const Document& document : page.value().documents) {
    items.push_back(ObjectText(document));
  }
  std::string body = R"({"items":)" + ArrayText(items) + R"(,"has_more":)" +
                     (page.value().has_more ? "true" : "false") +
                     R"(,"as_of":)" +
                     std::to_string(page.value().as_of.value()) + "}";
  co_return FromText(200, std::move(body));
}

awaitable<HttpResponse> MetadataServer::WatchKind(const HttpRequest& request,
                                                  DocumentKind kind) {
  const ObjectVersion since(Number(request, "watch"));
  const auto until = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(Number(request, "wait_ms"));
  const bool wants_to_wait = Number(request, "wait_ms") > 1;
  bool waited = false;
  while (true) {
    if (m_fault == ServerFault::kNoHistory ||
        (m_fault == ServerFault::kDeafWithoutHistory && !waited)) {
      co_return HttpResponse{.status = 410};
    }
    const Result<DocumentChanges> changes =
        co_await m_store.Watch(kind, since, Duration::zero());
    if (!changes.has_value()) {
      co_return FromError(changes.error());
    }
    const bool is_late = std::chrono::steady_clock::now() >= until;
    const bool is_deaf = m_fault == ServerFault::kDeafWatches ||
                         m_fault == ServerFault::kDeafWithoutHistory;
    const bool has_news = !changes.value().changes.empty();
    // A deaf server still answers a watch that does not want to wait.
    const bool answers_at_once =
        m_fault != ServerFault::kNone && (!is_deaf || !wants_to_wait);
    if (!(is_deaf && waited) && (has_news || is_late || answers_at_once)) {
      std::vector<std::string> events;
      for (const DocumentChange& change : changes.value().changes) {
        events.push_back(std::string(R"({"removed":)") +
                         (change.removed ? "true" : "false") + R"(,"object":)" +
                         ObjectText(change.document) + "}");
      }
      std::string body = R"({"events":)" + ArrayText(events) + R"(,"as_of":)" +
                         std::to_string(changes.value().as_of.value()) + "}";
      co_return FromText(200, std::move(body));
    }
    waited = true;
    boost::asio::steady_timer timer(m_context, is_late ? kNever : until);
    m_waiting.insert(&timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    m_waiting.erase(&timer);
  }
}

awaitable<HttpResponse> MetadataServer::Write(const HttpRequest& request,
                                              DocumentKind kind,
                                              std::string name,
                                              bool is_status) {
  if (request.method == "DELETE" && request.Query("revision").has_value()) {
    const ObjectVersion expected(Number(request, "revision"));
    const Result<void> removed =
        co_await m_store.RemoveAt(kind, DocumentName(name), expected);
    co_return removed.has_value() ? HttpResponse() : FromError(removed.error());
  }
  if (request.method == "DELETE") {
    const Result<void> removed =
        co_await m_store.Remove(kind, DocumentName(name));
    co_return removed.has_value() ? HttpResponse() : FromError(removed.error());
  }
  const json body = json::parse(request.body, nullptr, false);
  // The platform takes only objects as contents.
  if (!body.is_object() ||
      (body.contains("spec") && !body["spec"].is_object())) {
    co_return HttpResponse{.status = 400};
  }
  const json& metadata = body["metadata"];
  if (request.method == "POST") {
    const DocumentName created(metadata["name"].get<std::string>());
    json spec = body["spec"];
    const Result<Document> document =
        co_await m_store.Create(kind, created, std::move(spec));
    co_return FromDocument(document);
  }
  const ObjectVersion expected(metadata["revision"].get<uint64_t>());
  if (is_status) {
    json status = body["status"];
    const Result<Document> document = co_await m_store.ReplaceStatus(
        kind, DocumentName(name), std::move(status), expected);
    co_return FromDocument(document);
  }
  json spec = body["spec"];
  const Result<Document> document = co_await m_store.Replace(
      kind, DocumentName(name), std::move(spec), expected);
  co_return FromDocument(document);
}

}  // namespace cowslip
