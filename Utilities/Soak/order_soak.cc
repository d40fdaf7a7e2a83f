// Looks for rule ORDER with real gateway processes under seeded disruptions, in
// the shape of the deployment namu-veneer.
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>

#include "Utilities/Soak/backend.h"
#include "Utilities/Soak/gateway_process.h"
#include "Utilities/Soak/random.h"
#include "Utilities/Soak/run_log.h"
#include "Utilities/Soak/stream_client.h"
#include "Utilities/Soak/stream_history.h"
#include "review/harness/harness.h"

namespace soak {
namespace {

using review::Json;
using review::Now;
using review::SleepFor;

constexpr int kGateways = 5;
constexpr int kBackends = 9;
constexpr double kHeartbeatS = 1.2;
// bounds.contact_ms, and the longest gap that a client waits out: how long a
// disruption of a gateway may show in what it does.
constexpr double kAftermathS = 6.2;

struct Settings {
  uint64_t seed = 1;
  double lead_s = 6;
  double disruption_s = 22;
  double calm_s = 6;
  double streams_per_s = 25;
  int block = 0;
  std::string program = "target/bin/cowslip-gateway";
  std::string folder = "target/soak/out";
  std::set<std::string> off;
  std::set<std::string> only;
  // The share of clients that break off their own connection at all times.
  double client_break = 0.05;
  int releases = 2;
  // How many other disruptions take place.
  int count = 14;
};

// A time and what happens then, on the main thread.
using Plan = std::multimap<double, std::function<void()>>;

class Soak {
 public:
  explicit Soak(Settings settings);
  int Run();

 private:
  struct Kind {
    std::string name;
    std::function<void(double at)> plan;
  };
  struct Disturbed {
    std::string gateway;
    double from;
    double to;
    std::string kind;
  };

  bool IsOn(const std::string& name) const {
    return !m_settings.off.contains(name) &&
           (m_settings.only.empty() || m_settings.only.contains(name));
  }
  void Note(const std::string& text);
  void Disturb(int gateway, double from, double to, const std::string& kind);
  std::vector<Kind> Kinds();
  void PlanDisruptions();
  void Play(double until);

  std::shared_ptr<Backend> AddBackend(const std::string& version);
  void List(const std::shared_ptr<Backend>& backend, const std::string& state);
  std::shared_ptr<Backend> Pick();
  void PlanRelease(double at);
  void PlanRestart(double at, bool other_version);
  void PlanKill(double at, Backend::End end);
  void PlanFreeze(double at);
  void PlanBackendFreeze(double at);
  void PlanOldBeat(double at);
  void PlanCut(double at);
  void PlanGatewayEnd(double at, int signal, bool all);

  void Load();
  void RunStream(StreamClient::Options options);
  void RunJob(uint64_t seed);
  review::Answer Call(const GatewayProcess& gateway,
                      const std::string& method,
                      const std::string& path,
                      const review::Headers& headers,
                      const std::string& body);
  void Report(const std::vector<std::string>& broken,
              const std::string& last_gateway,
              double at,
              const std::string& text);

  const Settings m_settings;
  Random m_random;
  RunLog m_runs;
  BackendFaults m_faults;
  std::atomic<double> m_client_break{0};
  std::unique_ptr<review::Store> m_store;
  std::vector<std::unique_ptr<review::Proxy>> m_proxies;
  std::vector<std::unique_ptr<GatewayProcess>> m_gateways;
  std::vector<std::shared_ptr<Backend>> m_backends;
  int m_next_backend = 1;
  int m_version = 1;
  Plan m_plan;
  std::atomic<bool> m_stop{false};
  std::atomic<int> m_clients{0};

  std::mutex m_mutex;
  std::ofstream m_report;
  std::vector<Disturbed> m_disturbed;
  std::map<std::string, int> m_broken;
  std::map<std::string, int> m_counts;
};

Soak::Soak(Settings settings)
    : m_settings(std::move(settings)), m_random(m_settings.seed) {
  m_report.open(m_settings.folder + "/report.txt");
}

void Soak::Note(const std::string& text) {
  review::TheRecord().Line(text);
}

void Soak::Disturb(int gateway,
                   double from,
                   double to,
                   const std::string& kind) {
  const std::lock_guard lock(m_mutex);
  m_disturbed.push_back({m_gateways[gateway]->name(), from, to, kind});
}

std::shared_ptr<Backend> Soak::AddBackend(const std::string& version) {
  const std::string ip =
      "127.0.30." + std::to_string(m_settings.block * 80 + 30);
  auto backend = std::make_shared<Backend>(
      Backend::Options{.ip = ip,
                       .id = "i-" + std::to_string(m_next_backend++),
                       .seed = m_random.Next()},
      m_faults, m_runs);
  backend->Start(version);
  m_backends.push_back(backend);
  return backend;
}

void Soak::List(const std::shared_ptr<Backend>& backend,
                const std::string& state) {
  m_store->Put("servers", backend->id(), backend->Entry(state));
  backend->SetListed();
  Note("store: " + backend->id() + " " + backend->version() + " " + state);
}

// A backend server that runs and is not about to leave.
std::shared_ptr<Backend> Soak::Pick() {
  std::vector<std::shared_ptr<Backend>> running;
  for (const auto& backend : m_backends) {
    if (backend->is_running()) {
      running.push_back(backend);
    }
  }
  return running.empty() ? nullptr : running[m_random.Below(running.size())];
}

// New backend servers of the next version join one after another, and each
// replaces an old one.
void Soak::PlanRelease(double at) {
  const int steps = 2 + static_cast<int>(m_random.Below(kBackends - 1));
  const double gap = m_random.Between(0.3, 1.0);
  m_plan.emplace(at, [this] { ++m_version; });
  for (int i = 0; i < steps; ++i) {
    const double joins = at + gap * i + 0.001;
    m_plan.emplace(joins, [this, joins] {
      const std::string version = "v" + std::to_string(m_version);
      std::shared_ptr<Backend> old;
      for (const auto& backend : m_backends) {
        if (backend->is_running() && backend->version() != version) {
          old = backend;
          break;
        }
      }
      if (old == nullptr) {
        return;
      }
      const auto fresh = AddBackend(version);
      std::erase(m_backends, old);
      const double listed = joins + m_random.Between(0, 0.3);
      const bool vanishes = m_random.Chance(0.3);
      const double leaves = listed + m_random.Between(0, 0.5);
      const double ends = leaves + 2 + m_random.Between(0.1, 1.5);
      const auto end =
          m_random.Chance(0.5) ? Backend::End::kFin : Backend::End::kReset;
      m_plan.emplace(listed, [this, fresh] { List(fresh, "ready"); });
      m_plan.emplace(leaves, [this, old, vanishes] {
        if (vanishes) {
          m_store->Remove("servers", old->id());
          Note("store: " + old->id() + " is removed");
        } else {
          List(old, "draining");
        }
        old->SetLeaving();
      });
      m_plan.emplace(ends, [this, old, end] {
        Note("backend " + old->id() + " ends after its drain");
        old->Kill(end, false);
        m_store->Remove("servers", old->id());
      });
    });
  }
}

// A backend server starts again under its id and address; its entry is written
// late.
void Soak::PlanRestart(double at, bool other_version) {
  const bool resets = m_random.Chance(0.5);
  const bool inside = m_random.Chance(0.5);
  const double down = m_random.Between(0.02, 0.6);
  const double late = m_random.Between(0, 1.2);
  const int count = 1 + static_cast<int>(m_random.Below(3));
  m_plan.emplace(at, [=, this] {
    if (other_version) {
      ++m_version;
    }
    for (int i = 0; i < count; ++i) {
      const auto backend = Pick();
      if (backend == nullptr) {
        return;
      }
      const std::string version =
          other_version ? "v" + std::to_string(m_version) : backend->version();
      Note("backend " + backend->id() + " ends and starts again as " + version);
      backend->Kill(resets ? Backend::End::kReset : Backend::End::kFin, inside);
      m_plan.emplace(at + down, [=, this] {
        if (!backend->is_running()) {
          backend->Start(version);
          m_plan.emplace(at + down + late, [=, this] {
            if (backend->is_running()) {
              List(backend, "ready");
            }
          });
        }
      });
    }
  });
}

// A backend server ends; its entry goes after three missing heartbeats, and
// another one of the same version takes its place.
void Soak::PlanKill(double at, Backend::End end) {
  const bool inside = m_random.Chance(0.5);
  m_plan.emplace(at, [=, this] {
    const auto backend = Pick();
    if (backend == nullptr) {
      return;
    }
    Note("backend " + backend->id() + " is killed");
    backend->Kill(end, inside);
    std::erase(m_backends, backend);
    m_plan.emplace(at + 3 * kHeartbeatS, [=, this] {
      m_store->Remove("servers", backend->id());
      List(AddBackend(backend->version()), "ready");
    });
  });
}

void Soak::PlanFreeze(double at) {
  const int number = static_cast<int>(m_random.Below(kGateways));
  const double until = at + m_random.Between(1, 5);
  Disturb(number, at, until, "freeze");
  m_plan.emplace(at, [=, this] {
    Note(m_gateways[number]->name() + " is stopped");
    m_gateways[number]->Signal(SIGSTOP);
  });
  m_plan.emplace(until, [=, this] {
    Note(m_gateways[number]->name() + " goes on");
    m_gateways[number]->Signal(SIGCONT);
  });
}

void Soak::PlanBackendFreeze(double at) {
  const double until = at + m_random.Between(0.8, 4);
  m_plan.emplace(at, [=, this] {
    const auto backend = Pick();
    if (backend == nullptr) {
      return;
    }
    Note("backend " + backend->id() + " stands still");
    backend->SetFrozen(true);
    m_plan.emplace(until, [=, this] {
      Note("backend " + backend->id() + " goes on");
      backend->SetFrozen(false);
    });
  });
}

// A backend server starts again at another version, and a late heartbeat of
// before overwrites its entry for a while.
void Soak::PlanOldBeat(double at) {
  const double down = m_random.Between(0.02, 0.6);
  const double late = m_random.Between(0.1, 1.2);
  m_plan.emplace(at, [=, this] {
    const auto backend = Pick();
    if (backend == nullptr) {
      return;
    }
    const std::string old = backend->Entry("ready");
    const std::string version = "v" + std::to_string(++m_version);
    Note("backend " + backend->id() + " starts again as " + version +
         ", and an old heartbeat follows");
    backend->Kill(Backend::End::kReset, false);
    m_plan.emplace(at + down, [=, this] {
      if (backend->is_running()) {
        return;
      }
      backend->Start(version);
      List(backend, "ready");
      m_plan.emplace(at + down + 0.1, [=, this] {
        Note("store: an old heartbeat of " + backend->id());
        m_store->Put("servers", backend->id(), old);
      });
      m_plan.emplace(at + down + 0.1 + late, [=, this] {
        if (backend->is_running()) {
          List(backend, "ready");
        }
      });
    });
  });
}

void Soak::PlanCut(double at) {
  const int number = static_cast<int>(m_random.Below(kGateways));
  const double until = at + m_random.Between(2, 6);
  const bool resets = m_random.Chance(0.5);
  Disturb(number, at, until, "cut");
  m_plan.emplace(at, [=, this] {
    Note(m_gateways[number]->name() + " is cut off from the store" +
         (resets ? " (resets)" : ""));
    m_proxies[number]->SetMode(resets ? review::Proxy::Mode::kReset
                                      : review::Proxy::Mode::kSilent);
  });
  m_plan.emplace(until, [=, this] {
    Note(m_gateways[number]->name() + " reaches the store again");
    m_proxies[number]->SetMode(review::Proxy::Mode::kForward);
  });
}

void Soak::PlanGatewayEnd(double at, int signal, bool all) {
  const int first = static_cast<int>(m_random.Below(kGateways));
  const double down = m_random.Between(0.2, 2.5);
  for (int i = 0; i < (all ? kGateways : 1); ++i) {
    const int number = (first + i) % kGateways;
    const double grace = signal == SIGTERM ? 8 : 0;
    Disturb(number, at, at + grace + down, all ? "all_killed" : "ended");
    m_plan.emplace(at, [=, this] {
      Note(m_gateways[number]->name() + " gets signal " +
           std::to_string(signal));
      m_gateways[number]->Signal(SIGCONT);
      m_gateways[number]->Signal(signal);
    });
    m_plan.emplace(at + grace + down, [=, this] {
      m_gateways[number]->Kill();
      m_gateways[number]->Start();
      Note(m_gateways[number]->name() + " is started again");
    });
  }
}

std::vector<Soak::Kind> Soak::Kinds() {
  // Sets a share of faulty responses for some seconds.
  const auto share = [this](std::atomic<double>& value, double x,
                            const char* name) {
    return [this, &value, x, name](double at) {
      m_plan.emplace(at, [this, &value, x, name] {
        Note(std::string(name) + " begins");
        value = x;
      });
      m_plan.emplace(at + m_random.Between(3, 6), [this, &value, name] {
        Note(std::string(name) + " ends");
        value = 0;
      });
    };
  };
  return {
      {"restart_same", [this](double at) { PlanRestart(at, false); }},
      {"restart_other", [this](double at) { PlanRestart(at, true); }},
      {"kill_fin", [this](double at) { PlanKill(at, Backend::End::kFin); }},
      {"kill_rst", [this](double at) { PlanKill(at, Backend::End::kReset); }},
      {"backend_freeze", [this](double at) { PlanBackendFreeze(at); }},
      {"old_beat", [this](double at) { PlanOldBeat(at); }},
      {"cut_answers", share(m_faults.cut, 0.08, "cut_answers")},
      {"garble", share(m_faults.garble, 0.06, "garble")},
      {"extra_late", share(m_faults.extra, 0.1, "extra_late")},
      {"stall", share(m_faults.stall, 0.1, "stall")},
      {"client_break", share(m_client_break, 0.4, "client_break")},
      {"freeze", [this](double at) { PlanFreeze(at); }},
      {"cut_store", [this](double at) { PlanCut(at); }},
      {"store_silent",
       [this](double at) {
         for (int i = 0; i < kGateways; ++i) {
           // A watch waits for some seconds at most.
           Disturb(i, at, at + 10, "store_silent");
         }
         m_plan.emplace(at, [this] { m_store->SilenceWatches(); });
       }},
      {"store_slow",
       [this](double at) {
         const double until = at + m_random.Between(2, 5);
         const double latency = m_random.Between(0.1, 0.6);
         for (int i = 0; i < kGateways; ++i) {
           Disturb(i, at, until, "store_slow");
         }
         m_plan.emplace(at, [this, latency] {
           Note("store: slow");
           m_store->SetLatency(latency);
         });
         m_plan.emplace(until, [this] {
           Note("store: at its usual pace");
           m_store->SetLatency(0.008);
         });
       }},
      {"store_forgets",
       [this](double at) {
         m_plan.emplace(at, [this] { m_store->DropHistory(); });
       }},
      {"gateway_kill",
       [this](double at) { PlanGatewayEnd(at, SIGKILL, false); }},
      {"gateway_term",
       [this](double at) { PlanGatewayEnd(at, SIGTERM, false); }},
      {"all_killed", [this](double at) { PlanGatewayEnd(at, SIGKILL, true); }},
  };
}

void Soak::PlanDisruptions() {
  std::vector<Kind> kinds;
  for (Kind& kind : Kinds()) {
    if (IsOn(kind.name)) {
      kinds.push_back(std::move(kind));
    }
  }
  const double begin = m_settings.lead_s;
  const double end = begin + m_settings.disruption_s;
  // A quarter of the seeds has no release.
  const int releases =
      m_settings.seed % 4 == 0 || !IsOn("release") ? 0 : m_settings.releases;
  for (int i = 0; i < releases; ++i) {
    PlanRelease(begin + 10 * i + m_random.Between(1, 4));
  }
  for (int i = 0; i < m_settings.count && !kinds.empty(); ++i) {
    const Kind& kind = kinds[m_random.Below(kinds.size())];
    const double at = m_random.Between(begin, end);
    Note("planned at " + std::to_string(at) + ": " + kind.name);
    kind.plan(at);
  }
}

void Soak::Play(double until) {
  while (Now() < until) {
    const auto next = m_plan.begin();
    if (next != m_plan.end() && next->first <= Now()) {
      const std::function<void()> step = next->second;
      m_plan.erase(next);
      step();
      continue;
    }
    SleepFor(0.002);
  }
}

void Soak::Load() {
  Random random(m_settings.seed * 31 + 7);
  double next_job = Now();
  for (uint64_t i = 0; !m_stop; ++i) {
    SleepFor(random.Between(0, 2 / m_settings.streams_per_s));
    const bool resumable = random.Chance(0.87);
    StreamClient::Options options{
        .path = (resumable ? "/stream/r" : "/once/r") + std::to_string(i),
        .may_resume = resumable,
        .leaves_after = random.Chance(std::max<double>(m_client_break,
                                                       m_settings.client_break))
                            ? 1 + random.Below(15)
                            : 0,
        .seed = random.Next()};
    ++m_clients;
    std::thread([this, options] {
      RunStream(options);
      --m_clients;
    }).detach();
    if (Now() >= next_job) {
      next_job = Now() + random.Between(1.5, 2.5);
      ++m_clients;
      std::thread([this, seed = random.Next()] {
        RunJob(seed);
        --m_clients;
      }).detach();
    }
  }
}

void Soak::RunStream(StreamClient::Options options) {
  std::vector<const GatewayProcess*> gateways;
  for (const auto& gateway : m_gateways) {
    gateways.push_back(gateway.get());
  }
  StreamClient client(options, gateways);
  const StreamHistory history = client.Run();
  // The backend servers write the ends of their runs.
  SleepFor(0.1);
  const std::vector<std::string> broken = history.Broken(m_runs);
  bool goes_on = false;
  for (const StreamEvent& event : history.events) {
    goes_on = goes_on || event.attempt != history.events.front().attempt;
  }
  {
    const std::lock_guard lock(m_mutex);
    ++m_counts["streams"];
    m_counts["complete"] += history.is_complete ? 1 : 0;
    m_counts["gone_on_elsewhere"] += goes_on ? 1 : 0;
    for (const StreamAttempt& attempt : history.attempts) {
      const bool resumes = attempt.last_event > 0;
      m_counts["resumptions"] += resumes ? 1 : 0;
      m_counts["resumptions_503"] += resumes && attempt.status == 503 ? 1 : 0;
    }
  }
  if (!broken.empty()) {
    // The gateway at which the version first changed, or the last one.
    size_t at = history.attempts.size() - 1;
    for (size_t i = 1; i < history.events.size(); ++i) {
      if (history.events[i].version != history.events[i - 1].version) {
        at = history.events[i].attempt;
        break;
      }
    }
    Report(broken, history.attempts[at].gateway, history.attempts[at].sent,
           history.Text(m_runs));
  }
}

void Soak::Report(const std::vector<std::string>& broken,
                  const std::string& gateway,
                  double at,
                  const std::string& text) {
  const std::lock_guard lock(m_mutex);
  std::set<std::string> near;
  for (const Disturbed& disturbed : m_disturbed) {
    if (disturbed.gateway == gateway && disturbed.from <= at &&
        at <= disturbed.to + kAftermathS) {
      near.insert(disturbed.kind);
    }
  }
  std::string kinds;
  for (const std::string& kind : near) {
    kinds += (kinds.empty() ? "" : "+") + kind;
  }
  std::string names;
  for (const std::string& name : broken) {
    ++m_broken[name + " [gateway: " + (kinds.empty() ? "calm" : kinds) + "]"];
    names += " " + name;
  }
  m_report << "ORDER:" << names << "; " << gateway
           << " disturbed by: " << (kinds.empty() ? "nothing" : kinds) << "\n"
           << text << "\n"
           << std::flush;
}

review::Answer Soak::Call(const GatewayProcess& gateway,
                          const std::string& method,
                          const std::string& path,
                          const review::Headers& headers,
                          const std::string& body) {
  review::Answer answer;
  const auto connection = review::Connect(gateway.ip(), gateway.front());
  std::string request =
      method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nKey: key1\r\n";
  for (const auto& [name, value] : headers) {
    request += name + ": " + value + "\r\n";
  }
  request += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  const bool complete = connection != nullptr &&
                        connection->Write(request + body) &&
                        connection->ReadMessage(answer.message, true, 3);
  answer.status = complete ? answer.message.status() : 0;
  return answer;
}

void Soak::RunJob(uint64_t seed) {
  Random random(seed);
  char id[17];
  std::snprintf(id, sizeof(id), "%016llx",
                static_cast<unsigned long long>(random.Next()));
  std::vector<Json> items;
  std::map<std::string, std::string> paths;
  const int count = 4 + static_cast<int>(random.Below(8));
  for (int i = 0; i < count; ++i) {
    const std::string item = std::string(id, 13) + std::to_string(100 + i);
    paths[item] = "/job/3/" + item;
    items.push_back(review::Item(item, paths[item]));
  }
  const std::string body = review::JobBody(items);
  int status = 0;
  for (int i = 0; i < 6 && status != 202 && !m_stop; ++i) {
    status =
        Call(*m_gateways[random.Below(kGateways)], "POST",
             std::string("/job/") + id,
             {{"Attempt-Id", id}, {"Content-Type", "application/json"}}, body)
            .status;
    SleepFor(0.2);
  }
  std::vector<Json> results;
  while (status == 202 && !m_stop && results.size() < items.size()) {
    SleepFor(0.5);
    const size_t after =
        random.Chance(0.3) ? random.Below(results.size() + 1) : results.size();
    const review::Answer answer = Call(
        *m_gateways[random.Below(kGateways)], "GET",
        std::string("/lots/") + id + "?after=" + std::to_string(after), {}, "");
    const Json page = Json::parse(answer.message.body, nullptr, false);
    if (answer.status != 200 || !page.is_object()) {
      continue;
    }
    size_t position = after;
    for (const Json& result : page.value("results", Json::array())) {
      std::vector<std::string> broken;
      const std::string item = result.value("id", "");
      const std::string output = result.value("output", "");
      if (position < results.size()) {
        if (results[position] != result) {
          broken.push_back("item-position-changed");
        }
      } else {
        results.push_back(result);
        if (result.value("state", "") == "completed") {
          for (const std::string& name : BrokenOutput(paths[item], output)) {
            broken.push_back("item-" + name);
          }
          const std::lock_guard lock(m_mutex);
          ++m_counts["items"];
        }
      }
      ++position;
      if (!broken.empty()) {
        std::string text = "item " + item + " of " +
                           std::to_string(EventCount(paths[item])) +
                           " events\n";
        for (const RunRecord& run : m_runs.Of(item)) {
          text += "    run at " + run.Text() + "\n";
        }
        Report(broken, "", Now(), text + output + "\n");
      }
    }
  }
}

int Soak::Run() {
  const std::string net = "127.0.30.";
  const int base = m_settings.block * 80;
  const std::string store_ip = net + std::to_string(base + 20);
  m_store = std::make_unique<review::Store>(store_ip);
  m_store->SetLatency(0.008);
  Json configuration = review::Configuration(1);
  for (Json& route : configuration["routes"]) {
    route.erase("max_count");
    if (route["name"] == "once") {
      route["max_attempts"] = 1;
    }
  }
  m_store->Put("config", "main", configuration.dump());
  m_faults.ends_with_connection = IsOn("no_length");
  m_faults.with_length = IsOn("with_length");
  for (int i = 0; i < kBackends; ++i) {
    List(AddBackend("v1"), "ready");
  }
  for (int i = 1; i <= kGateways; ++i) {
    m_proxies.push_back(
        std::make_unique<review::Proxy>(store_ip, store_ip, m_store->port()));
    m_gateways.push_back(
        std::make_unique<GatewayProcess>(GatewayProcess::Options{
            .program = m_settings.program,
            .name = "edge-z-" + std::to_string(i),
            .ip = net + std::to_string(base + i),
            .store = store_ip + ":" + std::to_string(m_proxies.back()->port()),
            .folder = m_settings.folder}));
    m_gateways.back()->Start();
  }
  const double give_up = Now() + 10;
  for (const auto& gateway : m_gateways) {
    while (!gateway->IsReady()) {
      if (Now() > give_up || !gateway->Runs()) {
        std::cout << gateway->name() << " is not ready" << std::endl;
        return review::kCouldNotRun;
      }
      SleepFor(0.05);
    }
  }
  PlanDisruptions();
  // Only what belongs to the disruptions needs load.
  Play(std::max(0.0, m_settings.lead_s - 5));
  std::thread load([this] { Load(); });
  Play(m_settings.lead_s + m_settings.disruption_s + m_settings.calm_s);
  m_stop = true;
  load.join();
  const double end = Now() + 9;
  while (m_clients > 0 && Now() < end) {
    SleepFor(0.02);
  }
  for (const auto& gateway : m_gateways) {
    gateway->Kill();
  }
  std::ostringstream summary;
  summary << "seed " << m_settings.seed << ":";
  for (const auto& [name, count] : m_counts) {
    summary << " " << name << "=" << count;
  }
  int total = 0;
  for (const auto& [name, count] : m_broken) {
    summary << "\n  " << count << " x " << name;
    total += count;
  }
  summary << "\n  " << (total == 0 ? "HELD" : "BROKEN");
  std::cout << summary.str() << std::endl;
  m_report << summary.str() << std::endl;
  return total == 0 ? review::kHeld : review::kBroken;
}

std::set<std::string> Split(const std::string& list) {
  std::set<std::string> names;
  std::istringstream stream(list);
  std::string name;
  while (std::getline(stream, name, ',')) {
    names.insert(name);
  }
  return names;
}

Settings Parse(int argc, char** argv) {
  Settings settings;
  for (int i = 1; i + 1 < argc; i += 2) {
    const std::string name = argv[i];
    const std::string value = argv[i + 1];
    if (name == "--seed") {
      settings.seed = std::stoull(value);
    } else if (name == "--lead") {
      settings.lead_s = std::stod(value);
    } else if (name == "--seconds") {
      settings.disruption_s = std::stod(value);
    } else if (name == "--count") {
      settings.count = std::stoi(value);
    } else if (name == "--break") {
      settings.client_break = std::stod(value);
    } else if (name == "--releases") {
      settings.releases = std::stoi(value);
    } else if (name == "--rate") {
      settings.streams_per_s = std::stod(value);
    } else if (name == "--block") {
      settings.block = std::stoi(value);
    } else if (name == "--gateway") {
      settings.program = value;
    } else if (name == "--folder") {
      settings.folder = value;
    } else if (name == "--off") {
      settings.off = Split(value);
    } else if (name == "--only") {
      settings.only = Split(value);
    } else {
      std::cerr << "unknown option " << name << std::endl;
      _exit(review::kCouldNotRun);
    }
  }
  return settings;
}

}  // namespace
}  // namespace soak

int main(int argc, char** argv) {
  const soak::Settings settings = soak::Parse(argc, argv);
  std::filesystem::create_directories(settings.folder);
  review::Begin(settings.folder + "/record.txt");
  int code = 0;
  {
    auto* soak = new soak::Soak(settings);
    code = soak->Run();
  }
  std::error_code ignored;
  std::filesystem::remove_all(review::TempFolder(), ignored);
  // Connections that wait are not ended one by one.
  _exit(code);
}
