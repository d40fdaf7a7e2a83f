#include "Utilities/Soak/stream_client.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>

#include "Utilities/Soak/gateway_process.h"
#include "review/harness/harness.h"

namespace soak {

using review::Now;

namespace {

// The route's timeout, and the longest gap that a client of namu-veneer waits
// out (eight times its longest pause).
constexpr double kTimeoutS = 5;
constexpr double kGapS = 3.2;
// "Clients retry a few times."
constexpr size_t kMaxAttempts = 5;

enum class Read { kBytes, kEnd, kReset, kTimeout };

Read ReadBytes(int fd, std::string& bytes, double timeout_s) {
  pollfd poll_fd{fd, POLLIN, 0};
  if (timeout_s <= 0 ||
      poll(&poll_fd, 1, static_cast<int>(timeout_s * 1000) + 1) <= 0) {
    return Read::kTimeout;
  }
  char buffer[16384];
  const ssize_t got = recv(fd, buffer, sizeof(buffer), 0);
  if (got < 0) {
    return Read::kReset;
  }
  bytes.append(buffer, static_cast<size_t>(got));
  return got == 0 ? Read::kEnd : Read::kBytes;
}

const char* NameOf(Read read) {
  switch (read) {
    case Read::kEnd:
      return "closed by FIN";
    case Read::kReset:
      return "reset";
    case Read::kTimeout:
      return "given up by the client in a gap";
    default:
      return "";
  }
}

}  // namespace

StreamClient::StreamClient(Options options,
                           std::vector<const GatewayProcess*> gateways)
    : m_options(std::move(options)),
      m_gateways(std::move(gateways)),
      m_random(m_options.seed) {}

StreamHistory StreamClient::Run() {
  m_history.path = m_options.path;
  m_history.may_resume = m_options.may_resume;
  m_deadline = Now() + kTimeoutS;
  size_t at = m_random.Below(m_gateways.size());
  while (m_history.attempts.size() < kMaxAttempts && Now() < m_deadline) {
    if (Attempt(*m_gateways[at]) != Next::kResume) {
      break;
    }
    review::SleepFor(m_random.Between(0.01, 0.25));
    at = (at + 1 + m_random.Below(m_gateways.size() - 1)) % m_gateways.size();
  }
  return std::move(m_history);
}

StreamClient::Next StreamClient::Attempt(const GatewayProcess& gateway) {
  char id[17];
  std::snprintf(id, sizeof(id), "%016llx",
                static_cast<unsigned long long>(m_random.Next()));
  const uint64_t last =
      m_history.events.empty() ? 0 : m_history.events.back().number;
  m_history.attempts.push_back({.id = id,
                                .gateway = gateway.name(),
                                .sent = Now(),
                                .last_event = last,
                                .end = ""});
  StreamAttempt& attempt = m_history.attempts.back();
  const auto end = [&](std::string how, Next next) {
    attempt.ended = Now();
    attempt.end = std::move(how);
    return next;
  };
  const Next broken = m_options.may_resume ? Next::kResume : Next::kGiveUp;
  const auto connection = review::Connect(gateway.ip(), gateway.front());
  if (connection == nullptr) {
    return end("not connected", Next::kResume);
  }
  const std::string body = "sheet " + m_options.path;
  std::string request =
      "POST " + m_options.path +
      " HTTP/1.1\r\nHost: h.example\r\nKey: key1\r\nAttempt-Id: " + id +
      "\r\nDeadline-Ms: " +
      std::to_string(
          std::max(1, static_cast<int>((m_deadline - Now()) * 1000))) +
      "\r\nModel: m\r\nToken-Usage: 250,80\r\nPrompt-Prefix: 5c1e07a" +
      std::to_string(HashOf(m_options.path) % 8) + ":100," +
      std::string(id, 8) + ":150\r\n" +
      (last > 0 ? "Last-Event-Id: " + std::to_string(last) + "\r\n" : "") +
      "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  if (!connection->Write(request)) {
    return end("the request could not be written", broken);
  }
  std::string bytes;
  size_t head_end = 0;
  const double give_up = std::min(m_deadline, Now() + kGapS);
  while ((head_end = bytes.find("\r\n\r\n")) == std::string::npos) {
    const Read read = ReadBytes(connection->fd(), bytes, give_up - Now());
    if (read != Read::kBytes) {
      return end(std::string("no response: ") + NameOf(read), broken);
    }
  }
  std::string head = bytes.substr(0, head_end + 2);
  bytes.erase(0, head_end + 4);
  attempt.status = std::atoi(head.c_str() + head.find(' '));
  if (attempt.status != 200) {
    const bool is_promise = attempt.status == 429 || attempt.status == 503 ||
                            attempt.status == 408 || attempt.status == 421;
    return end("refused", is_promise ? Next::kResume : broken);
  }
  std::transform(head.begin(), head.end(), head.begin(), ::tolower);
  const bool in_chunks =
      head.find("transfer-encoding: chunked") != std::string::npos;
  m_partial.clear();
  const std::string how =
      ReadEvents(connection->fd(), std::move(bytes), in_chunks);
  if (how == "complete") {
    m_history.is_complete = true;
    return end(how, Next::kDone);
  }
  return end(how, broken);
}

std::string StreamClient::ReadEvents(int fd,
                                     std::string bytes,
                                     bool in_chunks) {
  const size_t before = m_history.events.size();
  double last_event = Now();
  size_t seen = before;
  while (true) {
    bool is_last = false;
    while (in_chunks) {
      const size_t line = bytes.find("\r\n");
      if (line == std::string::npos) {
        break;
      }
      const size_t size = std::strtoul(bytes.c_str(), nullptr, 16);
      if (bytes.size() < line + 2 + size + 2) {
        break;
      }
      m_partial += bytes.substr(line + 2, size);
      bytes.erase(0, line + 2 + size + 2);
      is_last = size == 0;
      if (is_last) {
        break;
      }
    }
    if (!in_chunks) {
      m_partial += std::exchange(bytes, "");
    }
    TakeEvents();
    if (is_last) {
      return "complete";
    }
    if (m_history.events.size() > seen) {
      seen = m_history.events.size();
      last_event = Now();
    }
    if (m_history.attempts.size() == 1 && m_options.leaves_after > 0 &&
        seen - before >= m_options.leaves_after) {
      return "broken off by the client";
    }
    const double give_up = std::min(m_deadline, last_event + kGapS);
    const Read read = ReadBytes(fd, bytes, give_up - Now());
    if (read == Read::kEnd && !in_chunks) {
      return "complete";
    }
    if (read != Read::kBytes) {
      return NameOf(read);
    }
  }
}

void StreamClient::TakeEvents() {
  size_t end = 0;
  while ((end = m_partial.find("\n\n")) != std::string::npos) {
    const std::string text = m_partial.substr(0, end);
    m_partial.erase(0, end + 2);
    const size_t data = text.find("data: ");
    const auto event = data == std::string::npos
                           ? std::nullopt
                           : ParseEventData(text.substr(data + 6));
    if (event.has_value()) {
      m_history.events.push_back(*event);
      m_history.events.back().attempt = m_history.attempts.size() - 1;
      m_history.events.back().at = Now();
    }
  }
}

}  // namespace soak
