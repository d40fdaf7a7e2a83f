"""Prints the table of one measured scenario: measure_table.py SCENARIO FOLDER.

Uses only the standard library. Every figure comes from the JSON reports that
Utilities/measure.sh left in FOLDER.
"""

import csv
import glob
import json
import os
import sys


def load(path):
    with open(path) as file:
        return json.load(file)


def number(path):
    with open(path) as file:
        return float(file.read())


def mean(values):
    values = list(values)
    return sum(values) / len(values) if values else float("nan")


def rows_of(folder, name):
    """The reports of one variant, one per round."""
    return [load(path) for path in sorted(glob.glob(f"{folder}/*-{name}.json"))]


def online_tail(folder):
    variants = ["no-batch", "none", "headroom", "preempt"]
    measures = [("first_token", "p50_ms"), ("first_token", "p95_ms"),
                ("first_token", "p99_ms"), ("inter_token", "p50_ms"),
                ("inter_token", "p95_ms"), ("inter_token", "p99_ms")]
    print("%-10s" % "gate" + "".join(
        "%16s" % f"{m[0].split('_')[0]} {m[1][:3]}" for m in measures)
        + "%10s%8s%8s" % ("batch/s", "ok", "not ok"))
    base = None
    for variant in variants:
        reports = rows_of(folder, variant)
        values = [mean(r[a][b] for r in reports) for a, b in measures]
        base = base or values
        cells = "".join("%9.1f (%4.2f)" % (v, v / b if b else 0)
                        for v, b in zip(values, base))
        items = mean((r["batch"] or {}).get("items_per_second", 0) for r in reports)
        ok = sum(r["outcomes"].get("ok", 0) for r in reports)
        sent = sum(r["sent"] for r in reports)
        print("%-10s" % variant + cells + "%10.1f%8d%8d" % (items, ok, sent - ok))
    print("Milliseconds, in brackets the ratio to no batch; means of the rounds.")


def batch_throughput(folder):
    base = None
    for variant in ["direct", "idle", "online"]:
        paths = sorted(glob.glob(f"{folder}/*-{variant}.rate"))
        rate = mean(load(path)["tokens_per_second"] for path in paths)
        base = base or rate
        print("%-8s %8.0f tokens/s  %5.1f%% of the engines' limit"
              % (variant, rate, 100 * rate / base))


class Bucket:
    def __init__(self, rate, burst):
        self.rate, self.burst, self.tokens, self.last = rate, burst, burst, 0.0

    def admit(self, at):
        self.tokens = min(self.burst, self.tokens + (at - self.last) * self.rate)
        self.last = at
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def simulate(arrivals, limits, parts):
    """Admissions per organisation with each limit split into equal parts."""
    buckets, admitted = {}, {}
    for at, organisation, target in arrivals:
        rate, burst = limits[organisation]
        part = target if parts > 1 else ""
        bucket = buckets.setdefault(
            (organisation, part), Bucket(rate / parts, max(burst / parts, 1)))
        admitted[organisation] = admitted.get(organisation, 0) + bucket.admit(at)
    return admitted


def limits(folder, length, entries, *declared):
    bounds = {}
    for text in declared:
        name, rate, burst = text.split(":")
        bounds[name] = (float(rate), float(burst))
    print("%-8s %-8s %6s %9s %9s %9s %6s" % (
        "balance", "org", "sent", "ideal", "static", "cowslip", "over"))
    for variant in ["even", "skewed"]:
        totals = {}
        for path in sorted(glob.glob(f"{folder}/*-{variant}.json")):
            report = load(path)
            with open(path.replace(".json", ".arrivals")) as file:
                arrivals = [(float(r[0]), r[1], r[2]) for r in csv.reader(file)]
            ideal = simulate(arrivals, bounds, 1)
            static = simulate(arrivals, bounds, int(entries))
            for name, counts in report["organisations"].items():
                rate, burst = bounds[name]
                ok = counts["outcomes"].get("ok", 0)
                over = max(0, ok - (rate * float(length) + burst))
                row = totals.setdefault(name, [0, 0, 0, 0, 0])
                for i, value in enumerate(
                        [counts["sent"], ideal[name], static[name], ok, over]):
                    row[i] += value
        for name, row in totals.items():
            print("%-8s %-8s %6d %9d %9d %9d %6d" % (variant, name, *row))
    print("Admitted requests: by one bucket, by a static split, by the fleet; "
          "over = above rate x length + burst.")


def faults(folder):
    print("%-14s %6s %6s %8s %5s %8s %6s | %6s %6s %6s %6s %6s %9s" % (
        "fault", "sent", "ok", "refused", "cut", "unreach", "wrong", "items", "done",
        "lost", "double", "wrong", "status"))
    for path in sorted(glob.glob(f"{folder}/*.json"), key=os.path.getmtime):
        name = os.path.basename(path)[:-5]
        if name == "keys":
            continue
        report = load(path)
        outcomes, batch = report["outcomes"], report["batch"] or {}
        cut = sum(outcomes.get(k, 0) for k in ("cut", "timeout"))
        print("%-14s %6d %6d %8d %5d %8d %6d | %6d %6d %6s %6s %6s %9s" % (
            name, report["sent"], outcomes.get("ok", 0),
            outcomes.get("refused", 0), cut,
            outcomes.get("unreachable", 0), outcomes.get("wrong", 0),
            batch.get("items", 0), batch.get("completed", 0),
            batch.get("lost", "-"), batch.get("doubled", "-"),
            batch.get("wrong", "-"), "/".join(batch.get("statuses", {}))))
        if report["problems"]:
            print("   refused: " + json.dumps(report["problems"])
                  + ", not run: %d" % report["refused_not_run"])


def cost(folder, ticks_per_second):
    for quantile in ["p50_ms", "p95_ms"]:
        direct = mean(r["whole_answer"][quantile] for r in rows_of(folder, "direct"))
        fleet = mean(r["whole_answer"][quantile] for r in rows_of(folder, "fleet"))
        print("%s: direct %.2f ms, through the fleet %.2f ms, added %.2f ms"
              % (quantile[:3], direct, fleet, fleet - direct))
    for name in ["entry1", "side1"]:
        ticks = sum(number(p.replace("before", "after")) - number(p)
                    for p in glob.glob(f"{folder}/*-{name}.before"))
        sent = sum(r["sent"] for r in rows_of(folder, "fleet"))
        seconds = ticks / float(ticks_per_second) / sent
        print("%s: %.0f us of CPU a request, %.0f requests a second on one core"
              % (name, seconds * 1e6, 1 / seconds if seconds else float("nan")))
    streams = load(f"{folder}/streams.stats")["running"]
    for name in ["entry1", "side1"]:
        grown = number(f"{folder}/{name}.memory-after") - number(
            f"{folder}/{name}.memory-before")
        print("%s: %.1f KiB a stream with %d open" % (
            name, grown / max(streams, 1), streams))


def calls_between(folder, name):
    before = load(f"{folder}/{name}.before")["calls"]
    after = load(f"{folder}/{name}.after")["calls"]
    return {kind: after[kind] - before[kind] for kind in after}


def propagation(folder):
    idle = calls_between(folder, "idle")
    seconds = number(f"{folder}/idle.seconds")
    print("idle: " + ", ".join("%s %.2f/s" % (k, v / seconds)
                               for k, v in idle.items() if v))
    for change in ["publish", "withdraw"]:
        paths = glob.glob(f"{folder}/*-{change}.ms")
        times = sorted(number(path) for path in paths)
        calls = [calls_between(folder, os.path.basename(path)[:-3]) for path in paths]
        print("%-8s n=%d  median %.0f ms, longest %.0f ms; store calls: %s" % (
            change, len(times), times[len(times) // 2], times[-1],
            ", ".join("%s %.1f" % (kind, mean(c[kind] for c in calls))
                      for kind in calls[0])))


SCENARIOS = {"online-tail": online_tail, "batch-throughput": batch_throughput,
             "limits": limits, "faults": faults, "cost": cost,
             "propagation": propagation}

if __name__ == "__main__":
    SCENARIOS[sys.argv[1]](sys.argv[2], *sys.argv[3:])
