"""tanagervane-node with the stand-in of the users' platform."""

import json
import os
import signal
import socket
import time
import threading
import unittest

from node_test_case import NodeTestCase
from platform_cluster import (BASE_PORT, SHARDS, call_node, http_request,
                              routes, wait_for, wait_for_fleet)


class PlatformTest(NodeTestCase):

    def setUp(self):
        super().setUp()
        self.start_nodes(2)

    def call_node(self, path, node=None, method="GET", body=None,
                  deadline=1000):
        return call_node(node or self.nodes[0], path, method, body, deadline)

    def test_every_route_is_served(self):
        """Guards against routes that are not served from end to end."""
        for node in self.nodes:
            for _ in range(20):
                self.check_merged(self.call_node("/all/x", node))
                reply = self.call_node("/one/x", node, "POST", b"order")
                self.assertEqual(reply.status, 200)
                self.assertIn("Server-Seal", reply.headers)
        self.assertEqual(self.call_node("/none/x").status, 404)
        wait_for_fleet(self.nodes)

    def test_damaged_replies_are_not_merged(self):
        """Guards against truncated, stray and failed replies in a merged
        answer."""
        for mode in ("cut", "extra", "error", "shed", "reset"):
            for shard in SHARDS:
                self.platform.replicas[shard][0].mode = mode
            for _ in range(20):
                self.check_merged(self.call_node("/all/x"))

    def test_non_idempotent_request_runs_once(self):
        """Guards against a second run, and against a 503, which means not run,
        for a request that ran."""
        for replica in self.platform.replicas["desk"]:
            replica.mode = "reset"
        ids = []
        for _ in range(5):
            reply = self.call_node("/one/x", method="POST", body=b"order")
            self.assertIn(reply.status, (502, 503))
            ids.append((reply.id, reply.status))
        ran = [r for replica in self.platform.replicas["desk"]
               for r in replica.ran]
        for request_id, status in ids:
            self.assertLessEqual(ran.count(request_id), 1)
            if status == 503:
                self.assertEqual(ran.count(request_id), 0)

    def test_unresponsive_shard_does_not_delay_answers(self):
        """Guards against late answers while no replica of a shard responds."""
        for replica in self.platform.replicas[SHARDS[0]]:
            replica.mode = "silent"
        for _ in range(5):
            reply = self.call_node("/all/x")
            self.check_merged(reply)
            self.assertLess(reply.seconds, 0.4)
        time.sleep(1.5)
        reply = self.call_node("/all/x")
        self.check_merged(reply)
        self.assertEqual(reply.headers["Missing-Parts"], "1")

    def test_store_outages_and_changes(self):
        """Guards against configuration versions that do not take effect, or
        revert, around a store outage, a discarded history and a watch that
        omits events."""
        store = self.platform.store
        numbers = iter(range(100))

        def route_to_new_service():
            service = "desk%d" % next(numbers)
            self.platform.add_replicas(service, 2)
            self.platform.configure(routes(single_service=service))
            return service

        def serves(node, service):
            seal = self.call_node("/again/x", node).headers.get(
                "Server-Seal", "")
            return seal.startswith(service + ".")

        for fault in ("none", "unavailable", "omit_events", "forget"):
            if fault in ("unavailable", "omit_events"):
                setattr(store, fault, True)
                time.sleep(0.3)
                self.check_merged(self.call_node("/all/x"))
            service = route_to_new_service()
            if fault == "forget":
                store.forget_history()
            time.sleep(0.2)
            store.unavailable = False
            if fault == "omit_events":
                # The restarted node reads the store; the other one learns the
                # version by gossip.
                self.nodes[0].stop()
                self.nodes[0].start()
                wait_for(self.nodes[0].ready, "the restarted node is ready")
            for node in self.nodes:
                wait_for(lambda n=node: serves(n, service),
                         "fault %s: the new version is in force" % fault, 3)
            store.omit_events = False

    def test_start_waits_for_its_address(self):
        """Guards against a process that ends because its predecessor still
        holds the address."""
        node = self.nodes[0]
        node.stop()
        host, port = node.caller_address.split(":")
        with socket.socket() as holder:
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            holder.bind((host, int(port)))
            holder.listen()
            node.start()
            wait_for(lambda: "event=start_delayed" in node.log(),
                     "the start is delayed")
            time.sleep(0.5)
            self.assertIsNone(node.process.poll())
        wait_for(node.ready, "the node is ready")

    def test_start_waits_for_its_settings(self):
        """Guards against a process that ends because its settings file is
        being replaced."""
        node = self.nodes[0]
        node.stop()
        with open(node.path, encoding="utf-8") as file:
            settings = file.read()
        self.write(node.path, settings[:len(settings) // 2])
        node.start()
        wait_for(lambda: "event=settings_delayed" in node.log(),
                 "the start is delayed")
        self.write(node.path, settings)
        wait_for(node.ready, "the node is ready")

    def test_settings_without_optional_values(self):
        """Guards against a process that does not start because the platform
        has no value for a setting, or states a limit as a fraction."""
        node = self.nodes[0]
        node.stop()
        with open(node.path, encoding="utf-8") as file:
            settings = json.load(file)
        settings.update(memory_mb=390.5, max_descriptors=None, policy=None)
        settings["bounds"].update(retry_slack=None, drain_ms=None)
        self.write(node.path, json.dumps(settings))
        node.start()
        wait_for(node.ready, "the node is ready")

    def test_orders_late_in_a_graceful_stop(self):
        """Guards against orders that are taken late in the grace time of a
        stop, reach a replica and are cut at its end."""
        slow_routes = routes()
        for route in slow_routes:
            route["timeoutMs"] = 5000
        self.platform.configure(slow_routes)
        desk = self.platform.replicas["desk"]
        for replica in desk:
            replica.work_ms = 2300
        self.start_nodes(1)
        node = self.nodes[-1]
        node.process.send_signal(signal.SIGTERM)
        time.sleep(0.6)
        reply = call_node(node, "/one/x", "POST", b"x", deadline=4000)
        ran = [id_ for replica in desk for id_ in replica.ran]
        self.assertEqual(reply.status, 503)
        self.assertLess(reply.seconds, 0.3)
        self.assertNotIn(reply.id, ran)

    def test_graceful_stop(self):
        """Guards against requests that a graceful stop cuts, and against a
        directory that still lists the stopping node."""
        for replica in self.platform.all_replicas():
            replica.work_ms = 100
        wait_for(lambda: len(self.nodes[0].addresses()) == 2,
                 "both nodes are known to the directory")
        replies = []
        threads = [threading.Thread(target=lambda: replies.append(
            self.call_node("/one/x", method="POST", body=b"x")))
                   for _ in range(20)]
        for thread in threads:
            thread.start()
        time.sleep(0.03)
        self.nodes[0].process.send_signal(signal.SIGTERM)
        for thread in threads:
            thread.join()
        self.assertEqual([r.status for r in replies], [200] * 20)
        self.assertFalse(self.nodes[0].ready())
        wait_for(lambda: self.nodes[1].addresses() ==
                 {self.nodes[1].caller_address},
                 "the stopped node is not listed", 2)
        self.assertEqual(self.nodes[0].process.wait(5), 0)
        self.assertIn("event=stopped", self.nodes[0].log())

    def test_failed_request_is_logged_by_id(self):
        """Guards against failed requests that the log does not explain."""
        for shard in SHARDS[:2]:
            for replica in self.platform.replicas[shard]:
                replica.mode = "silent"
        timed_out = self.call_node("/all/x", deadline=600)
        self.assertEqual(timed_out.status, 504)
        # Each request finds two of the three replicas of a shard unresponsive.
        replies = []
        wait_for(lambda: replies.append(
            self.call_node("/all/x", deadline=600)) or
                 replies[-1].status == 503, "a request is refused at once")
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
        """Guards against missing metrics, and against a reload that ends the
        process."""
        self.call_node("/all/x")
        metrics = http_request("%s:%d" % (self.nodes[0].ip, BASE_PORT + 6),
                               "/metrics")
        for name in (b"requests_total", b"sends_total", b"store_calls_total",
                     b"config_version 3"):
            self.assertIn(b"tanagervane_" + name, metrics.body)
        self.nodes[0].process.send_signal(signal.SIGHUP)
        wait_for(lambda: "event=settings_reloaded" in self.nodes[0].log(),
                 "the reload is logged")
        self.check_merged(self.call_node("/all/x"))

    def test_reload_signal_during_start(self):
        """Guards against a reload signal that ends the process before it has
        read its settings (soak seeds 323 and 326). The settings come through
        a pipe, which delays the start."""
        node = self.nodes[0]
        node.stop()
        with open(node.path, encoding="utf-8") as file:
            settings = file.read()
        os.unlink(node.path)
        os.mkfifo(node.path)
        node.start()
        with open(node.path, "w", encoding="utf-8") as pipe:
            # The open has returned, so the process is reading its settings.
            node.process.send_signal(signal.SIGHUP)
            time.sleep(0.2)
            self.assertIsNone(node.process.poll())
            os.unlink(node.path)
            self.write(node.path, settings)
            pipe.write(settings)
        wait_for(node.ready, "the node is ready")

    @staticmethod
    def write(path, text):
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)

    def test_settings_file_change_is_applied(self):
        """Guards against changed settings that are applied only after a signal,
        and against an invalid file that ends the process."""
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
        self.check_merged(self.call_node("/all/x"))


if __name__ == "__main__":
    unittest.main()
