"""Answers come from one index version, name missing shards and are on time."""

import signal
import socket
import time
import unittest

from cluster import http, wait_until
from faultlib import DEADLINE_MS, ONE_SHARD_INDEX, SHARDED_INDEX, FaultTest, \
    Load, run_in_background

# How long after the deadline an answer may reach a caller on a slow machine.
SLACK_MS = 700


class SnapshotTest(FaultTest):

    def test_publish_and_repartition_under_load(self):
        """Guards against answers that mix index versions or report the shard
        count of another version."""
        shards = {1: 3}
        with Load(self.cluster, threads=6, pause_s=0.001) as load:
            load.wait_for_more(20)
            for version, count in ((2, 3), (3, 2), (4, 1), (5, 3)):
                shards[version] = count
                self.cluster.publish(version, count)
                wait_until("an answer from version %d" % version, lambda: any(
                    r.answer and r.answer.get("index_version") == version
                    for r in load.records[-20:]))
                load.wait_for_more(20)
        self.check_no_wrong_or_lost(load.records)
        for record in load.records:
            if record.outcome in ("complete", "partial"):
                self.assertEqual(shards[record.answer["index_version"]],
                                 record.answer["shard_count"])

    def test_version_removed_during_query(self):
        """Guards against an answer with results of a removed index version
        after the request has restarted on a newer one."""
        self.cluster.change_replicas(SHARDED_INDEX, "1", frozen=True)
        query = run_in_background(
            lambda: self.caller.query("lots", "restarted"))
        wait_until("the other shards ran the query", lambda: 2 <= sum(
            replica["counters"]["answered"]
            for replica in self.cluster.replicas(SHARDED_INDEX).values()))
        self.cluster.publish(2, 3)
        self.cluster.publish(3, 3)
        self.cluster.call_backend(SHARDED_INDEX, "a", "replicas/1",
                                  {"frozen": False})
        wait_until("version 3 is known to the entry", lambda:
                   self.entries[0].status()[
                       "index_versions"][SHARDED_INDEX] == 3)
        self.cluster.change_replicas(SHARDED_INDEX, "1", frozen=False)
        record = query()
        self.assertIn(record.outcome, ("complete", "partial"), record)
        if record.outcome == "complete":
            self.assertEqual(3, record.answer["index_version"])
        # The tier avoids the replicas for a short time after they were frozen.
        wait_until("a complete answer after the freeze",
                   lambda: self.caller.query("lots", str(
                       time.monotonic())).outcome == "complete", 10)
        self.check_no_wrong_or_lost(self.caller.records)


class PartialTest(FaultTest):

    # Constant service times: with random ones, a request on a slowed replica
    # could end early.
    OPTIONS = {"proxied": True, "distribution": "constant"}

    # Checks that a query misses exactly shard 1, for one of the reasons, and
    # ends in time.
    def check_partial(self, payload, reasons):
        record = self.caller.query("lots", payload)
        self.assertEqual("partial", record.outcome, record)
        self.assertEqual([1], [m["shard"] for m in record.answer["missing"]])
        self.assertIn(record.answer["missing"][0]["reason"], reasons)
        self.assertEqual([0, 2], record.answer["covered"])
        self.assertLess(record.ms, DEADLINE_MS + SLACK_MS)

    def wait_complete(self, name):
        wait_until("a complete answer in phase " + name,
                   lambda: self.caller.query("lots", name + str(
                       time.monotonic())).outcome == "complete")

    def test_one_shard_unavailable(self):
        """Guards against late answers and unreported missing shards while all
        replicas of a shard are frozen or unreachable."""
        self.wait_complete("before")
        self.cluster.change_replicas(SHARDED_INDEX, "1", frozen=True)
        self.check_partial("frozen", ("timed_out",))
        self.cluster.change_replicas(SHARDED_INDEX, "1", frozen=False)
        self.wait_complete("after-freeze")
        self.cluster.set_link_faults(SHARDED_INDEX, "1", cut=True)
        for number in range(5):
            self.check_partial("cut-%d" % number,
                               ("no_replica", "failed", "timed_out"))
        self.cluster.set_link_faults(SHARDED_INDEX, "1", cut=False)
        self.wait_complete("after-cut")
        self.cluster.set_link_faults(SHARDED_INDEX, "1", blackhole=True)
        self.check_partial("blackhole", ("timed_out", "no_replica"))
        self.cluster.set_link_faults(SHARDED_INDEX, "1", blackhole=False)
        self.wait_complete("after-blackhole")
        self.check_no_wrong_or_lost(self.caller.records)

    def test_version_with_unreachable_shard(self):
        """Guards against an index version that stays selected although no
        replica of one of its shards is connected and another version is
        complete."""
        self.wait_complete("before")
        self.cluster.call_backend(SHARDED_INDEX, "a", "replicas/all/publish",
                                  {"version": 2})
        wait_until("answers from version 2", lambda: self.version("v2") == 2)
        self.cluster.set_link_faults(SHARDED_INDEX + "-a", "1", cut=True)
        wait_until("answers from version 1", lambda: self.version("v1") == 1)
        record = self.caller.query("lots", "whole")
        self.assertEqual("complete", record.outcome)
        self.check_no_wrong_or_lost(self.caller.records)

    # The index version from which a new query is answered.
    def version(self, name):
        record = self.caller.query("lots", name + str(time.monotonic()))
        return record.answer.get("index_version")

    def test_wrong_replies(self):
        """Guards against corrupt, duplicated or mixed-up replies of replicas
        that reach a caller."""
        self.cluster.change_replicas(SHARDED_INDEX, corrupt_rate=0.03,
                                     duplicate_rate=0.03, crossed_rate=0.03)
        with Load(self.cluster, threads=6) as load:
            wait_until("200 answers", lambda: len(load.records) >= 200, 40)
        self.check_no_wrong_or_lost(load.records)
        self.assertGreater(load.count("complete"), 100)
        self.assertGreater(sum(e.status()["requests"]["dropped_replies"]
                               for e in self.entries), 10)

    def test_no_quarantine_after_broken_connections(self):
        """Guards against the quarantine of a request that was in flight when
        connections broke: the replicas reconnect with the same incarnation,
        so they did not crash."""
        self.cluster.change_replicas(ONE_SHARD_INDEX, speed=0.001)
        for _ in range(3):
            queries = []

            def in_flight():
                # Queries are refused until the connections are restored.
                queries.append(run_in_background(
                    lambda: self.caller.query("lookup", "innocent")))
                time.sleep(0.05)
                return any(replica["running"] for replica in
                           self.cluster.replicas(ONE_SHARD_INDEX).values())
            wait_until("a query runs on a replica", in_flight)
            self.cluster.set_link_faults(ONE_SHARD_INDEX, cut=True)
            for query in queries:
                self.assertNotEqual("complete", query().outcome)
            self.cluster.set_link_faults(ONE_SHARD_INDEX, cut=False)
        self.cluster.change_replicas(ONE_SHARD_INDEX, speed=1)
        wait_until("reconnected replicas have answered",
                   lambda: self.caller.query(
                       "lookup", "innocent").outcome == "complete", 10)


class CrashTest(FaultTest):

    OPTIONS = {"entries": 3}

    def test_crashing_request_is_quarantined(self):
        """Guards against a request that crashes one backend server after
        another while its caller resends it through every entry."""
        self.cluster.change_replicas(ONE_SHARD_INDEX, crash_on="poison",
                                     restart_ms=300)
        with Load(self.cluster, ("lookup",), threads=2) as load:
            load.wait_for_more(20)
            wait_until("the request is refused as quarantined", lambda:
                       self.caller.query(
                           "lookup", "poison", self.entries[0]
                       ).answer.get("error") == "quarantined", 20)
            self.assertLessEqual(self.cluster.crashes(ONE_SHARD_INDEX), 2)
            # The other entries learn of the quarantine by gossip, in which
            # each takes part every 250 ms.
            time.sleep(1.5)
            for entry in self.entries * 3:
                record = self.caller.query("lookup", "poison", entry)
                self.assertEqual(("quarantined", "not_run"),
                                 (record.answer["error"], record.outcome))
            load.wait_for_more(50)
        self.assertLessEqual(self.cluster.crashes(ONE_SHARD_INDEX), 2)
        self.check_no_wrong_or_lost(load.records)
        answered = load.count("complete") / len(load.records)
        self.assertGreater(answered, 0.9)
        self.check_entries_running()

    def test_crashing_request_resent_before_gossip(self):
        """Guards against a request that crashes further backend servers when
        its caller tries the next entry before a gossip round has ended."""
        self.cluster.change_replicas(ONE_SHARD_INDEX, crash_on="poison",
                                     restart_ms=300)
        for entry in self.entries * 2:
            self.caller.query("lookup", "poison", entry)
        # Two crashes before the quarantine, and one for each entry that gets
        # the request while gossip is under way.
        self.assertLessEqual(self.cluster.crashes(ONE_SHARD_INDEX), 4)
        self.assertEqual("quarantined",
                         self.caller.records[-1].answer["error"])


class MalformedTest(FaultTest):

    OPTIONS = {"entries": 1}

    def post(self, path, body, method="POST"):
        return http(method, "http://%s%s" %
                    (self.entries[0].caller_address, path), body)

    def raw(self, data):
        """Sends bytes over a new connection; returns the open socket."""
        host, port = self.entries[0].caller_address.split(":")
        connection = socket.create_connection((host, int(port)), timeout=5)
        connection.sendall(data)
        return connection

    def test_malformed_requests(self):
        """Guards against a crash, or a refusal without an error type, when a
        request is malformed, too large or never completed."""
        order = {"class": "place-order", "tenant": "buyers", "payload": "p"}
        cases = [
            ("/v1/query", b"{", 400, "invalid_request"),
            ("/v1/query", b"\xff\xfe\x00", 400, "invalid_request"),
            ("/v1/query", b"[" * 100000, 400, "invalid_request"),
            ("/v1/query", {"class": 7, "tenant": "buyers"}, 400,
             "invalid_request"),
            ("/v1/query", {"class": "lots", "tenant": "buyers", "more": 1},
             400, "invalid_request"),
            ("/v1/query", {"class": "none", "tenant": "buyers"}, 400,
             "unknown_class"),
            ("/v1/query", {"class": "lots", "tenant": "none"}, 400,
             "unknown_tenant"),
            ("/v1/query", {"class": "lots", "tenant": "buyers",
                           "deadline_ms": -5}, 400, "invalid_request"),
            ("/v1/query", order, 400, "invalid_request"),
            ("/v1/order", order, 400, "invalid_request"),
            ("/v1/order", dict(order, idempotency_key="k" * 5000,
                               issued_at_ms=1), 400, "invalid_request"),
            ("/v1/query", b"x" * 1500000, 413, "body_too_large"),
            ("/none", {}, 404, "not_found"),
        ]
        idle = [self.raw(data) for data in (
            b"", b"POST /v1/query HTTP/1.1\r\nHost: x\r\n",
            b"POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: 90\r\n\r\n{",
        ) for _ in range(20)]
        for path, body, status, error in cases:
            reply = self.post(path, body)
            self.assertEqual((status, error),
                             (reply.status, reply.json()["error"]), (path, body)[:60])
            self.assertEqual("not_run", reply.json()["outcome"])
        for data in (b"\0\1\2\3\r\n\r\n", b"GET\r\n\r\n",
                     b"POST /v1/query HTTP/9.9\r\n\r\n",
                     b"POST /v1/query HTTP/1.1\r\nContent-Length: -4\r\n\r\n"):
            self.raw(data).close()
        self.assertEqual("complete", self.caller.query("lots", "x").outcome)
        for connection in idle:
            connection.close()
        self.assertEqual("complete", self.caller.query("lots", "y").outcome)
        self.check_entries_running()
        self.assertEqual({}, dict(self.cluster.executions(ONE_SHARD_INDEX)))
        self.entries[0].process.send(signal.SIGTERM)
        self.assertEqual(0, self.entries[0].process.wait(20))


if __name__ == "__main__":
    unittest.main()
