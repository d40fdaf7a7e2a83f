// An entry of another writer stands among the runners while the gateways are
// stopped and started in turn. Plays three such entries at the same time, each
// in a deployment of its own.
#include "../harness/harness.h"

using namespace review;

namespace {

struct Variant {
  const char* name;
  // What the other writer has put into `servers`.
  std::string entry;
  int first_gateway;
  std::string broken;
};

constexpr int kItems = 40;

void Restart(Gateway& gateway) {
  gateway.Terminate();
  gateway.Start();
  SleepFor(2);
}

void Play(Variant& variant, bool trouble) {
  const std::string name = variant.name;
  const std::string digit = std::to_string(variant.first_gateway);
  const std::string store_ip = "127.0.10.2" + digit;
  Store store(store_ip);
  store.Put("config", "main", Configuration(1).dump());
  // Items take 3 s, 16 at a time.
  Runner first("127.0.10.3" + digit,
               {.id = "i-1-" + name, .events = 60, .pause_s = 0.05});
  Runner second("127.0.10.4" + digit,
                {.id = "i-2-" + name, .events = 60, .pause_s = 0.05});
  store.Put("servers", "i-1-" + name, first.Entry());
  store.Put("servers", "i-2-" + name, second.Entry());
  const std::string address = store_ip + ":" + std::to_string(store.port());
  Gateway one(variant.first_gateway, address, TempFolder());
  Gateway two(variant.first_gateway + 1, address, TempFolder());
  one.Start();
  two.Start();
  if (!one.WaitReady(10) || !two.WaitReady(10)) {
    End(kCouldNotRun, "the gateways are not ready");
  }
  SleepFor(2);
  if (trouble) {
    TheRecord().Line(name + ": the odd entry is written to servers");
    store.Put("servers", "odd", variant.entry);
  }
  SleepFor(1);
  const std::string job = "7c41e09b52d6a3f" + digit;
  std::vector<Json> items;
  for (int i = 0; i < kItems; ++i) {
    items.push_back(Item("e5b2907c14da6" + digit + std::to_string(100 + i),
                         "/job/3/" + std::to_string(i)));
  }
  const int status = SubmitJob({&one, &two}, job, JobBody(items));
  SleepFor(1);
  Restart(one);
  Restart(two);
  one.WaitReady(5);
  two.WaitReady(5);
  // finish_s is 18; nothing happens in that time.
  SleepFor(24);
  const int running = first.running() + second.running();
  const JobView view = ReadJob(two, job);
  const std::string seen =
      "the job was answered " + std::to_string(status) + ", " +
      std::to_string(view.results.size()) + " of " + std::to_string(kItems) +
      " items are listed 24 s after the restarts, " + std::to_string(running) +
      " are at the two runners; ready: " + std::to_string(one.Ready()) + ", " +
      std::to_string(two.Ready());
  TheRecord().Line(name + ": " + seen);
  if (status != 202) {
    End(kCouldNotRun, name + ": the job was not accepted");
  }
  if (view.status != 200 || (view.results.size() < kItems && running == 0)) {
    variant.broken = name + ": LOST: " + seen;
  }
}

}  // namespace

int main(int, char** argv) {
  const bool trouble = Begin(argv[1]);
  std::vector<Variant> variants = {
      // Bytes that can't be read.
      {"bytes",
       "{\"service\":\"s\",\"address\":\"\xff\xfe\x80\",\"zone\":\"z\"}", 1,
       ""},
      // A number that no `slots` can be. This and the next one are valid JSON.
      {"number", "{\"service\":\"s\",\"zone\":\"z\",\"slots\":1e400}", 3, ""},
      // A field of another type: a list in a list, 80 times.
      {"nested",
       "{\"service\":\"s\",\"zone\":\"z\",\"slots\":" + std::string(80, '[') +
           std::string(80, ']') + "}",
       5, ""}};
  std::vector<std::thread> threads;
  for (Variant& variant : variants) {
    threads.emplace_back([&variant, trouble] { Play(variant, trouble); });
  }
  std::string broken;
  for (size_t i = 0; i < variants.size(); ++i) {
    threads[i].join();
    broken += variants[i].broken.empty() ? "" : variants[i].broken + ". ";
  }
  if (!broken.empty()) {
    End(kBroken, broken);
  }
  End(kHeld, "all items are listed");
}
