"""Starts a deployment on loopback: stand-ins and entry servers.

Used by the demo, the integration tests and the benchmarks. Only processes
started here are stopped, each by its process id.
"""

import collections
import fcntl
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.environ.get("TANAGERVANE_BUILD", os.path.join(ROOT, "build"))
HOST = "127.0.0.1"

IndexSize = collections.namedtuple(
    "IndexSize", "name shards replicas slots connections service_ms")

# The sizes of section 1 of docs/design.md.
DEPLOYMENTS = {
    "sicilia-sud": {
        "document": "examples/sicilia-sud.json",
        "team": "lavandeti",
        "data_centres": ["ragusa-a", "ragusa-b", "modica"],
        "indexes": [
            IndexSize("banco-cucitura", 10, 3, 5, 40, 4),
            IndexSize("magazzino-fiori", 15, 3, 5, 40, 4),
            IndexSize("portale-clienti", 1, 40, 2, 110, 8),
            IndexSize("contabilita", 1, 20, 2, 110, 8),
        ],
    },
    "pomorze": {
        "document": "examples/pomorze.json",
        "team": "solankowa",
        "data_centres": ["gdansk", "gdynia", "sopot"],
        "indexes": [
            IndexSize("crew-lookup", 10, 3, 3, 30, 4),
            IndexSize("brine-ledger", 15, 3, 3, 30, 4),
            IndexSize("tally-desk", 1, 11, 4, 40, 8),
            IndexSize("rake-rota", 1, 5, 4, 40, 8),
        ],
    },
}


class HttpReply:
    """Status, headers and body text of an HTTP response."""

    def __init__(self, status, headers, text):
        self.status = status
        self.headers = headers
        self.text = text

    def json(self):
        return json.loads(self.text)


def http(method, url, body=None, headers=None, timeout=5.0):
    """Sends one request; raises OSError when there is no response."""
    data = None
    if body is not None:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
    request = urllib.request.Request(
        url, data=data, method=method, headers=headers or {})
    if data is not None:
        request.add_header("Content-Type", "application/json")
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return HttpReply(response.status, dict(response.headers),
                             response.read().decode())
    except urllib.error.HTTPError as error:
        with error:
            return HttpReply(error.code, dict(error.headers),
                             error.read().decode())


def wait_until(description, condition, seconds=15.0):
    """Polls `condition()` until it holds; raises TimeoutError with the
    description when it does not within `seconds`."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.02)
    raise TimeoutError("timed out waiting for: " + description)


def free_ports(count):
    """Finds a range of `count` ports without a listener. Returns its first
    port and a lock file that keeps parallel runs out of it while open."""
    starts = list(range(20000, 31000, 250))
    random.shuffle(starts)
    for start in starts:
        lock = open(os.path.join(tempfile.gettempdir(),
                                 "tanagervane-ports-%d.lock" % start), "a",
                    encoding="utf-8")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            for port in range(start, start + count):
                with socket.socket() as probe:
                    # Connections in TIME_WAIT do not make a port unusable.
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((HOST, port))
        except OSError:
            lock.close()
            continue
        return start, lock
    raise RuntimeError(
        "no range of %d free ports between 20000 and 31000" % count)


class Process:
    """A child process whose output goes to a log file."""

    def __init__(self, name, arguments, log_path):
        self.name = name
        self.arguments = arguments
        self.log_path = log_path
        with open(log_path, "ab") as log:
            self.child = subprocess.Popen(
                arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def running(self):
        return self.child.poll() is None

    def send(self, signal_number):
        if self.running():
            self.child.send_signal(signal_number)

    def wait(self, seconds):
        return self.child.wait(timeout=seconds)

    def kill(self):
        self.send(signal.SIGKILL)
        self.child.wait()

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            return log.read()


class Entry:
    """Addresses and process of an entry server."""

    def __init__(self, name, data_centre, port):
        self.name = name
        self.data_centre = data_centre
        self.caller_address = "%s:%d" % (HOST, port)
        self.operator_address = "%s:%d" % (HOST, port + 1)
        self.peer_address = "%s:%d" % (HOST, port + 2)
        self.process = None

    def status(self):
        return http("GET", "http://%s/v1/status" % self.operator_address).json()

    def serving(self):
        try:
            return http("GET", "http://%s/readyz" % self.operator_address,
                        timeout=1.0).status == 200
        except OSError:
            return False


class Cluster:
    """A deployment. As a context manager it stops all its processes at the
    end of the block."""

    def __init__(self, name, entries=4, seed=1, experiment=None,
                 service_ms=None, distribution="exponential", proxied=False,
                 indexes=None, document=None, backend_flags=(), latency_ms=0):
        self.spec = DEPLOYMENTS[name]
        self.indexes = [index for index in self.spec["indexes"]
                        if indexes is None or index.name in indexes]
        self.entry_count = entries
        self.seed = seed
        self.experiment = experiment or {}
        self.service_ms = service_ms
        self.distribution = distribution
        self.proxied = proxied
        self.backend_flags = list(backend_flags)
        self.latency_ms = latency_ms
        self.document = document or os.path.join(ROOT, self.spec["document"])
        self.directory = tempfile.mkdtemp(prefix="tanagervane-")
        self.processes = []
        self.port_lock = None
        self.entries = []
        # Control address of each back-end process, by index and data centre.
        self.backends = {}
        # Control address of each fault proxy, by the name of its back-end
        # process.
        self.proxies = {}
        # The VM list that the platform publishes, by VM id.
        self.vms = {}
        self.lock = threading.Lock()
        self.operator_key = "demo-operator-key"
        self.operator_key_file = os.path.join(self.directory, "operator-key")
        with open(self.operator_key_file, "w", encoding="utf-8") as file:
            file.write(self.operator_key + "\n")
        os.chmod(self.operator_key_file, 0o600)

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.shut_down()
            raise
        return self

    def __exit__(self, *unused):
        self.shut_down()

    # Starting processes.

    def start(self):
        replicas = sum(index.shards * index.replicas for index in self.indexes)
        port_count = 2 * replicas + 2 * 3 * len(self.indexes) + 60
        self.next_port, self.port_lock = free_ports(port_count)
        self.start_platform()
        for index in self.indexes:
            self.start_index(index)
        self.publish_vms()
        for number in range(self.entry_count):
            self.start_entry()
        self.apply_document_and_wait()

    def allocate_ports(self, count):
        port = self.next_port
        self.next_port += count
        return port

    def start_process(self, name, program, arguments):
        process = Process(name, [os.path.join(BUILD, program)] + arguments,
                          os.path.join(self.directory, name + ".log"))
        self.processes.append(process)
        return process

    def start_platform(self):
        port = self.allocate_ports(2)
        self.platform = "%s:%d" % (HOST, port)
        self.platform_control = "%s:%d" % (HOST, port + 1)
        self.platform_process = self.start_process(
            "platform", "fake-platform",
            ["--listen=" + self.platform, "--control=" + self.platform_control,
             "--seed=%d" % self.seed])
        self.wait_healthy(self.platform_control)

    def wait_healthy(self, address):
        def healthy():
            try:
                return http("GET", "http://%s/healthz" % address,
                            timeout=1.0).status == 200
            except OSError:
                return False
        wait_until("health check of " + address, healthy)

    def start_index(self, index):
        """Starts one process for each data centre, so that killing one takes
        down one replica of every shard."""
        centres = self.spec["data_centres"]
        replica_count = index.shards * index.replicas
        for position, centre in enumerate(centres):
            count = replica_count // 3 + (
                1 if position < replica_count % 3 else 0)
            if count:
                self.start_backend(index, centre, count)

    def start_backend(self, index, centre, count):
        control_port = self.allocate_ports(1)
        base = self.allocate_ports(count)
        control = "%s:%d" % (HOST, control_port)
        name = "%s-%s" % (index.name, centre)
        self.backends[(index.name, centre)] = control
        process = self.start_process(
            name, "fake-backend",
            ["--index=" + index.name, "--shards=%d" % index.shards,
             "--count=%d" % count, "--data_centre=" + centre,
             "--base_port=%d" % base, "--control_port=%d" % control_port,
             "--slots=%d" % index.slots,
             "--service_ms=%g" % (self.service_ms or index.service_ms),
             "--distribution=" + self.distribution,
             "--latency_ms=%g" % self.latency_ms,
             "--seed=%d" % (self.seed + control_port)] + self.backend_flags)
        self.wait_healthy(control)
        vms = http("GET", "http://%s/vms" % control).json()
        if self.proxied:
            vms = self.start_proxy(name, vms, base, count)
        for vm in vms:
            self.vms[vm["id"]] = vm
        process.vm_ids = [vm["id"] for vm in vms]

    def start_proxy(self, name, vms, base, count):
        control = "%s:%d" % (HOST, self.allocate_ports(1))
        proxy_port = self.allocate_ports(count)
        self.proxies[name] = control
        self.start_process(
            name + "-proxy", "fault-proxy",
            ["--pairs=%s:%d=%s:%dx%d" % (HOST, proxy_port, HOST, base, count),
             "--control=" + control])
        self.wait_healthy(control)
        for vm in vms:
            port = int(vm["address"].rsplit(":", 1)[1])
            vm["address"] = "%s:%d" % (HOST, proxy_port + port - base)
        return vms

    def start_entry(self, name=None, seeds=()):
        number = len(self.entries) + 1
        centres = self.spec["data_centres"]
        entry = Entry(name or "entry-%d" % number,
                      centres[(number - 1) % len(centres)],
                      self.allocate_ports(3))
        settings = {
            "id": entry.name,
            "team": self.spec["team"],
            "data_centre": entry.data_centre,
            "caller_address": entry.caller_address,
            "operator_address": entry.operator_address,
            "peer_address": entry.peer_address,
            "platform_address": self.platform,
            "operator_key_file": self.operator_key_file,
            "seeds": list(seeds),
            "experiment": self.experiment,
        }
        path = os.path.join(self.directory, entry.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        entry.process = self.start_process(
            entry.name, "tanagervane-entry", ["--settings=" + path])
        self.entries.append(entry)
        self.vms[entry.name] = {
            "id": entry.name, "role": "entry", "state": "live",
            "address": entry.peer_address, "data_centre": entry.data_centre}
        self.publish_vms()
        return entry

    def publish_vms(self):
        reply = http("POST", "http://%s/vms" % self.platform_control,
                     list(self.vms.values()))
        assert reply.status == 200, reply.text

    def set_vm_state(self, vm_id, state):
        with self.lock:
            self.vms[vm_id]["state"] = state
            self.publish_vms()

    def remove_vm(self, vm_id):
        with self.lock:
            self.vms.pop(vm_id, None)
            self.publish_vms()

    def apply_document_and_wait(self):
        def listens():
            try:
                return http("GET", "http://%s/healthz" %
                            self.entries[0].operator_address,
                            timeout=1.0).status == 200
            except OSError:
                return False
        wait_until("the first entry answers health checks", listens)
        result = self.ctl("apply", self.document)
        if result.returncode != 0:
            raise RuntimeError("tanagervane-ctl apply failed: " +
                               result.stdout + result.stderr)
        wait_until("all entries are serving",
                   lambda: all(entry.serving() for entry in self.entries), 20)

    # Requests, faults and counters.

    def ctl(self, *arguments, operators=None):
        addresses = operators or [e.operator_address for e in self.entries
                                  if e.process.running()]
        return subprocess.run(
            [os.path.join(BUILD, "tanagervane-ctl"),
             "--operator=" + ",".join(addresses),
             "--key_file=" + self.operator_key_file] + list(arguments),
            capture_output=True, text=True, timeout=60, check=False)

    def query(self, class_name, tenant, payload, entry=None, timeout=10.0,
              **fields):
        entry = entry or self.entries[0]
        body = {"class": class_name, "tenant": tenant, "payload": payload}
        body.update(fields)
        return http("POST", "http://%s/v1/query" % entry.caller_address, body,
                    timeout=timeout)

    def order(self, class_name, tenant, payload, key, issued_at_ms, entry=None,
              timeout=10.0, **fields):
        entry = entry or self.entries[0]
        body = {"class": class_name, "tenant": tenant, "payload": payload,
                "idempotency_key": key, "issued_at_ms": issued_at_ms}
        body.update(fields)
        return http("POST", "http://%s/v1/order" % entry.caller_address, body,
                    timeout=timeout)

    def call_backend(self, index, centre, path, body=None):
        """Calls the control port of a back-end process."""
        method = "GET" if body is None else "POST"
        reply = http(method, "http://%s/%s" %
                     (self.backends[(index, centre)], path), body)
        assert reply.status == 200, reply.text
        return reply.json()

    def call_all_backends(self, index, path, body=None):
        return [self.call_backend(name, centre, path, body)
                for name, centre in self.backends if name == index]

    def executions(self, index):
        """Executions of non-idempotent requests, by payload."""
        total = collections.Counter()
        for reply in self.call_all_backends(index, "executions"):
            for item in reply["executions"]:
                total[item["payload"]] += item["count"]
        return total

    def faults(self, **changes):
        """Changes the platform's faults."""
        reply = http("POST", "http://%s/faults" % self.platform_control,
                     changes)
        assert reply.status == 200, reply.text

    def platform_counters(self):
        return http("GET", "http://%s/counters" %
                    self.platform_control).json()

    def sum_requests(self, field):
        return sum(entry.status()["requests"][field] for entry in self.entries
                   if entry.process.running())

    # Stopping processes.

    def stop_entry(self, entry, seconds=15.0):
        entry.process.send(signal.SIGTERM)
        return entry.process.wait(seconds)

    def shut_down(self):
        for process in reversed(self.processes):
            process.send(signal.SIGCONT)
            process.send(signal.SIGTERM if "entry" not in process.name
                         else signal.SIGKILL)
        deadline = time.monotonic() + 8
        for process in self.processes:
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
        if self.port_lock:
            self.port_lock.close()


def stable_hash(data, state=14695981039346656037):
    for byte in data:
        state = ((state ^ byte) * 1099511628211) & 0xFFFFFFFFFFFFFFFF
    return state


# The rows that a stand-in back end returns; see standins/common/rows.h.
def rows_for(index, version, shard, payload, row_limit=0):
    prefix = "%s/%d/%d" % (index, version, shard)
    value = stable_hash(payload.encode(), stable_hash(prefix.encode()))
    count = 1 + (value >> 32) % 4
    if row_limit:
        count = min(count, row_limit)
    return ["%s/%d/%016x" % (prefix, i, value) for i in range(count)]


def check_answer(answer, payload, row_limit=0):
    """Returns a description of the first error in an answer, or None."""
    covered = answer["covered"]
    missing = [item["shard"] for item in answer["missing"]]
    if sorted(covered + missing) != list(range(answer["shard_count"])):
        return "covered and missing together are not the shards of the version"
    if [result["shard"] for result in answer["results"]] != covered:
        return "covered does not match the shards of the results"
    for result in answer["results"]:
        expected = rows_for(answer["index"], answer["index_version"],
                            result["shard"], payload)
        if row_limit:
            wrong = result["rows"] != expected[:len(result["rows"])]
        else:
            wrong = result["rows"] != expected
        if wrong:
            return "rows of shard %d differ from the rows of its back end" % \
                result["shard"]
    return None
