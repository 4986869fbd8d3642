"""tanagervane-node beside other writers of the store, whose entries are not
readable."""

import unittest

from node_test_case import NodeTestCase
from platform_cluster import call_node, routes, wait_for
from platform_standin import RawSpec

# More levels than the stack of a process holds.
DEEP = 100000


def nested(opening, closing):
    return opening * DEEP + closing * DEEP


class ForeignEntriesTest(NodeTestCase):

    def check_entry(self, spec):
        """Checks that nodes follow the store and that one gets ready beside an
        entry of another writer."""
        self.platform.store.put("servers", "i-foreign", RawSpec(spec))
        service = "new-%d" % len(self.nodes)
        self.platform.add_replicas(service, 1)
        self.platform.configure(routes(single_service=service))
        for node in self.nodes:
            wait_for(lambda: call_node(node, "/again/x").headers.get(
                "Server-Seal", "").startswith(service + "."),
                     "the new replica and version are in use")
            self.check_merged(call_node(node, "/all/x"))
        self.start_nodes(1)
        self.check_merged(call_node(self.nodes[-1], "/all/x"))
        for node in self.nodes:
            self.assertIsNone(node.process.poll(), "the process has ended")

    def test_deeply_nested_entry(self):
        """Guards against an entry whose nesting overflows the stack of each
        process that reads the list."""
        self.start_nodes(1)
        self.check_entry('{"service":%s}' % nested("[", "]"))
        self.check_entry('{"zone":%s1%s}' % ('{"a":' * DEEP, "}" * DEEP))


if __name__ == "__main__":
    unittest.main()
