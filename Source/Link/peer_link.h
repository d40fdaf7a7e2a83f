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
/// \brief The identity of this process, and the limits and timeouts of its
/// links.
///
/// Has plain types only, because this header is compiled both as C++17 and as
/// C++20.
struct PeerLinkOptions {
  std::string self_vm;
  uint64_t self_incarnation = 0;
  std::string listen_address = "127.0.0.1";
  /// 0 picks a free port; see PeerLink::port().
  uint16_t listen_port = 0;
  size_t max_frame_bytes = 4 << 20;
  /// A link with more unsent bytes than this is closed.
  size_t max_queued_bytes = 16 << 20;
  /// Interval between heartbeat frames.
  int heartbeat_ms = 500;
  /// A link on which nothing was received for this long is closed as failed.
  int silence_timeout_ms = 2000;
  /// Bounds of the exponential backoff between connection attempts; jitter
  /// shortens each pause by up to a half.
  int redial_min_ms = 50;
  int redial_max_ms = 2000;
};

/// \class PeerLink
/// \brief Maintains websocket links to other processes, addressed by VM, and
/// sends and receives frames on them.
///
/// A frame is a channel name with CBOR bytes. Frames of one link arrive in
/// order and at most once; frames may be lost when their link fails. When two
/// VMs hold two links, the newer one is used; but if each VM dialled one and
/// neither has restarted, the one that the smaller VM id dialled is used. Every
/// callback runs on the io_context's thread.
class PeerLink {
 public:
  /// Receives the peer's VM id and the incarnation from its hello frame.
  using UpHandler =
      std::function<void(const std::string& peer_vm, uint64_t incarnation)>;
  using DownHandler = std::function<void(const std::string& peer_vm)>;
  using FrameHandler =
      std::function<void(const std::string& peer_vm, const std::string& cbor)>;

  PeerLink(boost::asio::io_context& context, PeerLinkOptions options);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  /// Adds a handler; there may be any number. Call before Start().
  void OnUp(UpHandler handler);
  void OnDown(DownHandler handler);
  /// Sets the only handler of a channel.
  void OnFrame(const std::string& channel, FrameHandler handler);

  /// Binds the listen address and port and starts accepting connections;
  /// returns an empty string on success, otherwise an error message.
  std::string Start();
  uint16_t port() const;

  /// Opens a link to that VM and reopens it after failures until Hangup().
  void Dial(const std::string& peer_vm,
            const std::string& address,
            uint16_t port);
  void Hangup(const std::string& peer_vm);

  bool IsUp(const std::string& peer_vm) const;
  /// Queues a frame. Returns false if there is no link or the frame could not
  /// be queued; then no part of the frame was sent.
  bool Send(const std::string& peer_vm,
            const std::string& channel,
            const std::string& cbor);
  /// Returns the bytes queued to that peer and not yet sent.
  size_t QueuedBytes(const std::string& peer_vm) const;
  /// Bytes of frames queued for sending and received since the start, without
  /// websocket headers.
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
