"""A replica answers a long request before it has read the whole body, without a
length, and its connection is reset in the middle of the answer. The consumer
gets the part that had arrived as a whole answer."""

import functools
import itertools
import os
import socket
import struct
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib-3"))

import lab as lab_module  # noqa: E402
from lab import Caller, RawReplica, play, read_body, require  # noqa: E402

# With TROUBLE=0 the case does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# maxBodyBytes in the configuration of the sheet.
BODY_BYTES = 262144
ANSWER_BYTES = 48000
# What has been sent of an answer when the connection is reset.
SENT_BYTES = 16000
# The replicas of portale-clienti on the sheet.
REPLICAS = 40
# garble, unframed, in the site file: half of the replicas break off 0.05 of
# their answers, for 5 s.
GARBLING_REPLICAS = 20
ANSWERS_PER_RESET = 20
GARBLE_S = 5.0
CALLERS = 4
# ordine-cliente comes 44.9 times a second.
RATE = 44.9
# The largest segment on an Ethernet link; the loopback link has 64 KB.
SEGMENT_BYTES = 1460
WINDOW_BYTES = 16384


def ethernet_link(listener):
    """Gives the connections of a listener the segments and the small window of
    a link between machines."""
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)


def answer_body(request_id):
    return (request_id.encode() * (ANSWER_BYTES // len(request_id) + 1))[
        :ANSWER_BYTES]


def routes():
    return [{"host": lab_module.HOST, "name": "ordine",
             "pathPrefix": "/ordine/", "type": "idempotent", "priority": 2,
             "timeoutMs": 5000, "sloMs": 800, "attempts": 2,
             "service": "portale"}]


def case(lab):
    resets = []
    garbled_answers = itertools.count(1)

    def serve(number, connection, fields, rest):
        request_id = fields["request-id"]
        head = ("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: %s\r\n"
                "Load: 1,0,2\r\n" % (request_id, "seal." + request_id))
        whole = answer_body(request_id)
        # An early answer that ends with its connection.
        connection.sendall(head.encode() + b"\r\n" + whole[:SENT_BYTES])
        time.sleep(0.02)
        if (TROUBLE and number < GARBLING_REPLICAS and
                next(garbled_answers) % ANSWERS_PER_RESET == 0):
            resets.append(request_id)
            lab.note("replica %d: request %s runs, reset after %d of %d bytes",
                     number, request_id, SENT_BYTES, len(whole))
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                  struct.pack("ii", 1, 0))
            return None
        connection.sendall(whole[SENT_BYTES:])
        # The rest of the request is read before the connection is closed, so
        # that the close is none with unread bytes.
        read_body(connection, fields, rest)
        return None

    for number in range(REPLICAS):
        RawReplica(lab, "portale", "i-portale-%d" % number,
                   functools.partial(serve, number), prepare=ethernet_link)
    lab.platform.configure(routes())
    node = lab.start_node()
    lab.wait_until_served(node, "/ordine/0")

    replies = {}

    def send_requests(first):
        end = time.monotonic() + GARBLE_S
        for number in itertools.count(first, CALLERS):
            if time.monotonic() >= end:
                return
            started = time.monotonic()
            caller = Caller(node, 8.0)
            request_id = caller.send("POST", "/ordine/%d" % number,
                                     b"x" * BODY_BYTES, deadline="5000")
            replies[request_id] = caller.receive()
            caller.close()
            time.sleep(max(0, started + CALLERS / RATE - time.monotonic()))

    threads = [threading.Thread(target=send_requests, args=(first,))
               for first in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()

    wrong = 0
    for request_id, reply in replies.items():
        is_success = reply.complete and 200 <= reply.status < 300
        is_whole = reply.body == answer_body(request_id)
        wrong += 1 if is_success and not is_whole else 0
        lab.note("request %s: status %d, seal %s, %d bytes, complete %s, the "
                 "replica's whole body %s", request_id, reply.status,
                 reply.fields.get("server-seal"), len(reply.body),
                 reply.complete, is_whole)
    require(node.running(), "the process ended")
    served = sum(1 for r in replies.values() if r.status == 200)
    lab.note("requests: %d, successes: %d, resets: %d, successes with a part "
             "of the body: %d", len(replies), served, len(resets), wrong)
    require(served > len(replies) / 2, "most requests failed")
    return wrong == 0


play(__file__, case, TROUBLE)
