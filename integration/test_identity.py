"""tanagervane-node with tenants whose callers present keys."""

import unittest

from node_test_case import NodeTestCase
from platform_cluster import call_node, routes, wait_for

TENANTS = [{"name": "a", "apiKeys": ["key-a1", "key-a2"], "priority": 0},
           {"name": "b", "apiKeys": ["key-b"]}]


def identity_routes():
    """The usual routes, of which /again/ is public."""
    result = routes()
    result[2]["public"] = True
    return result


class IdentityTest(NodeTestCase):

    def setUp(self):
        super().setUp()
        self.platform.configure(identity_routes(), TENANTS)

    def arrived_headers(self, request_id):
        return [headers for replica in self.platform.all_replicas()
                for headers in replica.arrived_headers
                if headers.get("request-id") == request_id]

    def call(self, node, path, key=None, **fields):
        headers = {} if key is None else {"Api-Key": key}
        return call_node(node, path, headers=headers | fields)

    def test_keys_and_tenants(self):
        """Guards against callers without a known key that are served, keys or
        tenants of callers that reach replicas, and attempts that do not name
        the tenant."""
        self.start_nodes(1)
        node = self.nodes[0]
        for key, tenant in (("key-a1", "a"), ("key-a2", "a"), ("key-b", "b")):
            for path, attempts in (("/all/x", 4), ("/one/x", 1)):
                reply = self.call(node, path, key, Tenant="evil")
                self.assertEqual(reply.status, 200)
                arrived = self.arrived_headers(reply.id)
                self.assertGreaterEqual(len(arrived), attempts)
                self.assertEqual({h.get("tenant") for h in arrived}, {tenant})
                self.assertFalse(any(key in str(h) for h in arrived))
        for key in (None, "", "key-a", "KEY-A1"):
            reply = self.call(node, "/one/x", key)
            self.assertEqual(reply.status, 401)
            self.assertEqual(self.arrived_headers(reply.id), [])
        reply = self.call(node, "/again/x", "key-a1", Tenant="evil")
        self.assertEqual(reply.status, 200)
        arrived = self.arrived_headers(reply.id)
        self.assertEqual([h.get("tenant") for h in arrived], [None])
        self.assertFalse(any("key-a1" in str(h) for h in arrived))
        self.assertNotIn("key-a1", node.log())

    def test_a_node_without_the_store_rejects_no_unknown_key(self):
        """Guards against a 401, which callers do not repeat, from a node that
        may lack the configuration with the key."""
        self.start_nodes(1)
        node = self.nodes[0]
        self.platform.store.unavailable = True
        wait_for(lambda: self.call(node, "/one/x", "new").status == 503,
                 "the node is unsure", 20)
        reply = self.call(node, "/one/x", "new")
        self.assertGreater(float(reply.headers["Retry-After"]), 0)
        self.assertEqual(self.call(node, "/one/x", "key-a1").status, 200)
        self.platform.store.unavailable = False
        self.platform.configure(identity_routes(), TENANTS + [
            {"name": "c", "apiKeys": ["new"]}])
        wait_for(lambda: self.call(node, "/one/x", "new").status == 200,
                 "the new key is in force", 20)


if __name__ == "__main__":
    unittest.main()
