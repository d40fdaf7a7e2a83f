#ifndef TESTS_GATEWAY_GATEWAY_FIXTURE_H_
#define TESTS_GATEWAY_GATEWAY_FIXTURE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "Gateway/gateway_daemon.h"
#include "Net/http_client.h"
#include "Utilities/StandIns/MetadataStore/metadata_server.h"
#include "Utilities/StandIns/ModelServer/model_server.h"

namespace cowslip {

/// \class GatewayFixture
/// \brief Runs gateways, backend servers and the platform's store in one
/// process, connected over loopback.
class GatewayFixture {
 public:
  /// Publishes a configuration with one route of each kind, and registers the
  /// backend servers `i-0`, `i-1`, ...
  explicit GatewayFixture(size_t backends);
  ~GatewayFixture();

  /// Starts a gateway; returns its index. Call WaitUntilReady() next.
  size_t AddGateway();
  /// As above, with the store at another port.
  size_t AddGateway(uint16_t store_port);
  /// As above, on the VM that had this name before.
  size_t AddGateway(uint16_t store_port, const std::string& vm);
  /// What the caller received, for the message of a failing check.
  static std::string Describe(const Result<HttpResponse>& response);
  /// Adds one for KillGateway(): its handlers have a context of their own. At
  /// most one in a fixture.
  size_t AddKillableGateway();
  size_t AddKillableGateway(uint16_t store_port);
  /// Destroys the killable gateway without a shutdown, as a crash would: none
  /// of its handlers runs any more.
  void KillGateway();
  /// The killable gateway stands still from now on: its connections stay open,
  /// and none of its handlers runs.
  void FreezeGateway();

  template <class Body>
  void Run(Body body) {
    bool done = false;
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> {
          co_await body();
          done = true;
          context.stop();
        },
        boost::asio::detached);
    RunFor(std::chrono::seconds(40));
    CHECK(done);
    context.restart();
  }

  /// Runs what is ready until `context` is stopped or the time has passed.
  void RunFor(Duration limit);

  boost::asio::awaitable<void> WaitUntilReady();
  boost::asio::awaitable<void> Sleep(Duration pause);
  /// Sends a request to a gateway and reads the whole response.
  boost::asio::awaitable<Result<HttpResponse>> Send(size_t gateway,
                                                    HttpRequest request);
  /// Builds a request with a key of the organisation `mill`.
  static HttpRequest Request(const std::string& method,
                             const std::string& target,
                             const std::string& attempt,
                             std::string body = "");
  /// Builds a submission of `items` items under the job's id.
  static HttpRequest Submission(const std::string& job, size_t items);
  /// Polls the results of a job until every item has one. Gives up after 400
  /// reads and returns those read so far.
  boost::asio::awaitable<nlohmann::json> ReadAllResults(size_t gateway,
                                                        std::string job);
  /// The configuration; call Publish() to write it to the store after a change.
  nlohmann::json configuration;
  void Publish();
  /// The grace time of gateways that are added from now on.
  Duration stop_grace = GatewaySettings().stop_grace;
  /// The bound of evacuations of gateways that are added from now on.
  std::optional<Duration> evacuate_within;
  /// When gateways that are added from now on remove silent peers.
  Duration remove_peers_after = PeerTableOptions().remove_after;
  /// The bounds at cold backend servers of gateways that are added from now on.
  std::optional<ColdBounds> cold_bounds;
  /// The entry of a backend server, as registered at first.
  nlohmann::json Entry(size_t index) const;
  /// The region of gateways that are added from now on, and the regions of
  /// zones in their settings.
  RegionId region;
  std::map<ZoneId, RegionId> zone_regions;
  /// Called when the shutdown of a gateway that is added from now on is
  /// complete: its process would exit.
  std::function<void()> on_stopped;

  GatewayDaemon& gateway(size_t index) { return *m_gateways[index]; }
  ModelServer& backend(size_t index) { return *m_backends[index]; }
  /// Moves a backend server to another zone than `z`, where all are at first.
  void SetZone(size_t index, const std::string& zone);
  size_t RequestsAt(size_t index) { return backend(index).received().size(); }

  boost::asio::io_context context;
  FakeDocumentStore store;
  MetadataServer server{context, store};
  /// A second server in front of the same store, with its own faults.
  MetadataServer other_server{context, store};

 private:
  size_t AddGateway(boost::asio::io_context& gateway_context,
                    uint16_t store_port,
                    const std::string& vm);
  void Register(size_t index);

  std::vector<std::unique_ptr<ModelServer>> m_backends;
  std::vector<std::unique_ptr<GatewayDaemon>> m_gateways;
  std::vector<std::unique_ptr<HttpClient>> m_clients;
  std::unique_ptr<boost::asio::io_context> m_killable_context;
  size_t m_killable = 0;
};

}  // namespace cowslip

#endif  // TESTS_GATEWAY_GATEWAY_FIXTURE_H_
