"""tanagervane-node beside peers that send without end or hold connections."""

import json
import resource
import socket
import tempfile
import time
import unittest

from platform_cluster import (SHARDS, Node, ask, get, merge_problem, routes,
                              wait_for)
from platform_standin import ENDLESS, Platform

# Bytes without end must not show in a node's memory: an idle node has about
# 10 MB, and its settings allow 64 MB of unfinished responses.
MOST_MEMORY_MB = 120
OBJECTIVE_S = 0.3


def memory_mb(node):
    with open("/proc/%d/status" % node.process.pid, encoding="ascii") as file:
        for line in file:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
    raise AssertionError("no VmHWM")


def text(value):
    """A text as gossip encodes it."""
    return bytes([len(value)]) + value.encode()


def connect(address):
    host, port = address.split(":")
    return socket.create_connection((host, int(port)), timeout=2)


class HostilePeersTest(unittest.TestCase):

    def setUp(self):
        self.platform = Platform()
        self.addCleanup(self.platform.close)
        self.platform.serve_all()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.node = Node(1, self.platform, self.folder)
        self.addCleanup(self.node.stop)
        wait_for(self.node.ready, "node is ready")

    def check_merged(self, reply):
        self.assertEqual(reply.status, 200)
        self.assertEqual(merge_problem(reply), "")

    def test_replicas_that_send_without_end(self):
        """Guards against answers without end: one replica of each shard sends
        them, and callers are served by the others, on time and in bounded
        memory."""
        for mode in ENDLESS:
            for shard in SHARDS:
                self.platform.replicas[shard][0].mode = mode
            late = 0
            for _ in range(25):
                reply = ask(self.node, "/all/x")
                self.check_merged(reply)
                late += reply.seconds > OBJECTIVE_S
            self.assertLessEqual(late, 1, mode)
        self.assertLess(memory_mb(self.node), MOST_MEMORY_MB)

    def test_service_of_which_every_replica_sends_without_end(self):
        """Guards against one service that takes the others with it, and against
        requests that are held beyond their time."""
        for mode in ENDLESS:
            for replica in self.platform.replicas["desk"]:
                replica.mode = mode
            reply = ask(self.node, "/again/x", deadline=400)
            self.assertIn(reply.status, (502, 503, 504), mode)
            self.assertLess(reply.seconds, 0.6, mode)
            self.check_merged(ask(self.node, "/all/x"))
        self.assertLess(memory_mb(self.node), MOST_MEMORY_MB)

    def test_store_that_sends_without_end(self):
        """Guards against a store in trouble that fills the memory, or whose
        changes stay unseen when it is well again."""
        store = self.platform.store
        for mode in ("endless_garbage", "endless_body", "slow_head"):
            store.endless = mode
            self.platform.configure(routes())
            time.sleep(0.5)
            self.check_merged(ask(self.node, "/all/x"))
            store.endless = None
        self.platform.add_replicas("other", 2)
        self.platform.configure(routes(one="other"))
        wait_for(lambda: ask(self.node, "/again/x").headers.get(
            "Server-Seal", "").startswith("other."), "version in force", 20)
        self.assertLess(memory_mb(self.node), MOST_MEMORY_MB)

    def test_peer_that_holds_connections(self):
        """Guards against one peer whose idle connections or half-sent headers
        shut out all other callers."""
        _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 4096), hard))
        for start in (b"", b"GET /all/x HTTP/1.1\r\nHost: h"):
            held = []
            for address in (self.node.callers, self.node.readiness,
                            self.node.directory):
                for _ in range(600):
                    held.append(connect(address))
                    if start:
                        held[-1].send(start)
            for _ in range(150):
                self.check_merged(ask(self.node, "/all/x"))
            self.assertTrue(self.node.ready())
            reply = get(self.node.directory,
                        "/tanagervane/resolve?name=h.example")
            self.assertEqual(reply.status, 200)
            for connection in held:
                connection.close()

    def test_forged_gossip(self):
        """Guards against datagrams in the name of another VM, or of no VM, that
        change who is in the directory, and against a log line for each."""
        other = Node(2, self.platform, self.folder)
        self.addCleanup(other.stop)
        wait_for(other.ready, "second node is ready")
        both = {self.node.callers, other.callers}
        wait_for(lambda: self.addresses() == both, "both are known")
        # Layout version, sender, two changes, peers known, one record.
        record = (text("node-2") + b"\xff\xff\xff\xff\xff\xff\xff\x7f" +
                  b"\xff\x7f" + b"\x02" + text("6.6.6.6:6") +
                  text("6.6.6.6:7") + text("a") + b"\x01")
        forged = (b"\x02" + text("node-2") + b"\xff\xff\xff\x7f\x00\x00" +
                  b"\x01" + record + b"\x00\x00")
        calls = self.platform.store.calls
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sender.bind(("127.0.9.9", 0))
        host, port = self.node.gossip.split(":")
        end = time.monotonic() + 3
        while time.monotonic() < end:
            for datagram in (forged, b"noise", forged[:20]):
                sender.sendto(datagram, (host, int(port)))
            self.assertEqual(self.addresses(), both)
            self.check_merged(ask(self.node, "/all/x"))
        sender.close()
        self.assertLess(self.node.log().count("event=gossip_rejected"), 6)
        self.assertIn("reason=foreign_address", self.node.log())
        self.assertLess(self.platform.store.calls - calls, 12)

    def addresses(self):
        reply = get(self.node.directory,
                    "/tanagervane/resolve?name=h.example")
        return set(json.loads(reply.body)["addrs"]) if reply.body else set()


if __name__ == "__main__":
    unittest.main()
