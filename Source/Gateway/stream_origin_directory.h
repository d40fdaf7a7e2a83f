#ifndef SOURCE_GATEWAY_STREAM_ORIGIN_DIRECTORY_H_
#define SOURCE_GATEWAY_STREAM_ORIGIN_DIRECTORY_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "Base/endpoint.h"
#include "Base/result.h"
#include "Peers/stream_origin_core.h"

namespace cowslip {

class HttpClient;
class HttpExchange;
class PeerTable;

/// \class StreamOriginDirectory
/// \brief Drives StreamOriginCore: sends the origins of streams to other
/// gateways in datagrams, and asks them for those that this process lacks.
class StreamOriginDirectory {
 public:
  using SendDatagram =
      std::function<void(const Endpoint& to, const std::string& bytes)>;

  /// The path under which Serve() responds.
  static constexpr char kPath[] = "/stream-origins";

  StreamOriginDirectory(boost::asio::any_io_executor executor,
                        StreamOriginOptions options,
                        const PeerTable& peers,
                        SendDatagram send_datagram);
  ~StreamOriginDirectory();

  /// Call this before the stream's first event is sent to its caller: the
  /// caller may resume the stream elsewhere as soon as it has the event.
  void RecordStart(const StreamOrigin& origin);
  void RecordReport(const StreamOrigin& origin);
  /// Returns the origin of the stream, or nullopt when no process that can be
  /// reached remembers it.
  boost::asio::awaitable<std::optional<StreamOrigin>> Find(AttemptId attempt);
  /// Responds to the question of another gateway.
  boost::asio::awaitable<void> Serve(HttpExchange& exchange);

 private:
  void Handle(const StreamOriginEvent& event);
  boost::asio::awaitable<Result<StreamOrigin>> Ask(Endpoint peer,
                                                   AttemptId attempt);

  const boost::asio::any_io_executor m_executor;
  const PeerTable& m_peers;
  const SendDatagram m_send_datagram;
  StreamOriginCore m_core;
  std::map<Endpoint, std::shared_ptr<HttpClient>> m_clients;
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_STREAM_ORIGIN_DIRECTORY_H_
