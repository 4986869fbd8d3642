"""A store that is restored from a copy that is some seconds old."""

import time
import unittest

from node_test_case import NodeTestCase
from platform_cluster import (
    call_node, http_request, routes, wait_for, wait_for_fleet)

# The copy is this much older than the restore.
COPY_AGE_S = 2.0
# The configuration must be in force this long after its acknowledgement.
CONFIG_APPLY_S = 3.0
DRAIN_S = 3.0
REGISTERED_S = 5


class StoreEraTest(NodeTestCase):

    def setUp(self):
        super().setUp()
        self.store = self.platform.store
        self.store.era = 1

    def serve(self, node, seconds):
        """Checks that requests are served for some time."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self.assertEqual(call_node(node, "/all/x").status, 200)
            self.assertEqual(call_node(node, "/again/x").status, 200)
            time.sleep(0.02)

    def restore_and_write_again(self, copy, replica):
        """Restores the store. The replica and the operator write again what
        was lost, the operator with a greater version."""
        self.store.restore(copy)
        time.sleep(0.5)
        replica.register()

    def registered_vms(self):
        return set(self.store.objects["tanagervane-vms"])

    def play(self, stale_s):
        self.store.stale_s = stale_s
        time.sleep(stale_s)
        # The first three watch the latest state, the others read stale data.
        self.start_nodes(4)
        wait_for_fleet(self.nodes)
        old_version = self.platform.version
        copy = self.store.copy()
        # All of this is lost: a node, a replica and a configuration.
        self.start_nodes(1)
        wait_for_fleet(self.nodes)
        self.platform.add_replicas("desk", 1)
        new_replica = self.platform.replicas["desk"][-1]
        self.platform.configure(routes(single_service="s0"))
        time.sleep(COPY_AGE_S)
        revision = self.store.revision
        wait_for(lambda: all("version=%d" % self.platform.version in node.log()
                             for node in self.nodes),
                 "the configuration is in force")
        self.restore_and_write_again(copy, new_replica)
        self.assertLess(self.store.revision, revision)
        self.serve(self.nodes[0], 1)
        wait_for(lambda: len(self.registered_vms()) == 5,
                 "all nodes are registered again", REGISTERED_S)
        for node in self.nodes:
            wait_for(lambda node=node: "event=store_era era=2" in node.log(),
                     "the node knows the era", REGISTERED_S)
            # The configuration in force did not go back.
            last = [line for line in node.log().splitlines()
                    if "event=config_in_force" in line][-1]
            self.assertNotIn("version=%d " % old_version, last)
        # Changes of the new era have lower revisions than those known before.
        self.platform.configure(routes(single_service="desk"))
        applied = "event=config_in_force version=%d" % self.platform.version
        for node in self.nodes:
            wait_for(lambda node=node: applied in node.log(),
                     "a configuration of the new era is in force",
                     CONFIG_APPLY_S)
        self.serve(self.nodes[1], 1)
        leaving = self.platform.replicas["desk"][0]
        self.store.delete("servers", leaving.name)
        time.sleep(DRAIN_S + 0.1)
        arrived = len(leaving.arrived)
        for node in self.nodes:
            self.serve(node, 0.5)
        self.assertEqual(len(leaving.arrived), arrived)

    def test_restore(self):
        """Guards against nodes that ignore changes of the new era, fall back to
        an old configuration, or stay unregistered."""
        self.play(0)

    def test_restore_with_stale_reads(self):
        """As above, where most reads show the state of some seconds ago."""
        self.play(2)

    def test_watch_of_a_lost_revision_gets_410(self):
        """Guards against a stand-in that answers a watch from a revision that
        it does not have."""
        copy = self.store.copy()
        self.platform.configure(routes())
        watch = "/tanagervane/objects/config?watch=%d&waitMs=1" % (
            self.store.revision)
        self.store.restore(copy)
        reply = http_request(self.store.address, watch)
        self.assertEqual(reply.status, 410)
        self.assertEqual(reply.headers["Store-Era"], "2")


if __name__ == "__main__":
    unittest.main()
