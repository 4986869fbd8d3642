"""A document takes effect on all entries within 5 s and never reverts."""

import json
import time
import unittest

from cluster import http, wait_until
from faultlib import FaultTest, document, run_together


class DocumentTest(FaultTest):

    OPTIONS = {"entries": 3}

    def apply(self, share, base, entry=None):
        """Writes a document based on a revision and checks that it takes effect
        in time; returns its revision."""
        reply = self.cluster.put_document(document(share), base, entry)
        self.assertEqual(200, reply.status, reply.text)
        revision = reply.json()["revision"]
        self.assertEqual(base + 1, revision)
        self.wait_in_force(revision)
        return revision

    def wait_in_force(self, revision, entries=None):
        wait_until("revision %d in force" % revision, lambda: all(
            self.cluster.revision(entry) >= revision
            for entry in entries or self.entries), 5)

    def test_in_force_on_all_entries(self):
        """Guards against a change that does not reach an entry, also when the
        platform's reply is lost, the platform is slow, or its watch history
        is discarded."""
        revision = self.apply(2, 1)
        self.cluster.faults(lose_next_writes=1, lost_reply_hold_ms=200)
        revision = self.apply(3, revision, self.entries[1])
        self.cluster.faults(delay_ms=300)
        revision = self.apply(4, revision, self.entries[2])
        self.cluster.faults(delay_ms=0)
        reply = http("POST", "http://%s/wipe-history" %
                     self.cluster.platform_control, {})
        self.assertEqual(200, reply.status)
        self.apply(5, revision)

    def test_concurrent_writes(self):
        """Guards against a lost update: of two writes based on the same
        revision one is applied and the other gets a conflict."""
        for base in range(1, 6):
            replies = run_together(*[
                lambda e=entry, s=share: self.cluster.put_document(
                    document(s), base, e)
                for share, entry in ((2 * base, self.entries[0]),
                                     (2 * base + 1, self.entries[1]))])
            self.assertEqual([200, 409], sorted(r.status for r in replies),
                             [r.text for r in replies])
            loser = next(r for r in replies if r.status == 409).json()
            self.assertEqual(("conflict", "not_run", base + 1),
                             (loser["error"], loser["outcome"],
                              loser["revision"]))
            winner = 2 * base + [r.status for r in replies].index(200)
            self.wait_in_force(base + 1)
            for entry in self.entries:
                text = http("GET", "http://%s/v1/document" %
                            entry.operator_address).json()["document"]
                self.assertEqual(winner,
                                 json.loads(text)["tenants"][0]["share"])

    def test_stale_reads_do_not_revert(self):
        """Guards against an entry that replaces a revision by an older one from
        a stale read, also right after its start."""
        revision = self.apply(2, 1)
        self.cluster.faults(stale_read_rate=0.8)
        newest = {}
        for share in range(3, 7):
            # The entry that writes may get a stale read and thus a conflict.
            wait_until("the write is applied",
                       lambda: self.cluster.put_document(
                           document(share), revision).status == 200, 10)
            revision += 1
            http("POST", "http://%s/wipe-history" %
                 self.cluster.platform_control, {})
            end = time.monotonic() + 0.5
            while time.monotonic() < end:
                for entry in self.entries:
                    now = self.cluster.revision(entry)
                    self.assertGreaterEqual(now, newest.get(entry.name, 0))
                    newest[entry.name] = now
        late = self.cluster.start_entry()
        wait_until("new entry serves", late.serving, 20)
        self.assertEqual(revision, self.cluster.revision(late))
        self.wait_in_force(revision)

    def test_new_entry_with_platform_down(self):
        """Guards against a new entry that serves with an old document, or
        without a connection slot, while the platform is down."""
        revision = self.apply(2, 1)
        self.cluster.faults(down=True)
        late = self.cluster.start_entry(
            seeds=[entry.peer_address for entry in self.entries])
        listens = lambda: http("GET", "http://%s/healthz" %
                               late.operator_address)
        wait_until("new entry listens", lambda: self.reachable(listens))
        wait_until("the new entry has the document of a peer",
                   lambda: self.cluster.revision(late) == revision)
        self.assertFalse(late.serving())
        reply = self.cluster.put_document(document(3), revision)
        self.assertNotEqual(200, reply.status)
        self.assertIn(reply.json()["outcome"], ("not_run", "unknown"))
        self.assertEqual("complete", self.caller.query("lots", "x").outcome)
        self.cluster.faults(down=False)
        wait_until("new entry serves", late.serving, 20)
        self.assertGreaterEqual(self.cluster.revision(late), revision)

    def reachable(self, call):
        try:
            return call().status == 200
        except OSError:
            return False

    def test_refused_writes(self):
        """Guards against an invalid or unauthorised change that takes effect,
        and against operator keys in logs."""
        bad = json.loads(document(2))
        bad["classes"][0]["deadline_ms"] = -1
        reply = self.cluster.put_document(json.dumps(bad), 1)
        self.assertEqual((400, "invalid_document", "not_run"),
                         (reply.status, reply.json()["error"],
                          reply.json()["outcome"]))
        self.assertIn("deadline_ms", reply.json()["path"])
        for key in (False, "wrong-operator-key"):
            reply = self.cluster.put_document(document(2), 1, key=key)
            self.assertEqual((401, "unauthorized"),
                             (reply.status, reply.json()["error"]))
        self.apply(2, 1)
        for process in self.cluster.processes:
            log = process.log()
            self.assertNotIn(self.cluster.operator_key, log, process.name)
            self.assertNotIn("wrong-operator-key", log, process.name)


if __name__ == "__main__":
    unittest.main()
