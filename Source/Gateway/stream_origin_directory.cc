#include "Gateway/stream_origin_directory.h"

#include <chrono>
#include <utility>

#include "Net/http_client.h"
#include "Net/http_exchange.h"
#include "Net/percent_encoding.h"
#include "Peers/peer_table.h"
#include "Peers/stream_origin_message.h"

namespace cowslip {

namespace {

using boost::asio::awaitable;

constexpr char kAttemptField[] = "attempt";

// A live gateway responds from memory. The caller waits meanwhile, so one that
// does not respond must not use up the time of the others.
constexpr Duration kAskTimeout = std::chrono::milliseconds(100);

// An origin holds three short ids.
constexpr size_t kMaxOriginBytes = 4096;

}  // namespace

StreamOriginDirectory::StreamOriginDirectory(
    boost::asio::any_io_executor executor,
    StreamOriginOptions options,
    const PeerTable& peers,
    SendDatagram send_datagram)
    : m_executor(std::move(executor)),
      m_peers(peers),
      m_send_datagram(std::move(send_datagram)),
      m_core(std::move(options), peers) {}

StreamOriginDirectory::~StreamOriginDirectory() = default;

void StreamOriginDirectory::RecordStart(const StreamOrigin& origin) {
  Handle(StreamBegan{origin});
}

void StreamOriginDirectory::RecordReport(const StreamOrigin& origin) {
  Handle(StreamOriginReceived{origin});
}

void StreamOriginDirectory::Handle(const StreamOriginEvent& event) {
  for (const StreamOriginAction& action :
       m_core.Handle(event, MonotonicClock::now())) {
    const auto& report = std::get<ReportStreamOrigin>(action);
    const std::optional<Endpoint> to = m_peers.AddressOf(report.peer);
    if (to.has_value()) {
      m_send_datagram(*to, EncodeStreamOrigin(report.origin));
    }
  }
}

awaitable<std::optional<StreamOrigin>> StreamOriginDirectory::Find(
    AttemptId attempt) {
  std::optional<StreamOrigin> known =
      m_core.Find(attempt, MonotonicClock::now());
  if (known.has_value()) {
    co_return known;
  }
  for (const VmId& peer : m_core.Candidates(attempt)) {
    const std::optional<Endpoint> address = m_peers.AddressOf(peer);
    if (!address.has_value()) {
      continue;
    }
    const Result<StreamOrigin> answer = co_await Ask(*address, attempt);
    if (answer.has_value() && answer.value().attempt == attempt) {
      RecordReport(answer.value());
      co_return answer.value();
    }
  }
  co_return std::nullopt;
}

awaitable<Result<StreamOrigin>> StreamOriginDirectory::Ask(Endpoint peer,
                                                           AttemptId attempt) {
  std::shared_ptr<HttpClient>& known = m_clients[peer];
  if (known == nullptr) {
    known = std::make_shared<HttpClient>(
        m_executor, peer,
        HttpClientOptions{.max_response_bytes = kMaxOriginBytes,
                          .connect_timeout = kAskTimeout});
  }
  const std::shared_ptr<HttpClient> client = known;
  HttpRequest request{.target = std::string(kPath) + "?" + kAttemptField + "=" +
                                PercentEncode(attempt.value())};
  const Result<HttpResponse> response =
      co_await client->Send(std::move(request), kAskTimeout);
  if (!response.has_value()) {
    co_return response.error();
  }
  co_return DecodeStreamOrigin(response.value().body);
}

awaitable<void> StreamOriginDirectory::Serve(HttpExchange& exchange) {
  const AttemptId attempt(exchange.request().Query(kAttemptField).value_or(""));
  const std::optional<StreamOrigin> origin =
      m_core.Find(attempt, MonotonicClock::now());
  HttpResponse response{.status = 404};
  if (origin.has_value()) {
    response = HttpResponse{.status = 200,
                            .headers = {{"Content-Type", "application/cbor"}},
                            .body = EncodeStreamOrigin(*origin)};
  }
  (void)co_await exchange.Respond(std::move(response));
}

}  // namespace cowslip
