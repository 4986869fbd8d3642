"""Rate limits of tenants that hold over all nodes together."""

import concurrent.futures
import time
import unittest

from node_test_case import NodeTestCase
from platform_cluster import (call_node, http_request, routes, wait_for,
                              wait_for_fleet)

RATE = 10
BURST = 5
TENANTS = [{"name": "a", "apiKeys": ["key-a"], "ratePerS": RATE,
            "burst": BURST},
           {"name": "free", "apiKeys": ["key-free"]}]
# The defaults of tanagervane-node.
WINDOW_S = 5
BOUND = (RATE * WINDOW_S + BURST) * 1.1 + 20
# Requests reach replicas later than they are admitted by up to this time.
ARRIVAL_JITTER_S = 0.3
# Shares are lent within this time after all nodes own theirs.
LEND_S = 2.0


class QuotaTest(NodeTestCase):
    """Three nodes and a tenant with a limit."""

    def setUp(self):
        super().setUp()
        self.platform.configure(routes(), TENANTS)
        self.start_nodes(3)
        wait_for_fleet(self.nodes)
        self.wait_for_shares()

    def wait_for_shares(self):
        for node in self.nodes:
            wait_for(lambda node=node: self.owned_share(node) == "0.3333",
                     "the node owns a third", 15)
        time.sleep(LEND_S)

    @staticmethod
    def owned_share(node):
        lines = [line for line in node.log().splitlines()
                 if "event=quota_share" in line]
        return lines[-1].split("owned=")[1].split()[0] if lines else ""

    @staticmethod
    def call(node, key="key-a"):
        return call_node(node, "/one/x", headers={"Api-Key": key})

    def send(self, seconds, nodes, interval_s):
        """Sends requests to the nodes in turn; returns the replies."""
        replies = []
        end = time.monotonic() + seconds
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            while time.monotonic() < end:
                replies.append(pool.submit(self.call,
                                           nodes[len(replies) % len(nodes)]))
                time.sleep(interval_s)
            return [reply.result() for reply in replies]

    def check_bound(self):
        self.check_arrivals("desk", WINDOW_S - ARRIVAL_JITTER_S, BOUND)

    def test_limit_holds_over_the_nodes(self):
        """Guards against more requests of a tenant than its limit, requests
        that are lost, and limits that affect other tenants."""
        replies = self.send(11, self.nodes, 0.015)
        self.check_bound()
        self.assertEqual({reply.status for reply in replies}, {200, 429})
        admitted = sum(reply.status == 200 for reply in replies)
        self.assertGreaterEqual(admitted, 0.95 * RATE * 11)
        for reply in replies:
            if reply.status == 429:
                self.assertGreater(float(reply.headers["Retry-After"]), 0)
                self.assertLess(reply.seconds, 0.5)
        self.assertEqual(self.call(self.nodes[0], "key-free").status, 200)
        metrics = [http_request(node.ip + ":%d" % (int(
            node.gossip_address.split(":")[1]) + 1), "/").body.decode()
                   for node in self.nodes]
        self.assertTrue(any("tanagervane_quota_refused_total" in text
                            for text in metrics))

    def test_killed_and_restarted_node(self):
        """Guards against a fresh burst of a new process, and against a tenant
        that is refused after the fleet has recovered."""
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            load = pool.submit(self.send, 14, self.nodes, 0.015)
            time.sleep(4)
            self.nodes[1].process.kill()
            self.nodes[1].process.wait()
            time.sleep(3)
            self.nodes[1].start()
            replies = load.result()
        self.check_bound()
        # The killed node accepts no connections or closes them.
        self.assertLessEqual({reply.status for reply in replies},
                             {0, 200, 429, 503})
        wait_for(self.nodes[1].ready, "the node is ready again")
        self.wait_for_shares()
        replies = self.send(4, self.nodes, 0.15)
        self.assertEqual({reply.status for reply in replies}, {200})

    def test_callers_on_one_node(self):
        """Guards against refusals of a tenant within its allowance whose
        callers all use one node."""
        for node in self.nodes:
            replies = self.send(4, [node], 0.125)
            self.assertEqual({reply.status for reply in replies}, {200})


if __name__ == "__main__":
    unittest.main()
