"""Open-loop load generator that records every request.

Sends over keep-alive connections, one request at a time on each, and opens a
new connection when all are busy, so that no request queues in the generator.
Used by the tail and hotspot benchmarks, whose baselines keep hundreds of
requests unanswered until their deadline.
"""

import asyncio
import json
import random
import time

# An answer is classified by these substrings instead of being parsed: parsing
# its rows would take most of the generator's time. The tests and the --check
# option of tanagervane-load compare rows.
COMPLETE = b'"complete":true'
REFUSED = b'"error":'


class Connection(asyncio.Protocol):
    """A client's HTTP/1.1 connection with one request at a time."""

    def __init__(self):
        self.buffer = b""
        self.on_response = None

    def connection_made(self, transport):
        self.transport = transport

    # Sends a request and calls `on_response` with the connection and the body,
    # or None when the connection is lost first.
    def send(self, message, on_response):
        self.buffer = b""
        self.on_response = on_response
        self.transport.write(message)

    def data_received(self, data):
        self.buffer += data
        split = self.buffer.find(b"\r\n\r\n")
        if split < 0:
            return
        fields = self.buffer[:split].lower()
        at = fields.find(b"content-length:")
        length = int(fields[at + 15:].split(b"\r\n", 1)[0])
        if len(self.buffer) >= split + 4 + length:
            self.finish(self.buffer[split + 4:])

    def connection_lost(self, error):
        self.finish(None)

    def finish(self, body):
        on_response, self.on_response = self.on_response, None
        if on_response:
            on_response(self, body)


class OpenLoop:
    """Poisson arrivals of several classes, spread evenly over the entries."""

    def __init__(self, addresses, rates, tenant, deadline_ms, seed):
        self.addresses = [address.rsplit(":", 1) for address in addresses]
        self.rates = rates
        self.tenant = tenant
        self.deadline_ms = deadline_ms
        self.random = random.Random(seed)
        self.idle = [[] for _ in addresses]
        self.records = []
        self.pending = set()
        self.next_entry = 0

    def arrivals(self, seconds):
        """Returns all arrivals as (time, class), ordered by time."""
        items = []
        for name, rate in self.rates.items():
            at = self.random.expovariate(rate)
            while at < seconds:
                items.append((at, name))
                at += self.random.expovariate(rate)
        return sorted(items)

    async def run(self, seconds, scheduled_calls):
        """Sends for `seconds` and calls each (time, function) of
        `scheduled_calls` in a thread. Returns the records as (arrival in s,
        latency in ms, outcome, delay of sending in ms)."""
        loop = asyncio.get_running_loop()
        start = time.monotonic() + 0.05
        calls = [loop.run_in_executor(None, self.call_at, start + at, function)
                 for at, function in scheduled_calls]
        for at, name in self.arrivals(seconds):
            delay = start + at - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            task = asyncio.ensure_future(self.send_one(start, at, name))
            self.pending.add(task)
            task.add_done_callback(self.pending.discard)
        await asyncio.wait(list(self.pending), timeout=5)
        for call in calls:
            await call
        return self.records

    @staticmethod
    def call_at(at, function):
        time.sleep(max(0, at - time.monotonic()))
        function()

    async def send_one(self, start, at, name):
        entry = self.next_entry
        self.next_entry = (entry + 1) % len(self.addresses)
        loop = asyncio.get_running_loop()
        lag = time.monotonic() - start - at
        try:
            connection = await self.connection(entry)
            answer = loop.create_future()
            connection.send(self.request(name),
                            lambda c, body: answer.done() or
                            answer.set_result((c, body)))
            connection, body = await asyncio.wait_for(
                answer, self.deadline_ms / 1000 + 2)
        except (OSError, asyncio.TimeoutError):
            body = None
        latency = (time.monotonic() - start - at) * 1000
        if body is None:
            outcome = "failed"
        else:
            self.idle[entry].append(connection)
            outcome = "complete" if COMPLETE in body else \
                "refused" if REFUSED in body else "partial"
        self.records.append((at, latency, outcome, lag * 1000))

    async def connection(self, entry):
        while self.idle[entry]:
            connection = self.idle[entry].pop()
            if not connection.transport.is_closing():
                return connection
        host, port = self.addresses[entry]
        _, connection = await asyncio.get_running_loop().create_connection(
            Connection, host, int(port))
        return connection

    def request(self, name):
        body = json.dumps({
            "class": name, "tenant": self.tenant,
            "deadline_ms": self.deadline_ms,
            "payload": "q%d" % self.random.randrange(1000)}).encode()
        return (b"POST /v1/query HTTP/1.1\r\nHost: entry\r\n"
                b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                % len(body)) + body
