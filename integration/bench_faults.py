"""Injects each fault of a list under mixed load and prints a line for each.

The summary in the last line is computed from the callers' records and from the
executions that the back ends recorded. A request without a response counts as
cut when its entry was killed, otherwise as lost.
"""

import collections
import signal
import sys
import time

from cluster import http, wait_until
from faultlib import (ONE_SHARD_INDEX, SHARDED_INDEX, Load, SmallCluster,
                      document, order_problems)

CLASS_NAMES = ("lots", "lookup", "place-order")
FAULT_SECONDS = 2.5
LINE = "%-18s requests=%-5d complete=%-5d partial=%-4d refused=%-4d cut=%-3d wrong=%d doubled=%d lost=%d recovery_s=%.1f"


class Faults:
    """The faults, which the output names as their methods. Each returns a
    function that ends the fault, or None."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.killed = set()
        self.version = 1
        self.revision = 1
        self.poison = 0

    def set_replica_faults(self, index, selection, on, off):
        self.cluster.change_replicas(index, selection, **on)
        return lambda: self.cluster.change_replicas(index, selection, **off)

    def set_proxy_faults(self, name, selection="all", **changes):
        self.cluster.set_link_faults(name, selection, **changes)
        return lambda: self.cluster.set_link_faults(name, selection, cut=False,
                                                    blackhole=False)

    def set_platform_faults(self, **changes):
        self.cluster.faults(**changes)
        return lambda: self.cluster.faults(
            **{key: False if key == "down" else 0 for key in changes})

    def none(self):
        return None

    def replica_frozen(self):
        self.cluster.call_backend(SHARDED_INDEX, "a", "replicas/0",
                                  {"frozen": True})
        return lambda: self.cluster.call_backend(
            SHARDED_INDEX, "a", "replicas/0", {"frozen": False})

    def shard_frozen(self):
        return self.set_replica_faults(SHARDED_INDEX, "0", {"frozen": True},
                                       {"frozen": False})

    def replica_slow(self):
        return self.set_replica_faults(
            SHARDED_INDEX, "all", {"slow_rate": 0.02}, {"slow_rate": 0})

    def load_misreported(self):
        return self.set_replica_faults(
            ONE_SHARD_INDEX, "0",
            {"lie": {"in_flight": 0, "queued": 0}, "speed": 0.1},
            {"lie": None, "speed": 1})

    def replica_errors(self):
        return self.set_replica_faults(
            SHARDED_INDEX, "all", {"error_rate": 0.01}, {"error_rate": 0})

    def wrong_replies(self):
        rates = ("corrupt_rate", "duplicate_rate", "crossed_rate")
        for index in (SHARDED_INDEX, ONE_SHARD_INDEX):
            self.set_replica_faults(index, "all", {k: 0.01 for k in rates}, {})
        return lambda: [
            self.cluster.change_replicas(index, **{k: 0 for k in rates})
            for index in (SHARDED_INDEX, ONE_SHARD_INDEX)]

    def replica_crashed(self):
        self.cluster.call_backend(SHARDED_INDEX, "a", "replicas/1/crash", {})
        self.cluster.call_backend(ONE_SHARD_INDEX, "b", "replicas/0/crash", {})

    def centre_cut(self):
        undo = [self.set_proxy_faults(index + "-a", cut=True)
                for index in (SHARDED_INDEX, ONE_SHARD_INDEX)]
        return lambda: [heal() for heal in undo]

    def centre_blackholed(self):
        undo = [self.set_proxy_faults(index + "-b", blackhole=True)
                for index in (SHARDED_INDEX, ONE_SHARD_INDEX)]
        return lambda: [heal() for heal in undo]

    def shard_cut(self):
        return self.set_proxy_faults(SHARDED_INDEX, "1", cut=True)

    def repartition(self):
        for shards in (2, 3):
            self.version += 1
            self.cluster.publish(self.version, shards)
            time.sleep(1)

    def platform_down(self):
        return self.set_platform_faults(down=True)

    def platform_slow(self):
        return self.set_platform_faults(delay_ms=200)

    def replies_lost(self):
        return self.set_platform_faults(lose_reply_rate=0.2,
                                        lost_reply_hold_ms=0)

    def history_gone(self):
        http("POST", "http://%s/wipe-history" %
             self.cluster.platform_control, {})

    def vm_list_empty(self):
        http("POST", "http://%s/vms" % self.cluster.platform_control, [])
        return self.cluster.publish_vms

    def replica_leaving(self):
        vm = sorted(self.cluster.replicas(ONE_SHARD_INDEX))[0]
        self.cluster.set_vm_state(vm, "leaving")

    def document_changes(self):
        for _ in range(3):
            reply = self.cluster.put_document(document(self.revision + 1),
                                              self.revision)
            self.revision += reply.status == 200
            time.sleep(0.3)

    def request_crashes(self):
        self.poison += 1
        undo = self.set_replica_faults(
            ONE_SHARD_INDEX, "all",
            {"crash_on": "poison", "restart_ms": 300}, {"crash_on": ""})
        for entry in self.serving_entries() * 2:
            self.cluster.query("lookup", "buyers", "poison", entry)
        return undo

    def serving_entries(self):
        return [e for e in self.cluster.entries
                if e.process.running() and e.serving()]

    def start_replacement(self):
        fresh = self.cluster.start_entry()
        wait_until("new entry serves", fresh.serving, 20)

    def entry_paused(self):
        entry = self.serving_entries()[0]
        entry.process.send(signal.SIGSTOP)
        return lambda: entry.process.send(signal.SIGCONT)

    def entry_killed(self):
        entry = self.serving_entries()[0]
        self.killed.add(entry.caller_address)
        entry.process.kill()
        self.cluster.remove_vm(entry.name)
        return self.start_replacement

    def entry_replaced(self):
        entry = self.serving_entries()[0]
        self.start_replacement()
        entry.process.send(signal.SIGTERM)

    def killed_with_losses(self):
        undo = self.set_platform_faults(lose_reply_rate=0.2,
                                        lost_reply_hold_ms=0)
        heal = self.entry_killed()
        return lambda: (undo(), heal())


NAMES = [name for name in vars(Faults)
         if name not in ("set_replica_faults", "set_proxy_faults",
                         "set_platform_faults", "serving_entries",
                         "start_replacement")
         and not name.startswith("_")]


def summarize(records, killed, ran):
    """Counts the records by outcome; `ran` are the executions by payload."""
    count = lambda outcome: sum(r.outcome == outcome for r in records)
    unanswered = [r for r in records if r.outcome == "lost"]
    cut = sum(r.entry_address in killed for r in unanswered)
    doubled = {r.payload for r in records
               if r.class_name == "place-order" and ran[r.payload] > 1}
    return {"requests": len(records), "complete": count("complete"),
            "partial": count("partial"),
            "refused": sum(count(o) for o in ("not_run", "ran", "unknown")),
            "cut": cut, "wrong": count("wrong"), "doubled": len(doubled),
            "lost": len(unanswered) - cut}


def reasons(records):
    """Counts the reasons of refusals and partial answers."""
    found = collections.Counter()
    for record in records:
        if record.outcome in ("not_run", "ran", "unknown"):
            found[record.class_name + "/" + record.answer["error"]] += 1
        elif record.outcome == "partial":
            found["missing/" + record.answer["missing"][0]["reason"]] += 1
    return " ".join("%s=%d" % item for item in sorted(found.items()))


def main():
    with SmallCluster(entries=4, proxied=True) as cluster:
        faults = Faults(cluster)
        with Load(cluster, CLASS_NAMES, threads=6, pause_s=0.01) as load:
            load.wait_for_more(30)
            for name in NAMES:
                start = len(load.records)
                heal = getattr(faults, name)()
                time.sleep(FAULT_SECONDS)
                if heal:
                    heal()
                ended = time.monotonic()
                load.wait_for_more(20)
                # Recovered after twenty complete answers in a row.
                wait_until("recovery from fault " + name, lambda: all(
                    r.outcome == "complete" for r in load.records[-20:]), 30)
                recovery_s = time.monotonic() - ended
                figures = summarize(load.records[start:], faults.killed,
                                    cluster.executions(ONE_SHARD_INDEX))
                print(LINE % (
                    (name,) + tuple(figures.values()) + (recovery_s,)),
                      reasons(load.records[start:]), flush=True)
        total = summarize(load.records, faults.killed,
                          cluster.executions(ONE_SHARD_INDEX))
        untrue = order_problems(cluster, load.records)
        for problem in untrue:
            print("order: " + problem)
        for record in [r for r in load.records if r.outcome == "wrong"][:5]:
            print("wrong: %s %s %s" % (record.class_name, record.payload,
                                       record.problem))
        peak = cluster.peak_connections()
    print("faults wrong=%d doubled=%d lost=%d untrue_orders=%d cut=%d "
          "requests=%d complete=%d partial=%d refused=%d max_connections=%d "
          "connection_limit=40 faults=%d" % (
              total["wrong"], total["doubled"], total["lost"], len(untrue),
              total["cut"], total["requests"], total["complete"],
              total["partial"], total["refused"], peak, len(NAMES)))
    sys.exit(1 if total["wrong"] or total["doubled"] or total["lost"] or
             untrue or peak > 40 else 0)


if __name__ == "__main__":
    main()
