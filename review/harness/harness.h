// Stand-ins for the review's scripts: the platform's store, model runners, a
// proxy and a client. They speak the platform's protocol over loopback and use
// nothing of the project's own code. The gateways are the project's own
// program, started as separate processes.
#ifndef REVIEW_HARNESS_HARNESS_H_
#define REVIEW_HARNESS_HARNESS_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Headers = std::vector<std::pair<std::string, std::string>>;

// Exit codes of a script.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// Seconds since the start of the script.
double Now();
void SleepUntil(double seconds);
void SleepFor(double seconds);

// Writes record.txt: one line for each thing sent, answered, run or done.
class Record {
 public:
  explicit Record(const std::string& path);
  void Line(const std::string& text);

 private:
  std::mutex m_mutex;
  std::ofstream m_file;
};

// The record of this script; set by Begin().
Record& TheRecord();

struct Message {
  // Request line or status line, split at spaces.
  std::string first, second, third;
  Headers headers;
  std::string body;
  std::string Header(const std::string& name) const;
  int status() const;
};

// A TCP connection with a read buffer.
class Connection {
 public:
  explicit Connection(int fd) : m_fd(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  // Reads one message. False at the end of the connection or on an error.
  bool ReadMessage(Message& message, bool is_response, double timeout_s);
  bool Write(const std::string& bytes);
  // Whether the other end has closed the connection.
  bool PeerClosed() const;
  void Reset();
  // What has been received beyond the last message, within a short wait.
  std::string Rest(double wait_s);
  int fd() const { return m_fd; }

 private:
  bool Fill(double timeout_s);
  bool ReadLine(std::string& line, double timeout_s);
  int m_fd;
  std::string m_buffer;
  bool m_eof = false;
};

std::unique_ptr<Connection> Connect(const std::string& ip, uint16_t port);

// A listening socket with a thread for each connection.
class Server {
 public:
  using Handler = std::function<void(Connection&)>;
  Server(const std::string& ip, uint16_t port, Handler handler);
  ~Server();
  uint16_t port() const { return m_port; }

 private:
  void Accept();
  int m_fd;
  uint16_t m_port = 0;
  Handler m_handler;
  std::atomic<bool> m_stop{false};
  std::thread m_thread;
  std::mutex m_mutex;
  std::set<int> m_open;
  std::atomic<int> m_running{0};
};

// The platform's metadata store. `spec` and `status` are kept as the JSON text
// that their writer sent.
class Store {
 public:
  explicit Store(const std::string& ip);
  uint16_t port() const { return m_server->port(); }
  void Put(const std::string& kind,
           const std::string& name,
           const std::string& spec_text);
  void Remove(const std::string& kind, const std::string& name);
  std::optional<std::string> Spec(const std::string& kind,
                                  const std::string& name);
  std::optional<std::string> Status(const std::string& kind,
                                    const std::string& name);
  // Called under a lock before a write is carried out. kDoAndLose carries it
  // out and closes the connection without an answer; kLoseAndDoLate closes the
  // connection, and carries it out after `late_s` if its condition still holds;
  // kRefuse answers 503.
  enum class Fate { kDo, kDoAndLose, kLoseAndDoLate, kRefuse };
  using Judge =
      std::function<Fate(const std::string& method, const std::string& path)>;
  void SetJudge(Judge judge, double late_s = 0);
  // How long each call takes, half of it before it is carried out.
  void SetLatency(double seconds) { m_latency_s = seconds; }
  size_t writes() const { return m_writes; }
  // Watches that wait hear nothing more until their wait ends; calls that begin
  // later are answered.
  void SilenceWatches();
  // Drops the history: a watch from before is answered 410.
  void DropHistory();

 private:
  struct Object {
    std::string spec = "null";
    std::string status = "null";
    uint64_t revision = 0;
    uint64_t created = 0;
  };
  struct Event {
    uint64_t revision;
    std::string kind;
    std::string text;
  };
  void Serve(Connection& connection);
  // Returns false if the connection is to be closed without an answer.
  bool Answer(const Message& request,
              int& status,
              std::string& body,
              bool is_judged = true);
  std::string Text(const std::string& name, const Object& object) const;
  void Changed(const std::string& kind,
               const std::string& name,
               const Object& object,
               bool removed);

  std::mutex m_mutex;
  std::condition_variable m_changed;
  uint64_t m_revision = 100;
  std::map<std::string, std::map<std::string, Object>> m_objects;
  std::vector<Event> m_events;
  uint64_t m_silenced = 0;
  uint64_t m_history_from = 0;
  Judge m_judge;
  double m_late_s = 0;
  std::atomic<double> m_latency_s{0};
  std::atomic<size_t> m_writes{0};
  std::atomic<bool> m_stop{false};
  std::unique_ptr<Server> m_server;

 public:
  ~Store();
};

// What a runner received and did with it.
struct Arrival {
  double at = 0;
  std::string runner;
  std::string method, path, id, tenant, last_event;
  bool ran = false;
  bool completed = false;
};

// A model runner: streams numbered events, resumes, and echoes the id.
class Runner {
 public:
  struct Options {
    std::string id;
    std::string service = "s";
    std::string zone = "z";
    uint64_t events = 20;
    double pause_s = 0.02;
    int slots = 8;
    // Answers a request instead of the runner; true if it did.
    std::function<bool(const Message&, Connection&)> instead = nullptr;
  };
  Runner(const std::string& ip, Options options);
  ~Runner();
  uint16_t port() const { return m_server->port(); }
  std::string address() const;
  // The spec of its entry in the store.
  std::string Entry(const std::string& state = "ready") const;
  std::vector<Arrival> arrivals();
  int running() const { return m_running; }
  // The data of an event of a request.
  static std::string Data(const std::string& id, uint64_t event);
  // The whole output of an item.
  std::string Output(const std::string& id) const;

 private:
  void Serve(Connection& connection);
  void Run(const Message& request, Connection& connection, size_t index);
  const std::string m_ip;
  const Options m_options;
  std::mutex m_mutex;
  std::vector<Arrival> m_arrivals;
  std::atomic<int> m_running{0};
  std::unique_ptr<Server> m_server;
};

// Forwards connections to the store; cut() silences what is open and new.
class Proxy {
 public:
  Proxy(const std::string& ip, std::string to_ip, uint16_t to_port);
  uint16_t port() const { return m_server->port(); }
  // kSilent keeps connections open and forwards nothing, kReset resets them.
  enum class Mode { kForward, kSilent, kReset };
  void SetMode(Mode mode) { m_mode = mode; }

 private:
  void Serve(Connection& connection);
  const std::string m_to_ip;
  const uint16_t m_to_port;
  std::atomic<Mode> m_mode{Mode::kForward};
  std::unique_ptr<Server> m_server;
};

// A process of the system: `target/bin/cowslip-gateway entry`.
class Gateway {
 public:
  // The settings of a small deployment, with the store at `store`.
  Gateway(int number, std::string store, const std::string& folder);
  ~Gateway();
  bool Start();
  void Signal(int signal);
  // Sends SIGKILL and waits for the end.
  void Kill();
  // Sends SIGTERM, and SIGKILL after the grace time, and waits for the end.
  void Terminate(double grace_s = 8);
  // Whether the process still runs.
  bool Runs();
  bool Ready() const;
  bool WaitReady(double timeout_s) const;
  const std::string& ip() const { return m_ip; }
  const std::string& name() const { return m_name; }
  uint16_t front() const { return m_ports; }

 private:
  const int m_number;
  const std::string m_ip;
  const std::string m_name;
  const std::string m_store;
  const std::string m_folder;
  uint16_t m_ports;
  pid_t m_pid = -1;
  int m_starts = 0;
};

struct Answer {
  // 0 if the connection ended without an answer.
  int status = 0;
  Message message;
};

// Sends one request on a new connection and reads the answer.
Answer Call(const Gateway& gateway,
            const std::string& method,
            const std::string& path,
            const Headers& headers,
            const std::string& body,
            double timeout_s = 6);

// Submits, and repeats as the pages say, until 202 or the end of the time.
int SubmitJob(std::vector<Gateway*> gateways,
              const std::string& id,
              const std::string& body,
              double timeout_s = 4);

struct JobView {
  int status = 0;
  uint64_t total = 0;
  std::vector<Json> results;
};
JobView ReadJob(const Gateway& gateway, const std::string& id);

// An item with the headers that the pages show.
Json Item(const std::string& id, const std::string& path);
std::string JobBody(const std::vector<Json>& items);

// A configuration with a `safe`, an `unsafe` and a `batch` route and two
// `streaming` ones (stream may be resumed, once may not), all to service s, and
// the tenants mill (key1) and studio (key2).
Json Configuration(uint64_t version);

std::string EncodeBase64(const std::string& bytes);

// Opens the record at `record_path`, and ends the script with kCouldNotRun if
// it lasts too long. Returns whether the disruption is to be played (TROUBLE is
// not 0).
bool Begin(const std::string& record_path);
std::string TempFolder();
// Ends the processes, removes the temporary folder and exits.
[[noreturn]] void End(int code, const std::string& why);

}  // namespace review

#endif  // REVIEW_HARNESS_HARNESS_H_
