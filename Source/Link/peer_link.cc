#include "Link/peer_link.h"

#include <utility>

#include "Link/peer_link_impl.h"

namespace cowslip {

PeerLink::PeerLink(boost::asio::io_context& context, PeerLinkOptions options)
    : m_impl(std::make_shared<Impl>(context, std::move(options))) {}

PeerLink::~PeerLink() {
  Stop();
}

void PeerLink::OnUp(UpHandler handler) {
  m_impl->m_up_handlers.push_back(std::move(handler));
}

void PeerLink::OnDown(DownHandler handler) {
  m_impl->m_down_handlers.push_back(std::move(handler));
}

void PeerLink::OnFrame(const std::string& channel, FrameHandler handler) {
  m_impl->m_frame_handlers[channel] = std::move(handler);
}

std::string PeerLink::Start() {
  return m_impl->Start();
}

uint16_t PeerLink::port() const {
  return m_impl->port();
}

void PeerLink::Dial(const std::string& peer_vm,
                    const std::string& address,
                    uint16_t port) {
  m_impl->Dial(peer_vm, address, port);
}

void PeerLink::Hangup(const std::string& peer_vm) {
  m_impl->Hangup(peer_vm);
}

bool PeerLink::IsUp(const std::string& peer_vm) const {
  return m_impl->IsUp(peer_vm);
}

bool PeerLink::Send(const std::string& peer_vm,
                    const std::string& channel,
                    const std::string& cbor) {
  return m_impl->Send(peer_vm, channel, cbor);
}

size_t PeerLink::QueuedBytes(const std::string& peer_vm) const {
  return m_impl->QueuedBytes(peer_vm);
}

uint64_t PeerLink::bytes_sent() const {
  return m_impl->m_bytes_sent;
}

uint64_t PeerLink::bytes_received() const {
  return m_impl->m_bytes_received;
}

void PeerLink::Stop() {
  m_impl->Stop();
}

}  // namespace cowslip
