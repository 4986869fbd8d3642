"""Entries and backend servers that leave, are lost or are replaced."""

import signal
import time
import unittest

from cluster import http, wait_until
from faultlib import ONE_SHARD_INDEX, SHARDED_INDEX, FaultTest, Load, document

# Bound on the time from the signal to the last new request; see section 2 of
# the design.
LEAVING_SECONDS = 3


class BackendTest(FaultTest):

    def received(self, vm):
        return self.cluster.replicas(
            ONE_SHARD_INDEX)[vm]["counters"]["received"]

    def check_leaves(self, vm, leave):
        with Load(self.cluster, ("lookup",), threads=4) as load:
            wait_until("a request on " + vm, lambda: self.received(vm) > 0)
            leave()
            # The test checks the bound itself, so it waits that long.
            time.sleep(LEAVING_SECONDS)
            after_bound = self.received(vm)
            load.wait_for_more(150)
            self.assertEqual(after_bound, self.received(vm))
        self.check_no_wrong_or_lost(load.records)
        self.assertEqual(len(load.records), load.count("complete"))

    def test_leaving_by_vm_list(self):
        """Guards against new requests to a backend server that is leaving
        according to the VM list."""
        vm = sorted(self.cluster.replicas(ONE_SHARD_INDEX))[0]
        self.check_leaves(vm, lambda: self.cluster.set_vm_state(vm, "leaving"))

    def test_leaving_by_own_report(self):
        """Guards against new requests to a backend server that reports that it
        drains while the VM list still shows it live."""
        vm = sorted(self.cluster.replicas(ONE_SHARD_INDEX))[0]
        self.check_leaves(vm, lambda: self.cluster.call_backend(
            ONE_SHARD_INDEX, "a", "replicas/0", {"draining": True}))

    def test_empty_vm_list(self):
        """Guards against an entry that drops its backend servers because of an
        empty VM list."""
        control = "http://%s/vms" % self.cluster.platform_control
        with Load(self.cluster, ("lots", "lookup"), threads=4) as load:
            load.wait_for_more(30)
            self.assertEqual(200, http("POST", control, []).status)
            load.wait_for_more(100)
            self.cluster.publish_vms()
            load.wait_for_more(30)
        self.check_no_wrong_or_lost(load.records)
        self.assertEqual(len(load.records), load.count("complete"))


class EntryTest(FaultTest):

    OPTIONS = {"entries": 4}

    # The ids of the entries whose addresses the last entry gives to callers.
    def listed_entries(self):
        reply = http("GET", "http://%s/v1/addresses" %
                     self.entries[-1].caller_address)
        return {item["id"] for item in reply.json()["addresses"]}

    def check_stopped(self, entry):
        self.assertEqual(0, entry.process.wait(30))
        self.assertIn("cut_requests=0", entry.process.log())

    def test_rolling_replacement(self):
        """Guards against requests that are cut, or sent to an address that no
        longer answers although its lifetime has not ended, while all entries
        are replaced in turn."""
        old = list(self.entries)
        with Load(self.cluster, ("lots", "lookup", "place-order"),
                  threads=6) as load:
            load.wait_for_more(50)
            for entry in old:
                fresh = self.cluster.start_entry()
                wait_until("new entry serves", fresh.serving, 20)
                entry.process.send(signal.SIGTERM)
                wait_until("the leaving entry is not listed",
                           lambda: entry.name not in self.listed_entries(), 5)
                load.wait_for_more(20)
            for entry in old:
                self.check_stopped(entry)
            load.wait_for_more(50)
        self.check_no_wrong_or_lost(load.records)
        self.check_orders(load.records)
        self.assertEqual(len(load.records), load.count("complete"))

    def test_paused_entry(self):
        """Guards against callers that get the address of a paused entry, and
        against an entry that uses its outdated peer list after a pause."""
        wait_until("all entries are listed",
                   lambda: len(self.listed_entries()) == 4)
        self.pause_entry(self.entries[0])
        wait_until("the paused entry is not listed",
                   lambda: "entry-1" not in self.listed_entries(), 5)
        self.entries[1].process.kill()
        wait_until("the killed entry is not listed",
                   lambda: "entry-2" not in self.listed_entries(), 5)
        self.resume_entry(self.entries[0])
        end = time.monotonic() + 2
        while time.monotonic() < end:
            reply = http("GET", "http://%s/v1/addresses" %
                         self.entries[0].caller_address)
            self.assertNotIn("entry-2", [item["id"] for item in
                                         reply.json()["addresses"]])
        wait_until("the resumed entry is listed",
                   lambda: "entry-1" in self.listed_entries(), 10)


class ConnectionTest(FaultTest):

    OPTIONS = {"entries": 2, "proxied": True,
               "document_text": document(entries=2, connections=4)}

    def test_connection_limit(self):
        """Guards against more connections to a replica than its limit while
        entries are killed, paused and replaced."""
        with Load(self.cluster, ("lots", "lookup"), threads=4) as load:
            load.wait_for_more(30)
            self.pause_entry(self.entries[0])
            extra = [self.cluster.start_entry() for _ in range(3)]
            wait_until("the new entries find no connection slot", lambda: all(
                self.slots_full(entry) for entry in extra))
            self.resume_entry(self.entries[0])
            self.entries[1].process.kill()
            self.cluster.remove_vm(self.entries[1].name)
            load.wait_for_more(30)
            self.assertEqual([False] * 3, [e.serving() for e in extra])
            self.entries[0].process.send(signal.SIGTERM)
            wait_until("a new entry serves with a freed slot", lambda: any(
                entry.serving() for entry in extra), 30)
            self.assertLessEqual(self.cluster.peak_connections(), 4)
        self.assertEqual(0, load.count("wrong"))

    def slots_full(self, entry):
        try:
            return entry.status()["slots_full"]
        except OSError:
            return False


if __name__ == "__main__":
    unittest.main()
