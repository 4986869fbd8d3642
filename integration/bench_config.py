"""Time until a document change is in force on every entry, and platform calls
for each change."""

import statistics
import time

from faultlib import SmallCluster, document, run_together

CHANGES = 25
IDLE_SECONDS = 10


# All calls and writes of the platform so far.
def platform_calls(cluster):
    counters = cluster.platform_counters()
    return counters["total"], counters["put"]


def main():
    with SmallCluster(entries=4) as cluster:
        before = platform_calls(cluster)
        time.sleep(IDLE_SECONDS)
        idle = (platform_calls(cluster)[0] - before[0]) / IDLE_SECONDS
        before, begun = platform_calls(cluster), time.monotonic()
        times = []
        for number in range(CHANGES):
            started = time.monotonic()
            reply = cluster.put_document(document(number + 2), number + 1,
                                         cluster.entries[number % 4])
            assert reply.status == 200, reply.text
            revision = reply.json()["revision"]

            def wait_in_force(entry):
                while cluster.revision(entry) < revision:
                    time.sleep(0.002)
                return (time.monotonic() - started) * 1000
            times.append(max(run_together(*[
                lambda e=entry: wait_in_force(e)
                for entry in cluster.entries])))
            time.sleep(0.2)
        elapsed = time.monotonic() - begun
        after = platform_calls(cluster)
    print("config in_force_max_ms=%.0f in_force_median_ms=%.0f target_ms=5000 "
          "platform_calls_per_change=%.1f platform_writes_per_change=%.1f "
          "idle_calls_per_s=%.2f changes=%d" % (
              max(times), statistics.median(times),
              (after[0] - before[0] - idle * elapsed) / CHANGES,
              (after[1] - before[1]) / CHANGES, idle, CHANGES))


if __name__ == "__main__":
    main()
