"""Rate limits of tenants while nodes are lost for good, replaced or paused."""

import concurrent.futures
import signal
import time
import unittest

from node_test_case import NodeTestCase
from platform_cluster import call_node, routes, wait_for, wait_for_fleet

RATE = 40
BURST = 20
TENANTS = [{"name": "a", "apiKeys": ["key-a"], "ratePerS": RATE,
            "burst": BURST}]
# The defaults of tanagervane-node.
WINDOW_S = 5
BOUND = (RATE * WINDOW_S + BURST) * 1.1 + 20
# Requests reach replicas later than they are admitted by up to this time.
ARRIVAL_JITTER_S = 0.3
# Tenants are served this long after the nodes are back.
RECOVERY_S = 15
# Shares are lent within this time after all nodes own theirs.
LEND_S = 2
# A quarter of the allowance, which is left when half of the nodes are lost
# twice.
MODEST_INTERVAL_S = 4 / RATE
EXCESSIVE_INTERVAL_S = 1 / (3 * RATE)
NODES = 4
STORE_KIND = "tanagervane-vms"


class LostVmsTest(NodeTestCase):
    """Four nodes and a tenant with a limit."""

    def setUp(self):
        super().setUp()
        self.platform.configure(routes(), TENANTS)
        self.start_nodes(NODES)
        wait_for_fleet(self.nodes)
        self.wait_for_claims()

    def claims(self):
        """Returns the claims in the registrations of the nodes."""
        listed = self.platform.store.objects[STORE_KIND]
        return [item["spec"].get("quotaDivisor") for item in listed.values()]

    def wait_for_claims(self):
        """Waits until each node claims its share."""
        wait_for(lambda: self.claims() == [NODES] * NODES, "the claims", 15)
        time.sleep(LEND_S)

    @staticmethod
    def end(nodes):
        for node in nodes:
            node.process.kill()
        for node in nodes:
            node.process.wait()

    def restart_all(self, nodes):
        self.end(nodes)
        for node in nodes:
            node.start()

    @staticmethod
    def call(node):
        return call_node(node, "/again/x", headers={"Api-Key": "key-a"})

    def send(self, seconds, nodes, interval_s):
        """Sends requests to the nodes in turn; returns the statuses."""
        replies = []
        start = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(32) as pool:
            while time.monotonic() < start + seconds:
                node = nodes[len(replies) % len(nodes)]
                replies.append(pool.submit(self.call, node))
                delay = start + len(replies) * interval_s - time.monotonic()
                time.sleep(max(delay, 0))
        return [reply.result().status for reply in replies]

    def check_served_and_bound(self, nodes):
        """Nodes that are back serve a tenant within its allowance after
        RECOVERY_S at the latest, and the limit holds when it asks more."""
        end = time.monotonic() + RECOVERY_S
        for node in nodes:
            wait_for(lambda node=node: self.call(node).status == 200,
                     "the node serves", end - time.monotonic())
        time.sleep(LEND_S)
        statuses = self.send(4, nodes, MODEST_INTERVAL_S)
        self.assertGreaterEqual(statuses.count(200) / len(statuses), 0.9,
                                statuses)
        self.send(7, nodes, EXCESSIVE_INTERVAL_S)
        self.check_bound()

    def check_bound(self):
        self.check_arrivals("desk", WINDOW_S - ARRIVAL_JITTER_S, BOUND)

    def test_lost_and_all_restarted(self):
        """Guards against a fleet that refuses all tenants with limits after a
        restart of all, because a lost node remains registered."""
        self.end(self.nodes)
        for node in self.nodes[:-1]:
            node.start()
        self.check_served_and_bound(self.nodes[:-1])

    def test_half_lost_twice(self):
        """Guards against the same when more nodes are lost later."""
        self.end(self.nodes)
        for node in self.nodes[:2]:
            node.start()
        self.check_served_and_bound(self.nodes[:2])
        self.end(self.nodes[:2])
        self.nodes[0].start()
        self.check_served_and_bound(self.nodes[:1])

    def test_replaced_and_restarted_in_turn(self):
        """Guards against the same after a planned restart in turn, when a lost
        node was replaced at a new address."""
        self.end(self.nodes[-1:])
        time.sleep(3)
        self.start_nodes(1)
        wait_for(lambda: len(self.claims()) == NODES + 1 and
                 all(self.claims()), "the new node claims a share", 15)
        alive = self.nodes[:NODES - 1] + self.nodes[NODES:]
        for node in alive:
            node.stop()
            node.start()
            time.sleep(2)
        self.check_served_and_bound(alive)

    def test_paused_while_the_others_restart(self):
        """Guards against a paused node whose share the others use, and against
        refusals until it runs again."""
        paused = self.nodes[0].process
        paused.send_signal(signal.SIGSTOP)
        self.restart_all(self.nodes[1:])
        self.check_served_and_bound(self.nodes[1:])
        paused.send_signal(signal.SIGCONT)
        self.send(7, self.nodes, EXCESSIVE_INTERVAL_S)
        self.check_bound()
        self.check_served_and_bound(self.nodes)

    def test_stray_registration(self):
        """Guards against a registration that nobody owns, which blocks the
        others."""
        self.platform.store.put(STORE_KIND, "stray",
                                {"gossip": "127.0.7.99:9"})
        self.restart_all(self.nodes)
        self.check_served_and_bound(self.nodes)


if __name__ == "__main__":
    unittest.main()
