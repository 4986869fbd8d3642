"""Measures costs that grow with a deployment and fits a line to each.

Parts: core and hedges (tanagervane-slopes, no sockets), entry (one entry
process with real gRPC), exchanges (gossip through gRPC) and changes (platform
calls of a configuration change). Rows go to docs/data/slopes_PART.csv with the
command and the seed; utils/capacity.py computes the tables of
docs/capacity-entry.md from them.

Usage: utils/bench.sh slopes --part=core|hedges|entry|exchanges|changes
"""

import argparse
import json
import os
import subprocess
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "integration"))
sys.path.insert(0, os.path.join(ROOT, "utils"))
import capacity  # noqa: E402
import cluster  # noqa: E402

SEED = 20261204
GROUPS = {"core": ("engine", "replicas", "gossip", "document", "orders"),
          "hedges": ("hedges",)}
WIDTHS = (10, 40, 80, 160)
REPLICAS = 3
ENTRIES = (2, 4, 8, 12)
# Numbers of entries. A fifth adds no exchanges: a gossip round has three
# targets.
GOSSIP_ENTRIES = (1, 2, 3, 4)
QUERIES = 150
CHANGES = 5
IDLE_SECONDS = 5.0
TICKS = os.sysconf("SC_CLK_TCK")


def document(shards, replicas):
    return {
        "team": "slopes",
        "indexes": [{"name": "wide", "shards": shards, "replicas": replicas,
                     "slots": 8, "connections": 40, "connect_ms": 1,
                     "reports_load": True}],
        "classes": [{"name": "all", "index": "wide", "shape": "every_shard",
                     "deadline_ms": 2000, "urgency": "urgent"}],
        "tenants": [{"name": "tenant", "share": 1}],
    }


def create_cluster(directory, shards, entries):
    """Returns a cluster with one index. Hedging is off because each hedge
    would add to the measured cost."""
    path = os.path.join(directory, "slopes-%d-%d.json" % (shards, entries))
    with open(path, "w", encoding="utf-8") as file:
        json.dump(document(shards, REPLICAS), file)
    cluster.DEPLOYMENTS["slopes"] = {
        "document": path, "team": "slopes",
        "data_centres": ["ragusa-a", "ragusa-b", "modica"],
        "indexes": [cluster.IndexSize("wide", shards, REPLICAS, 8, 40, 1)],
    }
    return cluster.Cluster("slopes", entries=entries, seed=SEED,
                           distribution="constant", document=path,
                           experiment={"hedging": False})


def cpu_us(process):
    """CPU time of a process so far, in microseconds."""
    with open("/proc/%d/schedstat" % process.child.pid,
              encoding="ascii") as file:
        on_main = int(file.read().split()[0]) / 1000
    total = 0.0
    tasks = "/proc/%d/task" % process.child.pid
    for task in os.listdir(tasks):
        with open("%s/%s/schedstat" % (tasks, task), encoding="ascii") as file:
            total += int(file.read().split()[0]) / 1000
    return max(total, on_main)


def rss_bytes(process):
    with open("/proc/%d/statm" % process.child.pid, encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def rate_of(read, seconds):
    """Growth per second of the value that `read` returns."""
    start, begun = read(), time.monotonic()
    time.sleep(seconds)
    return (read() - start) / (time.monotonic() - begun)


def run_queries(deployment, shards):
    for number in range(QUERIES):
        reply = deployment.query("all", "tenant", "lot %d" % number)
        assert reply.status == 200, reply.text
        answer = reply.json()
        assert answer["complete"] and answer["shard_count"] == shards


# Idle CPU, memory and CPU per request of an entry by number of shards.
def measure_width(shards, directory, rows):
    with create_cluster(directory, shards, 1) as deployment:
        process = deployment.entries[0].process
        replicas = shards * REPLICAS
        run_queries(deployment, shards)
        idle = rate_of(lambda: cpu_us(process), IDLE_SECONDS)
        rows.append(("entry_idle_us_per_s_by_replicas", replicas, idle))
        rows.append(("entry_rss_bytes_by_replicas", replicas,
                     rss_bytes(process)))
        start, begun = cpu_us(process), time.monotonic()
        run_queries(deployment, shards)
        used = cpu_us(process) - start - idle * (time.monotonic() - begun)
        rows.append(("entry_request_us_by_shards", shards, used / QUERIES))


def measure_exchanges(entries, directory, rows):
    """Idle CPU of an entry by the gossip exchanges per second that it starts or
    answers."""
    with create_cluster(directory, 3, entries) as deployment:
        exchanges = 2 * (entries - 1) / capacity.GOSSIP_PERIOD_S
        time.sleep(1)
        start = [cpu_us(entry.process) for entry in deployment.entries]
        begun = time.monotonic()
        time.sleep(IDLE_SECONDS)
        seconds = time.monotonic() - begun
        for entry, before in zip(deployment.entries, start):
            rows.append(("entry_idle_us_per_s_by_exchanges", exchanges,
                         (cpu_us(entry.process) - before) / seconds))


# Platform calls per document change by number of entries.
def measure_changes(entries, directory, rows):
    with create_cluster(directory, 3, entries) as deployment:
        call_types = ("get", "watch", "put", "vms", "vms_watch")

        def read(call_type):
            return deployment.platform_counters()[call_type]

        first = {call_type: read(call_type) for call_type in call_types}
        begun = time.monotonic()
        time.sleep(IDLE_SECONDS)
        seconds = time.monotonic() - begun
        idle = {call_type: (read(call_type) - first[call_type]) / seconds
                for call_type in call_types}
        waiting = deployment.platform_counters()["waiting"]
        first = {call_type: read(call_type) for call_type in call_types}
        begun = time.monotonic()
        for number in range(CHANGES):
            apply_change(deployment, entries, number)
        seconds = time.monotonic() - begun
        rows.append(("platform_waiting_calls", entries, waiting))
        for call_type in call_types:
            used = read(call_type) - first[call_type] - \
                idle[call_type] * seconds
            rows.append(("platform_%s_per_change" % call_type, entries,
                         used / CHANGES))


# Applies a document and waits until it is in force on every entry.
def apply_change(deployment, entries, number):
    changed = document(3, REPLICAS)
    changed["tenants"][0]["share"] = number + 2
    path = os.path.join(deployment.directory, "change.json")
    with open(path, "w", encoding="utf-8") as file:
        json.dump(changed, file)
    result = deployment.ctl("apply", path)
    assert result.returncode == 0, result.stdout + result.stderr
    cluster.wait_until(
        "the change is in force on %d entries" % entries,
        lambda: len({e.status()["document_revision"]
                     for e in deployment.entries}) == 1)


# Adds the rows that tanagervane-slopes prints for a group of costs.
def measure_core(group, rows):
    program = os.path.join(cluster.BUILD, "tanagervane-slopes")
    output = subprocess.run([program, "--group=" + group], capture_output=True,
                            text=True, check=True, timeout=115)
    sys.stderr.write(output.stderr)
    for line in output.stdout.splitlines():
        if not line.startswith("#") and not line.startswith("cost,"):
            cost, x, y = line.split(",")
            rows.append((cost, float(x), float(y)))


def write_csv(path, part, rows):
    commit = subprocess.run(
        ["git", "-C", ROOT, "rev-parse", "--short", "HEAD"],
        capture_output=True, text=True, check=True).stdout.strip()
    with open(path, "w", encoding="utf-8") as file:
        file.write("# command: utils/bench.sh slopes --part=%s\n" % part)
        file.write("# seed: %d\n" % SEED)
        file.write("# measured on a tree based on commit %s\n" % commit)
        file.write("cost,x,y\n")
        for cost, x, y in rows:
            file.write("%s,%g,%.6g\n" % (cost, x, y))


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--part", choices=(
        "core", "hedges", "entry", "exchanges", "changes"), required=True)
    options = parser.parse_args()
    rows = []
    if options.part in GROUPS:
        for group in GROUPS[options.part]:
            measure_core(group, rows)
    directory = os.path.join(cluster.BUILD, "slopes")
    os.makedirs(directory, exist_ok=True)
    for shards in WIDTHS if options.part == "entry" else ():
        measure_width(shards, directory, rows)
    for entries in GOSSIP_ENTRIES if options.part == "exchanges" else ():
        measure_exchanges(entries, directory, rows)
    for entries in ENTRIES if options.part == "changes" else ():
        measure_changes(entries, directory, rows)
    path = os.path.join(ROOT, "docs", "data", "slopes_%s.csv" % options.part)
    write_csv(path, options.part, rows)
    fits = capacity.fit_all(capacity.read_rows([path]))
    for fit in fits.values():
        print(fit)
    print("part=%s costs=%d rows=%d csv=%s" % (
        options.part, len(fits), len(rows), os.path.relpath(path, ROOT)))


if __name__ == "__main__":
    main()
