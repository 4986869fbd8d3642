"""tanagervane-node with replicas, health checks and a store whose responses
have a status that HTTP does not know."""

import time
import unittest

from node_test_case import NodeTestCase
from platform_cluster import SHARDS, call_node, routes, wait_for
from platform_standin import ENDLESS, EndlessReply, response

STATUSES = ("000", "099", "600", "999")
MODES = (*STATUSES, "interim")


def invalid_reply(mode, fields, body):
    """Returns a response with the status, or an interim response with a body,
    each followed by a response that would be valid on its own."""
    final = response(200, body, fields)
    if mode == "interim":
        return response(103, final) + final
    return (response(200, b"trouble", [("Trouble", "1"), *fields])
            .replace(b" 200 ", b" %s " % mode.encode(), 1) + final)


class SingleReply(EndlessReply):
    """A reply of the store that ends and leaves the connection open."""

    async def write(self, writer):
        writer.write(self.start)
        await writer.drain()


def break_replica(replica, mode, health_mode=None):
    """Makes the replica answer requests, or only health checks, with an
    invalid reply. No mode restores it."""
    async def answer(request):
        health = request.path == "/healthz"
        active = health_mode if health else mode
        if active is None:
            return await type(replica).answer(replica, request)
        if active == "silent":
            replica.mode = "silent"
            return await type(replica).answer(replica, request)
        if not health:
            replica.ran.append(request.headers.get("request-id"))
        fields = [*replica.headers(request), ("Server-Seal", "forged")]
        return invalid_reply(active, fields, b"forged")
    replica.mode = "good"
    replica.answer = answer


class InvalidStatusTest(NodeTestCase):

    def setUp(self):
        super().setUp()
        self.start_nodes(1)
        self.node = self.nodes[0]

    def test_one_replica_of_each_shard(self):
        """Guards against a part of a fan-out that is taken from an invalid
        response."""
        for mode in MODES:
            for shard in SHARDS:
                break_replica(self.platform.replicas[shard][0], mode)
            for _ in range(8):
                self.check_merged(call_node(self.node, "/all/x"))

    def test_all_replicas_of_a_service(self):
        """Guards against an invalid response that reaches the caller, and
        against a request that is repeated although it may have run."""
        for mode in MODES:
            desk = self.platform.replicas["desk"]
            for replica in desk:
                break_replica(replica, mode)
            reply = call_node(self.node, "/one/x", "POST", b"x")
            self.assertEqual(reply.status, 502, mode)
            self.assertNotIn("Server-Seal", reply.headers, mode)
            self.assertNotIn("Trouble", reply.headers, mode)
            ran = [id_ for replica in desk for id_ in replica.ran]
            self.assertLessEqual(ran.count(reply.id), 1, mode)
            for replica in desk:
                break_replica(replica, None)
            wait_for(lambda: call_node(self.node, "/one/x").status == 200,
                     "the replicas are in use again")

    def test_health_checks(self):
        """Guards against an invalid response that counts as a healthy
        replica."""
        for mode in MODES:
            desk = self.platform.replicas["desk"]
            for replica in desk:
                break_replica(replica, "silent", mode)
            lines = self.node.log().count("state=unresponsive")
            for _ in range(6):
                call_node(self.node, "/one/x", deadline=300)
            wait_for(lambda: self.node.log().count("state=unresponsive") >
                     lines, "a replica is unresponsive")
            answering = self.node.log().count("state=answering")
            time.sleep(1.2)
            self.assertEqual(self.node.log().count("state=answering"),
                             answering, mode)
            for replica in desk:
                break_replica(replica, None)
            wait_for(lambda: call_node(self.node, "/one/x").status == 200,
                     "the replicas are in use again")

    def test_store(self):
        """Guards against an invalid response of the store that is taken for
        its state."""
        page = b'{"items":[],"hasMore":false,"at":1000000,"events":[]}'
        for mode in MODES:
            ENDLESS[mode] = SingleReply(invalid_reply(mode, [], page), b"")
            self.platform.store.endless = mode
            self.platform.configure(routes())
            time.sleep(0.3)
            self.check_merged(call_node(self.node, "/all/x"))
            self.platform.store.endless = None
        self.platform.add_replicas("other", 2)
        self.platform.configure(routes(single_service="other"))
        wait_for(lambda: call_node(self.node, "/again/x").headers.get(
            "Server-Seal", "").startswith("other."),
                 "the new version is in force", 20)


if __name__ == "__main__":
    unittest.main()
