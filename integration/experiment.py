"""Runs a load against a cluster and computes its figures.

Shared by bench_tail.py and bench_hotspot.py.
"""

import asyncio
import json
import math
import os
import re
import threading
import time

import cluster as clusters
import open_loop

BASELINE = {"hedging": False, "avoidance": False, "reported_load": False}
BASELINES = {name: dict(BASELINE, replica_policy=name)
             for name in ("random", "round_robin", "least_in_flight")}
# Both have shape every_shard, so that a latency is that of the whole fan-out.
CLASSES = {"seal-ready": "banco-cucitura", "batch-match": "magazzino-fiori"}
SHARDS = {index.name: index.shards
          for index in clusters.DEPLOYMENTS["sicilia-sud"]["indexes"]}
REPLICAS = 3
SLOTS = 5
# Service times and deadlines are ten times those in production (4 ms and
# 150 ms). At 4 ms, 40% of the slots take 3,000 fan-outs/s, more than the load
# generator can send, and scheduling noise of a shared machine would exceed the
# differences between variants.
SERVICE_MS = 40
DEADLINE_MS = 1500

EARLIER_HELP = ("directories with the programs of earlier versions; each is "
                "run as another variant, named after its directory")
BUILD = clusters.BUILD
# Directories of earlier versions, by the name of their variant.
EARLIER_BUILDS = {}


def add_earlier(directories):
    """Adds a variant for each directory; returns the names of the variants."""
    for directory in filter(None, directories.split(",")):
        name = "earlier_" + os.path.basename(os.path.normpath(directory))
        EARLIER_BUILDS[name] = os.path.abspath(directory)
    return list(EARLIER_BUILDS)


def use_build(variant):
    """Selects the programs that the variant's cluster runs."""
    clusters.BUILD = EARLIER_BUILDS.get(variant, BUILD)


def rate_for(load):
    """Fan-outs per second of each class that use a fraction `load` of the slot
    capacity."""
    return load * REPLICAS * SLOTS * 1000 / SERVICE_MS


def write_document():
    """Writes the example document with both classes as every_shard; returns
    its path."""
    path = os.path.join(clusters.ROOT, "examples/sicilia-sud.json")
    with open(path, encoding="utf-8") as file:
        document = json.loads(
            re.sub(r"^\s*//.*$", "", file.read(), flags=re.M))
    for spec in document["classes"]:
        if spec["name"] in CLASSES:
            spec["shape"] = "every_shard"
            spec["deadline_ms"] = DEADLINE_MS
            spec.pop("matches", None)
    path = os.path.join(BUILD, "experiment.json")
    with open(path, "w", encoding="utf-8") as file:
        json.dump(document, file)
    return path


def create_cluster(experiment, seed):
    """Returns a cluster with the two indexes in their full sizes, not yet
    started."""
    return clusters.Cluster("sicilia-sud", seed=seed, experiment=experiment,
                            service_ms=SERVICE_MS,
                            indexes=list(CLASSES.values()),
                            document=write_document())


def run_load(cluster, load, seed, warm_up_s, duration_s, at_start=None):
    """Runs the load; calls `at_start` at the end of the warm-up. Returns the
    figures of the requests that arrived after it."""
    generator = open_loop.OpenLoop(
        [entry.caller_address for entry in cluster.entries],
        {name: rate_for(load) for name in CLASSES}, "packing-lines",
        DEADLINE_MS, seed)
    before = {}

    def begin():
        before.update(attempts(cluster))
        if at_start:
            at_start()
    records = asyncio.run(generator.run(warm_up_s + duration_s,
                                        [(warm_up_s, begin)]))
    after = attempts(cluster)
    return compute_figures(
        [record for record in records if record[0] >= warm_up_s],
        {name: after[name] - before[name] for name in after})


def attempts(cluster):
    """Sub-requests, hedges and retries of all entries so far."""
    total = {"sub_requests": 0, "hedges": 0, "retries": 0}
    for entry in cluster.entries:
        requests = entry.status()["requests"]
        for name in total:
            total[name] += requests[name]
    return total


def quantile(ordered, q):
    return ordered[min(len(ordered) - 1, math.ceil(q * len(ordered)) - 1)]


def compute_figures(records, attempt_counts):
    """Computes percentiles over all requests and other figures. A request
    without a complete answer counts with at least the deadline as its latency,
    even when a partial answer or a refusal came earlier."""
    latencies = sorted(
        latency if outcome == "complete" else max(latency, DEADLINE_MS)
        for _, latency, outcome, _ in records)
    result = {name: quantile(latencies, q) for name, q in
              (("p50", 0.5), ("p99", 0.99), ("p999", 0.999))}
    outcomes = [outcome for _, _, outcome, _ in records]
    result["sent"] = len(records)
    result["complete"] = outcomes.count("complete") / len(records)
    result["refused"] = outcomes.count("refused") / len(records)
    result["lag"] = quantile(sorted(lag for _, _, _, lag in records), 0.99)
    base = max(1, attempt_counts["sub_requests"])
    result["extra"] = (attempt_counts["hedges"] +
                       attempt_counts["retries"]) / base
    result["hedges"] = attempt_counts["hedges"] / base
    result["retries"] = attempt_counts["retries"] / base
    return result


class AttemptFractionRecorder:
    """Records the fraction of a shard's attempts that each replica receives."""

    def __init__(self, cluster, index, shard, period_s=0.5):
        self.cluster = cluster
        self.index = index
        self.shard = shard
        self.period_s = period_s
        self.samples = []
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def received(self):
        counts = []
        for centre in self.cluster.spec["data_centres"]:
            replicas = self.cluster.call_backend(self.index, centre, "replicas")
            counts.append(sum(
                item["counters"]["received"] for item in replicas["replicas"]
                if item["shard"] == self.shard))
        return counts

    def run(self):
        due = time.monotonic()
        while not self.stopping.is_set():
            self.samples.append(self.received())
            due += self.period_s
            self.stopping.wait(max(0, due - time.monotonic()))

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *unused):
        self.stopping.set()
        self.thread.join()

    def fractions(self):
        """Returns, for each period, the fraction of each replica."""
        rows = []
        for earlier, later in zip(self.samples, self.samples[1:]):
            counts = [b - a for a, b in zip(earlier, later)]
            if sum(counts) > 0:
                rows.append([count / sum(counts) for count in counts])
        return rows

    def variation(self):
        """Coefficient of variation of a replica's fraction over time, averaged
        over the replicas."""
        rows = self.fractions()
        values = []
        for column in zip(*rows):
            mean = sum(column) / len(column)
            deviation = (sum((x - mean) ** 2 for x in column)
                         / len(column)) ** 0.5
            values.append(deviation / mean if mean else 0)
        return sum(values) / len(values) if values else 0
