"""tanagervane-node with tenants whose callers present keys."""

import signal
import time
import unittest

from fault_links import Links
from node_test_case import NodeTestCase
from platform_cluster import (BASE_PORT, call_node, http_request, routes,
                              wait_for, wait_for_fleet)

LINK_PORTS = BASE_PORT + 6000
REVOCATION_S = 5
TENANTS = [{"name": "a", "apiKeys": ["key-a1", "key-a2"], "priority": 0},
           {"name": "b", "apiKeys": ["key-b"]}]


def metric(node, name):
    """Returns the value of a metric without labels."""
    text = http_request("%s:%d" % (node.ip, BASE_PORT + 6), "/metrics").body
    lines = [line.split() for line in text.decode().splitlines()]
    return [float(line[1]) for line in lines if line and line[0] == name][0]


def identity_routes():
    """The usual routes, of which /again/ is public."""
    result = routes()
    result[2]["public"] = True
    return result


class IdentityTestCase(NodeTestCase):

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


class IdentityTest(IdentityTestCase):

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


class RevocationTest(IdentityTestCase):
    """Node 1 reaches the store; node 2 reaches it over a link."""

    def setUp(self):
        super().setUp()
        self.bounds = {"strict_revocation": True}
        self.links = Links([self.platform.store.address], LINK_PORTS)
        self.addCleanup(self.links.stop)
        self.start_nodes(1)
        self.start_nodes(1, self.links.addresses[0])
        wait_for_fleet(self.nodes)
        for node in self.nodes:
            wait_for(lambda node=node: self.status(node, "key-b") == 200,
                     "the node has a proof")

    def status(self, node, key, path="/one/x"):
        return self.call(node, path, key).status

    def remove_key_a1(self):
        tenants = [dict(TENANTS[0], apiKeys=["key-a2"]), TENANTS[1]]
        self.platform.configure(identity_routes(), tenants)

    def check_only_public_routes(self, node, key):
        """Checks that the node runs no request with the key, says that it has
        not run it, and serves a public route."""
        for _ in range(5):
            reply = self.call(node, "/one/x", key)
            self.assertEqual(reply.status, 503)
            self.assertGreater(float(reply.headers["Retry-After"]), 0)
            self.assertEqual(self.arrived_headers(reply.id), [])
            self.assertEqual(self.status(node, None, "/again/x"), 200)

    def test_key_removed_while_a_node_is_cut_from_the_store(self):
        """Guards against a revoked key that still works on a node that cannot
        read the new configuration, and against a node that then serves no
        public routes or stays in the directory."""
        cut_off = self.nodes[1]
        self.links.set_faults(0, {"cut": True})
        time.sleep(1)
        # The proof of node 1 serves both.
        self.assertEqual(self.status(cut_off, "key-a1"), 200)
        self.remove_key_a1()
        removed_at = time.monotonic()
        wait_for(lambda: self.status(self.nodes[0], "key-a1") == 401,
                 "node 1 knows the removal", REVOCATION_S)
        time.sleep(max(0, removed_at + REVOCATION_S - time.monotonic()))
        for key in ("key-a1", "key-a2", "unknown"):
            self.check_only_public_routes(cut_off, key)
        wait_for(lambda: self.nodes[0].addresses() ==
                 {self.nodes[0].caller_address} == cut_off.addresses(),
                 "the directories omit the node")
        self.assertEqual(self.status(self.nodes[0], "key-a2"), 200)
        self.assertIn("config_proof valid=false", cut_off.log())
        self.links.set_faults(0, {"cut": False})
        wait_for(lambda: self.status(cut_off, "key-a2") == 200,
                 "the node serves again", 10)
        self.assertEqual(self.status(cut_off, "key-a1"), 401)
        wait_for_fleet(self.nodes)
        for node in self.nodes:
            self.assertNotIn("key-", node.log())

    def test_key_removed_while_a_node_is_stopped(self):
        """Guards against a revoked key that works on a node that was stopped
        when it was removed and could not read the configuration since."""
        stopped = self.nodes[1]
        stopped.process.send_signal(signal.SIGSTOP)
        self.links.set_faults(0, {"cut": True})
        # No other node can tell it.
        self.nodes[0].stop()
        self.remove_key_a1()
        time.sleep(REVOCATION_S)
        stopped.process.send_signal(signal.SIGCONT)
        self.check_only_public_routes(stopped, "key-a1")

    def test_one_node_calls_the_store(self):
        """Guards against proofs that each node gets from the store, and against
        refusals while all is well."""
        calls = [metric(node, "tanagervane_config_proof_calls_total")
                 for node in self.nodes]
        end = time.monotonic() + 6
        while time.monotonic() < end:
            for node in self.nodes:
                self.assertEqual(self.status(node, "key-b"), 200)
                self.assertEqual(self.status(node, "unknown"), 401)
            time.sleep(0.1)
        calls = [metric(node, "tanagervane_config_proof_calls_total") - before
                 for node, before in zip(self.nodes, calls)]
        self.assertGreaterEqual(calls[0], 4)
        self.assertLessEqual(calls[0], 7)
        self.assertEqual(calls[1], 0)


if __name__ == "__main__":
    unittest.main()
