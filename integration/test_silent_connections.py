"""tanagervane-node with connections that go silent without a reset."""

import threading
import unittest

from node_test_case import NodeTestCase
from platform_cluster import call_node, wait_for

# A replica must be in use again this soon after connections went silent.
RECOVERY_S = 8


class SilentConnectionsTest(NodeTestCase):

    def test_silence_while_health_checks_wait(self):
        """Guards against replicas that are not used again after the
        connections of their health checks have gone silent."""
        self.start_nodes(1)
        node = self.nodes[0]
        desk = self.platform.replicas["desk"]
        for replica in desk:
            replica.mode = "silent"
            replica.health_delay_s = 1.5
        callers = [threading.Thread(target=call_node, args=(node, "/one/x",
                                                            "POST", b"x"))
                   for _ in range(12)]
        for caller in callers:
            caller.start()
        wait_for(lambda: node.log().count("state=unresponsive") == len(desk),
                 "all replicas are unresponsive")
        wait_for(lambda: all(replica.health_checks for replica in desk),
                 "all replicas have a health check")
        for replica in desk:
            replica.silence_connections()
            replica.mode = "good"
            replica.health_delay_s = 0
        for caller in callers:
            caller.join()
        wait_for(lambda: call_node(node, "/one/x", "POST", b"x").status == 200,
                 "the replicas are in use again", RECOVERY_S)


if __name__ == "__main__":
    unittest.main()
