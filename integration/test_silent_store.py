"""A store that accepts calls for some seconds and never answers them."""

import concurrent.futures
import time
import unittest

from node_test_case import NodeTestCase
from platform_cluster import call_node, wait_for_fleet

SILENCE_S = 2.8
# The changes of registrations that the store acknowledges this long after it
# responds again must take effect in time.
RECOVERY_S = 5.0
DRAIN_S = 3.0
# Changes are gathered for half a second before the next watch begins.
BEFORE_NEXT_WATCH_S = 0.2
# The nodes have taken up their roles, and all watches that they began earlier
# have ended.
SETTLED_S = 5.0
# Shorter than any check of the store by the nodes.
SHORT_SILENCE_S = 0.4
BURST = 16


class SilentStoreTest(NodeTestCase):

    def burst(self, node):
        """Sends requests at once, more than the replicas in use can take, so
        that the node uses all replicas that it knows."""
        with concurrent.futures.ThreadPoolExecutor(BURST) as pool:
            list(pool.map(lambda _: call_node(node, "/one/x", "POST", b"x"),
                          range(BURST)))

    def start(self, stale_s):
        """Starts four nodes and returns a replica of "desk"."""
        self.platform.store.stale_s = stale_s
        self.platform.add_replicas("desk", 1)
        leaving = self.platform.replicas["desk"][0]
        for replica in self.platform.replicas["desk"]:
            replica.slots = 1
            replica.work_ms = 300
            replica.register()
        time.sleep(stale_s)
        # The first three watch the latest state, the fourth reads stale data.
        self.start_nodes(4)
        wait_for_fleet(self.nodes)
        time.sleep(SETTLED_S)
        return leaving

    def check_removal(self, leaving):
        """Removes a registration and requires that its replica gets no
        requests after the drain timeout."""
        self.platform.store.delete("servers", leaving.name)
        removed_at = time.monotonic()
        time.sleep(DRAIN_S + 0.05)
        for node in self.nodes:
            self.burst(node)
        late = [at - removed_at for at in leaving.arrival_times
                if at > removed_at + DRAIN_S]
        self.assertEqual(late, [])

    def play(self, stale_s):
        store = self.platform.store
        leaving = self.start(stale_s)
        # All nodes begin a watch while the store is silent.
        self.platform.add_replicas("desk", 1)
        time.sleep(BEFORE_NEXT_WATCH_S)
        store.silent = True
        time.sleep(SILENCE_S)
        store.silent = False
        time.sleep(RECOVERY_S)
        self.check_removal(leaving)

    def test_removal_after_a_silence(self):
        """Guards against watches that began during the silence and wait in
        vain: requests then reach a replica that was removed."""
        self.play(0)

    def test_removal_after_a_silence_with_stale_reads(self):
        """As above, where most reads show the state of some seconds ago."""
        self.play(2)

    def play_lost_answers(self, stale_s):
        store = self.platform.store
        leaving = self.start(stale_s)
        store.silent = store.lose_watch_answers = True
        # The watches of all nodes are answered in vain.
        self.platform.add_replicas("desk", 1)
        time.sleep(SHORT_SILENCE_S + stale_s)
        store.silent = store.lose_watch_answers = False
        time.sleep(RECOVERY_S)
        self.check_removal(leaving)

    def test_removal_after_lost_answers(self):
        """Guards against watches whose answers were lost in a silence and that
        wait in vain, although the store answers all other calls."""
        self.play_lost_answers(0)

    def test_removal_after_lost_answers_with_stale_reads(self):
        """As above, where most reads show the state of some seconds ago."""
        self.play_lost_answers(2)


if __name__ == "__main__":
    unittest.main()
