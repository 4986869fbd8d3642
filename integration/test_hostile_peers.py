"""tanagervane-node with peers that send endless replies, hold connections
open, or forge gossip."""

import resource
import socket
import time
import unittest

from node_test_case import NodeTestCase
from platform_cluster import SHARDS, call_node, http_request, routes, wait_for
from platform_standin import ENDLESS

# Bounds the memory that endless replies may cost: an idle node uses about
# 10 MB, and its settings allow 64 MB of unfinished responses.
MAX_MEMORY_MB = 120
OBJECTIVE_S = 0.3


# The largest resident size of a node's process so far, in MB.
def memory_mb(node):
    with open("/proc/%d/status" % node.process.pid, encoding="ascii") as file:
        for line in file:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
    raise AssertionError("no VmHWM line in /proc/PID/status")


def encode_text(value):
    """Encodes a text as gossip does: its length, then its bytes."""
    return bytes([len(value)]) + value.encode()


def connect(address):
    host, port = address.split(":")
    return socket.create_connection((host, int(port)), timeout=2)


class HostilePeersTest(NodeTestCase):

    def setUp(self):
        super().setUp()
        self.start_nodes(1)
        self.node = self.nodes[0]

    def test_one_replica_of_each_shard_sends_endless_replies(self):
        """Guards against late answers and unbounded memory when one replica of
        each shard sends endless replies."""
        for mode in ENDLESS:
            for shard in SHARDS:
                self.platform.replicas[shard][0].mode = mode
            late = 0
            for _ in range(25):
                reply = call_node(self.node, "/all/x")
                self.check_merged(reply)
                late += reply.seconds > OBJECTIVE_S
            self.assertLessEqual(late, 1, mode)
        self.assertLess(memory_mb(self.node), MAX_MEMORY_MB)

    def test_all_replicas_of_a_service_send_endless_replies(self):
        """Guards against a service whose endless replies disturb other
        services, and against requests to it that outlast their deadline."""
        for mode in ENDLESS:
            for replica in self.platform.replicas["desk"]:
                replica.mode = mode
            reply = call_node(self.node, "/again/x", deadline=400)
            self.assertIn(reply.status, (502, 503, 504), mode)
            self.assertLess(reply.seconds, 0.6, mode)
            self.check_merged(call_node(self.node, "/all/x"))
        self.assertLess(memory_mb(self.node), MAX_MEMORY_MB)

    def test_late_rejection_without_an_id(self):
        """Guards against an order that runs twice because a late copy of a
        rejected health check is taken for its rejection."""
        desk = self.platform.replicas["desk"]
        for replica in desk:
            replica.mode = "late_rejection"
        ids = []
        for _ in range(6):
            reply = call_node(self.node, "/one/x", "POST", b"x")
            self.assertEqual(reply.status, 200)
            ids.append(reply.id)
        ran = [id_ for replica in desk for id_ in replica.ran]
        self.assertEqual(sorted(ran), sorted(ids))

    def test_store_sends_endless_replies(self):
        """Guards against unbounded memory when the store sends endless replies,
        and against changes that are missed after it has recovered."""
        store = self.platform.store
        for mode in ("endless_garbage", "endless_body", "slow_head"):
            store.endless = mode
            self.platform.configure(routes())
            time.sleep(0.5)
            self.check_merged(call_node(self.node, "/all/x"))
            store.endless = None
        self.platform.add_replicas("other", 2)
        self.platform.configure(routes(single_service="other"))
        wait_for(lambda: call_node(self.node, "/again/x").headers.get(
            "Server-Seal", "").startswith("other."),
                 "the new version is in force", 20)
        self.assertLess(memory_mb(self.node), MAX_MEMORY_MB)

    def test_peer_holds_connections(self):
        """Guards against a peer that blocks other callers by many idle
        connections or incomplete request headers."""
        _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 4096), hard))
        for start in (b"", b"GET /all/x HTTP/1.1\r\nHost: h"):
            held = []
            for address in (self.node.caller_address,
                            self.node.readiness_address,
                            self.node.directory_address):
                for _ in range(600):
                    held.append(connect(address))
                    if start:
                        held[-1].send(start)
            for _ in range(150):
                self.check_merged(call_node(self.node, "/all/x"))
            self.assertTrue(self.node.ready())
            reply = http_request(self.node.directory_address,
                                 "/tanagervane/resolve?name=h.example")
            self.assertEqual(reply.status, 200)
            for connection in held:
                connection.close()

    def test_forged_gossip(self):
        """Guards against forged or malformed gossip datagrams that change the
        directory, and against one log line for each of them."""
        self.start_nodes(1)
        other = self.nodes[1]
        both = {self.node.caller_address, other.caller_address}
        wait_for(lambda: self.node.addresses() == both,
                 "both nodes are known to the directory")
        # Layout version, sender, last configuration and replica change, number
        # of known peers, one peer record, no digests, no quarantine.
        record = (encode_text("node-2") + b"\xff\xff\xff\xff\xff\xff\xff\x7f" +
                  b"\xff\x7f" + b"\x02" + encode_text("6.6.6.6:6") +
                  encode_text("6.6.6.6:7") + encode_text("a") + b"\x01")
        forged = (b"\x02" + encode_text("node-2") +
                  b"\xff\xff\xff\x7f\x00\x00" + b"\x01" + record + b"\x00\x00")
        calls = self.platform.store.calls
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sender.bind(("127.0.9.9", 0))
        host, port = self.node.gossip_address.split(":")
        end = time.monotonic() + 3
        while time.monotonic() < end:
            for datagram in (forged, b"noise", forged[:20]):
                sender.sendto(datagram, (host, int(port)))
            self.assertEqual(self.node.addresses(), both)
            self.check_merged(call_node(self.node, "/all/x"))
        sender.close()
        self.assertLess(self.node.log().count("event=gossip_rejected"), 6)
        self.assertIn("reason=foreign_address", self.node.log())
        self.assertLess(self.platform.store.calls - calls, 12)


if __name__ == "__main__":
    unittest.main()
