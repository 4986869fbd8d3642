"""Stand-ins for the users' platform, replicas and callers, and node processes.

Everything runs on loopback addresses and the real clock. The stand-ins behave
as the users' pages say; a case adds only the disruption that its claim names.
"""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))

MAX_NODES = 4

# Exit codes of a case.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

# The figures of a small deployment of the users.
LIMITS = {"cpuShare": 0.38, "cores": 1, "memoryMb": 390, "maxFds": 6150}
BOUNDS = {"stabilityWindowMs": 4000, "drainMs": 3000, "graceS": 6,
          "configApplyMs": 3000, "recoveryS": 12, "retryBudgetRatio": 0.2,
          "budgetWindowS": 10, "retrySlack": 54, "ttl_max_s": 5}
CALLER_LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                 "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


def trouble():
    """Whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class CouldNotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()


# HTTP/1.1 messages.

class Message:
    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.start.split(" ")[1])

    @property
    def method(self):
        return self.start.split(" ")[0]

    @property
    def target(self):
        return self.start.split(" ")[1]


async def read_message(reader):
    """Returns the next message, or None if the connection ends before it."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        headers = {}
        for line in lines[1:-2]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return Message(lines[0], headers, body)
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None


def response(status, headers=(), body=b""):
    reasons = {200: "OK", 421: "Misdirected Request", 503:
               "Service Unavailable"}
    lines = ["HTTP/1.1 %d %s" % (status, reasons.get(status, "Status"))]
    lines += ["%s: %s" % item for item in headers]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """An HTTP server that handles one request at a time on a connection."""

    def __init__(self, ip="127.0.0.1"):
        self.ip = ip
        self.port = 0
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0,
                                                 backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    def end(self):
        """Ends as a process does: closes the listener and all
        connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                await self.handle(request, writer)
                await writer.drain()
        except OSError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        raise NotImplementedError


# The platform's store.

class Store(Server):
    """The metadata store: objects by kind and name, revisions, pages, watches.

    Reads with staleOk=1 return the state of `stale_s` seconds ago."""

    PAGE = 50

    def __init__(self, record, stale_s=0.0):
        super().__init__()
        self.record = record
        self.stale_s = stale_s
        self.revision = 100
        # Of each change: time, revision, kind, name, the object as JSON text,
        # and whether it was deleted.
        self.history = []
        self.started = time.monotonic()

    def change(self, kind, name, spec, deleted=False):
        """`spec` is a value, or bytes that are stored as they are."""
        self.revision += 1
        meta = {"name": name, "rev": self.revision, "created": 1,
                "finalizers": [], "pendingDelete": False}
        text = spec if isinstance(spec, bytes) else json.dumps(spec).encode()
        item = (b'{"meta":' + json.dumps(meta).encode() + b',"spec":' + text +
                b',"status":null}')
        self.history.append((time.monotonic(), self.revision, kind, name, item,
                             deleted))
        return item

    def put(self, kind, name, spec):
        return self.change(kind, name, spec)

    def delete(self, kind, name):
        self.change(kind, name, None, deleted=True)

    def visible_revision(self, stale):
        if not stale:
            return self.revision
        until = time.monotonic() - self.stale_s
        visible = 100
        for at, revision, *_ in self.history:
            if at <= until:
                visible = revision
        return visible

    def objects(self, kind, revision):
        state = {}
        for _, changed_in, changed_kind, name, item, deleted in self.history:
            if changed_kind == kind and changed_in <= revision:
                if deleted:
                    state.pop(name, None)
                else:
                    state[name] = item
        return state

    async def handle(self, request, writer):
        path, _, query = request.target.partition("?")
        fields = dict(item.partition("=")[::2] for item in query.split("&")
                      if item)
        parts = path.split("/")
        if parts[:3] != ["", "tanagervane", "objects"] or len(parts) < 4:
            writer.write(response(404))
            return
        kind, name = parts[3], parts[4] if len(parts) > 4 else None
        if request.method == "GET" and "watch" in fields:
            await self.watch(kind, fields, writer)
        elif request.method == "GET":
            self.list(kind, fields, writer)
        else:
            self.write(request, kind, name, writer)

    def list(self, kind, fields, writer):
        revision = self.visible_revision("staleOk" in fields)
        state = self.objects(kind, revision)
        names = sorted(n for n in state if n > fields.get("after", ""))
        page = names[:self.PAGE]
        body = (b'{"items":[' + b",".join(state[n] for n in page) +
                b'],"hasMore":%s,"at":%d}' % (
                    b"true" if len(names) > self.PAGE else b"false", revision))
        self.reply(writer, 200, body)

    async def watch(self, kind, fields, writer):
        since = int(fields["watch"])
        deadline = time.monotonic() + int(fields["waitMs"]) / 1000
        while True:
            visible = self.visible_revision("staleOk" in fields)
            events = [
                b'{"deleted":%s,"object":%s}' % (
                    b"true" if deleted else b"false", item)
                for _, revision, changed_kind, _, item, deleted in self.history
                if changed_kind == kind and since < revision <= visible]
            if events or time.monotonic() >= deadline:
                body = b'{"events":[' + b",".join(events) + b'],"at":%d}' % max(
                    since, visible)
                self.reply(writer, 200, body)
                return
            await asyncio.sleep(0.005)

    def write(self, request, kind, name, writer):
        if request.method == "DELETE":
            known = name in self.objects(kind, self.revision)
            if known:
                self.delete(kind, name)
            self.reply(writer, 200 if known else 404, b"{}")
            return
        content = json.loads(request.body)
        name = name or content["meta"]["name"]
        known = self.objects(kind, self.revision).get(name)
        if request.method == "POST" and known:
            self.reply(writer, 409, known)
        elif request.method == "PUT" and not known:
            self.reply(writer, 404, b"{}")
        else:
            self.reply(writer, 200, self.put(kind, name, content["spec"]))

    @staticmethod
    def reply(writer, status, body):
        writer.write(response(status, [("Content-Type", "application/json")],
                              body))


# Replicas.

class Replica(Server):
    """A replica of a service. Registers itself in the store."""

    QUEUE = 16
    HEALTH_MS = 1

    def __init__(self, record, store, service, name, slots=4, work_ms=20,
                 zone="a"):
        super().__init__()
        self.record = record
        self.store = store
        self.service = service
        self.name = name
        self.slots = slots
        self.work_ms = work_ms
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.leaving = False
        # Of each request that it ran: time.monotonic(), id, node address.
        self.ran = []
        # The same for each request that reached it, run or not.
        self.reached = []

    def spec(self, state="ready"):
        return {"service": self.service, "addr": self.address,
                "zone": self.zone, "version": "v1",
                "concurrencyLimit": self.slots, "state": state,
                "warmupLeftMs": 0, "sequence": 1, "born": self.born}

    async def start(self):
        await super().start()
        self.store.put("servers", self.name, self.spec())
        self.record("replica %s of %s registers at %s" % (
            self.name, self.service, self.address))

    def fields(self):
        fields = [("Instance-Id", self.name), ("Load", "%d,%d,%d" % (
            self.running, self.waiting, self.slots))]
        if self.leaving:
            fields.append(("Server-Leaving", "1"))
        return fields

    def is_full(self):
        return self.running >= self.slots and self.waiting >= self.QUEUE

    async def handle(self, request, writer):
        if request.target == "/healthz":
            await self.answer_health(request, writer)
            return
        request_id = request.headers.get("request-id")
        wanted = request.headers.get("target-instance")
        if wanted not in (None, self.name):
            writer.write(response(421, [("Request-Id", request_id),
                                        ("Instance-Id", self.name)]))
            return
        node = writer.get_extra_info("peername")[0]
        self.reached.append((time.monotonic(), request_id, node))
        if self.is_full():
            self.record("%s rejects %s from %s" % (self.name, request_id,
                                                   node))
            await self.answer(writer, response(
                503, [("Request-Id", request_id), ("Not-Executed", "1")] +
                self.fields()))
            return
        await self.run(request, request_id, node, writer)

    async def answer_health(self, request, writer):
        if self.is_full():
            await self.answer(writer, response(503, [("Not-Executed", "1")] +
                                               self.fields()))
            return
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            await asyncio.sleep(self.HEALTH_MS / 1000)
        await self.answer(writer, response(503 if self.leaving else 200,
                                           self.fields()))

    async def run(self, request, request_id, node, writer):
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            if writer.transport.is_closing():
                return
            self.running += 1
            self.ran.append((time.monotonic(), request_id, node))
            self.record("%s runs %s from %s" % (self.name, request_id, node))
            try:
                await asyncio.sleep(self.work_of(request) / 1000)
            finally:
                self.running -= 1
        await self.answer(writer, response(
            200, [("Request-Id", request_id),
                  ("Server-Seal", "seal.%s.%s" % (self.name, request_id))] +
            self.fields(), self.body_of(request_id)))

    def work_of(self, request):
        return self.work_ms

    def body_of(self, request_id):
        return ("%s for %s" % (self.service, request_id)).encode()

    async def answer(self, writer, text):
        writer.write(text)


# Nodes.

def render(template, values):
    """Fills in the settings template of the deploy file."""

    def value_of(match):
        value = values
        for key in match.group(1).split("."):
            value = value[int(key)] if isinstance(value, list) else value[key]
        return json.dumps(value)

    return re.sub(r"\{\{([A-Za-z_.0-9]+)\|json\}\}", value_of, template)


class Node:
    """A process of the deploy file's role, on its own loopback address."""

    def __init__(self, lab, number, zone="a"):
        self.lab = lab
        self.name = "front-%s-%d" % (zone, number)
        self.zone = zone
        self.ip = node_address(number)
        base = lab.base_port
        self.front, self.readiness, self.directory = (
            "%s:%d" % (self.ip, base + i) for i in range(3))
        self.settings_path = os.path.join(lab.folder, self.name + ".json")
        self.log_path = os.path.join(lab.folder, self.name + ".log")
        self.process = None

    def start(self):
        base = self.lab.base_port
        values = {"node": self.name, "zone": self.zone, "ip": self.ip,
                  "platform": {"addr": self.lab.store.address},
                  "limits": LIMITS, "bounds": BOUNDS,
                  "listen": {"front": self.front, "readiness": self.readiness,
                             "directory": self.directory},
                  "portRange": [base + 4, base + 19]}
        with open(self.settings_path, "w", encoding="utf-8") as file:
            file.write(render(self.lab.template, values))
        environment = {"PATH": os.environ["PATH"],
                       "TANAGERVANE_SETTINGS": self.settings_path}
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(self.lab.command, cwd=ROOT,
                                            env=environment, stdout=log,
                                            stderr=log)
        self.lab.record("node %s starts as process %d" % (self.name,
                                                          self.process.pid))

    def kill(self):
        self.lab.record("node %s is killed" % self.name)
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def exited(self):
        return self.process.poll() is not None


class Lab:
    """The store, the replicas and the nodes of one run."""

    def __init__(self, record, folder):
        self.record = record
        self.folder = folder
        with open(os.path.join(ROOT, "deploy/system.toml"),
                  encoding="utf-8") as file:
            # The deploy file has one role.
            role = dict(re.findall(r'^(run|template) = "(.*)"$', file.read(),
                                   re.MULTILINE))
        self.command = role["run"].split()
        self.command[0] = os.path.join(ROOT, self.command[0])
        if not os.path.exists(self.command[0]):
            raise CouldNotRun("%s is not built" % role["run"])
        with open(os.path.join(ROOT, role["template"]),
                  encoding="utf-8") as file:
            self.template = file.read()
        self.base_port = free_ports()
        self.store = None
        self.replicas = []
        self.nodes = []

    async def start_store(self, **options):
        self.store = Store(self.record, **options)
        await self.store.start()

    def put_config(self, version, routes, services):
        self.store.put("config", "main", {
            "version": version, "routes": routes,
            "services": [{"name": name, "healthPath": "/healthz",
                          "maxConns": 43} for name in services],
            "limits": CALLER_LIMITS})
        self.record("config %d is acknowledged" % version)

    async def add_replica(self, replica):
        await replica.start()
        self.replicas.append(replica)
        return replica

    def add_node(self, zone="a"):
        node = Node(self, len(self.nodes) + 1, zone)
        self.nodes.append(node)
        node.start()
        return node

    async def wait_ready(self, nodes=None, seconds=15):
        """Waits until each node answers that it is ready."""
        deadline = time.monotonic() + seconds
        for node in nodes or self.nodes:
            while True:
                answer = await call(node.readiness, "/tanagervane/ready")
                if answer is not None and answer.status == 200:
                    break
                if time.monotonic() > deadline:
                    raise CouldNotRun("node %s is not ready" % node.name)
                await asyncio.sleep(0.05)

    async def restart_ended(self, ends, delay_s=0.5):
        """Starts processes that ended by themselves again, as the platform
        does; appends the time and the node of each such end to `ends`."""
        while True:
            for node in self.nodes:
                if node.exited():
                    self.record("node %s ended by itself, status %d" % (
                        node.name, node.process.returncode))
                    ends.append((time.monotonic(), node))
                    await asyncio.sleep(delay_s)
                    node.start()
            await asyncio.sleep(0.02)

    def end(self):
        for node in self.nodes:
            if node.process and not node.exited():
                node.process.kill()
                node.process.wait()


def node_address(number):
    return "127.0.61.%d" % number


def free_ports():
    """Returns the first of 20 ports that are free on the nodes' addresses."""
    for attempt in range(200):
        base = 20000 + (os.getpid() * 37 + attempt * 20) % 10000
        sockets = []
        try:
            for offset in range(6):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    for number in range(1, MAX_NODES + 1):
                        probe = socket.socket(socket.AF_INET, kind)
                        sockets.append(probe)
                        probe.bind((node_address(number), base + offset))
            return base
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
    raise CouldNotRun("no free ports")


def route(name, prefix, service=None, kind="idempotent", attempts=2,
          timeout_ms=3000, slo_ms=500, gather=None):
    """A route of a config, on the host that the callers use."""
    result = {"name": name, "host": "h.example", "pathPrefix": prefix,
              "type": kind, "timeoutMs": timeout_ms, "sloMs": slo_ms,
              "attempts": attempts, "priority": 1}
    if gather:
        result.update(gather=gather, topK=5, minShardShare=0.75)
    else:
        result["service"] = service
    return result


# Callers.

class CallerConnection:
    """A caller's kept connection to a node."""

    def __init__(self, address):
        self.address = address
        self.reader = None
        self.writer = None

    async def request(self, path, request_id=None, deadline_ms=3000,
                      method="GET", body=b"", timeout_s=None):
        """Returns the answer, or None if the connection ends without one."""
        if timeout_s is None:
            timeout_s = deadline_ms / 1000 + 1.5
        try:
            return await asyncio.wait_for(
                self.exchange(path, request_id, deadline_ms, method, body),
                timeout_s)
        except (OSError, asyncio.TimeoutError):
            self.close()
            return None

    async def exchange(self, path, request_id, deadline_ms, method, body):
        if self.writer is None:
            host, port = self.address.split(":")
            self.reader, self.writer = await asyncio.open_connection(
                host, int(port))
        lines = ["%s %s HTTP/1.1" % (method, path), "Host: h.example"]
        if request_id:
            lines += ["Request-Id: " + request_id,
                      "Deadline: %d" % deadline_ms]
        if body or method == "POST":
            lines.append("Content-Length: %d" % len(body))
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        answer = await read_message(self.reader)
        if answer is None or answer.headers.get("connection") == "close":
            self.close()
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None


async def call(address, path, **options):
    """Sends one request on a new connection."""
    connection = CallerConnection(address)
    try:
        return await connection.request(path, **options)
    finally:
        connection.close()


def main(case, folder):
    """Runs `case(lab)`, which returns the list of ways in which the rule was
    broken, and exits as the issue asks."""
    record = Record(folder)
    record("trouble is %s" % ("on" if trouble() else "off"))
    scratch = tempfile.mkdtemp(prefix="tanagervane-review-")
    code = COULD_NOT_RUN
    lab = None
    try:
        lab = Lab(record, scratch)
        broken = asyncio.run(asyncio.wait_for(case(lab), 115))
        crashed = [node.name for node in lab.nodes if node.exited()]
        if crashed:
            record("nodes that ended by themselves: %s" % crashed)
        for text in broken:
            record("BROKEN: " + text)
        code = BROKEN if broken else HELD
    except CouldNotRun as error:
        record("could not run: %s" % error)
    except Exception as error:  # An error of the case says nothing.
        record("could not run: %r" % error)
    finally:
        if lab is not None:
            lab.end()
            for node in lab.nodes:
                keep_log(record, node)
        shutil.rmtree(scratch, ignore_errors=True)
    record("exit %d" % code)
    print("exit %d, see %s" % (code, os.path.join(folder, "record.txt")))
    sys.exit(code)


def keep_log(record, node):
    """Copies the node's log lines, but for single requests, to the record."""
    if not os.path.exists(node.log_path):
        return
    with open(node.log_path, encoding="utf-8", errors="replace") as file:
        for line in list(file)[:200]:
            if "event=request" not in line and "event=decision" not in line:
                record("log of %s: %s" % (node.name, line.strip()))
