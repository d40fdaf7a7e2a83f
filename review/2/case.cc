// An entry of another writer stands among the runners while the runner of the
// service is replaced, as in a release. Plays three such entries at the same
// time, each in a deployment of its own.
#include "harness.h"

using namespace review;

namespace {

struct Variant {
  const char* name;
  // What the other writer has put into `servers`.
  std::string entry;
  int first_gateway;
  std::string broken;
};

void Play(Variant& variant, bool trouble) {
  const std::string name = variant.name;
  const std::string last_byte = std::to_string(variant.first_gateway);
  const std::string store_ip = "127.0.10.2" + last_byte;
  Store store(store_ip);
  store.Put("config", "main", Configuration(1).dump());
  const std::string old_id = "i-old-" + name;
  const std::string new_id = "i-new-" + name;
  auto old_runner = std::make_unique<Runner>("127.0.10.3" + last_byte,
                                             Runner::Options{.id = old_id});
  Runner new_runner("127.0.10.4" + last_byte, Runner::Options{.id = new_id});
  store.Put("servers", old_id, old_runner->Entry());
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
  SleepFor(5);
  // A release: the new runner comes first, then the old one drains and leaves.
  TheRecord().Line(name + ": the new runner registers, the old one drains");
  store.Put("servers", new_id, new_runner.Entry());
  SleepFor(1);
  store.Put("servers", old_id, old_runner->Entry("draining"));
  SleepFor(6);
  store.Remove("servers", old_id);
  old_runner.reset();
  TheRecord().Line(name + ": the old runner has left");
  SleepFor(1);

  const std::string job = "7c41e09b52d6a3f" + last_byte;
  std::vector<Json> items;
  for (int i = 0; i < 4; ++i) {
    items.push_back(Item("e5b2907c14da6f" + last_byte + std::to_string(i),
                         "/job/3/91c" + std::to_string(i)));
  }
  const int status = SubmitJob({&one, &two}, job, JobBody(items));
  int served = 0;
  for (int i = 0; i < 10; ++i) {
    const Answer answer =
        Call(i % 2 == 0 ? one : two, "POST", "/stream/" + std::to_string(i),
             {{"Host", "h.example"},
              {"Key", "key1"},
              {"Attempt-Id", "9c41d07be2a35f" + last_byte + std::to_string(i)},
              {"Deadline-Ms", "5000"},
              {"Model", "m"},
              {"Token-Usage", "350,200"}},
             "question");
    served += answer.status == 200 ? 1 : 0;
  }
  // finish_s is 18; nothing else happens meanwhile.
  SleepFor(20);
  const JobView view = ReadJob(two, job);
  const std::string seen =
      "the job was answered " + std::to_string(status) + ", " +
      std::to_string(view.results.size()) + " of 4 items are listed after 20 "
      "s, " + std::to_string(served) + " of 10 requests were served, with a "
      "sound idle runner";
  TheRecord().Line(name + ": " + seen);
  if (status == 202 && view.results.size() < 4) {
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
