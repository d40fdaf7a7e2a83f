#ifndef SOURCE_LINK_PEER_LINK_H_
#define SOURCE_LINK_PEER_LINK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

namespace cowslip {

/// \class PeerLinkOptions
/// \brief Who this process is and the bounds on its links. Plain types only:
/// this header is compiled as C++17 and as C++20.
struct PeerLinkOptions {
  std::string self_vm;
  uint64_t self_incarnation = 0;
  std::string listen_address = "127.0.0.1";
  /// 0 picks a free port; see PeerLink::port().
  uint16_t listen_port = 0;
  size_t max_frame_bytes = 4 << 20;
  /// A link whose unsent bytes pass this is closed.
  size_t max_queued_bytes = 16 << 20;
  int heartbeat_ms = 500;
  /// A link silent for this long counts as failed.
  int silence_timeout_ms = 2000;
  int redial_min_ms = 50;
  int redial_max_ms = 2000;
};

/// \class PeerLink
/// \brief Keeps websocket links to other processes and carries frames between
/// them, addressed by VM.
///
/// A frame is a channel name with CBOR bytes. Frames of one link come in order
/// and at most once; a frame may be lost when its link fails. When two VMs
/// hold two links, the newer one is used. Every callback runs on the
/// io_context's thread.
class PeerLink {
 public:
  /// `peer_vm` and the incarnation that it stated in its hello.
  using UpHandler =
      std::function<void(const std::string& peer_vm, uint64_t incarnation)>;
  using DownHandler = std::function<void(const std::string& peer_vm)>;
  using FrameHandler =
      std::function<void(const std::string& peer_vm, const std::string& cbor)>;

  PeerLink(boost::asio::io_context& context, PeerLinkOptions options);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  /// Any number of handlers; set them before Start().
  void OnUp(UpHandler handler);
  void OnDown(DownHandler handler);
  /// One handler per channel.
  void OnFrame(const std::string& channel, FrameHandler handler);

  /// Opens the port; returns an empty string or what went wrong.
  std::string Start();
  uint16_t port() const;

  /// Keeps a link to that VM, redialling until Hangup().
  void Dial(const std::string& peer_vm,
            const std::string& address,
            uint16_t port);
  void Hangup(const std::string& peer_vm);

  bool IsUp(const std::string& peer_vm) const;
  /// Queues a frame; false when there is no link, so that surely nothing was
  /// sent.
  bool Send(const std::string& peer_vm,
            const std::string& channel,
            const std::string& cbor);
  /// Bytes queued to that peer and not yet sent.
  size_t QueuedBytes(const std::string& peer_vm) const;
  /// Bytes sent and received since the start.
  uint64_t bytes_sent() const;
  uint64_t bytes_received() const;

  /// Closes all links and the port.
  void Stop();

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslip

#endif  // SOURCE_LINK_PEER_LINK_H_
