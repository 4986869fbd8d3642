"""tanagervane-node with clients that hold its memory and its connections.

The limits are lowered in the settings, so that a few hundred clients exceed the
memory of the VM. The tests check that the process lives, that its memory and
descriptors stay under the limits of its machine, and that an ordinary request
is answered afterwards, while the clients are still connected."""

import os
import resource
import unittest

import hostile_clients
from hostile_clients import Crowd
from node_test_case import NodeTestCase
from platform_cluster import (BASE_PORT, call_node, http_request,
                              merge_problem, wait_for)

MEMORY_MB = 64
MAX_DESCRIPTORS = 1500
CLIENTS = 360
RUN_S = 1.5
ANSWER_S = 10


def status_mb(node, name):
    """Returns a memory figure of a node's process in MB."""
    with open("/proc/%d/status" % node.process.pid, encoding="ascii") as file:
        for line in file:
            if line.startswith(name + ":"):
                return int(line.split()[1]) / 1024
    raise AssertionError("no %s line in /proc/PID/status" % name)


class HostileClientsTest(NodeTestCase):

    def setUp(self):
        super().setUp()
        _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 4096), hard))
        self.start_nodes(1, settings={"memory_mb": MEMORY_MB,
                                      "max_descriptors": MAX_DESCRIPTORS})
        self.node = self.nodes[0]
        # A graceful stop would wait for the clients.
        self.addCleanup(self.node.process.kill)

    def places(self):
        metrics = "%s:%d" % (self.node.ip, BASE_PORT + 6)
        return {
            "route": (self.node.caller_address, "/one/x"),
            "fan_out": (self.node.caller_address, "/all/x"),
            "no_route": (self.node.caller_address, "/none/x"),
            "readiness": (self.node.readiness_address, "/tanagervane/ready"),
            "directory": (self.node.directory_address,
                          "/tanagervane/resolve?name=h.example"),
            "metrics": (metrics, "/metrics"),
        }

    def check_crowd(self, place, make_data, clients=CLIENTS, seconds=RUN_S,
                    pause=0.0, **options):
        address, path = self.places()[place]
        crowd = Crowd(address, clients, make_data(path), **options)
        self.addCleanup(crowd.close)
        crowd.run(seconds, pause)
        peak_mb = status_mb(self.node, "VmHWM")
        descriptors = len(os.listdir("/proc/%d/fd" % self.node.process.pid))
        print("%s: %d connections open, VmHWM %.0f MB, VmRSS %.0f MB, "
              "%d descriptors" %
              (self.id().split(".")[-1], len(crowd.open), peak_mb,
               status_mb(self.node, "VmRSS"), descriptors), flush=True)
        self.assertIsNone(self.node.process.poll(), "the process ended")
        self.assertLess(descriptors, MAX_DESCRIPTORS)
        self.check_ordinary_requests()
        self.assertIsNone(self.node.process.poll(), "the process ended")
        self.assertLess(status_mb(self.node, "VmHWM"), MEMORY_MB)

    def check_ordinary_requests(self):
        wait_for(lambda: merge_problem(call_node(self.node, "/all/x")) == "",
                 "an ordinary request is answered", ANSWER_S)
        wait_for(self.node.ready, "the readiness request is answered",
                 ANSWER_S)
        wait_for(lambda: http_request(
            self.node.directory_address,
            "/tanagervane/resolve?name=h.example").status == 200,
                 "the directory request is answered", ANSWER_S)

    def test_whole_bodies_on_silent_replicas(self):
        """Guards against unbounded memory of queued and running requests while
        the replicas do not answer."""
        for replica in self.platform.replicas["desk"]:
            replica.mode = "silent"
        self.check_crowd("route", hostile_clients.whole_body)

    def test_single_large_request(self):
        """Guards against a limit that refuses a request of the largest legal
        size when there is no load."""
        reply = call_node(self.node, "/one/x", "POST",
                          b"x" * hostile_clients.BODY_BYTES)
        self.assertEqual(reply.status, 200)
        reply = call_node(self.node, "/all/x", "POST",
                          b"x" * hostile_clients.BODY_BYTES)
        self.check_merged(reply)


# Each kind of client: the bytes that it sends, its options, and the failure
# that its tests guard against.
KINDS = {
    "stopped_bodies": (hostile_clients.stopped_body, {},
                       "bodies that stop before their last byte"),
    "stopped_bodies_in_small_pieces": (
        hostile_clients.stopped_body, {"piece": 8192},
        "bodies in small pieces that stop before their last byte"),
    "stopped_chunks": (hostile_clients.stopped_chunks, {},
                       "chunked bodies without a last chunk"),
    "quarter_bodies": (hostile_clients.quarter_body, {},
                       "bodies that stop below 64 KB"),
    "whole_bodies": (hostile_clients.whole_body, {},
                     "many bodies of legal size at once"),
    "oversized_bodies": (hostile_clients.oversized_body, {},
                         "bodies far over the limit"),
    "oversized_chunks": (hostile_clients.oversized_chunks, {},
                         "chunked bodies far over the limit"),
    "short_fields": (hostile_clients.short_fields, {},
                     "headers of thousands of short fields"),
    "open_fields": (hostile_clients.open_fields, {},
                    "headers of short fields without an end"),
    "pipelined": (hostile_clients.pipelined, {},
                  "pipelined requests whose responses are not read"),
    "slow_senders": (hostile_clients.stopped_body,
                     {"piece": 1, "pause": 0.02},
                     "clients that send byte by byte"),
    "slow_readers": (hostile_clients.pipelined,
                     {"piece": 4096, "pause": 0.02},
                     "clients that send slowly and never read"),
}
PLACES = ("route", "fan_out", "no_route", "readiness", "directory", "metrics")


def add_tests():
    """Adds one test method for each kind of client and each place."""
    for kind, (make_data, options, failure) in KINDS.items():
        for place in PLACES:
            def test(self, place=place, make_data=make_data, options=options):
                self.check_crowd(place, make_data, **options)
            test.__doc__ = ("Guards against unbounded memory or an "
                            "unresponsive process because of %s." % failure)
            setattr(HostileClientsTest, "test_%s_on_%s" % (kind, place), test)


add_tests()


if __name__ == "__main__":
    unittest.main()
