"""tanagervane-node with peers that close or reset a connection in the middle of
a response."""

import asyncio
import socket
import struct
import time
import unittest
import uuid

from node_test_case import NodeTestCase
from platform_cluster import (SHARDS, call_node, merge_problem, records_of,
                              routes, wait_for)
from platform_standin import EndlessReply, response

INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
# Lets the bytes before a reset arrive: a reset discards what is on its way.
ARRIVAL_S = 0.002
# Every byte of the header, and the bytes of the body in steps of this size.
BODY_STEP = 24


class CutReply(EndlessReply):
    """The start of a reply, then the end of the connection."""

    def __init__(self, start, reset):
        super().__init__(start, b"")
        self.reset = reset

    async def write(self, writer):
        writer.write(self.start)
        await writer.drain()
        await asyncio.sleep(ARRIVAL_S)
        if self.reset:
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def body_of(replica, request):
    return b"".join(records_of(replica.service,
                               request.headers["request-id"]))


def whole_reply(replica, request):
    return response(200, body_of(replica, request), [
        *replica.headers(request),
        ("Server-Seal", "%s.%s" % (replica.service, replica.name))])


def without_length(reply):
    """Returns the reply with its body ended by the end of the connection."""
    head, body = reply.split(b"\r\n\r\n", 1)
    lines = [line for line in head.split(b"\r\n")
             if not line.startswith(b"Content-Length")]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def chunked(reply):
    """Returns the reply with its body in chunks."""
    head, body = without_length(reply).split(b"\r\n\r\n", 1)
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part)
                      for part in (body[:50], body[50:]))
    return (head + b"\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks +
            b"0\r\n\r\n")


def cuts(reply):
    """The lengths at which a reply is cut, all shorter than the reply."""
    header = reply.index(b"\r\n\r\n") + 4
    return [*range(header), *range(header, len(reply), BODY_STEP),
            len(reply) - 1]


class Fault:
    """What a replica does with its whole reply. Counts the replies."""

    def __init__(self, change):
        self.change = change
        self.replies = 0

    def apply(self, replica):
        async def answer(request):
            if request.path == "/healthz":
                return await type(replica).answer(replica, request)
            replica.ran.append(request.headers["request-id"])
            self.replies += 1
            return self.change(whole_reply(replica, request))
        replica.answer = answer


def restore(replica):
    replica.__dict__.pop("answer", None)


# A reply of the length that those of "desk" and of the shards have.
def sample_reply(replica):
    class Sample:
        headers = {"request-id": uuid.uuid4().hex}
    return whole_reply(replica, Sample)


class HalfHeadTest(NodeTestCase):

    def setUp(self):
        super().setUp()
        # One replica of each service, which is asked again after each failure.
        for group in self.platform.replicas.values():
            for replica in group[1:]:
                self.platform.store.delete("servers", replica.name)
            del group[1:]
        self.start_nodes(1)
        self.node = self.nodes[0]
        self.desk = self.platform.replicas["desk"][0]

    def call_until_asked(self, fault, path):
        """Repeats a request until a replica with the fault was asked: a node
        avoids replicas that fail for a moment."""
        replies = fault.replies
        deadline = time.monotonic() + 10
        while True:
            reply = call_node(self.node, path)
            if fault.replies > replies:
                return reply
            self.assertLess(time.monotonic(), deadline,
                            "the replica is not asked")
            time.sleep(0.02)

    def play_cuts(self, path, replica, encode, check):
        """Cuts the encoded reply at each length, by close and by reset."""
        for length in cuts(encode(sample_reply(replica))):
            for reset in (False, True):
                fault = Fault(lambda reply: CutReply(
                    encode(reply)[:length], reset))
                fault.apply(replica)
                check(self.call_until_asked(fault, path),
                      "cut at %d, reset %s" % (length, reset))
        restore(replica)

    def check_part_is_missing(self, reply, cut):
        """The answer consists of the other shards, or there is none."""
        if reply.status != 200:
            self.assertIn(reply.status, (502, 503, 504), cut)
            return
        self.assertEqual(merge_problem(reply), "", cut)
        self.assertEqual(reply.headers.get("Missing-Parts"), "1", cut)
        self.assertNotIn(SHARDS[0] + ".", reply.headers["Part-Stamps"], cut)

    def check_no_answer(self, reply, cut):
        self.assertEqual(reply.status, 502, cut)
        self.assertNotIn("Server-Seal", reply.headers, cut)

    def test_part_of_a_fan_out(self):
        """Guards against a part that is taken from half a response."""
        self.play_cuts("/all/x", self.platform.replicas[SHARDS[0]][0],
                       lambda reply: reply, self.check_part_is_missing)

    def test_chunked_part_of_a_fan_out(self):
        """As above, with a body in chunks."""
        self.play_cuts("/all/x", self.platform.replicas[SHARDS[0]][0],
                       chunked, self.check_part_is_missing)

    def test_after_interim_responses(self):
        """Guards against an interim response, or the start of a final one, that
        counts as a whole answer."""
        self.play_cuts("/one/x", self.desk,
                       lambda reply: INTERIM + INTERIM + reply,
                       self.check_no_answer)

    def test_header_without_a_length(self):
        """Guards against half a header that counts as one without a length,
        whose body ends with the connection. A body that does is whole if the
        connection was closed, not if it was reset."""
        header = without_length(sample_reply(self.desk)).index(
            b"\r\n\r\n") + 4
        for length in (*range(header), header, header + 24, header + 192):
            for reset in (False, True):
                fault = Fault(lambda reply: CutReply(
                    without_length(reply)[:length], reset))
                fault.apply(self.desk)
                reply = self.call_until_asked(fault, "/one/x")
                cut = "cut at %d, reset %s" % (length, reset)
                if length < header or reset:
                    self.check_no_answer(reply, cut)
                    continue
                self.assertEqual(reply.status, 200, cut)
                self.assertEqual(reply.body, b"".join(records_of(
                    "desk", reply.id))[:length - header], cut)

    def pipeline(self, paths):
        """Sends requests on one connection without reading, and returns
        (status, seal, body) of each response, and their ids."""
        host, port = self.node.caller_address.split(":")
        ids = [uuid.uuid4().hex for _ in paths]
        connection = socket.create_connection((host, int(port)), timeout=5)
        with connection:
            connection.sendall(b"".join(
                ("GET %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\n"
                 "Deadline: 1000\r\n\r\n" % (path, id_)).encode()
                for path, id_ in zip(paths, ids)))
            file = connection.makefile("rb")
            replies = []
            while len(replies) < len(paths):
                status = file.readline()
                if not status:
                    break
                fields = {}
                while (line := file.readline().strip()):
                    name, _, value = line.decode().partition(":")
                    fields[name.lower()] = value.strip()
                body = file.read(int(fields.get("content-length", 0)))
                replies.append((int(status.split()[1]),
                                fields.get("server-seal", ""), body))
        return replies, ids

    def test_request_in_line_behind_half_a_response(self):
        """Guards against the answer to a request that is taken from the rest of
        an earlier one, on the connections of the caller and of the replica."""
        self.platform.add_replicas("other", 1)
        other = self.platform.replicas["other"][0]
        split = routes()
        split.append(dict(split[1], name="other", pathPrefix="/other/",
                          type="idempotent", service="other"))
        self.platform.configure(split)
        wait_for(lambda: call_node(self.node, "/other/x").status == 200,
                 "the route is in force")
        for length in cuts(sample_reply(self.desk)):
            for reset in (False, True):
                self.assertEqual(call_node(self.node, "/one/x").status, 200,
                                 "a connection is open")
                fault = Fault(lambda reply: CutReply(reply[:length], reset))
                fault.apply(self.desk)
                replies, ids = self.pipeline(["/one/x", "/other/x"])
                restore(self.desk)
                cut = "cut at %d, reset %s: %s" % (length, reset, replies)
                self.assertEqual(replies[0][:2], (502, ""), cut)
                self.assertEqual(replies[1:], [
                    (200, "other." + other.name,
                     b"".join(records_of("other", ids[1])))], cut)
                wait_for(lambda: call_node(self.node, "/one/x").status == 200,
                         "the replica is in use again")

    def test_half_a_response_behind_a_whole_one(self):
        """Guards against surplus bytes that spoil the answer before them or the
        next one on the connection."""
        for length in (1, 8, 15, 16, 17, 40, 100, 200, 300):
            for reset in (False, True):
                fault = Fault(lambda reply: CutReply(
                    reply + reply[:length], reset))
                fault.apply(self.desk)
                reply = self.call_until_asked(fault, "/again/x")
                restore(self.desk)
                cut = "cut at %d, reset %s" % (length, reset)
                # A reset may discard the whole response.
                if reply.status != 200:
                    self.assertTrue(reset, cut)
                    self.check_no_answer(reply, cut)
                else:
                    self.assertEqual(reply.body, b"".join(
                        records_of("desk", reply.id)), cut)
                self.assertEqual(call_node(self.node, "/again/x").status, 200,
                                 cut)

    def test_health_checks(self):
        """Guards against half a response that counts as a healthy replica."""
        whole = response(200, b"", self.desk.statements())
        length = 0

        async def answer(request):
            if request.path != "/healthz":
                await asyncio.sleep(3600)
            self.desk.health_checks += 1
            return CutReply(whole[:length], length % 2 == 1)
        self.desk.answer = answer
        for _ in range(6):
            call_node(self.node, "/one/x", deadline=300)
        wait_for(lambda: "state=unresponsive" in self.node.log(),
                 "the replica is unresponsive")
        for length in (0, 1, 12, 15, 16, 17, 30, len(whole) - 4,
                       len(whole) - 3, len(whole) - 2, len(whole) - 1):
            checks = self.desk.health_checks
            wait_for(lambda: self.desk.health_checks >= checks + 2,
                     "the replica is checked")
            self.assertNotIn("state=answering", self.node.log(), length)
        length = len(whole)
        wait_for(lambda: "state=answering" in self.node.log(),
                 "a whole response counts")

    def test_store(self):
        """Guards against half a response of the store that is taken for its
        state, whether or not it states a length."""
        store = self.platform.store
        self.platform.add_replicas("other", 1)
        cut_at = None
        configured = []

        async def answer(request):
            reply = await type(store).answer(store, request)
            if cut_at is None or not isinstance(reply, bytes):
                return reply
            if b"config" in request.target.encode():
                configured.append(reply)
            fraction, unframed, reset = cut_at
            if unframed:
                reply = without_length(reply)
            return CutReply(reply[:int(len(reply) * fraction)], reset)
        store.answer = answer
        # The next watch passes the fault.
        self.platform.configure(routes())
        wait_for(lambda: "version=%d" % self.platform.version in
                 self.node.log(), "the version is in force")
        time.sleep(0.2)
        for step in range(12):
            # Steps are spread over the header and the body.
            cut_at = (step / 12, step % 2 == 1, step % 3 == 2)
            configured.clear()
            self.platform.configure(routes(single_service="other"))
            wait_for(lambda: len(configured) >= 2, "the store is asked")
            reply = call_node(self.node, "/one/x")
            self.assertEqual(reply.headers.get("Server-Seal"),
                             "desk." + self.desk.name, cut_at)
        cut_at = None
        wait_for(lambda: call_node(self.node, "/one/x").headers.get(
            "Server-Seal", "").startswith("other."),
                 "the new version is in force", 20)


if __name__ == "__main__":
    unittest.main()
