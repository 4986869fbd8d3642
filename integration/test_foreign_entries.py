"""tanagervane-node beside other writers of the store, whose entries are not
readable."""

import unittest

from node_test_case import NodeTestCase
from platform_cluster import call_node, routes, wait_for, wait_for_fleet
from platform_standin import PAGE_SIZE, RawSpec

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

    def test_unreadable_entries(self):
        """Guards against an entry that cannot be read and stops the reading
        of the entries beside it, also after a restart."""
        self.start_nodes(1)
        for value in ("1e999", '"\udcff\udcfe"', '"\\ud800"', "tru",
                      "9" * 400):
            self.check_entry('{"service":%s,"addr":"127.0.0.1:70000"}' % value)
        for node in self.nodes:
            self.assertEqual(node.log().count("event=store_lost"), 0)
            self.assertLessEqual(
                node.log().count("event=replica_entry_invalid"), 5)

    def test_unreadable_entries_of_other_kinds(self):
        """Guards against an unreadable configuration, or registration of a
        VM, that stops the reading of the others."""
        self.start_nodes(1)
        store = self.platform.store
        store.put("config", "other", RawSpec('{"version":1e999}'))
        store.put("tanagervane-vms", "front-x", RawSpec('{"gossip":"\udcff"}'))
        store.put("tanagervane-vms", "front-y",
                  RawSpec('{"gossip":"127.0.0.1:99999"}'))
        self.check_entry("[]")
        wait_for_fleet(self.nodes)

    def test_names_with_special_characters(self):
        """Guards against a name at the end of a page that makes the request of
        the next page invalid."""
        for number in range(2 * PAGE_SIZE):
            self.platform.store.put(
                "servers", "i &?#%%2f\u00e4 %02d" % number, RawSpec("null"))
        self.start_nodes(1)
        self.check_entry("{}")


if __name__ == "__main__":
    unittest.main()
