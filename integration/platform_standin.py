"""A stand-in for the users' platform: its store and its replicas.

Runs on loopback within the test's process. The store has revisions, pages,
watches and conditional writes. Its faults: late or no answers, 503 to every
call, watches without events, writes without an answer, a discarded history, a
restore from an earlier copy, and endless replies. Each replica answers with a Server-Seal header that the
test can check and records the requests that it ran. Its faults: late or no
answers, rejections, errors, and reset, truncated, surplus or endless replies.
"""

import asyncio
import collections
import dataclasses
import json
import threading
import time
import urllib.parse

from platform_cluster import SHARDS, records_of, routes

HOST = "127.0.0.1"
PAGE_SIZE = 20


class Request:

    def __init__(self, method, target, headers, body):
        self.method = method
        self.headers = headers
        self.body = body
        path, _, query = target.partition("?")
        self.target = target
        self.path = path
        self.query = dict(urllib.parse.parse_qsl(query))


async def read_request(reader):
    """Returns the next request, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ")
        headers = {}
        for line in lines[1:-2]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return Request(method, target, headers, body)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def response(status, body=b"", headers=()):
    lines = ["HTTP/1.1 %d X" % status, "Content-Length: %d" % len(body)]
    lines += ["%s: %s" % item for item in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class EndlessReply:
    """A reply that goes on until the caller closes the connection: `start`,
    then `chunk` repeatedly with a pause of `pause_s` after each."""

    def __init__(self, start, chunk, pause_s=0.0):
        self.start = start
        self.chunk = chunk
        self.pause_s = pause_s

    async def write(self, writer):
        writer.write(self.start)
        while not writer.is_closing():
            writer.write(self.chunk)
            await writer.drain()
            await asyncio.sleep(self.pause_s)


ENDLESS = {
    "endless_garbage": EndlessReply(b"", b"no answer " * 400),
    "endless_head": EndlessReply(b"HTTP/1.1 200 OK\r\nX: ", b"x" * 4096),
    "endless_fields": EndlessReply(b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 600),
    "endless_interim": EndlessReply(
        b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 200),
    "endless_body": EndlessReply(b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 4096),
    "endless_chunk": EndlessReply(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
        b"x" * 4096),
    "endless_chunks": EndlessReply(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"1000\r\n" + b"x" * 4096 + b"\r\n"),
    "endless_trailer": EndlessReply(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X: y\r\n" * 600),
    "endless_length": EndlessReply(
        b"HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\n",
        b"x" * 4096),
    "endless_responses": EndlessReply(
        b"", b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody" * 90),
    "slow_head": EndlessReply(b"HTTP/1.1 200 OK\r\nX: ", b"x", 0.02),
    "slow_body": EndlessReply(b"HTTP/1.1 200 OK\r\n\r\n", b"x", 0.02),
}


class Server:
    """Accepts connections; `answer` maps a request to bytes, an EndlessReply,
    or None, which closes the connection."""

    def __init__(self, platform, port=0):
        self.platform = platform
        self.port = port
        self.writers = set()
        # Connections on which nothing is sent any more.
        self.silent_writers = set()
        self.server = platform.call(self.listen())

    async def listen(self):
        server = await asyncio.start_server(self.serve, HOST, self.port)
        self.port = server.sockets[0].getsockname()[1]
        return server

    @property
    def address(self):
        return "%s:%d" % (HOST, self.port)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                reply = await self.answer(request)
                if writer in self.silent_writers:
                    await asyncio.sleep(3600)
                if reply is None:
                    return
                if isinstance(reply, EndlessReply):
                    await reply.write(writer)
                    return
                writer.write(reply)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    def silence_connections(self):
        """Sends nothing more on the connections that are open now."""
        self.silent_writers = set(self.writers)

    def close(self):
        async def stop_server():
            self.server.close()
            for writer in list(self.writers):
                writer.transport.abort()
        self.platform.call(stop_server())


class RawSpec(str):
    """The content of an object as JSON text, which need not be readable."""


def encode(value):
    """Returns the JSON bytes of a response. RawSpec is copied as it is."""
    if isinstance(value, RawSpec):
        return value.encode("utf-8", "surrogateescape")
    if isinstance(value, dict):
        return b"{%s}" % b",".join(
            b"%s:%s" % (json.dumps(key).encode(), encode(item))
            for key, item in value.items())
    if isinstance(value, list):
        return b"[%s]" % b",".join(map(encode, value))
    return json.dumps(value).encode()


# Objects by kind and name, with a history of events for watches.
class Store(Server):
    def __init__(self, platform):
        self.objects = collections.defaultdict(dict)
        self.events = []
        # Revisions, with the times at which they began.
        self.change_times = [(1, 0.0)]
        # Watches from before this revision get 410.
        self.oldest_revision = 0
        self.revision = 1
        # Increases when the store is restored; None: responses state no era.
        self.era = None
        self.changed = None
        self.calls = 0
        # The kinds of objects that calls named.
        self.called_kinds = set()
        # Faults.
        # Every call gets 503.
        self.unavailable = False
        # No call is answered.
        self.silent = False
        # Watches are answered, but the answers are lost: nothing more arrives
        # on their connections.
        self.lose_watch_answers = False
        # Watches report no events.
        self.omit_events = False
        # Writes are applied and the connection is closed without an answer.
        self.lose_answers = False
        # Every answer is delayed.
        self.delay_s = 0
        # Reads that allow stale data show the state of this long ago.
        self.stale_s = 0
        # The name of the endless reply that every call gets.
        self.endless = None
        super().__init__(platform)

    def put(self, kind, name, spec):
        self.platform.call(self.apply(kind, name, spec))

    def delete(self, kind, name):
        self.platform.call(self.remove(kind, name))

    async def remove(self, kind, name):
        # A restore may have removed the object.
        if name in self.objects[kind]:
            await self.apply(kind, name, None)

    def forget_history(self):
        self.oldest_revision = self.revision

    def copy(self):
        """Returns a copy of the state, for restore()."""
        return self.platform.call(self.read_state())

    async def read_state(self):
        return (self.revision, list(self.events), list(self.change_times),
                {kind: dict(items) for kind, items in self.objects.items()})

    def restore(self, state):
        """Begins a new era with an earlier state. Closes all connections, as
        the store was down for a moment."""
        self.platform.call(self.load_state(state))

    async def load_state(self, state):
        self.revision, events, change_times, objects = state
        self.events = list(events)
        self.change_times = list(change_times)
        self.objects = collections.defaultdict(dict)
        for kind, items in objects.items():
            self.objects[kind] = dict(items)
        self.oldest_revision = min(self.oldest_revision, self.revision)
        self.era = (self.era or 0) + 1
        for writer in list(self.writers):
            writer.transport.abort()

    async def apply(self, kind, name, spec):
        old = self.objects[kind].get(name)
        if spec is not None and old and old["spec"] == spec:
            return old
        self.revision += 1
        item = {"meta": {"name": name, "rev": self.revision}, "spec": spec,
                "status": None}
        if spec is None:
            item = dict(old, meta={"name": name, "rev": self.revision})
            del self.objects[kind][name]
        else:
            self.objects[kind][name] = item
        self.change_times.append((self.revision, time.monotonic()))
        self.events.append((self.revision, kind,
                            {"object": item, "deleted": spec is None}))
        if self.changed:
            self.changed.set()
        return item

    async def answer(self, request):
        era = self.era
        reply = await self.answer_call(request)
        if self.lose_watch_answers and "watch" in request.query:
            await asyncio.sleep(3600)
        if era != self.era:
            # The call was received before the restore.
            return None
        if not isinstance(reply, bytes) or era is None:
            return reply
        status_line, rest = reply.split(b"\r\n", 1)
        return status_line + b"\r\nStore-Era: %d\r\n" % era + rest

    async def answer_call(self, request):
        self.calls += 1
        if self.silent:
            await asyncio.sleep(3600)
        if self.unavailable:
            return response(503)
        if self.endless:
            return ENDLESS[self.endless]
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        parts = request.path.split("/")[3:]
        kind = parts[0]
        self.called_kinds.add(kind)
        if request.method == "GET" and "watch" in request.query:
            return await self.watch(kind, request.query)
        if request.method == "GET":
            return self.list(kind, request.query)
        if request.method == "DELETE":
            if parts[1] not in self.objects[kind]:
                return response(404)
            await self.apply(kind, parts[1], None)
            return response(200, b"{}")
        if self.lose_answers:
            await self.write(request, kind, parts)
            return None
        return await self.write(request, kind, parts)

    async def write(self, request, kind, parts):
        body = json.loads(request.body)
        name = parts[1] if len(parts) > 1 else body["meta"]["name"]
        if request.method == "POST" and name in self.objects[kind]:
            return response(409, encode(self.objects[kind][name]))
        expected = (body.get("meta") or {}).get("rev")
        known = self.objects[kind].get(name)
        if expected is not None and known and known["meta"]["rev"] != expected:
            return response(409, encode(known))
        item = await self.apply(kind, name, body["spec"])
        return response(200, encode(item))

    def visible_revision(self, query):
        """Returns the latest revision that a read shows."""
        if not self.stale_s or query.get("staleOk") != "1":
            return self.revision
        until = time.monotonic() - self.stale_s
        return max(r for r, since in self.change_times if since <= until)

    def list(self, kind, query):
        revision = self.visible_revision(query)
        objects = {}
        for event_revision, event_kind, event in self.events:
            name = event["object"]["meta"]["name"]
            if event_kind != kind or event_revision > revision:
                continue
            objects[name] = event["object"]
            if event["deleted"]:
                del objects[name]
        names = sorted(n for n in objects if n > query.get("after", ""))
        body = {"items": [objects[n] for n in names[:PAGE_SIZE]],
                "hasMore": len(names) > PAGE_SIZE, "at": revision}
        return response(200, encode(body))

    async def watch(self, kind, query):
        since = int(query["watch"])
        deadline = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if since < self.oldest_revision or since > self.revision:
                return response(410)
            revision = self.visible_revision(query)
            found = [] if self.omit_events else [
                e for r, k, e in self.events
                if k == kind and since < r <= revision]
            remaining = deadline - time.monotonic()
            if found or remaining <= 0:
                body = {"events": found, "at": max(revision, since)}
                return response(200, encode(body))
            self.changed = self.changed or asyncio.Event()
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       min(remaining, 0.05))
            except asyncio.TimeoutError:
                pass


@dataclasses.dataclass
class Answer:
    """What a replica stated in an answer, and when, by time.monotonic()."""
    request_id: str
    at: float
    leaving: bool
    rate_limit: float | None
    # Set in rejections only.
    retry_after_s: float | None


# A replica of a service, registered in the store.
class Replica(Server):
    def __init__(self, platform, service, name, work_ms=4, slots=4):
        self.service = service
        self.name = name
        self.work_ms = work_ms
        self.slots = slots
        # The data centre in its registration.
        self.zone = "a"
        self.running = 0
        # Unix time in milliseconds; another value is another incarnation.
        self.started_at_ms = 1700000000000
        # The ids of the requests that it ran or began.
        self.ran = []
        # The ids of the requests that reached it, including rejected ones.
        self.arrived = []
        # When they reached it, by time.monotonic().
        self.arrival_times = []
        # The header fields of each, with names in lower case.
        self.arrived_headers = []
        self.rejected = 0
        # What it stated in its answers to requests.
        self.answers = []
        # Whether its responses state that it is about to end.
        self.leaving = False
        # The limits that its responses stated, with the times of the changes:
        # requests per second from all nodes together. It does not enforce them.
        self.rate_limits = [(0.0, None)]
        # Seconds for which its rejections ask a node to send nothing.
        self.retry_after_s = None
        # The address in its registration when that is not its own, such as
        # the one of a link with faults.
        self.public_address = None
        # How long health checks wait for a slot.
        self.health_delay_s = 0
        self.health_checks = 0
        # "good", or the fault of the replies to requests: "silent" sends none,
        # "shed" rejects with 503, "error" returns 500, "reset" closes the
        # connection, "cut" truncates, "extra" adds a stray response,
        # "late_rejection" sends a rejection without an id before its own
        # response, as a late copy of the answer to a health check, and a key
        # of ENDLESS sends that endless reply.
        self.mode = "good"
        super().__init__(platform)
        self.register()

    def registration(self, state="ready"):
        return {"service": self.service,
                "addr": self.public_address or self.address,
                "zone": self.zone, "version": "v1", "concurrencyLimit": self.slots,
                "state": state, "warmupLeftMs": 0, "sequence": 1,
                "born": self.started_at_ms}

    def register(self, state="ready"):
        self.platform.store.put("servers", self.name, self.registration(state))

    def leave(self):
        """Reports to the store and in each response that it is about to end.
        It goes on serving."""
        self.leaving = True
        self.register("draining")

    @property
    def rate_limit(self):
        return self.rate_limits[-1][1]

    @rate_limit.setter
    def rate_limit(self, limit):
        self.rate_limits.append((time.monotonic(), limit))

    def limit_at(self, at):
        """Returns the limit that it stated at a time."""
        return [limit for since, limit in self.rate_limits if since <= at][-1]

    def record_answer(self, request, retry_after_s=None):
        self.answers.append(Answer(
            request.headers.get("request-id"), time.monotonic(), self.leaving,
            self.rate_limit, retry_after_s))

    def statements(self):
        """The header fields by which a response describes the replica."""
        fields = [("Instance-Id", self.name),
                  ("Load", "%d,0,%d" % (self.running, self.slots))]
        if self.leaving:
            fields.append(("Server-Leaving", "1"))
        if self.rate_limit is not None:
            fields.append(("Server-Limit", str(self.rate_limit)))
        return fields

    def retry_after(self):
        if self.retry_after_s is None:
            return []
        return [("Retry-After", str(self.retry_after_s))]

    def headers(self, request):
        return [("Request-Id", request.headers.get("request-id", "")),
                *self.statements()]

    async def answer(self, request):
        if request.path == "/healthz":
            self.health_checks += 1
            await asyncio.sleep(self.health_delay_s)
            status = 503 if self.mode == "silent" or self.leaving else 200
            return response(status, b"", self.statements())
        if request.headers.get("target-instance") not in (None, self.name):
            return response(421, b"", [("Instance-Id", self.name)])
        self.arrived.append(request.headers.get("request-id"))
        self.arrival_times.append(time.monotonic())
        self.arrived_headers.append(request.headers)
        if self.mode == "shed":
            self.rejected += 1
            self.record_answer(request, self.retry_after_s)
            return response(503, b"", self.headers(request) +
                            [("Not-Executed", "1")] + self.retry_after())
        self.ran.append(request.headers.get("request-id"))
        if self.mode in ENDLESS:
            return ENDLESS[self.mode]
        if self.mode == "reset":
            return None
        if self.mode == "silent":
            await asyncio.sleep(3600)
        self.running += 1
        await asyncio.sleep(self.work_ms / 1000)
        self.running -= 1
        self.record_answer(request)
        if self.mode == "error":
            return response(500, b"broken", self.headers(request) +
                            [("Server-Seal", "seal-" + self.name)])
        body = b"".join(records_of(
            self.service, request.headers["request-id"]))
        reply = response(200, body, self.headers(request) + [
            ("Server-Seal", "%s.%s" % (self.service, self.name))])
        if self.mode == "cut":
            self.platform.loop.call_soon(self.abort_all)
            return reply[:-20]
        if self.mode == "late_rejection":
            return response(503, b"", [("Not-Executed", "1")]) + reply
        if self.mode == "extra":
            return reply + response(200, b"stray", [
                ("Request-Id", "another"), ("Server-Seal", "stray")])
        return reply

    def abort_all(self):
        for writer in list(self.writers):
            writer.close()


class Platform:
    """The store, and the replicas of each service, on one event loop."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever,
                                       daemon=True)
        self.thread.start()
        self.store = Store(self)
        self.replicas = collections.defaultdict(list)
        self.version = 0

    # Runs a coroutine on the event loop and returns its result.
    def call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(
            coroutine, self.loop).result(10)

    def add_replicas(self, service, count, **options):
        for _ in range(count):
            name = "i-%s-%d" % (service, len(self.replicas[service]))
            self.replicas[service].append(
                Replica(self, service, name, **options))

    def add_default_services(self):
        """Adds three replicas of each shard and of "desk" and writes a
        configuration."""
        for shard in SHARDS:
            self.add_replicas(shard, 3)
        self.add_replicas("desk", 3)
        self.configure(routes())

    def all_replicas(self):
        return [r for group in self.replicas.values() for r in group]

    def configure(self, routes, tenants=None):
        self.version += 3
        services = [{"name": name, "healthPath": "/healthz", "maxConns": 40,
                     "protocol": "h1", "tls": False} for name in self.replicas]
        extra = {} if tenants is None else {"tenants": tenants}
        self.store.put("config", "main", extra | {
            "version": self.version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})

    def close(self):
        for server in self.all_replicas() + [self.store]:
            server.close()
        self.call(self.cancel_tasks())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)
        self.loop.close()

    @staticmethod
    async def cancel_tasks():
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
