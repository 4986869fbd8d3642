"""Platform writes for each order and throughput at several arrival rates.

Orders arrive in open loop over two entries; every platform call takes
PLATFORM_MS. The outcomes are compared with the executions on the back ends.
"""

import collections
import concurrent.futures
import statistics
import sys
import time

from faultlib import ONE_SHARD_INDEX, Caller, SmallCluster, order_problems

PLATFORM_MS = 5
SECONDS = 5
RATES = (20, 100, 200, 400)


# Sends orders at a rate; returns the records, the platform writes for each
# completed order and the completed orders per second.
def run(cluster, rate):
    caller = Caller(cluster)
    before = cluster.platform_counters()["put"]
    begun = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(64) as pool:
        for number in range(rate * SECONDS):
            due = begun + number / rate
            time.sleep(max(0, due - time.monotonic()))
            pool.submit(caller.order, "o-%d-%d" % (rate, number),
                        entry=cluster.entries[number % 2])
    elapsed = time.monotonic() - begun
    done = [r for r in caller.records if r.outcome == "complete"]
    times = statistics.quantiles([r.ms for r in done], n=100)
    writes = cluster.platform_counters()["put"] - before
    print("rate=%-4d offered=%-5d done=%-5d done_per_s=%-6.1f "
          "writes_per_order=%.2f p50_ms=%.1f p99_ms=%.1f" % (
              rate, rate * SECONDS, len(done), len(done) / elapsed,
              writes / max(1, len(done)), times[49], times[98]), flush=True)
    return caller.records, writes / max(1, len(done)), len(done) / elapsed


def main():
    records, per_order, best = [], {}, 0
    with SmallCluster(entries=2) as cluster:
        cluster.faults(delay_ms=PLATFORM_MS)
        for rate in RATES:
            rate_records, per_order[rate], throughput = run(cluster, rate)
            records += rate_records
            best = max(best, throughput)
        problems = order_problems(cluster, records)
        ran = cluster.executions(ONE_SHARD_INDEX)
    outcomes = collections.Counter(r.outcome for r in records)
    print("orders doubled=%d untrue=%d best_per_s=%.0f %s refused=%d lost=%d" % (
        sum(count > 1 for count in ran.values()), len(problems), best,
        " ".join("writes_per_order_at_%d=%.2f" % item
                 for item in per_order.items()),
        outcomes["not_run"] + outcomes["unknown"], outcomes["lost"]))
    sys.exit(1 if problems else 0)


if __name__ == "__main__":
    main()
