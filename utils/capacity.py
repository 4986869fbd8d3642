#!/usr/bin/env python3
"""Generates the tables of docs/capacity-entry.md from the measured slopes.

--write replaces the tables between the markers of the page. --check fails when
the page differs from the tables computed from the CSV files under docs/data.
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

# The design size and limits per node, docs/design.md section 3.
NODES = 3400
REPLICAS = 24000
REGIONS = 5
DATA_CENTRES = 11
QUERIES_PER_S = 470000
SHARDS_PER_QUERY = 640
LATENCY_OBJECTIVE_MS = 86
CHANGES_PER_DAY = 8200
RESTARTS_PER_DAY = 10000
FAILURES_PER_DAY = 38
MAX_CONTROL_CORES = 0.028
MAX_BYTES_PER_S = 15000
MAX_MEMORY_BYTES = 256e6
SECONDS_PER_DAY = 86400
# Limits of a replica and of the platform, sections 1 and 4.
MAX_CONNECTIONS = 40
MAX_PLATFORM_READS_PER_S = 2000
MAX_PLATFORM_WRITES_PER_S = 300
# Copies of constants in lib/edge/gossip.cc, lib/state/peer_table.h,
# lib/edge/backend_pool.cc and lib/state/document_tracker.cc. The test
# unittests/capacity/capacity_page_test.py fails when they differ.
DIGEST_RECORDS = 64
GOSSIP_TARGETS = 3
GOSSIP_PERIOD_S = 0.25
STATUS_PERIOD_S = 0.5
REREAD_PERIOD_S = 30
WATCHERS = 2
TICKS_PER_S = 100
# Fraction of attempts slower than kFullQuantile of lib/routing/hedge_policy.cc,
# the latency at which a hedge is sent while the hedge budget is full.
HEDGE_FRACTION = 0.05
ORDER_BUCKETS = 16
ORDER_EPOCH_S = 120


class Fit:
    """A least-squares line through the median costs at each x."""

    def __init__(self, cost, points):
        self.cost = cost
        self.points = points
        xs = [x for x, _ in points]
        ys = [y for _, y in points]
        mean_x, mean_y = statistics.fmean(xs), statistics.fmean(ys)
        sum_squares_x = sum((x - mean_x) ** 2 for x in xs)
        sum_products = sum((x - mean_x) * (y - mean_y) for x, y in points)
        self.slope = sum_products / sum_squares_x if sum_squares_x else 0.0
        self.intercept = mean_y - self.slope * mean_x
        errors = [y - self.value_at(x) for x, y in points]
        self.residual = math.sqrt(statistics.fmean(e * e for e in errors))
        self.relative_residual = self.residual / max(ys) if max(ys) else 0.0

    def value_at(self, x):
        return self.intercept + self.slope * x

    def __str__(self):
        return "%s slope=%.4g base=%.4g residual=%.3g (%.1f%% of the " \
            "largest) points=%s" % (
                self.cost, self.slope, self.intercept, self.residual,
                100 * self.relative_residual,
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
    """Formats a figure with three significant digits."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        digits = max(0, 2 - int(math.floor(math.log10(abs(value)))))
        rounded = round(value, 2 - int(math.floor(math.log10(abs(value)))))
        return "{:,.{}f}".format(rounded, digits)
    return "%.3g" % value


def percent(value):
    return number(100 * value) + "%"


def markdown_table(header, rows):
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
            number(fit.slope), number(fit.intercept),
            "%s (%s)" % (number(fit.residual),
                         percent(fit.relative_residual))))
    return markdown_table(
        ("cost", "unit", "median at each x", "slope per x", "at x = 0",
         "residual (of the largest)"), rows)


class DesignCosts:
    """Costs at the design size, computed from the slopes."""

    def __init__(self, fits):
        self.fits = fits
        self.sub_requests = QUERIES_PER_S * SHARDS_PER_QUERY
        self.sub_requests_per_node = self.sub_requests / NODES
        self.sub_requests_per_replica = self.sub_requests / REPLICAS
        self.queries_per_node = QUERIES_PER_S / NODES
        # CPU time of a sub-request: in the whole entry process, gRPC included,
        # and in QueryEngine alone.
        self.sub_request_us = fits["entry_request_us_by_shards"].slope
        self.core_sub_request_us = fits["engine_request_us_by_shards"].slope
        self.request_us = max(0, fits["entry_request_us_by_shards"].intercept)
        self.status_poll_us = \
            fits["entry_idle_us_per_s_by_replicas"].slope * STATUS_PERIOD_S
        self.bytes_per_replica = fits["entry_rss_bytes_by_replicas"].slope
        self.slots_per_replica = MAX_CONNECTIONS // 2
        self.replicas_per_shard = REPLICAS / SHARDS_PER_QUERY

    def cost(self, name, x):
        """The median at x, or the fitted value when x was not measured."""
        fit = self.fits[name]
        return dict(fit.points).get(x, fit.value_at(x))

    def gossip(self):
        """Bytes and microseconds per second that gossip costs one node.

        In each period a node starts a round with 3 targets and is on average
        the target of 3 other nodes, so it sends 6 digests and applies 6.
        """
        digests = 2 * GOSSIP_TARGETS / GOSSIP_PERIOD_S
        rounds = 1 / GOSSIP_PERIOD_S
        rounds_and_replies = rounds + GOSSIP_TARGETS / GOSSIP_PERIOD_S
        # A digest that changes only heartbeats does not update the
        # DocumentTracker before the next round.
        peer_updates = rounds
        return {
            "sent": digests * self.cost("gossip_digest_bytes", NODES),
            "make": rounds_and_replies *
                    self.cost("gossip_make_digest_us", NODES),
            "take": digests * self.cost("gossip_take_digest_us", NODES),
            "targets": rounds * self.cost("gossip_choose_targets_us", NODES),
            "changed": peer_updates *
                       self.cost("gossip_peers_changed_us", NODES),
            "timer": TICKS_PER_S * self.cost("tracker_timer_us", NODES),
        }

    def tree(self, shards_in_group, window_s=0.002):
        """Calls per second and cores of a node in a two-level fan-out tree.

        The nodes are divided into groups, each of which serves
        `shards_in_group` shards. The node that receives a query calls one
        node of each group, which collects the sub-requests to a shard for
        `window_s` seconds and sends them as one batch.
        """
        groups = SHARDS_PER_QUERY / shards_in_group
        members = NODES / groups
        queries_per_member = QUERIES_PER_S / members
        calls_to_groups = self.queries_per_node * groups
        batches = min(shards_in_group / window_s,
                      queries_per_member * shards_in_group)
        calls = calls_to_groups + queries_per_member + batches
        transport_us = self.sub_request_us - self.core_sub_request_us
        cores = (calls * transport_us +
                 (self.sub_requests_per_node + calls_to_groups) *
                 self.core_sub_request_us +
                 self.queries_per_node * self.request_us) / 1e6
        # Replicas of each shard of the group to which one node connects.
        replicas_held = min(
            self.replicas_per_shard,
            self.replicas_per_shard * self.slots_per_replica / members)
        return {"groups": groups, "members": members,
                "calls_to_groups": calls_to_groups,
                "queries": queries_per_member, "batches": batches,
                "batch_size": queries_per_member * shards_in_group / batches,
                "calls": calls, "cores": cores,
                "replicas_per_shard": replicas_held,
                "connections": replicas_held * shards_in_group}


def query_table(costs):
    flat_cores = costs.sub_requests_per_node * costs.sub_request_us / 1e6 + \
        costs.queries_per_node * costs.request_us / 1e6
    engine_cores = \
        costs.sub_requests_per_node * costs.core_sub_request_us / 1e6
    return markdown_table(("figure", "value"), (
        ("sub-requests/s in all", number(costs.sub_requests)),
        ("queries/s for each node", number(costs.queries_per_node)),
        ("sub-requests/s for each node", number(costs.sub_requests_per_node)),
        ("sub-requests/s for each replica",
         number(costs.sub_requests_per_replica)),
        ("entry CPU for each sub-request, gRPC included",
         number(costs.sub_request_us) + " us"),
        ("of this in the core (`QueryEngine`)",
         number(costs.core_sub_request_us) + " us"),
        ("entry CPU for each query besides",
         number(costs.request_us) + " us"),
        ("cores a node, flat fan-out", number(flat_cores)),
        ("of these in the core", number(engine_cores)),
        ("CPU for each sub-request that one core would allow",
         number(1e6 / costs.sub_requests_per_node) + " us"),
        ("factor to save for one core", number(flat_cores))))


def tree_table(costs):
    rows = []
    for shards in (5, 10, 20, 40, 80):
        figures = costs.tree(shards)
        rows.append((shards, number(figures["groups"]),
                     number(figures["members"]),
                     number(figures["queries"]),
                     number(figures["calls_to_groups"]),
                     number(figures["batches"]),
                     number(figures["batch_size"]),
                     number(figures["calls"]), number(figures["cores"])))
    return markdown_table(
        ("shards in a group", "groups", "nodes in a group",
         "group queries/s a node takes", "calls/s to group nodes",
         "batches/s to replicas", "sub-requests in a batch",
         "calls/s in all", "cores a node"), rows)


def connection_table(costs):
    total_slots = REPLICAS * costs.slots_per_replica
    rows = [
        ("connection slots of a replica (`SlotCapacity`)",
         costs.slots_per_replica),
        ("connections in all", number(total_slots)),
        ("connections for each node", number(total_slots / NODES)),
        ("nodes that could reach all %d shards once" % SHARDS_PER_QUERY,
         number(total_slots / SHARDS_PER_QUERY)),
        ("replicas of each shard in all", number(costs.replicas_per_shard)),
        ("in a region", number(costs.replicas_per_shard / REGIONS)),
        ("in a data centre", number(costs.replicas_per_shard / DATA_CENTRES))]
    for shards in (10, 20, 40):
        figures = costs.tree(shards)
        rows.append(("groups of %d shards: replicas of a shard that a node "
                     "holds, nodes of the group in a data centre" % shards,
                     "%s, %s" % (number(figures["replicas_per_shard"]),
                                 number(figures["members"] / DATA_CENTRES))))
    polls = costs.tree(20)["connections"] / STATUS_PERIOD_S
    rows += [
        ("CPU of a status poll", number(costs.status_poll_us) + " us"),
        ("polls/s of a node that knows all replicas",
         number(REPLICAS / STATUS_PERIOD_S)),
        ("cores for them",
         number(REPLICAS / STATUS_PERIOD_S * costs.status_poll_us / 1e6)),
        ("polls/s of a node in a group of 20 shards", number(polls)),
        ("share of a core for them",
         percent(polls * costs.status_poll_us / 1e6)),
        ("memory for each connected replica",
         number(costs.bytes_per_replica / 1000) + " KB"),
        ("memory for all replicas, MB",
         number(REPLICAS * costs.bytes_per_replica / 1e6)),
        ("memory for a group's replicas, MB",
         number(costs.tree(20)["connections"] * costs.bytes_per_replica /
                1e6))]
    return markdown_table(("figure", "value"), rows)


def tail_table(costs):
    rows = []
    hedged_fractions = dict(costs.fits["hedged_share_by_shards"].points)
    for width in (640, 160, 40, 20):
        max_late_fraction = 1 - 0.99 ** (1 / width)
        # q is the probability that an attempt misses the latency objective, r
        # the fraction of late attempts that the budget leaves without a hedge.
        # A sub-request is late when both its attempts are, or when its only
        # one is: max_late_fraction = q * ((1 - r) * q + r), solved for q.
        r = 1 - hedged_fractions[width] / HEDGE_FRACTION
        q = (-r + math.sqrt(r * r + 4 * (1 - r) * max_late_fraction)) / \
            (2 * (1 - r))
        rows.append((width, percent(max_late_fraction),
                     "1 in " + number(1 / max_late_fraction),
                     percent(math.sqrt(max_late_fraction)),
                     percent(hedged_fractions[width]),
                     percent(q)))
    return markdown_table(
        ("leaf replies in an answer", "share that may miss 86 ms",
         "that is", "miss share of each attempt, when each late one "
         "is hedged", "sub-requests hedged, simulated",
         "miss share of each attempt with these"), rows)


def gossip_table(costs):
    usage = costs.gossip()
    cpu_us = usage["make"] + usage["take"] + usage["targets"] + \
        usage["changed"] + usage["timer"]
    exchange_us = costs.fits["entry_idle_us_per_s_by_exchanges"].slope
    digests = 2 * GOSSIP_TARGETS / GOSSIP_PERIOD_S
    digest_bytes = dict(costs.fits["gossip_digest_bytes"].points)
    per_record = (digest_bytes[50] - digest_bytes[4]) / 46
    peers_per_record = NODES / DIGEST_RECORDS
    send_all_s = NODES * 8 / MAX_BYTES_PER_S
    return markdown_table(("figure", "value", "limit"), (
        ("digest", number(costs.cost("gossip_digest_bytes", NODES)) + " bytes",
         ""),
        ("bytes/s sent, and as many received", number(usage["sent"]),
         number(MAX_BYTES_PER_S)),
        ("entries up to which this fits", number(math.floor(
            (MAX_BYTES_PER_S / digests - digest_bytes[4]) / per_record + 4)),
         ""),
        ("CPU: making digests", percent(usage["make"] / 1e6), ""),
        ("taking digests", percent(usage["take"] / 1e6), ""),
        ("choosing targets", percent(usage["targets"] / 1e6), ""),
        ("`DocumentTracker::SetPeers` after a change",
         percent(usage["changed"] / 1e6), ""),
        ("`DocumentTracker::NextTimer` each tick",
         percent(usage["timer"] / 1e6), ""),
        ("CPU in all, without gRPC", percent(cpu_us / 1e6),
         percent(MAX_CONTROL_CORES)),
        ("CPU of an exchange through gRPC, small tables",
         number(exchange_us) + " us", ""),
        ("CPU in all, with gRPC",
         percent((cpu_us + digests * exchange_us) / 1e6),
         percent(MAX_CONTROL_CORES)),
        ("memory of the table, MB",
         number(costs.cost("peer_table_bytes", NODES) / 1e6),
         number(MAX_MEMORY_BYTES / 1e6)),
        ("peers to a record in a digest", number(peers_per_record), ""),
        ("live peers taken for suspected, about",
         percent(costs.cost("gossip_false_suspected_share", 50)), "0"),
        ("live peers taken for dead, about",
         percent(costs.cost("gossip_false_dead_share", 50)), "0"),
        ("time to send every heartbeat once, as 8 bytes each",
         number(send_all_s) + " s", "1.5 s")))


def spread_seconds(seed, one_way):
    """Simulates how gossip spreads a document revision from the watchers.

    A node that accepts the revision starts a round at once
    (EntryCore::OnDocumentAccepted) and then one in each period. A target with an older
    revision fetches the document from the sender. Returns the sorted times at
    which the nodes accept the revision.
    """
    rng = random.Random(seed)
    accepted_at = [math.inf] * NODES
    arrivals = [(0.0, node) for node in range(WATCHERS)]
    while arrivals:
        received, node = heapq.heappop(arrivals)
        if accepted_at[node] <= received:
            continue
        accepted_at[node] = received
        phase = rng.random() * GOSSIP_PERIOD_S
        for start in [received] + [received + phase + GOSSIP_PERIOD_S * n
                                   for n in range(20)]:
            for _ in range(GOSSIP_TARGETS):
                target = rng.randrange(NODES)
                # One one-way delay for the digest, two for the fetch.
                arrival = start + 3 * one_way
                if arrival < accepted_at[target]:
                    heapq.heappush(arrivals, (arrival, target))
    return sorted(accepted_at)


def change_table(costs):
    rows = []
    changes_per_s = CHANGES_PER_DAY / SECONDS_PER_DAY
    for one_way in (0.002, 0.05, 0.1):
        times = spread_seconds(20261204, one_way)
        rows.append(("spread from %d watchers, %s ms one way: half, 99%%, "
                     "all" % (WATCHERS, number(1000 * one_way)),
                     ", ".join(number(t) + " s" for t in (
                         times[NODES // 2], times[int(NODES * 0.99)],
                         times[-1])), "5 s"))
    for indexes in (16, 64, 256):
        size = costs.cost("document_bytes", indexes)
        rows.append(("bytes/s in each direction, document of %d indexes" %
                     indexes, number(size * changes_per_s),
                     number(MAX_BYTES_PER_S)))
    parse_and_apply_us = costs.cost("document_parse_us", 256) + \
        costs.cost("document_apply_us", 256)
    rows += [("CPU to parse and apply 256 indexes",
              percent(parse_and_apply_us * changes_per_s / 1e6),
              percent(MAX_CONTROL_CORES)),
             ("platform writes for each change, measured",
              number(costs.fits["platform_put_per_change"].value_at(12)), ""),
             ("platform writes/s",
              number(changes_per_s *
                     costs.fits["platform_put_per_change"].value_at(12)),
              number(MAX_PLATFORM_WRITES_PER_S))]
    return markdown_table(("figure", "value", "limit"), rows)


def vm_record_bytes():
    return len(json.dumps({
        "id": "parts-ragusa-a-12000", "role": "backend_server",
        "state": "live", "address": "10.1.48.200:7000",
        "data_centre": "ragusa-a", "index": "parts"})) + 1


def platform_table():
    list_bytes = (NODES + REPLICAS) * vm_record_bytes()
    list_versions_per_s = 3 * RESTARTS_PER_DAY / SECONDS_PER_DAY
    watchers = 2 * DATA_CENTRES
    read_interval_s = list_bytes / (MAX_BYTES_PER_S / 2)
    slot_writes_per_s = 2 * RESTARTS_PER_DAY * NODES / (NODES + REPLICAS) / \
        SECONDS_PER_DAY
    return markdown_table((
        "calls", "as the code stands", "redesign", "limit"), (
        ("watches waiting on the document", WATCHERS, watchers,
         number(MAX_PLATFORM_READS_PER_S)),
        ("watches waiting on the VM list", number(NODES), "0",
         number(MAX_PLATFORM_READS_PER_S)),
        ("VM list replies/s from %s list versions/s" %
         number(list_versions_per_s),
         number(list_versions_per_s * NODES),
         number(watchers / read_interval_s),
         number(MAX_PLATFORM_READS_PER_S)),
        ("bytes/s of these for each reader",
         number(list_versions_per_s * list_bytes),
         number(list_bytes / read_interval_s), number(MAX_BYTES_PER_S)),
        ("re-reads of the document/s", number(NODES / REREAD_PERIOD_S),
         number(NODES / REREAD_PERIOD_S), number(MAX_PLATFORM_READS_PER_S)),
        ("reads of expired order objects/s", number(
            NODES * ORDER_BUCKETS / ORDER_EPOCH_S),
         number(ORDER_BUCKETS / ORDER_EPOCH_S),
         number(MAX_PLATFORM_READS_PER_S)),
        ("connection slot writes/s", number(slot_writes_per_s),
         number(slot_writes_per_s),
         number(MAX_PLATFORM_WRITES_PER_S)),
        ("VM list size, MB; one reader's interval, s; interval between any "
         "two reads, s", number(list_bytes / 1e6), "%s; %s" % (
             number(read_interval_s),
             number(read_interval_s / watchers)), "")))


def order_table(costs):
    claims_per_object = costs.fits["order_object_limit"].points[0][1]
    bytes_per_claim = costs.fits["order_object_bytes"].slope
    return markdown_table(("figure", "value"), (
        ("bytes for each claim", number(bytes_per_claim)),
        ("claims in an object (`kMaxObjectBytes`)", number(claims_per_object)),
        ("orders/s of a team (%d objects in %d s)" % (ORDER_BUCKETS,
                                                     ORDER_EPOCH_S),
         number(ORDER_BUCKETS * claims_per_object / ORDER_EPOCH_S)),
        ("CPU for each claim, batched",
         number(costs.fits["order_batch_us"].slope) + " us"),
        ("CPU for a claim written alone, for each claim in the object",
         number(costs.fits["order_single_us_by_claims_in_object"].slope) +
         " us"),
        ("nodes that write to the same object",
         number(NODES / ORDER_BUCKETS))))


def herd_table():
    nodes_per_data_centre = NODES / DATA_CENTRES
    return markdown_table(("event", "calls", "limit"), (
        ("platform away, VM list retried every 0.5 s by all nodes",
         number(NODES / 0.5) + "/s", number(MAX_PLATFORM_READS_PER_S) + "/s"),
        ("the same, retried after 4 to 6 s", number(NODES / 5) + "/s",
         number(MAX_PLATFORM_READS_PER_S) + "/s"),
        ("document read after an outage, backoff at most 1 to 2 s",
         number(NODES / 1.5) + "/s", number(MAX_PLATFORM_READS_PER_S) + "/s"),
        ("a data centre starts: `FetchDocument` calls to every peer",
         number(nodes_per_data_centre * NODES), ""),
        ("the same with 16 random serving peers",
         number(nodes_per_data_centre * 16), ""),
        ("its unready nodes' reads", number(nodes_per_data_centre) + "/s",
         number(MAX_PLATFORM_READS_PER_S) + "/s"),
        ("its connection slot writes", number(nodes_per_data_centre), "")))


def role_table(costs):
    figures = costs.tree(20)
    front_end_us = figures["calls_to_groups"] * costs.sub_request_us + \
        costs.queries_per_node * costs.request_us
    fan_out_us = 1e6 * figures["cores"] - front_end_us
    usage = costs.gossip()
    digests = 2 * GOSSIP_TARGETS / GOSSIP_PERIOD_S
    gossip_us = sum(usage[k] for k in ("make", "take", "targets", "changed",
                                "timer")) + digests * \
        costs.fits["entry_idle_us_per_s_by_exchanges"].slope
    changes_per_s = CHANGES_PER_DAY / SECONDS_PER_DAY
    polls_per_s = figures["connections"] / STATUS_PERIOD_S
    return markdown_table((
        "role", "state", "messages/s", "processor time", "memory",
        "mechanism"), (
        ("caller front end, for each node",
         number(costs.queries_per_node * LATENCY_OBJECTIVE_MS / 1000) +
         " queries running",
         "%s queries, %s calls to group nodes" % (
             number(costs.queries_per_node),
             number(figures["calls_to_groups"])),
         percent(front_end_us / 1e6) + " of a core", "not measured",
         "`CallerServer`, `QueryEngine`"),
        ("fan-out node, groups of 20",
         number(figures["connections"]) + " replicas",
         "%s calls taken, %s batches, %s polls" % (
             number(figures["queries"]), number(figures["batches"]),
             number(polls_per_s)),
         "%s of a core, polls %s" % (
             percent(fan_out_us / 1e6),
             percent(polls_per_s * costs.status_poll_us / 1e6)),
         number(figures["connections"] * costs.bytes_per_replica / 1e6) +
         " MB",
         "`Fanout`, `BackendClient`, `BackendPool`, `ReplicaTable`"),
        ("gossip member, as the code stands", number(NODES) + " records",
         "%s digests of %s KB" % (number(digests), number(
             costs.cost("gossip_digest_bytes", NODES) / 1000)),
         percent(gossip_us / 1e6) + " of a core",
         number(costs.cost("peer_table_bytes", NODES) / 1e6) + " MB",
         "`Gossip`, `PeerTable`, `DocumentTracker`"),
        ("watcher", "one document", "%s watch calls, %s reads" % (
            number(costs.fits["platform_watch_per_change"].value_at(12) *
                   changes_per_s / WATCHERS),
            number(1 / REREAD_PERIOD_S)),
         percent(changes_per_s * costs.cost("document_parse_us", 256) / 1e6) +
         " of a core", number(costs.cost("document_bytes", 256) / 1e6) + " MB",
         "`DocumentTracker`"),
        ("operator API, all nodes", "documents on the platform",
         number(changes_per_s) + " changes", "not measured", "not measured",
         "`OperatorServer`, `DocumentPublisher`"),
        ("all control of a node (limits: %s of a core, %s MB)" % (
            percent(MAX_CONTROL_CORES), number(MAX_MEMORY_BYTES / 1e6)), "",
         "%s KB sent for gossip and 256 indexes" % number(
             (usage["sent"] +
              changes_per_s * costs.cost("document_bytes", 256)) / 1000),
         percent((costs.fits["entry_idle_us_per_s_by_exchanges"].intercept +
                  gossip_us + polls_per_s * costs.status_poll_us) / 1e6) +
         " of a core",
         number((costs.fits["entry_rss_bytes_by_replicas"].intercept +
                 figures["connections"] * costs.bytes_per_replica +
                 costs.cost("peer_table_bytes", NODES)) / 1e6) + " MB",
         "the rows above and an idle entry"),
        ("platform", "documents, slots, claims",
         "%s writes for changes; section 8" % number(
             changes_per_s *
             costs.fits["platform_put_per_change"].value_at(12)),
         "not ours", "not ours", "`PlatformClient`"),
        ("backend server",
         "%d connections of %d" % (costs.slots_per_replica, MAX_CONNECTIONS),
         "%s sub-requests in %s batches, %s polls" % (
             number(costs.sub_requests_per_replica),
             number(figures["batches"] * NODES / REPLICAS),
             number(costs.slots_per_replica / STATUS_PERIOD_S)),
         "not ours", "not ours", "`Backend.Execute`, `Backend.Status`")))


def tables(fits):
    costs = DesignCosts(fits)
    return {"slopes": slope_table(fits), "query": query_table(costs),
            "tree": tree_table(costs), "tail": tail_table(costs),
            "connections": connection_table(costs),
            "gossip": gossip_table(costs), "changes": change_table(costs),
            "platform": platform_table(), "orders": order_table(costs),
            "herds": herd_table(), "roles": role_table(costs)}


BLOCK = re.compile(r"(<!-- table: (\w+) -->\n)(.*?)(<!-- end -->)", re.DOTALL)


def render(page, tables_by_name):
    names_in_page = [match.group(2) for match in BLOCK.finditer(page)]
    if sorted(names_in_page) != sorted(tables_by_name):
        raise SystemExit(
            "the page must contain each table exactly once; missing, unknown "
            "or repeated: %s" %
            ", ".join(sorted(set(tables_by_name) ^ set(names_in_page)) or
                      names_in_page))
    return BLOCK.sub(
        lambda m: m.group(1) + tables_by_name[m.group(2)] + "\n" + m.group(4),
        page)


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
    expected_page = render(page, tables(fits))
    if options.write:
        with open(options.page, "w", encoding="utf-8") as file:
            file.write(expected_page)
        return 0
    differences = [line for line in difflib.unified_diff(
        page.splitlines(), expected_page.splitlines(), "page", "from the data",
        lineterm="", n=0)]
    if differences:
        print("\n".join(differences))
        print("docs/capacity-entry.md differs from docs/data; run "
              "utils/capacity.py --write")
        return 1
    print("capacity page matches the data: %d costs" % len(fits))
    return 0


if __name__ == "__main__":
    sys.exit(main())
