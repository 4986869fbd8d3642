"""What the cases of this review have in common: processes of the product on the
stand-in of the platform's store, replicas that a case controls, and the record.

The processes are started with the command of deploy/system.toml and with the
settings of deploy/node-settings.json, filled in as DEPLOY.md says. The figures
are those of the installation lavandeti-ricerca, or those that a case gives.
"""

import contextlib
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import uuid

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "integration"))

from platform_standin import Platform  # noqa: E402

# Statuses of a case's program. A Python program that can't be read exits with 1,
# so run.sh turns 10 into 1 and all others but 0 into 2.
HELD, BROKEN, NOT_RUN = 0, 10, 2
VERDICTS = {HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}
HOST = "h.example"
START_TIMEOUT_S = 15

# The bounds, limits and places of the sheet of lavandeti-ricerca.
SHEET = {
    "zone": "ragusa-a", "region": "sicilia-sud",
    "limits": {"cpuShare": 0.38, "cores": 1, "memoryMb": 390, "maxFds": 6150,
               "linkMbps": 1500.0, "diskMb": 0},
    "bounds": {"seedLagS": 3, "reuseAfterS": 2, "stabilityWindowMs": 4000,
               "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 6,
               "lossSlackMs": 200, "configApplyMs": 3000,
               "rollbackSlackMs": 250, "outerMs": 12000,
               "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retrySlack": 56,
               "recoveryS": 12, "ttl_max_s": 5}}


class CannotRun(Exception):
    """The case could not be played; it says nothing about the rule."""


def require(condition, what):
    if not condition:
        raise CannotRun(what)


def free_ports(ip, count):
    """Returns `count` free ports in a row on the address."""
    for first in range(21000 + os.getpid() % 400 * 20, 60000, count):
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        probe = stack.enter_context(
                            socket.socket(socket.AF_INET, kind))
                        probe.bind((ip, port))
                return first
            except OSError:
                continue
    raise CannotRun("no free ports on %s" % ip)


def fill_template(text, fields):
    """Fills in the placeholders {{a.b|json}} of a settings template."""
    def value_of(match):
        value = fields
        for key in match.group(1).split("."):
            value = value[int(key)] if isinstance(value, list) else value[key]
        return json.dumps(value)
    return re.sub(r"\{\{([\w.]+)\|json\}\}", value_of, text)


class Node:
    """One process of the product."""

    def __init__(self, number, store_address, folder, sheet):
        self.ip = "127.0.11.%d" % number
        first = free_ports(self.ip, 6)
        address = ["%s:%d" % (self.ip, first + i) for i in range(4)]
        self.callers = (self.ip, first)
        fields = dict(sheet, node="front-%d" % number, ip=self.ip,
                      listen={"front": address[0], "readiness": address[1],
                              "directory": address[2]},
                      portRange=[first + 4, first + 5],
                      platform={"addr": store_address})
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["node"]
        with open(os.path.join(ROOT, role["template"]),
                  encoding="utf-8") as file:
            settings = fill_template(file.read(), fields)
        path = os.path.join(folder, "settings-%d.json" % number)
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        self.log_path = os.path.join(folder, "node-%d.log" % number)
        self.command = role["run"].split(" ")
        require(os.path.exists(os.path.join(ROOT, self.command[0])),
                "%s is not built" % self.command[0])
        self.environment = {"PATH": os.environ["PATH"], "LANG": "C",
                            "TANAGERVANE_SETTINGS": path}
        self.process = None
        self.start()

    def start(self):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [os.path.join(ROOT, self.command[0]), *self.command[1:]],
                cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                env=self.environment)

    def running(self):
        return self.process.poll() is None

    def end(self):
        if self.running():
            self.process.kill()
        self.process.wait(10)

    def last_lines(self, count):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return file.read().splitlines()[-count:]


class Reply:
    """A response; status 0 stands for none before the timeout."""

    def __init__(self, status=0, fields=None, body=b"", complete=False,
                 seconds=0.0):
        self.status = status
        self.fields = fields or {}
        self.body = body
        self.complete = complete
        self.seconds = seconds


class Caller:
    """A consumer's connection, which is kept for several requests."""

    def __init__(self, node, timeout_s):
        self.socket = socket.create_connection(node.callers, timeout_s)
        self.timeout_s = timeout_s
        self.buffer = b""

    def send(self, method, path, body=b"", deadline="1000", request_id=None,
             announced=None, key=None):
        """Sends a request and returns its id. `announced` is the length of the
        body that the header states, `key` the API key."""
        request_id = request_id or uuid.uuid4().hex[:16]
        length = len(body) if announced is None else announced
        head = "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n" % (
            method, path, HOST, request_id)
        head += "Deadline: %s\r\n" % deadline
        head += "User-Agent: line-screen/2 (sealing)\r\nAccept: */*\r\n"
        if length:
            head += "Content-Length: %d\r\n" % length
        if key:
            head += "Api-Key: %s\r\n" % key
        self.socket.sendall(head.encode() + b"\r\n" + body)
        return request_id

    def receive(self):
        start = time.monotonic()
        deadline = start + self.timeout_s

        def more():
            self.socket.settimeout(max(0.01, deadline - time.monotonic()))
            data = self.socket.recv(65536)
            if not data:
                raise ConnectionError("closed")
            self.buffer += data

        reply = Reply()
        try:
            while b"\r\n\r\n" not in self.buffer:
                more()
            head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
            lines = head.decode("latin-1").split("\r\n")
            reply.status = int(lines[0].split(" ")[1])
            reply.fields = {name.lower(): value.strip() for name, _, value in
                            (line.partition(":") for line in lines[1:])}
            length = int(reply.fields.get("content-length", "0"))
            while len(self.buffer) < length:
                more()
            reply.body = self.buffer[:length]
            self.buffer = self.buffer[length:]
            reply.complete = True
        except (OSError, ConnectionError):
            pass
        reply.seconds = time.monotonic() - start
        return reply

    def request(self, *args, **options):
        self.send(*args, **options)
        return self.receive()

    def close(self):
        self.socket.close()


def ask(node, path, timeout_s=8.0, **options):
    """Sends one request over a connection of its own."""
    try:
        caller = Caller(node, timeout_s)
    except OSError:
        return Reply()
    try:
        return caller.request("GET", path, **options)
    except OSError:
        return Reply()
    finally:
        caller.close()


class RawReplica:
    """A replica whose connections a case serves itself, one thread each:
    `serve(socket, head, rest)` gets the header of a request, by lower-case
    name, with the request line under "", and the bytes that came after it. It
    returns the rest that belongs to the next request, or None to close."""

    def __init__(self, lab, service, name, serve, slots=2, prepare=None):
        self.name = name
        self.serve = serve
        self.listener = socket.socket()
        if prepare:
            prepare(self.listener)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        # The configuration names the services of these.
        lab.platform.replicas[service]
        lab.platform.store.put("servers", name, {
            "service": service, "addr": address, "zone": SHEET["zone"],
            "version": "v1", "concurrencyLimit": slots, "state": "ready",
            "warmupLeftMs": 0, "sequence": 1, "born": 1700000000000})
        lab.closers.append(self.listener.close)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve_connection, args=(connection,),
                             daemon=True).start()

    def serve_connection(self, connection):
        rest = b""
        with connection:
            while rest is not None:
                try:
                    while b"\r\n\r\n" not in rest:
                        data = connection.recv(2048)
                        if not data:
                            return
                        rest += data
                    head, rest = rest.split(b"\r\n\r\n", 1)
                    lines = head.decode("latin-1").split("\r\n")
                    fields = {name.lower(): value.strip()
                              for name, _, value in
                              (line.partition(":") for line in lines[1:])}
                    fields[""] = lines[0]
                    if lines[0].startswith("GET /healthz "):
                        connection.sendall(
                            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                            b"Instance-Id: %s\r\n\r\n" % self.name.encode())
                        continue
                    rest = self.serve(connection, fields, rest)
                except OSError:
                    return


def read_body(connection, fields, rest):
    """Reads the body of a request; returns it and the bytes after it."""
    length = int(fields.get("content-length", "0"))
    parts, size = [rest], len(rest)
    while size < length:
        data = connection.recv(65536)
        if not data:
            raise ConnectionError("closed")
        parts.append(data)
        size += len(data)
    data = b"".join(parts)
    return data[:length], data[length:]


class Lab:
    """The processes, stand-ins and the record of one case."""

    def __init__(self, case_folder, trouble):
        self.case_folder = case_folder
        self.trouble = trouble
        self.lines = []
        self.lock = threading.Lock()
        self.started_at = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="tanagervane-review-")
        self.platform = Platform()
        self.nodes = []
        self.closers = []

    def note(self, text, *arguments):
        with self.lock:
            self.lines.append("%8.3f  %s" % (
                time.monotonic() - self.started_at,
                text % arguments if arguments else text))

    def start_node(self, sheet=None):
        """Starts a process; `sheet` replaces parts of SHEET."""
        node = Node(len(self.nodes) + 1, self.platform.store.address,
                    self.folder, dict(SHEET, **(sheet or {})))
        self.nodes.append(node)
        return node

    def wait_until_served(self, node, path, **options):
        """Waits until a request on the path is served."""
        limit = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < limit:
            if node.running() and ask(node, path, 2.0, **options).status == 200:
                return
            time.sleep(0.05)
        raise CannotRun("no request on %s was served" % path)

    def close(self):
        for node in self.nodes:
            node.end()
        for closer in self.closers:
            closer()
        # Its tasks are cancelled; each would report that.
        self.platform.loop.set_exception_handler(lambda *_: None)
        self.platform.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def write_record(self, verdict):
        with open(os.path.join(self.case_folder, "record.txt"), "w",
                  encoding="utf-8") as file:
            file.write("trouble: %s\n" % ("yes" if self.trouble else "no"))
            file.writelines(line + "\n" for line in self.lines)
            file.write("rule: %s\n" % VERDICTS[verdict])


def play(case_file, case, trouble):
    """Runs `case(lab)`, which returns whether the rule held, and exits. The
    record states whether the case brought its trouble about."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    verdict = NOT_RUN
    lab = Lab(os.path.dirname(os.path.abspath(case_file)), trouble)
    try:
        verdict = HELD if case(lab) else BROKEN
    except Exception as error:  # Any fault of the script says nothing.
        lab.note("cannot run: %r", error)
    finally:
        lab.close()
        lab.write_record(verdict)
    print("rule %s" % VERDICTS[verdict])
    sys.exit(verdict)
