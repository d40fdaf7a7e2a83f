#include <exception>
#include <iostream>
#include <memory>
#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include "Base/json.h"
#include "Operator/commands.h"
#include "Platform/http_object_store.h"

namespace cowslip {

namespace {

void Print(const CommandResult& result, bool as_json) {
  if (as_json) {
    std::cout << DumpJson(result.data, 2) << "\n";
  } else {
    std::cout << result.text;
  }
  for (const std::string& error : result.errors) {
    std::cerr << error << "\n";
  }
}

int Run(const OperatorOptions& options) {
  boost::asio::io_context context;
  std::unique_ptr<HttpObjectStore> store;
  if (options.platform) {
    store = std::make_unique<HttpObjectStore>(context.get_executor(),
                                              *options.platform);
  }
  CommandResult result;
  result.exit_code = kOperatorFailure;
  const auto finish = [&](std::exception_ptr error, CommandResult done) {
    result = std::move(done);
    if (error) {
      result = FailureOf(Error(ErrorKind::kInternal,
                               "The command broke off. Report it with the "
                               "command line."));
    }
    context.stop();
  };
  boost::asio::co_spawn(
      context, RunCommand({.store = store.get(), .options = options}), finish);
  context.run();
  Print(result, options.json);
  return result.exit_code;
}

}  // namespace

}  // namespace cowslip

int main(int argc, const char** argv) {
  const cowslip::ParsedCommandLine parsed =
      cowslip::ParseOperatorOptions(argc, argv);
  if (!parsed.options) {
    (parsed.exit_code == cowslip::kOperatorOk ? std::cout : std::cerr)
        << parsed.message;
    return parsed.exit_code;
  }
  return cowslip::Run(*parsed.options);
}
