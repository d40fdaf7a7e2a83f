#include "Link/peer_link_impl.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "Base/log.h"

namespace cowslip {

using std::chrono::milliseconds;

PeerLink::Impl::Impl(boost::asio::io_context& context, PeerLinkOptions options)
    : m_context(context),
      m_options(std::move(options)),
      m_endpoint(context, m_options.max_frame_bytes),
      m_tick_timer(context),
      m_last_tick(Clock::now()),
      m_random(m_options.self_incarnation) {}

std::string PeerLink::Impl::Start() {
  SetEndpointHandlers();
  std::string problem =
      m_endpoint.Listen(m_options.listen_address, m_options.listen_port);
  if (problem.empty()) {
    m_last_tick = Clock::now();
    ScheduleTick();
  }
  return problem;
}

void PeerLink::Impl::SetEndpointHandlers() {
  // The handlers of the connections own this object until Asio releases them.
  auto self = shared_from_this();
  LinkEndpoint::Handlers handlers;
  handlers.on_open = [self](WebsocketConnection socket, const std::string& vm) {
    self->HandleOpen(std::move(socket), vm);
  };
  handlers.on_close = [self](const void* key) { self->HandleClose(key); };
  handlers.on_message = [self](const void* key, const std::string& bytes) {
    self->HandleMessage(key, bytes);
  };
  handlers.on_fail = [self](const std::string& vm) {
    if (!vm.empty()) {
      self->ScheduleDial(vm);
    }
  };
  m_endpoint.SetHandlers(std::move(handlers));
}

void PeerLink::Impl::Stop() {
  if (m_stopped) {
    return;
  }
  m_stopped = true;
  m_tick_timer.cancel();
  m_dials.clear();
  m_in_use.clear();
  m_pending_downs.clear();
  const auto connections = std::exchange(m_connections, {});
  for (const auto& [key, connection] : connections) {
    CloseConnection(connection.socket, "stopping");
  }
  m_endpoint.Stop();
  m_up_handlers.clear();
  m_down_handlers.clear();
  m_frame_handlers.clear();
}

void PeerLink::Impl::Dial(const std::string& vm,
                          const std::string& address,
                          uint16_t port) {
  if (m_stopped) {
    return;
  }
  DialState& dial = m_dials[vm];
  dial.address = address;
  dial.port = port;
  if (!dial.pending && !IsUp(vm)) {
    DialNow(vm);
  }
}

void PeerLink::Impl::Hangup(const std::string& vm) {
  m_dials.erase(vm);
  const auto in_use = m_in_use.find(vm);
  if (in_use != m_in_use.end()) {
    Drop(in_use->second, "hangup");
  }
}

bool PeerLink::Impl::IsUp(const std::string& vm) const {
  return m_in_use.count(vm) != 0;
}

bool PeerLink::Impl::Send(const std::string& vm,
                          const std::string& channel,
                          const std::string& cbor) {
  const auto in_use = m_in_use.find(vm);
  if (in_use == m_in_use.end()) {
    return false;
  }
  const void* key = in_use->second;
  const Connection& connection = m_connections.at(key);
  const size_t queued = BufferedBytes(connection.socket) + cbor.size();
  if (queued > m_options.max_queued_bytes) {
    LOG(WARNING) << "link: the send queue to " << vm
                 << " exceeds max_queued_bytes; closing the link.";
    Drop(key, "queue full");
    return false;
  }
  return SendOn(connection, channel, cbor);
}

size_t PeerLink::Impl::QueuedBytes(const std::string& vm) const {
  const auto in_use = m_in_use.find(vm);
  if (in_use == m_in_use.end()) {
    return 0;
  }
  return BufferedBytes(m_connections.at(in_use->second).socket);
}

bool PeerLink::Impl::SendOn(const Connection& connection,
                            const std::string& channel,
                            const std::string& cbor) {
  const std::string bytes = EncodeFrame(channel, cbor);
  if (bytes.size() > m_options.max_frame_bytes) {
    LOG(ERROR) << "link: a frame on channel " << channel
               << " exceeds max_frame_bytes and was not sent.";
    return false;
  }
  if (!SendBytes(connection.socket, bytes)) {
    return false;
  }
  m_bytes_sent += bytes.size();
  return true;
}

void PeerLink::Impl::HandleOpen(WebsocketConnection socket,
                                const std::string& dialled_vm) {
  const bool unwanted = !dialled_vm.empty() && m_dials.count(dialled_vm) == 0;
  if (m_stopped || unwanted) {
    CloseConnection(socket, "not wanted");
    return;
  }
  Connection connection;
  connection.socket = socket;
  connection.dialled_vm = dialled_vm;
  connection.last_received = Clock::now();
  SendOn(connection, kHelloChannel,
         EncodeHello({m_options.self_vm, m_options.self_incarnation}));
  m_connections[ConnectionKey(socket)] = std::move(connection);
}

void PeerLink::Impl::HandleClose(const void* key) {
  if (m_connections.count(key) != 0) {
    Drop(key, "closed by the peer");
  }
}

void PeerLink::Impl::HandleMessage(const void* key, const std::string& bytes) {
  const auto found = m_connections.find(key);
  if (m_stopped || found == m_connections.end()) {
    return;
  }
  Connection& connection = found->second;
  connection.last_received = Clock::now();
  m_bytes_received += bytes.size();
  const Result<LinkFrame> frame = DecodeFrame(bytes);
  if (!frame.has_value()) {
    Drop(key, "malformed frame");
    return;
  }
  const std::string& channel = frame.value().channel;
  if (connection.vm.empty() != (channel == kHelloChannel)) {
    Drop(key, "the hello comes first and once");
    return;
  }
  if (channel == kHelloChannel) {
    HandleHello(key, frame.value().cbor);
    return;
  }
  const auto handler = m_frame_handlers.find(channel);
  if (handler == m_frame_handlers.end()) {
    return;
  }
  // Copied, because the handler may call Stop(), which clears the containers.
  const FrameHandler call = handler->second;
  const std::string vm = connection.vm;
  call(vm, frame.value().cbor);
}

void PeerLink::Impl::HandleHello(const void* key, const std::string& cbor) {
  Connection& connection = m_connections.at(key);
  const Result<LinkHello> hello = DecodeHello(cbor);
  if (!hello.has_value()) {
    Drop(key, "malformed hello");
    return;
  }
  const std::string vm = hello.value().vm;
  const std::string& dialled = connection.dialled_vm;
  if (vm == m_options.self_vm || (!dialled.empty() && dialled != vm)) {
    LOG(WARNING) << "link: expected " << dialled << ", but " << vm
                 << " answered.";
    Drop(key, "another VM was expected");
    return;
  }
  connection.vm = vm;
  connection.incarnation = hello.value().incarnation;
  const auto dial = m_dials.find(vm);
  if (dial != m_dials.end()) {
    dial->second.failures = 0;
  }
  const auto in_use = m_in_use.find(vm);
  if (in_use != m_in_use.end()) {
    const void* current = in_use->second;
    if (!ShouldReplace(connection, m_connections.at(current))) {
      DropWithoutNotifying(key, "another link is in use");
      return;
    }
    DropWithoutNotifying(current, "replaced");
  }
  m_in_use[vm] = key;
  NotifyUp(vm, hello.value().incarnation);
}

bool PeerLink::Impl::ShouldReplace(const Connection& candidate,
                                   const Connection& current) const {
  const bool candidate_is_ours = !candidate.dialled_vm.empty();
  const bool current_is_ours = !current.dialled_vm.empty();
  if (candidate.incarnation != current.incarnation ||
      candidate_is_ours == current_is_ours) {
    return true;
  }
  // Both sides dialled at once, and the two links may open in a different order
  // on each side. Both sides must keep the same one: the link dialled by the
  // smaller VM id.
  return candidate_is_ours == (m_options.self_vm < candidate.vm);
}

void PeerLink::Impl::DropWithoutNotifying(const void* key,
                                          const std::string& reason) {
  const auto found = m_connections.find(key);
  const Connection connection = std::move(found->second);
  m_connections.erase(found);
  CloseConnection(connection.socket, reason);
}

void PeerLink::Impl::Drop(const void* key, const std::string& reason) {
  const Connection& connection = m_connections.at(key);
  const std::string vm =
      connection.vm.empty() ? connection.dialled_vm : connection.vm;
  const std::string dialled_vm = connection.dialled_vm;
  const auto in_use = m_in_use.find(vm);
  const bool was_in_use = in_use != m_in_use.end() && in_use->second == key;
  DropWithoutNotifying(key, reason);
  if (was_in_use) {
    m_in_use.erase(in_use);
    LOG(INFO) << "link: the link to " << vm << " is down (" << reason << ").";
    PostDownNotification(vm);
  }
  if (!dialled_vm.empty()) {
    ScheduleDial(dialled_vm);
  }
  if (was_in_use && vm != dialled_vm) {
    ScheduleDial(vm);
  }
}

void PeerLink::Impl::NotifyUp(const std::string& vm, uint64_t incarnation) {
  // Down notifications of earlier failures must precede this up notification.
  NotifyPendingDowns();
  LOG(INFO) << "link: the link to " << vm << " is up.";
  const std::vector<UpHandler> handlers = m_up_handlers;
  for (const UpHandler& handler : handlers) {
    if (!m_stopped) {
      handler(vm, incarnation);
    }
  }
}

void PeerLink::Impl::PostDownNotification(const std::string& vm) {
  // Posted, because Drop() also runs inside Send() and Hangup(), and no
  // handler may run inside these calls.
  m_pending_downs.push_back(vm);
  boost::asio::post(
      m_context, [self = shared_from_this()] { self->NotifyPendingDowns(); });
}

void PeerLink::Impl::NotifyPendingDowns() {
  while (!m_pending_downs.empty()) {
    const std::string vm = m_pending_downs.front();
    m_pending_downs.pop_front();
    const std::vector<DownHandler> handlers = m_down_handlers;
    for (const DownHandler& handler : handlers) {
      if (!m_stopped) {
        handler(vm);
      }
    }
  }
}

}  // namespace cowslip
