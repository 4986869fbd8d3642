"""Tail latency: the tier, the baselines, and the tier without each mechanism.

Faults: 1% of the replies of every replica are ten times slower. From the start
of the measured time one replica is frozen, and one runs at a fifth of its speed
and reports no load. Prints a line for each variant, then a summary line.
"""

import argparse
import csv as csv_module
import statistics
import sys

import experiment

VARIANTS = {"tier": {}}
VARIANTS.update(experiment.BASELINES)
for _name in ("hedging", "avoidance", "reported_load", "slow_start",
              "admission"):
    VARIANTS["no_" + _name] = {_name: False}

COLUMNS = ("p50", "p99", "p999", "complete", "extra", "hedges", "retries",
           "refused", "sent", "lag")
# Index, data centre and number of the replica.
FROZEN = ("banco-cucitura", "ragusa-b", 3)
MISREPORTING = ("magazzino-fiori", "ragusa-a", 5)


def set_replica(cluster, replica, **changes):
    index, centre, number = replica
    cluster.call_backend(index, centre, "replicas/%d" % number, changes)


def run_variant(name, options, seed):
    """Runs a variant in a new cluster, so that it has no state of another."""
    experiment.use_build(name)
    with experiment.create_cluster(VARIANTS[name], seed) as cluster:
        for index, centre in cluster.backends:
            cluster.call_backend(index, centre, "replicas/all",
                                 {"slow_rate": 0.01, "slow_factor": 10})

        def inject_faults():
            set_replica(cluster, FROZEN, frozen=True)
            set_replica(cluster, MISREPORTING, speed=0.2,
                        lie={"in_flight": 0, "queued": 0})
        result = experiment.run_load(
            cluster, options.load, seed, options.warm_up, options.duration,
            at_start=inject_faults)
        set_replica(cluster, FROZEN, frozen=False)
    return result


def median_of(results):
    return {key: statistics.median(result[key] for result in results)
            for key in results[0]}


def summary(medians):
    """Returns the summary line, which names the targets that were missed."""
    best = min((name for name in experiment.BASELINES if name in medians),
               key=lambda name: medians[name]["p99"], default=None)
    tier = medians["tier"]
    missed = []
    words = ["bench=tail"]
    if best:
        ratio = tier["p99"] / medians[best]["p99"]
        words.append("best_baseline=%s p99_ratio=%.3f" % (best, ratio))
        if ratio > 1 / 3:
            missed.append("p99_ratio")
    if tier["complete"] < 0.999:
        missed.append("complete")
    if tier["extra"] > 0.05:
        missed.append("extra")
    for name, values in medians.items():
        for key in ("p50", "p99", "p999"):
            words.append("%s_%s_ms=%.1f" % (name, key, values[key]))
        words.append("%s_complete=%.5f" % (name, values["complete"]))
        words.append("%s_extra=%.4f" % (name, values["extra"]))
    words.append("missed=" + (",".join(missed) or "none"))
    return " ".join(words)


def parse():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--load", type=float, default=0.4,
                        help="share of slot capacity")
    parser.add_argument("--warm_up", type=float, default=2)
    parser.add_argument("--duration", type=float, default=5)
    parser.add_argument("--variants", default=",".join(VARIANTS))
    parser.add_argument("--earlier", default="", help=experiment.EARLIER_HELP)
    parser.add_argument("--csv", default="build/tail.csv")
    options = parser.parse_args()
    for name in experiment.add_earlier(options.earlier):
        VARIANTS[name] = {}
        options.variants += "," + name
    return options


def main():
    options = parse()
    results = {}
    rows = []
    for run in range(options.runs):
        for name in options.variants.split(","):
            result = run_variant(name, options, options.seed + run)
            results.setdefault(name, []).append(result)
            rows.append([run, name] + [result[key] for key in COLUMNS])
            print("run=%d variant=%s " % (run, name) + " ".join(
                "%s=%.5g" % (key, result[key]) for key in COLUMNS),
                flush=True)
    with open(options.csv, "w", newline="", encoding="utf-8") as file:
        writer = csv_module.writer(file)
        writer.writerow(("run", "variant") + COLUMNS)
        writer.writerows(rows)
    print(summary({name: median_of(values)
                   for name, values in results.items()}))


if __name__ == "__main__":
    sys.exit(main())
