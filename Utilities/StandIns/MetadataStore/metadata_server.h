#ifndef UTILITIES_STANDINS_METADATASTORE_METADATA_SERVER_H_
#define UTILITIES_STANDINS_METADATASTORE_METADATA_SERVER_H_

#include <map>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "Net/http_server.h"
#include "Utilities/StandIns/MetadataStore/fake_document_store.h"

namespace cowslip {

/// What the server does with every call from now on.
enum class ServerFault {
  kNone,
  /// Status 503.
  kBusy,
  /// Closes the connection without an answer, before doing anything.
  kReset,
  /// Carries out writes and closes the connection without an answer.
  kLoseAnswers,
  /// Watches that wait hear nothing any more; other calls are answered.
  kDeafWatches,
  /// Answers after kSlowAnswer.
  kSlow,
  /// Status 503 to reads; writes are carried out and answered.
  kReadsBusy,
  /// Status 503 to listings and watches; other calls are answered.
  kListingsBusy,
  /// The history is forgotten all the time: status 410 to every watch.
  kNoHistory,
  /// As kNoHistory for new watches, while those that wait hear nothing.
  kDeafWithoutHistory,
};

/// How long a slow server takes.
inline constexpr Duration kSlowAnswer = std::chrono::milliseconds(150);

/// Returns a content that a MetadataServer sends as this text, as if another
/// writer had stored it.
nlohmann::json RawContent(std::string text);

/// \class MetadataServer
/// \brief Speaks the platform's metadata protocol over HTTP, for a
/// FakeDocumentStore.
class MetadataServer {
 public:
  MetadataServer(boost::asio::io_context& context, FakeDocumentStore& store);

  Result<void> Start() { return m_server.Start(); }
  uint16_t port() const { return m_server.port(); }
  /// With `kind`, only calls about that kind meet the fault.
  void SetFault(ServerFault fault, std::string kind = "");
  /// From now on every answer is sent this long after it was composed.
  void SetDelay(Duration delay) { m_delay = delay; }
  /// The calls so far by method or way of reading and kind of document, such as
  /// "list servers", "watch servers", "get servers" or "POST peers".
  const std::map<std::string, size_t>& calls() const { return m_calls; }

 private:
  boost::asio::awaitable<void> Handle(HttpExchange& exchange);
  boost::asio::awaitable<HttpResponse> Answer(const HttpRequest& request);
  boost::asio::awaitable<HttpResponse> Read(const HttpRequest& request,
                                            DocumentKind kind,
                                            std::string name);
  boost::asio::awaitable<HttpResponse> WatchKind(const HttpRequest& request,
                                                 DocumentKind kind);
  boost::asio::awaitable<HttpResponse> Write(const HttpRequest& request,
                                             DocumentKind kind,
                                             std::string name,
                                             bool is_status);
  void WakeWatches();
  void Count(const HttpRequest& request);
  ServerFault FaultFor(const HttpRequest& request) const;

  FakeDocumentStore& m_store;
  HttpServer m_server;
  boost::asio::io_context& m_context;
  std::set<boost::asio::steady_timer*> m_waiting;
  ServerFault m_fault = ServerFault::kNone;
  std::string m_fault_kind;
  Duration m_delay{0};
  std::map<std::string, size_t> m_calls;
};

}  // namespace cowslip

#endif  // UTILITIES_STANDINS_METADATASTORE_METADATA_SERVER_H_
