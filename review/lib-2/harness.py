"""Stand-ins and helpers for the scripts of the second review.

Starts tanagervane-node processes with the command and the settings template of
deploy/system.toml, on loopback addresses. The store, the replicas and the
callers are stand-ins on one event loop. They follow the users' pages: the store
has revisions, lists, watches and reads that may be stale; a replica registers
itself, answers with its Server-Seal and echoes the Request-Id.
"""

import asyncio
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse
import uuid

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
HOST = "127.0.0.1"

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2

# Limits of the small installations of the users' pages.
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "stabilityWindowMs": 4000,
          "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 6,
          "lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250,
          "outerMs": 12000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
          "retrySlack": 58, "recoveryS": 12, "ttl_max_s": 5}
CONFIG_APPLY_S = BOUNDS["configApplyMs"] / 1000
STABILITY_S = BOUNDS["stabilityWindowMs"] / 1000
DRAIN_S = BOUNDS["drainMs"] / 1000
# A killed process is started again after a short delay.
RESTART_DELAY_S = 0.6


class CannotRun(Exception):
    """The case could not be played."""


def now():
    return time.monotonic()


class Record:
    """Writes record.txt: what was sent, answered and run, with times."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")
        self.start = now()

    def line(self, text, at=None):
        self.file.write("%9.3f %s\n" % ((now() if at is None else at) -
                                        self.start, text))

    def close(self):
        self.file.close()


# HTTP.

class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query))

    @property
    def id(self):
        return self.headers.get("request-id", "")


async def read_message(reader):
    """Returns the first line, the headers and the body, or None at the end of
    the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        headers = {}
        for line in lines[1:-2]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return lines[0], headers, body
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None


def encode_response(status, body=b"", headers=()):
    lines = ["HTTP/1.1 %d X" % status, "Content-Length: %d" % len(body)]
    lines += ["%s: %s" % item for item in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Accepts connections; answer() maps a request to the bytes of its
    response, or to None, which closes the connection with a reset."""

    def __init__(self):
        self.writers = set()
        self.server = None
        self.port = 0

    @property
    def address(self):
        return "%s:%d" % (HOST, self.port)

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                method, target, _ = message[0].split(" ")
                reply = await self.answer(
                    Request(method, target, message[1], message[2]))
                if reply is None:
                    return
                writer.write(reply)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    def stop(self):
        """Stops listening and resets all connections."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's metadata store. It cuts off waiting watches on demand."""

    PAGE_SIZE = 500

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.change_times = [(1, 0.0)]
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()
        # Reads with staleOk=1 show the state of this long ago.
        self.stale_s = 0.0
        self.cut = asyncio.Event()

    def put(self, kind, name, spec):
        """Creates or replaces an object; returns when it was acknowledged."""
        objects = self.objects.setdefault(kind, {})
        if name in objects and objects[name]["spec"] == spec:
            return now()
        item = {"meta": {"name": name, "rev": self.revision + 1},
                "spec": spec, "status": None}
        objects[name] = item
        self.add_event(kind, item, False)
        return now()

    def delete(self, kind, name):
        item = self.objects.get(kind, {}).pop(name, None)
        if item:
            item = dict(item, meta={"name": name, "rev": self.revision + 1})
            self.add_event(kind, item, True)
        return now()

    def add_event(self, kind, item, deleted):
        self.revision += 1
        self.change_times.append((self.revision, now()))
        self.events.append((self.revision, kind,
                            {"object": item, "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    def cut_watches(self):
        """Closes the connections of the watches that wait, unanswered."""
        self.cut.set()
        self.cut = asyncio.Event()

    def visible_revision(self, query):
        if query.get("staleOk") != "1" or not self.stale_s:
            return self.revision
        until = now() - self.stale_s
        return max(r for r, since in self.change_times if since <= until)

    async def answer(self, request):
        parts = [urllib.parse.unquote(p) for p in request.path.split("/")[3:]]
        kind = parts[0]
        if request.method == "GET" and "watch" in request.query:
            return await self.watch(kind, request.query)
        if request.method == "GET" and len(parts) == 1:
            return self.list(kind, request.query)
        if request.method == "GET":
            item = self.objects.get(kind, {}).get(parts[1])
            if item is None:
                return encode_response(404)
            return encode_response(200, json.dumps(item).encode())
        if request.method == "DELETE":
            known = parts[1] in self.objects.get(kind, {})
            self.delete(kind, parts[1])
            return encode_response(200 if known else 404, b"{}")
        body = json.loads(request.body)
        name = parts[1] if len(parts) > 1 else body["meta"]["name"]
        known = self.objects.get(kind, {}).get(name)
        if request.method == "POST" and known:
            return encode_response(409, json.dumps(known).encode())
        if request.method == "PUT" and not known:
            return encode_response(404, b"{}")
        self.put(kind, name, body["spec"])
        return encode_response(
            200, json.dumps(self.objects[kind][name]).encode())

    def list(self, kind, query):
        revision = self.visible_revision(query)
        objects = {}
        for at, event_kind, event in self.events:
            if event_kind != kind or at > revision:
                continue
            name = event["object"]["meta"]["name"]
            objects[name] = event["object"]
            if event["deleted"]:
                del objects[name]
        names = sorted(n for n in objects if n > query.get("after", ""))
        page = names[:self.PAGE_SIZE]
        return encode_response(200, json.dumps(
            {"items": [objects[n] for n in page],
             "hasMore": len(names) > len(page), "at": revision}).encode())

    async def watch(self, kind, query):
        since = int(query["watch"])
        deadline = now() + min(int(query["waitMs"]), 30000) / 1000
        cut = self.cut
        while True:
            if cut.is_set():
                return None
            changed = self.changed
            revision = max(self.visible_revision(query), since)
            found = [event for at, event_kind, event in self.events
                     if event_kind == kind and since < at <= revision]
            left = deadline - now()
            if found or left <= 0:
                return encode_response(200, json.dumps(
                    {"events": found, "at": revision}).encode())
            # A stale view also changes as time passes.
            try:
                await asyncio.wait_for(changed.wait(), min(left, 0.05))
            except asyncio.TimeoutError:
                pass


class Replica(Server):
    """A replica of a service. It registers itself when it starts."""

    HEARTBEAT_S = 1.2

    def __init__(self, case, service, name, zone, work_s=0.02, slots=4):
        super().__init__()
        self.case = case
        self.service = service
        self.name = name
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.running = 0
        self.born = 0
        self.leaving = False
        # (time, request id, path) of the requests that it began to run.
        self.ran = []

    async def start(self):
        self.born = int(time.time() * 1000)
        self.running = 0
        await self.listen()
        self.register()
        self.case.record.line("replica %s of %s started at %s, born %d" % (
            self.name, self.service, self.address, self.born))

    def register(self):
        return self.case.store.put("servers", self.name, {
            "service": self.service, "addr": self.address, "zone": self.zone,
            "version": "v1", "concurrencyLimit": self.slots,
            "state": "draining" if self.leaving else "ready",
            "warmupLeftMs": 0, "sequence": 1, "born": self.born})

    def fields(self, request):
        fields = [("Request-Id", request.id), ("Instance-Id", self.name),
                  ("Load", "%d,0,%d" % (self.running, self.slots))]
        if self.leaving:
            fields.append(("Server-Leaving", "1"))
        return fields

    async def answer(self, request):
        if request.path == "/healthz":
            return encode_response(503 if self.leaving else 200, b"",
                                   self.fields(request)[1:])
        if request.headers.get("target-instance") not in (None, self.name):
            return encode_response(421, b"", self.fields(request))
        self.ran.append((now(), request.id, request.path))
        self.case.record.line("replica %s of %s runs %s %s" % (
            self.name, self.service, request.id, request.path))
        return await self.run(request)

    async def run(self, request):
        self.running += 1
        await asyncio.sleep(self.work_s)
        self.running -= 1
        body = ("%s ran %s" % (self.service, request.id)).encode()
        return encode_response(200, body, self.fields(request) + [
            ("Server-Seal", "%s.%s.%s" % (self.service, self.name,
                                          request.id))])


# Processes of the system.

def load_role():
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        deploy = tomllib.load(file)
    role = deploy["roles"]["node"]
    with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
        return role["run"].split(" "), file.read()


def render(template, fields):
    """Fills in the placeholders {{a.b}} and {{a.b|json}} of the template."""
    def value(match):
        item = fields
        for key in match.group(1).split("."):
            item = item[int(key)] if isinstance(item, list) else item[key]
        return json.dumps(item) if match.group(2) else str(item)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, template)


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def free_port_pair(ip):
    """Two neighbouring ports that are free for TCP, the first for UDP too."""
    for _ in range(200):
        first = free_port(ip)
        try:
            with socket.socket() as tcp, socket.socket() as after, \
                    socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                tcp.bind((ip, first))
                after.bind((ip, first + 1))
                udp.bind((ip, first))
                return first
        except OSError:
            continue
    raise CannotRun("no two free ports on " + ip)


class Node:
    """A process of the system on its own loopback address."""

    def __init__(self, case, name, zone, number):
        self.case = case
        self.name = name
        self.zone = zone
        self.ip = "127.%d.%d.%d" % (20 + os.getpid() % 200, 1 + case.number,
                                    number)
        ports = {key: free_port(self.ip)
                 for key in ("front", "readiness", "directory")}
        self.listen = {key: "%s:%d" % (self.ip, port)
                       for key, port in ports.items()}
        self.first_port = free_port_pair(self.ip)
        self.command, self.template = load_role()
        self.path = os.path.join(case.folder, name + ".settings")
        self.log_path = os.path.join(case.folder, name + ".log")
        self.write_settings()
        self.process = None
        self.started_at = None

    def write_settings(self):
        """Renders the template as the platform does and replaces the settings
        file."""
        text = render(self.template, {
            "node": self.name, "zone": self.zone, "ip": self.ip,
            "listen": self.listen,
            "portRange": [self.first_port, self.first_port + 15],
            "limits": {"cpuShare": 0.5, "cores": 1, "memoryMb": 390,
                       "maxFds": 6150, "linkMbps": 1500.0, "diskMb": 0},
            "bounds": BOUNDS,
            "platform": {"addr": self.case.store.address}})
        with open(self.path + ".new", "w", encoding="utf-8") as file:
            file.write(text)
        os.replace(self.path + ".new", self.path)

    async def start(self):
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                os.path.join(ROOT, self.command[0]), *self.command[1:],
                cwd=ROOT, stdout=log, stderr=log, env={
                    "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                    "HOME": self.case.folder, "LANG": "C.UTF-8",
                    "TANAGERVANE_SETTINGS": self.path})
        self.started_at = now()
        self.case.record.line("node %s in %s started" % (self.name, self.zone))

    async def kill(self):
        self.process.kill()
        await self.process.wait()
        self.case.record.line("node %s killed" % self.name)

    async def end(self):
        """Ends the process at the end of the case."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), 7)
        except asyncio.TimeoutError:
            self.process.kill()
            await self.process.wait()

    async def ready(self):
        reply = await call(self.listen["readiness"], "GET",
                           "/tanagervane/ready")
        return reply.status == 200

    async def addresses(self):
        reply = await call(self.listen["directory"], "GET",
                           "/tanagervane/resolve?name=h.example")
        return set(json.loads(reply.body)["addrs"]) if reply.status == 200 \
            else set()


class Reply:
    def __init__(self, status=0, headers=None, body=b""):
        self.status = status
        self.headers = headers or {}
        self.body = body


async def exchange(reader, writer, method, target, headers, body):
    lines = ["%s %s HTTP/1.1" % (method, target)]
    lines += ["%s: %s" % item for item in headers.items()]
    if body:
        lines.append("Content-Length: %d" % len(body))
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
    await writer.drain()
    message = await read_message(reader)
    if message is None:
        return Reply()
    return Reply(int(message[0].split(" ")[1]), message[1], message[2])


async def call(address, method, target, headers=None, body=b"", timeout=6):
    """Sends one request over a new connection; status 0 stands for no
    answer."""
    host, port = address.split(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            return await exchange(reader, writer, method, target,
                                  dict({"Host": address}, **(headers or {})),
                                  body)
    except (OSError, asyncio.TimeoutError):
        return Reply()
    finally:
        if writer:
            writer.transport.abort()


class Case:
    """One play: the store, replicas, nodes and the record."""

    def __init__(self, number, folder, seed=None):
        self.number = number
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self.temporary.name
        self.random = random.Random(seed)
        self.store = Store()
        self.replicas = []
        self.nodes = []
        self.tasks = []
        self.version = 0

    async def add_node(self, name, zone):
        node = Node(self, name, zone, len(self.nodes) + 1)
        self.nodes.append(node)
        return node

    async def add_replica(self, replica):
        self.replicas.append(replica)
        await replica.start()
        return replica

    def configure(self, routes, services):
        """Writes the next config; returns when it was acknowledged."""
        self.version += 3
        at = self.store.put("config", "main", {
            "version": self.version, "routes": routes,
            "services": [{"name": name, "healthPath": "/healthz",
                          "maxConns": 100} for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
        self.record.line("config %d acked" % self.version, at)
        return at

    async def request(self, node, path, method="GET", body=b"",
                      deadline_ms=1000):
        """Sends a caller's request to a node and records it."""
        request_id = uuid.uuid4().hex[:16]
        sent_at = now()
        reply = await call(node.listen["front"], method, path, {
            "Host": "h.example", "Request-Id": request_id,
            "Deadline": str(deadline_ms)}, body, deadline_ms / 1000 + 2)
        self.record.line("caller sent %s %s %s to %s" % (
            request_id, method, path, node.name), sent_at)
        self.record.line("caller got %d for %s" % (reply.status, request_id))
        reply.id = request_id
        reply.sent_at = sent_at
        return reply

    async def wait_ready(self, nodes, seconds=20):
        deadline = now() + seconds
        for node in nodes:
            while not await node.ready():
                if now() > deadline or node.process.returncode is not None:
                    raise CannotRun("node %s is not ready" % node.name)
                await asyncio.sleep(0.05)

    async def wait_fleet(self, seconds=15):
        """Waits until each node's directory names all nodes."""
        expected = {node.listen["front"] for node in self.nodes}
        deadline = now() + seconds
        for node in self.nodes:
            while await node.addresses() != expected:
                if now() > deadline:
                    raise CannotRun("the nodes do not know each other")
                await asyncio.sleep(0.1)

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    async def end(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await asyncio.gather(*(node.end() for node in self.nodes))
        for server in [*self.replicas, self.store]:
            server.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for node in self.nodes:
                if os.path.exists(node.log_path):
                    os.replace(node.log_path,
                               os.path.join(keep, node.name + ".log"))
        self.temporary.cleanup()


def main(number, script, play, limit_s=110):
    """Plays a case and exits with its result. `play` returns the descriptions
    of what broke the rule."""
    folder = os.path.dirname(os.path.abspath(script))

    async def run():
        case = Case(number, folder)
        # A case that is ended from outside ends its processes.
        for name in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(
                name, asyncio.current_task().cancel)
        try:
            command = os.path.join(ROOT, load_role()[0][0])
            if not os.access(command, os.X_OK):
                raise CannotRun("%s is not built" % command)
            await case.store.listen()
            async with asyncio.timeout(limit_s):
                broken = await play(case)
            verdict = "broken" if broken else "held"
            for text in broken[:20]:
                print(text)
                case.record.line("BROKEN: " + text)
            print("case %d, trouble %s: %s (%d)" % (
                number, "on" if case.trouble else "off", verdict, len(broken)))
            case.record.line("verdict: %s, %d findings" % (verdict,
                                                           len(broken)))
            return EXIT_BROKEN if broken else EXIT_HELD
        except (CannotRun, asyncio.TimeoutError,
                asyncio.CancelledError) as error:
            print("case %d could not run: %r" % (number, error))
            case.record.line("could not run: %r" % error)
            return EXIT_NOT_RUN
        finally:
            await case.end()
            case.record.close()
    try:
        result = asyncio.run(run())
    except Exception as error:
        print("case %d could not run: %r" % (number, error))
        result = EXIT_NOT_RUN
    sys.exit(result)
