#include "raw_client.h"

#include <algorithm>
#include <chrono>

#include <boost/asio/write.hpp>

namespace cowslip {

using boost::asio::ip::tcp;
using namespace std::chrono_literals;

RawClient::RawClient(uint16_t port) : m_socket(m_context) {
  m_socket.connect(
      tcp::endpoint(boost::asio::ip::address_v4::loopback(), port));
}

void RawClient::Send(const std::string& bytes) {
  boost::asio::write(m_socket, boost::asio::buffer(bytes));
}

std::string RawClient::Read(boost::asio::io_context& server) {
  std::string received;
  m_socket.non_blocking(true);
  const auto give_up = std::chrono::steady_clock::now() + 2s;
  while (std::chrono::steady_clock::now() < give_up) {
    server.restart();
    server.run_for(1ms);
    char bytes[4096];
    boost::system::error_code error;
    const size_t got = m_socket.read_some(boost::asio::buffer(bytes), error);
    received.append(bytes, got);
    const size_t line_end = received.find("\r\n");
    if (line_end != std::string::npos) {
      return received.substr(0, line_end);
    }
    if (error && error != boost::asio::error::would_block) {
      return "";
    }
  }
  return "";
}

std::string RawClient::ReadAll(boost::asio::io_context& server) {
  std::string received;
  m_socket.non_blocking(true);
  const auto give_up = std::chrono::steady_clock::now() + 2s;
  boost::system::error_code error;
  while (std::chrono::steady_clock::now() < give_up &&
         (!error || error == boost::asio::error::would_block)) {
    server.restart();
    server.run_for(1ms);
    char bytes[4096];
    const size_t got = m_socket.read_some(boost::asio::buffer(bytes), error);
    received.append(bytes, got);
  }
  return received;
}

bool RawClient::SendPieces(boost::asio::io_context& server,
                           const std::string& bytes,
                           size_t piece,
                           Duration pause) {
  m_socket.non_blocking(true);
  size_t sent = 0;
  while (sent < bytes.size()) {
    boost::system::error_code error;
    const size_t size = std::min(piece, bytes.size() - sent);
    sent += m_socket.write_some(boost::asio::buffer(bytes.data() + sent, size),
                                error);
    if (error && error != boost::asio::error::would_block) {
      return false;
    }
    server.restart();
    server.run_for(error ? Duration(1ms) : pause);
  }
  return true;
}

bool RawClient::HasEnded() {
  char byte = 0;
  boost::system::error_code error;
  m_socket.non_blocking(true);
  m_socket.read_some(boost::asio::buffer(&byte, 1), error);
  return error == boost::asio::error::eof;
}

}  // namespace cowslip
