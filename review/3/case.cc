// A job that does not fit is withdrawn, and the store loses the answer to the
// removal of its record and carries it out some seconds later. Meanwhile the
// job fits.
#include "../harness/harness.h"

using namespace review;

namespace {

// The limit on the tokens that may wait. An item has 550.
constexpr int kMaxTokens = 5500;
constexpr double kLateS = 1.5;

struct Job {
  std::string id;
  int items;
  int status = 0;
};

std::string Body(const Job& job) {
  std::vector<Json> items;
  for (int i = 0; i < job.items; ++i) {
    items.push_back(
        Item(job.id + std::to_string(100 + i), "/job/3/" + std::to_string(i)));
  }
  return JobBody(items);
}

}  // namespace

int main(int, char** argv) {
  const bool trouble = Begin(argv[1]);
  Store store("127.0.10.20");
  store.SetLatency(0.004);
  Json configuration = Configuration(1);
  for (Json& route : configuration["routes"]) {
    if (route["kind"] == "batch") {
      route["max_count"] = kMaxTokens;
    }
  }
  store.Put("config", "main", configuration.dump());
  std::vector<std::unique_ptr<Runner>> runners;
  for (int i = 1; i <= 3; ++i) {
    const std::string id = "i-" + std::to_string(i);
    runners.push_back(std::make_unique<Runner>(
        "127.0.10.3" + std::to_string(i),
        Runner::Options{.id = id, .events = 120, .pause_s = 0.025}));
    store.Put("servers", id, runners.back()->Entry());
  }
  const std::string address = "127.0.10.20:" + std::to_string(store.port());
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 1; i <= 4; ++i) {
    gateways.push_back(std::make_unique<Gateway>(i, address, TempFolder()));
    gateways.back()->Start();
  }
  for (const auto& gateway : gateways) {
    if (!gateway->WaitReady(10)) {
      End(kCouldNotRun, "a gateway is not ready");
    }
  }
  SleepFor(2);
  std::mutex mutex;
  std::set<std::string> removals_lost;
  std::string candidate;
  if (trouble) {
    store.SetJudge(
        [&](const std::string& method, const std::string& path) {
          const std::lock_guard lock(mutex);
          const bool is_first = method == "DELETE" && !candidate.empty() &&
                                path.find(candidate) != std::string::npos &&
                                removals_lost.insert(path).second;
          return is_first ? Store::Fate::kLoseAndDoLate : Store::Fate::kDo;
        },
        kLateS);
  }
  std::vector<Job> accepted;
  int lost_count = 0;
  const size_t writes_before = store.writes();
  // Three jobs of one tenant come at the same moment at three nodes. The first
  // fits, the second doesn't, the third fits beside the first alone.
  for (int round = 0; round < 8; ++round) {
    const std::string prefix = "7c41e09b52d" + std::to_string(100 + round);
    std::vector<Job> jobs = {
        {prefix + "a", 6}, {prefix + "b", 6}, {prefix + "c", 3}};
    {
      const std::lock_guard lock(mutex);
      candidate = jobs[2].id;
    }
    std::vector<std::thread> clients;
    for (size_t i = 0; i < jobs.size(); ++i) {
      clients.emplace_back([&, i] {
        Job& job = jobs[i];
        job.status = Call(*gateways[i], "POST", "/job/" + job.id,
                          {{"Host", "h.example"},
                           {"Key", "key1"},
                           {"Attempt-Id", job.id},
                           {"Content-Type", "application/json"}},
                          Body(job))
                         .status;
      });
      SleepFor(0.0015);
    }
    for (std::thread& client : clients) {
      client.join();
    }
    for (const Job& job : jobs) {
      TheRecord().Line("job " + job.id + " of " + std::to_string(job.items) +
                       " items was answered " + std::to_string(job.status));
      if (job.status == 202) {
        accepted.push_back(job);
      }
    }
    // All items are done in this time.
    SleepFor(7);
  }
  {
    const std::lock_guard lock(mutex);
    lost_count = static_cast<int>(removals_lost.size());
  }
  TheRecord().Line("the store lost " + std::to_string(lost_count) + " of " +
                   std::to_string(store.writes() - writes_before) + " writes");
  SleepFor(5);
  int unreadable = 0;
  int undone = 0;
  for (const Job& job : accepted) {
    const JobView view = ReadJob(*gateways[3], job.id);
    unreadable += view.status == 404 ? 1 : 0;
    undone += view.status == 200 &&
                      view.results.size() < static_cast<size_t>(job.items)
                  ? 1
                  : 0;
    TheRecord().Line("accepted job " + job.id + ": status " +
                     std::to_string(view.status) + ", " +
                     std::to_string(view.results.size()) + " results");
  }
  const std::string seen = "of " + std::to_string(accepted.size()) +
                           " accepted jobs " + std::to_string(unreadable) +
                           " are answered 404 and " + std::to_string(undone) +
                           " are not done";
  if (unreadable > 0) {
    End(kBroken, "LOST: " + seen);
  }
  if (trouble && lost_count == 0) {
    End(kCouldNotRun, "no removal was asked for: " + seen);
  }
  End(kHeld, seen);
}
