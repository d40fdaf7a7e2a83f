#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>

namespace review {

namespace {

const Clock::time_point kStart = Clock::now();
std::unique_ptr<Record> the_record;
std::string the_folder;
std::mutex gateways_mutex;
std::set<pid_t> gateway_pids;

// A script may last 120 s; the rest is for its end.
constexpr double kLongest = 112;

bool SameName(const std::string& a, const std::string& b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(static_cast<unsigned char>(x)) ==
                  std::tolower(static_cast<unsigned char>(y));
         });
}

sockaddr_in Address(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

bool PortIsFree(const std::string& ip, uint16_t port, int type) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = Address(ip, port);
  const bool free = bind(fd, reinterpret_cast<const sockaddr*>(&address),
                         sizeof(address)) == 0;
  close(fd);
  return free;
}

// The first of 20 consecutive ports that are free for all gateways.
uint16_t BasePort() {
  static const uint16_t base = [] {
    for (int attempt = 0; attempt < 200; ++attempt) {
      const int start = 12000 + ((getpid() * 131 + attempt * 67) % 900) * 20;
      bool free = true;
      for (int number = 1; number <= 6 && free; ++number) {
        const std::string ip = "127.0.10." + std::to_string(number);
        for (int port = start; port < start + 20 && free; ++port) {
          free = PortIsFree(ip, port, SOCK_STREAM) &&
                 PortIsFree(ip, port, SOCK_DGRAM);
        }
      }
      if (free) {
        return static_cast<uint16_t>(start);
      }
    }
    End(kCouldNotRun, "no free ports");
  }();
  return base;
}

std::string Query(const std::string& target, const std::string& name) {
  const size_t mark = target.find('?');
  if (mark == std::string::npos) {
    return "";
  }
  std::string rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const size_t amp = std::min(rest.find('&'), rest.size());
    const std::string pair = rest.substr(0, amp);
    rest.erase(0, std::min(amp + 1, rest.size()));
    if (pair.starts_with(name + "=")) {
      return pair.substr(name.size() + 1);
    }
  }
  return "";
}

std::string Unescape(const std::string& text) {
  std::string plain;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      plain += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

const char* Reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 404:
      return "Not Found";
    case 409:
      return "Conflict";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

std::string Hex(const std::string& text) {
  static const char digits[] = "0123456789abcdef";
  std::string hex;
  for (const unsigned char c : text) {
    hex += digits[c / 16];
    hex += digits[c % 16];
  }
  return hex;
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

void SleepUntil(double seconds) {
  std::this_thread::sleep_until(kStart +
                                std::chrono::duration_cast<Clock::duration>(
                                    std::chrono::duration<double>(seconds)));
}

void SleepFor(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

Record::Record(const std::string& path) : m_file(path) {}

void Record::Line(const std::string& text) {
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f  ", Now());
  const std::lock_guard lock(m_mutex);
  m_file << time << text << '\n' << std::flush;
}

Record& TheRecord() {
  return *the_record;
}

std::string Message::Header(const std::string& name) const {
  for (const auto& [known, value] : headers) {
    if (SameName(known, name)) {
      return value;
    }
  }
  return "";
}

int Message::status() const {
  return std::atoi(second.c_str());
}

Connection::~Connection() {
  close(m_fd);
}

bool Connection::Fill(double timeout_s) {
  pollfd poll_fd{m_fd, POLLIN, 0};
  if (poll(&poll_fd, 1, static_cast<int>(timeout_s * 1000)) <= 0) {
    return false;
  }
  char bytes[16384];
  const ssize_t got = recv(m_fd, bytes, sizeof(bytes), 0);
  if (got <= 0) {
    m_eof = true;
    return false;
  }
  m_buffer.append(bytes, static_cast<size_t>(got));
  return true;
}

bool Connection::ReadLine(std::string& line, double timeout_s) {
  size_t end = 0;
  while ((end = m_buffer.find('\n')) == std::string::npos) {
    if (!Fill(timeout_s)) {
      return false;
    }
  }
  line = m_buffer.substr(0, end);
  if (line.ends_with('\r')) {
    line.pop_back();
  }
  m_buffer.erase(0, end + 1);
  return true;
}

bool Connection::ReadMessage(Message& message,
                             bool is_response,
                             double timeout_s) {
  message = Message();
  std::string line;
  if (!ReadLine(line, timeout_s)) {
    return false;
  }
  const size_t first = line.find(' ');
  const size_t second = std::min(line.find(' ', first + 1), line.size());
  if (first == std::string::npos) {
    message.first = line;
    return false;
  }
  message.first = line.substr(0, first);
  message.second = line.substr(first + 1, second - first - 1);
  message.third = second < line.size() ? line.substr(second + 1) : "";
  while (true) {
    if (!ReadLine(line, timeout_s)) {
      return false;
    }
    if (line.empty()) {
      break;
    }
    const size_t colon = std::min(line.find(':'), line.size());
    std::string value =
        colon < line.size() ? line.substr(colon + 1) : std::string();
    value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
    message.headers.emplace_back(line.substr(0, colon), value);
  }
  if (is_response && message.status() == 204) {
    return true;
  }
  if (message.Header("Transfer-Encoding") == "chunked") {
    while (true) {
      if (!ReadLine(line, timeout_s)) {
        return false;
      }
      const size_t size = std::strtoul(line.c_str(), nullptr, 16);
      while (m_buffer.size() < size + 2) {
        if (!Fill(timeout_s)) {
          message.body += m_buffer;
          return false;
        }
      }
      message.body += m_buffer.substr(0, size);
      m_buffer.erase(0, size + 2);
      if (size == 0) {
        return true;
      }
    }
  }
  const std::string length = message.Header("Content-Length");
  if (!length.empty()) {
    const size_t size = std::stoul(length);
    while (m_buffer.size() < size) {
      if (!Fill(timeout_s)) {
        return false;
      }
    }
    message.body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
  } else if (is_response) {
    while (Fill(timeout_s)) {
    }
    message.body = std::exchange(m_buffer, "");
    return m_eof;
  }
  return true;
}

bool Connection::Write(const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<size_t>(n);
  }
  return true;
}

bool Connection::PeerClosed() const {
  char byte = 0;
  const ssize_t got = recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::Reset() {
  const linger hard{1, 0};
  setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
}

std::string Connection::Rest(double wait_s) {
  const double end = Now() + wait_s;
  while (Now() < end && Fill(std::max(0.0, end - Now()))) {
  }
  return m_buffer;
}

std::unique_ptr<Connection> Connect(const std::string& ip, uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Address(ip, port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(fd);
    return nullptr;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return std::make_unique<Connection>(fd);
}

Server::Server(const std::string& ip, uint16_t port, Handler handler)
    : m_handler(std::move(handler)) {
  m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = Address(ip, port);
  if (bind(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(m_fd, 512) != 0) {
    End(kCouldNotRun, "cannot listen on " + ip);
  }
  socklen_t size = sizeof(address);
  getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &size);
  m_port = ntohs(address.sin_port);
  m_thread = std::thread([this] { Accept(); });
}

void Server::Accept() {
  while (!m_stop) {
    pollfd poll_fd{m_fd, POLLIN, 0};
    if (poll(&poll_fd, 1, 50) <= 0) {
      continue;
    }
    const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    {
      const std::lock_guard lock(m_mutex);
      m_open.insert(fd);
    }
    ++m_running;
    std::thread([this, fd] {
      {
        Connection connection(fd);
        m_handler(connection);
        const std::lock_guard lock(m_mutex);
        m_open.erase(fd);
      }
      --m_running;
    }).detach();
  }
}

// Closes the listener and all connections, as the end of a process does.
Server::~Server() {
  m_stop = true;
  m_thread.join();
  close(m_fd);
  while (m_running > 0) {
    {
      const std::lock_guard lock(m_mutex);
      for (const int fd : m_open) {
        shutdown(fd, SHUT_RDWR);
      }
    }
    SleepFor(0.01);
  }
}

Store::Store(const std::string& ip) {
  m_server = std::make_unique<Server>(
      ip, 0, [this](Connection& connection) { Serve(connection); });
}

Store::~Store() {
  m_stop = true;
  m_changed.notify_all();
  m_server.reset();
}

std::string Store::Text(const std::string& name, const Object& object) const {
  return "{\"metadata\":{\"name\":" + Json(name).dump() +
         ",\"revision\":" + std::to_string(object.revision) +
         ",\"created\":" + std::to_string(object.created) +
         ",\"finalizers\":[],\"deleting\":false},\"spec\":" + object.spec +
         ",\"status\":" + object.status + "}";
}

void Store::Changed(const std::string& kind,
                    const std::string& name,
                    const Object& object,
                    bool removed) {
  m_events.push_back({m_revision, kind,
                      "{\"object\":" + Text(name, object) + ",\"removed\":" +
                          (removed ? "true" : "false") + "}"});
  m_changed.notify_all();
}

void Store::Put(const std::string& kind,
                const std::string& name,
                const std::string& spec_text) {
  const std::lock_guard lock(m_mutex);
  Object& object = m_objects[kind][name];
  object.spec = spec_text;
  object.revision = ++m_revision;
  if (object.created == 0) {
    object.created = m_revision;
  }
  Changed(kind, name, object, false);
}

void Store::Remove(const std::string& kind, const std::string& name) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_objects[kind].find(name);
  if (found != m_objects[kind].end()) {
    Object object = found->second;
    m_objects[kind].erase(found);
    object.revision = ++m_revision;
    Changed(kind, name, object, true);
  }
}

std::optional<std::string> Store::Spec(const std::string& kind,
                                       const std::string& name) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_objects[kind].find(name);
  return found == m_objects[kind].end() ? std::nullopt
                                        : std::optional(found->second.spec);
}

std::optional<std::string> Store::Status(const std::string& kind,
                                         const std::string& name) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_objects[kind].find(name);
  return found == m_objects[kind].end() ? std::nullopt
                                        : std::optional(found->second.status);
}

void Store::SetJudge(Judge judge, double late_s) {
  const std::lock_guard lock(m_mutex);
  m_judge = std::move(judge);
  m_late_s = late_s;
}

void Store::SilenceWatches() {
  const std::lock_guard lock(m_mutex);
  ++m_silenced;
  TheRecord().Line("store: the waiting watches hear nothing more");
}

void Store::DropHistory() {
  const std::lock_guard lock(m_mutex);
  m_history_from = m_revision;
  TheRecord().Line("store: the history is dropped");
}

void Store::Serve(Connection& connection) {
  Message request;
  while (!m_stop && connection.ReadMessage(request, false, 60)) {
    int status = 200;
    std::string body;
    SleepFor(m_latency_s / 2);
    if (!Answer(request, status, body) || m_stop) {
      return;
    }
    SleepFor(m_latency_s / 2);
    const std::string head = "HTTP/1.1 " + std::to_string(status) + " " +
                             Reason(status) +
                             "\r\nContent-Type: application/json\r\n"
                             "Content-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n";
    if (!connection.Write(head + body)) {
      return;
    }
  }
}

bool Store::Answer(const Message& request,
                   int& status,
                   std::string& body,
                   bool is_judged) {
  const std::string& method = request.first;
  const std::string path = request.second.substr(0, request.second.find('?'));
  std::vector<std::string> parts;
  size_t at = 1;
  while (at <= path.size()) {
    const size_t slash = std::min(path.find('/', at), path.size());
    parts.push_back(Unescape(path.substr(at, slash - at)));
    at = slash + 1;
  }
  if (parts.size() < 2 || parts[0] != "objects") {
    status = 404;
    return true;
  }
  const std::string kind = parts[1];
  std::unique_lock lock(m_mutex);
  auto& objects = m_objects[kind];
  if (method == "GET" && parts.size() > 2) {
    const auto found = objects.find(parts[2]);
    status = found == objects.end() ? 404 : 200;
    body = found == objects.end() ? "{}" : Text(found->first, found->second);
    return true;
  }
  if (method == "GET" && !Query(request.second, "watch").empty()) {
    const uint64_t since = std::stoull(Query(request.second, "watch"));
    const uint64_t silenced = m_silenced;
    const double end =
        Now() +
        std::min(30.0,
                 std::atof(Query(request.second, "wait_ms").c_str()) / 1000);
    std::string events;
    while (since >= m_history_from || silenced != m_silenced) {
      for (const Event& event : m_events) {
        if (event.revision > since && event.kind == kind &&
            silenced == m_silenced) {
          events += (events.empty() ? "" : ",") + event.text;
        }
      }
      if (!events.empty() || Now() >= end || m_stop) {
        break;
      }
      m_changed.wait_for(
          lock, std::chrono::duration<double>(std::max(0.001, end - Now())));
    }
    if (since < m_history_from) {
      status = 410;
      body = "{}";
      return true;
    }
    body = "{\"events\":[" + events +
           "],\"as_of\":" + std::to_string(m_revision) + "}";
    return true;
  }
  if (method == "GET") {
    const std::string after = Unescape(Query(request.second, "after"));
    std::string items;
    size_t count = 0;
    bool more = false;
    for (const auto& [name, object] : objects) {
      if (!after.empty() && name <= after) {
        continue;
      }
      if (count == 500) {
        more = true;
        break;
      }
      items += (items.empty() ? "" : ",") + Text(name, object);
      ++count;
    }
    body = "{\"items\":[" + items +
           "],\"has_more\":" + (more ? "true" : "false") +
           ",\"as_of\":" + std::to_string(m_revision) + "}";
    return true;
  }
  ++m_writes;
  const Fate fate = is_judged && m_judge ? m_judge(method, path) : Fate::kDo;
  if (fate == Fate::kRefuse) {
    status = 503;
    return true;
  }
  if (fate == Fate::kLoseAndDoLate) {
    TheRecord().Line("store: " + method + " " + path +
                     " is not answered; it is done later");
    std::thread([this, request, late_s = m_late_s] {
      SleepFor(late_s);
      int late_status = 200;
      std::string ignored;
      Answer(request, late_status, ignored, false);
      TheRecord().Line("store: " + request.first + " " + request.second +
                       " is done late: " + std::to_string(late_status));
    }).detach();
    return false;
  }
  const bool answered = fate == Fate::kDo;
  const Json sent = Json::parse(request.body, nullptr, false);
  std::optional<uint64_t> expected;
  std::string name = parts.size() > 2 ? parts[2] : "";
  if (sent.is_object() && sent.contains("metadata")) {
    const Json& metadata = sent["metadata"];
    if (name.empty()) {
      name = metadata.value("name", "");
    }
    if (metadata.contains("revision")) {
      expected = metadata["revision"].get<uint64_t>();
    }
  }
  if (!Query(request.second, "revision").empty()) {
    expected = std::stoull(Query(request.second, "revision"));
  }
  const auto found = objects.find(name);
  if (method == "POST") {
    if (found != objects.end()) {
      status = 409;
      body = Text(name, found->second);
      return answered;
    }
    Object object;
    object.spec = sent.at("spec").dump();
    object.revision = object.created = ++m_revision;
    objects[name] = object;
    Changed(kind, name, object, false);
    body = Text(name, object);
    status = 201;
    return answered;
  }
  if (found == objects.end()) {
    status = 404;
    body = "{}";
    return answered;
  }
  if (expected.has_value() && *expected != found->second.revision) {
    status = 409;
    body = Text(name, found->second);
    return answered;
  }
  if (method == "DELETE") {
    Object object = found->second;
    objects.erase(found);
    object.revision = ++m_revision;
    Changed(kind, name, object, true);
    body = "{}";
    return answered;
  }
  Object& object = found->second;
  std::string& part =
      parts.size() > 3 && parts[3] == "status" ? object.status : object.spec;
  const std::string text =
      sent.at(&part == &object.status ? "status" : "spec").dump();
  if (part != text) {
    part = text;
    object.revision = ++m_revision;
    Changed(kind, name, object, false);
  }
  body = Text(name, object);
  return answered;
}

Runner::Runner(const std::string& ip, Options options)
    : m_ip(ip), m_options(std::move(options)) {
  m_server = std::make_unique<Server>(
      ip, 0, [this](Connection& connection) { Serve(connection); });
}

Runner::~Runner() = default;

std::string Runner::address() const {
  return m_ip + ":" + std::to_string(port());
}

std::string Runner::Entry(const std::string& state) const {
  return Json({{"service", m_options.service},
               {"address", address()},
               {"zone", m_options.zone},
               {"version", "v1"},
               {"slots", m_options.slots},
               {"state", state},
               {"cold_remaining_ms", 0},
               {"sequence", 1},
               {"born", 1700000000000 + port()}})
      .dump();
}

std::vector<Arrival> Runner::arrivals() {
  const std::lock_guard lock(m_mutex);
  return m_arrivals;
}

std::string Runner::Data(const std::string& id, uint64_t event) {
  return id.substr(0, 12) + " word " + std::to_string(event);
}

std::string Runner::Output(const std::string& id) const {
  std::string output;
  for (uint64_t event = 1; event <= m_options.events; ++event) {
    output += (event > 1 ? "\n" : "") + Data(id, event);
  }
  return output;
}

void Runner::Serve(Connection& connection) {
  Message request;
  while (connection.ReadMessage(request, false, 60)) {
    Arrival arrival{.at = Now(),
                    .runner = m_options.id,
                    .method = request.first,
                    .path = request.second,
                    .id = request.Header("Attempt-Id"),
                    .tenant = request.Header("Tenant"),
                    .last_event = request.Header("Last-Event-Id")};
    size_t index = 0;
    {
      const std::lock_guard lock(m_mutex);
      index = m_arrivals.size();
      m_arrivals.push_back(arrival);
    }
    TheRecord().Line(
        "runner " + m_options.id + " gets " + arrival.method + " " +
        arrival.path + " id=" + arrival.id + " tenant=" + arrival.tenant +
        (arrival.last_event.empty() ? ""
                                    : " last_event=" + arrival.last_event));
    if (m_options.instead && m_options.instead(request, connection)) {
      continue;
    }
    if (request.first == "GET" && request.second == "/health") {
      connection.Write("HTTP/1.1 200 OK\r\nInstance-Id: " + m_options.id +
                       "\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    const std::string expected = request.Header("Expect-Instance");
    if (!expected.empty() && expected != m_options.id) {
      connection.Write(
          "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\n"
          "Attempt-Id: " +
          arrival.id + "\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    if (arrival.id.empty()) {
      connection.Write(
          "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\n"
          "Content-Length: 0\r\n\r\n");
      continue;
    }
    ++m_running;
    Run(request, connection, index);
    --m_running;
  }
}

void Runner::Run(const Message& request, Connection& connection, size_t index) {
  const std::string id = request.Header("Attempt-Id");
  {
    const std::lock_guard lock(m_mutex);
    m_arrivals[index].ran = true;
  }
  uint64_t event =
      std::strtoull(request.Header("Last-Event-Id").c_str(), nullptr, 10);
  std::string head =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: " +
      id + "\r\nResponse-Signature: " + Hex(id).substr(0, 8) + "." +
      m_options.id + "\r\nTransfer-Encoding: chunked\r\n\r\n";
  while (event < m_options.events) {
    SleepFor(m_options.pause_s);
    ++event;
    const std::string text =
        "id: " + std::to_string(event) + "\ndata: " + Data(id, event) + "\n\n";
    char size[32];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    // A runner drops a request when its channel closes.
    if (connection.PeerClosed() ||
        !connection.Write(std::exchange(head, "") + size + text + "\r\n")) {
      TheRecord().Line("runner " + m_options.id + " drops id=" + id);
      return;
    }
  }
  connection.Write(head + "0\r\n\r\n");
  TheRecord().Line("runner " + m_options.id + " completes id=" + id);
  const std::lock_guard lock(m_mutex);
  m_arrivals[index].completed = true;
}

Proxy::Proxy(const std::string& ip, std::string to_ip, uint16_t to_port)
    : m_to_ip(std::move(to_ip)), m_to_port(to_port) {
  m_server = std::make_unique<Server>(
      ip, 0, [this](Connection& connection) { Serve(connection); });
}

void Proxy::Serve(Connection& connection) {
  const std::unique_ptr<Connection> other = Connect(m_to_ip, m_to_port);
  if (other == nullptr) {
    return;
  }
  pollfd fds[2] = {{connection.fd(), POLLIN, 0}, {other->fd(), POLLIN, 0}};
  while (true) {
    const Mode mode = m_mode;
    if (mode == Mode::kReset) {
      connection.Reset();
      return;
    }
    if (mode == Mode::kSilent) {
      SleepFor(0.02);
      continue;
    }
    if (poll(fds, 2, 20) <= 0) {
      continue;
    }
    for (int i = 0; i < 2; ++i) {
      if (fds[i].revents == 0) {
        continue;
      }
      char bytes[16384];
      const ssize_t got = recv(fds[i].fd, bytes, sizeof(bytes), 0);
      Connection& to = i == 0 ? *other : connection;
      if (got <= 0 || !to.Write(std::string(bytes, got))) {
        return;
      }
    }
  }
}

Gateway::Gateway(int number, std::string store, const std::string& folder)
    : m_number(number),
      m_ip("127.0.10." + std::to_string(number)),
      m_name("edge-z-" + std::to_string(number)),
      m_store(std::move(store)),
      m_folder(folder),
      m_ports(BasePort()) {}

Gateway::~Gateway() {
  Kill();
}

bool Gateway::Start() {
  const std::string settings = m_folder + "/" + m_name + ".conf";
  std::ofstream(settings)
      << "node_name=" << m_name
      << "\nrole=entry\nmachine_class=edge\nserves=edge\nip=" << m_ip
      << "\nzone=z\nregion=r\nzones.z=r\nlisten.front=" << m_ip << ":"
      << m_ports << "\nlisten.ready=" << m_ip << ":" << m_ports + 1
      << "\ninternal_ports=" << m_ports + 2 << "," << m_ports + 17
      << "\nbootstrap=" << (m_starts == 0 ? "true" : "false")
      << "\nloss_counted=false\nlimits.cpu_share=0.19\nlimits.cpu_cores=1\n"
         "limits.memory_mb=260\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\n"
         "limits.disk_mb=0\ndiscovery=platform\nentry=vip\nheartbeat_ms=1200\n"
         "contracts=base,drain,config,cost,recover,batch,stream,engine,tenants,"
         "quota,platform\nfault_tolerance.machines=1\nfault_tolerance.zones=0\n"
         "fault_tolerance.regions=0\nbounds.seed_lag_s=3\n"
         "bounds.reuse_after_s=2\nbounds.contact_ms=3000\nbounds.ack_ms=4000\n"
         "bounds.catch_up_s=4.6\nbounds.drain_ms=2000\nbounds.grace_s=8\n"
         "bounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n"
         "bounds.rollback_slack_ms=250\nbounds.max_stretch_ms=5000\n"
         "bounds.strict_revoke=false\nbounds.revoke_ms=5000\n"
         "bounds.quota_window_s=5\nbounds.quota_overage=0.1\n"
         "bounds.quota_slack=20\nbounds.recover_s=12\nbounds.pass_ms=120\n"
         "bounds.retry_after_s=0\nbounds.finish_s=18\nbounds.status_s=120\n"
         "bounds.cancel_ms=3000\nbounds.settle_ms=1000\nplatform.address="
      << m_store
      << "\nplatform.form=objects\nplatform.writes_per_s=400\n"
         "platform.reads_per_s=2000\nplatform.history_s=20\n"
         "platform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n";
  const std::string log =
      m_folder + "/" + m_name + "." + std::to_string(++m_starts) + ".log";
  const std::string variable = "COWSLIPHOLLOW_NODE_FILE=" + settings;
  const std::string home = std::string("HOME=") + m_folder;
  m_pid = fork();
  if (m_pid == 0) {
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    const char* const arguments[] = {"target/bin/cowslip-gateway", "entry",
                                     nullptr};
    const char* const environment[] = {"PATH=/usr/bin:/bin", home.c_str(),
                                       "LANG=C", variable.c_str(), nullptr};
    execve(arguments[0], const_cast<char* const*>(arguments),
           const_cast<char* const*>(environment));
    _exit(127);
  }
  const std::lock_guard lock(gateways_mutex);
  gateway_pids.insert(m_pid);
  TheRecord().Line("gateway " + m_name + " is started");
  return m_pid > 0;
}

void Gateway::Signal(int signal) {
  TheRecord().Line("gateway " + m_name + " gets signal " +
                   std::to_string(signal));
  if (m_pid > 0) {
    kill(m_pid, signal);
  }
}

void Gateway::Kill() {
  if (m_pid <= 0) {
    return;
  }
  kill(m_pid, SIGKILL);
  waitpid(m_pid, nullptr, 0);
  TheRecord().Line("gateway " + m_name + " is killed");
  const std::lock_guard lock(gateways_mutex);
  gateway_pids.erase(m_pid);
  m_pid = -1;
}

void Gateway::Terminate(double grace_s) {
  Signal(SIGTERM);
  const double end = Now() + grace_s;
  while (Now() < end && Runs()) {
    SleepFor(0.02);
  }
  Kill();
}

bool Gateway::Runs() {
  int status = 0;
  if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
    TheRecord().Line("gateway " + m_name + " has ended by itself: " +
                     (WIFSIGNALED(status)
                          ? "signal " + std::to_string(WTERMSIG(status))
                          : "code " + std::to_string(WEXITSTATUS(status))));
    const std::lock_guard lock(gateways_mutex);
    gateway_pids.erase(m_pid);
    m_pid = -1;
  }
  return m_pid > 0;
}

bool Gateway::Ready() const {
  const auto connection = Connect(m_ip, m_ports + 1);
  Message answer;
  return connection != nullptr &&
         connection->Write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
         connection->ReadMessage(answer, true, 1) && answer.status() == 200;
}

bool Gateway::WaitReady(double timeout_s) const {
  const double end = Now() + timeout_s;
  while (Now() < end) {
    if (Ready()) {
      TheRecord().Line("gateway " + m_name + " is ready");
      return true;
    }
    SleepFor(0.05);
  }
  TheRecord().Line("gateway " + m_name + " is not ready after " +
                   std::to_string(timeout_s) + " s");
  return false;
}

Answer Call(const Gateway& gateway,
            const std::string& method,
            const std::string& path,
            const Headers& headers,
            const std::string& body,
            double timeout_s) {
  Answer answer;
  const auto connection = Connect(gateway.ip(), gateway.front());
  std::string request = method + " " + path + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    request += name + ": " + value + "\r\n";
  }
  request += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  const bool complete =
      connection != nullptr && connection->Write(request + body) &&
      connection->ReadMessage(answer.message, true, timeout_s);
  answer.status = complete ? answer.message.status() : 0;
  TheRecord().Line("client: " + method + " " + path.substr(0, 80) + " at " +
                   gateway.name() + " -> " +
                   (complete ? std::to_string(answer.status) : "no answer"));
  return answer;
}

int SubmitJob(std::vector<Gateway*> gateways,
              const std::string& id,
              const std::string& body,
              double timeout_s) {
  const double end = Now() + timeout_s;
  int status = 0;
  for (size_t i = 0; Now() < end; ++i) {
    const Headers headers = {{"Host", "h.example"},
                             {"Key", "key1"},
                             {"Attempt-Id", id},
                             {"Content-Type", "application/json"}};
    status = Call(*gateways[i % gateways.size()], "POST", "/job/" + id, headers,
                  body)
                 .status;
    if (status == 202 || status == 400 || status == 413) {
      break;
    }
    SleepFor(0.3);
  }
  return status;
}

JobView ReadJob(const Gateway& gateway, const std::string& id) {
  JobView view;
  while (true) {
    const Answer answer =
        Call(gateway, "GET",
             "/lots/" + id + "?after=" + std::to_string(view.results.size()),
             {{"Host", "h.example"}, {"Key", "key1"}}, "");
    view.status = answer.status;
    const Json page = Json::parse(answer.message.body, nullptr, false);
    if (answer.status != 200 || !page.is_object()) {
      return view;
    }
    view.total = page.value("total", uint64_t{0});
    const Json results = page.value("results", Json::array());
    if (results.empty()) {
      return view;
    }
    view.results.insert(view.results.end(), results.begin(), results.end());
  }
}

std::string EncodeBase64(const std::string& bytes) {
  static const char digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t k = 0; k < 3; ++k) {
      group =
          group << 8 |
          (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
    }
    for (size_t k = 0; k < 4; ++k) {
      text += i + k > bytes.size() ? '=' : digits[group >> (18 - 6 * k) & 63];
    }
  }
  return text;
}

Json Item(const std::string& id, const std::string& path) {
  return {{"id", id},
          {"path", path},
          {"headers",
           {{"Model", "m"},
            {"Token-Usage", "350,200"},
            {"Prompt-Prefix", "9c2e41:100," + id.substr(0, 8) + ":250"}}},
          {"body", EncodeBase64("sheet " + id)},
          {"tokens", 550}};
}

std::string JobBody(const std::vector<Json>& items) {
  return Json({{"items", items}}).dump();
}

Json Configuration(uint64_t version) {
  const auto route = [](const char* name, const char* prefix,
                        const char* kind) -> Json {
    return {{"name", name},          {"host", "h.example"},
            {"path_prefix", prefix}, {"kind", kind},
            {"timeout_ms", 5000},    {"target_latency_ms", 300},
            {"gap_target_ms", 400},  {"priority", 0},
            {"service", "s"},        {"max_attempts", 2},
            {"public", false}};
  };
  Json stream = route("stream", "/stream/", "streaming");
  stream["resumable"] = true;
  stream["sticky"] = true;
  Json job = route("job", "/job/", "batch");
  job["priority"] = 2;
  job["timeout_ms"] = 15000;
  job["target_latency_ms"] = 400;
  job["max_attempts"] = 3;
  job["completion_target_ms"] = 18000;
  job["retention_s"] = 60;
  // The limit of kgs-castle-tickets.
  job["max_count"] = 1200000;
  return {
      {"version", version},
      {"routes",
       {stream, route("once", "/once/", "streaming"),
        route("safe", "/safe/", "safe"), route("unsafe", "/unsafe/", "unsafe"),
        job}},
      {"services",
       {{{"name", "s"}, {"max_connections", 370}, {"health_path", "/health"}}}},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 4194304},
        {"header_timeout_ms", 5000},
        {"idle_timeout_ms", 15000}}},
      {"tenants",
       {{{"name", "mill"}, {"api_keys", {"key1"}}},
        {{"name", "studio"}, {"api_keys", {"key2"}}}}}};
}

std::string TempFolder() {
  return the_folder;
}

bool Begin(const std::string& record_path) {
  signal(SIGPIPE, SIG_IGN);
  the_record = std::make_unique<Record>(record_path);
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  the_folder = mkdtemp(pattern.data());
  std::thread([] {
    SleepUntil(kLongest);
    End(kCouldNotRun, "the script lasted too long");
  }).detach();
  const char* trouble = std::getenv("TROUBLE");
  const bool plays = trouble == nullptr || std::string(trouble) != "0";
  TheRecord().Line(plays ? "with the disruption" : "without the disruption");
  return plays;
}

void End(int code, const std::string& why) {
  {
    const std::lock_guard lock(gateways_mutex);
    for (const pid_t pid : gateway_pids) {
      kill(pid, SIGCONT);
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
  }
  const char* name = code == kHeld     ? "HELD"
                     : code == kBroken ? "BROKEN"
                                       : "COULD NOT RUN";
  if (the_record != nullptr) {
    the_record->Line(std::string(name) + ": " + why);
  }
  std::cout << name << ": " << why << std::endl;
  const char* keep = std::getenv("KEEP_LOGS");
  if (keep == nullptr && !the_folder.empty()) {
    std::error_code ignored;
    std::filesystem::remove_all(the_folder, ignored);
  } else {
    std::cout << "logs: " << the_folder << std::endl;
  }
  _exit(code);
}

}  // namespace review
