#!/usr/bin/env python3
"""Works the tables of docs/capacity-entry.md out from the measured slopes.

--write puts the tables between the markers of the page, --check fails when
the page differs from what the CSV files under docs/data give.
"""

import argparse
import collections
import csv
import difflib
import glob
import heapq
import json
import math
import os
import random
import re
import statistics
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PAGE = os.path.join(ROOT, "docs", "capacity-entry.md")
DATA = os.path.join(ROOT, "docs", "data", "slopes_*.csv")

# The size to design for, docs/design.md section 3.
NODES = 3400
REPLICAS = 24000
REGIONS = 5
DATA_CENTRES = 11
QUERIES = 470000
WIDTH = 640
TARGET_MS = 86
CHANGES_A_DAY = 8200
RESTARTS_A_DAY = 10000
FAILURES_A_DAY = 38
CORE_SHARE = 0.028
BYTES_A_SECOND = 15000
MEMORY = 256e6
DAY = 86400
# Limits of a replica and of the platform, sections 1 and 4.
CONNECTIONS = 40
PLATFORM_READS = 2000
PLATFORM_WRITES = 300
# Constants of the code: lib/edge/gossip.cc, lib/state/peer_table.h,
# lib/edge/backend_pool.cc, lib/state/document_tracker.cc.
DIGEST_RECORDS = 64
GOSSIP_TARGETS = 3
GOSSIP_PERIOD_S = 0.25
STATUS_PERIOD_S = 0.5
REREAD_PERIOD_S = 30
WATCHERS = 2
TICKS_A_SECOND = 100
# Late ones at the quantile of lib/routing/hedge_policy.cc.
HEDGE_WANTED = 0.05
ORDER_BUCKETS = 16
ORDER_EPOCH_S = 120


class Fit:
    """A least-squares line through the medians at each x."""

    def __init__(self, cost, points):
        self.cost = cost
        self.points = points
        xs = [x for x, _ in points]
        ys = [y for _, y in points]
        mean_x, mean_y = statistics.fmean(xs), statistics.fmean(ys)
        spread = sum((x - mean_x) ** 2 for x in xs)
        product = sum((x - mean_x) * (y - mean_y) for x, y in points)
        self.slope = product / spread if spread else 0.0
        self.base = mean_y - self.slope * mean_x
        errors = [y - self.at(x) for x, y in points]
        self.residual = math.sqrt(statistics.fmean(e * e for e in errors))
        self.share = self.residual / max(ys) if max(ys) else 0.0

    def at(self, x):
        return self.base + self.slope * x

    def __str__(self):
        return "%s slope=%.4g base=%.4g residual=%.3g (%.1f%% of the " \
            "largest) points=%s" % (
                self.cost, self.slope, self.base, self.residual,
                100 * self.share,
                " ".join("%g:%.4g" % point for point in self.points))


def read_rows(paths):
    rows = []
    for path in paths:
        with open(path, encoding="utf-8") as file:
            lines = [line for line in file if not line.startswith("#")]
        for row in csv.DictReader(lines):
            rows.append((row["cost"], float(row["x"]), float(row["y"])))
    return rows


def fit_all(rows):
    values = collections.defaultdict(lambda: collections.defaultdict(list))
    for cost, x, y in rows:
        values[cost][x].append(y)
    return {cost: Fit(cost, sorted((x, statistics.median(ys))
                                   for x, ys in by_x.items()))
            for cost, by_x in values.items()}


def number(value):
    """A figure with three significant digits."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        digits = max(0, 2 - int(math.floor(math.log10(abs(value)))))
        rounded = round(value, 2 - int(math.floor(math.log10(abs(value)))))
        return "{:,.{}f}".format(rounded, digits)
    return "%.3g" % value


def percent(value):
    return number(100 * value) + "%"


def table(header, rows):
    lines = ["| " + " | ".join(header) + " |",
             "|" + "---|" * len(header)]
    lines += ["| " + " | ".join(str(cell) for cell in row) + " |"
              for row in rows]
    return "\n".join(lines)


UNITS = {"us": "us", "bytes": "bytes", "share": "share", "calls": "calls"}


def unit_of(cost):
    words = cost.split("_")
    return next((UNITS[word] for word in words if word in UNITS), "calls")


def slope_table(fits):
    rows = []
    for cost, fit in fits.items():
        rows.append((
            "`%s`" % cost, unit_of(cost),
            ", ".join("%s: %s" % (number(x), number(y))
                      for x, y in fit.points),
            number(fit.slope), number(fit.base),
            "%s (%s)" % (number(fit.residual), percent(fit.share))))
    return table(("cost", "unit", "median at each x", "slope per x", "at x = 0",
                  "residual (of the largest)"), rows)


class Sums:
    """What the slopes give at the design size."""

    def __init__(self, fits):
        self.fits = fits
        self.sub_requests = QUERIES * WIDTH
        self.per_node = self.sub_requests / NODES
        self.per_replica = self.sub_requests / REPLICAS
        self.queries_per_node = QUERIES / NODES
        # Microseconds for each sub-request: all of the entry, and its core.
        self.call_us = fits["entry_request_us_by_shards"].slope
        self.core_us = fits["engine_request_us_by_shards"].slope
        self.request_us = max(0, fits["entry_request_us_by_shards"].base)
        self.poll_us = \
            fits["entry_idle_us_per_s_by_replicas"].slope * STATUS_PERIOD_S
        self.replica_bytes = fits["entry_rss_bytes_by_replicas"].slope
        self.slots = CONNECTIONS // 2
        self.per_shard = REPLICAS / WIDTH

    def cost(self, name, x):
        """The measured median at x, or the line where x was not measured."""
        fit = self.fits[name]
        return dict(fit.points).get(x, fit.at(x))

    def gossip(self):
        """Bytes and microseconds a second of one node, as the code stands.

        A node starts rounds with 3 targets and is on average the target of
        3 others, so it sends and takes 6 digests in each period.
        """
        digests = 2 * GOSSIP_TARGETS / GOSSIP_PERIOD_S
        rounds = 1 / GOSSIP_PERIOD_S
        made = rounds + GOSSIP_TARGETS / GOSSIP_PERIOD_S
        # Digests that bring only heartbeats wait for the next round.
        changed = rounds
        return {
            "sent": digests * self.cost("gossip_digest_bytes", NODES),
            "make": made * self.cost("gossip_make_digest_us", NODES),
            "take": digests * self.cost("gossip_take_digest_us", NODES),
            "targets": rounds * self.cost("gossip_choose_targets_us", NODES),
            "changed": changed * self.cost("gossip_peers_changed_us", NODES),
            "timer": TICKS_A_SECOND * self.cost("tracker_timer_us", NODES),
        }

    def tree(self, shards_in_group, window_s=0.002):
        """Calls and cores of a node in a two-level tree."""
        groups = WIDTH / shards_in_group
        members = NODES / groups
        queries = QUERIES / members
        out = self.queries_per_node * groups
        batches = min(shards_in_group / window_s, queries * shards_in_group)
        calls = out + queries + batches
        wire = self.call_us - self.core_us
        cores = (calls * wire + (self.per_node + out) * self.core_us +
                 self.queries_per_node * self.request_us) / 1e6
        held = min(self.per_shard,
                   self.per_shard * self.slots / members)
        return {"groups": groups, "members": members, "out": out,
                "queries": queries, "batches": batches,
                "size": queries * shards_in_group / batches, "calls": calls,
                "cores": cores, "held": held,
                "connections": held * shards_in_group}


def query_table(sums):
    flat = sums.per_node * sums.call_us / 1e6 + \
        sums.queries_per_node * sums.request_us / 1e6
    core = sums.per_node * sums.core_us / 1e6
    return table(("figure", "value"), (
        ("sub-requests/s in all", number(sums.sub_requests)),
        ("queries/s for each node", number(sums.queries_per_node)),
        ("sub-requests/s for each node", number(sums.per_node)),
        ("sub-requests/s for each replica", number(sums.per_replica)),
        ("entry CPU for each sub-request, gRPC included",
         number(sums.call_us) + " us"),
        ("of this in the core (`QueryEngine`)", number(sums.core_us) + " us"),
        ("entry CPU for each query besides",
         number(sums.request_us) + " us"),
        ("cores a node, flat fan-out", number(flat)),
        ("of these in the core", number(core)),
        ("CPU for each sub-request that one core would allow",
         number(1e6 / sums.per_node) + " us"),
        ("factor to save for one core", number(flat))))


def tree_table(sums):
    rows = []
    for shards in (5, 10, 20, 40, 80):
        t = sums.tree(shards)
        rows.append((shards, number(t["groups"]), number(t["members"]),
                     number(t["queries"]), number(t["out"]),
                     number(t["batches"]), number(t["size"]),
                     number(t["calls"]), number(t["cores"])))
    return table(("shards in a group", "groups", "nodes in a group",
                  "group queries/s a node takes", "calls/s to group nodes",
                  "batches/s to replicas", "sub-requests in a batch",
                  "calls/s in all", "cores a node"), rows)


def connection_table(sums):
    places = REPLICAS * sums.slots
    rows = [
        ("connection slots of a replica (`SlotCapacity`)", sums.slots),
        ("connections in all", number(places)),
        ("connections for each node", number(places / NODES)),
        ("nodes that could reach all %d shards once" % WIDTH,
         number(places / WIDTH)),
        ("replicas of each shard in all", number(sums.per_shard)),
        ("in a region", number(sums.per_shard / REGIONS)),
        ("in a data centre", number(sums.per_shard / DATA_CENTRES))]
    for shards in (10, 20, 40):
        t = sums.tree(shards)
        rows.append(("groups of %d shards: replicas of a shard that a node "
                     "holds, nodes of the group in a data centre" % shards,
                     "%s, %s" % (number(t["held"]),
                                 number(t["members"] / DATA_CENTRES))))
    polls = sums.tree(20)["connections"] / STATUS_PERIOD_S
    rows += [
        ("CPU of a status poll", number(sums.poll_us) + " us"),
        ("polls/s of a node that knows all replicas",
         number(REPLICAS / STATUS_PERIOD_S)),
        ("cores for them",
         number(REPLICAS / STATUS_PERIOD_S * sums.poll_us / 1e6)),
        ("polls/s of a node in a group of 20 shards", number(polls)),
        ("share of a core for them", percent(polls * sums.poll_us / 1e6)),
        ("memory for each connected replica",
         number(sums.replica_bytes / 1000) + " KB"),
        ("memory for all replicas, MB",
         number(REPLICAS * sums.replica_bytes / 1e6)),
        ("memory for a group's replicas, MB",
         number(sums.tree(20)["connections"] * sums.replica_bytes / 1e6))]
    return table(("figure", "value"), rows)


def tail_table(sums):
    rows = []
    granted = dict(sums.fits["hedged_share_by_shards"].points)
    for width in (640, 160, 40, 20):
        miss = 1 - 0.99 ** (1 / width)
        # An attempt misses with share q, and r of the late ones get no hedge:
        # miss = q * ((1 - r) * q + r).
        r = 1 - granted[width] / HEDGE_WANTED
        q = (-r + math.sqrt(r * r + 4 * (1 - r) * miss)) / (2 * (1 - r))
        rows.append((width, percent(miss), "1 in " + number(1 / miss),
                     percent(math.sqrt(miss)), percent(granted[width]),
                     percent(q)))
    return table(("leaf replies in an answer", "share that may miss 86 ms",
                  "that is", "miss share of each attempt, when each late one "
                  "is hedged", "sub-requests hedged, simulated",
                  "miss share of each attempt with these"), rows)


def gossip_table(sums):
    g = sums.gossip()
    cpu = g["make"] + g["take"] + g["targets"] + g["changed"] + g["timer"]
    exchange = sums.fits["entry_idle_us_per_s_by_exchanges"].slope
    digests = 2 * GOSSIP_TARGETS / GOSSIP_PERIOD_S
    small = dict(sums.fits["gossip_digest_bytes"].points)
    per_record = (small[50] - small[4]) / 46
    ratio = NODES / DIGEST_RECORDS
    compact = NODES * 8 / BYTES_A_SECOND
    return table(("figure", "value", "limit"), (
        ("digest", number(sums.cost("gossip_digest_bytes", NODES)) + " bytes",
         ""),
        ("bytes/s sent, and as many received", number(g["sent"]),
         number(BYTES_A_SECOND)),
        ("entries up to which this fits", number(math.floor(
            (BYTES_A_SECOND / digests - small[4]) / per_record + 4)), ""),
        ("CPU: making digests", percent(g["make"] / 1e6), ""),
        ("taking digests", percent(g["take"] / 1e6), ""),
        ("choosing targets", percent(g["targets"] / 1e6), ""),
        ("`DocumentTracker::SetPeers` after a change",
         percent(g["changed"] / 1e6), ""),
        ("`DocumentTracker::NextTimer` each tick", percent(g["timer"] / 1e6),
         ""),
        ("CPU in all, without gRPC", percent(cpu / 1e6), percent(CORE_SHARE)),
        ("CPU of an exchange through gRPC, small tables",
         number(exchange) + " us", ""),
        ("CPU in all, with gRPC", percent((cpu + digests * exchange) / 1e6),
         percent(CORE_SHARE)),
        ("memory of the table, MB",
         number(sums.cost("peer_table_bytes", NODES) / 1e6),
         number(MEMORY / 1e6)),
        ("peers to a record in a digest", number(ratio), ""),
        ("live peers taken for suspected, about",
         percent(sums.cost("gossip_false_suspected_share", 50)), "0"),
        ("live peers taken for dead, about",
         percent(sums.cost("gossip_false_dead_share", 50)), "0"),
        ("time to send every heartbeat once, as 8 bytes each",
         number(compact) + " s", "1.5 s")))


def spread_seconds(seed, one_way):
    """Simulates how a revision spreads from the watchers by rounds.

    A node that accepts it starts a round at once (EntryCore::OnDocument) and
    then one each period; a target that is behind fetches from the sender.
    """
    rng = random.Random(seed)
    known = [math.inf] * NODES
    events = [(0.0, node) for node in range(WATCHERS)]
    while events:
        at, node = heapq.heappop(events)
        if known[node] <= at:
            continue
        known[node] = at
        phase = rng.random() * GOSSIP_PERIOD_S
        for start in [at] + [at + phase + GOSSIP_PERIOD_S * n
                             for n in range(20)]:
            for _ in range(GOSSIP_TARGETS):
                target = rng.randrange(NODES)
                # The digest goes one way, the fetch there and back.
                arrival = start + 3 * one_way
                if arrival < known[target]:
                    heapq.heappush(events, (arrival, target))
    return sorted(known)


def change_table(sums):
    rows = []
    per_second = CHANGES_A_DAY / DAY
    for one_way in (0.002, 0.05, 0.1):
        times = spread_seconds(20261204, one_way)
        rows.append(("spread from %d watchers, %s ms one way: half, 99%%, "
                     "all" % (WATCHERS, number(1000 * one_way)),
                     ", ".join(number(t) + " s" for t in (
                         times[NODES // 2], times[int(NODES * 0.99)],
                         times[-1])), "5 s"))
    for indexes in (16, 64, 256):
        size = sums.cost("document_bytes", indexes)
        rows.append(("bytes/s in each direction, document of %d indexes" %
                     indexes, number(size * per_second),
                     number(BYTES_A_SECOND)))
    parse = sums.cost("document_parse_us", 256) + \
        sums.cost("document_apply_us", 256)
    rows += [("CPU to parse and apply 256 indexes",
              percent(parse * per_second / 1e6), percent(CORE_SHARE)),
             ("platform writes for each change, measured",
              number(sums.fits["platform_put_per_change"].at(12)), ""),
             ("platform writes/s",
              number(per_second *
                     sums.fits["platform_put_per_change"].at(12)),
              number(PLATFORM_WRITES))]
    return table(("figure", "value", "limit"), rows)


def vm_record_bytes():
    return len(json.dumps({
        "id": "parts-ragusa-a-12000", "role": "backend_server",
        "state": "live", "address": "10.1.48.200:7000",
        "data_centre": "ragusa-a", "index": "parts"})) + 1


def platform_table():
    list_bytes = (NODES + REPLICAS) * vm_record_bytes()
    versions = 3 * RESTARTS_A_DAY / DAY
    watchers = 2 * DATA_CENTRES
    interval = list_bytes / (BYTES_A_SECOND / 2)
    joins = 2 * RESTARTS_A_DAY * NODES / (NODES + REPLICAS) / DAY
    return table(("calls", "as the code stands", "redesign", "limit"), (
        ("watches waiting on the document", WATCHERS, watchers,
         number(PLATFORM_READS)),
        ("watches waiting on the VM list", number(NODES), "0",
         number(PLATFORM_READS)),
        ("VM list replies/s from %s list versions/s" % number(versions),
         number(versions * NODES), number(watchers / interval),
         number(PLATFORM_READS)),
        ("bytes/s of these for each reader", number(versions * list_bytes),
         number(list_bytes / interval), number(BYTES_A_SECOND)),
        ("re-reads of the document/s", number(NODES / REREAD_PERIOD_S),
         number(NODES / REREAD_PERIOD_S), number(PLATFORM_READS)),
        ("reads of expired order objects/s", number(
            NODES * ORDER_BUCKETS / ORDER_EPOCH_S),
         number(ORDER_BUCKETS / ORDER_EPOCH_S), number(PLATFORM_READS)),
        ("connection slot writes/s", number(joins), number(joins),
         number(PLATFORM_WRITES)),
        ("VM list size, MB; one reader's interval, s; interval between any "
         "two reads, s", number(list_bytes / 1e6), "%s; %s" % (
             number(interval), number(interval / watchers)), "")))


def order_table(sums):
    limit = sums.fits["order_object_limit"].points[0][1]
    claim = sums.fits["order_object_bytes"].slope
    return table(("figure", "value"), (
        ("bytes for each claim", number(claim)),
        ("claims in an object (`kMaxObjectBytes`)", number(limit)),
        ("orders/s of a team (%d objects in %d s)" % (ORDER_BUCKETS,
                                                     ORDER_EPOCH_S),
         number(ORDER_BUCKETS * limit / ORDER_EPOCH_S)),
        ("CPU for each claim, batched",
         number(sums.fits["order_batch_us"].slope) + " us"),
        ("CPU for a claim written alone, for each claim in the object",
         number(sums.fits["order_single_us_by_claims_in_object"].slope) +
         " us"),
        ("nodes that write to the same object", number(NODES / ORDER_BUCKETS))))


def herd_table():
    cold = NODES / DATA_CENTRES
    return table(("event", "calls", "limit"), (
        ("platform away, VM list retried every 0.5 s by all nodes",
         number(NODES / 0.5) + "/s", number(PLATFORM_READS) + "/s"),
        ("the same, retried after 4 to 6 s", number(NODES / 5) + "/s",
         number(PLATFORM_READS) + "/s"),
        ("document read after an outage, backoff at most 1 to 2 s",
         number(NODES / 1.5) + "/s", number(PLATFORM_READS) + "/s"),
        ("a data centre starts: `FetchDocument` calls to every peer",
         number(cold * NODES), ""),
        ("the same with 16 random serving peers", number(cold * 16), ""),
        ("its unready nodes' reads", number(cold) + "/s",
         number(PLATFORM_READS) + "/s"),
        ("its connection slot writes", number(cold), "")))


def role_table(sums):
    t = sums.tree(20)
    front = t["out"] * sums.call_us + sums.queries_per_node * sums.request_us
    fan_out = 1e6 * t["cores"] - front
    g = sums.gossip()
    digests = 2 * GOSSIP_TARGETS / GOSSIP_PERIOD_S
    gossip = sum(g[k] for k in ("make", "take", "targets", "changed",
                                "timer")) + digests * \
        sums.fits["entry_idle_us_per_s_by_exchanges"].slope
    changes = CHANGES_A_DAY / DAY
    polls = t["connections"] / STATUS_PERIOD_S
    return table(("role", "state", "messages/s", "processor time", "memory",
                  "mechanism"), (
        ("caller front end, for each node",
         number(sums.queries_per_node * TARGET_MS / 1000) + " queries running",
         "%s queries, %s calls to group nodes" % (
             number(sums.queries_per_node), number(t["out"])),
         percent(front / 1e6) + " of a core", "not measured",
         "`CallerServer`, `QueryEngine`"),
        ("fan-out node, groups of 20",
         number(t["connections"]) + " replicas",
         "%s calls taken, %s batches, %s polls" % (
             number(t["queries"]), number(t["batches"]), number(polls)),
         "%s of a core, polls %s" % (percent(fan_out / 1e6),
                                     percent(polls * sums.poll_us / 1e6)),
         number(t["connections"] * sums.replica_bytes / 1e6) + " MB",
         "`Fanout`, `BackendClient`, `BackendPool`, `ReplicaTable`"),
        ("gossip member, as the code stands", number(NODES) + " records",
         "%s digests of %s KB" % (number(digests), number(
             sums.cost("gossip_digest_bytes", NODES) / 1000)),
         percent(gossip / 1e6) + " of a core",
         number(sums.cost("peer_table_bytes", NODES) / 1e6) + " MB",
         "`Gossip`, `PeerTable`, `DocumentTracker`"),
        ("watcher", "one document", "%s watch calls, %s reads" % (
            number(sums.fits["platform_watch_per_change"].at(12) * changes /
                   WATCHERS),
            number(1 / REREAD_PERIOD_S)),
         percent(changes * sums.cost("document_parse_us", 256) / 1e6) +
         " of a core", number(sums.cost("document_bytes", 256) / 1e6) + " MB",
         "`DocumentTracker`"),
        ("operator API, all nodes", "documents on the platform",
         number(changes) + " changes", "not measured", "not measured",
         "`OperatorServer`, `DocumentPublisher`"),
        ("all control of a node (limits: %s of a core, %s MB)" % (
            percent(CORE_SHARE), number(MEMORY / 1e6)), "",
         "%s KB sent for gossip and 256 indexes" % number(
             (g["sent"] + changes * sums.cost("document_bytes", 256)) / 1000),
         percent((sums.fits["entry_idle_us_per_s_by_exchanges"].base + gossip +
                  polls * sums.poll_us) / 1e6) + " of a core",
         number((sums.fits["entry_rss_bytes_by_replicas"].base +
                 t["connections"] * sums.replica_bytes +
                 sums.cost("peer_table_bytes", NODES)) / 1e6) + " MB",
         "the rows above and an idle entry"),
        ("platform", "documents, slots, claims",
         "%s writes for changes; section 8" % number(
             changes * sums.fits["platform_put_per_change"].at(12)),
         "not ours", "not ours", "`PlatformClient`"),
        ("backend server", "%d connections of %d" % (sums.slots, CONNECTIONS),
         "%s sub-requests in %s batches, %s polls" % (
             number(sums.per_replica),
             number(t["batches"] * NODES / REPLICAS),
             number(sums.slots / STATUS_PERIOD_S)),
         "not ours", "not ours", "`Backend.Execute`, `Backend.Status`")))


def tables(fits):
    sums = Sums(fits)
    return {"slopes": slope_table(fits), "query": query_table(sums),
            "tree": tree_table(sums), "tail": tail_table(sums),
            "connections": connection_table(sums),
            "gossip": gossip_table(sums), "changes": change_table(sums),
            "platform": platform_table(), "orders": order_table(sums),
            "herds": herd_table(), "roles": role_table(sums)}


BLOCK = re.compile(r"(<!-- table: (\w+) -->\n)(.*?)(<!-- end -->)", re.DOTALL)


def render(page, made):
    used = [match.group(2) for match in BLOCK.finditer(page)]
    if sorted(used) != sorted(made):
        raise SystemExit("the page must hold each table once: %s" %
                         ", ".join(sorted(set(made) ^ set(used)) or used))
    return BLOCK.sub(lambda m: m.group(1) + made[m.group(2)] + "\n" +
                     m.group(4), page)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    group = parser.add_mutually_exclusive_group(required=True)
    group.add_argument("--write", action="store_true")
    group.add_argument("--check", action="store_true")
    parser.add_argument("--page", default=PAGE)
    parser.add_argument("--data", default=DATA)
    options = parser.parse_args()
    with open(options.page, encoding="utf-8") as file:
        page = file.read()
    fits = fit_all(read_rows(sorted(glob.glob(options.data))))
    wanted = render(page, tables(fits))
    if options.write:
        with open(options.page, "w", encoding="utf-8") as file:
            file.write(wanted)
        return 0
    differences = [line for line in difflib.unified_diff(
        page.splitlines(), wanted.splitlines(), "page", "from the data",
        lineterm="", n=0)]
    if differences:
        print("\n".join(differences))
        print("docs/CAPACITY.md differs from docs/data; run "
              "utils/capacity.py --write")
        return 1
    print("capacity page matches the data: %d costs" % len(fits))
    return 0


if __name__ == "__main__":
    sys.exit(main())
