"""Evacuation of a data centre."""

import signal
import time
import unittest

from node_test_case import NodeTestCase
from platform_cluster import call_node, wait_for, wait_for_fleet

EVACUATION_S = 5
BOUNDS = {"evacuation_ms": EVACUATION_S * 1000}
ZONES = ["a", "b", "c"]
# A node may watch the latest state of the store this long after its start.
WATCH_ROLE_S = 5


class EvacuationTest(NodeTestCase):
    """One replica of each service in each of three data centres."""

    def setUp(self):
        super().setUp()
        for group in self.platform.replicas.values():
            for zone, replica in zip(ZONES, group):
                replica.zone = zone
                replica.register()

    def evacuate(self, zone):
        self.platform.store.put("evacuations", zone, {})

    def evacuated_arrivals(self, zone):
        return {request for replica in self.platform.all_replicas()
                if replica.zone == zone for request in replica.arrived}

    def send(self, nodes, count=10):
        return [call_node(node, path) for _ in range(count) for node in nodes
                for path in ("/all/x", "/again/x", "/one/x")]

    def check_unused(self, nodes, zone):
        """Checks that requests are served and none reaches the zone."""
        before = self.evacuated_arrivals(zone)
        replies = self.send(nodes)
        self.assertEqual({reply.status for reply in replies}, {200})
        self.assertEqual(self.evacuated_arrivals(zone) - before, set())

    def check_used_again(self, zone):
        before = len(self.evacuated_arrivals(zone))
        wait_for(lambda: self.send(self.nodes, 2) and
                 len(self.evacuated_arrivals(zone)) > before,
                 "the replicas of the data centre are used again")

    def test_evacuation_and_return(self):
        """Guards against requests to an evacuated data centre, against
        refusals although other replicas can serve, and against replicas that
        stay unused after the evacuation."""
        self.start_nodes(2, bounds=BOUNDS)
        self.check_used_again("a")
        self.evacuate("a")
        time.sleep(EVACUATION_S)
        self.check_unused(self.nodes, "a")
        self.assertIn("event=evacuation_began data_centre=a",
                      self.nodes[0].log())
        self.platform.store.delete("evacuations", "a")
        time.sleep(EVACUATION_S)
        self.check_used_again("a")

    def test_failing_replicas_elsewhere(self):
        """Guards against retries and hedges to an evacuated data centre while
        replicas of the others fail, and against replicas that register there
        during the evacuation."""
        self.start_nodes(1, bounds=BOUNDS)
        self.evacuate("a")
        time.sleep(EVACUATION_S)
        for replica in self.platform.all_replicas():
            if replica.zone == "b":
                replica.mode = "shed"
            elif replica.zone == "a":
                replica.started_at_ms += 1000
                replica.register()
        time.sleep(1)
        before = self.evacuated_arrivals("a")
        self.send(self.nodes)
        self.assertEqual(self.evacuated_arrivals("a"), before)

    def test_stale_reads_and_killed_node(self):
        """Guards against nodes that learn of an evacuation only when stale
        reads show it, and against a node that starts without knowing of it."""
        self.platform.store.stale_s = 8
        time.sleep(self.platform.store.stale_s)
        # The first three watch the latest state, the fourth reads stale data.
        self.start_nodes(4, bounds=BOUNDS)
        wait_for_fleet(self.nodes)
        time.sleep(WATCH_ROLE_S)
        self.evacuate("b")
        time.sleep(EVACUATION_S)
        self.check_unused(self.nodes, "b")
        # A start later than the gossip about the change, while the stale state
        # does not show it.
        node = self.nodes[3]
        node.process.send_signal(signal.SIGKILL)
        node.process.wait()
        node.start()
        wait_for(node.ready, "the node is ready")
        self.check_unused([node], "b")

    def test_without_a_bound(self):
        """Guards against store calls and changed routing in deployments whose
        settings give no bound."""
        self.evacuate("a")
        self.start_nodes(1)
        self.check_used_again("a")
        self.assertNotIn("evacuations", self.platform.store.called_kinds)


if __name__ == "__main__":
    unittest.main()
