#include "Utilities/Soak/backend.h"

#include <poll.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <utility>

#include "Utilities/Soak/run_log.h"

namespace soak {

using review::Connection;
using review::Message;
using review::Now;
using review::SleepFor;

namespace {

std::string Chunk(const std::string& bytes) {
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

bool IsReadable(const Connection& connection, int timeout_ms) {
  pollfd fd{connection.fd(), POLLIN, 0};
  return poll(&fd, 1, timeout_ms) > 0;
}

std::string Plain(int status,
                  const char* reason,
                  const std::string& headers,
                  const std::string& body = "") {
  return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" +
         headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::string EventText(const std::string& data, uint64_t number) {
  return "id: " + std::to_string(number) + "\ndata: " + data +
         std::to_string(number) + "\n\n";
}

}  // namespace

std::string RunRecord::Text() const {
  char times[64];
  std::snprintf(times, sizeof(times), "%.3f to %.3f", began, ended);
  return backend + "." + std::to_string(incarnation) + " " + version + ", " +
         times + ", events " + std::to_string(first) + " to " +
         std::to_string(last) + ", " + framing +
         (is_listed ? "" : ", version not listed yet") + ", " + end;
}

uint64_t EventCount(const std::string& path) {
  const uint64_t hash = HashOf(path);
  return path.starts_with("/job/") ? 150 + hash % 140 : 16 + hash % 33;
}

Backend::Backend(Options options, BackendFaults& faults, RunLog& runs)
    : m_options(std::move(options)), m_faults(faults), m_runs(runs) {}

Backend::~Backend() {
  Kill(End::kFin, false);
}

void Backend::Start(const std::string& version) {
  ++m_incarnation;
  m_born_ms = static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  m_end = End::kNone;
  m_is_leaving = false;
  m_is_frozen = false;
  // A restart at the same version changes nothing that a caller can see.
  m_is_listed = version == m_version && m_is_listed;
  m_version = version;
  m_free_slots = m_options.slots;
  m_waiting = 0;
  m_server = std::make_unique<review::Server>(
      m_options.ip, m_port,
      [this](Connection& connection) { Serve(connection); });
  m_port = m_server->port();
}

void Backend::Kill(End end, bool inside) {
  if (m_server == nullptr) {
    return;
  }
  m_ends_inside = inside;
  m_end = end;
  const double give_up = Now() + 0.2;
  while (m_connections > 0 && Now() < give_up) {
    SleepFor(0.002);
  }
  m_server.reset();
}

std::string Backend::Entry(const std::string& state) const {
  return review::Json({{"service", "s"},
                       {"address", m_options.ip + ":" + std::to_string(m_port)},
                       {"zone", "z"},
                       {"version", m_version},
                       {"slots", m_options.slots},
                       {"state", state},
                       {"cold_remaining_ms", 0},
                       {"sequence", 1},
                       {"born", m_born_ms}})
      .dump();
}

void Backend::Serve(Connection& connection) {
  ++m_connections;
  Random random(m_options.seed + 977 * ++m_connection_count);
  std::string extra;
  double extra_at = 0;
  const double idle_end = Now() + 60;
  while (m_end == End::kNone && Now() < idle_end) {
    if (m_is_frozen) {
      SleepFor(0.005);
      continue;
    }
    if (!IsReadable(connection, 10)) {
      // An extra response comes while no request is there, or before the next.
      if (!extra.empty() && extra_at > 0 && Now() > extra_at) {
        connection.Write(std::exchange(extra, ""));
      }
      continue;
    }
    Message request;
    if (!connection.ReadMessage(request, false, 2)) {
      break;
    }
    if (!extra.empty()) {
      connection.Write(std::exchange(extra, ""));
    }
    if (!Answer(request, connection, extra, random)) {
      break;
    }
    extra_at = random.Chance(0.5) ? Now() + random.Between(0.02, 0.4) : 0;
  }
  if (m_end == End::kReset) {
    connection.Reset();
  }
  --m_connections;
}

bool Backend::Answer(const Message& request,
                     Connection& connection,
                     std::string& extra,
                     Random& random) {
  const std::string id = request.Header("Attempt-Id");
  const std::string path = request.second.substr(0, request.second.find('?'));
  if (path == "/health") {
    return connection.Write(Plain(m_is_leaving ? 503 : 200,
                                  m_is_leaving ? "Leaving" : "OK",
                                  "Instance-Id: " + m_options.id + "\r\n"));
  }
  if (path == "/report") {
    const review::Json report = {
        {"stage", "both"},
        {"models", {{{"name", "m"}, {"version", 1}, {"adapters", {}}}}},
        {"busy", false},
        {"sequence", 1},
        {"waiting", m_waiting.load()},
        {"running", m_options.slots - m_free_slots.load()},
        {"kv_used", 0},
        {"kv_total", 147261},
        {"handles", 0},
        {"born", m_born_ms}};
    return connection.Write(
        Plain(200, "OK", "Content-Type: application/json\r\n", report.dump()));
  }
  const std::string expected = request.Header("Expect-Instance");
  if (!expected.empty() && expected != m_options.id) {
    return connection.Write(
        Plain(421, "Misdirected Request",
              "Not-Executed: 1\r\nAttempt-Id: " + id + "\r\n"));
  }
  if (id.empty() ||
      (!path.starts_with("/stream/") && !path.starts_with("/once/") &&
       !path.starts_with("/job/"))) {
    return connection.Write(Plain(404, "Not Found", "Not-Executed: 1\r\n"));
  }
  if (!request.Header("Kv-From").empty()) {
    return connection.Write(
        Plain(503, "No Copy", "Not-Executed: 1\r\nAttempt-Id: " + id + "\r\n"));
  }
  if (m_waiting >= m_options.queue) {
    return connection.Write(
        Plain(503, "Full", "Not-Executed: 1\r\nAttempt-Id: " + id + "\r\n"));
  }
  if (!TakeSlot(connection)) {
    return false;
  }
  const bool goes_on = Run(request, connection, extra, random);
  ++m_free_slots;
  return goes_on;
}

bool Backend::TakeSlot(const Connection& connection) {
  ++m_waiting;
  bool taken = false;
  while (!taken && m_end == End::kNone && !connection.PeerClosed()) {
    int free = m_free_slots;
    taken = free > 0 && m_free_slots.compare_exchange_strong(free, free - 1);
    if (!taken) {
      SleepFor(0.003);
    }
  }
  --m_waiting;
  return taken;
}

bool Backend::Pause(double seconds, const Connection& connection) const {
  const double end = Now() + seconds;
  while (Now() < end) {
    SleepFor(std::min(0.005, std::max(0.0005, end - Now())));
    while (m_is_frozen && m_end == End::kNone) {
      SleepFor(0.005);
    }
    if (m_end != End::kNone || connection.PeerClosed()) {
      return false;
    }
  }
  return true;
}

bool Backend::Run(const Message& request,
                  Connection& connection,
                  std::string& extra,
                  Random& random) {
  enum class Framing { kChunks, kLength, kConnection };
  const std::string id = request.Header("Attempt-Id");
  const std::string& path = request.second;
  const uint64_t count = EventCount(path);
  const uint64_t from =
      std::strtoull(request.Header("Last-Event-Id").c_str(), nullptr, 10);
  const double draw = random.Between(0, 1);
  const Framing framing = draw < 0.15 && m_faults.with_length ? Framing::kLength
                          : draw > 0.85 && m_faults.ends_with_connection
                              ? Framing::kConnection
                              : Framing::kChunks;
  static const char* const names[] = {"chunks", "length",
                                      "ends with its connection"};
  RunRecord record{.began = Now(),
                   .backend = m_options.id,
                   .version = m_version,
                   .incarnation = m_incarnation,
                   .first = from + 1,
                   .last = from,
                   .is_listed = m_is_listed,
                   .framing = names[static_cast<int>(framing)],
                   .end = ""};
  // The data of an event names the request, the version, the incarnation and
  // the event.
  const std::string data = path + "|" + m_version + "|" + m_options.id + "." +
                           std::to_string(m_incarnation) + "|";
  const std::string signature = "Attempt-Id: " + id +
                                "\r\nResponse-Signature: 3e1b." + m_options.id +
                                "." + id.substr(0, 8) + "\r\n";
  const auto end = [&](const std::string& how, bool goes_on) {
    record.ended = Now();
    record.end = how;
    m_runs.Add(id, record);
    return goes_on;
  };
  if (random.Chance(m_faults.garble) && random.Chance(0.4)) {
    connection.Write(std::string("\x16\x03\x01garbage\r\n\r\n", 14));
    return end("sent bytes that are no response", false);
  }
  std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
                     signature + "Weight-Versions: 1\r\n";
  size_t length = 0;
  for (uint64_t n = from + 1; n <= count; ++n) {
    length += EventText(data, n).size();
  }
  if (framing == Framing::kChunks) {
    head += "Transfer-Encoding: chunked\r\n";
  } else if (framing == Framing::kLength) {
    head += "Content-Length: " + std::to_string(length) + "\r\n";
  }
  if (framing == Framing::kConnection || m_is_leaving) {
    head += "Connection: close\r\n";
  }
  head += "\r\n";
  const bool in_chunks = framing == Framing::kChunks;
  // 0 for none.
  const bool is_cut = random.Chance(m_faults.cut);
  const bool is_garbled = random.Chance(m_faults.garble);
  const uint64_t broken_at =
      is_cut || is_garbled
          ? from + 1 + random.Below(std::max<uint64_t>(1, count - from))
          : 0;
  const uint64_t stalls_at =
      random.Chance(m_faults.stall)
          ? from + 1 + random.Below(std::max<uint64_t>(1, count - from))
          : 0;
  const double pause = random.Between(0.010, 0.022);
  for (uint64_t n = from + 1; n <= count; ++n) {
    const std::string text = EventText(data, n);
    const double wait = n == stalls_at ? random.Between(0.8, 2.5) : pause;
    const bool is_alive = Pause(wait, connection);
    const std::string half = text.substr(0, text.size() / 2);
    const bool may_split = in_chunks && random.Chance(0.5);
    const std::string half_bytes = may_split   ? Chunk(half)
                                   : in_chunks ? Chunk(text).substr(0, 20)
                                               : half;
    if (!is_alive && m_end != End::kNone) {
      const bool resets = m_end == End::kReset;
      if (m_ends_inside) {
        connection.Write(head + half_bytes);
      }
      return end(std::string("killed, ") + (resets ? "RST" : "FIN") +
                     (m_ends_inside ? " inside an event" : " between events"),
                 false);
    }
    if (!is_alive) {
      return end("the caller left", false);
    }
    if (n == broken_at && is_cut) {
      const bool inside = random.Chance(0.5);
      const bool resets = random.Chance(0.5);
      if (inside) {
        connection.Write(head + half_bytes);
      }
      if (resets) {
        connection.Reset();
      }
      return end(std::string("cut, ") + (resets ? "RST" : "FIN") +
                     (inside ? " inside an event" : " between events"),
                 false);
    }
    if (n == broken_at) {
      connection.Write(head + (in_chunks ? "zz\r\n" : "\x01\x02") +
                       "garbage\n\n");
      return end("sent garbage", false);
    }
    // Some events arrive in two reads.
    const std::string bytes = in_chunks ? Chunk(text) : text;
    if (random.Chance(0.05)) {
      connection.Write(std::exchange(head, "") + bytes.substr(0, 9));
      SleepFor(0.002);
      connection.Write(bytes.substr(9));
    } else if (!connection.Write(std::exchange(head, "") + bytes)) {
      return end("the caller left", false);
    }
    record.last = n;
  }
  connection.Write(head + (in_chunks ? "0\r\n\r\n" : ""));
  if (random.Chance(m_faults.extra) && framing != Framing::kConnection) {
    std::string body;
    for (uint64_t n = from + 1; n <= count; ++n) {
      body += EventText(data, n);
    }
    extra = Plain(200, "OK", "Content-Type: text/event-stream\r\n" + signature,
                  body);
    return end("complete; an extra response follows", true);
  }
  if (is_garbled && framing != Framing::kConnection) {
    connection.Write("0\r\n\r\nid: 99\ndata: surplus\n\n");
  }
  return end("complete", framing != Framing::kConnection && !m_is_leaving);
}

}  // namespace soak
