"""Cost of requests to 15 shards through one entry process.

The added latency is the difference to the slowest of 15 direct calls at the
same rate, with constant service time. Steps raise the rate until less than 99%
of the requests are in time or complete.
"""

import os
import statistics
import subprocess
import time

from bench_common import (Load, cpu_seconds, key_values, options,
                          print_summary, resident_mb)
from cluster import BUILD, Cluster

SHARDS = 15
CLASS = "crew-picture"
DEADLINE_MS = 250
# Short enough for 1,000 fan-outs per second under the bound on concurrent
# fan-outs (9 slots for each shard).
SERVICE_MS = 2
TARGET_RATE = 1000


def thread_seconds(pid):
    """CPU time of the busiest thread, which limits the rate."""
    return max(cpu_seconds("%d/task/%s" % (pid, task))
               for task in os.listdir("/proc/%d/task" % pid))


def backend_seconds(cluster):
    """CPU time of the busiest backend process."""
    return max(cpu_seconds(process.child.pid) for process in cluster.processes
               if process.name.startswith("brine-ledger"))


def direct_calls(cluster):
    """Figures of the slowest of 15 calls made without an entry, such as
    p50_ms and p99_ms."""
    addresses = {}
    for reply in cluster.call_all_backends("brine-ledger", "replicas"):
        for replica in reply["replicas"]:
            addresses.setdefault(replica["shard"], replica["address"])
    done = subprocess.run(
        [os.path.join(BUILD, "direct-call"), "--index=brine-ledger",
         "--class_name=" + CLASS, "--addresses=" + ",".join(
             addresses[shard] for shard in range(SHARDS))],
        capture_output=True, text=True, timeout=30, check=True)
    print("direct " + done.stdout.strip(), flush=True)
    found = key_values(done.stdout)
    assert found["failed"] == 0, "direct calls failed"
    return found


def step(cluster, rate, seconds, seed):
    """Runs the load at a rate and prints and returns its figures."""
    entry = cluster.entries[0]
    pid = entry.process.child.pid
    before = cpu_seconds(pid)
    thread_before = thread_seconds(pid)
    backend_before = backend_seconds(cluster)
    started = time.monotonic()
    sub_requests = entry.status()["requests"]["sub_requests"]
    found = Load(cluster, [(CLASS, "brine-masters", rate)],
                 {CLASS: DEADLINE_MS}, seconds, seed=seed).result()["total"]
    spent = cpu_seconds(pid) - before
    elapsed = time.monotonic() - started
    thread = (thread_seconds(pid) - thread_before) / elapsed
    backend = (backend_seconds(cluster) - backend_before) / elapsed
    requests = entry.status()["requests"]
    sent = requests["sub_requests"] - sub_requests
    figures = {
        "rate": rate,
        "p50": found["p50_ms"],
        "p99": found["p99_ms"],
        "complete": found["complete_share"],
        "in_time": found["in_time_share"],
        "sub_us": 1e6 * spent / max(1, sent),
        "query_us": 1e6 * spent * SHARDS / max(1, sent),
        "rss_mb": resident_mb(pid),
        "entry_thread_cores": thread,
        "backend_cores": backend,
        "valid": found["valid"],
    }
    print("step " + " ".join(
        "%s=%s" % (key, value if isinstance(value, str) else "%.4g" % value)
        for key, value in figures.items()), flush=True)
    return figures


# Whether the entry served the rate of a step.
def sustained(figures):
    return (figures["in_time"] >= 0.99 and figures["complete"] >= 0.99 and
            figures["valid"] == "yes")


def run(seed, arguments):
    with Cluster("pomorze", entries=1, seed=seed, service_ms=SERVICE_MS,
                 distribution="constant", indexes=["brine-ledger"]) as cluster:
        direct = direct_calls(cluster)
        light = step(cluster, 100, arguments.seconds, seed)
        best = 0
        target = None
        for rate in arguments.rates:
            figures = step(cluster, rate, arguments.seconds, seed)
            if rate == TARGET_RATE:
                target = figures
            if not sustained(figures):
                break
            best = rate
        loaded = target or figures
        return {
            "sustained_per_s": best,
            "light_p50_ms": light["p50"], "light_p99_ms": light["p99"],
            "direct_p50_ms": direct["p50_ms"],
            "direct_p99_ms": direct["p99_ms"],
            "added_p50_ms": light["p50"] - direct["p50_ms"],
            "loaded_rate": loaded["rate"], "loaded_p50_ms": loaded["p50"],
            "loaded_p99_ms": loaded["p99"],
            "light_cpu_us_per_sub_request": light["sub_us"],
            "cpu_us_per_sub_request": loaded["sub_us"],
            "cpu_us_per_query": loaded["query_us"],
            "rss_mb": loaded["rss_mb"],
            "entry_thread_cores": loaded["entry_thread_cores"],
            "backend_cores": loaded["backend_cores"],
        }


def main():
    parser = options(__doc__)
    parser.add_argument("--seconds", type=float, default=5)
    parser.add_argument("--rates", type=lambda text: [
        int(item) for item in text.split(",")],
        default=[250, 500, 750, 1000, 1250, 1500])
    arguments = parser.parse_args()
    runs = [run(arguments.seed + number, arguments)
            for number in range(arguments.runs)]
    figures = {key: [one[key] for one in runs] for key in runs[0]}

    def median(key):
        return statistics.median(figures[key])

    missed = []
    if median("added_p50_ms") > 2:
        missed.append("added_p50")
    if median("cpu_us_per_sub_request") > 100:
        missed.append("cpu_per_sub_request")
    if median("sustained_per_s") < TARGET_RATE:
        missed.append("rate")
    print_summary("path", arguments.seed, arguments.runs, missed, figures)


if __name__ == "__main__":
    main()
