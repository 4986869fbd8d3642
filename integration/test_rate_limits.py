"""Replicas that state how many requests per second they take from all nodes
together."""

import concurrent.futures
import json
import time
import unittest

from node_test_case import NodeTestCase
from platform_cluster import call_node, wait_for, wait_for_fleet
from statement_audit import (BACKOFF_REQUESTS, EXCESS_FACTOR, EXCESS_REQUESTS,
                             REACTION_S, WINDOW_S)

# A replica that rejects a request may ask for a back-off of this
# length.
BACKOFF_S = 3.0
# Requests that are sent at the same time, so that all replicas get some.
CONCURRENT_REQUESTS = 8


class RateLimitsTest(NodeTestCase):
    """Two nodes and three replicas of the service "desk"."""

    def setUp(self):
        super().setUp()
        self.start_nodes(2)
        wait_for_fleet(self.nodes)
        self.replicas = self.platform.replicas["desk"]
        for replica in self.replicas:
            # So slow that requests sent at the same time need all replicas.
            replica.work_ms = 50

    def send(self, seconds, nodes=None):
        """Sends requests to the nodes for some time; returns the replies."""
        replies = []
        end = time.monotonic() + seconds
        with concurrent.futures.ThreadPoolExecutor(
                CONCURRENT_REQUESTS) as pool:
            while time.monotonic() < end:
                replies += pool.map(
                    lambda i: call_node((nodes or self.nodes)[i % 2],
                                        "/again/x"),
                    range(CONCURRENT_REQUESTS))
                time.sleep(0.05)
        return replies

    def check_limit(self, replica, limit, since):
        """Checks the arrivals in each window that begins after `since`."""
        arrivals = [t for t in replica.arrival_times if t >= since]
        allowed = EXCESS_FACTOR * limit * WINDOW_S + EXCESS_REQUESTS
        for start in arrivals:
            count = sum(start <= t < start + WINDOW_S for t in arrivals)
            self.assertLessEqual(count, allowed)

    def test_nodes_share_the_limit(self):
        """Guards against more requests than a replica takes from all nodes
        together, when the others can serve them."""
        limited = self.replicas[0]
        limited.rate_limit = 4.0
        self.send(REACTION_S)
        since = time.monotonic()
        replies = self.send(WINDOW_S + 2)
        self.assertEqual({reply.status for reply in replies}, {200})
        self.check_limit(limited, limited.rate_limit, since)
        self.assertGreater(len(limited.arrival_times), WINDOW_S)

    def test_limits_of_all_replicas(self):
        """Guards against more requests than limited replicas take, and against
        requests that are held instead of being refused at once, when all
        replicas of a service state a limit."""
        for replica in self.replicas:
            replica.rate_limit = 3.0
        self.send(REACTION_S)
        since = time.monotonic()
        replies = self.send(WINDOW_S + 2)
        for replica in self.replicas:
            self.check_limit(replica, replica.rate_limit, since)
        self.assertEqual({reply.status for reply in replies}, {200, 503})
        for reply in replies:
            if reply.status == 503:
                self.assertLess(reply.seconds, 0.2)
                self.assertIn("Retry-After", reply.headers)
                self.assertEqual(json.loads(reply.body)["reason"],
                                 "rate_limited")

    def test_node_learns_the_limit_from_another(self):
        """Guards against a node that sends more than its share to a replica
        that has stated its limit to another node only."""
        limited = self.replicas[0]
        limited.rate_limit = 4.0
        self.send(REACTION_S, [self.nodes[0]] * 2)
        wait_for(lambda: "event=replica_rate_limit" in self.nodes[1].log(),
                 "the other node knows the limit", seconds=3)

    def test_limit_ends(self):
        """Guards against a replica that is spared although it states no limit
        any more, also by a node that sends it few requests."""
        for replica in self.replicas:
            # Two replicas cannot run all requests that are sent at the same
            # time, so the third is used also if it was measured to be slower.
            replica.slots = 2
            replica.register()
        limited = self.replicas[0]
        limited.rate_limit = 0.0
        self.send(1)
        limited.rate_limit = None
        wait_for(lambda: self.send(0.1) and all(
            "per_second=none" in n.log() for n in self.nodes),
                 "both nodes know that the limit has ended", seconds=12)
        known = len(limited.arrival_times)
        self.send(2)
        self.assertGreater(len(limited.arrival_times) - known, 20)

    def test_replicas_that_ask_for_a_backoff(self):
        """Guards against requests to replicas that have rejected one and asked
        for a back-off, and against replicas that are not used after it."""
        for replica in self.replicas:
            replica.mode = "shed"
            replica.retry_after_s = BACKOFF_S
        for node in self.nodes:
            self.send(0.3, [node, node])
        since = time.monotonic() + REACTION_S
        replies = self.send(BACKOFF_S - 1)
        self.assertEqual({reply.status for reply in replies}, {503})
        for replica in self.replicas:
            arrivals = [t for t in replica.arrival_times if t >= since]
            self.assertLessEqual(len(arrivals),
                                 BACKOFF_REQUESTS * len(self.nodes))
            replica.mode = "good"
        time.sleep(1.5)
        self.assertEqual({reply.status for reply in self.send(1)}, {200})


if __name__ == "__main__":
    unittest.main()
