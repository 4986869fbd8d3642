"""A crowd of clients that hold connections to a node without taking part in
ordinary exchanges, for tests."""

import selectors
import socket
import time

BODY_BYTES = 262_144
HEADER_BYTES = 16_384
# Addresses from which the clients connect.
SOURCES = ["127.0.8.%d" % i for i in range(1, 5)]
# Bytes that a client reads with one call when it reads at all.
READ_BYTES = 65_536


def head(path, *fields, method="POST"):
    if not any(field.startswith("Request-Id") for field in fields):
        fields = ("Request-Id: crowd", *fields)
    return "\r\n".join(["%s %s HTTP/1.1" % (method, path), "Host: h.example",
                        *fields, "", ""]).encode()


def stopped_body(path):
    """A body of legal size that stops before its last byte."""
    return (head(path, "Content-Length: %d" % BODY_BYTES) +
            b"x" * (BODY_BYTES - 1))


def stopped_chunks(path):
    """Chunks of 64 bytes without the last one."""
    chunk = b"40\r\n" + b"x" * 64 + b"\r\n"
    return (head(path, "Transfer-Encoding: chunked") +
            chunk * (BODY_BYTES // 64 - 1))


def quarter_body(path):
    """A fourth of a body, less than 64 KB."""
    return head(path, "Content-Length: %d" % BODY_BYTES) + b"x" * 60_000


def whole_body(path):
    return head(path, "Content-Length: %d" % BODY_BYTES) + b"x" * BODY_BYTES


def oversized_body(path):
    return head(path, "Content-Length: 100000000") + b"x" * 1_000_000


def oversized_chunks(path):
    chunk = b"1000\r\n" + b"x" * 4096 + b"\r\n"
    return head(path, "Transfer-Encoding: chunked") + chunk * 256


def short_fields(path):
    """A header of legal size with thousands of fields and an open body."""
    start = head(path, "Content-Length: %d" % BODY_BYTES)[:-2]
    count = (HEADER_BYTES - len(start) - 100) // 4
    return start + b"a:\r\n" * count + b"\r\n" + b"x"


def open_fields(path):
    """The same fields in a header without an end."""
    return head(path)[:-2] + b"a:\r\n" * 4000


def pipelined(path):
    """Requests whose responses echo a long id."""
    return head(path, "Request-Id: " + "i" * 8000, method="GET") * 60


class Crowd:
    """Clients that send `data` in pieces of `piece` bytes, at most one piece
    in each round, and read nothing unless `reads` is set."""

    def __init__(self, address, count, data, piece=1 << 20, reads=False):
        self.address = address
        self.data = memoryview(data)
        self.piece = piece
        self.reads = reads
        self.selector = selectors.DefaultSelector()
        self.open = {}
        for number in range(count):
            self.connect(SOURCES[number % len(SOURCES)])

    def connect(self, source):
        client = socket.socket()
        # A small receive buffer makes unread responses stay with the node.
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.bind((source, 0))
        host, port = self.address.split(":")
        client.settimeout(2)
        try:
            client.connect((host, int(port)))
        except OSError:
            client.close()
            return
        client.setblocking(False)
        self.open[client] = 0
        self.selector.register(client, selectors.EVENT_WRITE)

    def drop(self, client):
        self.selector.unregister(client)
        del self.open[client]
        client.close()

    def step(self, client):
        """Sends one piece; drops the client when the node has closed."""
        try:
            if self.reads:
                try:
                    client.recv(READ_BYTES)
                except BlockingIOError:
                    pass
            sent = self.open[client]
            piece = self.data[sent:sent + self.piece]
            if not piece:
                self.selector.modify(client, selectors.EVENT_READ)
                return
            self.open[client] = sent + client.send(piece)
        except BlockingIOError:
            pass
        except OSError:
            self.drop(client)

    def run(self, seconds, pause=0.0):
        """Sends for a time, with a pause after each round."""
        end = time.monotonic() + seconds
        while time.monotonic() < end and self.open:
            for key, events in self.selector.select(0.05):
                if events & selectors.EVENT_WRITE:
                    self.step(key.fileobj)
            if pause or all(sent == len(self.data)
                            for sent in self.open.values()):
                time.sleep(max(pause, 0.02))

    def close(self):
        for client in list(self.open):
            self.drop(client)
        self.selector.close()
