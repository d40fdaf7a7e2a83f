#ifndef UTILITIES_STANDINS_MODELSERVER_MODEL_SERVER_H_
#define UTILITIES_STANDINS_MODELSERVER_MODEL_SERVER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "Base/time.h"
#include "Net/http_message.h"
#include "Net/http_server.h"

namespace cowslip {

/// How a server answers `GET /report`.
enum class ReportAnswer {
  /// With the time of its start.
  kStart,
  kWithoutStart,
  kNotFound,
  kUnavailable,
  /// With bytes that are not JSON.
  kMalformed,
  /// With more bytes than any report has.
  kEndless,
  /// With its start; from then on each answer ends with its connection.
  kStartAndClose,
  /// Closes the connection without an answer.
  kBreaks,
  /// Never.
  kSilent,
};

/// \class ModelBehaviour
/// \brief How the next requests are treated. Counters tick down to zero.
struct ModelBehaviour {
  /// Events of a whole answer.
  uint64_t events = 4;
  Duration pause = std::chrono::milliseconds(2);
  /// Closes the connection after this many events; 0 for never.
  uint64_t break_after = 0;
  /// Streams that break that way.
  int breaks = 0;
  /// Requests that are turned away as not run.
  int turn_away = 0;
  /// Requests that are answered with this status instead.
  int fail_status = 0;
  int fails = 0;
  /// Requests that are answered in the name of another one.
  int wrong_ids = 0;
  /// Requests that are answered without a signature.
  int unsigned_answers = 0;
  /// Closes the connection before any answer.
  int silent_closes = 0;
  /// How long it falls silent before the event of this number; 0 is the head of
  /// an answer.
  std::map<uint64_t, Duration> silences;
  /// When set, silences end at this time instead.
  std::optional<std::chrono::steady_clock::time_point> silences_end;
  /// Silences that end with a closed connection.
  int silence_breaks = 0;
  /// Streams that break after the head.
  int head_breaks = 0;
  /// Says in every answer that it leaves.
  bool leaving = false;
  /// The requests per second that it names as its limit in every answer; 0 for
  /// none.
  double limit = 0;
  /// How `reports` calls are answered, and all others with the start.
  ReportAnswer report = ReportAnswer::kStart;
  int reports = 1'000'000;
};

/// \class ModelIncarnation
/// \brief One start of a server.
struct ModelIncarnation {
  /// In Unix milliseconds.
  uint64_t started_at_ms = 0;
  /// Ends the data of each event unless it is empty.
  std::string version;
};

/// \class ModelServer
/// \brief A backend server that speaks the platform's protocol: numbered
/// events, resumption, signatures, and the faults of ModelBehaviour.
class ModelServer {
 public:
  ModelServer(boost::asio::io_context& context, std::string id);

  Result<void> Start() { return m_server->Start(); }
  uint16_t port() const { return m_server->port(); }
  void SetIncarnation(ModelIncarnation incarnation) {
    m_incarnation = std::move(incarnation);
  }
  /// Closes all connections and comes back at once at the same port.
  Result<void> Restart(ModelIncarnation incarnation);
  ModelBehaviour& behaviour() { return m_behaviour; }
  /// Every request that reached this server, in order, without the calls of
  /// `GET /report`.
  const std::vector<HttpRequest>& received() const { return m_received; }
  /// When each of them arrived.
  const std::vector<MonotonicTime>& arrivals() const { return m_arrivals; }
  /// The number of calls of `GET /report`.
  size_t reports() const { return m_reports; }
  size_t active() const { return m_server->active_requests(); }
  /// What a whole answer to an attempt looks like.
  static std::string Body(const std::string& attempt,
                          uint64_t first,
                          uint64_t last,
                          const std::string& version = "");

 private:
  std::unique_ptr<HttpServer> MakeServer(uint16_t port);
  boost::asio::awaitable<void> Handle(HttpExchange& exchange);
  boost::asio::awaitable<void> Report(HttpExchange& exchange);
  boost::asio::awaitable<bool> Misbehave(HttpExchange& exchange);
  boost::asio::awaitable<void> StreamEvents(HttpExchange& exchange,
                                            std::string attempt);
  /// Waits if ModelBehaviour::silences says so, until the client leaves.
  /// Returns false when the connection was closed at the end.
  boost::asio::awaitable<bool> FallSilent(HttpExchange& exchange,
                                          uint64_t number);
  HttpHeaders Headers(const std::string& attempt);

  const std::string m_id;
  boost::asio::io_context& m_context;
  std::unique_ptr<HttpServer> m_server;
  ModelBehaviour m_behaviour;
  ModelIncarnation m_incarnation;
  size_t m_reports = 0;
  std::vector<HttpRequest> m_received;
  std::vector<MonotonicTime> m_arrivals;
};

}  // namespace cowslip

#endif  // UTILITIES_STANDINS_MODELSERVER_MODEL_SERVER_H_
