#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "Access/key_text.h"
#include "Net/http_exchange.h"
#include "Net/http_server.h"
#include "Operator/commands.h"
#include "Utilities/StandIns/Platform/fake_object_store.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;
using Arguments = std::vector<const char*>;

const std::string kNamu = std::string(COWSLIP_EXAMPLES) + "/namu-grain-labs";
const std::string kApav = std::string(COWSLIP_EXAMPLES) + "/apav";

ParsedCommandLine Parse(Arguments arguments) {
  arguments.insert(arguments.begin(), "cowslip");
  arguments.push_back(nullptr);
  return ParseOperatorOptions(static_cast<int>(arguments.size()) - 1,
                              arguments.data());
}

// One platform and command lines against it.
struct Fixture {
  boost::asio::io_context context;
  FakeObjectStore store;

  CommandResult Run(Arguments arguments) {
    arguments.insert(arguments.end(), {"--who", "ana"});
    ParsedCommandLine parsed = Parse(std::move(arguments));
    REQUIRE(parsed.options);
    CommandResult result;
    bool done = false;
    boost::asio::co_spawn(
        context,
        RunCommand({.store = &store, .options = std::move(*parsed.options)}),
        [&](std::exception_ptr error, CommandResult finished) {
          CHECK_FALSE(error);
          result = std::move(finished);
          done = true;
          context.stop();
        });
    context.restart();
    context.run_for(30s);
    REQUIRE(done);
    return result;
  }
};

TEST_CASE("Wrong usage is exit code 2, help and version are 0") {
  CHECK(Parse({}).exit_code == kOperatorUsage);
  CHECK(Parse({"frob"}).exit_code == kOperatorUsage);
  CHECK(Parse({"audit", "--frob"}).exit_code == kOperatorUsage);
  CHECK(Parse({"audit", "--platform", "here"}).exit_code == kOperatorUsage);
  CHECK(Parse({"status", "--entry", "a:99999"}).exit_code == kOperatorUsage);
  CHECK(Parse({"audit", "--limit", "0"}).exit_code == kOperatorUsage);
  for (const char* command : {"validate", "publish", "status", "organisations",
                              "keys", "jobs", "audit"}) {
    const ParsedCommandLine help = Parse({command, "--help"});
    CHECK(help.exit_code == kOperatorOk);
    CHECK_THAT(help.message,
               Catch::Contains(std::string("Usage: cowslip ") + command));
  }
  CHECK_THAT(Parse({"--help"}).message, Catch::Contains("Commands:"));
  CHECK_FALSE(Parse({"--version"}).options);
}

TEST_CASE_METHOD(Fixture,
                 "Declarations are published once and then unchanged") {
  const CommandResult first = Run({"publish", kNamu.c_str()});
  INFO(first.text);
  CHECK(first.exit_code == kOperatorOk);
  CHECK(first.data["version"] == 1);
  CHECK(first.data["changed"] == true);
  CHECK(Run({"publish", kNamu.c_str()}).data["changed"] == false);
  CHECK(Run({"organisations"}).data["organisations"].size() == 8);
  CHECK(Run({"status"}).data["version"] == 1);
}

TEST_CASE_METHOD(Fixture, "What clashes with what is in force names its file") {
  REQUIRE(Run({"publish", kNamu.c_str()}).exit_code == kOperatorOk);
  for (const char* command : {"publish", "validate"}) {
    const CommandResult refused = Run({command, kApav.c_str()});
    CHECK(refused.exit_code == kOperatorInvalid);
    REQUIRE(refused.errors.size() == 1);
    CHECK_THAT(refused.errors.at(0),
               Catch::Contains("count-assistant/service.json: /routes/0/path"));
  }
  CHECK(
      Run({"publish", kApav.c_str(), "--remove-service", "catalogue-assistant"})
          .exit_code == kOperatorOk);
}

TEST_CASE_METHOD(Fixture, "Files made from an older version are refused") {
  REQUIRE(Run({"publish", kNamu.c_str()}).exit_code == kOperatorOk);
  REQUIRE(Run({"publish", "--remove-service", "flitch-register"}).exit_code ==
          kOperatorOk);
  const CommandResult stale = Run({"publish", kNamu.c_str(), "--since", "1"});
  CHECK(stale.exit_code == kOperatorConflict);
  REQUIRE(stale.errors.size() == 1);
  CHECK_THAT(stale.errors.at(0),
             Catch::Contains("service flitch-register: changed by ana in "
                             "version 2 at "));
  CHECK(Run({"publish", kNamu.c_str(), "--since", "9"}).exit_code ==
        kOperatorFailure);
  CHECK(Run({"publish", kNamu.c_str(), "--since", "2"}).exit_code ==
        kOperatorOk);
}

TEST_CASE_METHOD(Fixture, "A key is shown once, kept as a digest, withdrawn") {
  REQUIRE(Run({"publish", kNamu.c_str()}).exit_code == kOperatorOk);
  CHECK(Run({"keys", "add", "nobody"}).exit_code == kOperatorFailure);
  const CommandResult added =
      Run({"keys", "add", "mapo-studio", "--label", "desk"});
  REQUIRE(added.exit_code == kOperatorOk);
  const std::string key = added.data["key"];
  const std::string digest = added.data["digest"];
  CHECK(DigestOfKey(key).value() == digest);
  const CommandResult listed = Run({"keys", "list"});
  CHECK(listed.data["keys"].size() == 1);
  CHECK_FALSE(ContainsKey(listed.text + listed.data.dump()));
  CHECK(Run({"keys", "withdraw", digest.substr(0, 8).c_str()}).exit_code ==
        kOperatorOk);
  CHECK(Run({"keys", "list"}).data["keys"][0].contains("withdrawn_ms"));
  CHECK(Run({"keys", "list", "--organisation", "x"}).data["keys"].empty());
  CHECK(Run({"keys", "withdraw", "0123456789"}).exit_code == kOperatorFailure);
  CHECK(Run({"keys"}).exit_code == kOperatorUsage);
}

TEST_CASE_METHOD(Fixture, "The trail tells who changed what, newest first") {
  REQUIRE(Run({"publish", kNamu.c_str()}).exit_code == kOperatorOk);
  REQUIRE(Run({"keys", "add", "mapo-studio"}).exit_code == kOperatorOk);
  const CommandResult audit = Run({"audit"});
  REQUIRE(audit.data["records"].size() == 2);
  CHECK(audit.data["records"][0]["version"] == 2);
  CHECK(audit.data["records"][0]["who"] == "ana");
  CHECK_FALSE(ContainsKey(audit.text));
  CHECK_THAT(audit.text, Catch::Contains("service catalogue-assistant"));
  CHECK(Run({"audit", "--limit", "1"}).data["records"].size() == 1);
}

TEST_CASE_METHOD(Fixture,
                 "A lost answer is resolved, an outage is exit code 5") {
  store.faults().lose_next_answer = true;
  CHECK(Run({"publish", kNamu.c_str()}).data["version"] == 1);
  CHECK(Run({"audit"}).data["records"].size() == 1);
  store.faults().down = true;
  CHECK(Run({"organisations"}).exit_code == kOperatorUnavailable);
  CHECK(Run({"status"}).exit_code == kOperatorUnavailable);
}

TEST_CASE_METHOD(Fixture, "Jobs and status come from the entries") {
  std::vector<std::string> seen;
  HttpServer entry(
      context, {}, [&](HttpExchange& exchange) -> boost::asio::awaitable<void> {
        const HttpRequest& request = exchange.request();
        seen.push_back(request.method + " " + request.target);
        HttpResponse response;
        response.status = request.target == "/jobs/gone" ? 404 : 200;
        response.body = R"({"detail":"Ask for another job."})";
        (void)co_await exchange.Respond(std::move(response));
      });
  REQUIRE(entry.Start().has_value());
  const std::string live = "127.0.0.1:" + std::to_string(entry.port());
  const auto jobs = [&](Arguments arguments) {
    arguments.insert(arguments.begin(), "jobs");
    arguments.insert(arguments.end(),
                     {"--entry", "127.0.0.1:1", "--entry", live.c_str()});
    return Run(arguments);
  };
  CHECK(jobs({"list", "--organisation", "a"}).exit_code == kOperatorOk);
  CHECK(jobs({"show", "j/1"}).exit_code == kOperatorOk);
  CHECK(jobs({"cancel", "j1"}).exit_code == kOperatorOk);
  const CommandResult gone = jobs({"show", "gone"});
  CHECK(gone.exit_code == kOperatorFailure);
  CHECK_THAT(gone.errors.at(0), Catch::Contains("Ask for another job."));
  CHECK(jobs({"frob"}).exit_code == kOperatorUsage);
  CHECK(seen ==
        std::vector<std::string>{"GET /jobs?organisation=a", "GET /jobs/j/1",
                                 "POST /jobs/j1/cancel", "GET /jobs/gone"});
  const CommandResult status =
      Run({"status", "--entry", live.c_str(), "--entry", "127.0.0.1:1"});
  CHECK(status.exit_code == kOperatorFailure);
  CHECK(status.data["entries"].size() == 1);
}

}  // namespace
}  // namespace cowslip
