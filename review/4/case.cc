// A batch route is split between two services, and the only runner of the one
// that stands first is lost for good.
#include "../harness/harness.h"

using namespace review;

int main(int, char** argv) {
  const bool trouble = Begin(argv[1]);
  Store store("127.0.10.20");
  Json configuration = Configuration(1);
  configuration["services"].push_back(configuration["services"][0]);
  configuration["services"][1]["name"] = "canary";
  store.Put("config", "main", configuration.dump());
  // One runner of six is lost.
  auto canary = std::make_unique<Runner>(
      "127.0.10.30", Runner::Options{.id = "i-canary", .service = "canary"});
  std::vector<std::unique_ptr<Runner>> runners;
  for (int i = 1; i <= 5; ++i) {
    const std::string id = "i-" + std::to_string(i);
    runners.push_back(std::make_unique<Runner>("127.0.10.3" + std::to_string(i),
                                               Runner::Options{.id = id}));
    store.Put("servers", id, runners.back()->Entry());
  }
  store.Put("servers", "i-canary", canary->Entry());
  const std::string address = "127.0.10.20:" + std::to_string(store.port());
  Gateway one(1, address, TempFolder());
  Gateway two(2, address, TempFolder());
  one.Start();
  two.Start();
  if (!one.WaitReady(10) || !two.WaitReady(10)) {
    End(kCouldNotRun, "the gateways are not ready");
  }
  SleepFor(1);
  TheRecord().Line("version 2 splits the batch route: canary 10, s 90");
  configuration["version"] = 2;
  for (Json& route : configuration["routes"]) {
    if (route["kind"] == "batch") {
      route.erase("service");
      route["traffic_split"] = {{{"service", "canary"}, {"weight", 10}},
                                {{"service", "s"}, {"weight", 90}}};
    }
  }
  store.Put("config", "main", configuration.dump());
  SleepFor(4);
  if (trouble) {
    // It sends nothing, and its entry is removed after three intervals.
    TheRecord().Line("runner i-canary is lost for good");
    canary.reset();
    SleepFor(3.6);
    store.Remove("servers", "i-canary");
    TheRecord().Line("the entry of i-canary is removed");
  }
  SleepFor(4);
  const std::string job = "7c41e09b52d6a3f8";
  std::vector<Json> items;
  for (int i = 0; i < 10; ++i) {
    items.push_back(Item("e5b2907c14da6f3" + std::to_string(i),
                         "/job/3/91c" + std::to_string(i)));
  }
  const int status = SubmitJob({&one, &two}, job, JobBody(items));
  if (status != 202) {
    End(kCouldNotRun, "the job was not accepted");
  }
  // finish_s is 18; nothing happens in that time.
  SleepFor(25);
  int running = 0;
  size_t arrived = 0;
  for (const auto& runner : runners) {
    running += runner->running();
    arrived += runner->arrivals().size();
  }
  const JobView view = ReadJob(two, job);
  const std::string seen = std::to_string(view.results.size()) +
                           " of 10 accepted items are listed "
                           "after 25 s; the five runners of service s got " +
                           std::to_string(arrived) + " requests and run " +
                           std::to_string(running);
  TheRecord().Line(seen);
  if (view.status != 200 || (view.results.size() < 10 && running == 0)) {
    End(kBroken, "LOST: " + seen);
  }
  End(kHeld, seen);
}
