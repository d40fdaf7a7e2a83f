// A batch job whose items carry line breaks in a header and in a path.
#include "../harness/harness.h"

using namespace review;

namespace {

// What an item's sender hides behind a line break: a whole request of its own,
// in the name of another tenant. `own_id` is the item's id.
std::string Hidden(const std::string& id, const std::string& path) {
  return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id +
         "\r\nTenant: studio\r\nModel: m\r\nToken-Usage: 350,200"
         "\r\nContent-Length: 0\r\n\r\n";
}

}  // namespace

int main(int, char** argv) {
  const bool trouble = Begin(argv[1]);
  Store store("127.0.10.20");
  store.Put("config", "main", Configuration(1).dump());
  Runner runner("127.0.10.30", {.id = "i-1", .events = 5});
  store.Put("servers", "i-1", runner.Entry());
  Gateway gateway(1, "127.0.10.20:" + std::to_string(store.port()),
                  TempFolder());
  gateway.Start();
  if (!gateway.WaitReady(10)) {
    End(kCouldNotRun, "the gateway is not ready");
  }
  const std::string job = "7c41e09b52d6a3f8";
  std::vector<Json> items;
  for (int i = 0; i < 4; ++i) {
    items.push_back(Item("e5b2907c14da6f3" + std::to_string(i),
                         "/job/3/91c" + std::to_string(i)));
  }
  if (trouble) {
    items[1]["headers"]["Length-Hint"] =
        "200\r\nContent-Length: 0\r\n\r\n" +
        Hidden("0000000000000bad", "/job/hidden/1") +
        "GET /health HTTP/1.1\r\nX: 1";
    items[2]["path"] =
        "/job/3/91c2 HTTP/1.1\r\nHost: h.example\r\n"
        "Attempt-Id: e5b2907c14da6f32\r\nTenant: mill\r\n"
        "Content-Length: 0\r\n\r\n" +
        Hidden("0000000000001bad", "/job/hidden/2") + "GET /health";
  }
  const int status = SubmitJob({&gateway}, job, JobBody(items));
  TheRecord().Line("client: the job of tenant mill is answered " +
                   std::to_string(status));
  SleepFor(8);
  const JobView view = ReadJob(gateway, job);
  TheRecord().Line("client: " + std::to_string(view.results.size()) +
                   " results of " + std::to_string(view.total));
  std::string broken;
  for (const Arrival& arrival : runner.arrivals()) {
    if (!arrival.ran) {
      continue;
    }
    if (!arrival.id.starts_with("e5b2907c14da6f3")) {
      broken += " id " + arrival.id + " that no client sent,";
    }
    if (arrival.tenant != "mill") {
      broken += " tenant " + arrival.tenant + " without its key,";
    }
  }
  if (!broken.empty()) {
    End(kBroken, "UNASKED: the runner ran" + broken.substr(0, 200));
  }
  if (!trouble && view.results.size() != 4) {
    End(kCouldNotRun, "the plain job is not done");
  }
  End(kHeld, "the runner ran only what was sent");
}
