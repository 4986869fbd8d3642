"""Loss of one of four entries, then of one backend data centre, under load.

One entry is killed with SIGKILL; later every proxy in front of the backend
servers of one data centre cuts its connections. Only failures that callers
observe count.
"""

import os
import tempfile
import time

from bench_common import Load, options, print_summary
from bench_overload import read_seconds, safe_ratio, total
from cluster import Cluster, http

URGENT = "seal-ready"
SECOND_CLASS = "batch-match"
DEADLINES = {URGENT: 150, SECOND_CLASS: 200}
RATES = {URGENT: 200, SECOND_CLASS: 100}
LOST_CENTRE = "modica"
KILL_AT_S = 5
CUT_AT_S = 12
END_S = 20
RECOVERY_S = 3


def proxy_limits(cluster):
    """The connection limit in the document of the replicas behind each
    proxy."""
    return {"%s-%s" % (index.name, centre): index.connections
            for index in cluster.indexes
            for centre in cluster.spec["data_centres"]}


def connection_use(cluster):
    """Returns the largest number of connections of a replica, and the largest
    fraction of its limit that a replica reached."""
    limits = proxy_limits(cluster)
    peak, use = 0, 0.0
    for name, control in cluster.proxies.items():
        for pair in http("GET", "http://%s/pairs" % control).json()["pairs"]:
            peak = max(peak, pair["max_connections"])
            use = max(use, pair["max_connections"] / limits[name])
    return peak, use


def cut_connections(cluster):
    """Connections that the cut proxies reset or refused."""
    total_cut = 0
    for name, control in cluster.proxies.items():
        if name.endswith("-" + LOST_CENTRE):
            pairs = http("GET", "http://%s/pairs" % control).json()["pairs"]
            total_cut += sum(pair["reset"] + pair["refused"] for pair in pairs)
    return total_cut


# Cuts all connections to the backend servers of LOST_CENTRE.
def cut_centre(cluster):
    for name, control in cluster.proxies.items():
        if name.endswith("-" + LOST_CENTRE):
            reply = http("POST", "http://%s/pairs/all" % control,
                         {"cut": True})
            assert reply.status == 200, reply.text


def sleep_until(start, second):
    time.sleep(max(0.0, start + second - time.monotonic()))


def phase(rows, first, last):
    """Figures of the requests that arrived from second `first` up to `last`."""
    selected = [row for row in rows if first <= int(row["second"]) < last]
    sent = total(selected, "sent")
    return {
        "sent": sent,
        "failed": sum(total(selected, key) for key in ("failed", "timed_out")),
        "refused": total(selected, "refused"),
        "partial": total(selected, "partial"),
        "connection_errors": total(selected, "failed_connections"),
        "in_time": safe_ratio(total(selected, "in_time"), sent),
    }


def worst_p99(rows, class_name, first, last):
    return max(float(row["p99_ms"]) for row in rows
               if row["class"] == class_name and
               first <= int(row["second"]) < last)


def run(seed, directory):
    path = os.path.join(directory, "loss.csv")
    with Cluster("sicilia-sud", seed=seed, proxied=True) as cluster:
        tenants = {URGENT: "packing-lines", SECOND_CLASS: "foremen"}
        load = Load(cluster, [(name, tenants[name], rate)
                              for name, rate in RATES.items()],
                    DEADLINES, END_S, warm_up=0, seed=seed, csv=path)
        start = time.monotonic()
        victim = cluster.entries[1]
        sleep_until(start, KILL_AT_S)
        status = victim.status()["requests"]
        victim.process.kill()
        cluster.remove_vm(victim.name)
        sleep_until(start, CUT_AT_S)
        cut_centre(cluster)
        found = load.result()
        rows = read_seconds(path)
        peak, use = connection_use(cluster)
        ended = cut_connections(cluster)
    before = phase(rows, 1, KILL_AT_S - 1)
    killed = phase(rows, KILL_AT_S - 1, CUT_AT_S - 1)
    cut = phase(rows, CUT_AT_S - 1, END_S)
    figures = {"in_flight_at_kill": status["running"] + status["queued"],
               "max_connections": peak, "connection_limit_use": use,
               "cut_connections": ended,
               "invalid": float(found["total"]["valid"] != "yes")}
    for name, phase_figures in (
            ("before", before), ("killed", killed), ("cut", cut)):
        for key, value in phase_figures.items():
            figures[name + "_" + key] = value
    for name in RATES:
        for phase_name, first, last in (
                ("before", 1, KILL_AT_S - 1),
                ("after_kill", KILL_AT_S + RECOVERY_S, CUT_AT_S - 1),
                ("after_cut", CUT_AT_S + RECOVERY_S, END_S)):
            figures["%s_%s_p99_ms" % (name.replace("-", "_"), phase_name)] = (
                worst_p99(rows, name, first, last))
    return figures


def find_missed(figures):
    missed = []
    # Requests that had not reached the entry are not in its count.
    if any(failed > max(5, 2 * in_flight) for failed, in_flight in zip(
            figures["killed_failed"], figures["in_flight_at_kill"])):
        missed.append("failures")
    if max(figures["cut_failed"]) > 0:
        missed.append("failures_at_cut")
    for name, deadline in DEADLINES.items():
        for phase_name in ("after_kill", "after_cut"):
            key = "%s_%s_p99_ms" % (name.replace("-", "_"), phase_name)
            if max(figures[key]) > deadline:
                missed.append(key)
    if min(figures["cut_connections"]) == 0:
        missed.append("cut_without_effect")
    if max(figures["connection_limit_use"]) > 1:
        missed.append("connections")
    if max(figures["invalid"]) > 0:
        missed.append("valid_load")
    return missed


def main():
    arguments = options(__doc__).parse_args()
    figures = {}
    with tempfile.TemporaryDirectory() as directory:
        for number in range(arguments.runs):
            for key, value in run(arguments.seed + number, directory).items():
                figures.setdefault(key, []).append(value)
    print_summary("loss", arguments.seed, arguments.runs,
                  find_missed(figures), figures)


if __name__ == "__main__":
    main()
