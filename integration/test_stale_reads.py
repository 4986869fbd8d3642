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
# Processes that were killed start again this long after.
RESTART_S = 0.6
# A process that has run for so long must know changes in time.
STABILITY_S = 4
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
        # The first three watch the latest state, the fourth reads stale data.
        self.start_nodes(4)
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

    def test_changes_after_all_processes_were_killed(self):
        """Guards against the first seconds after all processes were killed, in
        which none watches the latest state (review/7): requests reach a replica
        that was removed then."""
        self.platform.store.stale_s = 2 * STALE_S
        leaving = self.platform.replicas["desk"][0]
        for replica in self.platform.replicas["desk"]:
            replica.slots = 1
            replica.work_ms = 300
            replica.register()
        time.sleep(2 * STALE_S)
        # The first three watch the latest state, the fourth reads stale data.
        self.start_nodes(4)
        wait_for_fleet(self.nodes)
        time.sleep(ROLES_S)
        for node in self.nodes:
            node.process.kill()
            node.process.wait()
        time.sleep(RESTART_S)
        for node in self.nodes:
            node.start()
        started_at = time.monotonic()
        time.sleep(0.5)
        self.platform.store.delete("servers", leaving.name)
        time.sleep(started_at + STABILITY_S + 0.05 - time.monotonic())
        for node in self.nodes:
            self.burst(node)
        late = [at - started_at for at in leaving.arrival_times
                if at > started_at + STABILITY_S]
        self.assertEqual(late, [])


if __name__ == "__main__":
    unittest.main()
