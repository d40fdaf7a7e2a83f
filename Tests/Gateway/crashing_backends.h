#ifndef TESTS_GATEWAY_CRASHING_BACKENDS_H_
#define TESTS_GATEWAY_CRASHING_BACKENDS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "Base/time.h"
#include "Net/http_message.h"
#include "Utilities/StandIns/MetadataStore/fake_document_store.h"

namespace cowslip {

/// \class CrashingBackendsOptions
/// \brief The size of the fleet, and what crashes its members.
struct CrashingBackendsOptions {
  size_t count = 8;
  /// The part of a prompt that crashes a backend server as soon as it begins
  /// to answer a request with it.
  std::string crashing_part = "bad1";
  /// How long a backend server that crashed stays away.
  Duration restart_time = std::chrono::milliseconds(300);
  /// Whether answers have chunks; without them, they end with the connection.
  bool chunked = true;
  uint64_t events = 6;
  Duration event_interval = std::chrono::milliseconds(10);
};

/// \class CrashingBackends
/// \brief Backend servers that crash, with all their runs, under requests with
/// one part in their prompts. Each start is a new incarnation.
class CrashingBackends {
 public:
  CrashingBackends(boost::asio::io_context& context,
                   FakeDocumentStore& store,
                   CrashingBackendsOptions options);

  /// The requests with the crashing part that reached a backend server.
  size_t crashing_requests() const { return m_crashing_requests; }
  size_t crashes() const { return m_crashes; }
  /// How long no backend server has run a request with this attempt id.
  Duration IdleTime(const std::string& attempt) const;
  /// The backend servers that are up.
  size_t running() const;
  /// Crashes one backend server, whatever it runs.
  void Crash(size_t index);

 private:
  using Socket = std::shared_ptr<boost::asio::ip::tcp::socket>;
  struct Backend {
    uint16_t port = 0;
    uint64_t starts = 0;
    bool running = false;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
    std::set<Socket> connections;
  };

  struct AttemptRuns {
    size_t running = 0;
    MonotonicTime last_end;
  };

  void Start(size_t index);
  std::string IdOf(size_t index) const;
  boost::asio::awaitable<void> Accept(size_t index);
  boost::asio::awaitable<void> Serve(size_t index, Socket socket);
  /// Answers a request; false when the connection has ended.
  /// Answers `GET /report`. Returns false when the connection is closed.
  boost::asio::awaitable<bool> Report(size_t index, Socket socket);
  /// The time of its last start, in Unix milliseconds.
  uint64_t StartOf(size_t index) const;
  boost::asio::awaitable<bool> Answer(size_t index,
                                      Socket socket,
                                      HttpRequest request);
  boost::asio::awaitable<void> StartAgain(size_t index);
  boost::asio::awaitable<void> Sleep(Duration pause);
  bool HasCrashingPart(const HttpRequest& request) const;

  boost::asio::io_context& m_context;
  FakeDocumentStore& m_store;
  const CrashingBackendsOptions m_options;
  std::vector<Backend> m_backends;
  std::map<std::string, AttemptRuns> m_runs;
  size_t m_crashing_requests = 0;
  size_t m_crashes = 0;
};

}  // namespace cowslip

#endif  // TESTS_GATEWAY_CRASHING_BACKENDS_H_
