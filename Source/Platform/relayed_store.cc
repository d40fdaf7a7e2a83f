#include "Platform/relayed_store.h"

#include <utility>

#include "Base/overloaded.h"
#include "Net/http_client.h"
#include "Net/http_exchange.h"

namespace cowslip {

namespace {

using boost::asio::awaitable;

// A peer in the same region accepts a connection within a few milliseconds.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);

// A relayed response of the store: a page of documents, in CBOR.
constexpr size_t kMaxAnswerBytes = 16 << 20;

bool IsWrite(const StoreRequest& request) {
  return !std::holds_alternative<GetDocument>(request) &&
         !std::holds_alternative<ListDocuments>(request) &&
         !std::holds_alternative<WatchDocuments>(request);
}

DocumentKind KindOf(const StoreRequest& request) {
  return std::visit([](const auto& call) { return call.kind; }, request);
}

Duration WaitOf(const StoreRequest& request) {
  const auto* watch = std::get_if<WatchDocuments>(&request);
  return watch == nullptr ? Duration::zero() : watch->wait;
}

// True for an error after which the call may be retried through a peer.
bool IsUnavailable(const Result<StoreResponse>& store_response) {
  return !store_response.has_value() &&
         store_response.error().kind() == ErrorKind::kUnavailable;
}

template <class Response>
Result<StoreResponse> ToStoreResponse(Result<Response> result) {
  if (!result.has_value()) {
    return result.error();
  }
  return StoreResponse(std::move(result.value()));
}

Result<StoreResponse> ToStoreResponse(const Result<void>& result) {
  if (!result.has_value()) {
    return result.error();
  }
  return StoreResponse(Done{});
}

}  // namespace

RelayedStore::RelayedStore(boost::asio::any_io_executor executor,
                           DocumentStore& direct,
                           PickPeer pick_peer,
                           RelayedStoreOptions options)
    : m_executor(std::move(executor)),
      m_direct(direct),
      m_pick_peer(std::move(pick_peer)),
      m_options(options) {}

RelayedStore::~RelayedStore() = default;

void RelayedStore::RecordDirectCall(
    const Result<StoreResponse>& store_response) {
  const bool failed = IsUnavailable(store_response) ||
                      (!store_response.has_value() &&
                       store_response.error().kind() == ErrorKind::kInDoubt);
  m_reaches_store = !failed;
  if (failed) {
    m_avoid_until = MonotonicClock::now() + m_options.avoid_time;
  }
}

awaitable<Result<StoreResponse>> RelayedStore::Call(StoreRequest request) {
  const bool avoid = MonotonicClock::now() < m_avoid_until;
  std::optional<Endpoint> peer;
  if (avoid) {
    peer = m_pick_peer(KindOf(request));
  }
  if (!peer.has_value()) {
    StoreRequest copy = request;
    Result<StoreResponse> store_response = co_await CallDirect(std::move(copy));
    RecordDirectCall(store_response);
    if (!IsUnavailable(store_response)) {
      co_return store_response;
    }
    peer = m_pick_peer(KindOf(request));
    if (!peer.has_value()) {
      co_return store_response;
    }
  }
  const Endpoint endpoint = *peer;
  co_return co_await CallPeer(request, endpoint);
}

awaitable<Result<StoreResponse>> RelayedStore::CallDirect(
    StoreRequest request) {
  if (auto* get = std::get_if<GetDocument>(&request)) {
    co_return ToStoreResponse(
        co_await m_direct.Get(std::move(get->kind), std::move(get->name)));
  }
  if (auto* list = std::get_if<ListDocuments>(&request)) {
    co_return ToStoreResponse(
        co_await m_direct.List(std::move(list->kind), std::move(list->after)));
  }
  if (auto* watch = std::get_if<WatchDocuments>(&request)) {
    co_return ToStoreResponse(co_await m_direct.Watch(
        std::move(watch->kind), watch->since, watch->wait));
  }
  if (auto* create = std::get_if<CreateDocument>(&request)) {
    co_return ToStoreResponse(co_await m_direct.Create(
        std::move(create->kind), std::move(create->name),
        std::move(create->content)));
  }
  if (auto* replace = std::get_if<ReplaceDocument>(&request)) {
    co_return ToStoreResponse(co_await m_direct.Replace(
        std::move(replace->kind), std::move(replace->name),
        std::move(replace->content), replace->expected));
  }
  if (auto* status = std::get_if<ReplaceDocumentStatus>(&request)) {
    co_return ToStoreResponse(co_await m_direct.ReplaceStatus(
        std::move(status->kind), std::move(status->name),
        std::move(status->status), status->expected));
  }
  if (auto* remove = std::get_if<RemoveDocumentAt>(&request)) {
    co_return ToStoreResponse(co_await m_direct.RemoveAt(
        std::move(remove->kind), std::move(remove->name), remove->expected));
  }
  auto& remove = std::get<RemoveDocument>(request);
  co_return ToStoreResponse(
      co_await m_direct.Remove(std::move(remove.kind), std::move(remove.name)));
}

awaitable<Result<StoreResponse>> RelayedStore::CallPeer(
    const StoreRequest& request,
    Endpoint peer) {
  std::shared_ptr<HttpClient>& known = m_clients[peer];
  if (known == nullptr) {
    known = std::make_shared<HttpClient>(
        m_executor, peer,
        HttpClientOptions{.max_response_bytes = kMaxAnswerBytes,
                          .connect_timeout = kConnectTimeout,
                          .dead_peer_timeout = m_options.call_timeout,
                          .memory = m_options.memory,
                          .memory_priority = MemoryPriority::kHigh});
  }
  const std::shared_ptr<HttpClient> client = known;
  HttpRequest message{.method = "POST",
                      .target = "/store",
                      .body = EncodeStoreRequest(request)};
  const Duration timeout = WaitOf(request) + m_options.call_timeout;
  const Result<HttpResponse> response =
      co_await client->Send(std::move(message), timeout);
  const bool is_write = IsWrite(request);
  if (!response.has_value()) {
    const bool in_doubt =
        is_write && response.error().kind() != ErrorKind::kUnavailable;
    co_return Error(in_doubt ? ErrorKind::kInDoubt : ErrorKind::kUnavailable,
                    response.error().message);
  }
  Result<StoreResponse> store_response =
      DecodeStoreResponse(response.value().body);
  const bool unreadable =
      !store_response.has_value() &&
      (store_response.error().kind() == ErrorKind::kMalformedMessage ||
       store_response.error().kind() == ErrorKind::kTooLarge);
  if (unreadable) {
    co_return Error(is_write ? ErrorKind::kInDoubt : ErrorKind::kUnavailable,
                    store_response.error().message);
  }
  co_return store_response;
}

awaitable<void> RelayedStore::Serve(HttpExchange& exchange) {
  Result<StoreRequest> request = DecodeStoreRequest(exchange.request().body);
  HttpResponse response;
  if (!request.has_value()) {
    response.status = 400;
    response.body = EncodeStoreResponse(request.error());
  } else {
    const Result<StoreResponse> store_response =
        co_await CallDirect(std::move(request.value()));
    RecordDirectCall(store_response);
    response.body = EncodeStoreResponse(store_response);
  }
  response.headers.push_back({"Content-Type", "application/cbor"});
  (void)co_await exchange.Respond(std::move(response));
}

template <class Response>
awaitable<Result<Response>> RelayedStore::CallFor(StoreRequest request) {
  Result<StoreResponse> store_response = co_await Call(std::move(request));
  if (!store_response.has_value()) {
    co_return store_response.error();
  }
  Response* wanted = std::get_if<Response>(&store_response.value());
  if (wanted == nullptr) {
    co_return Error(ErrorKind::kInDoubt,
                    "The other process answered something else. Upgrade the "
                    "older process.");
  }
  co_return std::move(*wanted);
}

awaitable<Result<Document>> RelayedStore::Get(DocumentKind kind,
                                              DocumentName name) {
  StoreRequest request = GetDocument{std::move(kind), std::move(name)};
  co_return co_await CallFor<Document>(std::move(request));
}

awaitable<Result<DocumentPage>> RelayedStore::List(DocumentKind kind,
                                                   DocumentName after) {
  StoreRequest request = ListDocuments{std::move(kind), std::move(after)};
  co_return co_await CallFor<DocumentPage>(std::move(request));
}

awaitable<Result<DocumentChanges>> RelayedStore::Watch(DocumentKind kind,
                                                       ObjectVersion since,
                                                       Duration wait) {
  StoreRequest request = WatchDocuments{std::move(kind), since, wait};
  co_return co_await CallFor<DocumentChanges>(std::move(request));
}

awaitable<Result<Document>> RelayedStore::Create(DocumentKind kind,
                                                 DocumentName name,
                                                 nlohmann::json content) {
  StoreRequest request =
      CreateDocument{std::move(kind), std::move(name), std::move(content)};
  co_return co_await CallFor<Document>(std::move(request));
}

awaitable<Result<Document>> RelayedStore::Replace(DocumentKind kind,
                                                  DocumentName name,
                                                  nlohmann::json content,
                                                  ObjectVersion expected) {
  StoreRequest request = ReplaceDocument{std::move(kind), std::move(name),
                                         std::move(content), expected};
  co_return co_await CallFor<Document>(std::move(request));
}

awaitable<Result<Document>> RelayedStore::ReplaceStatus(
    DocumentKind kind,
    DocumentName name,
    nlohmann::json status,
    ObjectVersion expected) {
  StoreRequest request = ReplaceDocumentStatus{std::move(kind), std::move(name),
                                               std::move(status), expected};
  co_return co_await CallFor<Document>(std::move(request));
}

awaitable<Result<void>> RelayedStore::Remove(DocumentKind kind,
                                             DocumentName name) {
  StoreRequest request = RemoveDocument{std::move(kind), std::move(name)};
  co_return co_await CallForDone(std::move(request));
}

awaitable<Result<void>> RelayedStore::RemoveAt(DocumentKind kind,
                                               DocumentName name,
                                               ObjectVersion expected) {
  StoreRequest request =
      RemoveDocumentAt{std::move(kind), std::move(name), expected};
  co_return co_await CallForDone(std::move(request));
}

awaitable<Result<void>> RelayedStore::CallForDone(StoreRequest request) {
  const Result<Done> done = co_await CallFor<Done>(std::move(request));
  if (!done.has_value()) {
    co_return done.error();
  }
  co_return Ok();
}

}  // namespace cowslip
