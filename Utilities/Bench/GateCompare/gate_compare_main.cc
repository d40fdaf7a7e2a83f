#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

#include <popt.h>

#include "Utilities/Bench/GateCompare/gate_simulation.h"

namespace {

using cowslip::Duration;
using cowslip::GateFigures;
using cowslip::GateLoad;
using cowslip::GateOptions;
using cowslip::GatePolicy;

// One line of the table.
struct Variant {
  std::string name;
  GatePolicy policy;
  bool batch = true;
};

// The command line as popt fills it in.
struct CommandLine {
  int seconds = 600;
  int seed = 1;
  int slots = 8;
  int token_us = 10000;
  double online_per_second = 4;
  int burst_size = 12;
  int online_tokens = 64;
  int batch_tokens = 400;
  int batch_outstanding = 16;
  int close_ms = 1;
};

constexpr unsigned int kInt = POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT;
constexpr unsigned int kDouble = POPT_ARG_DOUBLE | POPT_ARGFLAG_SHOW_DEFAULT;

bool Parse(int argc, const char** argv, CommandLine& line) {
  const poptOption table[] = {
      {"seconds", 0, kInt, &line.seconds, 0, "Virtual time", "S"},
      {"seed", 0, kInt, &line.seed, 0, "Seed of the arrivals", "N"},
      {"slots", 0, kInt, &line.slots, 0, "Slots of the engine", "N"},
      {"token-us", 0, kInt, &line.token_us, 0, "Time of one step", "US"},
      {"online-per-second", 0, kDouble, &line.online_per_second, 0,
       "Rate of online requests", "R"},
      {"burst-size", 0, kInt, &line.burst_size, 0,
       "Online requests every ten seconds at once", "N"},
      {"online-tokens", 0, kInt, &line.online_tokens, 0, "Length", "N"},
      {"batch-tokens", 0, kInt, &line.batch_tokens, 0, "Length", "N"},
      {"batch-outstanding", 0, kInt, &line.batch_outstanding, 0,
       "Batch items kept dispatched", "N"},
      {"close-ms", 0, kInt, &line.close_ms, 0,
       "Time until the engine notices a closed connection", "MS"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("gate_compare", argc, argv, table, 0);
  const int parsed = poptGetNextOpt(context);
  const bool good = parsed == -1 && poptGetArg(context) == nullptr;
  poptFreeContext(context);
  return good && line.seconds > 0 && line.slots > 0 &&
         line.online_per_second > 0;
}

GateFigures Measure(const CommandLine& line, const Variant& variant) {
  GateOptions gate{.policy = variant.policy,
                   .slots = static_cast<uint32_t>(line.slots)};
  const cowslip::EngineModelOptions engine{
      .slots = static_cast<size_t>(line.slots),
      .step_time = std::chrono::microseconds(line.token_us)};
  GateLoad load{.time = std::chrono::seconds(line.seconds),
                .seed = static_cast<uint64_t>(line.seed),
                .online_per_second = line.online_per_second,
                .burst_size = line.burst_size,
                .online_tokens = static_cast<uint64_t>(line.online_tokens),
                .batch_tokens = static_cast<uint64_t>(line.batch_tokens)};
  load.close_time = std::chrono::milliseconds(line.close_ms);
  load.batch_outstanding =
      variant.batch ? static_cast<size_t>(line.batch_outstanding) : 0;
  return cowslip::GateSimulation(gate, engine, load).Run();
}

double Milliseconds(Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

void Print(const CommandLine& line,
           const std::string& name,
           const GateFigures& figures) {
  std::printf(
      "| %-26s | %7.0f | %7.0f | %7.0f | %7zu | %8llu | %7.3f | %9llu |\n",
      name.c_str(), Milliseconds(figures.Quantile(0.5)),
      Milliseconds(figures.Quantile(0.95)),
      Milliseconds(figures.Quantile(0.99)), figures.first_token.size(),
      static_cast<unsigned long long>(figures.online_refused),
      static_cast<double>(figures.batch_items) / line.seconds,
      static_cast<unsigned long long>(figures.preempted));
}

}  // namespace

int main(int argc, const char** argv) {
  CommandLine line;
  if (!Parse(argc, argv, line)) {
    std::cerr << "gate_compare: bad options. See --help.\n";
    return 2;
  }
  const std::vector<Variant> variants = {
      {"no batch", cowslip::HeadroomWithPreemption{.headroom = 0}, false},
      {"no gate", cowslip::NoGate()},
      {"headroom 1", cowslip::Headroom{.headroom = 1}},
      {"headroom 2", cowslip::Headroom{.headroom = 2}},
      {"headroom 4", cowslip::Headroom{.headroom = 4}},
      {"preemption, headroom 0",
       cowslip::HeadroomWithPreemption{.headroom = 0}},
      {"preemption, headroom 1",
       cowslip::HeadroomWithPreemption{.headroom = 1}},
      {"preemption, headroom 2",
       cowslip::HeadroomWithPreemption{.headroom = 2}}};
  std::printf(
      "Time to first token of online requests in ms, virtual time.\n\n"
      "| gate                       |     p50 |     p95 |     p99 |"
      "  online |  refused | batch/s | preempted |\n"
      "|---|---|---|---|---|---|---|---|\n");
  for (const Variant& variant : variants) {
    Print(line, variant.name, Measure(line, variant));
  }
  return 0;
}
