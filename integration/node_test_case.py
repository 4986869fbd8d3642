"""Base class of the tests of nodes on the stand-in of the users' platform."""

import tempfile
import unittest

from platform_cluster import Node, merge_problem, wait_for
from platform_standin import Platform


class NodeTestCase(unittest.TestCase):
    """Provides `platform` with the default services, `folder`, and a list of
    `nodes` that starts empty."""

    def setUp(self):
        self.platform = Platform()
        self.addCleanup(self.platform.close)
        self.platform.add_default_services()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.nodes = []
        # Bounds in the settings of nodes that are started, beside the usual.
        self.bounds = {}

    def start_nodes(self, count, store_address=None, settings=None,
                    bounds=None):
        """Starts further nodes and waits until they are ready. They reach the
        store at another address if one is given. `settings` replaces settings
        of the top level; `bounds` are added to those in the settings."""
        first = len(self.nodes) + 1
        started = [Node(first + i, self.platform, self.folder, store_address,
                        settings, {**self.bounds, **(bounds or {})})
                   for i in range(count)]
        for node in started:
            self.addCleanup(node.stop)
            wait_for(node.ready, "the node is ready")
        self.nodes += started

    def check_merged(self, reply):
        self.assertEqual(reply.status, 200)
        self.assertEqual(merge_problem(reply), "")

    def check_arrivals(self, service, seconds, bound):
        """Checks that at most `bound` requests reached the replicas of a
        service in each span of `seconds`."""
        times = sorted(t for replica in self.platform.replicas[service]
                       for t in replica.arrival_times)
        for start in times:
            self.assertLessEqual(
                sum(start <= t < start + seconds for t in times), bound)
