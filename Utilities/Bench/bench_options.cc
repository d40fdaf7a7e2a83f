#include "Utilities/Bench/bench_options.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <sstream>
#include <utility>

#include <popt.h>

#include "Base/json.h"

namespace cowslip {

namespace {

/// Options that may be given several times have these numbers.
enum RepeatedOption { kTarget = 1, kKey, kWeight };

// The command line as popt fills it in.
struct CommandLine {
  double seconds = 10;
  double warm_up = 0;
  double rate = 10;
  double timeout = 30;
  long seed = 1;
  char* keys_file = nullptr;
  char* route = nullptr;
  char* bursts = nullptr;
  char* batch_route = nullptr;
  char* arrivals = nullptr;
  int stream = 0;
  int max_tokens = 16;
  int prompt_bytes = 0;
  int idempotency_keys = 0;
  int resends = 0;
  int batch_items = 0;
  int batch_jobs = 1;
  int batch_max_tokens = 16;
  double batch_wait = 120;
  int batch_cancel = 0;
  std::vector<std::string> targets;
  std::map<std::string, std::string> keys;
  std::map<std::string, std::string> weights;
};

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

std::string TakeString(char* text) {
  std::string taken = text != nullptr ? text : "";
  std::free(text);
  return taken;
}

std::pair<std::string, std::string> SplitAt(const std::string& text,
                                            char separator) {
  const size_t at = text.rfind(separator);
  if (at == std::string::npos) {
    return {text, ""};
  }
  return {text.substr(0, at), text.substr(at + 1)};
}

void TakeRepeated(int option, const std::string& value, CommandLine& line) {
  const auto [name, rest] = SplitAt(value, '=');
  if (option == kTarget) {
    line.targets.push_back(value);
  } else if (option == kKey) {
    line.keys[name] = rest;
  } else if (option == kWeight) {
    line.weights[name] = rest;
  }
}

Result<void> ParseLine(int argc, const char** argv, CommandLine& line) {
  const auto text = [](char*& to) { return static_cast<void*>(&to); };
  const int shown = POPT_ARGFLAG_SHOW_DEFAULT;
  const poptOption table[] = {
      {"target", 't', POPT_ARG_STRING, nullptr, kTarget,
       "Send to this entry; give it several times to use them in turn",
       "IP:PORT"},
      {"key", 'k', POPT_ARG_STRING, nullptr, kKey,
       "Send as this organisation with this key; several times", "ORG=KEY"},
      {"keys", 0, POPT_ARG_STRING, text(line.keys_file), 0,
       "Read the keys from a JSON object {ORG: KEY}", "FILE"},
      {"weight", 'w', POPT_ARG_STRING, nullptr, kWeight,
       "Share of the requests of one organisation (default 1)", "ORG=W"},
      {"rate", 'r', POPT_ARG_DOUBLE | shown, &line.rate, 0,
       "Online requests per second; 0 for none", "N"},
      {"seconds", 's', POPT_ARG_DOUBLE | shown, &line.seconds, 0,
       "Length of the run", "S"},
      {"warm-up", 0, POPT_ARG_DOUBLE | shown, &line.warm_up, 0,
       "Do not count requests of the first part", "S"},
      {"timeout", 0, POPT_ARG_DOUBLE | shown, &line.timeout, 0,
       "Give a request up after this", "S"},
      {"seed", 0, POPT_ARG_LONG | shown, &line.seed, 0, "Random seed", "N"},
      {"bursts", 0, POPT_ARG_STRING, text(line.bursts), 0,
       "Every PERIOD seconds, multiply the rate for LENGTH seconds",
       "PERIOD:LENGTH:FACTOR"},
      {"route", 0, POPT_ARG_STRING, text(line.route), 0,
       "Path (default /v1/chat/completions)", "PATH"},
      {"stream", 0, POPT_ARG_NONE, &line.stream, 0, "Ask for streams", nullptr},
      {"max-tokens", 0, POPT_ARG_INT | shown, &line.max_tokens, 0,
       "Tokens of an answer", "N"},
      {"prompt-bytes", 0, POPT_ARG_INT | shown, &line.prompt_bytes, 0,
       "System message that an organisation's requests share", "N"},
      {"idempotency-keys", 0, POPT_ARG_NONE, &line.idempotency_keys, 0,
       "Send an Idempotency-Key with each request", nullptr},
      {"resends", 0, POPT_ARG_INT | shown, &line.resends, 0,
       "Send again what was cut or refused as not run", "N"},
      {"arrivals", 0, POPT_ARG_STRING, text(line.arrivals), 0,
       "Note each arrival there: seconds, organisation, target", "FILE"},
      {"batch-items", 0, POPT_ARG_INT | shown, &line.batch_items, 0,
       "Items of each batch job; 0 for no jobs", "N"},
      {"batch-jobs", 0, POPT_ARG_INT | shown, &line.batch_jobs, 0,
       "Batch jobs sent at the start", "N"},
      {"batch-max-tokens", 0, POPT_ARG_INT | shown, &line.batch_max_tokens, 0,
       "Tokens of an item's answer", "N"},
      {"batch-route", 0, POPT_ARG_STRING, text(line.batch_route), 0,
       "Route of the items, as SERVICE.NAME", "ROUTE"},
      {"batch-wait", 0, POPT_ARG_DOUBLE | shown, &line.batch_wait, 0,
       "Wait for the jobs after the last arrival", "S"},
      {"batch-cancel", 0, POPT_ARG_NONE, &line.batch_cancel, 0,
       "Cancel the jobs at the end in place of waiting", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext(argv[0], argc, argv, table, 0);
  int option = 0;
  while ((option = poptGetNextOpt(context)) > 0) {
    TakeRepeated(option, TakeString(poptGetOptArg(context)), line);
  }
  const bool good = option == -1 && poptPeekArg(context) == nullptr;
  poptFreeContext(context);
  if (!good) {
    return Error(ErrorKind::kInvalidArgument, "Bad option. See --help.");
  }
  return Ok();
}

Result<void> ReadKeysFile(const std::string& path,
                          std::map<std::string, std::string>& keys) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  const Result<nlohmann::json> parsed = ParseJson(text.str());
  if (!parsed.has_value() || !parsed.value().is_object()) {
    return Error(ErrorKind::kInvalidArgument,
                 "Write {ORG: KEY} into the keys file " + path + ".");
  }
  for (const auto& [organisation, key] : parsed.value().items()) {
    keys[organisation] = key.is_string() ? key.get<std::string>() : "";
  }
  return Ok();
}

Result<Endpoint> ParseTarget(const std::string& text) {
  const auto [address, port_text] = SplitAt(text, ':');
  const int port = std::atoi(port_text.c_str());
  if (address.empty() || port <= 0 || port > UINT16_MAX) {
    return Error(ErrorKind::kInvalidArgument,
                 "Give --target an IP:PORT in place of " + text + ".");
  }
  return Endpoint{address, static_cast<uint16_t>(port)};
}

Result<BurstOptions> ParseBursts(const std::string& text) {
  double period = 0;
  double length = 0;
  double factor = 1;
  const int fields =
      std::sscanf(text.c_str(), "%lf:%lf:%lf", &period, &length, &factor);
  if (fields != 3 || period <= 0 || length < 0 || factor <= 0) {
    return Error(ErrorKind::kInvalidArgument,
                 "Give --bursts PERIOD:LENGTH:FACTOR, for example 5:1:4.");
  }
  return BurstOptions{Seconds(period), Seconds(length), factor};
}

std::vector<BenchCaller> CallersOf(const CommandLine& line) {
  std::vector<BenchCaller> callers;
  for (const auto& [organisation, key] : line.keys) {
    const auto weight = line.weights.find(organisation);
    const bool weighted = weight != line.weights.end();
    callers.push_back({organisation, key,
                       weighted ? std::atof(weight->second.c_str()) : 1.0});
  }
  if (callers.empty()) {
    callers.push_back({"open", "", 1});
  }
  return callers;
}

}  // namespace

Result<BenchOptions> ParseBenchOptions(int argc, const char** argv) {
  CommandLine line;
  const Result<void> parsed = ParseLine(argc, argv, line);
  const std::string keys_file = TakeString(line.keys_file);
  const std::string bursts = TakeString(line.bursts);
  BenchOptions options;
  const std::string route = TakeString(line.route);
  options.route = route.empty() ? options.route : route;
  options.batch_route = TakeString(line.batch_route);
  options.arrivals_file = TakeString(line.arrivals);
  if (!parsed.has_value()) {
    return parsed.error();
  }
  if (!keys_file.empty()) {
    const Result<void> read = ReadKeysFile(keys_file, line.keys);
    if (!read.has_value()) {
      return read.error();
    }
  }
  if (!bursts.empty()) {
    const Result<BurstOptions> burst_options = ParseBursts(bursts);
    if (!burst_options.has_value()) {
      return burst_options.error();
    }
    options.bursts = burst_options.value();
  }
  for (const std::string& target : line.targets) {
    const Result<Endpoint> endpoint = ParseTarget(target);
    if (!endpoint.has_value()) {
      return endpoint.error();
    }
    options.targets.push_back(endpoint.value());
  }
  if (options.targets.empty() || line.rate < 0 || line.seconds <= 0 ||
      line.max_tokens < 1 || line.batch_max_tokens < 1 ||
      line.batch_items < 0 || line.batch_jobs < 0) {
    return Error(ErrorKind::kInvalidArgument,
                 "Name a --target, and give positive numbers.");
  }
  options.callers = CallersOf(line);
  options.rate = line.rate;
  options.length = Seconds(line.seconds);
  options.warm_up = Seconds(line.warm_up);
  options.timeout = Seconds(line.timeout);
  options.seed = static_cast<uint64_t>(line.seed);
  options.stream = line.stream != 0;
  options.max_tokens = static_cast<uint64_t>(line.max_tokens);
  options.prompt_bytes = static_cast<size_t>(line.prompt_bytes);
  options.idempotency_keys = line.idempotency_keys != 0;
  options.resends = static_cast<uint64_t>(line.resends);
  options.batch_items = static_cast<size_t>(line.batch_items);
  options.batch_jobs = static_cast<size_t>(line.batch_jobs);
  options.batch_max_tokens = static_cast<uint64_t>(line.batch_max_tokens);
  options.batch_wait = Seconds(line.batch_wait);
  options.batch_cancel = line.batch_cancel != 0;
  return options;
}

}  // namespace cowslip
