"""Replicas that state that they are about to end, and nodes that cannot learn
it from the store."""

import concurrent.futures
import time
import unittest

from fault_links import Links
from node_test_case import NodeTestCase
from platform_cluster import BASE_PORT, call_node, wait_for, wait_for_fleet
from statement_audit import DRAIN_S

LINK_PORTS = BASE_PORT + 6000
# Requests that are sent at the same time, so that all replicas get some.
CONCURRENT_REQUESTS = 12


class LeavingReplicasTest(NodeTestCase):
    """Node 1 reaches the store; node 2 reaches it over a link."""

    def setUp(self):
        super().setUp()
        self.links = Links([self.platform.store.address], LINK_PORTS)
        self.addCleanup(self.links.stop)
        self.start_nodes(1)
        self.start_nodes(1, self.links.addresses[0])
        for replica in self.platform.replicas["desk"]:
            # So slow that requests sent at the same time need all replicas.
            replica.work_ms = 50
        self.replica = self.platform.replicas["desk"][0]

    def cut_store(self):
        self.links.set_faults(0, {"blackhole": True})

    def send(self, node):
        """Sends requests at the same time; returns the replies."""
        with concurrent.futures.ThreadPoolExecutor(
                CONCURRENT_REQUESTS) as pool:
            return list(pool.map(lambda _: call_node(node, "/again/x"),
                                 range(CONCURRENT_REQUESTS)))

    def send_until_used(self, node):
        """Sends requests until the replica has answered one, so that the node
        knows what it states."""
        known = len(self.replica.ran)
        wait_for(lambda: self.send(node) and len(self.replica.ran) > known,
                 "the replica answers the node")

    def check_not_used(self, node, after_s):
        """Checks that the replica gets no request that is sent to the node
        later than `after_s` from now, and that the others serve them."""
        time.sleep(after_s)
        replies = [reply for _ in range(5) for reply in self.send(node)]
        self.assertEqual({reply.status for reply in replies}, {200})
        reached = {reply.id for reply in replies} & set(self.replica.arrived)
        self.assertEqual(len(reached), 0, "requests to a leaving replica")

    def test_statement_counts_without_the_store(self):
        """Guards against requests from a node that does not reach the store to
        a replica that has told it in a response that it leaves."""
        self.cut_store()
        self.replica.leave()
        self.send_until_used(self.nodes[1])
        self.check_not_used(self.nodes[1], DRAIN_S)

    def test_statement_is_final_for_the_incarnation(self):
        """Guards against requests to a leaving replica whose registration was
        removed and then restored by a late heartbeat."""
        self.replica.leaving = True
        self.send_until_used(self.nodes[0])
        store = self.platform.store
        for _ in range(2):
            store.delete("servers", self.replica.name)
            time.sleep(DRAIN_S / 2)
            self.replica.register()
        self.check_not_used(self.nodes[0], 0.5)

    def test_nodes_tell_each_other(self):
        """Guards against requests from a node that does not reach the store to
        a replica of which another node knows that it leaves."""
        wait_for_fleet(self.nodes)
        self.cut_store()
        # The responses do not state it: only node 1 learns it, from the store.
        self.replica.register("draining")
        wait_for(lambda: "event=replica_retired" in self.nodes[0].log(),
                 "node 1 knows that the replica leaves")
        self.check_not_used(self.nodes[1], DRAIN_S)

    def test_new_incarnation_is_used(self):
        """Guards against a replica that is never used again because an earlier
        incarnation left."""
        self.replica.leaving = True
        self.send_until_used(self.nodes[1])
        self.replica.leaving = False
        self.replica.started_at_ms += 1000
        self.replica.register()
        self.send_until_used(self.nodes[1])


if __name__ == "__main__":
    unittest.main()
