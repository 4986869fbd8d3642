"""tanagervane-node on the stand-in of the users' platform."""

import json
import os
import signal
import tempfile
import time
import threading
import unittest

from platform_cluster import (BASE_PORT, SHARDS, Node, ask, get, merge_problem,
                              routes, wait_for)
from platform_standin import Platform


class PlatformTest(unittest.TestCase):

    def setUp(self):
        self.platform = Platform()
        self.addCleanup(self.platform.close)
        self.platform.serve_all()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.nodes = [Node(i + 1, self.platform, folder.name)
                      for i in range(2)]
        for node in self.nodes:
            self.addCleanup(node.stop)
            wait_for(node.ready, "node is ready")

    def ask(self, path, node=None, method="GET", body=None, deadline=1000):
        return ask(node or self.nodes[0], path, method, body, deadline)

    def check_merged(self, reply):
        self.assertEqual(reply.status, 200)
        self.assertEqual(merge_problem(reply), "")

    def addresses(self, node):
        reply = get(node.directory, "/tanagervane/resolve?name=h.example")
        return set(json.loads(reply.body)["addrs"]) if reply.body else set()

    def test_each_kind_of_request_is_served(self):
        """Guards against a path that does not hold from end to end."""
        for node in self.nodes:
            for _ in range(20):
                self.check_merged(self.ask("/all/x", node))
                reply = self.ask("/one/x", node, "POST", b"order")
                self.assertEqual(reply.status, 200)
                self.assertIn("Server-Seal", reply.headers)
        self.assertEqual(self.ask("/none/x").status, 404)
        wait_for(lambda: self.addresses(self.nodes[0]) ==
                 {n.callers for n in self.nodes}, "both are in the directory")

    def test_damaged_answers_reach_nobody(self):
        """Guards against cut, stray and failed parts in an answer."""
        for mode in ("cut", "extra", "error", "shed", "reset"):
            for shard in SHARDS:
                self.platform.replicas[shard][0].mode = mode
            for _ in range(20):
                self.check_merged(self.ask("/all/x"))

    def test_unrepeatable_request_runs_once(self):
        """Guards against a second run, and an untrue word that none began."""
        for replica in self.platform.replicas["desk"]:
            replica.mode = "reset"
        ids = []
        for _ in range(5):
            reply = self.ask("/one/x", method="POST", body=b"order")
            self.assertIn(reply.status, (502, 503))
            ids.append((reply.id, reply.status))
        ran = [r for replica in self.platform.replicas["desk"]
               for r in replica.ran]
        for request_id, status in ids:
            self.assertLessEqual(ran.count(request_id), 1)
            if status == 503:
                self.assertEqual(ran.count(request_id), 0)

    def test_silent_shard_does_not_hold_answers(self):
        """Guards against late answers while a whole shard is silent."""
        for replica in self.platform.replicas[SHARDS[0]]:
            replica.mode = "silent"
        for _ in range(5):
            reply = self.ask("/all/x")
            self.check_merged(reply)
            self.assertLess(reply.seconds, 0.4)
        time.sleep(1.5)
        reply = self.ask("/all/x")
        self.check_merged(reply)
        self.assertEqual(reply.headers["Missing-Parts"], "1")

    def test_store_outages_and_changes(self):
        """Guards against versions that do not come, or go back, around
        outages, a forgotten history and a watch that hears nothing."""
        store = self.platform.store
        moved = iter(range(100))

        def move():
            service = "desk%d" % next(moved)
            self.platform.add_replicas(service, 2)
            self.platform.configure(routes(one=service))
            return service

        def serves(node, service):
            seal = self.ask("/again/x", node).headers.get("Server-Seal", "")
            return seal.startswith(service + ".")

        for fault in ("none", "refuse", "deaf", "forget"):
            if fault in ("refuse", "deaf"):
                setattr(store, fault, True)
                time.sleep(0.3)
                self.check_merged(self.ask("/all/x"))
            service = move()
            if fault == "forget":
                store.forget_history()
            time.sleep(0.2)
            store.refuse = False
            if fault == "deaf":
                # One VM learns by a new watch; the other one by gossip.
                self.nodes[0].stop()
                self.nodes[0].start()
                wait_for(self.nodes[0].ready, "restarted")
            for node in self.nodes:
                wait_for(lambda n=node: serves(n, service),
                         "%s: version in force" % fault, 3)
            store.deaf = False

    def test_planned_stop_loses_nothing(self):
        """Guards against requests cut by a stop, and against callers that are
        sent to a VM that is going."""
        for replica in self.platform.all_replicas():
            replica.work_ms = 100
        wait_for(lambda: len(self.addresses(self.nodes[0])) == 2, "both known")
        replies = []
        threads = [threading.Thread(
            target=lambda: replies.append(self.ask("/one/x", method="POST",
                                                   body=b"x")))
                   for _ in range(20)]
        for thread in threads:
            thread.start()
        time.sleep(0.03)
        self.nodes[0].process.send_signal(signal.SIGTERM)
        for thread in threads:
            thread.join()
        self.assertEqual([r.status for r in replies], [200] * 20)
        self.assertFalse(self.nodes[0].ready())
        wait_for(lambda: self.addresses(self.nodes[1]) ==
                 {self.nodes[1].callers}, "left the directory", 2)
        self.assertEqual(self.nodes[0].process.wait(5), 0)
        self.assertIn("event=stopped", self.nodes[0].log())

    def test_failed_request_is_explained_by_its_id(self):
        """Guards against failures that the logs do not explain."""
        for shard in SHARDS[:2]:
            for replica in self.platform.replicas[shard]:
                replica.mode = "silent"
        timed_out = self.ask("/all/x", deadline=600)
        self.assertEqual(timed_out.status, 504)
        # Each request finds two silent replicas of a shard; it has three.
        replies = []
        wait_for(lambda: replies.append(self.ask("/all/x", deadline=600)) or
                 replies[-1].status == 503, "refused at once")
        refused = replies[-1]
        self.assertLess(refused.seconds, 0.1)
        self.assertIn("Retry-After", refused.headers)
        time.sleep(0.3)
        lines = self.nodes[0].log().splitlines()
        for reply, outcome in ((timed_out, "timed_out"), (refused, "refused")):
            found = [l for l in lines if "request=" + reply.id in l]
            self.assertTrue(any("outcome=" + outcome in l for l in found),
                            found)
        self.assertTrue(any("event=replica_belief" in l and
                            "state=unresponsive" in l for l in lines))

    def test_metrics_and_reload(self):
        """Guards against counters that nobody can read, and against a reload
        that ends the process."""
        self.ask("/all/x")
        metrics = get("%s:%d" % (self.nodes[0].ip, BASE_PORT + 6), "/metrics")
        for name in (b"requests_total", b"sends_total", b"store_calls_total",
                     b"config_version 3"):
            self.assertIn(b"tanagervane_" + name, metrics.body)
        self.nodes[0].process.send_signal(signal.SIGHUP)
        wait_for(lambda: "event=settings_reloaded" in self.nodes[0].log(),
                 "reload is logged")
        self.check_merged(self.ask("/all/x"))

    def test_reload_signal_during_the_start_is_harmless(self):
        """Guards against a process that a reload signal ends before it has
        read its settings (soak seeds 323 and 326). The start is held up by
        settings that come through a pipe."""
        node = self.nodes[0]
        node.stop()
        with open(node.path, encoding="utf-8") as file:
            settings = file.read()
        os.unlink(node.path)
        os.mkfifo(node.path)
        node.start()
        with open(node.path, "w", encoding="utf-8") as pipe:
            # The open returns when the process has come to its settings.
            node.process.send_signal(signal.SIGHUP)
            time.sleep(0.2)
            self.assertIsNone(node.process.poll())
            os.unlink(node.path)
            self.write(node.path, settings)
            pipe.write(settings)
        wait_for(node.ready, "node is ready")

    @staticmethod
    def write(path, text):
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)

    def test_changed_settings_apply_without_a_signal(self):
        """Guards against settings that wait for a signal which never comes,
        and against a broken file that ends the process."""
        node = self.nodes[1]
        with open(node.path, encoding="utf-8") as file:
            settings = file.read()
        self.addCleanup(self.write, node.path, settings)
        for text, event in ((settings.replace(": 3,", ": 4,"),
                             "event=settings_reloaded"),
                            (settings + "}", "event=settings_reload_refused")):
            self.assertNotIn(event, node.log())
            self.write(node.path, text)
            wait_for(lambda event=event: event in node.log(), event, 5)
        self.check_merged(self.ask("/all/x"))


if __name__ == "__main__":
    unittest.main()
