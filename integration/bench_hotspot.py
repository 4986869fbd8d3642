"""Hotspot: one shard's replicas at half speed, load reports 2 s old.

Measures the tier, the tier with fresh and without reports, least_in_flight and
random.
The oracle is a simulation of the same arrivals, service times and speeds. Its
single dispatcher knows every replica's exact load and speed at each instant
and sends each sub-request to the replica that is expected to finish it first;
it does not hedge. Without network, processes and event loops it is a lower
bound on the latency of any entry that does not hedge either.

Oscillation is measured on the slow shard as the coefficient of variation over
time (periods of 0.5 s) of each replica's fraction of the attempts, averaged
over its replicas. The random variant shows the variation by chance alone.
"""

import argparse
import csv as csv_module
import heapq
import random
import statistics
import sys

import experiment

TIER = {}
VARIANTS = {
    "tier": (TIER, 2000),
    "fresh": (TIER, 0),
    "no_reported_load": ({"reported_load": False}, 2000),
    "least_in_flight": (experiment.BASELINES["least_in_flight"], 2000),
    "random": (experiment.BASELINES["random"], 2000),
}
INDEX = "magazzino-fiori"
SHARD = 5
SPEED = 0.5
PERIOD_S = 0.5
MAX_RATIO = 1.5
# Between runs, chance alone changes the variation by about this factor.
MAX_VARIATION_RATIO = 1.5
COLUMNS = ("p50", "p99", "p999", "complete", "extra", "variation", "lag")


class OracleReplica:
    """Slots of one replica, as the times at which they become free."""

    def __init__(self, speed):
        self.speed = speed
        self.free_at = [0.0] * experiment.SLOTS

    # Runs a request of a service time; returns when it ends.
    def run(self, now, service):
        start = max(now, heapq.heappop(self.free_at))
        end = start + service / self.speed
        heapq.heappush(self.free_at, end)
        return end

    def expected_latency(self, now):
        return max(0.0, self.free_at[0] - now) + \
            experiment.SERVICE_MS / self.speed


def oracle(load, seed, seconds):
    """Simulates dispatch with perfect knowledge; returns percentiles over the
    fan-outs of both indexes."""
    generator = random.Random(seed)
    latencies = []
    for index in experiment.CLASSES.values():
        shards = [[OracleReplica(SPEED if (index, shard) == (INDEX, SHARD)
                                 else 1) for _ in range(experiment.REPLICAS)]
                  for shard in range(experiment.SHARDS[index])]
        now = 0.0
        while now < seconds * 1000:
            now += generator.expovariate(experiment.rate_for(load) / 1000)
            latencies.append(max(
                min(replicas, key=lambda r: r.expected_latency(now)).run(
                    now, generator.expovariate(1 / experiment.SERVICE_MS))
                for replicas in shards) - now)
    latencies.sort()
    return {name: latencies[int(q * (len(latencies) - 1))]
            for name, q in (("p50", 0.5), ("p99", 0.99), ("p999", 0.999))}


def run_variant(name, options, seed):
    settings, age = VARIANTS[name]
    experiment.use_build(name)
    with experiment.create_cluster(settings, seed) as cluster:
        for index, centre in cluster.backends:
            cluster.call_backend(index, centre, "replicas/all",
                                 {"report_age_ms": age})
            if index == INDEX:
                cluster.call_backend(index, centre, "replicas/%d" % SHARD,
                                     {"speed": SPEED})
        recorder = experiment.AttemptFractionRecorder(
            cluster, INDEX, SHARD, PERIOD_S)
        result = experiment.run_load(
            cluster, options.load, seed, options.warm_up, options.duration,
            at_start=recorder.__enter__)
        recorder.__exit__()
        result["variation"] = recorder.variation()
    return result, recorder.fractions()


def summary(medians, bound):
    """Returns the summary line, which names the targets that were missed."""
    words = ["bench=hotspot"]
    missed = []
    tier = medians["tier"]
    ratio = tier["p99"] / bound["p99"]
    words.append("p99_ratio=%.3f" % ratio)
    if ratio > MAX_RATIO:
        missed.append("p99_ratio")
    if "random" in medians:
        relative = tier["variation"] / medians["random"]["variation"]
        words.append("variation_ratio=%.2f" % relative)
        if relative > MAX_VARIATION_RATIO:
            missed.append("oscillation")
    for key in ("p50", "p99", "p999"):
        words.append("oracle_%s_ms=%.1f" % (key, bound[key]))
    for name, values in medians.items():
        for key in ("p50", "p99", "p999"):
            words.append("%s_%s_ms=%.1f" % (name, key, values[key]))
        for key in ("complete", "extra", "variation"):
            words.append("%s_%s=%.4f" % (name, key, values[key]))
    words.append("missed=" + (",".join(missed) or "none"))
    return " ".join(words)


def parse():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--load", type=float, default=0.4,
                        help="share of slot capacity at full speed")
    parser.add_argument("--warm_up", type=float, default=3)
    parser.add_argument("--duration", type=float, default=10)
    parser.add_argument("--variants", default=",".join(VARIANTS))
    parser.add_argument("--earlier", default="", help=experiment.EARLIER_HELP)
    parser.add_argument("--csv", default="build/hotspot.csv")
    options = parser.parse_args()
    for name in experiment.add_earlier(options.earlier):
        VARIANTS[name] = VARIANTS["tier"]
        options.variants += "," + name
    return options


def main():
    options = parse()
    results = {}
    bounds = []
    rows = []
    for run in range(options.runs):
        seed = options.seed + run
        bounds.append(oracle(options.load, seed, 60))
        for name in options.variants.split(","):
            result, fractions = run_variant(name, options, seed)
            results.setdefault(name, []).append(result)
            for period, row in enumerate(fractions):
                rows.append([run, name, period * PERIOD_S] +
                            ["%.4f" % fraction for fraction in row])
            print("run=%d variant=%s " % (run, name) + " ".join(
                "%s=%.5g" % (key, result[key]) for key in COLUMNS),
                flush=True)
    with open(options.csv, "w", newline="", encoding="utf-8") as file:
        writer = csv_module.writer(file)
        writer.writerow(("run", "variant", "second", "share_1", "share_2",
                         "share_3"))
        writer.writerows(rows)
    median = {name: {key: statistics.median(item[key] for item in items)
                     for key in items[0]} for name, items in results.items()}
    bound = {key: statistics.median(item[key] for item in bounds)
             for key in bounds[0]}
    print(summary(median, bound))


if __name__ == "__main__":
    sys.exit(main())
