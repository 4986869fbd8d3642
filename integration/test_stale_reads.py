"""tanagervane-node beside a store whose stale reads are seconds old."""

import concurrent.futures
import time
import unittest

from node_test_case import NodeTestCase
from platform_cluster import call_node, wait_for_fleet

STALE_S = 2
DRAIN_S = 3
# A node takes up its role of watching the latest state this long after its
# start.
ROLES_S = 4.5
ROUNDS = 3
BURST = 16


class StaleReadsTest(NodeTestCase):

    def burst(self, node):
        """Sends orders at once, more than the replicas in use can take, so
        that the node uses all replicas that it knows."""
        with concurrent.futures.ThreadPoolExecutor(BURST) as pool:
            list(pool.map(lambda _: call_node(node, "/one/x", "POST", b"x"),
                          range(BURST)))

    def test_replica_that_leaves_by_removal_alone(self):
        """Guards against orders to a replica whose registration was removed
        longer ago than the drain timeout, from a node that reads it late."""
        self.platform.store.stale_s = STALE_S
        self.platform.add_replicas("desk", ROUNDS)
        for replica in self.platform.replicas["desk"]:
            replica.slots = 1
            replica.work_ms = 300
            replica.register()
        time.sleep(STALE_S)
        self.start_nodes(2)
        wait_for_fleet(self.nodes)
        time.sleep(ROLES_S)
        for replica in self.platform.replicas["desk"][:ROUNDS]:
            self.platform.store.delete("servers", replica.name)
            removed_at = time.monotonic()
            time.sleep(DRAIN_S + 0.05)
            for node in self.nodes:
                self.burst(node)
            late = [at - removed_at for at in replica.arrival_times
                    if at > removed_at + DRAIN_S]
            self.assertEqual(late, [], replica.name)


if __name__ == "__main__":
    unittest.main()
